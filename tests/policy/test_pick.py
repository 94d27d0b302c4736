"""The idle-first pick and what it avoids."""

from collections import Counter

from madderwind.policy.api import ListKind, Outcome, UpstreamState
from tests.policy.scripts import SAFE, Script, answers, entry, sends


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
    assert 6 < picked[1] / picked[2] < 14  # three times the size, so nine times as likely


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
        for upstream in script.balancer._picker.fleet.values():
            upstream.slowness.add(slowness)
            upstream.sent_ms[10**6, 0] = script.now
        assert sends(script.arrives()[1])
