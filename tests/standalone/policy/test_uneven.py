"""A hundred balancers with uneven traffic, as if each caller had its own; and limits of peer messages."""

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
from tests.standalone.policy.scripts import BalancerDriver, entry, request_class, sends, settings
from tests.standalone.policy.test_traffic import rate_message

BALANCERS, UPSTREAMS, ANSWER_MS = 100, 60, 100.0


def simulate(may_tell: bool, loss_rate: float = 0.0, seconds: float = 8.0) -> tuple[int, int, list[int]]:
    """The numbers of requests, of refusals, and of refusals at each of the busiest tenth of the balancers.

    No upstream is ever slow.
    """
    rng = random.Random(7)
    base_settings = settings(copies=BALANCERS, may_tell=may_tell, classes=(request_class(aim_ms=800.0),))
    balancers = [Balancer(msgspec.structs.replace(base_settings, me=n), n) for n in range(BALANCERS)]
    weights = [rng.paretovariate(1.1) for _ in balancers]
    rates = [1600 * w / sum(weights) for w in weights]  # half of the total limit
    refused_by_balancer = [0] * BALANCERS
    requests = itertools.count()
    timeline = Timeline()

    def feed(n: int, event: api.Event) -> None:
        now = timeline.now_ms
        for action in balancers[n].handle(now, event):
            if isinstance(action, api.SetTimer):
                timeline.after(action.after_ms, partial(feed, n, api.TimerFired(action.token)))
            elif isinstance(action, api.Send):
                end = api.AttemptEnded(action.request_id, True, 0, Outcome.OK, action.upstream, ANSWER_MS, ())
                timeline.after(ANSWER_MS, partial(feed, n, end))
            elif isinstance(action, api.TellPeers):
                for peer in range(BALANCERS):
                    if peer != n and rng.random() >= loss_rate:
                        timeline.after(10.0, partial(feed, peer, api.PeerSpoke(n, action.message)))
            elif isinstance(action, api.Refuse | api.Fail):
                refused_by_balancer[n] += 1

    def send_request(n: int) -> None:
        deadline_ms = timeline.now_ms + 4000
        feed(n, api.RequestArrived(next(requests), 0, 0, 0, deadline_ms, None, False, False))
        timeline.after(rng.expovariate(rates[n]) * 1000, partial(send_request, n))

    for n in range(BALANCERS):
        feed(n, api.FleetListed(api.ListKind.CACHED, 1, tuple(entry(u) for u in range(UPSTREAMS))))
        timeline.after(rng.expovariate(rates[n]) * 1000, partial(send_request, n))
    timeline.run(seconds * 1000)
    busiest = sorted(range(BALANCERS), key=lambda n: -rates[n])[: BALANCERS // 10]
    return next(requests), sum(refused_by_balancer), [refused_by_balancer[n] for n in busiest]


def test_balancers_with_uneven_traffic_refuse_almost_nothing_once_they_exchange_rates() -> None:
    """On recife-dispatch (big-2), 12% were refused without overload, a third of them at 2 of 50 balancers."""
    arrived, refused, refused_at_busiest = simulate(may_tell=False)
    assert refused > 0.03 * arrived and sum(refused_at_busiest) > 0.8 * refused
    arrived, refused, _ = simulate(may_tell=True)
    assert refused < 0.005 * arrived
    arrived, refused, _ = simulate(may_tell=True, loss_rate=0.3)
    assert refused < 0.01 * arrived


def test_parts_sum_to_one_so_that_all_together_keep_the_limit() -> None:
    rates = [1.0, 1.0, 2.0, 4.0, 32.0]
    parts = []
    for me, own_rate in enumerate(rates):
        driver = BalancerDriver([entry(1)], copies=len(rates), me=me, may_tell=True, seed=me)
        for _ in range(round(own_rate * 20)):
            driver.arrive()
            driver.wait(1000 / own_rate)
        for peer, rate in enumerate(rates):
            if peer != me:
                driver.event(api.PeerSpoke(peer, rate_message(rate)))
        parts.append(driver.balancer._traffic.part(driver.now))
    assert sum(parts) == pytest.approx(1.0, abs=0.1)


def test_messages_change_neither_the_quota_nor_drains_nor_the_list() -> None:
    """Only the pick and the balancer's own part use messages.

    That also holds for lost, late, repeated and corrupted ones, and for those of unknown peers.
    """
    rng = random.Random(3)
    listed = [entry(1), entry(2, state=api.UpstreamState.DRAINING)]
    driver = BalancerDriver(listed, copies=5, may_tell=True)
    for _ in range(500):
        size = rng.choice([0, 3, 7, 11, 256])
        message = bytes(rng.randrange(256) for _ in range(size))
        if size >= 7:
            message = message[:3] + rng.choice([2, 99]).to_bytes(4, "little") + message[7:]
        assert not sends(driver.event(api.PeerSpoke(rng.randrange(-1, 9), message)))
    balancer = driver.balancer
    assert balancer._quota.tokens == 500.0
    assert set(balancer._fleet.upstreams) == {1, 2}
    for _ in range(20):
        _, actions = driver.arrive()
        assert {sent.upstream for sent in sends(actions)} <= {1}
        driver.wait(100)


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("group", list(Group))
def test_no_two_attempts_are_open_if_second_attempts_are_not_allowed(effect: Effect, group: Group) -> None:
    fleet = [entry(n, zone=n % 3, cell=n % 4) for n in range(12)]
    driver = BalancerDriver(
        fleet, second_copies=False, classes=(request_class(effect, group, window_ms=1200.0),)
    )
    for _ in range(30):
        driver.serve(elapsed_ms=20.0)
    request, actions = driver.arrive()
    (first,) = sends(actions)
    assert not sends(driver.wait(3500))  # the attempt is overdue, but no second one starts
    later = driver.end_attempt(request, Outcome.ERROR, first.upstream, request_over=False)
    assert len(sends(later) + sends(driver.wait(400))) <= 1


def test_a_key_avoids_preferred_upstreams_that_are_busy_cold_or_ejected() -> None:
    key, numbers = 77, itertools.count(10**6)

    def upstream_of_key(driver: BalancerDriver) -> int:
        driver.balancer._picker._recent_keys = []  # as if the key were one of many
        event = api.RequestArrived(next(numbers), 0, 0, key, driver.now + 4000, None, False, False)
        (sent,) = sends(driver.event(event))
        return sent.upstream

    driver = BalancerDriver([entry(n) for n in range(20)], warm_keys=True)
    order = [u.entry.upstream for u in driver.balancer._picker._key_preference(key)[0]]
    homes = order[:2]
    first, second = upstream_of_key(driver), upstream_of_key(driver)
    assert first in homes
    assert second in set(order[:3]) - {first}  # a busy upstream is passed over for the next in order
    third = upstream_of_key(driver)
    assert third in set(order[:4]) - {first, second}
    driver = BalancerDriver([entry(n) for n in range(20)], warm_keys=True)
    driver.now += 100_000
    for home in homes:
        driver.balancer._fleet.upstreams[home].record_failure(driver.now, 5000.0)
    assert upstream_of_key(driver) not in homes
    driver = BalancerDriver(
        [entry(n, started_ms=900.0 if n in homes else 0.0) for n in range(20)],
        warm_keys=True,
        ratings_tell_size=True,
    )
    assert upstream_of_key(driver) not in homes
