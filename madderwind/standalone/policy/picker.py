"""The design's idle-first pick, within the rules on drains and cold upstreams."""

import math
import random

from madderwind.balancing.candidates import idle_first
from madderwind.balancing.estimates import GAIN, SLOW_GAIN, Mean
from madderwind.standalone.policy import api, repetition
from madderwind.standalone.policy.fleet import COPIES_EACH, NEAR, STEEPNESS, Fleet
from madderwind.standalone.policy.records import Request
from madderwind.standalone.policy.ring import GOLDEN
from madderwind.standalone.policy.traffic import Traffic
from madderwind.standalone.policy.upstreams import DEAD, Upstream

SOUND_PART = 0.5  # fewer sound ones than this part: all have one cause, and those set aside are used again
CROSS_ZONE_PART = 0.2  # of the weight in the tie-break for another zone, if that is priced
HOMES, KEYS_KEPT = 2, 200  # of a key; and the requests whose keys are counted
COLD_CAUTION = 0.8  # of their least capacity for cold upstreams, as chance and unknown size add to it


class Picker:
    """Draws an upstream for each attempt. `typical`: answer times of all classes."""

    def __init__(self, settings: api.Settings, fleet: Fleet, traffic: Traffic, rng: random.Random) -> None:
        self._fleet, self._traffic, self._rng = fleet, traffic, rng
        self._now, self.typical = 0.0, Mean(SLOW_GAIN)
        self._cold, self._warm = list[Upstream](), 0.0  # that the last pick met, and the warm ones' size
        self._all_cold_credit = settings.me * GOLDEN % 1  # spread, so that not all send their first at once
        self._keys = list[int]()  # of the last requests
        self.cells = dict[int, float]()  # each one's slowness: its members may have a limit in common
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        middle = math.sqrt(max(1.0, settings.fall_multiple))  # by ratio, of the least and of where it falls
        self._cold_part = middle if settings.ratings_tell_size else COLD_CAUTION

    def has_place(self, request: Request, when: float) -> bool:
        """Whether any upstream may have the request's next attempt then."""
        entries = (u.entry for u in self._fleet.upstreams.values())
        return any(repetition.may_be_resent(request, entry, when, self._settings) for entry in entries)

    def pick(self, request: Request, now: float) -> Upstream | None:
        """The upstream for the request's next attempt, or None where no upstream may have it."""
        self._now = now
        any_warm = any(u.warmth(now, self._settings) >= 1 for u in self._fleet.order)
        if self._fleet.order and not any_warm and not self._takes_part_while_all_are_cold(now):
            return None
        able, cold = self._able(request, now, any_warm)
        sound = [u for u in able if u.sound(now)]
        if len(sound) < SOUND_PART * len(able):
            sound = able
        owed = [u for u in sound if now >= u.owed_ms]
        pool = owed or idle_first(sound, lambda u: not u.sent_ms, self._load)
        if not pool:
            return None
        chosen = self._rng.choices(pool, [self._weight(u) for u in pool])[0]
        if not math.isinf(chosen.owed_ms):
            chosen.owed_ms = math.inf
            self._fleet.reorder()
        if chosen.cold_credit is not None:
            chosen.cold_credit -= 1
        self._cold = cold
        if cold:
            self._warm = sum(self._size(u) for u in sound if u.warmth(now, self._settings) >= 1)
        return chosen

    def _takes_part_while_all_are_cold(self, now: float) -> bool:
        """Whether this arrival is within what all cold upstreams bear of the fleet's usual traffic.

        No warm upstream shows how much that is, and one attempt at a time bounds the sum only over as many
        balancers as are near to an upstream: with more, each takes the part of its own arrivals by which a
        fleet that was busy stays below the fall.
        """
        if self._traffic.copies <= COPIES_EACH:
            return True
        order = self._fleet.order
        warmth = sum(u.warmth(now, self._settings) for u in order) / len(order)
        self._all_cold_credit += min(1.0, warmth * self._settings.fall_multiple)
        if self._all_cold_credit < 1.0:
            return False
        self._all_cold_credit -= 1.0
        return True

    def _able(self, request: Request, now: float, any_warm: bool) -> tuple[list[Upstream], list[Upstream]]:
        """The nearest that may have it, until enough are idle; and the cold ones among those looked at. One
        just tried, or dead, which looks idle, only where no others live."""
        tried = request.attempts[-1].upstream.upstream if request.attempts else None
        order, near = self._preference(request, now)
        able, cold, last, idle = list[Upstream](), list[Upstream](), list[Upstream](), 0.0
        for u in order:
            if not repetition.may_be_resent(request, u.entry, now, self._settings):
                continue
            if u.warmth(now, self._settings) < 1:
                cold.append(u)
                if not self._takes_cold(u, any_warm):
                    continue
            if u.entry.upstream == tried or (u.refused >= DEAD and not u.sound(now)):
                last.append(u)
                continue
            able.append(u)
            if (
                u.sound(now) and not u.sent_ms
            ):  # a slow one counts for less, so that its neighbours look further
                idle += 1 / max(1.0, self.slowness(u))
            if idle >= near:
                break
        return able or last, cold

    def _preference(self, request: Request, now: float) -> tuple[list[Upstream], int]:
        """In which order to look, and how many idle ones to look for."""
        if self._settings.warm_keys and request.key:
            return self._homes(request.key)
        part = self._traffic.part(now)
        return self._fleet.order, max(NEAR, round(self._fleet.near * part * self._traffic.copies))

    def _homes(self, key: int) -> tuple[list[Upstream], int]:
        """Where the key is warm, likeliest first, alike at all balancers (rendezvous hashing); how many."""
        part = self._keys.count(key) / max(1, len(self._keys))
        self._keys = [*self._keys[1 - KEYS_KEPT :], key]

        def rank(u: Upstream) -> float:
            return math.log((hash((key, u.mark)) * 0x9E3779B97F4A7C15 % 2**64 + 1) / 2**64) / self._size(u)

        order = sorted(self._fleet.order, key=rank, reverse=True)
        return order, HOMES + math.floor(part * len(order))

    def _weight(self, u: Upstream) -> float:
        crosses = self._settings.cross_zone_price > 0 and u.entry.zone != self._settings.zone
        slowness = self.slowness(u) * self.cells.get(u.entry.cell, 1.0) ** 2
        return (CROSS_ZONE_PART if crosses else 1.0) / math.pow(slowness, STEEPNESS)

    def _load(self, u: Upstream) -> float:
        return len(u.sent_ms) * self.slowness(u)  # a slow one may not hold as many

    def took(self, u: Upstream, ratio: float) -> None:
        """An answer's or a time-out's time over its class's usual."""
        u.slowness += GAIN * (ratio - u.slowness)
        known = self.cells.get(u.entry.cell, 1.0)
        self.cells[u.entry.cell] = known + GAIN / 4 * (ratio - known)

    def slowness(self, u: Upstream) -> float:
        """What was learned of it, or its silence with work out, which tells before any answer does."""
        silent_ms = self._now - max(u.heard_ms, next(iter(u.sent_ms.values()), self._now))
        return max(u.slowness, silent_ms / self.typical.mean if self.typical.seen else 0.0)

    def _takes_cold(self, u: Upstream, any_warm: bool) -> bool:
        """A cold upstream takes what its credit allows; where all are cold, one attempt at a time."""
        if not any_warm or self._now >= u.owed_ms:
            return not u.sent_ms
        if u.cold_credit is None:  # a random start, so that not all balancers send their first at once
            u.cold_credit = -self._rng.random()
        return u.cold_credit >= 0 and not u.sent_ms

    def _size(self, u: Upstream) -> float:
        return u.entry.rating if self._settings.ratings_tell_size and u.entry.is_rated else 1.0

    def carried(self, u: Upstream, now: float) -> None:
        """Guards against all balancers together pushing a cold upstream over: it is sent what warm ones of
        its size answer (they may be sent more than they can do), cut to its least capacity by now."""
        if u.warmth(now, self._settings) >= 1:
            for other in self._cold:
                if other.cold_credit is not None:
                    part = other.warmth(now, self._settings) * self._cold_part
                    earned = part * self._size(other) / max(self._warm, self._size(other))
                    other.cold_credit = min(other.cold_credit + earned, max(other.cold_credit, 0.0))
