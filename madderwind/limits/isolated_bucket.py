"""One tenant's bucket at a data plane that doesn't hear of the others.

The others may be asked for more than before, and nothing tells. So what is asked for here stands for all:
one of six data planes takes all to be asked for six times as much as it is, up to WORST_DEMAND times the
rate, and what it admits draws six times as much. Then the sum over all data planes is what one bucket
holds. A request at one of many data planes may so weigh more than the bucket holds; it is admitted by
chance, so that the sum is right on the average.
"""

from __future__ import annotations

from madderwind.limits.demand import MS_PER_S, DecayingRate
from madderwind.limits.quota_terms import QuotaTerms

DEMAND_TIME_CONSTANT_S = 1.0
# How far ahead the level is shared out.
HORIZON_S = 1.2
# What a tenant is taken to send at the most, in multiples of its rate.
WORST_DEMAND = 12.0
# Others that do hear each other share out the whole rate among them.
ISOLATED_RATE_PART = 0.8


class IsolatedBucket:
    """Lives from the loss of touch until all is settled again.

    `share`: this data plane's part of the fleet; `unnoticed_own_use`: what it admitted since touch was lost,
    before that was noticed; `unnoticed_peer_use`: what is assumed of the others for that time, and drawn
    already.
    """

    def __init__(
        self,
        now_ms: float,
        terms: QuotaTerms,
        headroom: float,
        share: float,
        unnoticed_own_use: float,
        unnoticed_peer_use: float,
    ) -> None:
        self._terms = terms
        undrawn = max(0.0, unnoticed_own_use * (1.0 / share - 1.0) - unnoticed_peer_use)
        self._level = headroom + terms.isolated_allowance - undrawn
        self._most = terms.burst + terms.margin + terms.isolated_allowance
        self._share = share
        self._updated_ms = now_ms
        self._own_demand = DecayingRate(DEMAND_TIME_CONSTANT_S)

    def record_demand(self, now_ms: float, amount: float) -> None:
        """Count a request, admitted or not."""
        self._own_demand.add(now_ms, amount)

    def spend(self, now_ms: float, amount: float) -> None:
        """Draw what was admitted here, and what the others are taken to admit meanwhile."""
        self._advance(now_ms)
        own_demand = self._own_demand.per_s(now_ms)
        multiple = self._demand(now_ms) / own_demand if own_demand > 0 else 1.0
        self._level -= amount * max(1.0, multiple)

    def refund(self, now_ms: float, amount: float, demand: float) -> None:
        """Take back a request that won't run: what was drawn for it, and what it counted for as demand."""
        self._advance(now_ms)
        self._level = min(self._most, self._level + amount)
        self._own_demand.add(now_ms, -demand)

    def chance(self, now_ms: float) -> float:
        """The chance with which a request is to be admitted now; 1 or more admits all."""
        self._advance(now_ms)
        available = self._rate_per_s * HORIZON_S + self._level
        wanted = self._demand(now_ms) * HORIZON_S
        return available / wanted if wanted > 0 else float(available > 0)

    @property
    def _rate_per_s(self) -> float:
        return self._terms.rate_per_s * ISOLATED_RATE_PART

    def _demand(self, now_ms: float) -> float:
        """What all are taken to be asked for a second."""
        return min(self._own_demand.per_s(now_ms) / self._share, WORST_DEMAND * self._terms.rate_per_s)

    def _advance(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        self._level = min(self._most, self._level + self._rate_per_s * elapsed_s)
        self._updated_ms = now_ms
