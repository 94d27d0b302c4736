"""The idle-first pick, and the upstreams that it avoids."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import SAFE, BalancerDriver, answers, entry, sends


def test_idle_upstreams_are_picked_first() -> None:
    driver = BalancerDriver([entry(n) for n in range(5)], warm_after_ms=0.0)
    picked = [sends(driver.arrive()[1])[0].upstream for _ in range(5)]
    assert sorted(picked) == [0, 1, 2, 3, 4]


def test_without_idle_upstreams_those_up_to_the_mean_load_are_picked() -> None:
    for seed in range(40):
        driver = BalancerDriver([entry(n) for n in range(3)], seed=seed)
        load: Counter[int] = Counter()
        for _ in range(12):
            (sent,) = sends(driver.arrive()[1])
            assert load[sent.upstream] <= sum(load.values()) / 3
            load[sent.upstream] += 1


def test_a_retry_avoids_the_upstream_tried_last() -> None:
    for seed in range(40):
        driver = BalancerDriver([entry(1), entry(2), entry(3)], seed=seed)
        request, actions = driver.arrive()
        (first,) = sends(actions)
        driver.end_attempt(request, Outcome.ERROR, first.upstream)
        (retry,) = sends(driver.wait(200))
        assert retry.upstream != first.upstream


def test_a_retry_uses_the_only_upstream() -> None:
    driver = BalancerDriver([entry(1)])
    request, actions = driver.arrive()
    driver.end_attempt(request, Outcome.FULL, 1)
    assert sends(driver.wait(1000)) or answers(driver.wait(0))


def test_faster_upstreams_are_picked_more_often() -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    for _ in range(60):
        request, actions = driver.arrive()
        upstream = sends(actions)[0].upstream
        driver.now += 10
        driver.end_attempt(request, Outcome.OK, upstream, elapsed_ms=400.0 if upstream == 1 else 100.0)
    counts: Counter[int] = Counter()
    for _ in range(200):
        request, actions = driver.arrive()
        upstream = sends(actions)[0].upstream
        counts[upstream] += 1
        driver.end_attempt(request, Outcome.OK, upstream, elapsed_ms=400.0 if upstream == 1 else 100.0)
    assert counts[2] > 2 * counts[1]


def test_an_upstream_without_answers_is_weighted_by_its_rating() -> None:
    picked: Counter[int] = Counter()
    for seed in range(400):
        driver = BalancerDriver(
            [entry(1, rating=3.0), entry(2, rating=1.0)], seed=seed, ratings_tell_size=True
        )
        picked[sends(driver.arrive()[1])[0].upstream] += 1
    assert 2 < picked[1] / picked[2] < 4.5  # three times the size, so three times as likely


def test_one_answer_does_not_outweigh_a_rating() -> None:
    """Guards against picks by single answers where each balancer has little traffic.

    On gye-central-later this made picks almost random.
    """
    driver = BalancerDriver([entry(1, rating=1.0), entry(2, rating=1.0)], ratings_tell_size=True)
    driver.serve(elapsed_ms=100.0)
    slow = driver.serve(elapsed_ms=300.0)
    assert driver.balancer._picker.slowness(driver.balancer._fleet.upstreams[slow]) < 1.5


def test_own_zone_is_preferred_only_where_crossing_is_priced() -> None:
    for price, low, high in [(0.01, 3.0, 8.0), (0.0, 0.7, 1.4)]:
        picked: Counter[int] = Counter()
        for seed in range(400):
            driver = BalancerDriver([entry(1, zone=0), entry(2, zone=1)], seed=seed, cross_zone_price=price)
            picked[sends(driver.arrive()[1])[0].upstream] += 1
        assert low < picked[1] / picked[2] < high


def count_attempts_at(driver: BalancerDriver, arrivals: int, failing: set[int], outcome: Outcome) -> int:
    """The number of attempts at the failing upstreams, which end in this outcome; all others succeed."""
    count = 0
    for _ in range(arrivals):
        request, actions = driver.arrive()
        for sent in sends(actions):
            driver.now += 20
            count += sent.upstream in failing
            driver.end_attempt(request, outcome if sent.upstream in failing else Outcome.OK, sent.upstream)
    return count


def test_a_failing_upstream_that_looks_idle_is_ejected() -> None:
    driver = BalancerDriver([entry(n) for n in range(4)], max_attempts=1)
    attempts = count_attempts_at(driver, 200, {0}, Outcome.ERROR)
    assert 1 <= attempts < 20  # without ejection, a quarter of the picks would go there


def test_dead_upstreams_stay_ejected_even_if_most_are_dead() -> None:
    """Incident i5e02cb: half of the fleet refused connections, looked idle and so attracted the picks."""
    driver = BalancerDriver([entry(n) for n in range(10)], max_attempts=1)
    dead = set(range(7))
    count_attempts_at(driver, 100, dead, Outcome.CONNECT_FAILED)
    last_hundred = count_attempts_at(driver, 100, dead, Outcome.CONNECT_FAILED)
    assert last_hundred < 20


def test_if_all_fail_from_one_cause_all_stay_in_use() -> None:
    driver = BalancerDriver([entry(n) for n in range(6)], max_attempts=1)
    used: Counter[int] = Counter()
    for _ in range(120):
        request, actions = driver.arrive()
        (sent,) = sends(actions)
        used[sent.upstream] += 1
        driver.now += 20
        driver.end_attempt(request, Outcome.ERROR, sent.upstream)
    assert min(used[n] for n in range(6)) >= 5


def test_nothing_is_sent_to_an_upstream_once_listed_as_draining_or_gone() -> None:
    for state in (UpstreamState.DRAINING, UpstreamState.GONE):
        driver = BalancerDriver([entry(1), entry(2)])
        driver.list_upstreams([entry(1, state=state)], ListKind.CHANGES)
        for _ in range(20):
            assert driver.serve() == 2


def test_an_upstream_that_a_complete_list_omits_is_gone() -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    driver.list_upstreams([entry(2)])
    assert {driver.serve() for _ in range(20)} == {2}


def test_a_retry_avoids_upstreams_that_began_to_drain_during_its_wait() -> None:
    driver = BalancerDriver([entry(1), entry(2), entry(3)])
    request, actions = driver.arrive()
    (first,) = sends(actions)
    driver.end_attempt(request, Outcome.ERROR, first.upstream)
    remaining = next(n for n in (1, 2, 3) if n != first.upstream)
    driver.list_upstreams(
        [entry(n, state=UpstreamState.DRAINING) for n in (1, 2, 3) if n != remaining], ListKind.CHANGES
    )
    (retry,) = sends(driver.wait(200))
    assert retry.upstream == remaining


def test_without_upstreams_a_request_is_refused_at_once() -> None:
    driver = BalancerDriver([])
    request, actions = driver.arrive(SAFE)
    assert [a.request_id for a in answers(actions)] == [request]


def test_equally_loaded_upstreams_are_not_all_above_their_mean() -> None:
    """Guards against a mean of equal loads that rounding puts below each of them: the request was refused."""
    for slowness in [n / 97 for n in range(1, 400)]:
        driver = BalancerDriver([entry(n) for n in range(6)], tier=1)
        for upstream in driver.balancer._fleet.upstreams.values():
            upstream.slowness = slowness
            upstream.in_flight_since_ms[10**6, 0] = driver.now
        assert sends(driver.arrive()[1])


def balancers_of(fleet: list[api.UpstreamEntry], copies: int, **more: Any) -> list[BalancerDriver]:
    return [BalancerDriver(fleet, seed=n, copies=copies, me=n, **more) for n in range(copies)]


def test_each_balancer_uses_few_upstreams_and_every_upstream_is_used() -> None:
    """Guards against balancers that connect to dozens of upstreams and have too few answers from each.

    This happened on the days with much traffic on cuenca-sur-later.
    """
    for upstreams, copies in [(9, 2), (20, 90), (54, 300), (70, 500)]:
        load: Counter[int] = Counter()
        for driver in balancers_of([entry(n, rating=1.0 + n % 3) for n in range(upstreams)], copies):
            used = Counter(driver.serve() for _ in range(12))
            assert len(used) <= max(4, -(-8 * upstreams // copies))
            load.update(used)
        assert len(load) == upstreams
        assert max(load.values()) < 2.5 * sum(load.values()) / upstreams


def test_a_balancer_with_many_requests_in_flight_uses_more_of_the_fleet() -> None:
    """The balancer of a caller with much traffic must not send all of it to its small subset."""
    (driver, *_) = balancers_of([entry(n) for n in range(40)], 100, tier=1)
    used = Counter(sends(driver.arrive()[1])[0].upstream for _ in range(40))
    assert len(used) == 40


def test_a_failed_upstream_of_the_subset_is_replaced_by_the_next() -> None:
    (driver, *_) = balancers_of([entry(n) for n in range(40)], 100, max_attempts=1)
    subset = {driver.serve() for _ in range(40)}
    count_attempts_at(driver, 60, subset, Outcome.CONNECT_FAILED)
    assert len({driver.serve() for _ in range(60)} - subset) >= 2


class CountingOrder(list[Any]):
    """The order of upstreams; it counts how many of them are iterated over."""

    considered = 0

    def __iter__(self) -> Iterator[Any]:
        for upstream in super().__iter__():
            self.considered += 1
            yield upstream


def test_a_pick_considers_no_more_upstreams_as_the_fleet_grows() -> None:
    considered = []
    for upstreams in (40, 400):
        (driver, *_) = balancers_of([entry(n) for n in range(upstreams)], 10 * upstreams, tier=1)
        order = CountingOrder(driver.balancer._fleet.order)
        driver.balancer._fleet.order = order
        for _ in range(50):
            driver.serve(elapsed_ms=0.5)
        considered.append(order.considered)
    assert considered[1] < considered[0] + 2 * 400 and considered[1] < 50 * 40


def test_a_balancer_whose_subset_is_slow_uses_further_upstreams() -> None:
    """Incidents i470ccd and i3358cd: overloaded upstreams stay slow as long as they get requests."""

    def serve(driver: BalancerDriver, slow: set[int]) -> int:
        request, actions = driver.arrive()
        (sent,) = sends(actions)
        driver.now += 10.0
        elapsed_ms = 900.0 if sent.upstream in slow else 100.0
        driver.end_attempt(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
        return sent.upstream

    (driver, *_) = balancers_of([entry(n) for n in range(40)], 100, tier=1)
    subset = {serve(driver, set()) for _ in range(60)}
    for _ in range(60):
        serve(driver, subset)
    later = Counter(serve(driver, subset) for _ in range(60))
    assert sum(later[n] for n in subset) < 20 and len(set(later) - subset) >= 2


@pytest.mark.parametrize("every_ms", [400.0, 1500.0])
def test_a_restored_upstream_gets_an_attempt_in_time(every_ms: float) -> None:
    """Little traffic earns a cold upstream too little credit, and an idle-first pick may miss it.

    So its first attempt has a due time; afterwards it is treated as any cold upstream.
    """
    for seed in range(20):
        driver = BalancerDriver([entry(n) for n in range(9)], seed)
        for _ in range(20):
            driver.serve()
            driver.now += every_ms
        driver.list_upstreams([entry(8, state=UpstreamState.SUSPENDED)], ListKind.CHANGES)
        for _ in range(5):
            assert driver.serve() != 8
        driver.now += 10_000
        restored_ms = driver.now
        driver.list_upstreams([entry(8, started_ms=restored_ms)], ListKind.CHANGES)
        used = []
        while driver.now < restored_ms + 5000 - every_ms:
            driver.now += every_ms
            used.append(driver.serve())
        assert 8 in used
        assert used.count(8) <= 3


def test_a_slow_cell_lowers_the_weight_of_members_without_answers() -> None:
    """On rosario-main, the members of a third of the cells share a bottleneck.

    20 to 30% of the attempts at these members timed out, and 2% at the others, as each balancer learned the
    slowness of each member separately and assumed the usual one for all others.
    """
    driver = BalancerDriver([entry(n, cell=n // 10) for n in range(30)], copies=1)
    picker = driver.balancer._picker
    answered: set[int] = set()
    for _ in range(12):
        request, actions = driver.arrive()
        (sent,) = sends(actions)
        answered.add(sent.upstream)
        driver.now += 400.0 if sent.upstream < 10 else 100.0
        elapsed_ms = 400.0 if sent.upstream < 10 else 100.0
        driver.end_attempt(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
    unanswered = {n // 10: n for n in range(30) if n not in answered}
    slow, usual = (driver.balancer._fleet.upstreams[unanswered[cell]] for cell in (0, 1))
    assert slow.slowness == usual.slowness == 1.0
    assert picker._weight(usual) > 1.5 * picker._weight(slow)
