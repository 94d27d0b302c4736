"""The retry quota and its waits, as the design page states them."""

import random

import pytest

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome
from tests.standalone.policy.scripts import SAFE, UNSAFE, Script, a_class, answers, entry, sends, settings


def tokens(script: Script) -> float:
    return script.balancer._quota.tokens


def fail_then_retry(script: Script, outcome: Outcome) -> tuple[int, api.Send]:
    request, actions = script.arrives(within_ms=60_000)
    script.ends(request, outcome, sends(actions)[0].upstream)
    return request, sends(script.wait(3000))[0]


LONG = (a_class(aim_ms=60_000.0, deadline_ms=60_000.0), a_class())


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
def test_a_retry_costs_by_its_cause_and_a_successful_one_gives_its_cost_back(
    outcome: Outcome, cost: float
) -> None:
    script = Script([entry(1), entry(2)], classes=LONG)
    request, retry = fail_then_retry(script, outcome)
    assert tokens(script) == 500 - cost
    script.ends(request, Outcome.OK, retry.upstream, attempt=1)
    assert tokens(script) == 500


def test_a_failed_earlier_retry_stays_spent() -> None:
    script = Script([entry(1), entry(2), entry(3)], classes=LONG)
    request, retry = fail_then_retry(script, Outcome.ERROR)
    script.ends(request, Outcome.FULL, retry.upstream, attempt=1)
    (second,) = sends(script.wait(30_000))
    assert tokens(script) == 500 - 14 - 5
    script.ends(request, Outcome.OK, second.upstream, attempt=2)
    assert tokens(script) == 500 - 14


def test_a_clean_first_success_adds_one_up_to_the_cap() -> None:
    script = Script([entry(1), entry(2)], classes=LONG)
    script.serve()
    assert tokens(script) == 500
    script.balancer._quota.tokens = 100
    script.serve()
    assert tokens(script) == 101


def test_without_tokens_the_error_is_passed_on_at_once() -> None:
    script = Script([entry(1), entry(2)], classes=LONG)
    script.balancer._quota.tokens = 13.9
    request, actions = script.arrives(SAFE)
    actions = script.ends(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert [a.request_id for a in answers(actions)] == [request]
    assert tokens(script) == 13.9


def test_waits_are_full_jitter_and_double_up_to_the_ceiling() -> None:
    quota = RetryQuota(random.Random(3))
    for retry, top in [(0, 100.0), (1, 200.0), (3, 800.0), (7, 12_800.0), (8, 20_000.0), (2000, 20_000.0)]:
        drawn = [quota.wait_ms(100.0, retry) for _ in range(2000)]
        assert min(drawn) < top * 0.01 and top * 0.99 < max(drawn) <= top
        assert sum(drawn) / len(drawn) == pytest.approx(top / 2, rel=0.05)


@pytest.mark.parametrize(("outcome", "base_ms"), [(Outcome.ERROR, 100.0), (Outcome.FULL, 1000.0)])
def test_the_base_is_longer_where_the_server_said_it_is_full(outcome: Outcome, base_ms: float) -> None:
    waits = []
    for seed in range(300):
        script = Script([entry(1), entry(2)], seed=seed, classes=LONG)
        request, actions = script.arrives(within_ms=60_000)
        (timer,) = [
            a
            for a in script.ends(request, outcome, sends(actions)[0].upstream)
            if isinstance(a, api.SetTimer)
        ]
        waits.append(timer.after_ms)
    assert 0 <= min(waits) < base_ms * 0.05 and base_ms * 0.95 < max(waits) <= base_ms


def test_an_answer_comes_at_once_where_the_wait_leaves_no_time_for_an_attempt() -> None:
    script = Script([entry(1), entry(2)])
    for _ in range(20):
        script.serve(elapsed_ms=300.0)
    request, actions = script.arrives(SAFE, within_ms=300.0)
    actions = script.ends(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert [a.request_id for a in answers(actions)] == [request]


def test_inner_copies_pass_an_error_up_but_resend_what_never_ran() -> None:
    script = Script([entry(1), entry(2)], tier=1, classes=LONG)
    request, actions = script.arrives(SAFE)
    assert answers(script.ends(request, Outcome.ERROR, sends(actions)[0].upstream))
    request, actions = script.arrives(UNSAFE)
    assert not answers(script.ends(request, Outcome.CONNECT_FAILED, sends(actions)[0].upstream))
    assert len(sends(script.wait(500))) == 1


def test_a_refusal_says_when_to_come_back_where_the_settings_allow() -> None:
    for allowed in (True, False):
        script = Script([], retry_after=allowed)
        _, actions = script.arrives(SAFE)
        (refusal,) = answers(actions)
        assert isinstance(refusal, api.Refuse)
        assert (refusal.retry_after_ms > 0) is allowed
        assert refusal.retry_after_ms <= settings().max_retry_after_ms
