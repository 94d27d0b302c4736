"""Forty copies of the module on one clock: what is harmless alone and must be harmless when all do it."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import Any

import pytest

from madderwind.policy import api, balancer
from madderwind.policy.api import ListKind, Outcome, UpstreamState
from tests.policy.scripts import Script, entry, sends

COPIES = 40
FALL_MS = 1500.0


class Fleet:
    """Many copies, requests that reach them at random, and upstreams that answer in a time by chance."""

    def __init__(self, entries: list[api.UpstreamEntry], seed: int = 1, **more: object) -> None:
        self.chance = random.Random(seed)
        self.copies = [
            Script(entries, seed * 1000 + me, copies=COPIES, me=me, **more) for me in range(COPIES)
        ]
        self.sent: list[tuple[float, int]] = []  # when, to which upstream
        self.out: list[tuple[float, int, int, int, float]] = []  # attempts, by when they are answered

    def listed(self, at_ms: float, entries: list[api.UpstreamEntry]) -> None:
        for copy in self.copies:
            copy.now = at_ms
            copy.listed(entries, ListKind.CHANGES)

    def runs(self, from_ms: float, for_ms: float, per_s: float) -> None:
        """Requests at random until then, answered after 200 ms in the mean."""
        now = from_ms
        while now < from_ms + for_ms:
            now += self.chance.expovariate(per_s / 1000)
            while self.out and self.out[0][0] <= now:
                at_ms, me, request, upstream, took_ms = heapq.heappop(self.out)
                self.copies[me].now = at_ms
                self.copies[me].ends(request, Outcome.OK, upstream, elapsed_ms=took_ms)
            me = self.chance.randrange(COPIES)
            self.copies[me].now = now
            request, actions = self.copies[me].arrives()
            for send in sends(actions):
                self.sent.append((now, send.upstream))
                took_ms = self.chance.expovariate(1 / 200.0)
                heapq.heappush(self.out, (now + took_ms, me, request, send.upstream, took_ms))

    def most_in_a_window(self, upstream: int, from_ms: float) -> tuple[int, float]:
        """The most sent to an upstream in any window of the fall's length, and when that window began."""
        times = [at_ms for at_ms, to in self.sent if to == upstream and at_ms >= from_ms]
        best, first = (0, from_ms), 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - FALL_MS:
                first += 1
            best = max(best, (last - first + 1, times[first]))
        return best


@pytest.mark.parametrize("tells", [False, True])
def test_all_copies_together_do_not_push_cold_upstreams_over(tells: bool) -> None:
    """A wave: six in ten are new. Rule 4 counts all copies, and each has to hold it alone."""
    warm, wave = range(12), range(20, 38)
    fleet = Fleet([entry(n) for n in warm], fall_multiple=2.5, fall_ms=FALL_MS, ratings_tell_size=tells)
    fleet.runs(50_000.0, 3000.0, 240.0)
    began_ms = 53_000.0
    fleet.listed(began_ms, [entry(n, started_ms=began_ms) for n in wave])
    fleet.runs(began_ms, 6000.0, 240.0)
    load = Counter(to for at_ms, to in fleet.sent if at_ms >= began_ms)
    a_warm_one = sum(load[n] for n in warm) / len(warm) / 6000.0 * FALL_MS
    assert sum(load[n] for n in wave) > 0
    for n in wave:
        most, at_ms = fleet.most_in_a_window(n, began_ms)
        can = a_warm_one * (0.2 + 0.8 * (at_ms - began_ms) / 20_000.0)
        assert most <= 2.5 * can + 3  # with a little slack for chance, as the rule has


def test_newcomers_whose_size_is_told_get_more_than_their_least() -> None:
    """Guards against a wave that crowds those left: most can do more than the least told."""
    shares = []
    for tells in (False, True):
        fleet = Fleet([entry(n) for n in range(8)], fall_multiple=2.5, ratings_tell_size=tells)
        fleet.listed(50_000.0, [entry(n, started_ms=45_000.0) for n in (20, 21, 22, 23)])
        fleet.runs(50_000.0, 8000.0, 160.0)
        load = Counter(to for _, to in fleet.sent)
        shares.append(sum(load[n] for n in (20, 21, 22, 23)) / sum(load.values()))
    assert shares[1] > 1.3 * shares[0]


def neighbours(script: Script) -> set[int]:
    picker = script.balancer._picker
    return {u.entry.upstream for u in picker._order[: picker._near]}


@pytest.mark.parametrize("ratings", [(1.0, 1.0, 1.0), (4.0, 3.0, 1.5)])
@pytest.mark.parametrize("replaced", [1, 36])
@pytest.mark.parametrize("newcomers_first", [False, True])
def test_a_change_of_the_list_moves_few_neighbours(
    replaced: int, ratings: tuple[float, ...], newcomers_first: bool
) -> None:
    """Guards against one change that gives all copies other neighbours, and all connect anew at once."""

    def rating(n: int) -> float:
        return ratings[n % len(ratings)]

    gone = [entry(n, state=api.UpstreamState.GONE, rating=rating(n)) for n in range(replaced)]
    new = [entry(100 + n, rating=rating(n)) for n in range(replaced)]
    moved = lived_on = 0
    load: Counter[int] = Counter()
    for me in range(COPIES):
        script = Script([entry(n, rating=rating(n)) for n in range(60)], me, copies=COPIES, me=me)
        before = {n for n in neighbours(script) if n >= replaced}
        for change in (new, gone) if newcomers_first else (gone, new):
            script.listed(change, ListKind.CHANGES)
        moved, lived_on = moved + len(before - neighbours(script)), lived_on + len(before)
        load.update(neighbours(script))
    assert moved <= 0.15 * lived_on
    assert len(load) == 60  # each upstream is near to some copies, and to no more than twice its even part
    assert min(load.values()) >= 2
    assert max(load.values()) <= 16


def test_a_list_that_grows_from_nothing_leaves_no_upstream_without_copies() -> None:
    """A balancer that starts without a list hears of upstreams one by one; places must not bunch."""
    load: Counter[int] = Counter()
    for me in range(COPIES):
        script = Script([], me, copies=COPIES, me=me)
        for n in range(60):
            script.listed([entry(n)], ListKind.CHANGES)
        load.update(neighbours(script))
    assert len(load) == 60
    assert max(load.values()) <= 16


def test_a_calm_pick_looks_at_few_upstreams_however_many_there_are(monkeypatch: pytest.MonkeyPatch) -> None:
    """A count, not a time: guards against a pick that walks the whole fleet for each request."""
    looked = [0]
    real = balancer.may_be_resent

    def counted(*args: Any) -> bool:
        looked[0] += 1
        return real(*args)

    monkeypatch.setattr(balancer, "may_be_resent", counted)
    per_pick = {}
    for size in (60, 600):
        script = Script([entry(n) for n in range(size)], copies=size * 2 // 3)
        looked[0] = 0
        for _ in range(20):
            script.serve()
        per_pick[size] = looked[0] / 20
    assert per_pick[60] == per_pick[600] <= 12  # the nearest, which are as many at both sizes


def test_forty_copies_that_restore_one_upstream_together_do_not_push_it_over() -> None:
    """Rule 4 after maintenance: it was restarted, and all copies hear of its return at once."""
    others = range(12)
    fleet = Fleet([entry(n) for n in range(13)], fall_multiple=2.5, fall_ms=FALL_MS)
    fleet.runs(50_000.0, 2000.0, 240.0)
    fleet.listed(52_000.0, [entry(12, state=UpstreamState.SUSPENDED)])
    fleet.runs(52_000.0, 2000.0, 240.0)
    assert not [to for at_ms, to in fleet.sent if to == 12 and at_ms >= 52_000.0]
    assert [copy.balancer.skipped(copy.now) for copy in fleet.copies] == [1] * COPIES
    fleet.listed(54_000.0, [entry(12, started_ms=54_000.0)])
    fleet.runs(54_000.0, 6000.0, 240.0)
    load = Counter(to for at_ms, to in fleet.sent if at_ms >= 54_000.0)
    a_warm_one = sum(load[n] for n in others) / len(others) / 6000.0 * FALL_MS
    most, at_ms = fleet.most_in_a_window(12, 54_000.0)
    assert 0 < most <= 2.5 * a_warm_one * (0.2 + 0.8 * (at_ms - 54_000.0) / 20_000.0) + 3
