"""The room for open requests and second copies: failures met on the bench, replayed without it."""

from madderwind.policy import api
from madderwind.policy.api import Outcome, UpstreamState
from tests.policy.scripts import SAFE, UNSAFE, Script, answers, entry, sends


def admitted(script: Script, arrivals: int, tenant: int = 0) -> int:
    return sum(bool(sends(script.arrives(tenant=tenant)[1])) for _ in range(arrivals))


def test_open_requests_are_bounded_and_the_rest_is_refused_at_once() -> None:
    script = Script([entry(n) for n in range(4)])
    results = [script.arrives()[1] for _ in range(60)]
    taken = [r for r in results if sends(r)]
    refused = [r for r in results if not sends(r)]
    assert 0 < len(taken) < 60
    assert all(isinstance(answers(r)[0], api.Refuse) for r in refused)


def test_copies_divide_the_room_among_them() -> None:
    alone = admitted(Script([entry(n) for n in range(8)]), 200)
    one_of_four = admitted(Script([entry(n) for n in range(8)], copies=4), 200)
    assert one_of_four * 4 == alone


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


def test_the_room_goes_with_the_servers_that_are_lost() -> None:
    """Incident i98539d: a third of the servers gone at once, and the rest crowded by the room of all."""
    whole = admitted(Script([entry(n) for n in range(9)]), 200)
    script = Script([entry(n) for n in range(9)])
    script.listed([entry(n) for n in range(6)])
    assert admitted(script, 200) * 9 == whole * 6
    script = Script([entry(n) for n in range(9)])
    script.listed(
        [entry(n, state=UpstreamState.DRAINING if n > 5 else UpstreamState.READY) for n in range(9)]
    )
    assert admitted(script, 200) * 9 == whole * 6


def test_traffic_beyond_a_share_fills_only_part_of_the_room() -> None:
    tenants = (api.Tenant(0.5, 1.0), api.Tenant(0.5, 1000.0))
    beyond = admitted(Script([entry(n) for n in range(4)], tenants=tenants), 200, tenant=0)
    within = admitted(Script([entry(n) for n in range(4)], tenants=tenants), 200, tenant=1)
    assert 0.5 * within < beyond < within


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
    fleet = script.balancer._picker.fleet
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


def test_an_answer_that_took_no_time_does_no_harm() -> None:
    script = Script([entry(1)])
    for _ in range(5):
        script.serve(elapsed_ms=0.0)
    assert script.serve() == 1
