"""What a balancer stores about requests, attempts, upstreams and timers; these records take no decisions.

Times are milliseconds on the host's clock, costs are tokens of the retry quota."""

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
        """Whether the upstream may have executed some part of the request."""
        return self.outcome is None or not self.outcome.never_ran


class Request(msgspec.Struct, eq=False):
    """A request without its final answer. It keeps the settings that were in force when it arrived."""

    id: int
    class_index: int
    settings: api.Settings
    key: int
    deadline_ms: float
    useful_until_ms: float  # an answer after that is worth nothing
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    pending_retry_cost: float | None = None  # set while the wait before a retry runs
    answer_started: bool = False
    not_resendable: bool = False  # its answer has started, or the start of its body is no longer buffered
    is_transferring: bool = False  # its body or answer is being streamed, so it occupies no upstream

    @classmethod
    def from_arrival(cls, event: api.RequestArrived, settings: api.Settings, now: float) -> Request:
        useful_ms = settings.classes[event.class_index].useful_ms
        useful_until_ms = min(event.deadline_ms, now + useful_ms)
        return cls(
            event.request_id, event.class_index, settings, event.key, event.deadline_ms, useful_until_ms
        )

    @property
    def request_class(self) -> api.RequestClass:
        """The settings of its class."""
        return self.settings.classes[self.class_index]

    def stream_body(self, now: float, deadline_ms: float) -> None:
        """Record that its body is streamed; the deadline is infinite until the last byte is written."""
        self.not_resendable, self.is_transferring = True, math.isinf(deadline_ms)
        self.deadline_ms, self.attempts[-1].sent_ms = deadline_ms, now

    def start_answer(self) -> None:
        """Record that its answer is streamed to the client."""
        self.answer_started = self.not_resendable = self.is_transferring = True

    def open_attempts(self) -> int:
        """How many attempts have not ended."""
        return sum(attempt.outcome is None for attempt in self.attempts)


class UpstreamRecord(msgspec.Struct, eq=False):
    """What this balancer knows about one upstream."""

    entry: api.UpstreamEntry
    started_ms: float
    mark: int  # its number in messages, the same at every balancer
    # Start times of the open attempts, by request and number of the attempt, oldest first.
    in_flight_since_ms: dict[tuple[int, int], float] = msgspec.field(default_factory=dict)
    slowness: float = 1.0  # smoothed ratio of its answer times to the mean of their class
    failures: int = 0
    ejected_until_ms: float = 0.0
    connect_failures: int = 0  # in a row
    last_answer_ms: float = -math.inf
    cold_credit: float | None = None
    first_attempt_due_ms: float = math.inf  # set after an operator restored it
    evacuated: bool = False  # by the fleet, together with its zone

    @classmethod
    def from_entry(cls, entry: api.UpstreamEntry) -> Self:
        return cls(entry, entry.started_ms, entry.mark or entry.upstream)

    def record_failure(self, now: float, wait_ms: float) -> None:
        """Eject the upstream. One that is ejected already gets no longer ejection and no further failure."""
        if now >= self.ejected_until_ms:
            self.failures += 1
            self.ejected_until_ms = now + wait_ms

    def record_restart(self, started_ms: float) -> None:
        """Forget failures and slowness: it is a new process."""
        self.started_ms, self.connect_failures, self.cold_credit = started_ms, 0, None
        self.slowness, self.failures, self.ejected_until_ms = min(self.slowness, 1.0), 0, 0.0

    def update_entry(self, entry: api.UpstreamEntry) -> None:
        self.entry, self.evacuated = entry, self.evacuated or entry.state is UpstreamState.LEFT
        if entry.started_ms > self.started_ms:
            self.record_restart(entry.started_ms)

    def skipped(self, now: float) -> bool:
        """Whether it gets no requests at present, for a reason other than draining."""
        if self.entry.state is UpstreamState.READY:
            return now < self.ejected_until_ms
        return self.entry.state is not UpstreamState.DRAINING

    def known(self) -> api.Known:
        """What a successor process receives."""
        return api.Known(
            self.started_ms, self.slowness, self.failures, self.connect_failures, self.ejected_until_ms
        )

    def restore(self, known: api.Known) -> None:
        """Continue from what the previous process knew."""
        self.started_ms = max(self.started_ms, known.started_ms)
        self.slowness = known.slowness or self.slowness
        self.failures, self.connect_failures = known.failures, known.refused
        self.ejected_until_ms = known.ejected_until_ms


class TimerKind(Enum):
    """What a timer is for."""

    RETRY = "retry"  # the wait before a retry is over
    OVERDUE = "overdue"  # an attempt should have ended by now
    SUBSCRIBE = "ask"  # subscribe to discovery
    SEND_RATE = "tell"  # send this balancer's rate to its peers
    SEND_FAILURES = "alarm"  # send the upstreams that failed this balancer to its peers


class Timer(msgspec.Struct, frozen=True):
    """A running timer; a timer of a request names it and the attempt."""

    kind: TimerKind
    request_id: int = 0
    attempt: int = 0


class Timers:
    """The running timers, by the tokens that the host was given."""

    def __init__(self) -> None:
        self._running: dict[int, Timer] = {}
        self._last_token = 0

    def add(self, timer: Timer) -> int:
        """Add a timer and return its token."""
        self._last_token = (self._last_token + 1) % 2**32
        self._running[self._last_token] = timer
        return self._last_token

    def remove(self, token: int) -> Timer | None:
        """Remove and return the timer with this token; None if there is none."""
        return self._running.pop(token, None)
