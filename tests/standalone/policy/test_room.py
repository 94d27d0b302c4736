"""The limit of open requests, and second attempts: replays of failures that were observed on the bench."""

import random
from typing import Any

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome, UpstreamState
from tests.standalone.policy.scripts import SAFE, UNSAFE, BalancerDriver, answers, entry, sends


def admitted(driver: BalancerDriver, arrivals: int, tenant: int = 0) -> int:
    return sum(bool(sends(driver.arrive(tenant=tenant)[1])) for _ in range(arrivals))


def test_open_requests_are_bounded_and_the_rest_is_refused_at_once() -> None:
    driver = BalancerDriver([entry(n) for n in range(4)])
    results = [driver.arrive()[1] for _ in range(60)]
    taken = [r for r in results if sends(r)]
    refused = [r for r in results if not sends(r)]
    assert 0 < len(taken) < 60
    assert all(isinstance(answers(r)[0], api.Refuse) for r in refused)


def mean_open_requests(copies: int, balancer_rate_per_s: float, upstreams: int = 12, **more: Any) -> float:
    """The mean number of open requests over all balancers, where each takes 200 ms and many more arrive."""
    open_ms = 0.0
    rng = random.Random(7)
    for me in range(copies):
        driver = BalancerDriver([entry(n) for n in range(upstreams)], seed=me, copies=copies, me=me, **more)
        open_attempts: list[tuple[float, int, int]] = []
        next_arrival = driver.now
        while driver.now < 21_000.0:
            driver.now = min([next_arrival] + [end for end, _, _ in open_attempts])
            for end, request, upstream in [o for o in open_attempts if o[0] <= driver.now]:
                open_attempts.remove((end, request, upstream))
                driver.end_attempt(request, Outcome.OK, upstream, elapsed_ms=200.0)
                driver.balancer._admission.room = 6.0  # its growth is not under test
                open_ms += 200.0
            if next_arrival <= driver.now:
                next_arrival += rng.expovariate(balancer_rate_per_s / 1000.0)
                request, actions = driver.arrive()
                open_attempts += [(driver.now + 200.0, request, sent.upstream) for sent in sends(actions)]
    return open_ms / 20_000.0


def test_any_number_of_balancers_divides_the_limit_in_the_mean() -> None:
    """Guards against refusals in large deployments: an equal part of some hundred is at most 1."""
    for copies in (1, 4, 60, 240):
        open_requests = mean_open_requests(copies, balancer_rate_per_s=4 * 6 * 12 / 0.2 / copies)
        assert 4.5 * 12 < open_requests < 7.5 * 12, (copies, open_requests)


def test_a_balancer_with_a_limit_below_one_refuses_few_requests_within_the_total() -> None:
    offered = 0.5 * 6 * 12 / 0.2  # half of what the limit allows
    open_requests = mean_open_requests(240, balancer_rate_per_s=offered / 240)
    assert open_requests > 0.9 * offered * 0.2


def test_inner_tiers_refuse_nothing_because_of_the_limit() -> None:
    assert admitted(BalancerDriver([entry(n) for n in range(4)], tier=1), 100) == 100


def test_the_limit_shrinks_with_slow_answers_but_not_below_its_minimum() -> None:
    """Incidents i5724a7 and i4de021: overloaded upstreams don't fail, they become slow and stay slow."""
    driver = BalancerDriver([entry(n) for n in range(4)])
    for _ in range(200):
        driver.serve(elapsed_ms=100.0)
    normal_limit = driver.balancer._admission.room
    for _ in range(60):
        driver.serve(elapsed_ms=900.0)
    overload_limit = driver.balancer._admission.room
    assert 0 < overload_limit < normal_limit
    for _ in range(300):
        driver.serve(elapsed_ms=900.0)
    assert admitted(driver, 100) >= 4


def test_a_single_slow_answer_hardly_shrinks_the_limit() -> None:
    driver = BalancerDriver([entry(n) for n in range(4)])
    for _ in range(200):
        driver.serve(elapsed_ms=100.0)
    before = driver.balancer._admission.room
    driver.serve(elapsed_ms=900.0)
    assert driver.balancer._admission.room >= 0.8 * before


def test_a_few_slow_upstreams_hardly_shrink_the_limit() -> None:
    """Guards against refusals because of one upstream in four that stays slow after an overload."""
    driver = BalancerDriver([entry(n) for n in range(4)])
    for _ in range(200):
        driver.serve(elapsed_ms=100.0)
    before = driver.balancer._admission.room
    for _ in range(40):
        for elapsed_ms in (100.0, 100.0, 2000.0, 100.0):
            driver.serve(elapsed_ms=elapsed_ms)
    assert driver.balancer._admission.room >= 0.9 * before


def test_the_total_limit_falls_with_lost_upstreams() -> None:
    """Incident i98539d: a third of the upstreams vanished, and the limit for all overloaded the rest."""

    def total_limit(entries: list[api.UpstreamEntry]) -> float:
        driver = BalancerDriver([entry(n) for n in range(9)])
        driver.list_upstreams(entries)
        admitted(driver, 1)
        return driver.balancer._admission._own_limit

    without_lost = total_limit([entry(n) for n in range(6)])
    assert without_lost < 0.8 * total_limit([entry(n) for n in range(9)])
    draining = [entry(n, state=UpstreamState.DRAINING if n > 5 else UpstreamState.READY) for n in range(9)]
    assert total_limit(draining) == without_lost


def test_traffic_over_the_quota_gets_only_part_of_the_limit() -> None:
    tenants = (api.Tenant(0.5, 0.0), api.Tenant(0.5, 100_000.0))
    open_requests = []
    for tenant in (0, 1):
        driver = BalancerDriver([entry(n) for n in range(4)], tenants=tenants)
        driver.now += 1000
        open_requests.append(admitted(driver, 200, tenant))
    assert 0.5 * open_requests[1] < open_requests[0] < open_requests[1]


def test_a_quota_part_below_one_request_per_second_admits_its_rate() -> None:
    """In large deployments, a balancer's part of a quota is below one request per second."""
    driver = BalancerDriver([entry(1)], tenants=(api.Tenant(1.0, 40.0),), copies=100, me=3)
    within = 0
    for _ in range(100):
        driver.now += 2500  # 0.4 requests per second, which is exactly the equal part
        within += driver.balancer._admission._within_share(0, driver.now)
    assert within >= 95


def balancer_with_answers(upstreams: int = 2) -> BalancerDriver:
    driver = BalancerDriver([entry(n) for n in range(upstreams)])
    for _ in range(40):
        driver.serve(elapsed_ms=50.0)
    return driver


def test_a_second_attempt_starts_if_an_upstream_is_unresponsive() -> None:
    driver = balancer_with_answers()
    tokens = driver.balancer._quota.tokens
    request, actions = driver.arrive()
    (first,) = sends(actions)
    second_attempts = sends(driver.wait(300))
    assert (
        second_attempts
        and second_attempts[0].request_id == request
        and second_attempts[0].upstream != first.upstream
    )
    assert driver.balancer._quota.tokens == tokens - 14 * len(second_attempts)


def test_no_second_attempt_while_the_upstream_answers_other_requests() -> None:
    """Guards against an overload by second attempts, as on uio-norte: 1 to 3% of the requests take long."""
    driver = balancer_with_answers(1)
    request, _ = driver.arrive()
    other, _ = driver.arrive()
    driver.now += 10
    driver.end_attempt(other, Outcome.OK, 0, elapsed_ms=10.0)
    assert not sends(driver.wait(1000))


def test_no_second_attempt_of_an_unsafe_request_or_without_tokens() -> None:
    driver = balancer_with_answers()
    driver.arrive(UNSAFE)
    assert not sends(driver.wait(1000))
    driver = balancer_with_answers()
    driver.balancer._quota.tokens = 5
    driver.arrive(SAFE)
    assert not sends(driver.wait(1000))


def test_an_unresponsive_upstream_counts_as_slow_before_any_attempt_ends() -> None:
    driver = balancer_with_answers(3)
    request, actions = driver.arrive(UNSAFE)
    silent = sends(actions)[0].upstream
    fleet = driver.balancer._fleet.upstreams
    driver.now += 2000
    driver.arrive(UNSAFE)
    slowness = {n: driver.balancer._picker.slowness(u) for n, u in fleet.items()}
    assert slowness[silent] > 10 * min(slowness.values())


def test_discovery_is_called_and_called_again_after_a_failure() -> None:
    driver = BalancerDriver([entry(1)], must_ask=True)
    assert api.Subscribe(True) in driver.wait(1000)
    driver.event(api.ListFailed())
    assert api.Subscribe(True) in driver.wait(2000)
    driver.list_upstreams([entry(1), entry(2)])
    assert api.Subscribe(True) not in driver.wait(60_000)


def test_a_broken_subscription_is_renewed() -> None:
    """Guards against a balancer that never calls discovery again after its first subscription broke."""
    driver = BalancerDriver([entry(1)], must_ask=True)
    driver.list_upstreams([entry(1)])
    driver.event(api.ListFailed())
    assert api.Subscribe(True) in driver.wait(1000)


def test_an_answer_time_of_zero_is_harmless() -> None:
    driver = BalancerDriver([entry(1)])
    for _ in range(5):
        driver.serve(elapsed_ms=0.0)
    assert driver.serve() == 1


def test_a_request_that_merely_takes_long_gets_no_second_attempt() -> None:
    """On gye-central-later one in forty attempts counted as overdue; second attempts overloaded upstreams."""
    driver = balancer_with_answers(3)
    rng = random.Random(5)
    for _ in range(400):
        driver.serve(elapsed_ms=rng.expovariate(1 / 100.0))
    usual = driver.balancer._answer_times[SAFE]
    driver.arrive()
    assert not sends(driver.wait(usual.mean + 5 * usual.deviation))


def test_one_failure_does_not_lower_the_limit() -> None:
    """Guards against refusals while single connections break at many upstreams: no capacity is lost then."""
    driver = BalancerDriver([entry(n) for n in range(4)], max_attempts=1)
    request, actions = driver.arrive()
    driver.end_attempt(request, Outcome.RESET, sends(actions)[0].upstream)
    fleet = driver.balancer._fleet
    driver.now += 100.0
    (failed,) = (u for u in fleet.upstreams.values() if u.failures)
    failed.ejected_until_ms = driver.now + 1000.0
    assert fleet.usable(driver.now) == 4
    failed.failures = 2
    driver.now += 100.0
    assert fleet.usable(driver.now) == 3


def test_an_attempt_at_an_unresponsive_upstream_does_not_use_the_limit() -> None:
    """Guards against a balancer with little traffic that refuses all requests while one attempt hangs."""
    for unresponsive, min_admitted, max_admitted in ((True, 28, 30), (False, 0, 12)):
        driver = BalancerDriver([entry(n) for n in range(4)], copies=40, second_copies=False)
        for _ in range(40):
            driver.now += 400.0
            driver.serve(elapsed_ms=100.0)
        _, actions = driver.arrive()
        (unanswered,) = sends(actions)
        driver.wait(1500.0)  # the attempt becomes overdue, so the upstream has failed
        upstream = driver.balancer._fleet.upstreams[unanswered.upstream]
        upstream.failures = 2  # as if a peer had reported a failure too
        upstream.ejected_until_ms = driver.now + 10_000.0
        if not unresponsive:
            upstream.last_answer_ms = driver.now  # it answers and is merely slow, so its requests count
        taken = 0
        for _ in range(30):
            driver.now += 80.0
            request, actions = driver.arrive()
            for sent in sends(actions):
                taken += 1
                driver.now += 20.0
                driver.end_attempt(request, Outcome.OK, sent.upstream, elapsed_ms=100.0)
        assert min_admitted <= taken <= max_admitted, (unresponsive, taken)


def test_a_restart_resets_slowness_and_failures() -> None:
    driver = BalancerDriver([entry(n) for n in range(4)])
    upstream = driver.balancer._fleet.upstreams[2]
    upstream.slowness, upstream.failures = 30.0, 5
    driver.list_upstreams([entry(n, started_ms=900.0 if n == 2 else 0.0) for n in range(4)])
    assert (upstream.slowness, upstream.failures) == (1.0, 0)
