"""Zones that fail, or do not, over hours: who leaves what, how soon, and what goes into the dark meanwhile.

The decisions on zones and the messages between copies are the program's own; requests and upstreams are the
simplest that show what a copy can see. What this is for is time: an hour with single upstreams that fail,
slow spells of all and lost messages, in which nothing may be left.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from typing import Annotated, Any

import msgspec

from madderwind.standalone.evacuation import actions, evacuation
from madderwind.standalone.evacuation.areas import EvacuationSettings, Place
from madderwind.standalone.evacuation.observations import Key
from madderwind.standalone.gossip import membership as gossip
from madderwind.standalone.gossip.wire import Kind
from madderwind.standalone.policy.api import Outcome
from madderwind.testing.simulation.experiment import (
    Count,
    ExperimentError,
    NotNegative,
    Part,
    Positive,
    Varied,
    read_varied,
    variant_of,
)
from madderwind.testing.simulation.timeline import Due, Timeline

DEADLINE_MS, ASIDE_MS = 3000.0, 2000.0


class Outages(Varied, frozen=True, kw_only=True):
    """Copies and upstreams stand in the zones by turns. `single_every_s`: one upstream or another is silent
    for a time; `slow_every_s`: all are slow by `slow_factor` for `slow_s`; `burst_every_s`: so much more
    comes for as long. `lost_at_s`: zone `lost` is silent for `lost_s`; 0: never."""

    name: str
    question: str
    copies: Annotated[int, msgspec.Meta(ge=2, le=2000)] = 12
    zones: tuple[str, ...] = ("a", "b", "c")
    each_zone: Count = 4
    per_s: Positive = 60.0
    work_ms: Positive = 40.0
    loss: Part = 0.1
    late_ms: Annotated[tuple[NotNegative, ...], msgspec.Meta(min_length=2, max_length=2)] = (0.2, 20.0)
    single_every_s: NotNegative = 0.0
    single_s: Positive = 20.0
    slow_every_s: NotNegative = 0.0
    slow_factor: Positive = 4.0
    slow_s: Positive = 5.0
    burst_every_s: NotNegative = 0.0
    burst_factor: Positive = 3.0
    lost: str = "b"
    lost_at_s: NotNegative = 0.0
    lost_s: Positive = 10.0
    for_s: Positive = 60.0


class OutageRecord(msgspec.Struct, frozen=True):
    """`left`: copies that left the lost zone with the others; `within_ms`: the last after the first. `wrong`:
    leaves of all, or of a zone's copies, of what was not lost; `wrong_alone`: of single copies for
    themselves. `dark_most_per_s`: into the lost zone from the third second on. `back_ms`: until half of the
    copies had all of it back."""

    chosen: dict[str, Any]
    seed: int
    requests: int
    left: int
    first_ms: float
    within_ms: float
    wrong: int
    wrong_alone: int
    dark_most_per_s: int
    back_ms: float


class _Copy:
    def __init__(self, world: World, number: int, seed: int) -> None:
        outages = world.outages
        zone = outages.zones[number % len(outages.zones)]
        self.membership = gossip.Membership(number, outages.copies, seed * 100_003 + number, 1, "lab")
        self.leaving = evacuation.ZoneEvacuation(
            number, zone, EvacuationSettings(), lambda: [number, *self.membership.members.living()], 20_000.0
        )
        self.owed: list[int] = []
        self.withheld: set[int] = set()
        self.aside_ms: dict[int, float] = defaultdict(float)
        self.open: dict[Key, int] = {}


class World:
    def __init__(self, outages: Outages, seed: int) -> None:
        self.outages, self._timeline = outages, Timeline()
        self._chance = random.Random(f"{seed} outages")
        self._places = {
            number: Place(number + 1, outages.zones[number % len(outages.zones)], 1.0, 0.0)
            for number in range(outages.each_zone * len(outages.zones))
        }
        self._copies = [_Copy(self, number, seed) for number in range(outages.copies)]
        self._due = Due(self._timeline, self._gossip)
        self._silent: set[int] = set()
        self._slow = self._burst = 1.0
        self._requests = 0
        self._left_ms: dict[int, float] = {}
        self._back_ms: dict[int, float] = {}
        self.wrong: Counter[str] = Counter()
        self._dark: Counter[int] = Counter()

    # --- what goes wrong ---

    def _every(self, every_s: float, for_s: float, begin: Any, end: Any) -> None:
        if every_s <= 0:
            return

        def turn() -> None:
            what = begin()
            self._timeline.after(for_s * 1000 * self._chance.uniform(0.5, 1.5), lambda: end(what))
            self._timeline.after(self._chance.expovariate(1 / every_s) * 1000, turn)

        self._timeline.after(self._chance.expovariate(1 / every_s) * 1000, turn)

    def _fail_one(self) -> int:
        number = self._chance.choice(list(self._places))
        self._silent.add(number)
        return number

    def _be(self, slow: float = 1.0, burst: float = 1.0) -> None:
        self._slow, self._burst = slow, burst

    def _lose(self, gone: bool) -> None:
        inside = {n for n, place in self._places.items() if place.zone == self.outages.lost}
        self._silent = self._silent | inside if gone else self._silent - inside

    def _is_lost(self, after_ms: float = 0.0, still_ms: float = 0.0) -> bool:
        begin_ms = self.outages.lost_at_s * 1000
        end_ms = begin_ms + self.outages.lost_s * 1000
        return begin_ms > 0 and begin_ms + after_ms <= self._timeline.now_ms < end_ms + still_ms

    # --- requests ---

    def _comes(self) -> None:
        per_s = self.outages.per_s * self._burst
        self._timeline.after(self._chance.expovariate(per_s) * 1000, self._comes)
        copy = self._chance.choice(self._copies)
        now_ms = self._timeline.now_ms
        able = [n for n in self._places if n not in copy.withheld]
        sound = [n for n in able if copy.aside_ms[n] <= now_ms] or able
        if copy.owed or sound:
            self._send(copy, copy.owed.pop() if copy.owed else self._chance.choice(sound))

    def _send(self, copy: _Copy, upstream: int) -> None:
        self._requests += 1
        key, now_ms = (self._requests, 0), self._timeline.now_ms
        copy.open[key] = upstream
        copy.leaving.observations.began(now_ms, upstream, key)
        if self._places[upstream].zone == self.outages.lost and self._is_lost(after_ms=3000):
            self._dark[int(now_ms // 1000)] += 1
        took_ms = self._chance.expovariate(1 / (self.outages.work_ms * self._slow))
        self._timeline.after(min(took_ms, DEADLINE_MS), lambda: self._answers(copy, key, upstream, took_ms))

    def _answers(self, copy: _Copy, key: Key, upstream: int, took_ms: float) -> None:
        """What is on its way when its upstream falls silent is lost as well."""
        if took_ms >= DEADLINE_MS:
            self._ends(copy, key, Outcome.TIMEOUT, DEADLINE_MS)
        elif upstream in self._silent:
            left_ms = DEADLINE_MS - took_ms
            self._timeline.after(left_ms, lambda: self._answers(copy, key, upstream, DEADLINE_MS))
        else:
            self._ends(copy, key, Outcome.OK, took_ms)

    def _ends(self, copy: _Copy, key: Key, outcome: Outcome, took_ms: float) -> None:
        upstream = copy.open.pop(key, None)
        if upstream is None:
            return  # taken back
        if outcome is Outcome.TIMEOUT:
            copy.aside_ms[upstream] = self._timeline.now_ms + ASIDE_MS
        copy.leaving.observations.ended(self._timeline.now_ms, key, outcome, took_ms)

    # --- copies ---

    def _tick(self, number: int) -> None:
        self._timeline.after(evacuation.TICK_MS, lambda: self._tick(number))
        self._left(number, self._copies[number].leaving.tick(self._timeline.now_ms))

    def _left(self, number: int, decided: list[actions.Action]) -> None:
        copy, now_ms = self._copies[number], self._timeline.now_ms
        for action in decided:
            match action:
                case actions.Withhold(upstreams):
                    copy.withheld |= upstreams
                    copy.owed = [n for n in copy.owed if n not in upstreams]
                case actions.Reopen(upstreams, _, owed):
                    copy.withheld -= upstreams
                    copy.owed += sorted(upstreams) if owed else []
                case actions.TakeBack(key):
                    copy.open.pop(key, None)
                    copy.leaving.observations.ended(now_ms, key, Outcome.CANCELLED, 0.0)
                case actions.TellView(payload):
                    self._say(number, copy.membership.tell_view(now_ms, payload))
                case actions.TellEvacuation(order, payload):
                    self._say(number, copy.membership.tell_shared(now_ms, order, payload))
                case actions.LogEvent(event, fields):
                    self._note(number, event, fields)

    def _note(self, number: int, event: str, fields: dict[str, Any]) -> None:
        now_ms = self._timeline.now_ms
        if event == "area_left":
            if fields["area"] == self.outages.lost and self._is_lost(still_ms=1000):
                self._left_ms.setdefault(number, now_ms)
            elif number in fields["witnesses"][:1] or fields["scope"] == "self":
                self.wrong["alone" if fields["scope"] == "self" else "together"] += 1
        elif event == "area_returned":
            self._back_ms[number] = now_ms

    def _say(self, number: int, actions: list[gossip.Action]) -> None:
        for action in actions:
            match action:
                case gossip.Send(peer, data):
                    if self._chance.random() >= self.outages.loss:
                        late_ms = self._chance.uniform(*self.outages.late_ms)
                        self._timeline.after(
                            late_ms,
                            lambda p=peer, d=data: self._arrives(number, p, d),  # type: ignore[misc]
                        )
                case gossip.Heard(origin, payload, Kind.VIEW):
                    self._copies[number].leaving.heard_view(self._timeline.now_ms, origin, payload)
                case gossip.Heard(_, payload, Kind.SHARED, order):
                    now_ms = self._timeline.now_ms
                    self._left(number, self._copies[number].leaving.heard_evacuation(now_ms, order, payload))
        self._due.at(number, self._copies[number].membership.due_ms)

    def _gossip(self, number: int) -> None:
        self._say(number, self._copies[number].membership.tick(self._timeline.now_ms))

    def _arrives(self, sender: int, hearer: int, data: bytes) -> None:
        self._copies[hearer].leaving.heard_message(self._timeline.now_ms)
        self._say(hearer, self._copies[hearer].membership.receive(self._timeline.now_ms, sender, data))

    # --- the run ---

    def run(self) -> None:
        outages = self.outages
        for number, copy in enumerate(self._copies):
            self._left(number, copy.leaving.listed(0.0, self._places))
            self._timeline.at(self._chance.uniform(0, 100), lambda n=number: self._tick(n))  # type: ignore[misc]
            self._timeline.at(self._chance.uniform(0, 500), lambda n=number: self._say(n, []))  # type: ignore[misc]
        self._comes()
        self._every(outages.single_every_s, outages.single_s, self._fail_one, self._silent.discard)
        self._every(
            outages.slow_every_s,
            outages.slow_s,
            lambda: self._be(slow=outages.slow_factor),
            lambda _: self._be(),
        )
        self._every(
            outages.burst_every_s,
            outages.slow_s,
            lambda: self._be(burst=outages.burst_factor),
            lambda _: self._be(),
        )
        if outages.lost_at_s:
            self._timeline.at(outages.lost_at_s * 1000, lambda: self._lose(True))
            self._timeline.at((outages.lost_at_s + outages.lost_s) * 1000, lambda: self._lose(False))
        self._timeline.run(outages.for_s * 1000)

    def record(self, chosen: dict[str, Any], seed: int) -> OutageRecord:
        begin_ms = self.outages.lost_at_s * 1000
        left, back = sorted(self._left_ms.values()), sorted(self._back_ms.values())
        half = self.outages.copies // 2
        return OutageRecord(
            chosen=chosen,
            seed=seed,
            requests=self._requests,
            left=len(left),
            first_ms=round(left[0] - begin_ms) if left else -1,
            within_ms=round(left[-1] - left[0]) if left else -1,
            wrong=self.wrong["together"],
            wrong_alone=self.wrong["alone"],
            dark_most_per_s=max(self._dark.values(), default=0),
            back_ms=round(back[half] - begin_ms - self.outages.lost_s * 1000) if len(back) > half else -1,
        )


def read(path: Path) -> Outages:
    """The file's outages, with every variant checked. ExperimentError names file and place."""
    return read_varied(path, Outages, _check)


def _check(path: Path, outages: Outages) -> None:
    if outages.lost not in outages.zones:
        raise ExperimentError(f"{path}: there is no zone {outages.lost!r}")


def play(outages: Outages, chosen: dict[str, Any], seed: int) -> OutageRecord:
    world = World(variant_of(outages, chosen), seed)
    world.run()
    return world.record(chosen, seed)


FIGURES = ("requests", "left", "first_ms", "within_ms", "wrong", "wrong_alone", "dark_most_per_s", "back_ms")


def table(records: list[OutageRecord]) -> str:
    """A row for each variant: medians over its seeds, but the sum of `wrong` and `wrong_alone`."""
    rows: dict[str, list[OutageRecord]] = {}
    for record in records:
        name = ", ".join(f"{place}={value}" for place, value in record.chosen.items()) or "-"
        rows.setdefault(name, []).append(record)
    lines = [f"| {' | '.join(('variant', 'seeds', *FIGURES))} |", "| --- " * (len(FIGURES) + 2) + "|"]
    for name, some in rows.items():
        figures = [
            sum(values) if figure.startswith("wrong") else median(values)
            for figure in FIGURES
            for values in [[getattr(record, figure) for record in some]]
        ]
        lines.append(f"| {name} | {len(some)} | {' | '.join(f'{value:g}' for value in figures)} |")
    return "\n".join(lines) + "\n"
