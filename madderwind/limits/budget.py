"""The fleet's budget of repeated sends: arrivals at a service beyond the first of each request.

The rule sums over all data planes and any window: repeated sends <= ratio x requests + slack. Nothing is
shared between data planes; each holds itself to

    repeated sends <= ratio x own requests + slack / (2 x data planes)

in the window that ends now. The repeated sends of any window are, up to the last of them, within the window
that ended with that one, which was checked as it was sent. Summed over the data planes the bound is
ratio x requests + slack / 2. A restarted process has forgotten its former life's sends; in a window in which
every process restarts once the sum is ratio x requests + slack, which is still the rule.

The rule's windows reach further than now, so when requests get fewer it counts fewer than were counted here.
Therefore the latest half window counts at most twice.
"""

from __future__ import annotations

from collections import defaultdict, deque


class _SlidingCount:
    """Counts events exactly over the last window."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._times: deque[float] = deque()

    def add(self, now_ms: float) -> None:
        self._times.append(now_ms)

    def count(self, now_ms: float) -> int:
        oldest_ms = now_ms - self._window_ms
        while self._times and self._times[0] < oldest_ms:
            self._times.popleft()
        return len(self._times)


class _ServiceBudget:
    """One service's requests and repeated sends at this data plane."""

    def __init__(self, window_ms: float) -> None:
        self.requests = _SlidingCount(window_ms)
        self.latest_requests = _SlidingCount(window_ms / 2)
        self.repeated = _SlidingCount(window_ms)

    def request(self, now_ms: float) -> None:
        for counts in (self.requests, self.latest_requests):
            counts.count(now_ms)  # lets go of what is older, so that the memory stays bounded
            counts.add(now_ms)

    def counted_requests(self, now_ms: float) -> int:
        return min(self.requests.count(now_ms), 2 * self.latest_requests.count(now_ms))


class FleetRetryBudget:
    """One data plane's part of the fleet's budget. Times are on the steady clock."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio, self._slack, self._window_ms = ratio, slack, window_ms
        self._data_planes = 0
        self._services: defaultdict[str, _ServiceBudget] = defaultdict(lambda: _ServiceBudget(window_ms))

    def set_data_planes(self, data_planes: int) -> None:
        """How many data planes share the slack. It never goes down: those that are away may be at work."""
        self._data_planes = max(self._data_planes, data_planes)

    def request(self, now_ms: float, service: str) -> None:
        """A client's request for this service."""
        self._services[service].request(now_ms)

    def may_send_again(self, now_ms: float, service: str) -> bool:
        """Whether one more arrival is within the budget; it is spent then."""
        budget = self._services[service]
        allowed = self._ratio * budget.counted_requests(now_ms) + self._own_slack
        if budget.repeated.count(now_ms) + 1 > allowed:
            return False
        budget.repeated.add(now_ms)
        return True

    @property
    def _own_slack(self) -> float:
        """Nothing while it isn't known how many share it."""
        return self._slack / (2 * self._data_planes) if self._data_planes else 0.0
