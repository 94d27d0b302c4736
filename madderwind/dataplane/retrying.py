"""Decides whether and when a request is retried, by the retry quota and the fleet's retry budget. No I/O."""

from __future__ import annotations

from typing import Protocol

from madderwind.balancing.retry_quota import (
    FULL_BASE_MS,
    FULL_COST,
    TRANSIENT_BASE_MS,
    TRANSIENT_COST,
    RetryQuota,
)
from madderwind.dataplane.attempts import AttemptResult, Progress, may_be_sent_again

# Attempts of which no byte was written cost the upstreams nothing; this many are allowed for each request.
MAX_UNSENT_ATTEMPTS = 4
# No attempt is made with less time than this remaining.
MIN_REMAINING_MS = 20.0


class RetryBudget(Protocol):
    """The fleet's limit on sends beyond the first of each request; implemented by `limits.budget`."""

    def set_data_planes(self, data_planes: int) -> None:
        """Set how many data planes share the budget."""

    def request(self, now_ms: float, service: str) -> None:
        """Record a client's request for this service."""

    def may_send_again(self, now_ms: float, service: str) -> bool:
        """Spend one more send if it is within the budget; whether it is."""


class Retries:
    """Decides on retries for all requests of this data plane."""

    def __init__(self, quota: RetryQuota, budget: RetryBudget) -> None:
        self._quota, self._budget = quota, budget

    def wait_ms(
        self, now_ms: float, progress: Progress, service: str, useful_remaining_ms: float
    ) -> float | None:
        """The backoff before the next attempt after a failed one; None for no further attempt.

        A granted attempt is charged to the quota and the budget. `useful_remaining_ms` is the time in which
        an attempt can still help the client.
        """
        last = progress.attempts[-1].result
        if not may_be_sent_again(progress):
            return None
        if not progress.arrivals or last is AttemptResult.NOT_SENT:
            unsent = len(progress.attempts) - progress.arrivals
            return 0.0 if unsent < MAX_UNSENT_ATTEMPTS else None
        was_refused = last is AttemptResult.REFUSED_FULL
        wait_ms = self._quota.wait_ms(
            FULL_BASE_MS if was_refused else TRANSIENT_BASE_MS, progress.arrivals - 1
        )
        if wait_ms + MIN_REMAINING_MS > useful_remaining_ms:
            return None
        cost = FULL_COST if was_refused else TRANSIENT_COST
        if not self._quota.spend(cost):
            return None
        if not self._budget.may_send_again(now_ms, service):
            self._quota.refund(cost)
            return None
        return wait_ms

    def succeeded(self, progress: Progress) -> None:
        """Record that a request was served."""
        self._quota.succeeded(0.0 if progress.arrivals <= 1 else TRANSIENT_COST)
