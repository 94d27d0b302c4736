"""The retry quota, which both programs use."""

from __future__ import annotations

import random
import unittest

from madderwind.balancing.retry_quota import FULL_COST, QUOTA_CAP, TRANSIENT_COST, RetryQuota


class SpendingAndRefunding(unittest.TestCase):
    def test_a_retry_is_refused_once_the_tokens_are_spent(self) -> None:
        # Given a full bucket
        quota = RetryQuota(random.Random(1))
        # When retries spend tokens until one is refused
        retries = 0
        while quota.spend(TRANSIENT_COST):
            retries += 1
        # Then the bucket covered this many, and the insufficient rest is still there
        self.assertEqual(retries, 500 // 14)
        self.assertEqual(quota.tokens, 500 - 14 * retries)

    def test_a_success_at_the_first_attempt_adds_one_token_up_to_the_cap(self) -> None:
        # Given a bucket from which tokens were spent
        quota = RetryQuota(random.Random(1))
        quota.spend(FULL_COST)
        # When requests succeed at their first attempt
        tokens = []
        for _ in range(6):
            quota.succeeded(0.0)
            tokens.append(quota.tokens)
        # Then each adds one token, up to the cap
        self.assertEqual(tokens, [496, 497, 498, 499, 500, 500])

    def test_a_successful_retry_refunds_its_cost_if_refunds_are_enabled(self) -> None:
        for is_refunded, remaining in ((True, QUOTA_CAP), (False, QUOTA_CAP - TRANSIENT_COST)):
            with self.subTest(refund_on_success=is_refunded):
                # Given a retry that spent its cost
                quota = RetryQuota(random.Random(1), refund_on_success=is_refunded)
                quota.spend(TRANSIENT_COST)
                # When it succeeds
                quota.succeeded(TRANSIENT_COST)
                # Then its cost is refunded only if refunds are enabled
                self.assertEqual(quota.tokens, remaining)

    def test_a_retry_that_was_never_sent_is_always_refunded(self) -> None:
        # Given a quota without refunds for success, and a retry that spent its cost
        quota = RetryQuota(random.Random(1), refund_on_success=False)
        quota.spend(TRANSIENT_COST)
        # When no upstream is available for it
        quota.refund(TRANSIENT_COST)
        # Then the quota is full again
        self.assertEqual(quota.tokens, QUOTA_CAP)

    def test_a_smaller_cap_limits_the_initial_level_and_refunds(self) -> None:
        # Given a bucket with a cap of its own
        quota = RetryQuota(random.Random(1), cap=20.0)
        # When a retry spends its cost and more is refunded than was spent
        self.assertTrue(quota.spend(TRANSIENT_COST))
        self.assertFalse(quota.spend(TRANSIENT_COST))
        quota.refund(100.0)
        # Then its level is the cap
        self.assertEqual(quota.tokens, 20.0)


class Backoff(unittest.TestCase):
    def test_waits_have_full_jitter_over_a_window_that_doubles_up_to_the_maximum(self) -> None:
        # Given waits with a base of 100 ms
        quota = RetryQuota(random.Random(3))
        windows = {0: 100.0, 1: 200.0, 3: 800.0, 7: 12_800.0, 8: 20_000.0, 2000: 20_000.0}
        for retry, window_ms in windows.items():
            with self.subTest(retry=retry):
                # When many are drawn
                drawn = [quota.wait_ms(100.0, retry) for _ in range(2000)]
                # Then they are evenly distributed over the window
                self.assertLess(min(drawn), window_ms * 0.01)
                self.assertLessEqual(max(drawn), window_ms)
                self.assertGreater(max(drawn), window_ms * 0.99)
                self.assertAlmostEqual(sum(drawn) / len(drawn), window_ms / 2, delta=window_ms * 0.025)
