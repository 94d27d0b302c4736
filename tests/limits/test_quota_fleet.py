"""The quota over a whole fleet: the sum in any window stays under the rule, and little is refused below
it."""

from __future__ import annotations

import unittest
from collections.abc import Callable

import attrs

from tests.limits.quota_fleet import TENANT, QuotaFleet

SEEDS = range(3)
FLEETS = (6, 89)
HOT = 7.5
# Its burst is as long as its rate's second, so that the slack is a smaller part of what it may send.
LARGE_TENANT = attrs.evolve(TENANT, rate_per_s=270_590.0, burst=270_590.0)
Story = Callable[[QuotaFleet], None]


class FleetCase(unittest.TestCase):
    def played(
        self, data_planes: int, story: Story, until_s: float, *, is_founding: bool = True
    ) -> list[QuotaFleet]:
        fleets = [QuotaFleet(data_planes, seed, is_founding=is_founding) for seed in SEEDS]
        for fleet in fleets:
            story(fleet)
            fleet.run(until_s)
        return fleets

    def holds(self, story: Story, until_s: float = 26.0, fleets: tuple[int, ...] = FLEETS) -> None:
        """Every fleet stays under the rule."""
        for data_planes in fleets:
            for fleet in self.played(data_planes, story, until_s):
                with self.subTest(data_planes=data_planes):
                    self.assertLess(fleet.largest_window(), 1.0)

    def refuses(
        self, most: float, story: Story, fleets: tuple[int, ...] = FLEETS, *, is_founding: bool = True
    ) -> None:
        """On the average of the runs, no more than that part of what is asked for is refused."""
        for data_planes in fleets:
            played = self.played(data_planes, story, 26.0, is_founding=is_founding)
            refused = sum(fleet.refused_part() for fleet in played) / len(played)
            with self.subTest(data_planes=data_planes):
                self.assertLess(refused, most)


def usual(_: QuotaFleet) -> None:
    """The tenant sends what it usually does."""


def hot(fleet: QuotaFleet) -> None:
    fleet.demand_multiple(10.0, HOT)
    fleet.demand_multiple(21.0, 1.0)


class BelowTheLimit(FleetCase):
    def test_lumpy_requests_are_hardly_ever_refused(self) -> None:
        self.refuses(0.02, usual)

    def test_nor_after_a_start_that_knows_nothing(self) -> None:
        self.refuses(0.04, usual, is_founding=False)

    def test_nor_after_many_restart_at_once(self) -> None:
        self.refuses(0.04, lambda fleet: fleet.restart(12.0, 0.6, 2.0))

    def test_a_failover_of_the_primary_costs_a_small_fleet_little(self) -> None:
        def story(fleet: QuotaFleet) -> None:
            fleet.lose_touch(12.0, range(6), 2.5, new_primary=True)

        self.refuses(0.05, story, fleets=(6,))

    def test_a_failover_costs_a_large_fleet_part_of_its_duration(self) -> None:
        # One of 89 sees a lump every half minute; it can't know whether that is one of few or of many.
        def story(fleet: QuotaFleet) -> None:
            fleet.lose_touch(12.0, range(89), 2.5, new_primary=True)

        self.refuses(0.15, story, fleets=(89,))


class AboveTheLimit(FleetCase):
    def test_a_hot_tenant(self) -> None:
        self.holds(hot, fleets=(6, 9, 89))

    def test_a_hot_tenant_whose_clients_come_back_late(self) -> None:
        def story(fleet: QuotaFleet) -> None:
            fleet.late_return_ms = 2_500.0
            hot(fleet)

        self.holds(story, fleets=(6, 9, 89))

    def test_a_large_tenant_with_late_returns_from_excesses_of_any_length(self) -> None:
        for data_planes in (6, 75):
            for lasts_s in (3.0, 6.0, 11.0):
                fleet = QuotaFleet(data_planes, 1, tenant=LARGE_TENANT)
                fleet.late_return_ms = 2_500.0
                fleet.demand_multiple(10.0, HOT)
                fleet.demand_multiple(10.0 + lasts_s, 1.0)
                fleet.run(16.0 + lasts_s)
                with self.subTest(data_planes=data_planes, lasts_s=lasts_s):
                    self.assertLess(fleet.largest_window(), 1.0)

    def test_such_a_tenant_while_the_primary_fails_over(self) -> None:
        for data_planes in FLEETS:

            def story(fleet: QuotaFleet, count: int = data_planes) -> None:
                fleet.late_return_ms = 2_500.0
                hot(fleet)
                fleet.lose_touch(12.0, range(count), 2.5, new_primary=True)

            self.holds(story, fleets=(data_planes,))

    def test_fewer_first_tries_are_refused_where_late_ones_give_way(self) -> None:
        for data_planes in FLEETS:
            refused = []
            for returns_ms in (None, 2_500.0):

                def story(fleet: QuotaFleet, returns_ms: float | None = returns_ms) -> None:
                    fleet.late_return_ms = returns_ms
                    hot(fleet)

                fleets = self.played(data_planes, story, 21.0)
                refused.append(sum(fleet.refused_part(11.0, 21.0) for fleet in fleets) / len(fleets))
            with self.subTest(data_planes=data_planes):
                self.assertLess(refused[1], refused[0] - 0.03)

    def test_a_hot_tenant_gets_its_rate(self) -> None:
        # From the onset on, the burst included, so that what was overdrawn and paid back is in it.
        def story(fleet: QuotaFleet) -> None:
            fleet.demand_multiple(10.0, HOT)

        for data_planes in FLEETS:
            for fleet in self.played(data_planes, story, 33.0):
                part = fleet.admitted_per_s(10.0, 33.0) / TENANT.rate_per_s
                with self.subTest(data_planes=data_planes):
                    self.assertGreater(part, 1.0)
                    self.assertLess(part, 1.15)

    def test_it_is_served_again_soon_after(self) -> None:
        for data_planes in FLEETS:
            refused = [fleet.refused_part(23.0) for fleet in self.played(data_planes, hot, 33.0)]
            with self.subTest(data_planes=data_planes):
                self.assertLess(sum(refused) / len(refused), 0.05)

    def test_many_restart_twice_meanwhile(self) -> None:
        def story(fleet: QuotaFleet) -> None:
            hot(fleet)
            fleet.restart(12.0, 0.6, 1.0)
            fleet.restart(15.0, 0.6, 1.0)

        self.holds(story)

    def test_the_primary_fails_over_meanwhile(self) -> None:
        for data_planes in FLEETS:

            def story(fleet: QuotaFleet, count: int = data_planes) -> None:
                hot(fleet)
                fleet.lose_touch(12.0, range(count), 2.5, new_primary=True)

            self.holds(story, fleets=(data_planes,))

    def test_a_tenant_turns_hot_while_the_primary_fails_over(self) -> None:
        # Not held for 89 data planes: each sees one lump at the most, which tells it nothing.
        for data_planes in (6, 9):
            for onset_s in (12.0, 12.3, 13.5):

                def story(fleet: QuotaFleet, count: int = data_planes, onset_s: float = onset_s) -> None:
                    fleet.demand_multiple(onset_s, HOT)
                    fleet.lose_touch(12.0, range(count), 2.5, new_primary=True)

                self.holds(story, fleets=(data_planes,))

    def test_a_third_is_cut_off_from_the_primary(self) -> None:
        for data_planes in FLEETS:

            def story(fleet: QuotaFleet, count: int = data_planes) -> None:
                hot(fleet)
                fleet.lose_touch(12.0, range(count // 3), 5.5)

            self.holds(story, fleets=(data_planes,))

    def test_a_lower_limit_binds_one_window_later(self) -> None:
        lower = attrs.evolve(TENANT, rate_per_s=TENANT.rate_per_s / 2, burst=TENANT.burst / 2)
        for data_planes in FLEETS:

            def story(fleet: QuotaFleet) -> None:
                fleet.demand_multiple(5.0, 3.0)
                fleet.change_limit(10.0, lower)

            for fleet in self.played(data_planes, story, 30.0):
                with self.subTest(data_planes=data_planes):
                    self.assertLess(fleet.largest_window(from_s=10.0), 1.0)
