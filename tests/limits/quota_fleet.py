"""A simulated fleet of data planes that share one tenant's quota through the primary's usage exchange.

Requests have one of four very different sizes, as sent by clients of a language model, and arrive at random
times at random data planes. As in the system, a data plane reports its usage every 250 ms and receives that
of the others every 200 ms, both with a delay.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from madderwind.configuration.documents import Tenant
from madderwind.distribution.exchange import UsageExchange
from madderwind.limits.quota import TenantQuota
from madderwind.messages.distribution import UsageReport
from madderwind.node_settings import Bounds

BOUNDS = Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=190_000.0)
TENANT = Tenant(name="blue", unit="tokens", rate_per_s=71_430.0, burst=112_296.0)
# Request sizes in tokens, and the relative frequency of each.
SIZES, WEIGHTS = (17_140.0, 9_241.0, 1_631.0, 200.0), (6.71, 4.98, 8.51, 5.05)
MEAN_SIZE = sum(size * weight for size, weight in zip(SIZES, WEIGHTS, strict=True)) / sum(WEIGHTS)
# The tenant's normal demand as a fraction of its rate.
NORMAL_RATE_FRACTION = 1 / 1.3

REPORT_INTERVAL_MS, EXCHANGE_INTERVAL_MS = 250.0, 200.0
ONE_WAY_MS = 75.0
# The time until the loss of a connection to the primary is detected, and the time within which data planes
# reconnect.
LOSS_DETECTION_DELAY_MS, RECONNECT_WITHIN_MS = 700.0, 500.0
CLIENT_RETRY_MS = 300.0


@attrs.frozen
class Arrival:
    """A client's first attempt and its result."""

    at_ms: float
    amount: float
    is_admitted: bool


@attrs.define
class DataPlane:
    """One data plane process; `incarnation` counts its restarts."""

    number: int
    quota: TenantQuota
    weight: float
    incarnation: int = 0
    sequence: int = 0
    is_running: bool = True
    is_connected: bool = True

    @property
    def participant(self) -> tuple[int, int]:
        return self.number, self.incarnation


class QuotaFleet:
    """Runs one tenant's requests through all data planes and records the admissions."""

    def __init__(
        self, data_planes: int, seed: int, *, is_founding: bool = True, tenant: Tenant = TENANT
    ) -> None:
        self.tenant = tenant
        self.arrivals: list[Arrival] = []
        self.admitted: list[tuple[float, float]] = []
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._event_ids = itertools.count()
        self._exchange = UsageExchange()
        self._normal_requests_per_s = tenant.rate_per_s * NORMAL_RATE_FRACTION / MEAN_SIZE
        self._multiple = 1.0
        # If set, clients retry after this delay, too late for a response in time, and the retry is late.
        self.late_retry_ms: float | None = None
        self._data_plane_count = data_planes
        self._data_planes = [
            DataPlane(number, self._new_quota(is_founding), self._rng.uniform(0.4, 1.6))
            for number in range(data_planes)
        ]
        for data_plane in self._data_planes:
            self._exchange.join(data_plane.participant)
            self._after(self._rng.uniform(0, REPORT_INTERVAL_MS), partial(self._report, data_plane))
        self._after(0.0, self._exchange_usage)
        self._after(0.0, self._next_arrival)

    def demand_multiple(self, at_s: float, multiple: float) -> None:
        """From `at_s` on the tenant's demand is this multiple of its normal demand."""

        def change() -> None:
            self._multiple = multiple

        self._at(at_s * 1000, change)

    def restart(self, at_s: float, part: float, down_s: float) -> None:
        """Kill this fraction of the data planes at once; each restarts after `down_s`."""
        self._at(at_s * 1000, lambda: self._kill(part, down_s * 1000))

    def disconnect_from_primary(
        self, at_s: float, numbers: Iterable[int], for_s: float, *, new_primary: bool = False
    ) -> None:
        """Disconnect data planes from the primary for `for_s`; `new_primary` starts without any state."""
        disconnected = [self._data_planes[number] for number in numbers]
        self._at(at_s * 1000, lambda: self._disconnect(disconnected))
        self._at((at_s + for_s) * 1000, lambda: self._reconnect(disconnected, new_primary))

    def change_limit(self, at_s: float, tenant: Tenant) -> None:
        """Apply a configuration with another limit at all data planes at once."""

        def change() -> None:
            self.tenant = tenant
            for data_plane in self._data_planes:
                data_plane.quota.configure(self._now_ms, [tenant])

        self._at(at_s * 1000, change)

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s * 1000:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()

    def largest_window_use(self, from_s: float = 0.0) -> float:
        """The maximum admitted in any window since `from_s`, as a fraction of the fleet-wide limit."""
        within: deque[tuple[float, float]] = deque()
        total = largest = 0.0
        for at_ms, amount in self.admitted:
            if at_ms < from_s * 1000:
                continue
            within.append((at_ms, amount))
            total += amount
            while within[0][0] < at_ms - BOUNDS.quota_window_s * 1000:
                total -= within.popleft()[1]
            largest = max(largest, total)
        return largest / allowed_in_window(self.tenant)

    def refused_part(self, from_s: float = 0.0, until_s: float = float("inf")) -> float:
        """The refused fraction of the tokens of first attempts."""
        attempts = [arrival for arrival in self.arrivals if from_s * 1000 <= arrival.at_ms < until_s * 1000]
        refused = sum(arrival.amount for arrival in attempts if not arrival.is_admitted)
        return refused / sum(arrival.amount for arrival in attempts)

    def refused_part_with_one_bucket(self, from_s: float = 0.0, until_s: float = float("inf")) -> float:
        """The fraction of the same attempts that a single bucket for the whole fleet would refuse."""
        level, updated_ms, refused, total = self.tenant.burst, 0.0, 0.0, 0.0
        for arrival in self.arrivals:
            refilled = self.tenant.rate_per_s * (arrival.at_ms - updated_ms) / 1000
            level, updated_ms = min(self.tenant.burst, level + refilled), arrival.at_ms
            is_admitted = level >= arrival.amount
            level -= arrival.amount * is_admitted
            if from_s * 1000 <= arrival.at_ms < until_s * 1000:
                total += arrival.amount
                refused += arrival.amount * (not is_admitted)
        return refused / total

    def admitted_per_s(self, from_s: float, until_s: float) -> float:
        """Admitted tokens per second."""
        amounts = (amount for at_ms, amount in self.admitted if from_s * 1000 <= at_ms < until_s * 1000)
        return sum(amounts) / (until_s - from_s)

    def _at(self, at_ms: float, event: Callable[[], object]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_ids), event))

    def _after(self, delay_ms: float, event: Callable[[], object]) -> None:
        self._at(self._now_ms + delay_ms, event)

    def _new_quota(self, is_founding: bool) -> TenantQuota:
        quota = TenantQuota(BOUNDS, random.Random(self._rng.random()), is_founding=is_founding)
        quota.set_data_planes(self._now_ms, self._data_plane_count, True)
        quota.configure(self._now_ms, [self.tenant])
        return quota

    def _next_arrival(self) -> None:
        per_s = self._normal_requests_per_s * self._multiple
        amount = self._rng.choices(SIZES, WEIGHTS)[0]
        self.arrivals.append(Arrival(self._now_ms, amount, self._attempt(amount)))
        if not self.arrivals[-1].is_admitted:
            self._schedule_retry(amount)
        self._after(self._rng.expovariate(per_s) * 1000, self._next_arrival)

    def _schedule_retry(self, amount: float) -> None:
        if self.late_retry_ms is None:
            self._after(CLIENT_RETRY_MS, partial(self._attempt, amount))
        else:
            self._after(self.late_retry_ms, partial(self._attempt, amount, is_late=True))

    def _attempt(self, amount: float, *, is_late: bool = False) -> bool:
        running = [data_plane for data_plane in self._data_planes if data_plane.is_running]
        chosen = self._rng.choices(running, [data_plane.weight for data_plane in running])[0]
        is_admitted = chosen.quota.admit(self._now_ms, self.tenant.name, amount, is_late=is_late)
        if is_admitted:
            self.admitted.append((self._now_ms, amount))
        return is_admitted

    def _report(self, data_plane: DataPlane) -> None:
        self._after(REPORT_INTERVAL_MS, lambda: self._report(data_plane))
        if not (data_plane.is_running and data_plane.is_connected):
            return
        data_plane.quota.set_data_planes(self._now_ms, self._data_plane_count, True)
        usage = data_plane.quota.drain_usage(self._now_ms)
        data_plane.sequence += 1
        report = UsageReport(data_plane.sequence, dict(usage.used), dict(usage.demand_per_s))
        participant = data_plane.participant
        self._after(ONE_WAY_MS, lambda: self._exchange.report(participant, report))

    def _exchange_usage(self) -> None:
        self._after(EXCHANGE_INTERVAL_MS, self._exchange_usage)
        for data_plane in self._data_planes:
            if data_plane.is_running and data_plane.is_connected:
                self._send_peer_usage(data_plane)

    def _send_peer_usage(self, data_plane: DataPlane) -> None:
        peer_usage = self._exchange.owed(data_plane.participant)
        if peer_usage is None:
            return
        quota = data_plane.quota
        self._after(
            ONE_WAY_MS,
            lambda: quota.handle_peer_usage(self._now_ms, peer_usage.used, peer_usage.demand_per_s),
        )

    def _kill(self, part: float, down_ms: float) -> None:
        for data_plane in self._rng.sample(self._data_planes, round(part * self._data_plane_count)):
            self._exchange.suspend(data_plane.participant)
            data_plane.is_running = False
            self._after(down_ms, partial(self._start, data_plane))

    def _start(self, data_plane: DataPlane) -> None:
        data_plane.incarnation += 1
        data_plane.sequence = 0
        data_plane.quota = self._new_quota(is_founding=False)
        data_plane.is_running = True
        self._exchange.join(data_plane.participant)

    def _disconnect(self, disconnected: list[DataPlane]) -> None:
        for data_plane in disconnected:
            data_plane.is_connected = False
            self._exchange.suspend(data_plane.participant)
            self._after(LOSS_DETECTION_DELAY_MS, partial(self._detect_loss, data_plane))

    def _detect_loss(self, data_plane: DataPlane) -> None:
        if not data_plane.is_connected:
            data_plane.quota.set_data_planes(self._now_ms, self._data_plane_count, False)

    def _reconnect(self, disconnected: list[DataPlane], new_primary: bool) -> None:
        if new_primary:
            self._exchange = UsageExchange()
        for data_plane in disconnected:
            self._after(
                self._rng.uniform(0, RECONNECT_WITHIN_MS), partial(self._complete_reconnect, data_plane)
            )

    def _complete_reconnect(self, data_plane: DataPlane) -> None:
        data_plane.is_connected = True
        self._exchange.join(data_plane.participant)
        data_plane.quota.set_data_planes(self._now_ms, self._data_plane_count, True)


def allowed_in_window(tenant: Tenant) -> float:
    """The fleet-wide limit for one window, in tokens."""
    nominal_allowance = tenant.rate_per_s * BOUNDS.quota_window_s + tenant.burst
    return nominal_allowance * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack
