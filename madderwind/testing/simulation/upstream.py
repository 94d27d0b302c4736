"""A model of an upstream without I/O: cores, one queue, a cold start, and a crash on overload while cold.

The simulation runs it on a virtual clock and the emulated upstreams of the fault tests run it behind
sockets. Both use one model so that they agree on the work that could have been done.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome, UpstreamState
from madderwind.testing.simulation.experiment import Experiment, Tier
from madderwind.testing.simulation.rules import Window

Reply = Callable[[Outcome], None]
LONG_AGO_MS = 0.0  # the start time of an upstream that is already warm


class SchedulingClock(Protocol):
    """A clock that can schedule calls."""

    @property
    def now_ms(self) -> float: ...
    def after(self, after_ms: float, call: Callable[[], None]) -> None: ...


class OverloadObserver(Protocol):
    """Is notified when a cold upstream crashes from overload."""

    def fell(self, at_ms: float, copy: str, request: int, upstream: int, got: int, can: float) -> None: ...


class Surroundings(Protocol):
    """The environment of an upstream: the experiment, the clock, and the observers of its overload crashes
    and lost connections."""

    @property
    def experiment(self) -> Experiment: ...
    @property
    def seed(self) -> int: ...
    @property
    def timeline(self) -> SchedulingClock: ...
    @property
    def checker(self) -> OverloadObserver: ...
    def forget_connections(self, upstream: Upstream) -> None: ...


class NextTierClient(Protocol):
    """Sends requests to the next tier."""

    def call(self, job: Job, on_end: Callable[[bool], None]) -> None: ...


class ColdStart(Protocol):
    """The capacity of an upstream at its start, and the time after which it has full capacity."""

    @property
    def start_capacity(self) -> float: ...
    @property
    def warm_after_ms(self) -> float: ...


def warmth(age_ms: float, rules: ColdStart) -> float:
    """The fraction of its full capacity that an upstream has at an age."""
    return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age_ms / rules.warm_after_ms)


class Job:
    """A request at an upstream."""

    __slots__ = ("class_index", "deadline_ms", "gone", "reply")

    def __init__(self, class_index: int, deadline_ms: float, reply: Reply) -> None:
        self.class_index, self.deadline_ms, self.reply = class_index, deadline_ms, reply
        self.gone = False  # lost when the process crashed


class Upstream:
    """Cores and one queue.

    A cold upstream is slower. One with `crowd` or more requests in flight is slower
    until half as many are left.
    """

    def __init__(
        self, world: Surroundings, tier: int, number: int, rating: float, zone: int, started_ms: float
    ) -> None:
        self._world, self.tier, self.number = world, tier, number
        self.rating, self.zone, self.started_ms = rating, zone, started_ms
        self._model: Tier = world.experiment.tiers[tier]
        self._random = random.Random(f"{world.seed} upstream {tier} {number}")
        self._rules = world.experiment.rules
        self._window = Window(self._rules.fall_ms)
        self._queue: deque[Job] = deque()
        self._jobs: dict[Job, None] = {}  # queued, running, or waiting for the next tier
        self._busy_cores = 0
        self.connections = 0
        self.slow, self.error_part, self.silent = 1.0, self._model.error_part, False
        self.down, self.vanished, self._crowded = False, False, False
        self._in_flight_history: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.copy: NextTierClient | None = None  # sends requests to the next tier

    def entry(self, state: UpstreamState) -> api.UpstreamEntry:
        return api.UpstreamEntry(self.number, self.zone, 0, 0, state, self.rating, self.started_ms)

    def warmth(self) -> float:
        """The current fraction of the full capacity."""
        if self.started_ms <= LONG_AGO_MS:
            return 1.0
        return warmth(self._world.timeline.now_ms - self.started_ms, self._rules)

    def arrive(self, job: Job, copy: str, request: int) -> None:
        """Accepts a request whose last byte has arrived."""
        timeline = self._world.timeline
        received, warmth = self._window.add(timeline.now_ms), self.warmth()
        if warmth < 1:
            capacity = self._rules.fall_ms * self._model.cores * self.rating * warmth / self._model.work_ms
            if received > max(3.0, self._rules.fall_multiple * capacity):
                self._world.checker.fell(timeline.now_ms, copy, request, self.number, received, capacity)
                self.crash()
                return
        if len(self._jobs) >= self._model.cores + self._model.queue:
            job.reply(Outcome.FULL)
            return
        self._jobs[job] = None
        self._record_in_flight()
        if len(self._jobs) >= self._model.crowd:
            self._crowded = True
        self._queue.append(job)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._busy_cores < self._model.cores:
            job = self._queue.popleft()
            self._busy_cores += 1
            work_ms = self._model.work_ms
            if self._model.work == "exponential":
                work_ms = self._random.expovariate(1 / work_ms)
            slowdown = self.slow * (self._model.crowd_factor if self._crowded else 1.0)
            took_ms = work_ms * slowdown / (self.rating * self.warmth())
            self._world.timeline.after(took_ms, lambda job=job: self._finish_work(job))  # type: ignore[misc]

    def _finish_work(self, job: Job) -> None:
        if job.gone:
            return
        self._busy_cores -= 1
        self._start_queued()
        if self._random.random() < self.error_part:
            self._complete(job, Outcome.ERROR)
        elif self.copy is None:
            self._complete(job, Outcome.OK)
        else:
            self.copy.call(job, lambda served: self._complete(job, Outcome.OK if served else Outcome.ERROR))

    def _complete(self, job: Job, outcome: Outcome) -> None:
        if job.gone:
            return
        del self._jobs[job]
        self._record_in_flight()
        if len(self._jobs) <= self._model.crowd // 2:
            self._crowded = False
        if not (self.silent or self.vanished):
            job.reply(outcome)

    def crash(self) -> None:
        """Stops the process: requests in flight are lost, connections break, new ones are refused."""
        self.down, self._busy_cores, self.connections = True, 0, 0
        lost, self._jobs = list(self._jobs), {}
        self._queue.clear()
        self._record_in_flight()
        for job in lost:
            job.gone = True
            if not self.vanished:
                job.reply(Outcome.RESET)
        self._world.forget_connections(self)

    def restart(self) -> None:
        """Starts a new, cold process."""
        self.down, self._crowded = False, False
        self.started_ms = self._world.timeline.now_ms
        self._window = Window(self._rules.fall_ms)

    def _record_in_flight(self) -> None:
        now_ms = self._world.timeline.now_ms
        self._in_flight_history.append((now_ms, len(self._jobs)))
        late_ms = self._world.experiment.news.report_late_ms
        while len(self._in_flight_history) > 1 and self._in_flight_history[1][0] <= now_ms - late_ms:
            self._in_flight_history.popleft()

    def report(self) -> tuple[float, ...]:
        """The number of requests in flight `report_late_ms` ago, as reports arrive late."""
        return (float(self._in_flight_history[0][1]),) if self._world.experiment.news.reports else ()
