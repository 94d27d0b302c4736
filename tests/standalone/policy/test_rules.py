"""The four rules: examples, and sequences of odd but legal events."""

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
    Script,
    a_class,
    answers,
    entry,
    sends,
)

RAN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


# -- one final answer


def test_a_request_past_its_deadline_is_answered_at_once_without_an_attempt() -> None:
    script = Script([entry(1)])
    request, actions = script.arrives(within_ms=-1.0)
    assert [a.request_id for a in answers(actions)] == [request] and not sends(actions)


def test_an_unknown_class_is_failed_and_an_unknown_tenant_is_served() -> None:
    script = Script([entry(1)], tenants=(api.Tenant(1.0, 10.0),))
    _, actions = script.arrives(klass=200)
    assert isinstance(answers(actions)[0], api.Fail)
    _, actions = script.arrives(tenant=77)
    assert sends(actions)


def test_nothing_follows_a_client_that_left() -> None:
    script = Script([entry(1), entry(2)])
    request, actions = script.arrives()
    script.ends(request, Outcome.ERROR, sends(actions)[0].upstream)
    assert script.event(api.ClientLeft(request)) == []
    later = script.wait(5000)
    assert not sends(later) and not answers(later)


def test_a_time_out_at_the_deadline_is_answered() -> None:
    script = Script([entry(1)])
    request, actions = script.arrives(UNSAFE)
    script.now += 4000
    actions = script.ends(request, Outcome.TIMEOUT, 1, elapsed_ms=4000.0)
    assert actions == [api.Fail(request)]


def test_a_stream_that_has_begun_is_never_sent_again() -> None:
    script = Script([entry(1), entry(2)], classes=(a_class(streamed=True),))
    for _ in range(20):
        script.serve(elapsed_ms=20.0)
    request, actions = script.arrives()
    script.event(api.AnswerBegan(request, 0, sends(actions)[0].upstream, 5.0))
    assert not sends(script.wait(1500))


# -- no effect twice


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_work_that_may_have_run_is_neither_resent_nor_refused(outcome: Outcome) -> None:
    script = Script([entry(1), entry(2)])
    request, actions = script.arrives(UNSAFE)
    assert script.ends(request, outcome, sends(actions)[0].upstream) == [api.Fail(request)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_unsafe_work_that_never_ran_is_resent(outcome: Outcome) -> None:
    script = Script([entry(1), entry(2)])
    request, actions = script.arrives(UNSAFE)
    assert not answers(script.ends(request, outcome, sends(actions)[0].upstream))
    later = script.wait(1000)
    assert sends(later) or isinstance(answers(later)[0], api.Refuse)


@pytest.mark.parametrize("klass", [KEYED_ZONE, KEYED_CELL])
def test_keyed_work_that_may_have_run_stays_in_its_group(klass: int) -> None:
    fleet = [entry(n, zone=n % 2, cell=6 + n % 2) for n in range(6)]
    for seed in range(30):
        script = Script(fleet, seed=seed)
        request, actions = script.arrives(klass)
        (first,) = sends(actions)
        script.ends(request, Outcome.RESET, first.upstream)
        for retry in sends(script.wait(200)):
            assert retry.upstream % 2 == first.upstream % 2


def test_keyed_work_outside_its_group_is_failed_not_refused() -> None:
    script = Script([entry(1, zone=0)])
    request, actions = script.arrives(KEYED_ZONE)
    script.listed([entry(2, zone=1)])
    assert script.ends(request, Outcome.RESET, 1) == [api.Fail(request)]


def test_keyed_work_is_not_resent_past_its_window() -> None:
    window = (a_class(api.Effect.KEYED, window_ms=500.0),)
    for seed in range(20):
        script = Script([entry(1), entry(2)], seed=seed, classes=window)
        request, actions = script.arrives()
        script.now += 499.0
        script.ends(request, Outcome.ERROR, sends(actions)[0].upstream, elapsed_ms=499.0)
        assert all(script.now <= 1500.0 for _ in sends(script.wait(200)))
        assert not sends(script.wait(4000))


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    for allowed in (True, False):
        script = Script([entry(1), entry(2)], second_copies=allowed)
        for _ in range(20):
            script.serve(elapsed_ms=50.0)
        script.arrives()
        assert bool(sends(script.wait(1000))) is allowed


# -- cold upstreams


def cold_share(copies: int, age_ms: float) -> float:
    """What a cold upstream of four gets of a warm one's load, over many copies with little traffic each."""
    load: Counter[int] = Counter()
    for seed in range(copies):
        script = Script([entry(n) for n in range(3)], seed=seed)
        script.now = 50_000.0
        script.listed([entry(9, started_ms=script.now - age_ms)], ListKind.CHANGES)
        for _ in range(12):
            load[script.serve()] += 1
    return load[9] / (sum(load[n] for n in range(3)) / 3)


def test_a_cold_upstream_gets_its_part_from_all_copies_together() -> None:
    young, older = cold_share(200, 10.0), cold_share(200, 10_000.0)
    assert 0.05 < young < 0.25  # it can do a fifth of its work
    assert 1.5 * young < older < 0.65  # and six tenths half way


def wave_share(copies: int, cold: int) -> float:
    """What a cold upstream gets of a warm one's load where two warm ones are left among many cold."""
    load: Counter[int] = Counter()
    for seed in range(copies):
        script = Script([entry(n) for n in range(2)], seed=seed)
        script.now = 50_000.0
        script.listed([entry(10 + n, started_ms=40_000.0) for n in range(cold)], ListKind.CHANGES)
        for _ in range(12):
            load[script.serve()] += 1
    return sum(load[10 + n] for n in range(cold)) / cold / ((load[0] + load[1]) / 2)


def test_many_newcomers_get_no_less_each_than_few() -> None:
    """Guards against a wave of replacements that crowds the few warm ones left while newcomers stand idle."""
    few, many = wave_share(100, cold=2), wave_share(100, cold=8)
    assert 0.2 < many < 0.6  # they can do six tenths of their work
    assert many > 0.75 * few


def test_a_cold_upstream_earns_by_its_size() -> None:
    """Guards against a big newcomer left idle beside small warm ones, and a small one that is pushed over."""
    load: Counter[int] = Counter()
    for seed in range(200):
        script = Script([entry(n, rating=2.0) for n in range(3)], seed=seed, ratings_tell_size=True)
        script.now = 50_000.0
        newcomers = [entry(8, rating=1.0, started_ms=45_000.0), entry(9, rating=4.0, started_ms=45_000.0)]
        script.listed(newcomers, ListKind.CHANGES)
        for _ in range(24):
            load[script.serve()] += 1
    assert 2.0 < load[9] / load[8] < 6.0


def test_what_is_sent_and_not_answered_earns_a_cold_upstream_nothing() -> None:
    """Guards against cold upstreams pushed over in step with warm ones sent more than they can do."""
    script = Script([entry(n) for n in range(2)])
    script.now = 50_000.0
    script.listed([entry(9, started_ms=49_000.0)], ListKind.CHANGES)
    upstreams = [s.upstream for _ in range(14) for s in sends(script.arrives()[1])]
    assert len(upstreams) > 10
    assert 9 not in upstreams


def test_a_copy_that_restarts_holds_a_cold_upstream_back_too() -> None:
    first = 0
    for seed in range(200):
        script = Script([entry(1), entry(2), entry(9, started_ms=990.0)], seed=seed)
        first += script.serve() == 9
    assert first <= 2


def test_where_all_are_cold_each_takes_one_attempt_at_a_time() -> None:
    script = Script([entry(n, started_ms=999.0) for n in range(3)])
    results = [script.arrives()[1] for _ in range(5)]
    assert sorted(s.upstream for r in results for s in sends(r)) == [0, 1, 2]
    assert len([a for r in results for a in answers(r)]) == 2


@pytest.mark.parametrize(("failed_connects", "is_restart"), [(1, False), (2, False), (3, True)])
def test_life_after_failed_connects_counts_as_a_restart(failed_connects: int, is_restart: bool) -> None:
    """Two may be their connections' alone: guards against holding back as cold what never stopped."""
    script = Script([entry(1), entry(2), entry(3)], max_attempts=1)
    for _ in range(failed_connects):
        while True:
            request, actions = script.arrives()
            upstream = sends(actions)[0].upstream
            if upstream == 1:
                break
            script.ends(request, Outcome.OK, upstream)
        script.ends(request, Outcome.CONNECT_FAILED, 1)
        script.now += 60_000
    while script.serve() != 1:
        pass
    load = Counter(script.serve() for _ in range(60))
    assert (load[1] < 0.5 * (load[2] + load[3]) / 2) is is_restart


def test_a_reset_connection_makes_no_upstream_cold() -> None:
    """Guards against calling a restart what was one connection's end: soon all were held back as cold."""
    script = Script([entry(1), entry(2)], max_attempts=1)
    for _ in range(40):
        request, actions = script.arrives()
        script.ends(request, Outcome.RESET, sends(actions)[0].upstream)
        script.now += 60_000
    for _ in range(8):
        script.serve()  # life after it
    assert (
        min(
            u.warmth(script.now, script.balancer._settings) for u in script.balancer._fleet.upstreams.values()
        )
        == 1
    )


# -- all rules under odd but legal sequences


class Watch:
    """Plays random legal events and checks every action against the rules as the wire page words them."""

    def __init__(self, seed: int, second_copies: bool, tier: int) -> None:
        fleet = [entry(n, zone=n % 2, cell=n % 3) for n in range(5)]
        self.entries = {e.upstream: e for e in fleet}
        self.ready = set(self.entries)
        self.second_copies = second_copies
        self.klass: dict[int, int] = {}
        self.over: set[int] = set()
        self.sent: dict[int, list[tuple[int, float]]] = {}
        self.ended: dict[tuple[int, int], Outcome] = {}
        self.script = Script(fleet, seed=seed, second_copies=second_copies, tier=tier)

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.check_send(action.request_id, action.upstream)
            elif isinstance(action, api.Refuse | api.Fail):
                request = action.request_id
                assert request in self.klass and request not in self.over, "one final answer"
                if isinstance(action, api.Refuse):
                    ran = self.may_have_run(request)
                    assert not ran or self.klass[request] in (SAFE, KEYED_ALL), "refused what may have run"
                self.over.add(request)

    def may_have_run(self, request: int) -> list[tuple[int, float]]:
        return [
            attempt
            for number, attempt in enumerate(self.sent[request])
            if self.ended.get((request, number)) not in NEVER_RAN
        ]

    def check_send(self, request: int, upstream: int) -> None:
        assert request not in self.over, "sent for a request that is over"
        assert upstream in self.ready, "sent to an upstream that drains or is gone"
        klass, ran = self.klass[request], self.may_have_run(request)
        open_ = [n for n in range(len(self.sent[request])) if (request, n) not in self.ended]
        assert self.second_copies or not open_, "two attempts out"
        assert len(self.sent[request]) < 4, "too many attempts"
        if ran and klass != SAFE:
            assert klass != UNSAFE, "unsafe work sent again"
            assert self.script.now < min(at for _, at in ran) + CLASSES[klass].window_ms, "past the window"
            for before, _ in ran:
                if klass == KEYED_ZONE:
                    assert self.entries[before].zone == self.entries[upstream].zone
                if klass == KEYED_CELL:
                    assert self.entries[before].cell == self.entries[upstream].cell
        self.sent[request].append((upstream, self.script.now))

    def arrive(self, klass: int, within_ms: float) -> None:
        upcoming = self.script._next_id + 1
        self.klass[upcoming], self.sent[upcoming] = klass, []
        self.check(self.script.arrives(klass, within_ms)[1])
        if not self.sent[upcoming]:
            assert upcoming in self.over, "a new request is neither sent nor answered"

    def end_one(self, which: int, outcome: Outcome) -> None:
        open_ = [
            (r, n) for r, sent in self.sent.items() for n in range(len(sent)) if (r, n) not in self.ended
        ]
        if not open_:
            return
        request, number = open_[which % len(open_)]
        self.ended[request, number] = outcome
        over = request in self.over or outcome is Outcome.OK
        if outcome is Outcome.OK:
            self.over.add(request)
        upstream, at = self.sent[request][number]
        elapsed = self.script.now - at
        self.check(self.script.ends(request, outcome, upstream, number, over, elapsed))

    def leave(self, which: int) -> None:
        if self.klass:
            request = sorted(self.klass)[which % len(self.klass)]
            self.over.add(request)
            self.check(self.script.event(api.ClientLeft(request)))

    def relist(self, which: int, state: UpstreamState, started: bool) -> None:
        upstream = which % len(self.entries)
        self.ready -= {upstream}
        if state is UpstreamState.READY:
            self.ready.add(upstream)
        e = self.entries[upstream]
        changed = entry(upstream, e.zone, e.cell, state, started_ms=self.script.now if started else 0.0)
        self.check(self.script.listed([changed], ListKind.CHANGES))

    def wait(self, up_to_ms: float) -> None:
        """Checks after each timer, since the clock moves between them."""
        for actions in self.script.fires(up_to_ms):
            self.check(actions)

    def finish(self) -> None:
        """Every open attempt times out and every timer fires: nothing may stay without an answer."""
        for _ in range(20):
            self.wait(5000.0)
            while any((r, n) not in self.ended for r, sent in self.sent.items() for n in range(len(sent))):
                self.end_one(0, Outcome.TIMEOUT)
        assert self.over == set(self.klass), "a request was left without an answer"


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
    seed: int, second: bool, tier: int, script: list[tuple[Any, ...]]
) -> None:
    watch = Watch(seed, second, tier)
    play: dict[str, Callable[..., None]] = {
        "arrive": watch.arrive,
        "end": watch.end_one,
        "wait": watch.wait,
        "leave": watch.leave,
        "relist": watch.relist,
    }
    for name, *values in script:
        play[name](*values)
    watch.finish()


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play(seed: int) -> list[api.Action]:
        script = Script([entry(n) for n in (9, 4, 77, 2)], seed=seed)
        actions = []
        for n in range(60):
            request, sent = script.arrives(n % 5)
            actions += sent
            for send in sends(sent):
                actions += script.ends(request, list(Outcome)[n % 8], send.upstream)
            actions += script.wait(37.0)
        return actions

    assert play(5) == play(5)
    assert play(5) != play(6)


# -- long messages


def test_a_body_that_was_let_go_is_not_sent_again_and_may_be_refused() -> None:
    """A break before the last byte proves that it never ran."""
    script = Script([entry(1), entry(2)])
    request, actions = script.arrives(UNSAFE, within_ms=60_000.0)
    script.event(api.BodyPassing(request, float("inf")))
    (last,) = script.ends(request, Outcome.CONNECT_FAILED, sends(actions)[0].upstream)
    assert isinstance(last, api.Refuse)


def test_a_body_that_was_let_go_gets_no_second_copy() -> None:
    script = Script([entry(1), entry(2)])
    for _ in range(20):
        script.serve(elapsed_ms=20.0)
    request, _ = script.arrives(within_ms=60_000.0)
    script.event(api.BodyPassing(request, float("inf")))
    assert not sends(script.wait(1000))
    script.event(api.BodyPassing(request, script.now + 4000))
    assert not sends(script.wait(1500))
    assert script.balancer.skipped(script.now) == 0  # nobody is blamed for a caller that is slow


def test_long_messages_on_their_way_take_no_room() -> None:
    """Guards against long messages that crowd out all others: no upstream has work with them."""
    script = Script([entry(1)])
    for _ in range(60):
        request, actions = script.arrives(within_ms=60_000.0)
        assert sends(actions)
        script.event(api.BodyPassing(request, float("inf")))
    for _ in range(60):
        request, actions = script.arrives()
        assert sends(actions)
        script.event(api.AnswerBegan(request, 0, 1, 5.0))
