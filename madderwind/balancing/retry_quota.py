"""Retry quota: a token bucket that limits retries, and the full-jitter backoff before them.

Source: "Retries are Multipliers" (Failover Weekly No. 21), with the figures of the project's design page.
"""

import random

QUOTA_CAP = 500.0  # tokens; the initial and maximum level
# Tokens for a retry after a transient failure, and after a full upstream.
TRANSIENT_COST, FULL_COST = 14.0, 5.0
CLEAN_SUCCESS_REFUND = 1.0  # tokens refunded for a success at the first attempt
TRANSIENT_BASE_MS, FULL_BASE_MS, MAX_WAIT_MS = 100.0, 1000.0, 20_000.0
TRANSIENT, FULL = (TRANSIENT_COST, TRANSIENT_BASE_MS), (FULL_COST, FULL_BASE_MS)  # cost and base wait
MAX_DOUBLINGS = 32  # far beyond the maximum wait; keeps the power of two finite


class RetryQuota:
    """A bucket of tokens that retries spend. `refund_on_success`: a successful retry refunds its cost."""

    def __init__(self, rng: random.Random, *, cap: float = QUOTA_CAP, refund_on_success: bool = True) -> None:
        self.tokens = cap
        self._rng, self._cap, self._refund_on_success = rng, cap, refund_on_success

    def spend(self, cost: float) -> bool:
        """Spend `cost` tokens; if there are fewer, spend nothing and return False."""
        is_covered = self.tokens >= cost
        self.tokens -= cost * is_covered
        return is_covered

    def refund(self, tokens: float) -> None:
        """Return tokens, up to the cap, for instance of a retry that was paid for and never sent."""
        self.tokens = min(self._cap, self.tokens + tokens)

    def succeeded(self, cost: float) -> None:
        """Record a success of an attempt that cost this many tokens; 0 for a first attempt."""
        if cost <= 0:
            self.refund(CLEAN_SUCCESS_REFUND)
        elif self._refund_on_success:
            self.refund(cost)

    def wait_ms(self, base_ms: float, retry: int) -> float:
        """A random fraction of a wait that doubles with each retry, counted from 0, up to MAX_WAIT_MS."""
        doubled_ms = base_ms * 2.0 ** min(retry, MAX_DOUBLINGS)
        return self._rng.random() * min(MAX_WAIT_MS, doubled_ms)
