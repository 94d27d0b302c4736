"""The design's retry quota: a token bucket that bounds retries, and the full-jitter waits before them.

Source: "Retries are Multipliers" (Failover Weekly No. 21), with the figures of the project's design page.
"""

import random

QUOTA_CAP = 500.0  # tokens, at the start and at most
TRANSIENT_COST, FULL_COST = 14.0, 5.0  # tokens for a retry after a transient failure; after a full upstream
CLEAN_SUCCESS_REFUND = 1.0  # tokens for a success at the first attempt
TRANSIENT_BASE_MS, FULL_BASE_MS, WAIT_CEILING_MS = 100.0, 1000.0, 20_000.0
TRANSIENT, FULL = (TRANSIENT_COST, TRANSIENT_BASE_MS), (FULL_COST, FULL_BASE_MS)  # what a retry takes
MOST_DOUBLINGS = 32  # far beyond the ceiling; keeps the power of two finite


class RetryQuota:
    """Tokens that retries are paid with. `refund_on_success`: a retry that succeeds gives its cost back."""

    def __init__(self, rng: random.Random, *, cap: float = QUOTA_CAP, refund_on_success: bool = True) -> None:
        self.tokens = cap
        self._rng, self._cap, self._refund_on_success = rng, cap, refund_on_success

    def spend(self, cost: float) -> bool:
        """Takes `cost` tokens; False, and nothing taken, where there are fewer."""
        enough = self.tokens >= cost
        self.tokens -= cost * enough
        return enough

    def refund(self, tokens: float) -> None:
        """Gives tokens back, up to the cap: those of a retry that was paid for and never sent."""
        self.tokens = min(self._cap, self.tokens + tokens)

    def succeeded(self, cost: float) -> None:
        """A request succeeded by an attempt that cost so many tokens; 0 for its first attempt."""
        if cost <= 0:
            self.refund(CLEAN_SUCCESS_REFUND)
        elif self._refund_on_success:
            self.refund(cost)

    def wait_ms(self, base_ms: float, retry: int) -> float:
        """A random part of a wait that doubles with each retry, counted from 0, up to the ceiling."""
        doubled_ms = base_ms * 2.0 ** min(retry, MOST_DOUBLINGS)
        return self._rng.random() * min(WAIT_CEILING_MS, doubled_ms)
