"""The fleet's budget of repeated sends: arrivals at a service beyond the first of each request.

The fleet-wide limit holds for the sum over all data planes and for any window: repeated sends <= ratio x
requests + slack. Data planes share no state for it; each one keeps to

    repeated sends <= ratio x own requests + slack / (2 x data planes)

in the window that ends now. The repeated sends of any window lie within the window that ended with the last
of them, which was checked when that one was sent. Summed over the data planes the bound is
ratio x requests + slack / 2. A restarted process has lost the record of its earlier sends; in a window in
which every process restarts once the sum is ratio x requests + slack, which is still within the limit.

The windows of the fleet-wide limit may extend beyond the current time, so when traffic declines they contain
fewer requests than the window counted here. Therefore the count is at most twice that of the latest half
window.
"""

from __future__ import annotations

from collections import defaultdict, deque


class _SlidingWindowCounter:
    """An exact count of the events in the last window."""

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
        self.requests = _SlidingWindowCounter(window_ms)
        self.recent_requests = _SlidingWindowCounter(window_ms / 2)
        self.repeated_sends = _SlidingWindowCounter(window_ms)

    def record_request(self, now_ms: float) -> None:
        for counter in (self.requests, self.recent_requests):
            counter.count(now_ms)  # removes expired entries, which bounds the memory
            counter.add(now_ms)

    def counted_requests(self, now_ms: float) -> int:
        return min(self.requests.count(now_ms), 2 * self.recent_requests.count(now_ms))


class FleetRetryBudget:
    """One data plane's part of the fleet's budget. Times are on the monotonic clock."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio, self._slack, self._window_ms = ratio, slack, window_ms
        self._data_planes = 0
        self._services: defaultdict[str, _ServiceBudget] = defaultdict(lambda: _ServiceBudget(window_ms))

    def set_data_planes(self, data_planes: int) -> None:
        """Set how many data planes share the slack. It never decreases, as unreachable ones may be active."""
        self._data_planes = max(self._data_planes, data_planes)

    def request(self, now_ms: float, service: str) -> None:
        """Record a client's request for this service."""
        self._services[service].record_request(now_ms)

    def may_send_again(self, now_ms: float, service: str) -> bool:
        """Whether one more send is within the budget; if so, it is charged."""
        budget = self._services[service]
        allowed = self._ratio * budget.counted_requests(now_ms) + self._own_slack
        if budget.repeated_sends.count(now_ms) + 1 > allowed:
            return False
        budget.repeated_sends.add(now_ms)
        return True

    @property
    def _own_slack(self) -> float:
        """This data plane's part of the slack; 0 while the number of data planes is unknown."""
        return self._slack / (2 * self._data_planes) if self._data_planes else 0.0
