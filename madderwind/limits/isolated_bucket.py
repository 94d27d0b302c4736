"""One tenant's token bucket at a data plane that receives no usage reports of the others.

The demand at the other data planes may rise without this one learning of it, so its own demand is
extrapolated to the fleet: one of six data planes assumes that the fleet's demand is six times its own, up to
MAX_DEMAND_MULTIPLE times the rate, and draws six times what it admits. Then the sum over all data planes is
what one bucket holds. With many data planes the amount drawn for one request may exceed what the bucket
holds; such a request is admitted at random, so that the sum is right on average.
"""

from __future__ import annotations

from madderwind.limits.demand import MS_PER_S, DecayingRate
from madderwind.limits.quota_terms import QuotaTerms

DEMAND_TIME_CONSTANT_S = 1.0
# The time over which the level is spread.
HORIZON_S = 1.2
# The highest demand that is assumed of a tenant, as a multiple of its rate.
MAX_DEMAND_MULTIPLE = 12.0
# Below 1, as the data planes that still exchange reports divide the whole rate among themselves.
ISOLATED_RATE_FRACTION = 0.8


class IsolatedBucket:
    """Exists from the loss of the connection until the usage during the outage has been reported.

    `fleet_fraction`: this data plane's fraction of the fleet; `own_use_before_detection`: what it admitted
    between the loss of the connection and its detection; `peer_use_before_detection`: what the others are
    assumed to have admitted in that time, which has been drawn already.
    """

    def __init__(
        self,
        now_ms: float,
        terms: QuotaTerms,
        headroom: float,
        fleet_fraction: float,
        own_use_before_detection: float,
        peer_use_before_detection: float,
    ) -> None:
        self._terms = terms
        undrawn_peer_use = max(
            0.0, own_use_before_detection * (1.0 / fleet_fraction - 1.0) - peer_use_before_detection
        )
        self._level = headroom + terms.isolated_allowance - undrawn_peer_use
        self._max_level = terms.burst + terms.margin + terms.isolated_allowance
        self._fleet_fraction = fleet_fraction
        self._updated_ms = now_ms
        self._own_demand = DecayingRate(DEMAND_TIME_CONSTANT_S)

    def record_demand(self, now_ms: float, amount: float) -> None:
        """Count a request, admitted or not."""
        self._own_demand.add(now_ms, amount)

    def spend(self, now_ms: float, amount: float) -> None:
        """Draw an admitted amount, and what the others are assumed to admit meanwhile."""
        self._advance(now_ms)
        own_demand = self._own_demand.per_s(now_ms)
        demand_multiple = self._demand(now_ms) / own_demand if own_demand > 0 else 1.0
        self._level -= amount * max(1.0, demand_multiple)

    def refund(self, now_ms: float, amount: float, demand: float) -> None:
        """Undo a request that won't run: the amount drawn for it and its contribution to the demand."""
        self._advance(now_ms)
        self._level = min(self._max_level, self._level + amount)
        self._own_demand.add(now_ms, -demand)

    def admission_ratio(self, now_ms: float) -> float:
        """The probability of admitting a request now; 1 or more admits all."""
        self._advance(now_ms)
        available = self._rate_per_s * HORIZON_S + self._level
        demanded = self._demand(now_ms) * HORIZON_S
        return available / demanded if demanded > 0 else float(available > 0)

    @property
    def _rate_per_s(self) -> float:
        return self._terms.rate_per_s * ISOLATED_RATE_FRACTION

    def _demand(self, now_ms: float) -> float:
        """The assumed demand at all data planes, per second."""
        return min(
            self._own_demand.per_s(now_ms) / self._fleet_fraction,
            MAX_DEMAND_MULTIPLE * self._terms.rate_per_s,
        )

    def _advance(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        self._level = min(self._max_level, self._level + self._rate_per_s * elapsed_s)
        self._updated_ms = now_ms
