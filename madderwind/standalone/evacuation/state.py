"""A balancer's state of one evacuation, with the observations since its current step began."""

from __future__ import annotations

import math

from madderwind.standalone.evacuation.messages import FULL_STEP, Evacuation

TRIAL_TIMEOUT_MS = 4000.0  # maximum duration of a trial
# Delay before the first trial and after a failed one; delay before the first trial in the local scope.
TRIAL_RETRY_MS, LOCAL_FIRST_TRIAL_MS = 1200.0, 2000.0
# At first the coordinators' messages compete with the many views sent at an evacuation.
COORDINATOR_GRACE_MS = 700.0
RESPONDING_MS = 3000.0  # a good answer from an evacuated area suggests for this long that it has recovered
STALE_ANSWER_MS = 1800.0  # good answers reported this soon after an evacuation may be older than it
LEASE_MS = 3600.0  # a step that is not renewed for this long falls back to step 0
NO_TRIAL = -1
LOCAL_SCOPE = 0xFFFF_FFFF  # scope of an evacuation that a balancer does not share
Slot = tuple[int, int]  # area and scope


class EvacuationState:
    """One evacuation as known to this balancer."""

    def __init__(self, evacuation: Evacuation, now: float) -> None:
        self.evacuation, self.since_ms, self.renewed_ms = evacuation, now, now
        self.returned_ms = now  # when the first step above 0 was taken
        self.good_ms: dict[int, float] = {}
        self.bad_ms: dict[int, float] = {}
        self.accusers: set[int] = set()
        self.keeps_using = False  # this balancer reaches the area and keeps using it
        self.exceeds_limit = False  # together with earlier evacuations it exceeds the withholding limit
        self.trial, self.trial_ms = NO_TRIAL, 0.0
        self.next_trial_ms = now + (
            LOCAL_FIRST_TRIAL_MS if evacuation.scope == LOCAL_SCOPE else TRIAL_RETRY_MS
        )
        self.last_trial_ms = -math.inf  # start of this balancer's last trial
        self.turn_ms = -math.inf  # start of the trial turn that belongs to the evacuation's number
        self.next_trial_index = self.bad_trials = 0
        # When enough coordinators were last seen active.
        self.enough_coordinators_ms = now + COORDINATOR_GRACE_MS
        self.coordinators_before = 0  # recently active coordinators of lower rank

    @property
    def is_evacuated(self) -> bool:
        """Whether the area is evacuated, in whole or in part."""
        return self.evacuation.step < FULL_STEP

    @property
    def in_force(self) -> bool:
        """Whether this balancer applies the evacuation."""
        return self.is_evacuated and not (self.keeps_using or self.exceeds_limit)

    def update(self, evacuation: Evacuation, now: float) -> None:
        """Apply a change or a renewal of the evacuation."""
        previous, self.evacuation = self.evacuation, evacuation
        self.renewed_ms = now
        if evacuation.number != previous.number:
            self.turn_ms = now
        if (evacuation.step, evacuation.episode) == (previous.step, previous.episode):
            return
        if evacuation.step and not (previous.step and evacuation.episode == previous.episode):
            self.returned_ms = now
        self.since_ms = now
        self.good_ms, self.bad_ms, self.accusers = {}, {}, set()

    def record_view(
        self, balancer: int, failing: frozenset[int], responding: frozenset[int], now: float
    ) -> None:
        """Record a balancer's report on the area's upstreams, by the low halves of their marks."""
        if self.evacuation.step == 0 and now - self.since_ms < STALE_ANSWER_MS:
            responding = frozenset()  # they may be from before the failure
        if failing:
            self.accusers.add(balancer)
        for table, marks in ((self.bad_ms, failing), (self.good_ms, responding)):
            for mark in marks:
                table[mark] = now

    def upstream_counts(self) -> tuple[int, int]:
        """Numbers of upstreams that were responding and failing by their last report in this step."""
        responding = sum(at > self.bad_ms.get(mark, -math.inf) for mark, at in self.good_ms.items())
        return responding, sum(at >= self.good_ms.get(mark, -math.inf) for mark, at in self.bad_ms.items())

    def fresh_responding(self, now: float) -> int:
        """Number of upstreams that recently gave any balancer a good answer."""
        return sum(now - at <= RESPONDING_MS for at in self.good_ms.values())

    def effective_step(self, now: float) -> int:
        """The step to apply: 0 for a partial step without renewal, so that a lost relapse does no harm."""
        partial = 0 < self.evacuation.step < FULL_STEP
        return 0 if partial and now - self.renewed_ms > LEASE_MS else self.evacuation.step
