"""The idle-first pick and what it avoids."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import SAFE, Script, answers, entry, sends


def test_idle_servers_are_picked_first() -> None:
    script = Script([entry(n) for n in range(5)], warm_after_ms=0.0)
    picked = [sends(script.arrives()[1])[0].upstream for _ in range(5)]
    assert sorted(picked) == [0, 1, 2, 3, 4]


def test_with_none_idle_those_at_or_under_the_mean_are_picked() -> None:
    for seed in range(40):
        script = Script([entry(n) for n in range(3)], seed=seed)
        load: Counter[int] = Counter()
        for _ in range(12):
            (sent,) = sends(script.arrives()[1])
            assert load[sent.upstream] <= sum(load.values()) / 3
            load[sent.upstream] += 1


def test_a_retry_avoids_the_server_just_tried() -> None:
    for seed in range(40):
        script = Script([entry(1), entry(2), entry(3)], seed=seed)
        request, actions = script.arrives()
        (first,) = sends(actions)
        script.ends(request, Outcome.ERROR, first.upstream)
        (retry,) = sends(script.wait(200))
        assert retry.upstream != first.upstream


def test_a_retry_takes_the_only_server_there_is() -> None:
    script = Script([entry(1)])
    request, actions = script.arrives()
    script.ends(request, Outcome.FULL, 1)
    assert sends(script.wait(1000)) or answers(script.wait(0))


def test_faster_servers_are_likelier() -> None:
    script = Script([entry(1), entry(2)])
    for _ in range(60):
        request, actions = script.arrives()
        upstream = sends(actions)[0].upstream
        script.now += 10
        script.ends(request, Outcome.OK, upstream, elapsed_ms=400.0 if upstream == 1 else 100.0)
    counts: Counter[int] = Counter()
    for _ in range(200):
        request, actions = script.arrives()
        upstream = sends(actions)[0].upstream
        counts[upstream] += 1
        script.ends(request, Outcome.OK, upstream, elapsed_ms=400.0 if upstream == 1 else 100.0)
    assert counts[2] > 2 * counts[1]


def test_an_unheard_from_server_counts_by_its_rating() -> None:
    picked: Counter[int] = Counter()
    for seed in range(400):
        script = Script([entry(1, rating=3.0), entry(2, rating=1.0)], seed=seed, ratings_tell_size=True)
        picked[sends(script.arrives()[1])[0].upstream] += 1
    assert 2 < picked[1] / picked[2] < 4.5  # three times the size, so three times as likely


def test_one_answer_does_not_outweigh_a_rating() -> None:
    """gye-central-later: with little traffic a copy, single answers made picks all but blind."""
    script = Script([entry(1, rating=1.0), entry(2, rating=1.0)], ratings_tell_size=True)
    script.serve(elapsed_ms=100.0)
    slow = script.serve(elapsed_ms=300.0)
    assert script.balancer._picker.slowness(script.balancer._fleet.upstreams[slow]) < 1.5


def test_own_zone_is_preferred_only_where_crossing_is_priced() -> None:
    for price, low, high in [(0.01, 3.0, 8.0), (0.0, 0.7, 1.4)]:
        picked: Counter[int] = Counter()
        for seed in range(400):
            script = Script([entry(1, zone=0), entry(2, zone=1)], seed=seed, cross_zone_price=price)
            picked[sends(script.arrives()[1])[0].upstream] += 1
        assert low < picked[1] / picked[2] < high


def picks_of(script: Script, arrivals: int, bad: set[int], outcome: Outcome) -> int:
    """How many attempts met the bad servers, where each ends in this outcome; all others are served."""
    met = 0
    for _ in range(arrivals):
        request, actions = script.arrives()
        for sent in sends(actions):
            script.now += 20
            met += sent.upstream in bad
            script.ends(request, outcome if sent.upstream in bad else Outcome.OK, sent.upstream)
    return met


def test_a_failing_server_that_looks_idle_is_set_aside() -> None:
    script = Script([entry(n) for n in range(4)], max_attempts=1)
    bad = picks_of(script, 200, {0}, Outcome.ERROR)
    assert 1 <= bad < 20  # without it, a quarter of the picks would go there


def test_dead_servers_stay_aside_even_when_most_are_dead() -> None:
    """Incident i5e02cb: half of the fleet refused connections, looked idle and drew the picks."""
    script = Script([entry(n) for n in range(10)], max_attempts=1)
    dead = set(range(7))
    picks_of(script, 100, dead, Outcome.CONNECT_FAILED)
    last_hundred = picks_of(script, 100, dead, Outcome.CONNECT_FAILED)
    assert last_hundred < 20


def test_when_all_fail_from_one_cause_all_stay_in_use() -> None:
    script = Script([entry(n) for n in range(6)], max_attempts=1)
    used: Counter[int] = Counter()
    for _ in range(120):
        request, actions = script.arrives()
        (sent,) = sends(actions)
        used[sent.upstream] += 1
        script.now += 20
        script.ends(request, Outcome.ERROR, sent.upstream)
    assert min(used[n] for n in range(6)) >= 5


def test_nothing_goes_to_a_draining_or_gone_server_from_the_first_notice() -> None:
    for state in (UpstreamState.DRAINING, UpstreamState.GONE):
        script = Script([entry(1), entry(2)])
        script.listed([entry(1, state=state)], ListKind.CHANGES)
        for _ in range(20):
            assert script.serve() == 2


def test_a_server_that_a_whole_list_omits_is_gone() -> None:
    script = Script([entry(1), entry(2)])
    script.listed([entry(2)])
    assert {script.serve() for _ in range(20)} == {2}


def test_a_retry_that_waited_through_a_drain_goes_elsewhere() -> None:
    script = Script([entry(1), entry(2), entry(3)])
    request, actions = script.arrives()
    (first,) = sends(actions)
    script.ends(request, Outcome.ERROR, first.upstream)
    left = next(n for n in (1, 2, 3) if n != first.upstream)
    script.listed([entry(n, state=UpstreamState.DRAINING) for n in (1, 2, 3) if n != left], ListKind.CHANGES)
    (retry,) = sends(script.wait(200))
    assert retry.upstream == left


def test_with_no_server_the_answer_is_a_prompt_refusal() -> None:
    script = Script([])
    request, actions = script.arrives(SAFE)
    assert [a.request_id for a in answers(actions)] == [request]


def test_equally_loaded_servers_are_never_all_above_their_mean() -> None:
    """Rounding can put the mean of equal loads under each of them, which would turn the request away."""
    for slowness in [n / 97 for n in range(1, 400)]:
        script = Script([entry(n) for n in range(6)], tier=1)
        for upstream in script.balancer._fleet.upstreams.values():
            upstream.slowness = slowness
            upstream.in_flight_since_ms[10**6, 0] = script.now
        assert sends(script.arrives()[1])


def copies_of(fleet: list[api.UpstreamEntry], copies: int, **more: Any) -> list[Script]:
    return [Script(fleet, seed=n, copies=copies, me=n, **more) for n in range(copies)]


def test_each_copy_keeps_to_few_upstreams_and_all_upstreams_are_kept_by_some() -> None:
    """cuenca-sur-later's big days: a copy had a connection to each of dozens of servers and knew none."""
    for upstreams, copies in [(9, 2), (20, 90), (54, 300), (70, 500)]:
        load: Counter[int] = Counter()
        for script in copies_of([entry(n, rating=1.0 + n % 3) for n in range(upstreams)], copies):
            used = Counter(script.serve() for _ in range(12))
            assert len(used) <= max(4, -(-8 * upstreams // copies))
            load.update(used)
        assert len(load) == upstreams
        assert max(load.values()) < 2.5 * sum(load.values()) / upstreams


def test_a_copy_with_much_in_flight_draws_on_more_of_the_fleet() -> None:
    """A hot caller must not put its whole traffic on its few nearest."""
    (script, *_) = copies_of([entry(n) for n in range(40)], 100, tier=1)
    used = Counter(sends(script.arrives()[1])[0].upstream for _ in range(40))
    assert len(used) == 40


def test_a_failed_near_upstream_is_replaced_by_the_next() -> None:
    (script, *_) = copies_of([entry(n) for n in range(40)], 100, max_attempts=1)
    near = {script.serve() for _ in range(40)}
    picks_of(script, 60, near, Outcome.CONNECT_FAILED)
    assert len({script.serve() for _ in range(60)} - near) >= 2


class CountingOrder(list[Any]):
    """The order of upstreams, which counts how many a pick looks at one by one."""

    looks = 0

    def __iter__(self) -> Iterator[Any]:
        for upstream in super().__iter__():
            self.looks += 1
            yield upstream


def test_a_pick_looks_at_no_more_as_the_fleet_grows() -> None:
    looks = []
    for upstreams in (40, 400):
        (script, *_) = copies_of([entry(n) for n in range(upstreams)], 10 * upstreams, tier=1)
        order = CountingOrder(script.balancer._fleet.order)
        script.balancer._fleet.order = order
        for _ in range(50):
            script.serve(elapsed_ms=0.5)
        looks.append(order.looks)
    assert looks[1] < looks[0] + 2 * 400 and looks[1] < 50 * 40


def test_a_copy_whose_nearest_are_slow_looks_further() -> None:
    """Incidents i470ccd and i3358cd: crowded servers stay slow while anybody sends to them."""

    def serve(script: Script, slow: set[int]) -> int:
        request, actions = script.arrives()
        (sent,) = sends(actions)
        script.now += 10.0
        elapsed_ms = 900.0 if sent.upstream in slow else 100.0
        script.ends(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
        return sent.upstream

    (script, *_) = copies_of([entry(n) for n in range(40)], 100, tier=1)
    near = {serve(script, set()) for _ in range(60)}
    for _ in range(60):
        serve(script, near)
    later = Counter(serve(script, near) for _ in range(60))
    assert sum(later[n] for n in near) < 20 and len(set(later) - near) >= 2


@pytest.mark.parametrize("every_ms", [400.0, 1500.0])
def test_what_is_called_back_gets_an_attempt_in_time(every_ms: float) -> None:
    """Thin traffic earns a cold upstream too little credit, and an idle-first pick may pass it by: it is owed
    its first attempt, and after that goes on as any cold one."""
    for seed in range(20):
        script = Script([entry(n) for n in range(9)], seed)
        for _ in range(20):
            script.serve()
            script.now += every_ms
        script.listed([entry(8, state=UpstreamState.SUSPENDED)], ListKind.CHANGES)
        for _ in range(5):
            assert script.serve() != 8
        script.now += 10_000
        back_ms = script.now
        script.listed([entry(8, started_ms=back_ms)], ListKind.CHANGES)
        used = []
        while script.now < back_ms + 5000 - every_ms:
            script.now += every_ms
            used.append(script.serve())
        assert 8 in used
        assert used.count(8) <= 3


def test_a_slow_cell_counts_against_members_that_have_not_been_heard() -> None:
    """rosario-main: a third of the cells have a limit in common. Their members had 20 to 30% of attempts time
    out, the others 2%, as each copy learned each member alone and took all others for usual."""
    script = Script([entry(n, cell=n // 10) for n in range(30)], copies=1)
    picker = script.balancer._picker
    heard: set[int] = set()
    for _ in range(12):
        request, actions = script.arrives()
        (sent,) = sends(actions)
        heard.add(sent.upstream)
        script.now += 400.0 if sent.upstream < 10 else 100.0
        elapsed_ms = 400.0 if sent.upstream < 10 else 100.0
        script.ends(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
    unheard = {n // 10: n for n in range(30) if n not in heard}
    slow, usual = (script.balancer._fleet.upstreams[unheard[cell]] for cell in (0, 1))
    assert slow.slowness == usual.slowness == 1.0
    assert picker._weight(usual) > 1.5 * picker._weight(slow)
