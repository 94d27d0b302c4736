"""The quota of a whole fleet: the sum in any window is within the limit, and little is refused below it."""

from __future__ import annotations

import unittest
from collections.abc import Callable

import attrs

from tests.limits.quota_fleet import TENANT, QuotaFleet

SEEDS = range(3)
FLEETS = (6, 89)
OVERLOAD_MULTIPLE = 7.5
# Its burst equals one second of its rate, so that the slack is a smaller fraction of what it may send.
LARGE_TENANT = attrs.evolve(TENANT, rate_per_s=270_590.0, burst=270_590.0)
Scenario = Callable[[QuotaFleet], None]


class FleetCase(unittest.TestCase):
    def run_scenario(
        self, data_planes: int, scenario: Scenario, until_s: float, *, is_founding: bool = True
    ) -> list[QuotaFleet]:
        fleets = [QuotaFleet(data_planes, seed, is_founding=is_founding) for seed in SEEDS]
        for fleet in fleets:
            scenario(fleet)
            fleet.run(until_s)
        return fleets

    def assert_within_limit(
        self, scenario: Scenario, until_s: float = 26.0, fleets: tuple[int, ...] = FLEETS
    ) -> None:
        """Assert that every fleet stays within the limit."""
        for data_planes in fleets:
            for fleet in self.run_scenario(data_planes, scenario, until_s):
                with self.subTest(data_planes=data_planes):
                    self.assertLess(fleet.largest_window_use(), 1.0)

    def assert_refused_below(
        self,
        max_refused_part: float,
        scenario: Scenario,
        fleets: tuple[int, ...] = FLEETS,
        *,
        is_founding: bool = True,
    ) -> None:
        """Assert that on average over the runs less than this fraction of the demand is refused."""
        for data_planes in fleets:
            completed = self.run_scenario(data_planes, scenario, 26.0, is_founding=is_founding)
            refused = sum(fleet.refused_part() for fleet in completed) / len(completed)
            with self.subTest(data_planes=data_planes):
                self.assertLess(refused, max_refused_part)


def normal_demand(_: QuotaFleet) -> None:
    """The tenant's demand stays normal."""


def overload(fleet: QuotaFleet) -> None:
    fleet.demand_multiple(10.0, OVERLOAD_MULTIPLE)
    fleet.demand_multiple(21.0, 1.0)


class BelowTheLimit(FleetCase):
    def test_requests_of_varying_size_are_rarely_refused(self) -> None:
        self.assert_refused_below(0.02, normal_demand)

    def test_requests_are_rarely_refused_after_a_start_without_history(self) -> None:
        self.assert_refused_below(0.04, normal_demand, is_founding=False)

    def test_requests_are_rarely_refused_after_many_restarts_at_once(self) -> None:
        self.assert_refused_below(0.04, lambda fleet: fleet.restart(12.0, 0.6, 2.0))

    def test_a_small_fleet_refuses_little_during_a_primary_failover(self) -> None:
        def scenario(fleet: QuotaFleet) -> None:
            fleet.disconnect_from_primary(12.0, range(6), 2.5, new_primary=True)

        self.assert_refused_below(0.05, scenario, fleets=(6,))

    def test_a_large_fleet_refuses_some_requests_during_a_primary_failover(self) -> None:
        # One of 89 data planes receives a large request every half minute, and can't know whether that is one
        # of few or of many.
        def scenario(fleet: QuotaFleet) -> None:
            fleet.disconnect_from_primary(12.0, range(89), 2.5, new_primary=True)

        self.assert_refused_below(0.15, scenario, fleets=(89,))


class AboveTheLimit(FleetCase):
    def test_an_overloading_tenant_stays_within_the_limit(self) -> None:
        self.assert_within_limit(overload, fleets=(6, 9, 89))

    def test_an_overloading_tenant_with_late_retries_stays_within_the_limit(self) -> None:
        def scenario(fleet: QuotaFleet) -> None:
            fleet.late_retry_ms = 2_500.0
            overload(fleet)

        self.assert_within_limit(scenario, fleets=(6, 9, 89))

    def test_a_large_tenant_with_late_retries_stays_within_the_limit_for_any_overload_duration(self) -> None:
        for data_planes in (6, 75):
            for duration_s in (3.0, 6.0, 11.0):
                fleet = QuotaFleet(data_planes, 1, tenant=LARGE_TENANT)
                fleet.late_retry_ms = 2_500.0
                fleet.demand_multiple(10.0, OVERLOAD_MULTIPLE)
                fleet.demand_multiple(10.0 + duration_s, 1.0)
                fleet.run(16.0 + duration_s)
                with self.subTest(data_planes=data_planes, duration_s=duration_s):
                    self.assertLess(fleet.largest_window_use(), 1.0)

    def test_late_retries_stay_within_the_limit_during_a_primary_failover(self) -> None:
        for data_planes in FLEETS:

            def scenario(fleet: QuotaFleet, count: int = data_planes) -> None:
                fleet.late_retry_ms = 2_500.0
                overload(fleet)
                fleet.disconnect_from_primary(12.0, range(count), 2.5, new_primary=True)

            self.assert_within_limit(scenario, fleets=(data_planes,))

    def test_late_retries_with_low_priority_reduce_refusals_of_first_attempts(self) -> None:
        for data_planes in FLEETS:
            refused = []
            for late_retry_ms in (None, 2_500.0):

                def scenario(fleet: QuotaFleet, late_retry_ms: float | None = late_retry_ms) -> None:
                    fleet.late_retry_ms = late_retry_ms
                    overload(fleet)

                fleets = self.run_scenario(data_planes, scenario, 21.0)
                refused.append(sum(fleet.refused_part(11.0, 21.0) for fleet in fleets) / len(fleets))
            with self.subTest(data_planes=data_planes):
                self.assertLess(refused[1], refused[0] - 0.03)

    def test_an_overloading_tenant_gets_its_rate(self) -> None:
        # Measured from the onset, including the burst, so that overdraft and repayment are included.
        def scenario(fleet: QuotaFleet) -> None:
            fleet.demand_multiple(10.0, OVERLOAD_MULTIPLE)

        for data_planes in FLEETS:
            for fleet in self.run_scenario(data_planes, scenario, 33.0):
                part = fleet.admitted_per_s(10.0, 33.0) / TENANT.rate_per_s
                with self.subTest(data_planes=data_planes):
                    self.assertGreater(part, 1.0)
                    self.assertLess(part, 1.15)

    def test_requests_are_rarely_refused_soon_after_an_overload(self) -> None:
        for data_planes in FLEETS:
            refused = [fleet.refused_part(23.0) for fleet in self.run_scenario(data_planes, overload, 33.0)]
            with self.subTest(data_planes=data_planes):
                self.assertLess(sum(refused) / len(refused), 0.05)

    def test_an_overload_with_two_rounds_of_restarts_stays_within_the_limit(self) -> None:
        def scenario(fleet: QuotaFleet) -> None:
            overload(fleet)
            fleet.restart(12.0, 0.6, 1.0)
            fleet.restart(15.0, 0.6, 1.0)

        self.assert_within_limit(scenario)

    def test_an_overload_during_a_primary_failover_stays_within_the_limit(self) -> None:
        for data_planes in FLEETS:

            def scenario(fleet: QuotaFleet, count: int = data_planes) -> None:
                overload(fleet)
                fleet.disconnect_from_primary(12.0, range(count), 2.5, new_primary=True)

            self.assert_within_limit(scenario, fleets=(data_planes,))

    def test_an_overload_that_starts_during_a_primary_failover_stays_within_the_limit(self) -> None:
        # The limit doesn't hold for 89 data planes: each receives at most one large request, which doesn't
        # show the fleet's demand.
        for data_planes in (6, 9):
            for onset_s in (12.0, 12.3, 13.5):

                def scenario(fleet: QuotaFleet, count: int = data_planes, onset_s: float = onset_s) -> None:
                    fleet.demand_multiple(onset_s, OVERLOAD_MULTIPLE)
                    fleet.disconnect_from_primary(12.0, range(count), 2.5, new_primary=True)

                self.assert_within_limit(scenario, fleets=(data_planes,))

    def test_an_overload_with_a_third_disconnected_stays_within_the_limit(self) -> None:
        for data_planes in FLEETS:

            def scenario(fleet: QuotaFleet, count: int = data_planes) -> None:
                overload(fleet)
                fleet.disconnect_from_primary(12.0, range(count // 3), 5.5)

            self.assert_within_limit(scenario, fleets=(data_planes,))

    def test_a_lower_limit_is_met_from_the_next_window_on(self) -> None:
        lower = attrs.evolve(TENANT, rate_per_s=TENANT.rate_per_s / 2, burst=TENANT.burst / 2)
        for data_planes in FLEETS:

            def scenario(fleet: QuotaFleet) -> None:
                fleet.demand_multiple(5.0, 3.0)
                fleet.change_limit(10.0, lower)

            for fleet in self.run_scenario(data_planes, scenario, 30.0):
                with self.subTest(data_planes=data_planes):
                    self.assertLess(fleet.largest_window_use(from_s=10.0), 1.0)
