"""Copies that tell one another their rates: own part of room, shares and neighbours; and homes of keys."""

from __future__ import annotations

from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Outcome
from tests.standalone.policy.scripts import Script, a_class, answers, entry, sends

COPIES = 10


def words(rate_per_s: float) -> bytes:
    return round(rate_per_s * 100).to_bytes(3, "little")


def told(actions: list[api.Action]) -> list[bytes]:
    return [a.message for a in actions if isinstance(a, api.TellPeers)]


def a_copy(own_per_s: float, others_per_s: float, may_tell: bool = True) -> Script:
    """One copy in its tenth second, which has heard from all others but is not crowded itself."""
    script = Script([entry(n) for n in range(20)], copies=COPIES, may_tell=may_tell)
    for _ in range(round(own_per_s * 10)):
        script.serve(elapsed_ms=1.0)
        script.wait(1000 / own_per_s - 1.0)
    for peer in range(1, COPIES):
        script.event(api.PeerSpoke(peer, words(others_per_s)))
    return script


def test_a_copy_has_the_part_of_the_room_that_it_has_of_the_traffic() -> None:
    """recife-dispatch big-2: an even part refused 12% in calm, at the few callers with much traffic."""
    busy, even = (a_copy(own, 10.0).balancer._traffic for own in (90.0, 10.0))
    assert busy.part(11_000.0) == pytest.approx(0.5, abs=0.05)
    assert even.part(11_000.0) == pytest.approx(0.1, abs=0.02)


def test_without_messages_all_parts_are_even() -> None:
    script = a_copy(50.0, 10.0, may_tell=False)
    script.balancer._traffic._heard.clear()
    assert script.balancer._traffic.part(script.now) == 1 / COPIES
    assert not told(script.wait(20_000))


def test_a_peer_that_falls_silent_carries_nothing_and_one_never_heard_the_mean() -> None:
    script = Script([entry(1)], copies=3, may_tell=True)
    for _ in range(100):
        script.serve(elapsed_ms=1.0)
        script.wait(99.0)
    script.event(api.PeerSpoke(1, words(10.0)))
    assert script.balancer._traffic.part(script.now) == pytest.approx(1 / 3, abs=0.05)
    script.event(api.PeerSpoke(2, words(10.0)))
    for _ in range(100):
        script.serve(elapsed_ms=1.0)
        script.wait(99.0)
    script.event(api.PeerSpoke(2, words(10.0)))
    script.wait(300)  # they are summed four times a second
    assert script.balancer._traffic.part(script.now) == pytest.approx(1 / 2, abs=0.05)


@pytest.mark.parametrize(
    "peer, message", [(1, b""), (1, b"12"), (1, b"1234"), (1, b"123456"), (99, b"123"), (-1, b"123")]
)
def test_odd_words_are_passed_over(peer: int, message: bytes) -> None:
    script = Script([entry(1)], copies=COPIES, may_tell=True)
    script.event(api.PeerSpoke(peer, message))
    assert not script.balancer._traffic._heard


def test_a_busy_copy_tells_each_second_and_an_idle_one_seldom() -> None:
    """Words cost by recipient: an idle copy that told its nothing five times a second would cost the most."""
    busy = a_copy(50.0, 10.0)
    assert len(told(busy.wait(10_000))) <= 11
    idle = Script([entry(1)], copies=100, may_tell=True)
    assert 3 <= len(told(idle.wait(60_000))) <= 15


def test_before_the_first_words_nothing_is_refused_for_the_part() -> None:
    script = Script([entry(n) for n in range(8)], copies=100, may_tell=True)
    sent = [sends(script.arrives()[1]) for _ in range(6)]
    assert all(sent)


def test_what_is_worth_less_is_refused_first() -> None:
    """rosario-main overload: lookups worth 1 and bookings worth 5 were refused alike, 0.62 of the score."""
    classes = (a_class(worth=1.0), a_class(worth=5.0))
    script = Script([entry(n) for n in range(10)], classes=classes)
    refused = [0, 0]
    for n in range(400):
        _, actions = script.arrives(n % 2)
        refused[n % 2] += bool(answers(actions))
        script.now += 5.0
    assert refused[0] > refused[1] > 0


def test_the_hold_off_is_a_usual_answer_time() -> None:
    """rosario-main rough-2: clients came back after up to a second, with aims of 600 ms: 12% were late."""
    script = Script([entry(1)], max_attempts=1)
    for _ in range(20):
        script.serve(elapsed_ms=100.0)
    for _ in range(20):
        request, actions = script.arrives()
        (sent,) = sends(actions)
        (refusal,) = answers(script.ends(request, Outcome.CONNECT_FAILED, sent.upstream, over=False))
        assert isinstance(refusal, api.Refuse) and refusal.retry_after_ms <= 110.0
        script.now += 30_000


def homes(script: Script, key: int, picks: int = 40) -> set[int]:
    used = set()
    for n in range(picks):
        event = api.RequestArrived(10_000 + n, 0, 0, key, script.now + 4000, None, False, False)
        (sent,) = sends(script.event(event))
        script.now += 10.0
        script.ends(10_000 + n, Outcome.OK, sent.upstream)
        script.now += 500.0
        used.add(sent.upstream)
        script.balancer._picker._recent_keys = []  # this key is one of many
    return used


def test_a_key_has_the_same_two_homes_at_every_copy_however_it_numbers_upstreams() -> None:
    """recife-dispatch: an upstream that met a key lately does half the work, and hosts number by turn."""
    listed = [entry(n, mark=1000 + n) for n in range(30)]
    other = [entry(29 - n, mark=1000 + n) for n in range(30)]
    for key in (7, 8, 9):
        here = homes(Script(listed, seed=1, warm_keys=True, me=1, copies=5), key)
        there = homes(Script(other, seed=2, warm_keys=True, me=4, copies=5), key)
        assert len(here) == 2
        assert here == {29 - n for n in there}
    assert len(homes(Script(listed, seed=1, me=1, copies=5), 7)) > 2


def test_a_key_that_draws_much_has_more_homes() -> None:
    script = Script([entry(n) for n in range(30)], warm_keys=True)
    picker = script.balancer._picker
    for n in range(200):
        _, count = picker._key_preference(1 if n % 5 == 0 else 100 + n)
    assert picker._key_preference(1)[1] == 2 + 6
    assert picker._key_preference(5000)[1] == 2


def test_keys_do_not_stand_above_the_rules() -> None:
    """A keyed request that may have run goes on in its zone alone, whatever its key's homes are."""
    classes = (a_class(Effect.KEYED, api.Group.ZONE),)
    script = Script([entry(n, zone=n % 3) for n in range(9)], classes=classes, warm_keys=True, max_attempts=6)
    for key in range(1, 20):
        event = api.RequestArrived(key, 0, 0, key, script.now + 4000, None, False, False)
        (first,) = sends(script.event(event))
        script.ends(key, Outcome.ERROR, first.upstream, over=False)
        for sent in sends(script.wait(1000)):
            assert sent.upstream % 3 == first.upstream % 3


def test_what_has_failed_a_copy_is_told_soon_and_set_aside_by_who_has_not_heard_it_lately() -> None:
    """recife-dispatch at size: upstreams choke, and each copy learned each alone: G 0.943 -> 0.882."""
    teller = Script([entry(n) for n in range(8)], copies=COPIES, may_tell=True, max_attempts=1)
    teller.wait(60_000)
    request, actions = teller.arrives()
    (sent,) = sends(actions)
    teller.ends(request, Outcome.TIMEOUT, sent.upstream, over=False)
    (word,) = [w for w in told(teller.wait(100)) if len(w) > 3]
    hearer = Script([entry(n) for n in range(8)], copies=COPIES, may_tell=True)
    hearer.event(api.PeerSpoke(3, word))
    failures = {n: u.failures for n, u in hearer.balancer._fleet.upstreams.items()}
    assert failures == {n: int(n == sent.upstream) for n in range(8)}
    assert not [w for w in told(hearer.wait(500)) if len(w) > 3]  # hearsay is not told on
    for upstream in hearer.balancer._fleet.upstreams.values():
        upstream.failures, upstream.last_answer_ms = 0, hearer.now - 100.0  # it answers here
    hearer.event(api.PeerSpoke(4, word))
    assert not any(u.failures for u in hearer.balancer._fleet.upstreams.values())


def test_what_a_word_costs_does_not_grow_with_the_copies() -> None:
    """Incident i1f2bf2: 174 copies summed all rates with each word, and the day was cut off for CPU."""

    class Counted(dict[int, tuple[float, float]]):
        sums = 0

        def values(self) -> Any:
            self.sums += 1
            return super().values()

    script = Script([entry(1)], copies=200, may_tell=True)
    heard = script.balancer._traffic._heard = Counted()
    for second in range(3):
        for peer in range(1, 200):
            script.event(api.PeerSpoke(peer, words(10.0)))
            if peer % 10 == 0:
                script.serve(elapsed_ms=1.0)
            script.now += 5.0
        assert heard.sums <= 5 * (second + 1)
