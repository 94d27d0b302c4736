"""What a balancer knows of an area that is left: the evacuation, and what was seen since its step began."""

from __future__ import annotations

import math

from madderwind.standalone.evacuation.messages import FULL, Evacuation

TRY_MS = 4000.0  # a trial's most
TRY_AGAIN_MS, SELF_TRY_MS = 1200.0, 2000.0  # before the first trial; of who left on its own observation
FIRST_SCOUTS_MS = 700.0  # at first the scouts' messages come through those of a leave
ANSWERS_MS = 3000.0  # a good answer of what is left says for so long that it may be back
STALE_MS = 1800.0  # after a leave, good answers that are told may be older than it
LEASE_MS = 3600.0  # a step that nobody renews is given up for step 0
NO_TRIAL = -1
SELF = 0xFFFF_FFFF  # the scope of an evacuation that a balancer keeps to itself
Slot = tuple[int, int]  # area and scope


class EvacuationState:
    """One evacuation as this balancer has it."""

    def __init__(self, evacuation: Evacuation, now: float) -> None:
        self.evacuation, self.since_ms, self.renewed_ms = evacuation, now, now
        self.returned_ms = now  # when the first step above none was taken
        self.good_ms: dict[int, float] = {}
        self.bad_ms: dict[int, float] = {}
        self.bad_copies: set[int] = set()
        self.stays = False  # this balancer reaches the area and goes on
        self.beyond = False  # with what was left before, more than may be withheld
        self.trial, self.trial_ms = NO_TRIAL, 0.0
        self.next_trial_ms = now + (SELF_TRY_MS if evacuation.scope == SELF else TRY_AGAIN_MS)
        self.tried_ms = -math.inf  # when this balancer last tried
        self.turn_ms = -math.inf  # when the turn in the dark began that goes with its number
        self.next = self.bad_trials = 0
        self.enough_ms = now + FIRST_SCOUTS_MS  # when enough scouts were last heard
        self.before = 0  # scouts of lower rank that were heard lately

    @property
    def is_left(self) -> bool:
        """Whether the area is left by now, in whole or in part."""
        return self.evacuation.step < FULL

    @property
    def in_force(self) -> bool:
        """Whether this balancer goes by it."""
        return self.is_left and not (self.stays or self.beyond)

    def takes(self, evacuation: Evacuation, now: float) -> None:
        """The evacuation changed or was renewed."""
        before, self.evacuation = self.evacuation, evacuation
        self.renewed_ms = now
        if evacuation.number != before.number:
            self.turn_ms = now
        if (evacuation.step, evacuation.episode) == (before.step, before.episode):
            return
        if evacuation.step and not (before.step and evacuation.episode == before.episode):
            self.returned_ms = now
        self.since_ms = now
        self.good_ms, self.bad_ms, self.bad_copies = {}, {}, set()

    def saw(self, copy: int, bads: frozenset[int], goods: frozenset[int], now: float) -> None:
        """What a balancer told of its upstreams, by the low halves of their marks."""
        if self.evacuation.step == 0 and now - self.since_ms < STALE_MS:
            goods = frozenset()  # they may be from before it failed
        if bads:
            self.bad_copies.add(copy)
        for table, marks in ((self.bad_ms, bads), (self.good_ms, goods)):
            for mark in marks:
                table[mark] = now

    def counts(self) -> tuple[int, int]:
        """Upstreams that were good, and bad, when last heard of in this step."""
        goods = sum(at > self.bad_ms.get(mark, -math.inf) for mark, at in self.good_ms.items())
        return goods, sum(at >= self.good_ms.get(mark, -math.inf) for mark, at in self.bad_ms.items())

    def fresh_goods(self, now: float) -> int:
        """Upstreams that gave some balancer a good answer lately."""
        return sum(now - at <= ANSWERS_MS for at in self.good_ms.values())

    def step(self, now: float) -> int:
        """In force: one that nobody renews is state for none, so that a lost relapse does no harm."""
        partial = 0 < self.evacuation.step < FULL
        return 0 if partial and now - self.renewed_ms > LEASE_MS else self.evacuation.step
