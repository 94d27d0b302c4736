"""Stories of the retry quota that both programs share."""

from __future__ import annotations

import random
import unittest

from madderwind.balancing.retry_quota import FULL_COST, QUOTA_CAP, TRANSIENT_COST, RetryQuota


class SpendingAndRefunding(unittest.TestCase):
    def test_a_retry_is_paid_for_or_not_sent(self) -> None:
        # Given a full bucket
        quota = RetryQuota(random.Random(1))
        # When retries are paid for until one cannot be
        paid = 0
        while quota.spend(TRANSIENT_COST):
            paid += 1
        # Then the bucket held so many, and what was too little is still there
        self.assertEqual(paid, 500 // 14)
        self.assertEqual(quota.tokens, 500 - 14 * paid)

    def test_a_clean_first_success_adds_one_token_up_to_the_cap(self) -> None:
        # Given a bucket that has been spent from
        quota = RetryQuota(random.Random(1))
        quota.spend(FULL_COST)
        # When requests succeed at their first attempt
        tokens = []
        for _ in range(6):
            quota.succeeded(0.0)
            tokens.append(quota.tokens)
        # Then each adds one, and none goes over the cap
        self.assertEqual(tokens, [496, 497, 498, 499, 500, 500])

    def test_a_retry_that_succeeds_gives_its_cost_back_where_that_is_kept(self) -> None:
        for kept, left in ((True, QUOTA_CAP), (False, QUOTA_CAP - TRANSIENT_COST)):
            with self.subTest(refund_on_success=kept):
                # Given a retry that was paid for
                quota = RetryQuota(random.Random(1), refund_on_success=kept)
                quota.spend(TRANSIENT_COST)
                # When it succeeds
                quota.succeeded(TRANSIENT_COST)
                # Then its cost comes back only where refunds are kept
                self.assertEqual(quota.tokens, left)

    def test_a_retry_that_was_never_sent_is_given_back_always(self) -> None:
        # Given a quota without refunds for success, and a retry that was paid for
        quota = RetryQuota(random.Random(1), refund_on_success=False)
        quota.spend(TRANSIENT_COST)
        # When no upstream may have it
        quota.refund(TRANSIENT_COST)
        # Then nothing was spent
        self.assertEqual(quota.tokens, QUOTA_CAP)

    def test_a_smaller_cap_bounds_start_and_refunds(self) -> None:
        # Given a bucket with a cap of its own
        quota = RetryQuota(random.Random(1), cap=20.0)
        # When a retry is paid for and more comes back than was spent
        self.assertTrue(quota.spend(TRANSIENT_COST))
        self.assertFalse(quota.spend(TRANSIENT_COST))
        quota.refund(100.0)
        # Then it holds its cap
        self.assertEqual(quota.tokens, 20.0)


class Waiting(unittest.TestCase):
    def test_waits_are_full_jitter_over_a_window_that_doubles_up_to_the_ceiling(self) -> None:
        # Given the quota's waits over a base of 100 ms
        quota = RetryQuota(random.Random(3))
        windows = {0: 100.0, 1: 200.0, 3: 800.0, 7: 12_800.0, 8: 20_000.0, 2000: 20_000.0}
        for retry, window_ms in windows.items():
            with self.subTest(retry=retry):
                # When many are drawn
                drawn = [quota.wait_ms(100.0, retry) for _ in range(2000)]
                # Then they fill the window evenly
                self.assertLess(min(drawn), window_ms * 0.01)
                self.assertLessEqual(max(drawn), window_ms)
                self.assertGreater(max(drawn), window_ms * 0.99)
                self.assertAlmostEqual(sum(drawn) / len(drawn), window_ms / 2, delta=window_ms * 0.025)
