"""The four rules: examples, and random sequences of unusual but valid events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import (
    CLASSES,
    KEYED_ALL,
    KEYED_CELL,
    KEYED_ZONE,
    SAFE,
    UNSAFE,
    BalancerDriver,
    answers,
    entry,
    request_class,
    sends,
)

RAN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


# Each request gets one final answer.


def test_a_request_past_its_deadline_is_answered_without_an_attempt() -> None:
    driver = BalancerDriver([entry(1)])
    request, actions = driver.arrive(within_ms=-1.0)
    assert [a.request_id for a in answers(actions)] == [request] and not sends(actions)


def test_an_unknown_class_is_failed_and_an_unknown_tenant_is_served() -> None:
    driver = BalancerDriver([entry(1)], tenants=(api.Tenant(1.0, 10.0),))
    _, actions = driver.arrive(class_index=200)
    assert isinstance(answers(actions)[0], api.Fail)
    _, actions = driver.arrive(tenant=77)
    assert sends(actions)


def test_nothing_is_sent_for_a_client_that_disconnected() -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    request, actions = driver.arrive()
    driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert driver.event(api.ClientLeft(request)) == []
    later = driver.wait(5000)
    assert not sends(later) and not answers(later)


def test_a_timeout_at_the_deadline_is_answered() -> None:
    driver = BalancerDriver([entry(1)])
    request, actions = driver.arrive(UNSAFE)
    driver.now += 4000
    actions = driver.end_attempt(request, Outcome.TIMEOUT, 1, elapsed_ms=4000.0)
    assert actions == [api.Fail(request)]


def test_a_request_is_not_resent_after_its_answer_has_started() -> None:
    driver = BalancerDriver([entry(1), entry(2)], classes=(request_class(streamed=True),))
    for _ in range(20):
        driver.serve(elapsed_ms=20.0)
    request, actions = driver.arrive()
    driver.event(api.AnswerBegan(request, 0, sends(actions)[0].upstream, 5.0))
    assert not sends(driver.wait(1500))


# No request has its effect twice.


@pytest.mark.parametrize("outcome", RAN)
def test_an_unsafe_request_that_may_have_run_is_neither_resent_nor_refused(outcome: Outcome) -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    request, actions = driver.arrive(UNSAFE)
    assert driver.end_attempt(request, outcome, sends(actions)[0].upstream) == [api.Fail(request)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_is_resent(outcome: Outcome) -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    request, actions = driver.arrive(UNSAFE)
    assert not answers(driver.end_attempt(request, outcome, sends(actions)[0].upstream))
    later = driver.wait(1000)
    assert sends(later) or isinstance(answers(later)[0], api.Refuse)


@pytest.mark.parametrize("class_index", [KEYED_ZONE, KEYED_CELL])
def test_a_keyed_request_that_may_have_run_is_resent_only_in_its_group(class_index: int) -> None:
    fleet = [entry(n, zone=n % 2, cell=6 + n % 2) for n in range(6)]
    for seed in range(30):
        driver = BalancerDriver(fleet, seed=seed)
        request, actions = driver.arrive(class_index)
        (first,) = sends(actions)
        driver.end_attempt(request, Outcome.RESET, first.upstream)
        for retry in sends(driver.wait(200)):
            assert retry.upstream % 2 == first.upstream % 2


def test_a_keyed_request_without_upstreams_of_its_group_is_failed_not_refused() -> None:
    driver = BalancerDriver([entry(1, zone=0)])
    request, actions = driver.arrive(KEYED_ZONE)
    driver.list_upstreams([entry(2, zone=1)])
    assert driver.end_attempt(request, Outcome.RESET, 1) == [api.Fail(request)]


def test_a_keyed_request_is_not_resent_after_its_window() -> None:
    window = (request_class(api.Effect.KEYED, window_ms=500.0),)
    for seed in range(20):
        driver = BalancerDriver([entry(1), entry(2)], seed=seed, classes=window)
        request, actions = driver.arrive()
        driver.now += 499.0
        driver.end_attempt(request, Outcome.ERROR, sends(actions)[0].upstream, elapsed_ms=499.0)
        assert all(driver.now <= 1500.0 for _ in sends(driver.wait(200)))
        assert not sends(driver.wait(4000))


def test_a_second_attempt_starts_only_if_the_settings_allow_it() -> None:
    for allowed in (True, False):
        driver = BalancerDriver([entry(1), entry(2)], second_copies=allowed)
        for _ in range(20):
            driver.serve(elapsed_ms=50.0)
        driver.arrive()
        assert bool(sends(driver.wait(1000))) is allowed


# Cold upstreams aren't overloaded.


def cold_load_ratio(copies: int, age_ms: float) -> float:
    """The load of one cold upstream relative to three warm ones, over balancers with little traffic."""
    load: Counter[int] = Counter()
    for seed in range(copies):
        driver = BalancerDriver([entry(n) for n in range(3)], seed=seed)
        driver.now = 50_000.0
        driver.list_upstreams([entry(9, started_ms=driver.now - age_ms)], ListKind.CHANGES)
        for _ in range(12):
            load[driver.serve()] += 1
    return load[9] / (sum(load[n] for n in range(3)) / 3)


def test_a_cold_upstream_gets_the_load_for_its_capacity_from_all_balancers() -> None:
    young, older = cold_load_ratio(200, 10.0), cold_load_ratio(200, 10_000.0)
    assert 0.05 < young < 0.25  # it has a fifth of its capacity
    assert 1.5 * young < older < 0.65  # and six tenths after half of the time


def cold_load_ratio_with_few_warm(copies: int, cold: int) -> float:
    """The load of a cold upstream relative to a warm one, where only two of the upstreams are warm."""
    load: Counter[int] = Counter()
    for seed in range(copies):
        driver = BalancerDriver([entry(n) for n in range(2)], seed=seed)
        driver.now = 50_000.0
        driver.list_upstreams([entry(10 + n, started_ms=40_000.0) for n in range(cold)], ListKind.CHANGES)
        for _ in range(12):
            load[driver.serve()] += 1
    return sum(load[10 + n] for n in range(cold)) / cold / ((load[0] + load[1]) / 2)


def test_many_cold_upstreams_get_as_much_load_each_as_few() -> None:
    """Guards against an overload of the few warm upstreams while many cold replacements are idle."""
    few, many = cold_load_ratio_with_few_warm(100, cold=2), cold_load_ratio_with_few_warm(100, cold=8)
    assert 0.2 < many < 0.6  # they have six tenths of their capacity
    assert many > 0.75 * few


def test_a_cold_upstream_gets_load_by_its_size() -> None:
    """Guards against an idle big cold upstream beside small warm ones, and an overloaded small one."""
    load: Counter[int] = Counter()
    for seed in range(200):
        driver = BalancerDriver([entry(n, rating=2.0) for n in range(3)], seed=seed, ratings_tell_size=True)
        driver.now = 50_000.0
        cold_upstreams = [
            entry(8, rating=1.0, started_ms=45_000.0),
            entry(9, rating=4.0, started_ms=45_000.0),
        ]
        driver.list_upstreams(cold_upstreams, ListKind.CHANGES)
        for _ in range(24):
            load[driver.serve()] += 1
    assert 2.0 < load[9] / load[8] < 6.0


def test_attempts_without_answers_earn_a_cold_upstream_no_credit() -> None:
    """Guards against overload of cold upstreams when warm ones get more requests than they can serve."""
    driver = BalancerDriver([entry(n) for n in range(2)])
    driver.now = 50_000.0
    driver.list_upstreams([entry(9, started_ms=49_000.0)], ListKind.CHANGES)
    upstreams = [s.upstream for _ in range(14) for s in sends(driver.arrive()[1])]
    assert len(upstreams) > 10
    assert 9 not in upstreams


def test_a_restarted_balancer_limits_a_cold_upstream_too() -> None:
    first = 0
    for seed in range(200):
        driver = BalancerDriver([entry(1), entry(2), entry(9, started_ms=990.0)], seed=seed)
        first += driver.serve() == 9
    assert first <= 2


def test_if_all_are_cold_each_gets_one_attempt_at_a_time() -> None:
    driver = BalancerDriver([entry(n, started_ms=999.0) for n in range(3)])
    results = [driver.arrive()[1] for _ in range(5)]
    assert sorted(s.upstream for r in results for s in sends(r)) == [0, 1, 2]
    assert len([a for r in results for a in answers(r)]) == 2


@pytest.mark.parametrize(("failed_connects", "is_restart"), [(1, False), (2, False), (3, True)])
def test_an_answer_after_failed_connects_counts_as_a_restart(failed_connects: int, is_restart: bool) -> None:
    """Two failures may concern only those connections: a running upstream must not become cold."""
    driver = BalancerDriver([entry(1), entry(2), entry(3)], max_attempts=1)
    for _ in range(failed_connects):
        while True:
            request, actions = driver.arrive()
            upstream = sends(actions)[0].upstream
            if upstream == 1:
                break
            driver.end_attempt(request, Outcome.OK, upstream)
        driver.end_attempt(request, Outcome.CONNECT_FAILED, 1)
        driver.now += 60_000
    while driver.serve() != 1:
        pass
    load = Counter(driver.serve() for _ in range(60))
    assert (load[1] < 0.5 * (load[2] + load[3]) / 2) is is_restart


def test_a_reset_connection_does_not_make_an_upstream_cold() -> None:
    """Guards against counting the end of one connection as a restart: soon all upstreams were cold."""
    driver = BalancerDriver([entry(1), entry(2)], max_attempts=1)
    for _ in range(40):
        request, actions = driver.arrive()
        driver.end_attempt(request, Outcome.RESET, sends(actions)[0].upstream)
        driver.now += 60_000
    for _ in range(8):
        driver.serve()  # answers after the resets
    assert (
        min(
            u.warmth(driver.now, driver.balancer._settings) for u in driver.balancer._fleet.upstreams.values()
        )
        == 1
    )


# All rules hold under random sequences of valid events.


class RuleChecker:
    """Plays random valid events and checks every action against the rules as the wire page states them."""

    def __init__(self, seed: int, second_copies: bool, tier: int) -> None:
        fleet = [entry(n, zone=n % 2, cell=n % 3) for n in range(5)]
        self.entries = {e.upstream: e for e in fleet}
        self.ready = set(self.entries)
        self.second_copies = second_copies
        self.classes: dict[int, int] = {}
        self.finished: set[int] = set()
        self.attempts: dict[int, list[tuple[int, float]]] = {}
        self.outcomes: dict[tuple[int, int], Outcome] = {}
        self.driver = BalancerDriver(fleet, seed=seed, second_copies=second_copies, tier=tier)

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.check_send(action.request_id, action.upstream)
            elif isinstance(action, api.Refuse | api.Fail):
                request = action.request_id
                assert request in self.classes and request not in self.finished, "one final answer"
                if isinstance(action, api.Refuse):
                    ran = self.may_have_run(request)
                    assert not ran or self.classes[request] in (SAFE, KEYED_ALL), (
                        "refused a request that may have run"
                    )
                self.finished.add(request)

    def may_have_run(self, request: int) -> list[tuple[int, float]]:
        return [
            attempt
            for number, attempt in enumerate(self.attempts[request])
            if self.outcomes.get((request, number)) not in NEVER_RAN
        ]

    def check_send(self, request: int, upstream: int) -> None:
        assert request not in self.finished, "sent for a finished request"
        assert upstream in self.ready, "sent to a draining or removed upstream"
        class_index, ran = self.classes[request], self.may_have_run(request)
        open_ = [n for n in range(len(self.attempts[request])) if (request, n) not in self.outcomes]
        assert self.second_copies or not open_, "two open attempts"
        assert len(self.attempts[request]) < 4, "too many attempts"
        if ran and class_index != SAFE:
            assert class_index != UNSAFE, "resent an unsafe request"
            assert self.driver.now < min(at for _, at in ran) + CLASSES[class_index].window_ms, (
                "resent after the window"
            )
            for before, _ in ran:
                if class_index == KEYED_ZONE:
                    assert self.entries[before].zone == self.entries[upstream].zone
                if class_index == KEYED_CELL:
                    assert self.entries[before].cell == self.entries[upstream].cell
        self.attempts[request].append((upstream, self.driver.now))

    def arrive(self, class_index: int, within_ms: float) -> None:
        upcoming = self.driver._next_id + 1
        self.classes[upcoming], self.attempts[upcoming] = class_index, []
        self.check(self.driver.arrive(class_index, within_ms)[1])
        if not self.attempts[upcoming]:
            assert upcoming in self.finished, "a new request is neither sent nor answered"

    def end_one(self, index: int, outcome: Outcome) -> None:
        open_ = [
            (r, n)
            for r, sent in self.attempts.items()
            for n in range(len(sent))
            if (r, n) not in self.outcomes
        ]
        if not open_:
            return
        request, number = open_[index % len(open_)]
        self.outcomes[request, number] = outcome
        over = request in self.finished or outcome is Outcome.OK
        if outcome is Outcome.OK:
            self.finished.add(request)
        upstream, at = self.attempts[request][number]
        elapsed = self.driver.now - at
        self.check(self.driver.end_attempt(request, outcome, upstream, number, over, elapsed))

    def disconnect(self, index: int) -> None:
        if self.classes:
            request = sorted(self.classes)[index % len(self.classes)]
            self.finished.add(request)
            self.check(self.driver.event(api.ClientLeft(request)))

    def relist(self, index: int, state: UpstreamState, started: bool) -> None:
        upstream = index % len(self.entries)
        self.ready -= {upstream}
        if state is UpstreamState.READY:
            self.ready.add(upstream)
        e = self.entries[upstream]
        changed = entry(upstream, e.zone, e.cell, state, started_ms=self.driver.now if started else 0.0)
        self.check(self.driver.list_upstreams([changed], ListKind.CHANGES))

    def wait(self, duration_ms: float) -> None:
        """Checks after each timer, since the clock advances between timers."""
        for actions in self.driver.fire_timers(duration_ms):
            self.check(actions)

    def finish(self) -> None:
        """Times out all open attempts and fires all timers; then every request must have its answer."""
        for _ in range(20):
            self.wait(5000.0)
            while any(
                (r, n) not in self.outcomes for r, sent in self.attempts.items() for n in range(len(sent))
            ):
                self.end_one(0, Outcome.TIMEOUT)
        assert self.finished == set(self.classes), "a request was left without an answer"


steps = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.floats(-5, 6000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("wait"), st.floats(0, 3000)),
    st.tuples(st.just("leave"), st.integers(0, 50)),
    st.tuples(st.just("relist"), st.integers(0, 4), st.sampled_from(list(UpstreamState)), st.booleans()),
)


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(
    st.integers(0, 2**64 - 1),
    st.booleans(),
    st.integers(0, 1),
    st.lists(steps, min_size=5, max_size=80),
)
def test_the_rules_hold_under_any_sequence(
    seed: int, second: bool, tier: int, sequence: list[tuple[Any, ...]]
) -> None:
    checker = RuleChecker(seed, second, tier)
    play: dict[str, Callable[..., None]] = {
        "arrive": checker.arrive,
        "end": checker.end_one,
        "wait": checker.wait,
        "leave": checker.disconnect,
        "relist": checker.relist,
    }
    for name, *values in sequence:
        play[name](*values)
    checker.finish()


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play(seed: int) -> list[api.Action]:
        driver = BalancerDriver([entry(n) for n in (9, 4, 77, 2)], seed=seed)
        actions = []
        for n in range(60):
            request, sent = driver.arrive(n % 5)
            actions += sent
            for send in sends(sent):
                actions += driver.end_attempt(request, list(Outcome)[n % 8], send.upstream)
            actions += driver.wait(37.0)
        return actions

    assert play(5) == play(5)
    assert play(5) != play(6)


# Streamed bodies and answers.


def test_a_streamed_body_is_not_resent_and_the_request_may_be_refused() -> None:
    """A connection that breaks before the last byte of the body proves that the request never ran."""
    driver = BalancerDriver([entry(1), entry(2)])
    request, actions = driver.arrive(UNSAFE, within_ms=60_000.0)
    driver.event(api.BodyPassing(request, float("inf")))
    (last,) = driver.end_attempt(request, Outcome.CONNECT_FAILED, sends(actions)[0].upstream)
    assert isinstance(last, api.Refuse)


def test_a_request_with_a_streamed_body_gets_no_second_attempt() -> None:
    driver = BalancerDriver([entry(1), entry(2)])
    for _ in range(20):
        driver.serve(elapsed_ms=20.0)
    request, _ = driver.arrive(within_ms=60_000.0)
    driver.event(api.BodyPassing(request, float("inf")))
    assert not sends(driver.wait(1000))
    driver.event(api.BodyPassing(request, driver.now + 4000))
    assert not sends(driver.wait(1500))
    assert driver.balancer.skipped(driver.now) == 0  # no upstream is ejected because of a slow caller


def test_requests_with_streamed_bodies_or_answers_do_not_use_the_limit() -> None:
    """Guards against refusals because of streamed messages: they occupy no upstream meanwhile."""
    driver = BalancerDriver([entry(1)])
    for _ in range(60):
        request, actions = driver.arrive(within_ms=60_000.0)
        assert sends(actions)
        driver.event(api.BodyPassing(request, float("inf")))
    for _ in range(60):
        request, actions = driver.arrive()
        assert sends(actions)
        driver.event(api.AnswerBegan(request, 0, 1, 5.0))
