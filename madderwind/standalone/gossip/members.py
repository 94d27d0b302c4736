"""Who is alive: probing in turn, by others where one's own probe went unanswered, and suspicion before death.

From SWIM (Das, Gupta, Motivala, 2002) and Lifeguard's refinements of it (Dadgar, Phillips, Currey, 2017): a
constant load a member, incarnations that only the member itself raises, suspicions that shorten as others
confirm them, and a member that notices its own slowness and trusts itself less.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

PERIOD_MS = 500.0
ANSWER_MS = 150.0  # for a probe's answer; then others are asked
HELPERS = 3
CONFIRMATIONS = 3  # other accusers, with whom a suspicion lasts the least
LEAST_PERIODS, MOST_FACTOR = 4.0, 4.0  # of a suspicion: by the fleet's logarithm; and alone, over the least
WORST_HEALTH = 6
LATE_MS = 400.0  # a call so late says that this process was stopped or starved
# Of first pings lost lately, by the last 20 or so: from so many on, one look more before an accusation.
LOSS_GAIN, LOSSY, LOSS_FIRST = 1 / 20, (0.1, 0.35), 0.5
DEAD_EACH = 4  # so many probes in turn, one goes to a member held dead: a cut that heals is found


class State(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Member:
    """What this copy holds of another."""

    __slots__ = ("accusers", "heard_ms", "life", "since_ms", "state", "until_ms")

    def __init__(self) -> None:
        self.state, self.life = State.ALIVE, 0
        self.since_ms, self.until_ms, self.heard_ms = 0.0, math.inf, -math.inf
        self.accusers: set[int] = set()


class Probe(msgspec.Struct):
    """A probe under way, of this copy's own (`asked_by` < 0) or for another."""

    target: int
    began_ms: float
    asked_by: int = -1
    helped: bool = False  # others were asked
    refused: int = 0  # helpers that told that they had no answer either


class Changed(msgspec.Struct, frozen=True):
    """A member is held to be otherwise from now on."""

    member: int
    state: State
    life: int
    accusers: tuple[int, ...] = ()


class Members:
    """All other copies of the fleet by their numbers, as this copy sees them."""

    def __init__(self, me: int, copies: int, chance: random.Random) -> None:
        self.me, self._chance = me, chance
        self.all: dict[int, Member] = {n: Member() for n in range(copies) if n != me}
        self.health = 0  # 0 is well; each step makes this copy's own times longer
        self._living = list(self.all)
        self._suspects: set[int] = set()
        self._turns: list[int] = []
        self._probes_made = 0
        self._first: dict[int, None] = {}  # to be probed before others, for a second look; the latest first
        self._unanswered: dict[int, int] = {}  # probes in a row, with helpers, that brought nothing
        # The part of first pings that went unanswered lately; who knows nothing yet trusts itself little.
        self._missed = LOSS_FIRST

    def living(self) -> list[int]:
        """All that are not held dead."""
        return self._living

    def least_suspicion_ms(self) -> float:
        return LEAST_PERIODS * max(1.0, math.log10(len(self.all) + 1)) * PERIOD_MS

    def scale(self) -> float:
        """What this copy's own times are multiplied by."""
        return 1.0 + self.health

    def worse(self) -> None:
        self.health = min(WORST_HEALTH, self.health + 1)

    def better(self) -> None:
        self.health = max(0, self.health - 1)

    def next_target(self) -> int | None:
        """Whom to probe: each in turn, in an order drawn anew each time round; seldom one held dead."""
        self._probes_made += 1
        while self._first:
            if self.all[number := self._first.popitem()[0]].state is not State.DEAD:
                return number
        if self._probes_made % DEAD_EACH == 0 and len(self._living) < len(self.all):
            return self._chance.choice([n for n, m in self.all.items() if m.state is State.DEAD])
        for _ in range(2):
            while self._turns:
                if self.all[number := self._turns.pop()].state is not State.DEAD:
                    return number
            self._turns = list(self.all)
            self._chance.shuffle(self._turns)
        return None

    def some(self, count: int, besides: int = -1) -> list[int]:
        """So many living ones by chance."""
        drawn = self._chance.sample(self._living, min(count + 1, len(self._living)))
        return [n for n in drawn if n != besides][:count]

    # --- this copy's own probes ---

    def pinged(self, answered: bool) -> None:
        """What became of a first ping."""
        self._missed += LOSS_GAIN * ((not answered) - self._missed)

    def answers(self, number: int) -> None:
        self._unanswered.pop(number, None)

    def silent(self, number: int) -> bool:
        """A probe with all its helpers brought nothing. Whether that is enough to accuse: where many first
        pings are lost, one probe says little, so this copy looks again before it speaks."""
        looks = self._unanswered[number] = self._unanswered.get(number, 0) + 1
        if looks < 1 + sum(self._missed >= part for part in LOSSY):
            self._first[number] = None
            return False
        return True

    # --- what is learned ---

    def heard(self, number: int, life: int, now: float) -> Changed | None:
        """A message came from this very member, in this life of it: that it lives needs no other witness.

        A higher life, or any message from one that was held dead, makes it alive. One that is suspected stays
        so until it says so itself or its time is over, but does not die of it (`expired`).
        """
        member = self.all[number]
        member.heard_ms = now
        if life > member.life or (member.state is State.DEAD and life >= member.life):
            before = member.state
            changed = self._becomes(number, State.ALIVE, life, now)
            return None if before is State.ALIVE else changed  # no news: it tells its life itself
        return None

    def told(self, number: int, state: State, life: int, accuser: int, now: float) -> Changed | None:
        """What others hold of a member; only what is newer than what is known changes anything."""
        member = self.all[number]
        if state is State.ALIVE:
            return self._becomes(number, State.ALIVE, life, now) if life > member.life else None
        if life < member.life or (member.state is State.DEAD and life == member.life):
            return None
        if state is State.DEAD:
            return self._becomes(number, State.DEAD, life, now)
        return self.suspect(number, life, accuser, now)

    def suspect(self, number: int, life: int, accuser: int, now: float) -> Changed | None:
        """One more accuser. Returned also where only the accusers changed: that is news as well."""
        member = self.all[number]
        if life < member.life or (member.state is State.DEAD and life == member.life):
            return None
        if member.state is State.SUSPECT and life == member.life:
            if accuser in member.accusers or len(member.accusers) > CONFIRMATIONS:
                return None
            member.accusers.add(accuser)
        else:
            self._becomes(number, State.SUSPECT, life, now)
            member.accusers = {accuser}
        others = len(member.accusers) - 1
        least_ms = self.least_suspicion_ms()
        part = math.log(others + 1) / math.log(CONFIRMATIONS + 1)
        lasts_ms = least_ms * max(1.0, MOST_FACTOR - (MOST_FACTOR - 1) * part)
        member.until_ms = member.since_ms + lasts_ms * (self.scale() if member.accusers == {self.me} else 1.0)
        return Changed(number, State.SUSPECT, life, tuple(sorted(member.accusers)))

    def _becomes(self, number: int, state: State, life: int, now: float) -> Changed:
        member = self.all[number]
        if (state is State.DEAD) != (member.state is State.DEAD):
            self._living.remove(number) if state is State.DEAD else self._living.append(number)
        (self._suspects.add if state is State.SUSPECT else self._suspects.discard)(number)
        member.state, member.life, member.since_ms = state, life, now
        member.accusers, member.until_ms = set(), math.inf
        return Changed(number, state, life)

    def expired(self, now: float) -> list[Changed]:
        """Suspicions whose time is over: death, or not. Nobody dies by one accuser alone where there are
        others who could say so, nor by the word of one that has not looked itself, or hears it."""
        changed = []
        for number in sorted(self._suspects):
            member = self.all[number]
            if now < member.until_ms:
                continue
            if member.heard_ms > member.since_ms:
                changed.append(self._becomes(number, State.ALIVE, member.life, now))
            elif self.me in member.accusers and (len(member.accusers) > 1 or len(self._living) < 2):
                changed.append(self._becomes(number, State.DEAD, member.life, now))
            else:
                self._first[number] = None  # this copy looks for itself
                member.until_ms = now + 2 * PERIOD_MS * self.scale()
        return changed

    def was_away(self, for_ms: float) -> None:
        """This process was stopped: what it did not hear meanwhile says nothing of the others."""
        self.worse()
        for number in self._suspects:
            self.all[number].until_ms += for_ms
