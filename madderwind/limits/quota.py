"""Fleet-wide tenant quotas: admission at one data plane by its own usage and the reports of the others."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import attrs

from madderwind.configuration.documents import Tenant
from madderwind.limits.isolated_bucket import IsolatedBucket
from madderwind.limits.quota_terms import QuotaTerms, quota_terms
from madderwind.limits.shared_bucket import SharedBucket
from madderwind.node_settings import Bounds

# After a reconnection the usage during the outage is reported with this delay, so that the other data planes
# have reconnected, too.
REPORT_DEFERRAL_MS = 500.0
# The admission probability of a request that is already late, as a fraction of that of one that can still be
# in time.
LATE_WEIGHT = 0.2
# At this ratio of capacity to demand, late requests are all admitted, too.
LATE_ADMIT_ALL_RATIO = 1.5
# Demand below this, in units per second, is not reported.
MIN_REPORTED_DEMAND = 1e-3
# A limit counted in requests, however low, admits one at a time.
ONE_REQUEST = 1.0


@attrs.frozen
class Usage:
    """A data plane's usage report by tenant: the amount admitted since the last report and the demand."""

    used: Mapping[str, float]
    demand_per_s: Mapping[str, float]


class _TenantState:
    """One tenant's buckets. The isolated one exists while the primary is disconnected, and until catch-up."""

    def __init__(self, now_ms: float, terms: QuotaTerms, level: float) -> None:
        self.shared = SharedBucket(now_ms, terms, level)
        self.isolated: IsolatedBucket | None = None
        self.unreported = 0.0
        self.deferred = 0.0
        self._report_deferred_until_ms = now_ms
        self.is_configured = True
        self._is_connected = True

    def record_demand(self, now_ms: float, amount: float) -> None:
        self.shared.record_demand(now_ms, amount)
        if self.isolated is not None:
            self.isolated.record_demand(now_ms, amount)

    def _end_isolation_if_caught_up(self, now_ms: float) -> None:
        if self.shared.is_caught_up(now_ms):
            self.isolated = None

    def admission_ratio(self, now_ms: float) -> float:
        self._end_isolation_if_caught_up(now_ms)
        ratio = self.shared.admission_ratio(now_ms)
        return ratio if self.isolated is None else min(ratio, self.isolated.admission_ratio(now_ms))

    def spend(self, now_ms: float, amount: float) -> None:
        self.shared.spend(now_ms, amount)
        if self.isolated is not None:
            self.isolated.spend(now_ms, amount)
        self.unreported += amount

    def refund(self, now_ms: float, amount: float, demand: float) -> None:
        self.shared.refund(now_ms, amount, demand)
        if self.isolated is not None:
            self.isolated.refund(now_ms, amount, demand)
        self.unreported -= amount

    def drain(self, now_ms: float) -> float:
        """Take the amount to report now."""
        amount = max(0.0, self.unreported)  # a surplus of refunds reduces the next report
        self.unreported -= amount
        if now_ms >= self._report_deferred_until_ms:
            amount, self.deferred = amount + self.deferred, 0.0
        return amount

    def set_connected(self, now_ms: float, is_connected: bool, data_planes: int) -> None:
        """Set the connection state; the isolated bucket is kept until all usage meanwhile is reported."""
        if is_connected and not self._is_connected:
            self.deferred, self.unreported = self.deferred + self.unreported, 0.0
            self._report_deferred_until_ms = now_ms + REPORT_DEFERRAL_MS
        self._is_connected = is_connected
        self.shared.set_connected(now_ms, is_connected)
        self._end_isolation_if_caught_up(now_ms)
        if not is_connected and self.isolated is None:
            self.isolated = IsolatedBucket(
                now_ms,
                self.shared.terms,
                headroom=self.shared.headroom(now_ms),
                fleet_fraction=1.0 / data_planes,
                own_use_before_detection=self.shared.own_use_before_detection(now_ms),
                peer_use_before_detection=self.shared.peer_use_before_detection(now_ms),
            )


class TenantQuota:
    """The quotas of all tenants at one data plane.

    `is_founding`: this is the first start of the whole system, so nothing was spent before. Any other process
    starts with a low level, as it can't know what was spent.
    """

    def __init__(self, bounds: Bounds, rng: random.Random, *, is_founding: bool = False) -> None:
        self._bounds = bounds
        self._rng = rng
        self._new_tenants_start_full = is_founding
        self._tenants: dict[str, _TenantState] = {}
        self._data_planes = 1
        self._is_connected = False

    def configure(self, now_ms: float, tenants: Iterable[Tenant]) -> None:
        """Apply the limits of a configuration.

        A tenant that is new to a running process is new to the whole fleet and starts with a full bucket. A
        removed tenant keeps its level, so that removing and adding it again doesn't refill the bucket.
        """
        for state in self._tenants.values():
            state.is_configured = False
        for tenant in tenants:
            terms = quota_terms(tenant, self._bounds)
            if terms is not None:
                self._configure(now_ms, tenant.name, terms)
        self._new_tenants_start_full = True

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        """Whether a request of this amount is admitted now; if so, the amount is drawn.

        `is_late`: the response can't be in time any more. While the demand exceeds the capacity, such a
        request has a lower admission probability, and it counts for proportionally less in the demand.

        A request that is larger than the limit of a whole window is never admitted, and is no demand that
        others would have to yield to.
        """
        state = self._tenants.get(tenant_name)
        if state is None or not state.is_configured:
            return True
        if amount > max(state.shared.terms.most_per_window, ONE_REQUEST):
            return False
        state.record_demand(now_ms, _weighted_demand(amount, is_late))
        admission_ratio = state.admission_ratio(now_ms)
        if is_late:
            admission_ratio = _late_admission_ratio(admission_ratio)
        if admission_ratio < 1.0 and self._rng.random() >= admission_ratio:
            return False
        state.spend(now_ms, amount)
        return True

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        """The time until a request of the tenant that is refused now could be admitted; 0 if unknown."""
        state = self._tenants.get(tenant_name)
        return 0.0 if state is None else state.shared.retry_after_ms(now_ms)

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        """Refund an admitted request that provably didn't and won't run; `is_late` as for its admission."""
        state = self._tenants.get(tenant_name)
        if state is not None:
            state.refund(now_ms, amount, _weighted_demand(amount, is_late))

    def drain_usage(self, now_ms: float) -> Usage:
        """Take the usage to report to the others; it counts as reported afterwards.

        Must not be called while disconnected: the usage meanwhile is reported later.
        """
        drained = {name: state.drain(now_ms) for name, state in self._tenants.items()}
        used = {name: amount for name, amount in drained.items() if amount}
        demands = {name: state.shared.own_demand(now_ms) for name, state in self._tenants.items()}
        reported_demands = {name: per_s for name, per_s in demands.items() if per_s >= MIN_REPORTED_DEMAND}
        return Usage(used, reported_demands)

    def handle_peer_usage(
        self, now_ms: float, used: Mapping[str, float], demand_per_s: Mapping[str, float]
    ) -> None:
        """Apply the usage of the other data planes since their last report, and their demand per second."""
        for name, amount in used.items():
            if (state := self._tenants.get(name)) is not None:
                state.shared.record_peer_use(now_ms, amount)
        for name, state in self._tenants.items():
            state.shared.set_peer_demand(now_ms, demand_per_s.get(name, 0.0))

    def set_data_planes(self, now_ms: float, data_planes: int, is_connected: bool) -> None:
        """Set the number of data planes, and whether this one receives the usage reports of the others."""
        self._data_planes = max(1, data_planes)
        self._is_connected = is_connected
        for state in self._tenants.values():
            state.set_connected(now_ms, is_connected, self._data_planes)

    def _configure(self, now_ms: float, name: str, terms: QuotaTerms) -> None:
        state = self._tenants.get(name)
        if state is None:
            state = _TenantState(
                now_ms, terms, terms.burst if self._new_tenants_start_full else terms.restart_level
            )
            state.set_connected(now_ms, self._is_connected, self._data_planes)
            self._tenants[name] = state
        state.shared.change_terms(now_ms, terms)
        state.is_configured = True


def _weighted_demand(amount: float, is_late: bool) -> float:
    """The contribution of a request to the demand."""
    return LATE_WEIGHT * amount if is_late else amount


def _late_admission_ratio(admission_ratio: float) -> float:
    """The admission probability of a request that is already late, by that of one that can still be in time.

    It is LATE_WEIGHT of the latter while the demand exceeds the capacity, and rises with the capacity beyond
    that, up to 1 at LATE_ADMIT_ALL_RATIO.
    """
    if admission_ratio < 1.0:
        return LATE_WEIGHT * admission_ratio
    excess_fraction = (admission_ratio - 1.0) / (LATE_ADMIT_ALL_RATIO - 1.0)
    return LATE_WEIGHT + (1.0 - LATE_WEIGHT) * excess_fraction
