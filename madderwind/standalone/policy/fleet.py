"""The upstreams as listed, in this balancer's own order of preference, and how many can be counted on."""

import math
import random

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, UpstreamState
from madderwind.standalone.policy.ring import GOLDEN, Ring
from madderwind.standalone.policy.traffic import Traffic
from madderwind.standalone.policy.upstreams import Upstream

NEAR, COPIES_EACH = (
    3,
    8,
)  # idle upstreams a pick draws from; balancers near to each, so that none alone matters
STEEPNESS = 3.0  # of slowness in the tie-break
OWED_MS = 4500.0  # one called back is owed its first attempt by chance between half of this and all of it
USABLE_EVERY_MS = 50.0  # between counts of the usable, which go over the whole fleet


class Fleet:
    """Every upstream known. `order` holds the ready ones, as preferred; so many of them are `near`."""

    def __init__(self, settings: api.Settings, traffic: Traffic, rng: random.Random) -> None:
        self._traffic, self._rng, self._ring = traffic, rng, Ring()
        self.upstreams, self.order = dict[int, Upstream](), list[Upstream]()
        self._usable, self._usable_ms, self.short = 0.0, -math.inf, False  # short: of what the fleet left
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        self.reorder()

    def listed(self, kind: ListKind, entries: tuple[api.UpstreamEntry, ...]) -> None:
        """The list, or changes to it."""
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
                    u.owed_ms = entry.started_ms + OWED_MS * self._rng.uniform(0.5, 1.0)
                u.relisted(entry)
            else:  # not yet heard from: picked by its size, where ratings tell that
                u = self.upstreams[number] = Upstream.listed(entry)
                if self._settings.ratings_tell_size and entry.is_rated:
                    u.slowness = math.pow(sum(ratings) / len(ratings) / entry.rating, 1 / STEEPNESS)
        self.reorder()

    def reorder(self) -> None:
        """Guards against balancers that know little of each upstream and connect to all: each prefers every
        so-many-th by rating, big and small, from a start of its own. Those owed an attempt come first."""
        ready = [u for u in self.upstreams.values() if u.entry.state is UpstreamState.READY]
        ready.sort(key=lambda u: (u.entry.rating, u.entry.upstream))
        self.near = min(len(ready), max(NEAR, math.ceil(COPIES_EACH * len(ready) / self._traffic.copies)))
        self._ring.place(ready)
        start, step = self._settings.me * GOLDEN % 1, 1 / max(1, self.near)
        at = {u: self._ring.distance(u.entry.upstream, start, step) for u in ready}
        self.order = sorted(ready, key=lambda u: (math.isinf(u.owed_ms), at[u]))
        self._usable_ms = -math.inf

    def usable(self, now: float) -> float:
        """How many upstreams can be counted on: ready, not set aside repeatedly, cold by their warmth."""
        if now - self._usable_ms >= USABLE_EVERY_MS:
            in_use = {u: u.warmth(now, self._settings) for u in self.order if u.counts(now)}
            self._usable, self._usable_ms = sum(in_use.values()), now
            self.short = any(u.left and in_use.get(u, 0.0) < 1 for u in self.upstreams.values())
        return self._usable
