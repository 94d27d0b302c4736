"""The fleet's budget of repeated sends, at one data plane and summed over many."""

from __future__ import annotations

import random
import unittest

from madderwind.limits.budget import FleetRetryBudget

RATIO, SLACK, WINDOW_MS = 0.2, 52.0, 10_000.0
SERVICE = "model"


def make_budget(data_planes: int) -> FleetRetryBudget:
    budget = FleetRetryBudget(RATIO, SLACK, WINDOW_MS)
    budget.set_data_planes(data_planes)
    return budget


class OneDataPlane(unittest.TestCase):
    def test_half_of_its_part_of_the_slack_is_available_without_requests(self) -> None:
        budget = make_budget(6)
        self.assertEqual(sum(budget.may_send_again(0.0, SERVICE) for _ in range(100)), int(SLACK / 12))

    def test_no_slack_while_the_number_of_data_planes_is_unknown(self) -> None:
        self.assertFalse(FleetRetryBudget(RATIO, SLACK, WINDOW_MS).may_send_again(0.0, SERVICE))

    def test_the_ratio_applies_to_steady_requests(self) -> None:
        budget, sent = make_budget(1000), 0
        for at_ms in range(0, 60_000, 100):
            budget.request(at_ms, SERVICE)
            sent += budget.may_send_again(at_ms, SERVICE)
        self.assertAlmostEqual(sent / 600, RATIO, delta=0.02)

    def test_spent_budget_is_available_again_after_a_window(self) -> None:
        budget = make_budget(6)
        while budget.may_send_again(0.0, SERVICE):
            pass
        self.assertFalse(budget.may_send_again(WINDOW_MS, SERVICE))
        self.assertTrue(budget.may_send_again(WINDOW_MS + 1, SERVICE))

    def test_each_service_has_its_own_budget(self) -> None:
        budget = make_budget(6)
        while budget.may_send_again(0.0, SERVICE):
            pass
        self.assertTrue(budget.may_send_again(0.0, "stock"))

    def test_a_shrinking_fleet_does_not_increase_the_part_of_the_slack(self) -> None:
        budget = make_budget(6)
        budget.set_data_planes(2)
        self.assertEqual(sum(budget.may_send_again(0.0, SERVICE) for _ in range(100)), int(SLACK / 12))

    def test_requests_older_than_half_a_window_stop_counting_without_new_ones(self) -> None:
        budget = make_budget(1_000_000)
        for at_ms in range(0, 4_000, 10):
            budget.request(at_ms, SERVICE)
        self.assertFalse(budget.may_send_again(9_100.0, SERVICE))

    def test_the_memory_is_bounded_by_the_window(self) -> None:
        budget = make_budget(6)
        for at_ms in range(0, 100_000, 10):
            budget.request(at_ms, SERVICE)
        service_budget = budget._services[SERVICE]
        self.assertLessEqual(len(service_budget.requests._times), 1001)
        self.assertLessEqual(len(service_budget.recent_requests._times), 501)


class FleetWideSum(unittest.TestCase):
    """Each data plane sends as often as it is allowed; the fleet-wide limit is checked in every window."""

    def largest_excess(self, data_planes: int, seed: int, *, restarts: int, traffic_ends: bool) -> float:
        """The maximum by which repeated sends exceed the ratio times the requests in any window."""
        rng = random.Random(seed)
        weights = [rng.uniform(0.1, 2.0) for _ in range(data_planes)]
        fleet = [make_budget(data_planes) for _ in weights]
        requests: list[float] = []
        repeated: list[float] = []
        restart_at_ms = {20_000.0} if restarts else set()
        for step in range(4_000):
            at_ms = step * 10.0
            if at_ms in restart_at_ms:
                fleet = [make_budget(data_planes) for _ in weights]
            is_quiet = traffic_ends and 22_000 < at_ms < 30_000
            for _ in range(rng.choice((0, 0, 1, 1)) * (0 if is_quiet else 1)):
                number = rng.choices(range(data_planes), weights)[0]
                requests.append(at_ms)
                fleet[number].request(at_ms, SERVICE)
            for _ in range(3):
                if fleet[rng.randrange(data_planes)].may_send_again(at_ms, SERVICE):
                    repeated.append(at_ms)
        return max(self._excess(requests, repeated, start_ms) for start_ms in range(0, 40_000, 250))

    def _excess(self, requests: list[float], repeated: list[float], start_ms: float) -> float:
        """The excess in one window; requests count in it, the one before, or half a window before."""
        counted = max(
            _within(requests, start_ms - earlier_ms) for earlier_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        return _within(repeated, start_ms) - RATIO * counted

    def test_within_the_limit_with_uneven_traffic(self) -> None:
        for data_planes in (1, 6, 9, 89):
            for seed in range(2):
                excess = self.largest_excess(data_planes, seed, restarts=0, traffic_ends=False)
                with self.subTest(data_planes=data_planes):
                    self.assertLessEqual(excess, SLACK)

    def test_within_the_limit_when_all_data_planes_restart_at_once(self) -> None:
        for data_planes in (1, 6, 9, 89):
            for seed in range(2):
                excess = self.largest_excess(data_planes, seed, restarts=1, traffic_ends=False)
                with self.subTest(data_planes=data_planes):
                    self.assertLessEqual(excess, SLACK)

    def test_within_the_limit_when_the_traffic_stops(self) -> None:
        for data_planes in (1, 6, 9, 89):
            excess = self.largest_excess(data_planes, 3, restarts=0, traffic_ends=True)
            with self.subTest(data_planes=data_planes):
                self.assertLessEqual(excess, SLACK)


def _within(times_ms: list[float], start_ms: float) -> int:
    return sum(start_ms <= at_ms <= start_ms + WINDOW_MS for at_ms in times_ms)
