"""Whether a request is sent once more, and when, by the retry quota and the fleet's retry budget. No I/O."""

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

# Attempts of which nothing was written cost nobody anything; so many are made for one request.
MOST_UNSENT = 4
# An attempt with less time than this left is not worth making.
LEAST_LEFT_MS = 20.0


class RetryBudget(Protocol):
    """The fleet's bound on arrivals beyond the first of each request, as limits.budget implements it."""

    def set_data_planes(self, data_planes: int) -> None:
        """How many data planes share it."""

    def request(self, now_ms: float, service: str) -> None:
        """A client's request for this service."""

    def may_send_again(self, now_ms: float, service: str) -> bool:
        """Whether one more arrival is within the budget; it is spent then."""


class Retries:
    """Decides on further attempts for all requests of this data plane."""

    def __init__(self, quota: RetryQuota, budget: RetryBudget) -> None:
        self._quota, self._budget = quota, budget

    def wait_ms(self, now_ms: float, progress: Progress, service: str, useful_left_ms: float) -> float | None:
        """How long to wait before the next attempt after one that failed; None: no further attempt.

        `useful_left_ms`: how long an attempt could still help the client. What is decided on is paid for.
        """
        last = progress.attempts[-1].result
        if not may_be_sent_again(progress):
            return None
        if not progress.arrivals or last is AttemptResult.NOT_SENT:
            unsent = len(progress.attempts) - progress.arrivals
            return 0.0 if unsent < MOST_UNSENT else None
        full = last is AttemptResult.REFUSED_FULL
        wait_ms = self._quota.wait_ms(FULL_BASE_MS if full else TRANSIENT_BASE_MS, progress.arrivals - 1)
        if wait_ms + LEAST_LEFT_MS > useful_left_ms:
            return None
        cost = FULL_COST if full else TRANSIENT_COST
        if not self._quota.spend(cost):
            return None
        if not self._budget.may_send_again(now_ms, service):
            self._quota.refund(cost)
            return None
        return wait_ms

    def succeeded(self, progress: Progress) -> None:
        """A request was served."""
        self._quota.succeeded(0.0 if progress.arrivals <= 1 else TRANSIENT_COST)
