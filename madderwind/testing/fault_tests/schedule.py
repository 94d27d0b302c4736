"""One seed gives one schedule: which fault begins when, whom it hits, and what comes at which copy."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

import msgspec

from madderwind.testing.fault_tests.scenario import (
    AnyFault,
    CopyFault,
    LoadFault,
    MessageFault,
    Scenario,
    Which,
)


class FaultOccurrence(msgspec.Struct, frozen=True):
    """One coming of a fault, in milliseconds after the drill's begin, with those that it hits.

    `pairs`: of words, who is not heard as he should be by whom.
    """

    fault: int  # its place among the scenario's
    begin_ms: float
    end_ms: float
    copies: tuple[int, ...] = ()
    upstreams: tuple[int, ...] = ()
    pairs: tuple[tuple[int, int], ...] = ()

    def on(self, at_ms: float) -> bool:
        return self.begin_ms <= at_ms < self.end_ms


class Schedule(msgspec.Struct, frozen=True):
    seed: int
    turns: tuple[FaultOccurrence, ...]  # in order of their begin

    def digest(self) -> str:
        """The same for the same schedule, on any machine."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()[:16]


class Arrival(msgspec.Struct, frozen=True):
    """A request that a client means to send."""

    number: int
    at_ms: float
    copy: int
    class_index: int


def zone_of(number: int, scenario: Scenario) -> int:
    """Copies and upstreams alike stand in the zones by turns."""
    return number % len(scenario.zones)


def upstream_count(scenario: Scenario) -> int:
    return scenario.upstreams.each_zone * len(scenario.zones)


def draw(scenario: Scenario, seed: int) -> Schedule:
    """The schedule of a seed. Each fault draws from a source of its own: one more leaves the others alone."""
    turns: list[FaultOccurrence] = []
    for number, fault in enumerate(scenario.faults):
        chance = random.Random(f"{seed} fault {number}")
        at_ms = _drawn_ms(fault.at_s, chance)
        for _ in range(fault.times):
            end_ms = at_ms + _drawn_ms(fault.for_s, chance)
            turns += _turns(scenario, fault, number, at_ms, end_ms, chance)
            at_ms = end_ms + _drawn_ms(fault.every_s, chance)
    return Schedule(seed, tuple(sorted(turns, key=lambda turn: (turn.begin_ms, turn.fault))))


def _drawn_ms(span: float | tuple[float, ...], chance: random.Random) -> float:
    low_s, high_s = span if isinstance(span, tuple) else (span, span)
    return round(chance.uniform(low_s, high_s) * 1000, 3)


def _turns(
    scenario: Scenario, fault: AnyFault, number: int, begin_ms: float, end_ms: float, chance: random.Random
) -> Iterable[FaultOccurrence]:
    copies, upstreams = range(scenario.copies), range(upstream_count(scenario))

    def chosen(which: Which | None, among: range) -> tuple[int, ...]:
        return () if which is None else _chosen(scenario, which, among, chance)

    match fault:
        case MessageFault():
            senders, hearers = chosen(fault.senders, copies), chosen(fault.hearers, copies)
            pairs = {(a, b) for a in senders for b in hearers if a != b}
            pairs |= {(b, a) for a, b in pairs} if fault.both else set()
            hit = tuple(pair for pair in sorted(pairs) if chance.random() < fault.links)
            yield FaultOccurrence(number, begin_ms, end_ms, pairs=hit)
        case CopyFault():
            hit_copies = chosen(fault.copies, copies)
            for place, copy in enumerate(hit_copies):
                later_ms = fault.spread_s * 1000 * place / len(hit_copies)
                yield FaultOccurrence(number, begin_ms + later_ms, end_ms + later_ms, copies=(copy,))
        case _:
            yield FaultOccurrence(
                number,
                begin_ms,
                end_ms,
                copies=chosen(getattr(fault, "copies", None), copies),
                upstreams=chosen(getattr(fault, "upstreams", None), upstreams),
            )


def _chosen(scenario: Scenario, which: Which, among: range, chance: random.Random) -> tuple[int, ...]:
    left = [n for n in among if which.zone in (None, scenario.zones[zone_of(n, scenario)])]
    left = [n for n in left if which.numbers is None or n in which.numbers]
    if which.part is not None:
        left = chance.sample(left, round(which.part * len(left)))
    if which.count is not None:
        left = chance.sample(left, min(which.count, len(left)))
    return tuple(sorted(left))


def arrivals(scenario: Scenario, schedule: Schedule) -> list[Arrival]:
    """All that clients mean to send, in order; drawn whatever becomes of it (an open loop).

    Times before 0 are the warm-up's. A source a copy, so that one copy's requests stay as they are beside
    others; a load fault thins or thickens what comes while it lasts.
    """
    weights = [scenario.load.uneven ** (n / max(1, scenario.copies - 1)) for n in range(scenario.copies)]
    loads = [t for t in schedule.turns if isinstance(scenario.faults[t.fault], LoadFault)]
    shares = [c.share for c in scenario.load.classes]
    found: list[tuple[float, int, int]] = []
    for copy in range(scenario.copies):
        chance = random.Random(f"{schedule.seed} arrivals {copy}")
        base_per_ms = scenario.load.per_s / 1000 * weights[copy] / sum(weights)
        at_ms = -scenario.warm_up_s * 1000
        while True:
            # In shares of the base load: a wait passes faster while more comes.
            left = chance.expovariate(1.0)
            while left > 0:
                factor = 1.0
                for turn in loads:
                    fault = scenario.faults[turn.fault]
                    if isinstance(fault, LoadFault) and turn.on(at_ms) and copy in turn.copies:
                        factor *= fault.factor
                edges = [edge for t in loads for edge in (t.begin_ms, t.end_ms) if edge > at_ms]
                until_ms = min(edges, default=float("inf"))
                takes_ms = left / (base_per_ms * factor)
                step_ms = min(takes_ms, until_ms - at_ms)
                left = 0.0 if takes_ms <= until_ms - at_ms else left - step_ms * base_per_ms * factor
                at_ms += step_ms
            if at_ms >= scenario.for_s * 1000:
                break
            found.append((at_ms, copy, chance.choices(range(len(shares)), shares)[0]))
    found.sort()
    return [Arrival(n, at_ms, copy, index) for n, (at_ms, copy, index) in enumerate(found)]
