"""Many balancers on one clock: effects that one balancer can't cause but all of them together can."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from typing import Any

import pytest

from madderwind.standalone.policy import api, repetition
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import BalancerDriver, entry, sends

BALANCERS = 40
FALL_WINDOW_MS = 1500.0
ATTEMPT_TIMEOUT_MS = 4000.0


class SimulatedFleet:
    """Balancers that receive requests at random, and upstreams with random answer times."""

    def __init__(
        self, entries: list[api.UpstreamEntry], seed: int = 1, copies: int = BALANCERS, **more: object
    ) -> None:
        self.rng = random.Random(seed)
        self.drivers = [
            BalancerDriver(entries, seed * 1000 + me, copies=copies, me=me, **more) for me in range(copies)
        ]
        self.sent: list[tuple[float, int]] = []  # when, and to which upstream
        self.open_attempts: list[tuple[float, int, int, int, float]] = []  # a heap, by the time of the answer

    def list_upstreams(self, at_ms: float, entries: list[api.UpstreamEntry]) -> None:
        for driver in self.drivers:
            driver.now = at_ms
            driver.list_upstreams(entries, ListKind.CHANGES)

    def send_requests(self, from_ms: float, duration_ms: float, per_s: float) -> None:
        """Plays Poisson arrivals for this time; answers take 200 ms in the mean."""
        now = from_ms
        while now < from_ms + duration_ms:
            now += self.rng.expovariate(per_s / 1000)
            while self.open_attempts and self.open_attempts[0][0] <= now:
                at_ms, me, request, upstream, took_ms = heapq.heappop(self.open_attempts)
                self.drivers[me].now = at_ms
                late = took_ms >= ATTEMPT_TIMEOUT_MS
                outcome = Outcome.TIMEOUT if late else Outcome.OK
                self.drivers[me].end_attempt(request, outcome, upstream, elapsed_ms=took_ms)
            me = self.rng.randrange(len(self.drivers))
            self.drivers[me].now = now
            request, actions = self.drivers[me].arrive()
            for send in sends(actions):
                self.sent.append((now, send.upstream))
                took_ms = self.answer_time_ms(now, send.upstream)
                heapq.heappush(self.open_attempts, (now + took_ms, me, request, send.upstream, took_ms))

    def answer_time_ms(self, now: float, upstream: int) -> float:
        return self.rng.expovariate(1 / 200.0)

    def busiest_window(self, upstream: int, from_ms: float) -> tuple[int, float]:
        """The most attempts at an upstream in any window of `FALL_WINDOW_MS`, and when that window began."""
        times = [at_ms for at_ms, to in self.sent if to == upstream and at_ms >= from_ms]
        best, first = (0, from_ms), 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - FALL_WINDOW_MS:
                first += 1
            best = max(best, (last - first + 1, times[first]))
        return best


@pytest.mark.parametrize("with_sizes", [False, True])
def test_all_balancers_together_do_not_overload_cold_upstreams(with_sizes: bool) -> None:
    """Six in ten upstreams are new. Rule 4 counts all balancers, and each of them acts on its own."""
    warm, newcomers = range(12), range(20, 38)
    fleet = SimulatedFleet(
        [entry(n) for n in warm], fall_multiple=2.5, fall_ms=FALL_WINDOW_MS, ratings_tell_size=with_sizes
    )
    fleet.send_requests(50_000.0, 3000.0, 240.0)
    began_ms = 53_000.0
    fleet.list_upstreams(began_ms, [entry(n, started_ms=began_ms) for n in newcomers])
    fleet.send_requests(began_ms, 6000.0, 240.0)
    load = Counter(to for at_ms, to in fleet.sent if at_ms >= began_ms)
    warm_load = sum(load[n] for n in warm) / len(warm) / 6000.0 * FALL_WINDOW_MS
    assert sum(load[n] for n in newcomers) > 0
    for n in newcomers:
        most, at_ms = fleet.busiest_window(n, began_ms)
        capacity = warm_load * (0.2 + 0.8 * (at_ms - began_ms) / 20_000.0)
        assert most <= 2.5 * capacity + 3  # the rule allows the same margin for random variation


class QueueingFleet(SimulatedFleet):
    """Upstreams that serve one request at a time; a cold one at the capacity that it has reached."""

    START_CAPACITY, WARM_MS = 0.2, 20_000.0
    started: dict[int, float]
    busy_until_ms: dict[int, float]
    warm_capacity_per_s = 0.0

    def capacity_per_s(self, now: float, upstream: int) -> float:
        """Requests per second; for a cold upstream the least that the settings allow."""
        part = (
            self.START_CAPACITY
            + (1 - self.START_CAPACITY) * (now - self.started.get(upstream, -math.inf)) / self.WARM_MS
        )
        return self.warm_capacity_per_s * min(1.0, part)

    def answer_time_ms(self, now: float, upstream: int) -> float:
        served_ms = self.rng.expovariate(self.capacity_per_s(now, upstream) / 1000)
        self.busy_until_ms[upstream] = max(now, self.busy_until_ms.get(upstream, 0.0)) + served_ms
        return min(ATTEMPT_TIMEOUT_MS, self.busy_until_ms[upstream] - now + 20)

    def start(self, at_ms: float, upstreams: range) -> None:
        """Starts these upstreams and lists them at all balancers."""
        self.started.update(dict.fromkeys(upstreams, at_ms))
        self.list_upstreams(at_ms, [entry(n, started_ms=at_ms) for n in upstreams])

    def worst_overload(self, upstream: int) -> float:
        """The highest ratio in any window of attempts to what rule 4 allows with random variation."""
        times = [at for at, to in self.sent if to == upstream and at >= self.started[upstream]]
        worst, first = 0.0, 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - FALL_WINDOW_MS:
                first += 1
            allowed = 2.5 * self.capacity_per_s(times[first], upstream) * FALL_WINDOW_MS / 1000
            worst = max(worst, (last - first + 1) / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


@pytest.mark.parametrize("copies", [20, 30, 200, 400])
@pytest.mark.parametrize(
    "case", ["all cold", "few warm", "half restarted at once", "one at a time", "listed late"]
)
def test_the_sum_of_all_balancers_stays_below_the_overload_of_a_cold_upstream(case: str, copies: int) -> None:
    """Rule 4 for the fleet, without messages between balancers.

    Beyond the budget of N, 2 * sqrt(N) + 2 attempts are allowed for random variation. Six seeds are played at
    240 requests per second, which is six tenths of the capacity of all upstreams when warm.
    """
    per_s, count, at_ms = 240.0, 12, 50_000.0
    for seed in range(6):
        fleet = QueueingFleet(
            [], seed, copies, fall_multiple=2.5, fall_ms=FALL_WINDOW_MS, warm_after_ms=QueueingFleet.WARM_MS
        )
        fleet.started, fleet.busy_until_ms, fleet.warm_capacity_per_s = {}, {}, per_s / 0.6 / count
        for n in range(count):
            fleet.list_upstreams(0.0, [entry(n)])
        if case == "listed late":  # by balancers that have only just started
            fleet.start(at_ms, range(8, count))
            at_ms += 1000.0
        elif case == "all cold":
            fleet.start(at_ms, range(count))
        else:
            fleet.send_requests(at_ms - 3000, 3000, per_s)
        if case == "few warm":
            fleet.start(at_ms, range(2, count))
        elif case == "half restarted at once":
            fleet.start(at_ms, range(6, count))
        for n in range(8) if case == "one at a time" else ():
            fleet.start(at_ms, range(n, n + 1))
            fleet.send_requests(at_ms, 700, per_s)
            at_ms += 700
        fleet.send_requests(at_ms, 5000, per_s)
        assert max(fleet.worst_overload(n) for n in fleet.started) <= 1.0
        assert {to for at, to in fleet.sent if at >= at_ms} & set(fleet.started)  # and they do get requests


def test_new_upstreams_of_known_size_get_more_than_their_least_capacity() -> None:
    """Guards against overload of warm upstreams: most new ones can serve more than their least capacity."""
    shares = []
    for with_sizes in (False, True):
        fleet = SimulatedFleet([entry(n) for n in range(8)], fall_multiple=2.5, ratings_tell_size=with_sizes)
        fleet.list_upstreams(50_000.0, [entry(n, started_ms=45_000.0) for n in (20, 21, 22, 23)])
        fleet.send_requests(50_000.0, 8000.0, 160.0)
        load = Counter(to for _, to in fleet.sent)
        shares.append(sum(load[n] for n in (20, 21, 22, 23)) / sum(load.values()))
    assert shares[1] > 1.3 * shares[0]


def subset_of(driver: BalancerDriver) -> set[int]:
    fleet = driver.balancer._fleet
    return {u.entry.upstream for u in fleet.order[: fleet.subset_size]}


@pytest.mark.parametrize("ratings", [(1.0, 1.0, 1.0), (4.0, 3.0, 1.5)])
@pytest.mark.parametrize("replaced", [1, 36])
@pytest.mark.parametrize("additions_first", [False, True])
def test_a_change_of_the_list_changes_subsets_little(
    replaced: int, ratings: tuple[float, ...], additions_first: bool
) -> None:
    """Guards against a change that gives all balancers other subsets, so that all reconnect at once."""

    def rating(n: int) -> float:
        return ratings[n % len(ratings)]

    removed = [entry(n, state=api.UpstreamState.GONE, rating=rating(n)) for n in range(replaced)]
    added = [entry(100 + n, rating=rating(n)) for n in range(replaced)]
    lost = kept_listed = 0
    load: Counter[int] = Counter()
    for me in range(BALANCERS):
        driver = BalancerDriver([entry(n, rating=rating(n)) for n in range(60)], me, copies=BALANCERS, me=me)
        before = {n for n in subset_of(driver) if n >= replaced}
        for change in (added, removed) if additions_first else (removed, added):
            driver.list_upstreams(change, ListKind.CHANGES)
        lost, kept_listed = lost + len(before - subset_of(driver)), kept_listed + len(before)
        load.update(subset_of(driver))
    assert lost <= 0.15 * kept_listed
    assert len(load) == 60  # each is in some subsets, and in at most twice the mean number
    assert min(load.values()) >= 2
    assert max(load.values()) <= 16


def test_a_list_that_grows_from_empty_leaves_no_upstream_unused() -> None:
    """A balancer that starts without a list gets upstreams one by one; their positions must not cluster."""
    load: Counter[int] = Counter()
    for me in range(BALANCERS):
        driver = BalancerDriver([], me, copies=BALANCERS, me=me)
        for n in range(60):
            driver.list_upstreams([entry(n)], ListKind.CHANGES)
        load.update(subset_of(driver))
    assert len(load) == 60
    assert max(load.values()) <= 16


def test_a_pick_at_low_load_considers_few_upstreams_in_a_fleet_of_any_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pick that iterates over the whole fleet for each request, by a count of calls."""
    calls = [0]
    original = repetition.may_be_resent

    def counting(*args: Any) -> bool:
        calls[0] += 1
        return original(*args)

    monkeypatch.setattr(repetition, "may_be_resent", counting)
    calls_per_pick = {}
    for size in (60, 600):
        driver = BalancerDriver([entry(n) for n in range(size)], copies=size * 2 // 3)
        calls[0] = 0
        for _ in range(20):
            driver.serve()
        calls_per_pick[size] = calls[0] / 20
    # The calls are for the subset, which has the same size in both fleets.
    assert calls_per_pick[60] == calls_per_pick[600] <= 12


def test_forty_balancers_that_restore_one_upstream_together_do_not_overload_it() -> None:
    """Rule 4 after maintenance: the upstream restarted, and all balancers restore it at the same time."""
    others = range(12)
    fleet = SimulatedFleet([entry(n) for n in range(13)], fall_multiple=2.5, fall_ms=FALL_WINDOW_MS)
    fleet.send_requests(50_000.0, 2000.0, 240.0)
    fleet.list_upstreams(52_000.0, [entry(12, state=UpstreamState.SUSPENDED)])
    fleet.send_requests(52_000.0, 2000.0, 240.0)
    assert not [to for at_ms, to in fleet.sent if to == 12 and at_ms >= 52_000.0]
    assert [driver.balancer.skipped(driver.now) for driver in fleet.drivers] == [1] * BALANCERS
    fleet.list_upstreams(54_000.0, [entry(12, started_ms=54_000.0)])
    fleet.send_requests(54_000.0, 6000.0, 240.0)
    load = Counter(to for at_ms, to in fleet.sent if at_ms >= 54_000.0)
    warm_load = sum(load[n] for n in others) / len(others) / 6000.0 * FALL_WINDOW_MS
    most, at_ms = fleet.busiest_window(12, 54_000.0)
    assert 0 < most <= 2.5 * warm_load * (0.2 + 0.8 * (at_ms - 54_000.0) / 20_000.0) + 3
