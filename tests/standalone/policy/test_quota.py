"""The retry quota and the waits before retries, as the design page states them."""

import random

import pytest

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome
from tests.standalone.policy.scripts import (
    SAFE,
    UNSAFE,
    BalancerDriver,
    answers,
    entry,
    request_class,
    sends,
    settings,
)


def tokens(driver: BalancerDriver) -> float:
    return driver.balancer._quota.tokens


def fail_first_attempt(driver: BalancerDriver, outcome: Outcome) -> tuple[int, api.Send]:
    request, actions = driver.arrive(within_ms=60_000)
    driver.end_attempt(request, outcome, sends(actions)[0].upstream)
    return request, sends(driver.wait(3000))[0]


LONG = (request_class(aim_ms=60_000.0, deadline_ms=60_000.0), request_class())


@pytest.mark.parametrize(
    ("outcome", "cost"),
    [
        (Outcome.ERROR, 14),
        (Outcome.TIMEOUT, 14),
        (Outcome.CONNECT_FAILED, 14),
        (Outcome.RESET, 14),
        (Outcome.FULL, 5),
    ],
)
def test_a_retry_costs_by_its_cause_and_success_refunds_the_cost(outcome: Outcome, cost: float) -> None:
    driver = BalancerDriver([entry(1), entry(2)], classes=LONG)
    request, retry = fail_first_attempt(driver, outcome)
    assert tokens(driver) == 500 - cost
    driver.end_attempt(request, Outcome.OK, retry.upstream, attempt=1)
    assert tokens(driver) == 500


def test_the_cost_of_a_failed_retry_is_not_refunded() -> None:
    driver = BalancerDriver([entry(1), entry(2), entry(3)], classes=LONG)
    request, retry = fail_first_attempt(driver, Outcome.ERROR)
    driver.end_attempt(request, Outcome.FULL, retry.upstream, attempt=1)
    (second,) = sends(driver.wait(30_000))
    assert tokens(driver) == 500 - 14 - 5
    driver.end_attempt(request, Outcome.OK, second.upstream, attempt=2)
    assert tokens(driver) == 500 - 14


def test_success_without_retries_adds_one_token_up_to_the_cap() -> None:
    driver = BalancerDriver([entry(1), entry(2)], classes=LONG)
    driver.serve()
    assert tokens(driver) == 500
    driver.balancer._quota.tokens = 100
    driver.serve()
    assert tokens(driver) == 101


def test_without_tokens_the_error_is_answered_at_once() -> None:
    driver = BalancerDriver([entry(1), entry(2)], classes=LONG)
    driver.balancer._quota.tokens = 13.9
    request, actions = driver.arrive(SAFE)
    actions = driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert [a.request_id for a in answers(actions)] == [request]
    assert tokens(driver) == 13.9


def test_waits_are_full_jitter_and_double_up_to_the_ceiling() -> None:
    quota = RetryQuota(random.Random(3))
    for retry, max_ms in [(0, 100.0), (1, 200.0), (3, 800.0), (7, 12_800.0), (8, 20_000.0), (2000, 20_000.0)]:
        waits_ms = [quota.wait_ms(100.0, retry) for _ in range(2000)]
        assert min(waits_ms) < max_ms * 0.01 and max_ms * 0.99 < max(waits_ms) <= max_ms
        assert sum(waits_ms) / len(waits_ms) == pytest.approx(max_ms / 2, rel=0.05)


@pytest.mark.parametrize(("outcome", "base_ms"), [(Outcome.ERROR, 100.0), (Outcome.FULL, 1000.0)])
def test_the_base_wait_is_longer_if_the_upstream_is_full(outcome: Outcome, base_ms: float) -> None:
    after_ms = []
    for seed in range(300):
        driver = BalancerDriver([entry(1), entry(2)], seed=seed, classes=LONG)
        request, actions = driver.arrive(within_ms=60_000)
        (timer,) = [
            a
            for a in driver.end_attempt(request, outcome, sends(actions)[0].upstream)
            if isinstance(a, api.SetTimer)
        ]
        after_ms.append(timer.after_ms)
    assert 0 <= min(after_ms) < base_ms * 0.05 and base_ms * 0.95 < max(after_ms) <= base_ms


def test_the_answer_is_immediate_if_the_wait_leaves_no_time_for_an_attempt() -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    for _ in range(20):
        driver.serve(elapsed_ms=300.0)
    request, actions = driver.arrive(SAFE, within_ms=300.0)
    actions = driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert [a.request_id for a in answers(actions)] == [request]


def test_inner_tiers_answer_an_error_but_resend_what_never_ran() -> None:
    driver = BalancerDriver([entry(1), entry(2)], tier=1, classes=LONG)
    request, actions = driver.arrive(SAFE)
    assert answers(driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream))
    request, actions = driver.arrive(UNSAFE)
    assert not answers(driver.end_attempt(request, Outcome.CONNECT_FAILED, sends(actions)[0].upstream))
    assert len(sends(driver.wait(500))) == 1


def test_a_refusal_has_a_retry_hint_if_the_settings_allow_it() -> None:
    for allowed in (True, False):
        driver = BalancerDriver([], retry_after=allowed)
        _, actions = driver.arrive(SAFE)
        (refusal,) = answers(actions)
        assert isinstance(refusal, api.Refuse)
        assert (refusal.retry_after_ms > 0) is allowed
        assert refusal.retry_after_ms <= settings().max_retry_after_ms
