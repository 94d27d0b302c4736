"""The listed upstreams, in this balancer's own order of preference, and the capacity that they provide."""

import math
import random

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, UpstreamState
from madderwind.standalone.policy.ring import GOLDEN_RATIO, Ring
from madderwind.standalone.policy.traffic import Traffic
from madderwind.standalone.policy.upstreams import Upstream

# The least number of idle upstreams that a pick draws from, and the number of balancers that have an upstream
# in their subset, so that the upstream depends on no single balancer.
MIN_SUBSET, BALANCERS_PER_UPSTREAM = 3, 8
SLOWNESS_EXPONENT = 3.0  # in the weights of the random draw
FIRST_ATTEMPT_MS = 4500.0  # a restored upstream is due a first attempt at random after half to all of this
COUNT_INTERVAL_MS = 50.0  # between counts of the usable upstreams, which go over the whole fleet


class Fleet:
    """All known upstreams. `order` holds the ready ones by preference, and the first `subset_size` of them
    are the balancer's subset. `short`: capacity is missing because the fleet evacuated upstreams."""

    def __init__(self, settings: api.Settings, traffic: Traffic, rng: random.Random) -> None:
        self._traffic, self._rng, self._ring = traffic, rng, Ring()
        self.upstreams, self.order = dict[int, Upstream](), list[Upstream]()
        self._usable, self._counted_ms, self.short = 0.0, -math.inf, False
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self.reorder()

    def listed(self, kind: ListKind, entries: tuple[api.UpstreamEntry, ...]) -> None:
        """Apply a list of upstreams, or changes to the current one."""
        fresh = {entry.upstream: entry for entry in entries}
        if kind is not ListKind.CHANGES:
            self.upstreams = {number: u for number, u in self.upstreams.items() if number in fresh}
        known = [*fresh.values(), *(u.entry for u in self.upstreams.values())]
        ratings = [entry.rating for entry in known if entry.is_rated]
        for number, entry in fresh.items():
            if entry.state is UpstreamState.GONE:
                self.upstreams.pop(number, None)
            elif number in self.upstreams:
                u = self.upstreams[number]
                if u.entry.state is UpstreamState.SUSPENDED and entry.state is UpstreamState.READY:
                    u.first_attempt_due_ms = entry.started_ms + FIRST_ATTEMPT_MS * self._rng.uniform(0.5, 1.0)
                u.update_entry(entry)
            else:  # without answers so far, its slowness is estimated from its rating, where that tells size
                u = self.upstreams[number] = Upstream.from_entry(entry)
                if self._settings.ratings_tell_size and entry.is_rated:
                    u.slowness = math.pow(sum(ratings) / len(ratings) / entry.rating, 1 / SLOWNESS_EXPONENT)
        self.reorder()

    def reorder(self) -> None:
        """Compute this balancer's order, so that it connects to few upstreams and has statistics on each.

        It prefers upstreams at equal distances in the order of ratings, so of all sizes, from an offset of
        its own. Those due a first attempt come first."""
        ready = [u for u in self.upstreams.values() if u.entry.state is UpstreamState.READY]
        ready.sort(key=lambda u: (u.entry.rating, u.entry.upstream))
        self.subset_size = min(
            len(ready),
            max(MIN_SUBSET, math.ceil(BALANCERS_PER_UPSTREAM * len(ready) / self._traffic.balancer_count)),
        )
        self._ring.assign(ready)
        start, step = self._settings.me * GOLDEN_RATIO % 1, 1 / max(1, self.subset_size)
        distances = {u: self._ring.distance(u.entry.upstream, start, step) for u in ready}
        self.order = sorted(ready, key=lambda u: (math.isinf(u.first_attempt_due_ms), distances[u]))
        self._counted_ms = -math.inf

    def usable(self, now: float) -> float:
        """The number of ready upstreams that are not repeatedly ejected; a cold one counts by its warmth."""
        if now - self._counted_ms >= COUNT_INTERVAL_MS:
            in_use = {u: u.warmth(now, self._settings) for u in self.order if u.counts_as_capacity(now)}
            self._usable, self._counted_ms = sum(in_use.values()), now
            self.short = any(u.evacuated and in_use.get(u, 0.0) < 1 for u in self.upstreams.values())
        return self._usable
