"""Invalid input to a balancer: nothing raises, and every request gets exactly one final answer."""

import math
import random
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import BalancerDriver, answers, entry, sends

INVALID_NUMBERS = (math.nan, math.inf, -math.inf, -5.0, 0.0, 1e300)


def single_attempt_balancer(entries: list[api.UpstreamEntry], **more: Any) -> BalancerDriver:
    """A balancer with one attempt per request, whose end is the request's end."""
    return BalancerDriver(entries, max_attempts=1, **more)


def check_one_answer_each(driver: BalancerDriver, requests: int = 60) -> None:
    """Checks that every request gets exactly one final answer, while some attempts fail."""
    for number in range(requests):
        request, actions = driver.arrive()
        final_answers = len(answers(actions))
        for sent in sends(actions):
            driver.now += 20.0
            outcome = Outcome.OK if number % 3 else Outcome.ERROR
            ended = driver.end_attempt(request, outcome, sent.upstream, elapsed_ms=20.0)
            final_answers += 1 if outcome is Outcome.OK else len(answers(ended))
        later_actions = driver.wait(20.0)
        assert final_answers == 1 and not answers(later_actions) and not sends(later_actions)


@pytest.mark.parametrize("copies", [0, -3, 1, 100_000])
def test_invalid_number_of_balancers(copies: int) -> None:
    for me in (0, 7, -1):
        check_one_answer_each(single_attempt_balancer([entry(n) for n in range(6)], copies=copies, me=me))


def test_invalid_load_reports_and_reports_of_unlisted_upstreams() -> None:
    driver = single_attempt_balancer(
        [entry(n) for n in range(3)], report_columns=("in_flight", "errors_per_s")
    )
    for invalid in INVALID_NUMBERS:
        for report in [(invalid,), (invalid, invalid), (invalid,) * 9, ()]:
            for upstream in (0, 999):
                driver.event(api.AttemptEnded(10**6, True, 0, Outcome.OK, upstream, 5.0, report))
                driver.event(api.ProbeEnded(Outcome.OK, 5.0, upstream, report))
    check_one_answer_each(driver)


def test_ratings_and_work_hints_that_are_not_finite_positive_numbers() -> None:
    fleet = [entry(n, rating=invalid) for n, invalid in enumerate(INVALID_NUMBERS)] + [entry(99, rating=2.0)]
    driver = single_attempt_balancer(fleet, ratings_tell_size=True)
    for number, invalid in enumerate(INVALID_NUMBERS):
        event = api.RequestArrived(10**6 + number, 0, 0, 0, driver.now + 4000.0, invalid, False, False)
        (sent,) = sends(driver.event(event))
        driver.now += 20.0
        driver.end_attempt(10**6 + number, Outcome.OK, sent.upstream, elapsed_ms=20.0)
    check_one_answer_each(driver)


def test_quotas_that_are_zero_negative_or_tiny() -> None:
    for quota in (0.0, -10.0, 1e-9):
        check_one_answer_each(
            single_attempt_balancer([entry(1)], tenants=(api.Tenant(1.0, quota),), copies=50)
        )


def test_lists_with_old_versions_duplicate_entries_and_thousands_of_upstreams() -> None:
    rng = random.Random(3)
    driver = single_attempt_balancer([], copies=300, me=17)
    for version in range(20):
        entries = [
            entry(
                rng.randrange(3000),
                state=rng.choice(list(UpstreamState)),
                rating=rng.random() * 3,
                started_ms=rng.choice([0.0, driver.now, driver.now - 9000.0, driver.now + 9000.0]),
            )
            for _ in range(rng.choice([0, 1, 2000]))
        ]
        kind = rng.choice(list(ListKind))
        driver.event(api.FleetListed(kind, 20 - version, tuple(entries + entries)))
        check_one_answer_each(driver, 5)


def test_a_balancer_that_starts_with_an_outdated_list_or_none() -> None:
    check_one_answer_each(single_attempt_balancer([], must_ask=True))
    driver = single_attempt_balancer([entry(n) for n in range(5)], must_ask=True, ask_within_ms=10_000.0)
    check_one_answer_each(driver, 5)
    driver.list_upstreams([entry(n, state=UpstreamState.DRAINING) for n in range(4)] + [entry(77)])
    for _ in range(20):
        request, actions = driver.arrive()
        assert {s.upstream for s in sends(actions)} <= {77}
        for sent in sends(actions):
            driver.now += 20.0
            driver.end_attempt(request, Outcome.OK, sent.upstream, elapsed_ms=20.0)


def test_balancers_that_start_together_spread_their_first_call_to_discovery() -> None:
    """Guards against a burst at discovery, which needs several seconds to serve a call of every balancer.

    This happened on cuenca-sur-later.
    """
    first_calls_ms = []
    for me in range(200):
        driver = single_attempt_balancer(
            [entry(1)], seed=me, copies=200, me=me, must_ask=True, ask_within_ms=10_000.0
        )
        first_calls_ms.append(min(at for at, _ in driver.timers) - driver.now)
    assert max(first_calls_ms) < 10_000.0
    assert max(sum(t <= a < t + 1000.0 for a in first_calls_ms) for t in range(0, 10_000, 500)) < 80
