"""A simulated fleet of data planes that share one tenant's quota through the primary's usage exchange.

Requests are lumpy: of four sizes as a language model's clients send them, at random times and random data
planes. Reports and what the others used travel as in the system: every 250 ms up, every 200 ms down, with
a delay.
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
# Tokens of a request, and how many of its kind there are.
SIZES, WEIGHTS = (17_140.0, 9_241.0, 1_631.0, 200.0), (6.71, 4.98, 8.51, 5.05)
MEAN_SIZE = sum(size * weight for size, weight in zip(SIZES, WEIGHTS, strict=True)) / sum(WEIGHTS)
# What the tenant usually sends, as a part of its rate.
USUAL_PART = 1 / 1.3

REPORT_INTERVAL_MS, EXCHANGE_INTERVAL_MS = 250.0, 200.0
ONE_WAY_MS = 75.0
# A lost connection to the primary is noticed after this; regained by each within that.
NOTICED_AFTER_MS, REGAINED_WITHIN_MS = 700.0, 500.0
CLIENT_RETRY_MS = 300.0


@attrs.frozen
class Arrival:
    """A client's first try, and how it ended."""

    at_ms: float
    amount: float
    is_admitted: bool


@attrs.define
class DataPlane:
    """One machine's process; `life` counts its restarts."""

    number: int
    quota: TenantQuota
    weight: float
    life: int = 0
    sequence: int = 0
    is_running: bool = True
    is_connected: bool = True

    @property
    def participant(self) -> tuple[int, int]:
        return self.number, self.life


class QuotaFleet:
    """Runs one tenant's requests through all data planes and keeps what was admitted when."""

    def __init__(
        self, data_planes: int, seed: int, *, is_founding: bool = True, tenant: Tenant = TENANT
    ) -> None:
        self.tenant = tenant
        self.arrivals: list[Arrival] = []
        self.admitted: list[tuple[float, float]] = []
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._command = itertools.count()
        self._exchange = UsageExchange()
        self._usual_per_s = tenant.rate_per_s * USUAL_PART / MEAN_SIZE
        self._multiple = 1.0
        # Where given, clients come back so late that their answer can't be in time, and say so.
        self.late_return_ms: float | None = None
        self._count = data_planes
        self._data_planes = [
            DataPlane(number, self._new_quota(is_founding), self._rng.uniform(0.4, 1.6))
            for number in range(data_planes)
        ]
        for data_plane in self._data_planes:
            self._exchange.join(data_plane.participant)
            self._after(self._rng.uniform(0, REPORT_INTERVAL_MS), partial(self._report, data_plane))
        self._after(0.0, self._tell_others)
        self._after(0.0, self._next_arrival)

    # --- what a story says ---

    def demand_multiple(self, at_s: float, multiple: float) -> None:
        """From then on the tenant sends so many times its usual."""

        def change() -> None:
            self._multiple = multiple

        self._at(at_s * 1000, change)

    def restart(self, at_s: float, part: float, down_s: float) -> None:
        """That part of the data planes is killed at once, and starts again."""
        self._at(at_s * 1000, lambda: self._kill(part, down_s * 1000))

    def lose_touch(
        self, at_s: float, numbers: Iterable[int], for_s: float, *, new_primary: bool = False
    ) -> None:
        """These don't reach the primary for a while; then they do, or another that knows nothing."""
        lost = [self._data_planes[number] for number in numbers]
        self._at(at_s * 1000, lambda: self._disconnect(lost))
        self._at((at_s + for_s) * 1000, lambda: self._reconnect(lost, new_primary))

    def change_limit(self, at_s: float, tenant: Tenant) -> None:
        """A configuration with another limit, in force everywhere at once."""

        def change() -> None:
            self.tenant = tenant
            for data_plane in self._data_planes:
                data_plane.quota.configure(self._now_ms, [tenant])

        self._at(at_s * 1000, change)

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s * 1000:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()

    # --- what is measured ---

    def largest_window(self, from_s: float = 0.0) -> float:
        """The most that was admitted in any window since, as a part of what the rule allows."""
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
        return largest / allowed_in_a_window(self.tenant)

    def refused_part(self, from_s: float = 0.0, until_s: float = float("inf")) -> float:
        """The part of the tokens of clients' first tries that was refused."""
        tries = [each for each in self.arrivals if from_s * 1000 <= each.at_ms < until_s * 1000]
        refused = sum(each.amount for each in tries if not each.is_admitted)
        return refused / sum(each.amount for each in tries)

    def ideally_refused_part(self, from_s: float = 0.0, until_s: float = float("inf")) -> float:
        """What one bucket for the whole fleet would refuse of the same tries."""
        level, updated_ms, refused, total = self.tenant.burst, 0.0, 0.0, 0.0
        for each in self.arrivals:
            refilled = self.tenant.rate_per_s * (each.at_ms - updated_ms) / 1000
            level, updated_ms = min(self.tenant.burst, level + refilled), each.at_ms
            is_admitted = level >= each.amount
            level -= each.amount * is_admitted
            if from_s * 1000 <= each.at_ms < until_s * 1000:
                total += each.amount
                refused += each.amount * (not is_admitted)
        return refused / total

    def admitted_per_s(self, from_s: float, until_s: float) -> float:
        """Tokens a second."""
        amounts = (amount for at_ms, amount in self.admitted if from_s * 1000 <= at_ms < until_s * 1000)
        return sum(amounts) / (until_s - from_s)

    # --- events ---

    def _at(self, at_ms: float, event: Callable[[], object]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._command), event))

    def _after(self, delay_ms: float, event: Callable[[], object]) -> None:
        self._at(self._now_ms + delay_ms, event)

    def _new_quota(self, is_founding: bool) -> TenantQuota:
        quota = TenantQuota(BOUNDS, random.Random(self._rng.random()), is_founding=is_founding)
        quota.set_data_planes(self._now_ms, self._count, True)
        quota.configure(self._now_ms, [self.tenant])
        return quota

    def _next_arrival(self) -> None:
        per_s = self._usual_per_s * self._multiple
        amount = self._rng.choices(SIZES, WEIGHTS)[0]
        self.arrivals.append(Arrival(self._now_ms, amount, self._try(amount)))
        if not self.arrivals[-1].is_admitted:
            self._come_back(amount)
        self._after(self._rng.expovariate(per_s) * 1000, self._next_arrival)

    def _come_back(self, amount: float) -> None:
        if self.late_return_ms is None:
            self._after(CLIENT_RETRY_MS, partial(self._try, amount))
        else:
            self._after(self.late_return_ms, partial(self._try, amount, is_late=True))

    def _try(self, amount: float, *, is_late: bool = False) -> bool:
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
        data_plane.quota.set_data_planes(self._now_ms, self._count, True)
        usage = data_plane.quota.drain_usage(self._now_ms)
        data_plane.sequence += 1
        report = UsageReport(data_plane.sequence, dict(usage.used), dict(usage.demand_per_s))
        participant = data_plane.participant
        self._after(ONE_WAY_MS, lambda: self._exchange.report(participant, report))

    def _tell_others(self) -> None:
        self._after(EXCHANGE_INTERVAL_MS, self._tell_others)
        for data_plane in self._data_planes:
            if data_plane.is_running and data_plane.is_connected:
                self._tell(data_plane)

    def _tell(self, data_plane: DataPlane) -> None:
        told = self._exchange.owed(data_plane.participant)
        if told is None:
            return
        quota = data_plane.quota
        self._after(ONE_WAY_MS, lambda: quota.handle_peer_usage(self._now_ms, told.used, told.demand_per_s))

    def _kill(self, part: float, down_ms: float) -> None:
        for data_plane in self._rng.sample(self._data_planes, round(part * self._count)):
            self._exchange.suspend(data_plane.participant)
            data_plane.is_running = False
            self._after(down_ms, partial(self._start, data_plane))

    def _start(self, data_plane: DataPlane) -> None:
        data_plane.life += 1
        data_plane.sequence = 0
        data_plane.quota = self._new_quota(is_founding=False)
        data_plane.is_running = True
        self._exchange.join(data_plane.participant)

    def _disconnect(self, lost: list[DataPlane]) -> None:
        for data_plane in lost:
            data_plane.is_connected = False
            self._exchange.suspend(data_plane.participant)
            self._after(NOTICED_AFTER_MS, partial(self._notice, data_plane))

    def _notice(self, data_plane: DataPlane) -> None:
        if not data_plane.is_connected:
            data_plane.quota.set_data_planes(self._now_ms, self._count, False)

    def _reconnect(self, lost: list[DataPlane], new_primary: bool) -> None:
        if new_primary:
            self._exchange = UsageExchange()
        for data_plane in lost:
            self._after(self._rng.uniform(0, REGAINED_WITHIN_MS), partial(self._connect, data_plane))

    def _connect(self, data_plane: DataPlane) -> None:
        data_plane.is_connected = True
        self._exchange.join(data_plane.participant)
        data_plane.quota.set_data_planes(self._now_ms, self._count, True)


def allowed_in_a_window(tenant: Tenant) -> float:
    """The rule's bound in tokens."""
    promised = tenant.rate_per_s * BOUNDS.quota_window_s + tenant.burst
    return promised * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack
