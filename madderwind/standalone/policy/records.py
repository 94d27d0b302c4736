"""What a balancer remembers of requests, attempts, upstreams and timers: records that decide nothing.

Times are milliseconds on the host's clock, costs are the retry quota's tokens."""

from __future__ import annotations

import math
from enum import Enum
from typing import Self

import msgspec

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome, UpstreamState


class Attempt(msgspec.Struct, eq=False):
    """One attempt of a request; its outcome is None while it is open."""

    upstream: api.UpstreamEntry
    sent_ms: float
    cost: float
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether the upstream may have done some part of the request."""
        return self.outcome is None or not self.outcome.never_ran


class Request(msgspec.Struct, eq=False):
    """A request without its final answer. It keeps the settings in force when it came."""

    id: int
    class_index: int
    settings: api.Settings
    key: int
    deadline_ms: float
    useful_until_ms: float  # an answer after that is worth nothing
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    waiting_cost: float | None = None  # set while a retry's wait runs
    streaming: bool = False  # its answer has begun
    once_only: bool = False  # its answer has begun, or its body's beginning is let go
    passing: bool = False  # body or answer goes on in pieces: it takes nobody's time meanwhile

    @classmethod
    def arrived(cls, event: api.RequestArrived, settings: api.Settings, now: float) -> Request:
        """The request of an arrival."""
        useful_ms = settings.classes[event.class_index].useful_ms
        useful_until_ms = min(event.deadline_ms, now + useful_ms)
        return cls(
            event.request_id, event.class_index, settings, event.key, event.deadline_ms, useful_until_ms
        )

    @property
    def request_class(self) -> api.RequestClass:
        """The settings of its class."""
        return self.settings.classes[self.class_index]

    def body_passes(self, now: float, deadline_ms: float) -> None:
        """Its long body goes to the upstream in pieces; the deadline is endless until the last is written."""
        self.once_only, self.passing = True, math.isinf(deadline_ms)
        self.deadline_ms, self.attempts[-1].sent_ms = deadline_ms, now

    def answer_began(self) -> None:
        """Its long answer goes to the client in pieces."""
        self.streaming = self.once_only = self.passing = True

    def open_attempts(self) -> int:
        """How many attempts have not ended."""
        return sum(attempt.outcome is None for attempt in self.attempts)


class UpstreamRecord(msgspec.Struct, eq=False):
    """What this balancer knows of one upstream."""

    entry: api.UpstreamEntry
    started_ms: float
    mark: int  # alike at every balancer
    sent_ms: dict[tuple[int, int], float] = msgspec.field(default_factory=dict)  # open attempts, oldest first
    slowness: float = 1.0  # its answers' times over the class's usual, smoothed
    failures: int = 0
    ejected_until_ms: float = 0.0
    refused: int = 0  # failed connects in a row
    heard_ms: float = -math.inf  # its last answer
    cold_credit: float | None = None
    owed_ms: float = math.inf  # when its own first attempt is due, after it was called back by hand
    left: bool = False  # by the fleet, with its zone

    @classmethod
    def listed(cls, entry: api.UpstreamEntry) -> Self:
        """One that is new on the list."""
        return cls(entry, entry.started_ms, entry.mark or entry.upstream)

    def failed(self, now: float, wait_ms: float) -> None:
        """What failed goes on counting against it; one that is set aside already is so for no longer."""
        if now >= self.ejected_until_ms:
            self.failures += 1
            self.ejected_until_ms = now + wait_ms

    def restarted(self, started_ms: float) -> None:
        """It is another process now, to which nothing bad is known."""
        self.started_ms, self.refused, self.cold_credit = started_ms, 0, None
        self.slowness, self.failures, self.ejected_until_ms = min(self.slowness, 1.0), 0, 0.0

    def relisted(self, entry: api.UpstreamEntry) -> None:
        """Its entry on the list changed."""
        self.entry, self.left = entry, self.left or entry.state is UpstreamState.LEFT
        if entry.started_ms > self.started_ms:
            self.restarted(entry.started_ms)

    def skipped(self, now: float) -> bool:
        """Whether it gets nothing at present, other than because it drains."""
        if self.entry.state is UpstreamState.READY:
            return now < self.ejected_until_ms
        return self.entry.state is not UpstreamState.DRAINING

    def known(self) -> api.Known:
        """What a successor process is handed."""
        return api.Known(self.started_ms, self.slowness, self.failures, self.refused, self.ejected_until_ms)

    def recall(self, known: api.Known) -> None:
        """Go on from what the process before knew."""
        self.started_ms = max(self.started_ms, known.started_ms)
        self.slowness = known.slowness or self.slowness
        self.failures, self.refused = known.failures, known.refused
        self.ejected_until_ms = known.ejected_until_ms


class TimerKind(Enum):
    """What a timer is for."""

    RETRY = "retry"  # the wait before a retry is over
    OVERDUE = "overdue"  # an attempt should have ended by now
    ASK = "ask"  # subscribe to discovery
    TELL = "tell"  # tell other balancers this one's rate
    ALARM = "alarm"  # tell other balancers who failed this one


class Timer(msgspec.Struct, frozen=True):
    """A running timer; those of a request name it and the attempt."""

    kind: TimerKind
    request_id: int = 0
    attempt: int = 0


class Timers:
    """The timers that run, by the tokens that the host is given."""

    def __init__(self) -> None:
        self._running: dict[int, Timer] = {}
        self._last_token = 0

    def set(self, timer: Timer) -> int:
        """The token of one more."""
        self._last_token = (self._last_token + 1) % 2**32
        self._running[self._last_token] = timer
        return self._last_token

    def fired(self, token: int) -> Timer | None:
        """The timer, which runs no more; None where there is no such one."""
        return self._running.pop(token, None)
