"""Simulates zone outages and hours without one: which copies evacuate which zone, how soon, and how many
requests still go to a lost zone meanwhile.

The zone evacuation and the messages between copies are the program's own code. Requests and upstreams are
reduced to what a copy can observe. The simulation covers long times: an hour with failures of single
upstreams, periods in which all are slow, and lost messages, in which no zone may be evacuated.
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
from madderwind.testing.simulation.timeline import Timeline, WakeupScheduler

DEADLINE_MS, AVOID_AFTER_TIMEOUT_MS = 3000.0, 2000.0


class Outages(Varied, frozen=True, kw_only=True):
    """An experiment on zone outages. Copies and upstreams are assigned to the zones in turn.

    - `single_every_s`: the mean interval at which a random upstream stops answering for about `single_s`.
    - `slow_every_s`: the mean interval at which all are slower by `slow_factor` for about `slow_s`.
    - `burst_every_s`: the mean interval at which the load is multiplied by `burst_factor` for about `slow_s`.
    - `lost_at_s`: when the upstreams of zone `lost` stop answering for `lost_s`; 0 means never.
    """

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
    """The results of one run.

    - `left`: copies that evacuated the lost zone during the outage or up to a second after it.
    - `within_ms`: the time from the first of these evacuations to the last.
    - `wrong`: evacuations of a zone that was not lost, by all copies or by all copies of a zone.
    - `wrong_alone`: evacuations by a single copy for itself.
    - `dark_most_per_s`: the most requests per second into the lost zone, from the third second of the outage.
    - `back_ms`: the time from the end of the outage until half of the copies used the whole zone again.
    """

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
        self.evacuation = evacuation.ZoneEvacuation(
            number, zone, EvacuationSettings(), lambda: [number, *self.membership.members.living()], 20_000.0
        )
        self.next_upstreams: list[int] = []
        self.withheld: set[int] = set()
        self.avoid_until_ms: dict[int, float] = defaultdict(float)
        self.open: dict[Key, int] = {}


class World:
    """The copies and upstreams in their zones on one timeline."""

    def __init__(self, outages: Outages, seed: int) -> None:
        self.outages, self._timeline = outages, Timeline()
        self._random = random.Random(f"{seed} outages")
        self._places = {
            number: Place(number + 1, outages.zones[number % len(outages.zones)], 1.0, 0.0)
            for number in range(outages.each_zone * len(outages.zones))
        }
        self._copies = [_Copy(self, number, seed) for number in range(outages.copies)]
        self._wakeups = WakeupScheduler(self._timeline, self._tick_gossip)
        self._unresponsive: set[int] = set()
        self._slow = self._burst = 1.0
        self._requests = 0
        self._evacuated_ms: dict[int, float] = {}
        self._returned_ms: dict[int, float] = {}
        self.wrong: Counter[str] = Counter()
        self._lost_zone_requests: Counter[int] = Counter()

    def _repeat_at_random(self, every_s: float, for_s: float, begin: Any, end: Any) -> None:
        if every_s <= 0:
            return

        def start() -> None:
            started = begin()
            self._timeline.after(for_s * 1000 * self._random.uniform(0.5, 1.5), lambda: end(started))
            self._timeline.after(self._random.expovariate(1 / every_s) * 1000, start)

        self._timeline.after(self._random.expovariate(1 / every_s) * 1000, start)

    def _fail_one(self) -> int:
        number = self._random.choice(list(self._places))
        self._unresponsive.add(number)
        return number

    def _set_load(self, slow: float = 1.0, burst: float = 1.0) -> None:
        self._slow, self._burst = slow, burst

    def _set_zone_lost(self, lost: bool) -> None:
        inside = {n for n, place in self._places.items() if place.zone == self.outages.lost}
        self._unresponsive = self._unresponsive | inside if lost else self._unresponsive - inside

    def _is_lost(self, after_ms: float = 0.0, grace_ms: float = 0.0) -> bool:
        begin_ms = self.outages.lost_at_s * 1000
        end_ms = begin_ms + self.outages.lost_s * 1000
        return begin_ms > 0 and begin_ms + after_ms <= self._timeline.now_ms < end_ms + grace_ms

    def _start_request(self) -> None:
        per_s = self.outages.per_s * self._burst
        self._timeline.after(self._random.expovariate(per_s) * 1000, self._start_request)
        copy = self._random.choice(self._copies)
        now_ms = self._timeline.now_ms
        candidates = [n for n in self._places if n not in copy.withheld]
        preferred = [n for n in candidates if copy.avoid_until_ms[n] <= now_ms] or candidates
        if copy.next_upstreams or preferred:
            self._send(
                copy, copy.next_upstreams.pop() if copy.next_upstreams else self._random.choice(preferred)
            )

    def _send(self, copy: _Copy, upstream: int) -> None:
        self._requests += 1
        key, now_ms = (self._requests, 0), self._timeline.now_ms
        copy.open[key] = upstream
        copy.evacuation.observations.began(now_ms, upstream, key)
        if self._places[upstream].zone == self.outages.lost and self._is_lost(after_ms=3000):
            self._lost_zone_requests[int(now_ms // 1000)] += 1
        took_ms = self._random.expovariate(1 / (self.outages.work_ms * self._slow))
        self._timeline.after(
            min(took_ms, DEADLINE_MS), lambda: self._finish_attempt(copy, key, upstream, took_ms)
        )

    def _finish_attempt(self, copy: _Copy, key: Key, upstream: int, took_ms: float) -> None:
        """Ends an attempt. Attempts in flight when the upstream stops answering time out as well."""
        if took_ms >= DEADLINE_MS:
            self._end_attempt(copy, key, Outcome.TIMEOUT, DEADLINE_MS)
        elif upstream in self._unresponsive:
            left_ms = DEADLINE_MS - took_ms
            self._timeline.after(left_ms, lambda: self._finish_attempt(copy, key, upstream, DEADLINE_MS))
        else:
            self._end_attempt(copy, key, Outcome.OK, took_ms)

    def _end_attempt(self, copy: _Copy, key: Key, outcome: Outcome, took_ms: float) -> None:
        upstream = copy.open.pop(key, None)
        if upstream is None:
            return  # already withdrawn by a TakeBack action
        if outcome is Outcome.TIMEOUT:
            copy.avoid_until_ms[upstream] = self._timeline.now_ms + AVOID_AFTER_TIMEOUT_MS
        copy.evacuation.observations.ended(self._timeline.now_ms, key, outcome, took_ms)

    def _tick_evacuation(self, number: int) -> None:
        self._timeline.after(evacuation.TICK_MS, lambda: self._tick_evacuation(number))
        self._execute_evacuation(number, self._copies[number].evacuation.tick(self._timeline.now_ms))

    def _execute_evacuation(self, number: int, decided: list[actions.Action]) -> None:
        copy, now_ms = self._copies[number], self._timeline.now_ms
        for action in decided:
            match action:
                case actions.Withhold(upstreams):
                    copy.withheld |= upstreams
                    copy.next_upstreams = [n for n in copy.next_upstreams if n not in upstreams]
                case actions.Reopen(upstreams, _, send_next):
                    copy.withheld -= upstreams
                    copy.next_upstreams += sorted(upstreams) if send_next else []
                case actions.TakeBack(key):
                    copy.open.pop(key, None)
                    copy.evacuation.observations.ended(now_ms, key, Outcome.CANCELLED, 0.0)
                case actions.TellView(payload):
                    self._execute_gossip(number, copy.membership.tell_view(now_ms, payload))
                case actions.TellEvacuation(order, payload):
                    self._execute_gossip(number, copy.membership.tell_shared(now_ms, order, payload))
                case actions.LogEvent(event, fields):
                    self._record_event(number, event, fields)

    def _record_event(self, number: int, event: str, fields: dict[str, Any]) -> None:
        now_ms = self._timeline.now_ms
        if event == "area_left":
            if fields["area"] == self.outages.lost and self._is_lost(grace_ms=1000):
                self._evacuated_ms.setdefault(number, now_ms)
            elif number in fields["witnesses"][:1] or fields["scope"] == "self":
                self.wrong["alone" if fields["scope"] == "self" else "together"] += 1
        elif event == "area_returned":
            self._returned_ms[number] = now_ms

    def _execute_gossip(self, number: int, actions: list[gossip.Action]) -> None:
        for action in actions:
            match action:
                case gossip.Send(peer, data):
                    if self._random.random() >= self.outages.loss:
                        late_ms = self._random.uniform(*self.outages.late_ms)
                        self._timeline.after(
                            late_ms,
                            lambda p=peer, d=data: self._deliver(number, p, d),  # type: ignore[misc]
                        )
                case gossip.Heard(origin, payload, Kind.VIEW):
                    self._copies[number].evacuation.heard_view(self._timeline.now_ms, origin, payload)
                case gossip.Heard(_, payload, Kind.SHARED, order):
                    now_ms = self._timeline.now_ms
                    self._execute_evacuation(
                        number, self._copies[number].evacuation.heard_evacuation(now_ms, order, payload)
                    )
        self._wakeups.at(number, self._copies[number].membership.due_ms)

    def _tick_gossip(self, number: int) -> None:
        self._execute_gossip(number, self._copies[number].membership.tick(self._timeline.now_ms))

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        self._copies[receiver].evacuation.heard_message(self._timeline.now_ms)
        self._execute_gossip(
            receiver, self._copies[receiver].membership.receive(self._timeline.now_ms, sender, data)
        )

    def run(self) -> None:
        outages = self.outages
        for number, copy in enumerate(self._copies):
            self._execute_evacuation(number, copy.evacuation.listed(0.0, self._places))
            self._timeline.at(self._random.uniform(0, 100), lambda n=number: self._tick_evacuation(n))  # type: ignore[misc]
            self._timeline.at(self._random.uniform(0, 500), lambda n=number: self._execute_gossip(n, []))  # type: ignore[misc]
        self._start_request()
        self._repeat_at_random(
            outages.single_every_s, outages.single_s, self._fail_one, self._unresponsive.discard
        )
        self._repeat_at_random(
            outages.slow_every_s,
            outages.slow_s,
            lambda: self._set_load(slow=outages.slow_factor),
            lambda _: self._set_load(),
        )
        self._repeat_at_random(
            outages.burst_every_s,
            outages.slow_s,
            lambda: self._set_load(burst=outages.burst_factor),
            lambda _: self._set_load(),
        )
        if outages.lost_at_s:
            self._timeline.at(outages.lost_at_s * 1000, lambda: self._set_zone_lost(True))
            self._timeline.at((outages.lost_at_s + outages.lost_s) * 1000, lambda: self._set_zone_lost(False))
        self._timeline.run(outages.for_s * 1000)

    def record(self, chosen: dict[str, Any], seed: int) -> OutageRecord:
        begin_ms = self.outages.lost_at_s * 1000
        left, back = sorted(self._evacuated_ms.values()), sorted(self._returned_ms.values())
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
            dark_most_per_s=max(self._lost_zone_requests.values(), default=0),
            back_ms=round(back[half] - begin_ms - self.outages.lost_s * 1000) if len(back) > half else -1,
        )


def read(path: Path) -> Outages:
    """Reads a file and validates every variant. Raises ExperimentError with the file and the field."""
    return read_varied(path, Outages, _check)


def _check(path: Path, outages: Outages) -> None:
    if outages.lost not in outages.zones:
        raise ExperimentError(f"{path}: there is no zone {outages.lost!r}")


def play(outages: Outages, chosen: dict[str, Any], seed: int) -> OutageRecord:
    """Simulates one run."""
    world = World(variant_of(outages, chosen), seed)
    world.run()
    return world.record(chosen, seed)


FIGURES = ("requests", "left", "first_ms", "within_ms", "wrong", "wrong_alone", "dark_most_per_s", "back_ms")


def table(records: list[OutageRecord]) -> str:
    """One row per variant with the medians over its seeds; `wrong` and `wrong_alone` are summed."""
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
