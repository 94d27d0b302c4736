"""One data plane's side of the quotas."""

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


def quota(*tenants: Tenant, bounds: Bounds = BOUNDS, is_founding: bool = True) -> TenantQuota:
    made = TenantQuota(bounds, random.Random(5), is_founding=is_founding)
    made.set_data_planes(0.0, 3, True)
    made.configure(0.0, tenants or (LIMITED,))
    return made


def admitted(of: TenantQuota, now_ms: float, requests: int, amount: float = 1.0, name: str = "blue") -> int:
    return sum(of.admit(now_ms, name, amount) for _ in range(requests))


class OneDataPlane(unittest.TestCase):
    def test_no_limit(self) -> None:
        free = quota(Tenant(name="free"), Tenant(name="zero", rate_per_s=0.0, burst=5.0))
        for name in ("free", "zero", "never configured"):
            self.assertEqual(admitted(free, 0.0, 1000, name=name), 1000)

    def test_the_burst_and_little_more_at_once_then_the_rate(self) -> None:
        limited = quota()
        at_once = admitted(limited, 0.0, 200)
        self.assertGreaterEqual(at_once, 20)
        self.assertLessEqual(at_once, 20 + 10)
        later = sum(admitted(limited, 5000.0 + second * 100, 5) for second in range(200))
        self.assertAlmostEqual(later / 20.0, 10.0, delta=2.0)

    def test_what_the_others_use_is_drawn(self) -> None:
        limited = quota()
        limited.handle_peer_usage(0.0, {"blue": 40.0}, {})
        self.assertEqual(admitted(limited, 0.0, 20), 0)
        self.assertGreater(admitted(limited, 8000.0, 1), 0)

    def test_who_is_late_already_gives_way_while_there_is_not_room_for_all(self) -> None:
        limited, fresh, late = quota(), 0, 0
        limited.handle_peer_usage(0.0, {"blue": 20.0}, {})  # the burst
        for step in range(2_000):
            now_ms = step * 100.0
            limited.handle_peer_usage(now_ms, {"blue": 0.8}, {"blue": 40.0})
            fresh += limited.admit(now_ms, "blue", 0.1)
            late += limited.admit(now_ms, "blue", 0.1, is_late=True)
        self.assertGreater(fresh, 3 * late)
        self.assertGreater(late, 0)

    def test_a_late_request_that_did_not_run_leaves_the_demand_as_it_was(self) -> None:
        limited = quota()
        limited.admit(0.0, "blue", 5.0)
        before = dict(limited.drain_usage(0.0).demand_per_s)
        for _ in range(3):
            self.assertTrue(limited.admit(0.0, "blue", 4.0, is_late=True))
            limited.refund(0.0, "blue", 4.0, is_late=True)
        after = limited.drain_usage(0.0).demand_per_s["blue"]
        self.assertAlmostEqual(after, before["blue"])

    def test_a_refusal_after_a_long_quiet_is_told_little(self) -> None:
        limited = quota()
        now_ms = 60_000.0
        while limited.admit(now_ms, "blue", 30.0):
            pass
        self.assertLess(limited.retry_after_ms(now_ms, "blue"), 10_000.0)

    def test_a_gap_without_reports_does_not_work_off_what_was_refused(self) -> None:
        told_ms = []
        for is_connected in (True, False):
            limited = quota()
            limited.handle_peer_usage(0.0, {"blue": 20.0}, {})
            for step in range(1, 21):
                limited.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
            limited.set_data_planes(4_000.0, 3, is_connected)
            told_ms.append(limited.retry_after_ms(6_000.0, "blue"))
        self.assertGreater(told_ms[1], told_ms[0] + 1_000.0)

    def test_a_burst_of_refusals_is_worked_off_while_nothing_is_reported(self) -> None:
        limited = quota()
        limited.handle_peer_usage(0.0, {"blue": 20.0}, {})
        for step in range(1, 21):
            limited.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
        told_ms = limited.retry_after_ms(4_000.0, "blue")
        self.assertGreater(told_ms, 4_000.0)
        self.assertLess(limited.retry_after_ms(6_600.0, "blue"), told_ms + 1_000.0)

    def test_who_is_late_already_is_admitted_where_there_is_room(self) -> None:
        limited = quota()
        self.assertTrue(all(limited.admit(step * 1000.0, "blue", 1.0, is_late=True) for step in range(50)))

    def test_what_is_refused_is_told_when_the_rate_has_worked_off_what_was_refused_before(self) -> None:
        limited = quota()
        self.assertEqual(limited.retry_after_ms(0.0, "blue"), 0.0)
        limited.handle_peer_usage(0.0, {"blue": 20.0}, {})  # the burst
        told_ms = []
        for step in range(1, 21):  # four times the limit for four seconds
            now_ms = step * 200.0
            limited.handle_peer_usage(now_ms, {"blue": 2.0}, {"blue": 40.0})
            told_ms.append(limited.retry_after_ms(now_ms, "blue"))
        self.assertEqual(told_ms, sorted(told_ms))
        self.assertAlmostEqual(told_ms[-1] - told_ms[-6], 3_000.0, delta=600.0)

    def test_nothing_is_owed_to_those_refused_once_all_is_admitted(self) -> None:
        limited = quota()
        limited.handle_peer_usage(0.0, {"blue": 20.0}, {})
        for step in range(1, 21):
            limited.handle_peer_usage(step * 200.0, {"blue": 2.0}, {"blue": 40.0})
        self.assertGreater(limited.retry_after_ms(4_000.0, "blue"), 1_000.0)
        for step in range(1, 101):
            limited.handle_peer_usage(4_000.0 + step * 200.0, {}, {"blue": 1.0})
        self.assertEqual(limited.retry_after_ms(24_000.0, "blue"), 0.0)

    def test_nobody_is_told_to_wait_for_longer_than_half_a_minute(self) -> None:
        limited = quota()
        for step in range(1, 200):
            limited.handle_peer_usage(step * 1000.0, {"blue": 10.0}, {"blue": 4_000.0})
        self.assertEqual(limited.retry_after_ms(200_000.0, "blue"), 30_000.0)

    def test_a_tenant_that_is_unknown_here_is_passed_over(self) -> None:
        limited = quota()
        limited.handle_peer_usage(0.0, {"red": 40.0}, {"red": 5.0})
        self.assertEqual(admitted(limited, 0.0, 10), 10)

    def test_what_did_not_run_is_given_back(self) -> None:
        limited = quota()
        for _ in range(200):
            self.assertTrue(limited.admit(0.0, "blue", 10.0))
            limited.refund(0.0, "blue", 10.0)
        self.assertEqual(dict(limited.drain_usage(0.0).used), {})

    def test_giving_back_more_than_was_used_since_goes_against_the_next_report(self) -> None:
        limited = quota()
        limited.admit(0.0, "blue", 5.0)
        self.assertEqual(limited.drain_usage(0.0).used, {"blue": 5.0})
        limited.refund(0.0, "blue", 5.0)
        self.assertEqual(limited.drain_usage(0.0).used, {})
        limited.admit(0.0, "blue", 7.0)
        self.assertEqual(limited.drain_usage(0.0).used, {"blue": 2.0})

    def test_reports_tell_use_once_and_demand_while_there_is_any(self) -> None:
        limited = quota()
        limited.admit(0.0, "blue", 4.0)
        first = limited.drain_usage(0.0)
        self.assertEqual(
            (first.used, first.demand_per_s), ({"blue": 4.0}, {"blue": 4.0 / DEMAND_TIME_CONSTANT_S})
        )
        second = limited.drain_usage(500.0)
        self.assertEqual(second.used, {})
        self.assertLess(second.demand_per_s["blue"], first.demand_per_s["blue"])
        self.assertEqual(limited.drain_usage(60_000.0).demand_per_s, {})

    def test_a_full_bucket_admits_a_request_that_is_larger_than_it(self) -> None:
        self.assertEqual(admitted(quota(), 0.0, 1, amount=24.0), 1)

    def test_a_process_that_knows_nothing_starts_with_little(self) -> None:
        newborn = quota(is_founding=False)
        self.assertLess(admitted(newborn, 0.0, 200), 20)


class Configurations(unittest.TestCase):
    def test_a_lower_limit_is_taken_at_once(self) -> None:
        limited = quota()
        limited.configure(0.0, [Tenant(name="blue", rate_per_s=1.0, burst=2.0)])
        self.assertLessEqual(admitted(limited, 0.0, 100), 4)

    def test_a_higher_limit_does_not_refill(self) -> None:
        limited = quota()
        admitted(limited, 0.0, 200)
        limited.configure(0.0, [Tenant(name="blue", rate_per_s=10.0, burst=1000.0)])
        self.assertLess(admitted(limited, 1.0, 200), 10)

    def test_removing_and_adding_does_not_refill(self) -> None:
        limited = quota()
        admitted(limited, 0.0, 200)
        limited.configure(0.0, [])
        self.assertEqual(admitted(limited, 0.0, 5), 5)
        limited.configure(0.0, [LIMITED])
        self.assertLess(admitted(limited, 1.0, 200), 10)

    def test_a_tenant_that_is_new_to_a_running_process_starts_full(self) -> None:
        running = quota(is_founding=False)
        running.configure(0.0, [LIMITED, Tenant(name="green", rate_per_s=10.0, burst=20.0)])
        self.assertGreaterEqual(admitted(running, 0.0, 100, name="green"), 20)

    def test_a_limit_where_there_was_none(self) -> None:
        running = quota(Tenant(name="blue"))
        admitted(running, 0.0, 100)
        running.configure(0.0, [LIMITED])
        self.assertLess(admitted(running, 0.0, 200), 40)


class WithoutTouch(unittest.TestCase):
    def test_the_own_part_only(self) -> None:
        limited = quota()
        limited.set_data_planes(0.0, 3, False)
        per_s = sum(admitted(limited, at_ms, 1) for at_ms in range(0, 60_000, 50)) / 60.0
        self.assertLess(per_s, 10.0 / 3)
        self.assertGreater(per_s, 10.0 / 3 / 2)

    def test_what_was_used_meanwhile_is_reported_a_little_after_touch_is_regained(self) -> None:
        limited = quota()
        limited.set_data_planes(0.0, 3, False)
        limited.admit(100.0, "blue", 3.0)
        limited.set_data_planes(2000.0, 3, True)
        limited.admit(2001.0, "blue", 1.0)
        self.assertEqual(limited.drain_usage(2100.0).used, {"blue": 1.0})
        self.assertEqual(limited.drain_usage(2600.0).used, {"blue": 3.0})

    def test_what_is_heard_later_counts_against_what_was_assumed(self) -> None:
        limited, heard = quota(), quota()
        for each in (limited, heard):
            each.handle_peer_usage(0.0, {"blue": 1.0}, {"blue": 5.0})
            for at_ms in range(0, 4000, 200):
                each.handle_peer_usage(float(at_ms), {"blue": 1.0}, {"blue": 5.0})
        limited.set_data_planes(4000.0, 3, False)
        limited.set_data_planes(7000.0, 3, True)
        limited.handle_peer_usage(7200.0, {"blue": 16.0}, {"blue": 5.0})
        for at_ms in range(4000, 7300, 200):
            heard.handle_peer_usage(float(at_ms), {"blue": 1.0}, {"blue": 5.0})
        counts = [admitted(each, 9000.0, 100) for each in (limited, heard)]
        self.assertAlmostEqual(counts[0], counts[1], delta=6)


class Rates(unittest.TestCase):
    def test_a_steady_rate_is_found_and_forgotten(self) -> None:
        rate = DecayingRate(1.0)
        self.assertEqual(rate.per_s(0.0), 0.0)
        for at_ms in range(0, 10_000, 10):
            rate.add(float(at_ms), 2.0)
        self.assertAlmostEqual(rate.per_s(10_000.0), 200.0, delta=3.0)
        self.assertLess(rate.per_s(20_000.0), 0.1)
