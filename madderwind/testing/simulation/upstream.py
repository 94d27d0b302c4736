"""An upstream's model, free of I/O: cores, one queue, a cold start and the fall of one that gets too much.

The emulator plays it on its own clock, the drills' stand-ins on sockets: one model, so that both agree on
what could have been done.
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
LONG_AGO_MS = 0.0


class Clocked(Protocol):
    """A clock, and calls on it."""

    @property
    def now_ms(self) -> float: ...
    def after(self, after_ms: float, call: Callable[[], None]) -> None: ...


class Watching(Protocol):
    def fell(self, at_ms: float, copy: str, request: int, upstream: int, got: int, can: float) -> None: ...


class Surroundings(Protocol):
    """Where an upstream stands: what is modelled, the clock, and who hears that it fell or lost its
    connections."""

    @property
    def experiment(self) -> Experiment: ...
    @property
    def seed(self) -> int: ...
    @property
    def timeline(self) -> Clocked: ...
    @property
    def checker(self) -> Watching: ...
    def forget_connections(self, upstream: Upstream) -> None: ...


class Behind(Protocol):
    """Who makes the calls to the tier behind."""

    def call(self, job: Job, on_end: Callable[[bool], None]) -> None: ...


class ColdStart(Protocol):
    @property
    def start_capacity(self) -> float: ...
    @property
    def warm_after_ms(self) -> float: ...


def warmth(age_ms: float, rules: ColdStart) -> float:
    """The part of its capacity that an upstream has so long after its start."""
    return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age_ms / rules.warm_after_ms)


class Job:
    """A request at an upstream."""

    __slots__ = ("class_index", "deadline_ms", "gone", "reply")

    def __init__(self, class_index: int, deadline_ms: float, reply: Reply) -> None:
        self.class_index, self.deadline_ms, self.reply = class_index, deadline_ms, reply
        self.gone = False  # lost with the process


class Upstream:
    """Cores and one queue. Cold, it is slower; crowded, it is slow until half of the crowd is gone."""

    def __init__(
        self, world: Surroundings, tier: int, number: int, rating: float, zone: int, started_ms: float
    ) -> None:
        self._world, self.tier, self.number = world, tier, number
        self.rating, self.zone, self.started_ms = rating, zone, started_ms
        self._model: Tier = world.experiment.tiers[tier]
        self._chance = random.Random(f"{world.seed} upstream {tier} {number}")
        self._rules = world.experiment.rules
        self._window = Window(self._rules.fall_ms)
        self._queue: deque[Job] = deque()
        self._jobs: dict[Job, None] = {}  # all that it holds
        self._busy = 0
        self.connections = 0
        self.slow, self.error_part, self.silent = 1.0, self._model.error_part, False
        self.down, self.vanished, self._crowded = False, False, False
        self._held_at: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.copy: Behind | None = None  # for the tier behind it

    def entry(self, state: UpstreamState) -> api.UpstreamEntry:
        return api.UpstreamEntry(self.number, self.zone, 0, 0, state, self.rating, self.started_ms)

    def warmth(self) -> float:
        if self.started_ms <= LONG_AGO_MS:
            return 1.0
        return warmth(self._world.timeline.now_ms - self.started_ms, self._rules)

    def arrive(self, job: Job, copy: str, request: int) -> None:
        """A request's last byte has come."""
        timeline = self._world.timeline
        got, warmth = self._window.add(timeline.now_ms), self.warmth()
        if warmth < 1:
            can = self._rules.fall_ms * self._model.cores * self.rating * warmth / self._model.work_ms
            if got > max(3.0, self._rules.fall_multiple * can):
                self._world.checker.fell(timeline.now_ms, copy, request, self.number, got, can)
                self.crash()
                return
        if len(self._jobs) >= self._model.cores + self._model.queue:
            job.reply(Outcome.FULL)
            return
        self._jobs[job] = None
        self._note()
        if len(self._jobs) >= self._model.crowd:
            self._crowded = True
        self._queue.append(job)
        self._start()

    def _start(self) -> None:
        while self._queue and self._busy < self._model.cores:
            job = self._queue.popleft()
            self._busy += 1
            work_ms = self._model.work_ms
            if self._model.work == "exponential":
                work_ms = self._chance.expovariate(1 / work_ms)
            pace = self.slow * (self._model.crowd_factor if self._crowded else 1.0)
            took_ms = work_ms * pace / (self.rating * self.warmth())
            self._world.timeline.after(took_ms, lambda job=job: self._worked(job))  # type: ignore[misc]

    def _worked(self, job: Job) -> None:
        if job.gone:
            return
        self._busy -= 1
        self._start()
        if self._chance.random() < self.error_part:
            self._done(job, Outcome.ERROR)
        elif self.copy is None:
            self._done(job, Outcome.OK)
        else:
            self.copy.call(job, lambda served: self._done(job, Outcome.OK if served else Outcome.ERROR))

    def _done(self, job: Job, outcome: Outcome) -> None:
        if job.gone:
            return
        del self._jobs[job]
        self._note()
        if len(self._jobs) <= self._model.crowd // 2:
            self._crowded = False
        if not (self.silent or self.vanished):
            job.reply(outcome)

    def crash(self) -> None:
        """The process dies: what it holds is lost, connections break, new ones are refused."""
        self.down, self._busy, self.connections = True, 0, 0
        lost, self._jobs = list(self._jobs), {}
        self._queue.clear()
        self._note()
        for job in lost:
            job.gone = True
            if not self.vanished:
                job.reply(Outcome.RESET)
        self._world.forget_connections(self)

    def restart(self) -> None:
        self.down, self._crowded = False, False
        self.started_ms = self._world.timeline.now_ms
        self._window = Window(self._rules.fall_ms)

    def _note(self) -> None:
        now_ms = self._world.timeline.now_ms
        self._held_at.append((now_ms, len(self._jobs)))
        late_ms = self._world.experiment.news.report_late_ms
        while len(self._held_at) > 1 and self._held_at[1][0] <= now_ms - late_ms:
            self._held_at.popleft()

    def report(self) -> tuple[float, ...]:
        """What it held some time ago, as reports are late."""
        return (float(self._held_at[0][1]),) if self._world.experiment.news.reports else ()
