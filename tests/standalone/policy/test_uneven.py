"""A hundred copies with traffic as uneven as where each caller has its own; and what words may not do."""

from __future__ import annotations

import itertools
import random
from functools import partial

import msgspec
import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, Outcome
from madderwind.standalone.policy.balancer import Balancer
from madderwind.testing.simulation.timeline import Timeline
from tests.standalone.policy.scripts import Script, a_class, entry, sends, settings
from tests.standalone.policy.test_traffic import words

COPIES, UPSTREAMS, ANSWER_MS = 100, 60, 100.0


def play(may_tell: bool, lost: float = 0.0, seconds: float = 8.0) -> tuple[int, int, list[int]]:
    """Requests, refusals, and those at the busiest tenth of the copies; no upstream is ever slow."""
    chance = random.Random(7)
    shape = settings(copies=COPIES, may_tell=may_tell, classes=(a_class(aim_ms=800.0),))
    copies = [Balancer(msgspec.structs.replace(shape, me=n), n) for n in range(COPIES)]
    weights = [chance.paretovariate(1.1) for _ in copies]
    rates = [1600 * w / sum(weights) for w in weights]  # half of what the room allows over all
    refused = [0] * COPIES
    requests = itertools.count()
    timeline = Timeline()

    def feed(n: int, event: api.Event) -> None:
        now = timeline.now_ms
        for action in copies[n].handle(now, event):
            if isinstance(action, api.SetTimer):
                timeline.after(action.after_ms, partial(feed, n, api.TimerFired(action.token)))
            elif isinstance(action, api.Send):
                end = api.AttemptEnded(action.request_id, True, 0, Outcome.OK, action.upstream, ANSWER_MS, ())
                timeline.after(ANSWER_MS, partial(feed, n, end))
            elif isinstance(action, api.TellPeers):
                for peer in range(COPIES):
                    if peer != n and chance.random() >= lost:
                        timeline.after(10.0, partial(feed, peer, api.PeerSpoke(n, action.message)))
            elif isinstance(action, api.Refuse | api.Fail):
                refused[n] += 1

    def ask(n: int) -> None:
        deadline_ms = timeline.now_ms + 4000
        feed(n, api.RequestArrived(next(requests), 0, 0, 0, deadline_ms, None, False, False))
        timeline.after(chance.expovariate(rates[n]) * 1000, partial(ask, n))

    for n in range(COPIES):
        feed(n, api.FleetListed(api.ListKind.CACHED, 1, tuple(entry(u) for u in range(UPSTREAMS))))
        timeline.after(chance.expovariate(rates[n]) * 1000, partial(ask, n))
    timeline.run(seconds * 1000)
    busiest = sorted(range(COPIES), key=lambda n: -rates[n])[: COPIES // 10]
    return next(requests), sum(refused), [refused[n] for n in busiest]


def test_uneven_copies_refuse_nothing_in_calm_once_they_tell_their_rates() -> None:
    """recife-dispatch big-2: 12% refused in calm, a third of it at two of fifty copies."""
    asked, refused, at_busiest = play(may_tell=False)
    assert refused > 0.03 * asked and sum(at_busiest) > 0.8 * refused
    asked, refused, _ = play(may_tell=True)
    assert refused < 0.005 * asked
    asked, refused, _ = play(may_tell=True, lost=0.3)
    assert refused < 0.01 * asked


def test_parts_sum_to_one_so_that_all_together_keep_the_room() -> None:
    rates = [1.0, 1.0, 2.0, 4.0, 32.0]
    parts = []
    for me, own in enumerate(rates):
        script = Script([entry(1)], copies=len(rates), me=me, may_tell=True, seed=me)
        for _ in range(round(own * 20)):
            script.arrives()
            script.wait(1000 / own)
        for peer, rate in enumerate(rates):
            if peer != me:
                script.event(api.PeerSpoke(peer, words(rate)))
        parts.append(script.balancer._traffic.part(script.now))
    assert sum(parts) == pytest.approx(1.0, abs=0.1)


def test_words_move_no_quota_revive_no_drain_and_name_no_upstream() -> None:
    """Lost, late, repeated, garbled, from unknown peers: only the pick and this copy's part hear them."""
    chance = random.Random(3)
    listed = [entry(1), entry(2, state=api.UpstreamState.DRAINING)]
    script = Script(listed, copies=5, may_tell=True)
    for _ in range(500):
        size = chance.choice([0, 3, 7, 11, 256])
        word = bytes(chance.randrange(256) for _ in range(size))
        if size >= 7:
            word = word[:3] + chance.choice([2, 99]).to_bytes(4, "little") + word[7:]
        assert not sends(script.event(api.PeerSpoke(chance.randrange(-1, 9), word)))
    balancer = script.balancer
    assert balancer._quota.tokens == 500.0
    assert set(balancer._fleet.upstreams) == {1, 2}
    for _ in range(20):
        _, actions = script.arrives()
        assert {sent.upstream for sent in sends(actions)} <= {1}
        script.wait(100)


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("group", list(Group))
def test_no_second_attempt_is_out_beside_a_first_where_copies_are_not_allowed(
    effect: Effect, group: Group
) -> None:
    fleet = [entry(n, zone=n % 3, cell=n % 4) for n in range(12)]
    script = Script(fleet, second_copies=False, classes=(a_class(effect, group, window_ms=1200.0),))
    for _ in range(30):
        script.serve(elapsed_ms=20.0)
    request, actions = script.arrives()
    (first,) = sends(actions)
    assert not sends(script.wait(3500))  # silent: overdue, and yet nothing goes out beside it
    later = script.ends(request, Outcome.ERROR, first.upstream, over=False)
    assert len(sends(later) + sends(script.wait(400))) <= 1


def test_a_keys_preference_yields_to_a_busy_a_cold_and_a_set_aside_home() -> None:
    key, numbers = 77, itertools.count(10**6)

    def at(script: Script) -> int:
        script.balancer._picker._recent_keys = []  # one of many keys
        event = api.RequestArrived(next(numbers), 0, 0, key, script.now + 4000, None, False, False)
        (sent,) = sends(script.event(event))
        return sent.upstream

    script = Script([entry(n) for n in range(20)], warm_keys=True)
    order = [u.entry.upstream for u in script.balancer._picker._key_preference(key)[0]]
    homes = order[:2]
    first, second = at(script), at(script)
    assert first in homes
    assert second in set(order[:3]) - {first}  # a busy home makes room for the next in order
    third = at(script)
    assert third in set(order[:4]) - {first, second}
    script = Script([entry(n) for n in range(20)], warm_keys=True)
    script.now += 100_000
    for home in homes:
        script.balancer._fleet.upstreams[home].record_failure(script.now, 5000.0)
    assert at(script) not in homes
    script = Script(
        [entry(n, started_ms=900.0 if n in homes else 0.0) for n in range(20)],
        warm_keys=True,
        ratings_tell_size=True,
    )
    assert at(script) not in homes
