"""The interface of the decision module: settings, events, actions and outcomes.

`Balancer(settings, seed).handle(now, event)` takes one event and returns the actions to carry out at once, in
order. A host (the simulator's adapter today, a service on sockets later) turns what it receives into these
events and these actions into what it sends; it decides nothing. Times are milliseconds on the host's clock.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec

from madderwind.balancing.outcomes import Outcome as Outcome


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which upstreams drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """What a list of upstreams holds."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"


class UpstreamState(Enum):
    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"
    SUSPENDED = "suspended"  # by hand, whatever discovery says
    LEFT = "left"  # by the fleet, with its zone; not owed an attempt when it is returned to


class RequestClass(msgspec.Struct, frozen=True):
    """Settings of one class of request."""

    effect: Effect
    group: Group
    window_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    streamed: bool

    @property
    def useful_ms(self) -> float:
        """How long after its arrival an answer is worth anything."""
        return self.aim_ms if self.late_worth <= 0 else self.deadline_ms


class Tenant(msgspec.Struct, frozen=True):
    """Settings of one tenant: its part of the service and its requests a second over all copies."""

    share: float
    quota_per_s: float


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What one copy is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    tier: int = 0
    tiers: int = 1
    copies: int = 1
    me: int = 0
    zone: int = 0
    zones: int = 1
    max_attempts: int = 1
    max_open: int = 0
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    clients_mark_repeats: bool = False
    passes_deadline: bool = True
    connect_timeout_ms: float = 0.0
    tick_ms: float = 0.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    start_capacity: float = 1.0
    warm_after_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0
    must_ask: bool = False
    ask_within_ms: float = 0.0
    report_columns: tuple[str, ...] = ()
    reports_on_answers: bool = False
    ratings_tell_size: bool = False
    worth_by_work: bool = False
    warm_keys: bool = False
    over_share_worth: float = 1.0
    waste_price: float = 0.0
    probe_price: float = 0.0
    cross_zone_price: float = 0.0
    late_price: float = 0.0


class UpstreamEntry(msgspec.Struct, frozen=True, gc=False):
    """One line of the list of upstreams. `started_ms` is 0 where the start was long ago.

    `mark` is alike at every copy, for choices that all copies make alike; 0: `upstream` is.
    """

    upstream: int
    zone: int
    kind: int
    cell: int
    state: UpstreamState
    rating: float
    started_ms: float
    mark: int = 0

    @property
    def is_rated(self) -> bool:
        """Whether the rating is one that can be reckoned with."""
        return 0 < self.rating < math.inf


class Known(msgspec.Struct, frozen=True, rename={"ejected_until_ms": "aside_until_ms"}):
    """What a copy has learned of one upstream. `slowness` 0: to be learned afresh.

    It passes from one version of the program to the next, so its names in messages stay as they were.
    """

    started_ms: float
    slowness: float
    failures: int
    refused: int
    ejected_until_ms: float


class Memory(msgspec.Struct, frozen=True):
    """What a process that takes over goes on from, upstreams by their numbers. `room` 0: start afresh."""

    quota: float
    room: float
    upstreams: dict[int, Known]


class Event(msgspec.Struct, frozen=True, gc=False):
    """Something that happened to this copy."""


class FleetListed(Event, frozen=True):
    """The list of upstreams, or changes to the list held."""

    kind: ListKind
    version: int
    entries: tuple[UpstreamEntry, ...]


class Retuned(Event, frozen=True):
    """New settings, in force from now on. Classes and tenants keep their numbers; new ones come behind."""

    settings: Settings


class Recalled(Event, frozen=True):
    """What the process before this one knew, right after the list that it followed."""

    memory: Memory


class ListFailed(Event, frozen=True):
    """A call to discovery failed or a subscription broke; the list held stays in force."""


class RequestArrived(Event, frozen=True, gc=False):
    request_id: int
    class_index: int
    tenant_index: int
    key: int
    deadline_ms: float
    work_hint_ms: float | None
    is_repeat: bool
    is_write: bool


class BodyPassing(Event, frozen=True, gc=False):
    """A long body goes to the upstream as it comes: its beginning is let go, so it is not sent again.

    Told when that begins, with an endless deadline, and when its last byte is written, with the real one.
    """

    request_id: int
    deadline_ms: float


class AnswerBegan(Event, frozen=True, gc=False):
    """A long answer has begun to reach the client."""

    request_id: int
    attempt: int
    upstream: int
    elapsed_ms: float


class AttemptEnded(Event, frozen=True):
    """An attempt's end. `request_over`: the request has its final answer or needs none any more."""

    request_id: int
    request_over: bool
    attempt: int
    outcome: Outcome
    upstream: int
    elapsed_ms: float
    report: tuple[float, ...]


class ClientLeft(Event, frozen=True, gc=False):
    request_id: int


class TimerFired(Event, frozen=True, gc=False):
    token: int


class ProbeEnded(Event, frozen=True):
    outcome: Outcome
    elapsed_ms: float
    upstream: int
    report: tuple[float, ...]


class PeerSpoke(Event, frozen=True):
    """Words of another copy, where the settings allow them. No rule rests on them."""

    peer: int
    message: bytes


class Action(msgspec.Struct, frozen=True, gc=False):
    """Something for the host to do now."""


class Send(Action, frozen=True, gc=False):
    """Start an attempt; `not_past_ms` 0 means until the client gives up."""

    request_id: int
    upstream: int
    not_past_ms: float


class Cancel(Action, frozen=True, gc=False):
    request_id: int
    attempt: int


class Refuse(Action, frozen=True, gc=False):
    """Final answer: not done, trying again is harmless; `retry_after_ms` 0 gives no hint."""

    request_id: int
    retry_after_ms: float


class Fail(Action, frozen=True, gc=False):
    """Final answer: failed, nothing promised."""

    request_id: int


class SetTimer(Action, frozen=True, gc=False):
    after_ms: float
    token: int


class Subscribe(Action, frozen=True, gc=False):
    on: bool


class FetchList(Action, frozen=True, gc=False):
    pass


class Probe(Action, frozen=True, gc=False):
    upstream: int


class CloseIdle(Action, frozen=True, gc=False):
    upstream: int


class TellPeers(Action, frozen=True, gc=False):
    """Words for one copy of this tier, or for every one (`peer` None)."""

    peer: int | None
    message: bytes


class Log(Action, frozen=True, gc=False):
    text: str
