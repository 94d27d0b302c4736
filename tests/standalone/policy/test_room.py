"""The room for open requests and second copies: failures met on the bench, replayed without it."""

import random
from typing import Any

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome, UpstreamState
from tests.standalone.policy.scripts import SAFE, UNSAFE, Script, answers, entry, sends


def admitted(script: Script, arrivals: int, tenant: int = 0) -> int:
    return sum(bool(sends(script.arrives(tenant=tenant)[1])) for _ in range(arrivals))


def test_open_requests_are_bounded_and_the_rest_is_refused_at_once() -> None:
    script = Script([entry(n) for n in range(4)])
    results = [script.arrives()[1] for _ in range(60)]
    taken = [r for r in results if sends(r)]
    refused = [r for r in results if not sends(r)]
    assert 0 < len(taken) < 60
    assert all(isinstance(answers(r)[0], api.Refuse) for r in refused)


def open_in_the_mean(copies: int, rate_per_copy_s: float, upstreams: int = 12, **more: Any) -> float:
    """Requests open over all copies, in the mean over time, where each takes 200 ms and many more arrive."""
    held_ms = 0.0
    chance = random.Random(7)
    for me in range(copies):
        script = Script([entry(n) for n in range(upstreams)], seed=me, copies=copies, me=me, **more)
        out: list[tuple[float, int, int]] = []
        next_arrival = script.now
        while script.now < 21_000.0:
            script.now = min([next_arrival] + [end for end, _, _ in out])
            for end, request, upstream in [o for o in out if o[0] <= script.now]:
                out.remove((end, request, upstream))
                script.ends(request, Outcome.OK, upstream, elapsed_ms=200.0)
                script.balancer._admission.room = 6.0  # what it grows to is another matter
                held_ms += 200.0
            if next_arrival <= script.now:
                next_arrival += chance.expovariate(rate_per_copy_s / 1000.0)
                request, actions = script.arrives()
                out += [(script.now + 200.0, request, sent.upstream) for sent in sends(actions)]
    return held_ms / 20_000.0


def test_copies_divide_the_room_in_the_mean_however_many_they_are() -> None:
    """The grown deployments: with some hundred copies an even part is one request or less."""
    for copies in (1, 4, 60, 240):
        held = open_in_the_mean(copies, rate_per_copy_s=4 * 6 * 12 / 0.2 / copies)
        assert 4.5 * 12 < held < 7.5 * 12, (copies, held)


def test_a_copy_with_room_for_less_than_one_refuses_little_of_what_there_is_room_for() -> None:
    offered = 0.5 * 6 * 12 / 0.2  # half of what the room would serve
    held = open_in_the_mean(240, rate_per_copy_s=offered / 240)
    assert held > 0.9 * offered * 0.2


def test_inner_copies_refuse_nothing_for_want_of_room() -> None:
    assert admitted(Script([entry(n) for n in range(4)], tier=1), 100) == 100


def test_the_room_shrinks_as_answers_grow_slow_and_not_below_its_floor() -> None:
    """Incidents i5724a7 and i4de021: crowded servers fail nothing, they turn slow and stay so."""
    script = Script([entry(n) for n in range(4)])
    for _ in range(200):
        script.serve(elapsed_ms=100.0)
    calm = script.balancer._admission.room
    for _ in range(60):
        script.serve(elapsed_ms=900.0)
    crowded = script.balancer._admission.room
    assert 0 < crowded < calm
    for _ in range(300):
        script.serve(elapsed_ms=900.0)
    assert admitted(script, 100) >= 4


def test_a_single_slow_answer_does_not_shut_the_door() -> None:
    script = Script([entry(n) for n in range(4)])
    for _ in range(200):
        script.serve(elapsed_ms=100.0)
    before = script.balancer._admission.room
    script.serve(elapsed_ms=900.0)
    assert script.balancer._admission.room >= 0.8 * before


def test_a_few_slow_servers_do_not_shrink_the_room_of_all() -> None:
    """Guards against one in four that crowding has left slow for good: the others are refused work for."""
    script = Script([entry(n) for n in range(4)])
    for _ in range(200):
        script.serve(elapsed_ms=100.0)
    before = script.balancer._admission.room
    for _ in range(40):
        for elapsed_ms in (100.0, 100.0, 2000.0, 100.0):
            script.serve(elapsed_ms=elapsed_ms)
    assert script.balancer._admission.room >= 0.9 * before


def test_the_room_goes_with_the_servers_that_are_lost() -> None:
    """Incident i98539d: a third of the servers gone at once, and the rest crowded by the room of all."""

    def part(entries: list[api.UpstreamEntry]) -> float:
        script = Script([entry(n) for n in range(9)])
        script.listed(entries)
        admitted(script, 1)
        return script.balancer._admission._own_limit

    fewer = part([entry(n) for n in range(6)])
    assert fewer < 0.8 * part([entry(n) for n in range(9)])
    draining = [entry(n, state=UpstreamState.DRAINING if n > 5 else UpstreamState.READY) for n in range(9)]
    assert part(draining) == fewer


def test_traffic_beyond_a_share_fills_only_part_of_the_room() -> None:
    tenants = (api.Tenant(0.5, 0.0), api.Tenant(0.5, 100_000.0))
    held = []
    for tenant in (0, 1):
        script = Script([entry(n) for n in range(4)], tenants=tenants)
        script.now += 1000
        held.append(admitted(script, 200, tenant))
    assert 0.5 * held[1] < held[0] < held[1]


def test_a_share_of_less_than_one_request_a_second_is_a_share() -> None:
    """At the grown deployments a second of a copy's part of a quota is under one request."""
    script = Script([entry(1)], tenants=(api.Tenant(1.0, 40.0),), copies=100, me=3)
    within = 0
    for _ in range(100):
        script.now += 2500  # 0.4 a second: just the even part
        within += script.balancer._admission._within_share(0, script.now)
    assert within >= 95


def warmed_up(upstreams: int = 2) -> Script:
    script = Script([entry(n) for n in range(upstreams)])
    for _ in range(40):
        script.serve(elapsed_ms=50.0)
    return script


def test_a_second_copy_goes_out_when_a_server_is_silent() -> None:
    script = warmed_up()
    tokens = script.balancer._quota.tokens
    request, actions = script.arrives()
    (first,) = sends(actions)
    copies = sends(script.wait(300))
    assert copies and copies[0].request_id == request and copies[0].upstream != first.upstream
    assert script.balancer._quota.tokens == tokens - 14 * len(copies)


def test_no_second_copy_while_the_server_answers_others() -> None:
    """uio-norte's overload: one to three in a hundred are long, and copies of them crowded the fleet."""
    script = warmed_up(1)
    request, _ = script.arrives()
    other, _ = script.arrives()
    script.now += 10
    script.ends(other, Outcome.OK, 0, elapsed_ms=10.0)
    assert not sends(script.wait(1000))


def test_no_second_copy_of_unsafe_work_or_without_tokens() -> None:
    script = warmed_up()
    script.arrives(UNSAFE)
    assert not sends(script.wait(1000))
    script = warmed_up()
    script.balancer._quota.tokens = 5
    script.arrives(SAFE)
    assert not sends(script.wait(1000))


def test_silence_with_work_out_is_seen_before_any_answer() -> None:
    script = warmed_up(3)
    request, actions = script.arrives(UNSAFE)
    silent = sends(actions)[0].upstream
    fleet = script.balancer._fleet.upstreams
    script.now += 2000
    script.arrives(UNSAFE)
    slowness = {n: script.balancer._picker.slowness(u) for n, u in fleet.items()}
    assert slowness[silent] > 10 * min(slowness.values())


def test_discovery_is_asked_and_asked_again_after_a_failure() -> None:
    script = Script([entry(1)], must_ask=True)
    assert api.Subscribe(True) in script.wait(1000)
    script.event(api.ListFailed())
    assert api.Subscribe(True) in script.wait(2000)
    script.listed([entry(1), entry(2)])
    assert api.Subscribe(True) not in script.wait(60_000)


def test_a_subscription_that_breaks_is_asked_for_again() -> None:
    """Guards against a copy that followed the list once and, when that broke, never asks again."""
    script = Script([entry(1)], must_ask=True)
    script.listed([entry(1)])
    script.event(api.ListFailed())
    assert api.Subscribe(True) in script.wait(1000)


def test_an_answer_that_took_no_time_does_no_harm() -> None:
    script = Script([entry(1)])
    for _ in range(5):
        script.serve(elapsed_ms=0.0)
    assert script.serve() == 1


def test_a_request_that_is_merely_long_gets_no_second_copy() -> None:
    """gye-central-later: one in forty attempts was called overdue, and their copies choked servers."""
    script = warmed_up(3)
    chance = random.Random(5)
    for _ in range(400):
        script.serve(elapsed_ms=chance.expovariate(1 / 100.0))
    usual = script.balancer._answer_times[SAFE]
    script.arrives()
    assert not sends(script.wait(usual.mean + 5 * usual.deviation))


def test_one_failure_takes_no_room_away() -> None:
    """Guards against refusals while single connections break all over: no capacity is lost by that."""
    script = Script([entry(n) for n in range(4)], max_attempts=1)
    request, actions = script.arrives()
    script.ends(request, Outcome.RESET, sends(actions)[0].upstream)
    fleet = script.balancer._fleet
    script.now += 100.0
    (failed,) = (u for u in fleet.upstreams.values() if u.failures)
    failed.ejected_until_ms = script.now + 1000.0
    assert fleet.usable(script.now) == 4
    failed.failures = 2
    script.now += 100.0
    assert fleet.usable(script.now) == 3


def test_an_attempt_into_silence_takes_no_room() -> None:
    """Of a copy with a small part of the traffic: one that hangs must not shut out the others."""
    for hangs, least, most in ((True, 28, 30), (False, 0, 12)):
        script = Script([entry(n) for n in range(4)], copies=40, second_copies=False)
        for _ in range(40):
            script.now += 400.0
            script.serve(elapsed_ms=100.0)
        _, actions = script.arrives()
        (dead,) = sends(actions)
        script.wait(1500.0)  # overdue: that upstream has failed
        upstream = script.balancer._fleet.upstreams[dead.upstream]
        upstream.failures = 2  # as others told of it as well
        upstream.ejected_until_ms = script.now + 10_000.0
        if not hangs:
            upstream.last_answer_ms = script.now  # it lives, and is merely slow: what it holds does crowd
        taken = 0
        for _ in range(30):
            script.now += 80.0
            request, actions = script.arrives()
            for sent in sends(actions):
                taken += 1
                script.now += 20.0
                script.ends(request, Outcome.OK, sent.upstream, elapsed_ms=100.0)
        assert least <= taken <= most, (hangs, taken)


def test_what_was_learned_of_a_process_ends_with_it() -> None:
    script = Script([entry(n) for n in range(4)])
    upstream = script.balancer._fleet.upstreams[2]
    upstream.slowness, upstream.failures = 30.0, 5
    script.listed([entry(n, started_ms=900.0 if n == 2 else 0.0) for n in range(4)])
    assert (upstream.slowness, upstream.failures) == (1.0, 0)
