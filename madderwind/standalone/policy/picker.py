"""The idle-first pick, restricted by the rules on draining and cold upstreams."""

import math
import random

from madderwind.balancing.candidates import idle_first
from madderwind.balancing.estimates import GAIN, SLOW_GAIN, Mean
from madderwind.standalone.policy import api, repetition
from madderwind.standalone.policy.fleet import BALANCERS_PER_UPSTREAM, MIN_SUBSET, SLOWNESS_EXPONENT, Fleet
from madderwind.standalone.policy.records import Request
from madderwind.standalone.policy.ring import GOLDEN_RATIO
from madderwind.standalone.policy.traffic import Traffic
from madderwind.standalone.policy.upstreams import DEAD_AFTER_CONNECTS, Upstream

# With a smaller part healthy, the failures have a common cause, and the ejected upstreams are used again.
MIN_HEALTHY_PART = 0.5
CROSS_ZONE_WEIGHT = 0.2  # factor on the weight of an upstream in another zone, if crossing has a price
# Upstreams that are likely to have a key cached, and the number of last requests whose keys are counted.
HOMES_PER_KEY, RECENT_KEYS = 2, 200
# Of the least capacity of cold upstreams, as random arrivals and unknown sizes add to their load.
COLD_MARGIN = 0.8


class Picker:
    """Draws an upstream for each attempt. `answer_times` covers all classes."""

    def __init__(self, settings: api.Settings, fleet: Fleet, traffic: Traffic, rng: random.Random) -> None:
        self._fleet, self._traffic, self._rng = fleet, traffic, rng
        self._now, self.answer_times = 0.0, Mean(SLOW_GAIN)
        # The cold upstreams that the last pick considered, and the total size of the warm ones.
        self._cold, self._warm_size = list[Upstream](), 0.0
        # Balancers start at different values, so that they don't all send their first request at once.
        self._all_cold_credit = settings.me * GOLDEN_RATIO % 1
        self._recent_keys = list[int]()
        self.cell_slowness = dict[int, float]()  # members of a cell may share a bottleneck
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        # The geometric mean of the least capacity and of the load at which it falls over.
        middle = math.sqrt(max(1.0, settings.fall_multiple))
        self._cold_part = middle if settings.ratings_tell_size else COLD_MARGIN

    def may_resend(self, request: Request, when: float) -> bool:
        """Whether any upstream may receive the request's next attempt at that time."""
        entries = (u.entry for u in self._fleet.upstreams.values())
        return any(repetition.may_be_resent(request, entry, when, self._settings) for entry in entries)

    def pick(self, request: Request, now: float) -> Upstream | None:
        """The upstream for the request's next attempt, or None if no upstream may receive it."""
        self._now = now
        any_warm = any(u.warmth(now, self._settings) >= 1 for u in self._fleet.order)
        if self._fleet.order and not any_warm and not self._admits_while_all_cold(now):
            return None
        candidates, cold = self._candidates(request, now, any_warm)
        healthy = [u for u in candidates if u.is_healthy(now)]
        if len(healthy) < MIN_HEALTHY_PART * len(candidates):
            healthy = candidates
        due = [u for u in healthy if now >= u.first_attempt_due_ms]
        pool = due or idle_first(healthy, lambda u: not u.in_flight_since_ms, self._load)
        if not pool:
            return None
        picked = self._rng.choices(pool, [self._weight(u) for u in pool])[0]
        if not math.isinf(picked.first_attempt_due_ms):
            picked.first_attempt_due_ms = math.inf
            self._fleet.reorder()
        if picked.cold_credit is not None:
            picked.cold_credit -= 1
        self._cold = cold
        if cold:
            self._warm_size = sum(
                self._relative_size(u) for u in healthy if u.warmth(now, self._settings) >= 1
            )
        return picked

    def _admits_while_all_cold(self, now: float) -> bool:
        """Whether this arrival is within what cold upstreams can serve of the fleet's usual traffic.

        No warm upstream shows how much that traffic is. The limit of one attempt at a time bounds the sum for
        up to BALANCERS_PER_UPSTREAM balancers only. With more, each sends the part of its own arrivals that
        keeps a fleet which was busy below the load at which it falls over.
        """
        if self._traffic.balancer_count <= BALANCERS_PER_UPSTREAM:
            return True
        order = self._fleet.order
        warmth = sum(u.warmth(now, self._settings) for u in order) / len(order)
        self._all_cold_credit += min(1.0, warmth * self._settings.fall_multiple)
        if self._all_cold_credit < 1.0:
            return False
        self._all_cold_credit -= 1.0
        return True

    def _candidates(
        self, request: Request, now: float, any_warm: bool
    ) -> tuple[list[Upstream], list[Upstream]]:
        """The first upstreams that may get the attempt, until enough are idle; and the cold ones considered.

        The one tried last and dead ones, which look idle, are candidates only if there are no others."""
        tried = request.attempts[-1].upstream.upstream if request.attempts else None
        order, idle_wanted = self._preference(request, now)
        candidates, cold, last_resort, idle = list[Upstream](), list[Upstream](), list[Upstream](), 0.0
        for u in order:
            if not repetition.may_be_resent(request, u.entry, now, self._settings):
                continue
            if u.warmth(now, self._settings) < 1:
                cold.append(u)
                if not self._cold_accepts(u, any_warm):
                    continue
            if u.entry.upstream == tried or (
                u.connect_failures >= DEAD_AFTER_CONNECTS and not u.is_healthy(now)
            ):
                last_resort.append(u)
                continue
            candidates.append(u)
            if u.is_healthy(now) and not u.in_flight_since_ms:
                # A slow one counts for less, so that the search goes on to further upstreams.
                idle += 1 / max(1.0, self.slowness(u))
            if idle >= idle_wanted:
                break
        return candidates or last_resort, cold

    def _preference(self, request: Request, now: float) -> tuple[list[Upstream], int]:
        """The order in which to consider upstreams, and how many idle ones to find."""
        if self._settings.warm_keys and request.key:
            return self._key_preference(request.key)
        part = self._traffic.part(now)
        return self._fleet.order, max(
            MIN_SUBSET, round(self._fleet.subset_size * part * self._traffic.balancer_count)
        )

    def _key_preference(self, key: int) -> tuple[list[Upstream], int]:
        """The upstreams by rendezvous hashing of the key, the same at all balancers, and how many to use.

        Those are the ones likely to have the key in their cache."""
        part = self._recent_keys.count(key) / max(1, len(self._recent_keys))
        self._recent_keys = [*self._recent_keys[1 - RECENT_KEYS :], key]

        def score(u: Upstream) -> float:
            return math.log(
                (hash((key, u.mark)) * 0x9E3779B97F4A7C15 % 2**64 + 1) / 2**64
            ) / self._relative_size(u)

        order = sorted(self._fleet.order, key=score, reverse=True)
        return order, HOMES_PER_KEY + math.floor(part * len(order))

    def _weight(self, u: Upstream) -> float:
        crosses = self._settings.cross_zone_price > 0 and u.entry.zone != self._settings.zone
        slowness = self.slowness(u) * self.cell_slowness.get(u.entry.cell, 1.0) ** 2
        return (CROSS_ZONE_WEIGHT if crosses else 1.0) / math.pow(slowness, SLOWNESS_EXPONENT)

    def _load(self, u: Upstream) -> float:
        return len(u.in_flight_since_ms) * self.slowness(u)  # so a slow one gets fewer requests in flight

    def record_duration(self, u: Upstream, ratio: float) -> None:
        """Record the ratio of an answer's or time-out's duration to the mean of its class."""
        u.slowness += GAIN * (ratio - u.slowness)
        known = self.cell_slowness.get(u.entry.cell, 1.0)
        self.cell_slowness[u.entry.cell] = known + GAIN / 4 * (ratio - known)

    def slowness(self, u: Upstream) -> float:
        """Its recorded slowness, or its time without an answer to open attempts if that indicates more.

        The latter shows that it is slow before any attempt has ended."""
        silent_ms = self._now - max(u.last_answer_ms, next(iter(u.in_flight_since_ms.values()), self._now))
        return max(u.slowness, silent_ms / self.answer_times.mean if self.answer_times.seen else 0.0)

    def _cold_accepts(self, u: Upstream, any_warm: bool) -> bool:
        """Whether a cold upstream may get an attempt: by its credit or, if all are cold, one at a time."""
        if not any_warm or self._now >= u.first_attempt_due_ms:
            return not u.in_flight_since_ms
        if u.cold_credit is None:  # starts at random, so that balancers don't all send their first at once
            u.cold_credit = -self._rng.random()
        return u.cold_credit >= 0 and not u.in_flight_since_ms

    def _relative_size(self, u: Upstream) -> float:
        return u.entry.rating if self._settings.ratings_tell_size and u.entry.is_rated else 1.0

    def credit_cold(self, u: Upstream, now: float) -> None:
        """Credit cold upstreams for a warm one's answer, so that all balancers together don't overload them.

        The credit is what warm upstreams of the same size answer (more may be sent to them than they can
        serve), reduced to the least capacity that the cold upstream has by now."""
        if u.warmth(now, self._settings) >= 1:
            for other in self._cold:
                if other.cold_credit is not None:
                    part = other.warmth(now, self._settings) * self._cold_part
                    earned = (
                        part * self._relative_size(other) / max(self._warm_size, self._relative_size(other))
                    )
                    other.cold_credit = min(other.cold_credit + earned, max(other.cold_credit, 0.0))
