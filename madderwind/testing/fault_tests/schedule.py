"""Draws the schedule of a seed: the times and targets of faults, and the arrivals of requests at each
copy."""

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
    Selection,
)


class FaultOccurrence(msgspec.Struct, frozen=True):
    """One occurrence of a fault, in milliseconds after the drill's begin, with its targets.

    `pairs`: the (sender, receiver) pairs of copies whose messages are affected.
    """

    fault: int  # its index among the scenario's faults
    begin_ms: float
    end_ms: float
    copies: tuple[int, ...] = ()
    upstreams: tuple[int, ...] = ()
    pairs: tuple[tuple[int, int], ...] = ()

    def on(self, at_ms: float) -> bool:
        return self.begin_ms <= at_ms < self.end_ms


class Schedule(msgspec.Struct, frozen=True):
    seed: int
    turns: tuple[FaultOccurrence, ...]  # in order of begin

    def digest(self) -> str:
        """A hash that is the same for the same schedule on any machine."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()[:16]


class Arrival(msgspec.Struct, frozen=True):
    """A request that a client intends to send."""

    number: int
    at_ms: float
    copy: int
    class_index: int


def zone_of(number: int, scenario: Scenario) -> int:
    """The zone of a copy or upstream; both are assigned round-robin."""
    return number % len(scenario.zones)


def upstream_count(scenario: Scenario) -> int:
    return scenario.upstreams.each_zone * len(scenario.zones)


def draw(scenario: Scenario, seed: int) -> Schedule:
    """Draw the schedule of a seed. Each fault has its own random source, so that adding one doesn't change
    others."""
    turns: list[FaultOccurrence] = []
    for number, fault in enumerate(scenario.faults):
        rng = random.Random(f"{seed} fault {number}")
        at_ms = _draw_ms(fault.at_s, rng)
        for _ in range(fault.times):
            end_ms = at_ms + _draw_ms(fault.for_s, rng)
            turns += _occurrences(scenario, fault, number, at_ms, end_ms, rng)
            at_ms = end_ms + _draw_ms(fault.every_s, rng)
    return Schedule(seed, tuple(sorted(turns, key=lambda turn: (turn.begin_ms, turn.fault))))


def _draw_ms(span: float | tuple[float, ...], rng: random.Random) -> float:
    low_s, high_s = span if isinstance(span, tuple) else (span, span)
    return round(rng.uniform(low_s, high_s) * 1000, 3)


def _occurrences(
    scenario: Scenario, fault: AnyFault, number: int, begin_ms: float, end_ms: float, rng: random.Random
) -> Iterable[FaultOccurrence]:
    copies, upstreams = range(scenario.copies), range(upstream_count(scenario))

    def select(selection: Selection | None, candidates: range) -> tuple[int, ...]:
        return () if selection is None else _select(scenario, selection, candidates, rng)

    match fault:
        case MessageFault():
            senders, hearers = select(fault.senders, copies), select(fault.hearers, copies)
            pairs = {(a, b) for a in senders for b in hearers if a != b}
            pairs |= {(b, a) for a, b in pairs} if fault.both else set()
            affected = tuple(pair for pair in sorted(pairs) if rng.random() < fault.links)
            yield FaultOccurrence(number, begin_ms, end_ms, pairs=affected)
        case CopyFault():
            targets = select(fault.copies, copies)
            for index, copy in enumerate(targets):
                later_ms = fault.spread_s * 1000 * index / len(targets)
                yield FaultOccurrence(number, begin_ms + later_ms, end_ms + later_ms, copies=(copy,))
        case _:
            yield FaultOccurrence(
                number,
                begin_ms,
                end_ms,
                copies=select(getattr(fault, "copies", None), copies),
                upstreams=select(getattr(fault, "upstreams", None), upstreams),
            )


def _select(
    scenario: Scenario, selection: Selection, candidates: range, rng: random.Random
) -> tuple[int, ...]:
    left = [n for n in candidates if selection.zone in (None, scenario.zones[zone_of(n, scenario)])]
    left = [n for n in left if selection.numbers is None or n in selection.numbers]
    if selection.part is not None:
        left = rng.sample(left, round(selection.part * len(left)))
    if selection.count is not None:
        left = rng.sample(left, min(selection.count, len(left)))
    return tuple(sorted(left))


def arrivals(scenario: Scenario, schedule: Schedule) -> list[Arrival]:
    """All requests that clients intend to send, in order and independent of the answers (an open loop).

    Times before 0 belong to the warm-up. Each copy has its own random source, so that its requests don't
    depend on other copies; a load fault multiplies the arrival rate while it is active.
    """
    weights = [scenario.load.uneven ** (n / max(1, scenario.copies - 1)) for n in range(scenario.copies)]
    loads = [t for t in schedule.turns if isinstance(scenario.faults[t.fault], LoadFault)]
    shares = [c.share for c in scenario.load.classes]
    found: list[tuple[float, int, int]] = []
    for copy in range(scenario.copies):
        rng = random.Random(f"{schedule.seed} arrivals {copy}")
        base_per_ms = scenario.load.per_s / 1000 * weights[copy] / sum(weights)
        at_ms = -scenario.warm_up_s * 1000
        while True:
            # The remaining wait in units of the base rate: it passes faster while the rate is higher.
            left = rng.expovariate(1.0)
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
            found.append((at_ms, copy, rng.choices(range(len(shares)), shares)[0]))
    found.sort()
    return [Arrival(n, at_ms, copy, index) for n, (at_ms, copy, index) in enumerate(found)]
