"""Limits how many requests may be open: an upstream with too many open requests becomes slow and stays slow.

The limit shrinks when the smoothed ratio of answer times to a target exceeds 1. On a log scale the target is
a third of the way from the class's best time to its goal, and two thirds of the way while the capacity of
evacuated upstreams is missing. A balancer's share of the limit binds on average over time, since requests
arrive at random; it doesn't bind while that capacity is missing and answers are fast."""

import math

from madderwind.balancing.estimates import GAIN, Mean
from madderwind.standalone.policy import api
from madderwind.standalone.policy.traffic import Traffic

# The factor when answers indicate queueing, and the most growth in a mean answer time. The limit grows only
# while the credit of the most valuable class is below GROWTH_CREDIT.
LIMIT_SHRINK, LIMIT_GROWTH, GROWTH_CREDIT = 0.9, 0.04, 0.5
MAX_PRESSURE = 2.0  # of one answer, where 1 is the target: a few slow upstreams don't shrink the whole limit
# Open requests per upstream, over all balancers. The minimum keeps every upstream busy.
INITIAL_LIMIT, MIN_LIMIT = 8.0, 3.0
# The parts of the limit that a tenant over its quota may use, and that a class of worth 0 may not use.
OVER_SHARE_PART, LOW_WORTH_PART = 0.75, 0.4
# Tolerated standard deviations (square roots) of a random count, and a pressure without any queueing.
DEVIATIONS, FAST_PRESSURE = 3.0, 0.8


class Admission:
    """`room` is the limit of open requests per usable upstream, over all balancers.

    So the total limit falls when upstreams are lost. `short`: capacity of evacuated upstreams is missing."""

    def __init__(self, settings: api.Settings, traffic: Traffic) -> None:
        self._traffic, self.room = traffic, INITIAL_LIMIT
        self.apply_settings(settings)
        self._pressure, self._shrunk_ms, self._grown_ms, self._credited_ms = Mean(), -math.inf, 0.0, 0.0
        self._quota_tokens, self._own_limit, self.short = dict[int, tuple[float, float]](), 0.0, False

    def apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        worths = [max(0.0, request_class.worth) for request_class in settings.classes]
        parts = [1 - LOW_WORTH_PART * (1 - worth / (max(worths) or 1.0)) for worth in worths]
        self._limit_parts = [part * within for part in parts for within in (1.0, OVER_SHARE_PART)]
        self._most_valuable = max(range(len(self._limit_parts)), key=self._limit_parts.__getitem__, default=0)
        self.credit = [1.0 for _ in self._limit_parts]  # of each part, from 1 (unused) to -1

    def update_credit(
        self, open_requests: int, usable: float, typical_ms: float, now: float, short: bool
    ) -> None:
        """Add the credit that the limit earned, less what open requests spent, scaled by random noise."""
        elapsed, self._credited_ms, self.short = (now - self._credited_ms) / typical_ms, now, short
        self._own_limit = max(1e-9, self.room * max(1.0, usable) * self._traffic.part(now))
        min_credit = 0.1 if short and self._pressure.mean < FAST_PRESSURE else -1.0
        for n, part in enumerate(self._limit_parts):
            earned = (
                (part * self._own_limit - open_requests)
                * elapsed
                / (DEVIATIONS * math.sqrt(part * self._own_limit))
            )
            self.credit[n] = max(min_credit, min(1.0, self.credit[n] + earned))

    def admits(self, open_requests: int, class_index: int, tenant_index: int, now: float) -> bool:
        """Whether one more request may open in addition to `open_requests`."""
        n = class_index * 2 + (not self._within_share(tenant_index, now))
        limit = self._limit_parts[n] * self._own_limit
        return self.credit[n] > 0 and open_requests < limit + DEVIATIONS * math.sqrt(limit)

    def _within_share(self, tenant_index: int, now: float) -> bool:
        """Take a token of this balancer's part of the tenant's quota.

        The bucket holds one second of the rate and its random variation."""
        if tenant_index >= len(self._settings.tenants):
            return True
        rate = max(0.0, self._settings.tenants[tenant_index].quota_per_s) * self._traffic.part(now)
        capacity = rate + DEVIATIONS * math.sqrt(rate)
        tokens, updated_ms = self._quota_tokens.get(tenant_index, (capacity, now))
        tokens = min(capacity, tokens + rate * (now - updated_ms) / 1000)
        within = tokens >= min(1.0, capacity)
        self._quota_tokens[tenant_index] = (tokens - 1 if within else tokens, now)
        return within

    def record_answer(self, elapsed_ms: float, answer_times: Mean, aim_ms: float, now: float) -> None:
        """Adjust the limit by an answer's time, compared with the answer times of its class."""
        # This factor moves the target from a third to two thirds of the way.
        aim_ms *= aim_ms / answer_times.best if self.short else 1.0
        self._pressure.add(min(MAX_PRESSURE, elapsed_ms / (answer_times.best**2 * aim_ms) ** (1 / 3)))
        if self._pressure.mean > 1:
            if now - self._shrunk_ms >= answer_times.mean:
                self.room, self._shrunk_ms = max(MIN_LIMIT, self.room * LIMIT_SHRINK), now
        elif self.room < INITIAL_LIMIT or self.credit[self._most_valuable] < GROWTH_CREDIT:
            # An answer counts for more the further the pressure is below the target.
            growth = GAIN * (1 - self._pressure.mean) ** 2
            self.room *= 1 + min(growth, LIMIT_GROWTH * (now - self._grown_ms) / answer_times.mean)
        self._grown_ms = now
