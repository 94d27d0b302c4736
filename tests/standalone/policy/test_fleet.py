"""Forty copies of the module on one clock: what is harmless alone and must be harmless when all do it."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from typing import Any

import pytest

from madderwind.standalone.policy import api, repetition
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from tests.standalone.policy.scripts import Script, entry, sends

COPIES = 40
FALL_MS = 1500.0
LONGEST_MS = 4000.0  # an attempt gives up


class Fleet:
    """Many copies, requests that reach them at random, and upstreams that answer in a time by chance."""

    def __init__(
        self, entries: list[api.UpstreamEntry], seed: int = 1, copies: int = COPIES, **more: object
    ) -> None:
        self.chance = random.Random(seed)
        self.copies = [
            Script(entries, seed * 1000 + me, copies=copies, me=me, **more) for me in range(copies)
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
                late = took_ms >= LONGEST_MS
                outcome = Outcome.TIMEOUT if late else Outcome.OK
                self.copies[me].ends(request, outcome, upstream, elapsed_ms=took_ms)
            me = self.chance.randrange(len(self.copies))
            self.copies[me].now = now
            request, actions = self.copies[me].arrives()
            for send in sends(actions):
                self.sent.append((now, send.upstream))
                took_ms = self.takes_ms(now, send.upstream)
                heapq.heappush(self.out, (now + took_ms, me, request, send.upstream, took_ms))

    def takes_ms(self, now: float, upstream: int) -> float:
        return self.chance.expovariate(1 / 200.0)

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


class Queues(Fleet):
    """Upstreams that serve one request after the other, cold ones by what they can do by then."""

    START, WARM_MS = 0.2, 20_000.0
    started: dict[int, float]
    busy_ms: dict[int, float]
    can_per_s = 0.0

    def can(self, now: float, upstream: int) -> float:
        """Requests a second; of one that is cold the least that its settings allow it."""
        part = self.START + (1 - self.START) * (now - self.started.get(upstream, -math.inf)) / self.WARM_MS
        return self.can_per_s * min(1.0, part)

    def takes_ms(self, now: float, upstream: int) -> float:
        served_ms = self.chance.expovariate(self.can(now, upstream) / 1000)
        self.busy_ms[upstream] = max(now, self.busy_ms.get(upstream, 0.0)) + served_ms
        return min(LONGEST_MS, self.busy_ms[upstream] - now + 20)

    def start(self, at_ms: float, upstreams: range) -> None:
        """These start, and all copies hear of it."""
        self.started.update(dict.fromkeys(upstreams, at_ms))
        self.listed(at_ms, [entry(n, started_ms=at_ms) for n in upstreams])

    def over(self, upstream: int) -> float:
        """The most sent to it in a window since it started, over what rule 4 leaves to it and to chance."""
        times = [at for at, to in self.sent if to == upstream and at >= self.started[upstream]]
        worst, first = 0.0, 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - FALL_MS:
                first += 1
            allowed = 2.5 * self.can(times[first], upstream) * FALL_MS / 1000
            worst = max(worst, (last - first + 1) / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


@pytest.mark.parametrize("copies", [20, 30, 200, 400])
@pytest.mark.parametrize(
    "case", ["all cold", "few warm", "half back at once", "one after the other", "heard of late"]
)
def test_the_sum_of_all_copies_stays_under_what_a_cold_upstream_bears(case: str, copies: int) -> None:
    """Rule 4 over the fleet, nothing told between copies: beyond the budget of N only 2 x root of N + 2 are
    put down to chance. On six seeds, at 240 requests a second, six tenths of what all do when warm."""
    per_s, count, at_ms = 240.0, 12, 50_000.0
    for seed in range(6):
        fleet = Queues([], seed, copies, fall_multiple=2.5, fall_ms=FALL_MS, warm_after_ms=Queues.WARM_MS)
        fleet.started, fleet.busy_ms, fleet.can_per_s = {}, {}, per_s / 0.6 / count
        for n in range(count):
            fleet.listed(0.0, [entry(n)])
        if case == "heard of late":  # by copies that have only just started
            fleet.start(at_ms, range(8, count))
            at_ms += 1000.0
        elif case == "all cold":
            fleet.start(at_ms, range(count))
        else:
            fleet.runs(at_ms - 3000, 3000, per_s)
        if case == "few warm":
            fleet.start(at_ms, range(2, count))
        elif case == "half back at once":
            fleet.start(at_ms, range(6, count))
        for n in range(8) if case == "one after the other" else ():
            fleet.start(at_ms, range(n, n + 1))
            fleet.runs(at_ms, 700, per_s)
            at_ms += 700
        fleet.runs(at_ms, 5000, per_s)
        assert max(fleet.over(n) for n in fleet.started) <= 1.0
        assert {to for at, to in fleet.sent if at >= at_ms} & set(fleet.started)  # and they do their part


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
    fleet = script.balancer._fleet
    return {u.entry.upstream for u in fleet.order[: fleet.subset_size]}


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
    real = repetition.may_be_resent

    def counted(*args: Any) -> bool:
        looked[0] += 1
        return real(*args)

    monkeypatch.setattr(repetition, "may_be_resent", counted)
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
