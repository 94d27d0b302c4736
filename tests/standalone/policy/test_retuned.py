"""New settings while requests are open: learned values and the spent quota are kept."""

from __future__ import annotations

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Outcome
from tests.standalone.policy.scripts import (
    CLASSES,
    SAFE,
    UNSAFE,
    BalancerDriver,
    answers,
    entry,
    request_class,
    sends,
    settings,
)


def new_settings(**more: object) -> api.Retuned:
    return api.Retuned(settings(**more))


def test_a_new_class_is_served_at_once_and_others_keep_their_number() -> None:
    driver = BalancerDriver([entry(1)])
    _, actions = driver.arrive(len(CLASSES))
    assert isinstance(answers(actions)[0], api.Fail)
    driver.event(new_settings(classes=(*CLASSES, request_class(Effect.UNSAFE))))
    _, actions = driver.arrive(len(CLASSES))
    assert sends(actions)


def test_an_open_request_keeps_its_class() -> None:
    """Guards against a second effect of an unsafe request whose class becomes less strict."""
    driver = BalancerDriver([entry(1), entry(2)])
    request, actions = driver.arrive(UNSAFE)
    driver.event(new_settings(classes=(request_class(),) * len(CLASSES)))
    assert driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream) == [api.Fail(request)]


def test_a_lower_limit_of_attempts_applies_to_open_requests() -> None:
    driver = BalancerDriver([entry(1), entry(2), entry(3)])
    request, actions = driver.arrive(SAFE)
    driver.event(new_settings(max_attempts=1))
    (answer,) = driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert isinstance(answer, api.Refuse)


def test_a_reload_keeps_quota_ejections_and_limit() -> None:
    """Guards against a reload that resets the retry quota, the ejections or the admission limit."""
    driver = BalancerDriver([entry(1), entry(2)])
    for _ in range(3):
        request, actions = driver.arrive()
        driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream)
        driver.wait(50)
    balancer = driver.balancer
    before = (balancer._quota.tokens, balancer.skipped(driver.now), balancer._admission.room)
    assert before[0] < 500 and before[1] > 0
    driver.event(new_settings(max_attempts=3, copies=2))
    assert (balancer._quota.tokens, balancer.skipped(driver.now), balancer._admission.room) == before
