"""How many requests may be open. Guards against crowding: an upstream that holds too many grows slow and
stays so. The room shrinks by the smoothed ratio of answer times to a mark, a third of the way (by ratio) from
the class's best time to its aim, two thirds while short of what the fleet left. A balancer's part of it binds
over time, as requests come at random, but not while short and its answers quick."""

import math

from madderwind.balancing.estimates import GAIN, Mean
from madderwind.standalone.policy import api
from madderwind.standalone.policy.traffic import Traffic

ROOM_SHRINK, ROOM_GROWTH, SHORT_CREDIT = 0.9, 0.04, 0.5  # on a sign of queues; in a usual time, when short
MOST_PRESSURE = 2.0  # of one answer, where 1 is the mark: a few slow upstreams don't shrink the room of all
ROOM_START, ROOM_LEAST = (
    8.0,
    3.0,
)  # open requests an upstream, over all balancers; the least keeps all at work
OVER_SHARE_ROOM, CHEAP_ROOM = 0.75, 0.4  # of the room: beyond a share; what a worthless class would lack
CHANCE, QUICK = 3.0, 0.8  # deviations of a count (its root) left to chance; of the mark: nobody crowds


class Admission:
    """`room`: open requests an upstream in use, over all balancers, so that it goes with those lost."""

    def __init__(self, settings: api.Settings, traffic: Traffic) -> None:
        self._traffic, self.room = traffic, ROOM_START
        self.tune(settings)
        self._pressure, self._shrunk_ms, self._grown_ms, self._settled_ms = Mean(), -math.inf, 0.0, 0.0
        self._allowance, self._whole, self.short = dict[int, tuple[float, float]](), 0.0, False

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        worths = [max(0.0, request_class.worth) for request_class in settings.classes]
        parts = [1 - CHEAP_ROOM * (1 - worth / (max(worths) or 1.0)) for worth in worths]
        self._parts = [part * within for part in parts for within in (1.0, OVER_SHARE_ROOM)]
        self._dearest = max(range(len(self._parts)), key=self._parts.__getitem__, default=0)
        self.left = [1.0 for _ in self._parts]  # each part's credit, from 1 (nothing used) to -1

    def settle(self, opened: int, usable: float, typical_ms: float, now: float, short: bool) -> None:
        """Credits up to now, earned by room and spent by open requests, in what chance may bring."""
        spent, self._settled_ms, self.short = (now - self._settled_ms) / typical_ms, now, short
        self._whole = max(1e-9, self.room * max(1.0, usable) * self._traffic.part(now))
        least = 0.1 if short and self._pressure.mean < QUICK else -1.0
        for n, part in enumerate(self._parts):
            earned = (part * self._whole - opened) * spent / (CHANCE * math.sqrt(part * self._whole))
            self.left[n] = max(least, min(1.0, self.left[n] + earned))

    def admits(self, open_requests: int, class_index: int, tenant_index: int, now: float) -> bool:
        """Whether one more request may be open beside so many."""
        n = class_index * 2 + (not self._within_share(tenant_index, now))
        most_open = self._parts[n] * self._whole
        return self.left[n] > 0 and open_requests < most_open + CHANCE * math.sqrt(most_open)

    def _within_share(self, tenant_index: int, now: float) -> bool:
        """This balancer's part of the tenant's quota, as a bucket for what chance may bring in a second."""
        if tenant_index >= len(self._settings.tenants):
            return True
        rate = max(0.0, self._settings.tenants[tenant_index].quota_per_s) * self._traffic.part(now)
        most = rate + CHANCE * math.sqrt(rate)
        tokens, since = self._allowance.get(tenant_index, (most, now))
        tokens = min(most, tokens + rate * (now - since) / 1000)
        within = tokens >= min(1.0, most)
        self._allowance[tenant_index] = (tokens - 1 if within else tokens, now)
        return within

    def answered(self, elapsed_ms: float, usual: Mean, aim_ms: float, now: float) -> None:
        """What an answer of a class with such usual times tells of crowding."""
        aim_ms *= aim_ms / usual.best if self.short else 1.0  # the mark moves on by a third of the way
        self._pressure.add(min(MOST_PRESSURE, elapsed_ms / (usual.best**2 * aim_ms) ** (1 / 3)))
        if self._pressure.mean > 1:
            if now - self._shrunk_ms >= usual.mean:
                self.room, self._shrunk_ms = max(ROOM_LEAST, self.room * ROOM_SHRINK), now
        elif self.room < ROOM_START or self.left[self._dearest] < SHORT_CREDIT:
            told = GAIN * (1 - self._pressure.mean) ** 2  # one answer tells more, the farther it is from slow
            self.room *= 1 + min(told, ROOM_GROWTH * (now - self._grown_ms) / usual.mean)
        self._grown_ms = now
