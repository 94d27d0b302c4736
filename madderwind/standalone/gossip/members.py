"""Failure detection: probes in turn, indirect probes after an unanswered one, suspicion before death.

Implements SWIM (Das, Gupta, Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey,
2017): a constant load per member, incarnations that only the member itself raises, suspicion timeouts that
shorten as other members confirm the suspicion, and a local health score, by which a member that notices its
own slowness lengthens its timeouts.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

PROBE_PERIOD_MS = 500.0
PROBE_TIMEOUT_MS = 150.0  # until indirect probes are requested
INDIRECT_PROBES = 3
MAX_CONFIRMATIONS = 3  # by further accusers; with so many, the suspicion timeout is the shortest
# The shortest suspicion timeout is so many probe periods times the logarithm of the number of copies; with a
# single accuser it is longer by the factor.
MIN_SUSPICION_PERIODS, MAX_SUSPICION_FACTOR = 4.0, 4.0
MAX_HEALTH_SCORE = 6
LATE_TICK_MS = 400.0  # a tick this late shows that this process was stopped or starved of CPU
# The loss rate of direct pings is a moving average over about the last 20. At or above each threshold, one
# more failed probe is required before an accusation.
LOSS_WEIGHT, LOSS_THRESHOLDS, INITIAL_LOSS_RATE = 1 / 20, (0.1, 0.35), 0.5
DEAD_PROBE_INTERVAL = 4  # every fourth probe goes to a dead member, which detects a healed partition


class State(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Member:
    """What this copy believes about another one."""

    __slots__ = ("accusers", "heard_ms", "life", "since_ms", "state", "until_ms")

    def __init__(self) -> None:
        self.state, self.life = State.ALIVE, 0
        self.since_ms, self.until_ms, self.heard_ms = 0.0, math.inf, -math.inf
        self.accusers: set[int] = set()


class Probe(msgspec.Struct):
    """A probe in progress, for this copy itself (`requested_by` < 0) or for the copy that requested it."""

    target: int
    began_ms: float
    requested_by: int = -1
    indirect_sent: bool = False
    negative_replies: int = 0  # helpers that reported no answer either


class Changed(msgspec.Struct, frozen=True):
    """The believed state of a member, its incarnation or its accusers changed."""

    member: int
    state: State
    life: int
    accusers: tuple[int, ...] = ()


class Members:
    """All other copies of the fleet by their numbers, as this copy believes them to be."""

    def __init__(self, me: int, copies: int, chance: random.Random) -> None:
        self.me, self._random = me, chance
        self.all: dict[int, Member] = {n: Member() for n in range(copies) if n != me}
        self.health = 0  # 0 is healthy; each step lengthens the timeouts of this copy
        self._living_members = list(self.all)
        self._suspected_members: set[int] = set()
        self._probe_order: list[int] = []
        self._probes_made = 0
        self._priority_targets: dict[int, None] = {}  # to be probed again before others, the latest first
        self._failed_probes: dict[int, int] = {}  # consecutive, of direct and indirect probes
        # The recent loss rate of direct pings. It starts high, so that a copy without samples accuses late.
        self._loss_rate = INITIAL_LOSS_RATE

    def living(self) -> list[int]:
        """All members that are not believed dead."""
        return self._living_members

    def min_suspicion_ms(self) -> float:
        return MIN_SUSPICION_PERIODS * max(1.0, math.log10(len(self.all) + 1)) * PROBE_PERIOD_MS

    def scale(self) -> float:
        """The factor by which the timeouts of this copy are multiplied."""
        return 1.0 + self.health

    def raise_health_score(self) -> None:
        self.health = min(MAX_HEALTH_SCORE, self.health + 1)

    def lower_health_score(self) -> None:
        self.health = max(0, self.health - 1)

    def next_target(self) -> int | None:
        """The member to probe: each in turn in an order shuffled each round, and at intervals a dead one."""
        self._probes_made += 1
        while self._priority_targets:
            if self.all[number := self._priority_targets.popitem()[0]].state is not State.DEAD:
                return number
        if self._probes_made % DEAD_PROBE_INTERVAL == 0 and len(self._living_members) < len(self.all):
            return self._random.choice([n for n, m in self.all.items() if m.state is State.DEAD])
        for _ in range(2):
            while self._probe_order:
                if self.all[number := self._probe_order.pop()].state is not State.DEAD:
                    return number
            self._probe_order = list(self.all)
            self._random.shuffle(self._probe_order)
        return None

    def sample_living(self, count: int, excluded: int = -1) -> list[int]:
        """A random sample of `count` living members without `excluded`."""
        sampled = self._random.sample(self._living_members, min(count + 1, len(self._living_members)))
        return [n for n in sampled if n != excluded][:count]

    def record_direct_ping(self, answered: bool) -> None:
        """Record whether a direct ping was answered."""
        self._loss_rate += LOSS_WEIGHT * ((not answered) - self._loss_rate)

    def record_answer(self, number: int) -> None:
        self._failed_probes.pop(number, None)

    def record_failed_probe(self, number: int) -> bool:
        """Record that a probe and its indirect probes went unanswered; returns whether to accuse the member.

        When many direct pings are lost, a single failed probe is weak evidence, so the member is probed
        again first.
        """
        failures = self._failed_probes[number] = self._failed_probes.get(number, 0) + 1
        if failures < 1 + sum(self._loss_rate >= confirmed_part for confirmed_part in LOSS_THRESHOLDS):
            self._priority_targets[number] = None
            return False
        return True

    def record_message(self, number: int, life: int, now: float) -> Changed | None:
        """Record a message received directly from a member in this incarnation, which proves it alive.

        A higher incarnation, or any current message from a member believed dead, makes it alive. A suspected
        member stays suspected until it refutes the suspicion or the timeout ends, but does not become dead
        at the timeout (`resolve_expired_suspicions`).
        """
        member = self.all[number]
        member.heard_ms = now
        if life > member.life or (member.state is State.DEAD and life >= member.life):
            before = member.state
            changed = self._set_state(number, State.ALIVE, life, now)
            # A living member announces its new incarnation itself.
            return None if before is State.ALIVE else changed
        return None

    def apply_report(self, number: int, state: State, life: int, accuser: int, now: float) -> Changed | None:
        """Apply what another copy believes about a member; only newer information has an effect."""
        member = self.all[number]
        if state is State.ALIVE:
            return self._set_state(number, State.ALIVE, life, now) if life > member.life else None
        if life < member.life or (member.state is State.DEAD and life == member.life):
            return None
        if state is State.DEAD:
            return self._set_state(number, State.DEAD, life, now)
        return self.suspect(number, life, accuser, now)

    def suspect(self, number: int, life: int, accuser: int, now: float) -> Changed | None:
        """Add an accuser. A change of the accusers alone is returned as well, since it is gossiped too."""
        member = self.all[number]
        if life < member.life or (member.state is State.DEAD and life == member.life):
            return None
        if member.state is State.SUSPECT and life == member.life:
            if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
                return None
            member.accusers.add(accuser)
        else:
            self._set_state(number, State.SUSPECT, life, now)
            member.accusers = {accuser}
        confirmations = len(member.accusers) - 1
        min_ms = self.min_suspicion_ms()
        confirmed_part = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        duration_ms = min_ms * max(1.0, MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * confirmed_part)
        member.until_ms = member.since_ms + duration_ms * (
            self.scale() if member.accusers == {self.me} else 1.0
        )
        return Changed(number, State.SUSPECT, life, tuple(sorted(member.accusers)))

    def _set_state(self, number: int, state: State, life: int, now: float) -> Changed:
        member = self.all[number]
        if (state is State.DEAD) != (member.state is State.DEAD):
            self._living_members.remove(number) if state is State.DEAD else self._living_members.append(
                number
            )
        (self._suspected_members.add if state is State.SUSPECT else self._suspected_members.discard)(number)
        member.state, member.life, member.since_ms = state, life, now
        member.accusers, member.until_ms = set(), math.inf
        return Changed(number, state, life)

    def resolve_expired_suspicions(self, now: float) -> list[Changed]:
        """Turn suspicions whose timeout has ended into dead, or withdraw them.

        A single accuser is not enough where other members could confirm the suspicion. A member also does
        not become dead if this copy has not probed it without success itself, or has heard from it since.
        """
        changed = []
        for number in sorted(self._suspected_members):
            member = self.all[number]
            if now < member.until_ms:
                continue
            if member.heard_ms > member.since_ms:
                changed.append(self._set_state(number, State.ALIVE, member.life, now))
            elif self.me in member.accusers and (len(member.accusers) > 1 or len(self._living_members) < 2):
                changed.append(self._set_state(number, State.DEAD, member.life, now))
            else:
                self._priority_targets[number] = None  # this copy probes it itself
                member.until_ms = now + 2 * PROBE_PERIOD_MS * self.scale()
        return changed

    def record_pause(self, duration_ms: float) -> None:
        """Extend the suspicion timeouts after this process was stopped: silence meanwhile is no evidence."""
        self.raise_health_score()
        for number in self._suspected_members:
            self.all[number].until_ms += duration_ms
