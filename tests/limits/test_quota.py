"""Tenant quotas at one data plane."""

from __future__ import annotations

import random
import unittest

from madderwind.configuration.documents import Tenant
from madderwind.limits.demand import DecayingRate
from madderwind.limits.quota import TenantQuota
from madderwind.limits.shared_bucket import DEMAND_TIME_CONSTANT_S
from madderwind.node_settings import Bounds

BOUNDS = Bounds(quota_window_s=8.0, quota_overshoot=0.0, quota_slack=0.0)
LIMITED = Tenant(name="blue", rate_per_s=10.0, burst=20.0)


def make_quota(*tenants: Tenant, bounds: Bounds = BOUNDS, is_founding: bool = True) -> TenantQuota:
    quota = TenantQuota(bounds, random.Random(5), is_founding=is_founding)
    quota.set_data_planes(0.0, 3, True)
    quota.configure(0.0, tenants or (LIMITED,))
    return quota


def admitted(
    quota: TenantQuota, now_ms: float, requests: int, amount: float = 1.0, name: str = "blue"
) -> int:
    return sum(quota.admit(now_ms, name, amount) for _ in range(requests))


class OneDataPlane(unittest.TestCase):
    def test_tenants_without_a_limit_are_always_admitted(self) -> None:
        quota = make_quota(Tenant(name="free"), Tenant(name="zero", rate_per_s=0.0, burst=5.0))
        for name in ("free", "zero", "never configured"):
            self.assertEqual(admitted(quota, 0.0, 1000, name=name), 1000)

    def test_admits_little_more_than_the_burst_at_once_and_then_the_rate(self) -> None:
        quota = make_quota()
        at_once = admitted(quota, 0.0, 200)
        self.assertGreaterEqual(at_once, 20)
        self.assertLessEqual(at_once, 20 + 10)
        later = sum(admitted(quota, 5000.0 + second * 100, 5) for second in range(200))
        self.assertAlmostEqual(later / 20.0, 10.0, delta=2.0)

    def test_peer_usage_is_drawn(self) -> None:
        quota = make_quota()
        quota.handle_peer_usage(0.0, {"blue": 40.0}, {})
        self.assertEqual(admitted(quota, 0.0, 20), 0)
        self.assertGreater(admitted(quota, 8000.0, 1), 0)

    def test_late_requests_have_lower_priority_while_demand_exceeds_the_limit(self) -> None:
        quota, fresh, late = make_quota(), 0, 0
        quota.handle_peer_usage(0.0, {"blue": 20.0}, {})  # uses up the burst
        for step in range(2_000):
            now_ms = step * 100.0
            quota.handle_peer_usage(now_ms, {"blue": 0.8}, {"blue": 40.0})
            fresh += quota.admit(now_ms, "blue", 0.1)
            late += quota.admit(now_ms, "blue", 0.1, is_late=True)
        self.assertGreater(fresh, 3 * late)
        self.assertGreater(late, 0)

    def test_refunding_a_late_request_restores_the_demand(self) -> None:
        quota = make_quota()
        quota.admit(0.0, "blue", 5.0)
        before = dict(quota.drain_usage(0.0).demand_per_s)
        for _ in range(3):
            self.assertTrue(quota.admit(0.0, "blue", 4.0, is_late=True))
            quota.refund(0.0, "blue", 4.0, is_late=True)
        after = quota.drain_usage(0.0).demand_per_s["blue"]
        self.assertAlmostEqual(after, before["blue"])

    def test_a_refusal_after_a_long_idle_time_has_a_short_retry_delay(self) -> None:
        quota = make_quota()
        now_ms = 60_000.0
        while quota.admit(now_ms, "blue", 30.0):
            pass
        self.assertLess(quota.retry_after_ms(now_ms, "blue"), 10_000.0)

    def test_the_refused_backlog_does_not_drain_without_reports(self) -> None:
        retry_delays_ms = []
        for is_connected in (True, False):
            quota = make_quota()
            quota.handle_peer_usage(0.0, {"blue": 20.0}, {})
            for step in range(1, 21):
                quota.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
            quota.set_data_planes(4_000.0, 3, is_connected)
            retry_delays_ms.append(quota.retry_after_ms(6_000.0, "blue"))
        self.assertGreater(retry_delays_ms[1], retry_delays_ms[0] + 1_000.0)

    def test_the_refused_backlog_drains_while_reports_are_empty(self) -> None:
        quota = make_quota()
        quota.handle_peer_usage(0.0, {"blue": 20.0}, {})
        for step in range(1, 21):
            quota.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
        retry_delay_ms = quota.retry_after_ms(4_000.0, "blue")
        self.assertGreater(retry_delay_ms, 4_000.0)
        self.assertLess(quota.retry_after_ms(6_600.0, "blue"), retry_delay_ms + 1_000.0)

    def test_late_requests_are_admitted_below_the_limit(self) -> None:
        quota = make_quota()
        self.assertTrue(all(quota.admit(step * 1000.0, "blue", 1.0, is_late=True) for step in range(50)))

    def test_the_retry_delay_covers_the_backlog_of_earlier_refusals(self) -> None:
        quota = make_quota()
        self.assertEqual(quota.retry_after_ms(0.0, "blue"), 0.0)
        quota.handle_peer_usage(0.0, {"blue": 20.0}, {})  # uses up the burst
        retry_delays_ms = []
        for step in range(1, 21):  # four times the limit for four seconds
            now_ms = step * 200.0
            quota.handle_peer_usage(now_ms, {"blue": 2.0}, {"blue": 40.0})
            retry_delays_ms.append(quota.retry_after_ms(now_ms, "blue"))
        self.assertEqual(retry_delays_ms, sorted(retry_delays_ms))
        self.assertAlmostEqual(retry_delays_ms[-1] - retry_delays_ms[-6], 3_000.0, delta=600.0)

    def test_the_refused_backlog_is_empty_once_all_requests_are_admitted(self) -> None:
        quota = make_quota()
        quota.handle_peer_usage(0.0, {"blue": 20.0}, {})
        for step in range(1, 21):
            quota.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
        self.assertGreater(quota.retry_after_ms(4_000.0, "blue"), 1_000.0)
        for step in range(1, 101):
            quota.handle_peer_usage(4_000.0 + step * 200.0, {}, {"blue": 1.0})
        self.assertEqual(quota.retry_after_ms(24_000.0, "blue"), 0.0)

    def test_the_retry_delay_is_at_most_half_a_minute(self) -> None:
        quota = make_quota()
        for step in range(1, 200):
            quota.handle_peer_usage(step * 1000.0, {"blue": 10.0}, {"blue": 4_000.0})
        self.assertEqual(quota.retry_after_ms(200_000.0, "blue"), 30_000.0)

    def test_peer_usage_of_an_unknown_tenant_is_ignored(self) -> None:
        quota = make_quota()
        quota.handle_peer_usage(0.0, {"red": 40.0}, {"red": 5.0})
        self.assertEqual(admitted(quota, 0.0, 10), 10)

    def test_requests_that_did_not_run_are_refunded(self) -> None:
        quota = make_quota()
        for _ in range(200):
            self.assertTrue(quota.admit(0.0, "blue", 10.0))
            quota.refund(0.0, "blue", 10.0)
        self.assertEqual(dict(quota.drain_usage(0.0).used), {})

    def test_refunds_beyond_the_unreported_usage_reduce_the_next_report(self) -> None:
        quota = make_quota()
        quota.admit(0.0, "blue", 5.0)
        self.assertEqual(quota.drain_usage(0.0).used, {"blue": 5.0})
        quota.refund(0.0, "blue", 5.0)
        self.assertEqual(quota.drain_usage(0.0).used, {})
        quota.admit(0.0, "blue", 7.0)
        self.assertEqual(quota.drain_usage(0.0).used, {"blue": 2.0})

    def test_usage_is_reported_once_and_demand_while_there_is_any(self) -> None:
        quota = make_quota()
        quota.admit(0.0, "blue", 4.0)
        first = quota.drain_usage(0.0)
        self.assertEqual(
            (first.used, first.demand_per_s), ({"blue": 4.0}, {"blue": 4.0 / DEMAND_TIME_CONSTANT_S})
        )
        second = quota.drain_usage(500.0)
        self.assertEqual(second.used, {})
        self.assertLess(second.demand_per_s["blue"], first.demand_per_s["blue"])
        self.assertEqual(quota.drain_usage(60_000.0).demand_per_s, {})

    def test_a_full_bucket_admits_a_request_larger_than_its_burst(self) -> None:
        self.assertEqual(admitted(make_quota(), 0.0, 1, amount=24.0), 1)

    def test_a_request_beyond_the_limit_of_a_window_is_refused_and_displaces_no_other(self) -> None:
        # Guards against one request, of a client that names an absurd size, that starves its tenant.
        quota = make_quota()
        window_limit = 10.0 * 8.0 + 20.0
        for amount in (window_limit + 1.0, 1e12, 1e308, float("inf")):
            self.assertFalse(quota.admit(0.0, "blue", amount))
        self.assertEqual(quota.drain_usage(0.0).demand_per_s, {})
        self.assertEqual(admitted(quota, 0.0, 20), admitted(make_quota(), 0.0, 20))

    def test_a_tenant_with_less_than_a_request_in_a_window_is_served_now_and_then(self) -> None:
        quota = make_quota(Tenant(name="blue", rate_per_s=0.1))
        self.assertGreater(sum(admitted(quota, second * 1000.0, 1) for second in range(600)), 0)

    def test_a_process_without_history_starts_with_a_low_level(self) -> None:
        quota = make_quota(is_founding=False)
        self.assertLess(admitted(quota, 0.0, 200), 20)


class ConfigurationChanges(unittest.TestCase):
    def test_a_lower_limit_applies_at_once(self) -> None:
        quota = make_quota()
        quota.configure(0.0, [Tenant(name="blue", rate_per_s=1.0, burst=2.0)])
        self.assertLessEqual(admitted(quota, 0.0, 100), 4)

    def test_a_higher_limit_does_not_refill_the_bucket(self) -> None:
        quota = make_quota()
        admitted(quota, 0.0, 200)
        quota.configure(0.0, [Tenant(name="blue", rate_per_s=10.0, burst=1000.0)])
        self.assertLess(admitted(quota, 1.0, 200), 10)

    def test_removing_and_adding_a_tenant_does_not_refill_the_bucket(self) -> None:
        quota = make_quota()
        admitted(quota, 0.0, 200)
        quota.configure(0.0, [])
        self.assertEqual(admitted(quota, 0.0, 5), 5)
        quota.configure(0.0, [LIMITED])
        self.assertLess(admitted(quota, 1.0, 200), 10)

    def test_a_tenant_added_to_a_running_process_starts_with_a_full_bucket(self) -> None:
        quota = make_quota(is_founding=False)
        quota.configure(0.0, [LIMITED, Tenant(name="green", rate_per_s=10.0, burst=20.0)])
        self.assertGreaterEqual(admitted(quota, 0.0, 100, name="green"), 20)

    def test_a_limit_can_be_added_to_an_unlimited_tenant(self) -> None:
        quota = make_quota(Tenant(name="blue"))
        admitted(quota, 0.0, 100)
        quota.configure(0.0, [LIMITED])
        self.assertLess(admitted(quota, 0.0, 200), 40)


class DisconnectedFromPeers(unittest.TestCase):
    def test_admits_only_its_part_of_the_rate(self) -> None:
        quota = make_quota()
        quota.set_data_planes(0.0, 3, False)
        per_s = sum(admitted(quota, at_ms, 1) for at_ms in range(0, 60_000, 50)) / 60.0
        self.assertLess(per_s, 10.0 / 3)
        self.assertGreater(per_s, 10.0 / 3 / 2)

    def test_usage_during_an_outage_is_reported_shortly_after_the_reconnection(self) -> None:
        quota = make_quota()
        quota.set_data_planes(0.0, 3, False)
        quota.admit(100.0, "blue", 3.0)
        quota.set_data_planes(2000.0, 3, True)
        quota.admit(2001.0, "blue", 1.0)
        self.assertEqual(quota.drain_usage(2100.0).used, {"blue": 1.0})
        self.assertEqual(quota.drain_usage(2600.0).used, {"blue": 3.0})

    def test_usage_reported_late_is_offset_against_the_assumed_usage(self) -> None:
        interrupted, connected = make_quota(), make_quota()
        for quota in (interrupted, connected):
            quota.handle_peer_usage(0.0, {"blue": 1.0}, {"blue": 5.0})
            for at_ms in range(0, 4000, 200):
                quota.handle_peer_usage(float(at_ms), {"blue": 1.0}, {"blue": 5.0})
        interrupted.set_data_planes(4000.0, 3, False)
        interrupted.set_data_planes(7000.0, 3, True)
        interrupted.handle_peer_usage(7200.0, {"blue": 16.0}, {"blue": 5.0})
        for at_ms in range(4000, 7300, 200):
            connected.handle_peer_usage(float(at_ms), {"blue": 1.0}, {"blue": 5.0})
        counts = [admitted(quota, 9000.0, 100) for quota in (interrupted, connected)]
        self.assertAlmostEqual(counts[0], counts[1], delta=6)


class DecayingRates(unittest.TestCase):
    def test_a_steady_rate_is_estimated_and_decays_afterwards(self) -> None:
        rate = DecayingRate(1.0)
        self.assertEqual(rate.per_s(0.0), 0.0)
        for at_ms in range(0, 10_000, 10):
            rate.add(float(at_ms), 2.0)
        self.assertAlmostEqual(rate.per_s(10_000.0), 200.0, delta=3.0)
        self.assertLess(rate.per_s(20_000.0), 0.1)
