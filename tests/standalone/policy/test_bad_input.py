"""What a copy may be told that makes no sense: nothing raises, every request gets its one answer."""

import math
import random
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import Script, answers, entry, sends

ODD_NUMBERS = (math.nan, math.inf, -math.inf, -5.0, 0.0, 1e300)


def a_copy(entries: list[api.UpstreamEntry], **more: Any) -> Script:
    """One attempt for each request, so that its end is the request's end."""
    return Script(entries, max_attempts=1, **more)


def answered_all(script: Script, requests: int = 60) -> None:
    """Every request that arrives gets its one answer; some servers err."""
    for number in range(requests):
        request, actions = script.arrives()
        final = len(answers(actions))
        for sent in sends(actions):
            script.now += 20.0
            outcome = Outcome.OK if number % 3 else Outcome.ERROR
            ended = script.ends(request, outcome, sent.upstream, elapsed_ms=20.0)
            final += 1 if outcome is Outcome.OK else len(answers(ended))
        later = script.wait(20.0)
        assert final == 1 and not answers(later) and not sends(later)


@pytest.mark.parametrize("copies", [0, -3, 1, 100_000])
def test_a_wrong_number_of_copies(copies: int) -> None:
    for me in (0, 7, -1):
        answered_all(a_copy([entry(n) for n in range(6)], copies=copies, me=me))


def test_reports_that_are_no_numbers_or_of_no_listed_server() -> None:
    script = a_copy([entry(n) for n in range(3)], report_columns=("in_flight", "errors_per_s"))
    for odd in ODD_NUMBERS:
        for report in [(odd,), (odd, odd), (odd,) * 9, ()]:
            for upstream in (0, 999):
                script.event(api.AttemptEnded(10**6, True, 0, Outcome.OK, upstream, 5.0, report))
                script.event(api.ProbeEnded(Outcome.OK, 5.0, upstream, report))
    answered_all(script)


def test_ratings_and_hints_that_are_no_numbers() -> None:
    fleet = [entry(n, rating=odd) for n, odd in enumerate(ODD_NUMBERS)] + [entry(99, rating=2.0)]
    script = a_copy(fleet, ratings_tell_size=True)
    for number, odd in enumerate(ODD_NUMBERS):
        event = api.RequestArrived(10**6 + number, 0, 0, 0, script.now + 4000.0, odd, False, False)
        (sent,) = sends(script.event(event))
        script.now += 20.0
        script.ends(10**6 + number, Outcome.OK, sent.upstream, elapsed_ms=20.0)
    answered_all(script)


def test_quotas_of_nothing_and_less() -> None:
    for quota in (0.0, -10.0, 1e-9):
        answered_all(a_copy([entry(1)], tenants=(api.Tenant(1.0, quota),), copies=50))


def test_lists_that_go_back_repeat_and_name_thousands() -> None:
    chance = random.Random(3)
    script = a_copy([], copies=300, me=17)
    for version in range(20):
        entries = [
            entry(
                chance.randrange(3000),
                state=chance.choice(list(UpstreamState)),
                rating=chance.random() * 3,
                started_ms=chance.choice([0.0, script.now, script.now - 9000.0, script.now + 9000.0]),
            )
            for _ in range(chance.choice([0, 1, 2000]))
        ]
        kind = chance.choice(list(ListKind))
        script.event(api.FleetListed(kind, 20 - version, tuple(entries + entries)))
        answered_all(script, 5)


def test_a_copy_that_starts_with_an_old_list_or_none() -> None:
    answered_all(a_copy([], must_ask=True))
    script = a_copy([entry(n) for n in range(5)], must_ask=True, ask_within_ms=10_000.0)
    answered_all(script, 5)
    script.listed([entry(n, state=UpstreamState.DRAINING) for n in range(4)] + [entry(77)])
    for _ in range(20):
        request, actions = script.arrives()
        assert {s.upstream for s in sends(actions)} <= {77}
        for sent in sends(actions):
            script.now += 20.0
            script.ends(request, Outcome.OK, sent.upstream, elapsed_ms=20.0)


def test_copies_that_start_together_spread_their_first_call_to_discovery() -> None:
    """cuenca-sur-later: discovery serves a call of every copy in seconds, not in one."""
    asked = []
    for me in range(200):
        script = a_copy([entry(1)], seed=me, copies=200, me=me, must_ask=True, ask_within_ms=10_000.0)
        asked.append(min(at for at, _ in script.timers) - script.now)
    assert max(asked) < 10_000.0
    assert max(sum(t <= a < t + 1000.0 for a in asked) for t in range(0, 10_000, 500)) < 80
