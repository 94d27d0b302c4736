"""The interface of the decision module: settings, events, actions and outcomes.

`Balancer(settings, seed).handle(now, event)` processes one event and returns the actions to carry out at
once, in order. A host (the simulator's adapter or the service on sockets) translates what it receives into
these events, and these actions into what it sends; it decides nothing. Times are milliseconds on the host's
clock.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec

from madderwind.balancing.outcomes import Outcome as Outcome


class Effect(Enum):
    """Whether a request may be executed twice: always, with an idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which upstreams deduplicate a keyed request that is sent to several of them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """What a list of upstreams contains: changes, all upstreams, or all of a cached, possibly old list."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"


class UpstreamState(Enum):
    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"
    SUSPENDED = "suspended"  # by an operator, whatever discovery lists
    LEFT = "left"  # evacuated by the fleet with its zone; no first attempt is due when it is restored


class RequestClass(msgspec.Struct, frozen=True):
    """Settings of one class of requests."""

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
        """How long after the request's arrival an answer still has a value."""
        return self.aim_ms if self.late_worth <= 0 else self.deadline_ms


class Tenant(msgspec.Struct, frozen=True):
    """Settings of one tenant: its share of the service and its requests per second over all balancers."""

    share: float
    quota_per_s: float


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one balancer; `me` is its number among the `copies` balancers of its tier."""

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
    """One entry of the list of upstreams. `started_ms` is 0 if the start was long ago.

    `mark` identifies the upstream at every balancer, for choices that all of them have to make alike; if it
    is 0, `upstream` does.
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
        """Whether the rating is a positive, finite number."""
        return 0 < self.rating < math.inf


class Known(msgspec.Struct, frozen=True, rename={"ejected_until_ms": "aside_until_ms"}):
    """What a balancer has learned about one upstream. `slowness` 0 means unknown.

    One version of the program hands it to the next, so the names in messages must not change.
    """

    started_ms: float
    slowness: float
    failures: int
    refused: int
    ejected_until_ms: float


class Memory(msgspec.Struct, frozen=True):
    """What a successor process continues from, upstreams by number. `room` 0 means the initial limit."""

    quota: float
    room: float
    upstreams: dict[int, Known]


class Event(msgspec.Struct, frozen=True, gc=False):
    """Something that happened to this balancer."""


class FleetListed(Event, frozen=True):
    """The list of upstreams, or changes to the current one."""

    kind: ListKind
    version: int
    entries: tuple[UpstreamEntry, ...]


class Retuned(Event, frozen=True):
    """New settings, in force from now on. Classes and tenants keep their numbers; new ones are appended."""

    settings: Settings


class Recalled(Event, frozen=True):
    """What the previous process knew; it comes right after the list of upstreams that process used."""

    memory: Memory


class ListFailed(Event, frozen=True):
    """A call to discovery failed or a subscription broke; the current list stays in force."""


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
    """A long body is streamed to the upstream: its start is no longer buffered, so it can't be resent.

    Sent when that begins, with an infinite deadline, and when the last byte is written, with the real one.
    """

    request_id: int
    deadline_ms: float


class AnswerBegan(Event, frozen=True, gc=False):
    """The streaming of a long answer to the client has begun."""

    request_id: int
    attempt: int
    upstream: int
    elapsed_ms: float


class AttemptEnded(Event, frozen=True):
    """An attempt ended. `request_over`: the request has its final answer or needs none any more."""

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
    """A message of another balancer, if the settings allow them. No rule depends on these messages."""

    peer: int
    message: bytes


class Action(msgspec.Struct, frozen=True, gc=False):
    """Something that the host has to do now."""


class Send(Action, frozen=True, gc=False):
    """Start an attempt. It ends at `not_past_ms` at the latest; 0 means when the client gives up."""

    request_id: int
    upstream: int
    not_past_ms: float


class Cancel(Action, frozen=True, gc=False):
    request_id: int
    attempt: int


class Refuse(Action, frozen=True, gc=False):
    """Final answer: refused, and a retry is harmless; `retry_after_ms` 0 gives no hint."""

    request_id: int
    retry_after_ms: float


class Fail(Action, frozen=True, gc=False):
    """Final answer: failed, and a retry may not be harmless."""

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
    """A message for one balancer of this tier, or for all of them (`peer` None)."""

    peer: int | None
    message: bytes


class Log(Action, frozen=True, gc=False):
    text: str
