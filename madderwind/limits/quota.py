"""Tenants' quotas over all data planes: what one admits, knowing what the others used a moment ago."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import attrs

from madderwind.configuration.documents import Tenant
from madderwind.limits.isolated_bucket import IsolatedBucket
from madderwind.limits.quota_terms import QuotaTerms, quota_terms
from madderwind.limits.shared_bucket import SharedBucket
from madderwind.node_settings import Bounds

# After the connection was regained, what was used meanwhile is reported so much later, when the others are
# back, too.
DEFERRAL_MS = 500.0
# The chance of a request that is late already, as a part of that of one which can still be in time.
LATE_WEIGHT = 0.2
# With so many times the room for those that can be in time, all are admitted.
LATE_ADMITTED_CHANCE = 1.5
# Demand below this is reported to nobody, units a second.
MIN_REPORTED_DEMAND = 1e-3


@attrs.frozen
class Usage:
    """What a data plane reports, by tenant: what it admitted since its last report; its demand a second."""

    used: Mapping[str, float]
    demand_per_s: Mapping[str, float]


class _TenantState:
    """One tenant's buckets here. The isolated one is there only while the primary is not connected."""

    def __init__(self, now_ms: float, terms: QuotaTerms, level: float) -> None:
        self.shared = SharedBucket(now_ms, terms, level)
        self.isolated: IsolatedBucket | None = None
        self.unreported = 0.0
        self.deferred = 0.0
        self._report_deferred_ms = now_ms
        self.is_configured = True
        self._is_connected = True

    def record_demand(self, now_ms: float, amount: float) -> None:
        self.shared.record_demand(now_ms, amount)
        if self.isolated is not None:
            self.isolated.record_demand(now_ms, amount)

    def _end_isolation(self, now_ms: float) -> None:
        if self.shared.is_caught_up(now_ms):
            self.isolated = None

    def chance(self, now_ms: float) -> float:
        self._end_isolation(now_ms)
        chance = self.shared.chance(now_ms)
        return chance if self.isolated is None else min(chance, self.isolated.chance(now_ms))

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
        """What is to be reported now."""
        amount = max(0.0, self.unreported)  # what was given back beyond that goes against the next
        self.unreported -= amount
        if now_ms >= self._report_deferred_ms:
            amount, self.deferred = amount + self.deferred, 0.0
        return amount

    def set_connected(self, now_ms: float, is_connected: bool, data_planes: int) -> None:
        """The isolated bucket stays until what was used meanwhile has been reported by all."""
        if is_connected and not self._is_connected:
            self.deferred, self.unreported = self.deferred + self.unreported, 0.0
            self._report_deferred_ms = now_ms + DEFERRAL_MS
        self._is_connected = is_connected
        self.shared.set_connected(now_ms, is_connected)
        self._end_isolation(now_ms)
        if not is_connected and self.isolated is None:
            self.isolated = IsolatedBucket(
                now_ms,
                self.shared.terms,
                headroom=self.shared.headroom(now_ms),
                share=1.0 / data_planes,
                unnoticed_own_use=self.shared.unnoticed_own_use(now_ms),
                unnoticed_peer_use=self.shared.unnoticed_peer_use(now_ms),
            )


class TenantQuota:
    """All tenants' quotas at one data plane.

    `is_founding`: this is the first start of the whole system, so that nothing was spent before; any other
    process starts with little, as it can't know what was spent.
    """

    def __init__(self, bounds: Bounds, rng: random.Random, *, is_founding: bool = False) -> None:
        self._bounds = bounds
        self._rng = rng
        self._starts_full = is_founding
        self._tenants: dict[str, _TenantState] = {}
        self._data_planes = 1
        self._is_connected = False

    def configure(self, now_ms: float, tenants: Iterable[Tenant]) -> None:
        """Take the limits of a configuration.

        A tenant that is new to a running process is new to all and starts full; one that was removed keeps
        its level, so that removing and adding refills nothing.
        """
        for state in self._tenants.values():
            state.is_configured = False
        for tenant in tenants:
            terms = quota_terms(tenant, self._bounds)
            if terms is not None:
                self._configure(now_ms, tenant.name, terms)
        self._starts_full = True

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        """Whether a request of that size may go on now; if so it is drawn.

        `is_late`: its answer can't be in time any more. While there is not room for all, it has a lower
        chance, and counts for as much less in the demand.
        """
        state = self._tenants.get(tenant_name)
        if state is None or not state.is_configured:
            return True
        state.record_demand(now_ms, _demand_of(amount, is_late))
        chance = state.chance(now_ms)
        if is_late:
            chance = _late_chance(chance)
        if chance < 1.0 and self._rng.random() >= chance:
            return False
        state.spend(now_ms, amount)
        return True

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        """When a request of the tenant that is refused now would find room; 0 where that is not known."""
        state = self._tenants.get(tenant_name)
        return 0.0 if state is None else state.shared.retry_after_ms(now_ms)

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        """An admitted request provably didn't and won't run; `is_late` as when it was admitted."""
        state = self._tenants.get(tenant_name)
        if state is not None:
            state.refund(now_ms, amount, _demand_of(amount, is_late))

    def drain_usage(self, now_ms: float) -> Usage:
        """What to report to the others; what was used counts as reported.

        Not to be called while there is nobody to report to: what was used meanwhile is reported later.
        """
        drained = {name: state.drain(now_ms) for name, state in self._tenants.items()}
        used = {name: amount for name, amount in drained.items() if amount}
        demands = {name: state.shared.own_demand(now_ms) for name, state in self._tenants.items()}
        demanded = {name: per_s for name, per_s in demands.items() if per_s >= MIN_REPORTED_DEMAND}
        return Usage(used, demanded)

    def handle_peer_usage(
        self, now_ms: float, used: Mapping[str, float], demand_per_s: Mapping[str, float]
    ) -> None:
        """What the other data planes used since they were last heard of, and are asked for a second."""
        for name, amount in used.items():
            if (state := self._tenants.get(name)) is not None:
                state.shared.record_peer_use(now_ms, amount)
        for name, state in self._tenants.items():
            state.shared.set_peer_demand(now_ms, demand_per_s.get(name, 0.0))

    def set_data_planes(self, now_ms: float, data_planes: int, is_connected: bool) -> None:
        """How many data planes there are, and whether this one hears of the others' use."""
        self._data_planes = max(1, data_planes)
        self._is_connected = is_connected
        for state in self._tenants.values():
            state.set_connected(now_ms, is_connected, self._data_planes)

    def _configure(self, now_ms: float, name: str, terms: QuotaTerms) -> None:
        state = self._tenants.get(name)
        if state is None:
            state = _TenantState(now_ms, terms, terms.burst if self._starts_full else terms.newborn_level)
            state.set_connected(now_ms, self._is_connected, self._data_planes)
            self._tenants[name] = state
        state.shared.change_terms(now_ms, terms)
        state.is_configured = True


def _demand_of(amount: float, is_late: bool) -> float:
    """What a request counts for in the demand."""
    return LATE_WEIGHT * amount if is_late else amount


def _late_chance(chance: float) -> float:
    """The chance of a request that is late already, by that of one which can still be in time.

    A part of it while there is not room for those; more where there is more room, up to all of it.
    """
    if chance < 1.0:
        return LATE_WEIGHT * chance
    beyond_all = (chance - 1.0) / (LATE_ADMITTED_CHANCE - 1.0)
    return LATE_WEIGHT + (1.0 - LATE_WEIGHT) * beyond_all
