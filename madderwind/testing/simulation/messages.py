"""Messages between copies at sizes that processes do not reach: how soon news is everywhere, what it costs,
who is taken for dead. The decisions are the program's own; telling all, the plainest way, is the baseline.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median, quantiles
from typing import Annotated, Any, Literal

import msgspec

from madderwind.standalone.gossip.members import Changed, State
from madderwind.standalone.gossip.membership import DATAGRAMS_PER_S, Action, Heard, Membership, Send
from madderwind.testing.simulation.experiment import (
    NotNegative,
    Part,
    Positive,
    Varied,
    read_varied,
    variant_of,
)
from madderwind.testing.simulation.timeline import Due, Timeline

STATE_BYTES, EVENT_BYTES = 3, 7  # as the policy module's rates, and a rate with one mark
HEAD_BYTES = 8  # of the plainest way's datagrams


class Spread(Varied, frozen=True, kw_only=True):
    """Copies that tell their state every so often, and now and then something urgent."""

    name: str
    question: str
    copies: Annotated[int, msgspec.Meta(ge=2, le=5000)] = 40
    way: Literal["gossip", "all"] = "gossip"
    loss: Part = 0.0
    late_ms: Annotated[tuple[NotNegative, ...], msgspec.Meta(min_length=2, max_length=2)] = (0.2, 3.0)
    state_every_s: Positive = 5.0
    urgent_per_s: NotNegative = 1.0  # over all copies
    killed: Annotated[int, msgspec.Meta(ge=0)] = 1  # a third into the run
    paused: Annotated[int, msgspec.Meta(ge=0)] = 0  # then, for `pause_s`
    pause_s: Positive = 10.0
    datagrams_per_s: Positive = DATAGRAMS_PER_S
    for_s: Positive = 30.0


class SpreadRecord(msgspec.Struct, frozen=True):
    """`reached`: the part of living copies that heard an urgent message; times until half and until all of
    those did, in the median and the worst of messages. `dead_known_ms`: until all held a killed one dead (or,
    where copies only tell rates, nothing). `false_dead`: living copies, never paused, that some copy held
    dead."""

    chosen: dict[str, Any]
    seed: int
    sent_per_s: float
    sent_most_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float
    reached: float
    half_ms: float
    all_ms: float
    all_p99_ms: float
    states_known: float
    suspect_ms: float
    dead_known_ms: float
    false_suspects: int
    false_dead: int
    refused: dict[str, int]


class World:
    """The copies, and the network between them, on one timeline."""

    def __init__(self, spread: Spread, seed: int) -> None:
        self._spread, self._timeline = spread, Timeline()
        self._chance = random.Random(f"{seed} words")
        self._copies = [
            Membership(n, spread.copies, seed * 100_003 + n, 1, "lab", spread.datagrams_per_s)
            for n in range(spread.copies)
        ]
        self._down: set[int] = set()
        self._paused: set[int] = set()
        self._excused: set[int] = set()  # were paused: word of that may come after they woke
        self._waiting: dict[int, list[tuple[int, bytes]]] = defaultdict(list)
        self._due = Due(self._timeline, self._tick)
        self._told: dict[bytes, float] = {}
        self._heard: dict[bytes, list[float]] = defaultdict(list)
        self._states: dict[int, set[int]] = defaultdict(set)
        self._killed_ms = spread.for_s * 1000 / 3
        self._held_dead: dict[int, list[float]] = defaultdict(list)
        self._suspected: dict[int, float] = {}
        self.false_suspects, self.false_dead = 0, 0
        self.sent, self.sent_bytes = Counter[int](), 0
        self.cpu_s = 0.0

    # --- the network ---

    def _carry(self, sender: int, hearer: int, data: bytes) -> None:
        self.sent[sender] += 1
        self.sent_bytes += len(data)
        if self._chance.random() >= self._spread.loss:
            late_ms = self._chance.uniform(*self._spread.late_ms)
            self._timeline.after(late_ms, lambda: self._arrives(sender, hearer, data))

    def _arrives(self, sender: int, hearer: int, data: bytes) -> None:
        if hearer in self._down:
            return
        if hearer in self._paused:
            self._waiting[hearer].append((sender, data))
        elif self._spread.way == "all":
            self._knows(hearer, sender, data)
        else:
            copy = self._copies[hearer]
            self._do(hearer, lambda: copy.receive(self._timeline.now_ms, sender, data))

    def _do(self, number: int, call: Any) -> None:
        began_s = time.perf_counter()
        actions: list[Action] = call()
        self.cpu_s += time.perf_counter() - began_s
        for action in actions:
            match action:
                case Send(peer, data):
                    self._carry(number, peer, data)
                case Heard(origin, payload):
                    self._knows(number, origin, payload)
                case Changed():
                    self._holds(number, action)
        self._wake(number)

    def _wake(self, number: int) -> None:
        self._due.at(number, self._copies[number].due_ms)

    def _tick(self, number: int) -> None:
        if number not in self._down and number not in self._paused:
            self._do(number, lambda: self._copies[number].tick(self._timeline.now_ms))

    # --- what is told ---

    def _tell_state(self, number: int) -> None:
        every_ms = self._spread.state_every_s * 1000
        self._timeline.after(every_ms * self._chance.uniform(0.8, 1.2), lambda: self._tell_state(number))
        if number not in self._down and number not in self._paused:
            self._tell(number, self._chance.randbytes(STATE_BYTES), ())

    def _tell(self, number: int, state: bytes, events: tuple[bytes, ...]) -> None:
        if self._spread.way == "gossip":
            now_ms = self._timeline.now_ms
            self._do(number, lambda: self._copies[number].tell(now_ms, state, events))
            return
        for peer in range(self._spread.copies):
            if peer != number:
                for payload in events or (state,):
                    self._carry(number, peer, bytes(HEAD_BYTES) + payload)

    def _tell_urgent(self) -> None:
        if self._spread.urgent_per_s <= 0:
            return
        self._timeline.after(self._chance.expovariate(self._spread.urgent_per_s) * 1000, self._tell_urgent)
        number = self._chance.randrange(self._spread.copies)
        if number not in self._down and number not in self._paused:
            payload = self._chance.randbytes(EVENT_BYTES)
            self._told[payload] = self._timeline.now_ms
            state = self._copies[number].states.get(number)
            self._tell(number, state.payload if state else bytes(STATE_BYTES), (payload,))

    def _knows(self, number: int, origin: int, payload: bytes) -> None:
        payload = payload[-EVENT_BYTES:]
        if payload in self._told:
            self._heard[payload].append(self._timeline.now_ms)
        else:
            self._states[number].add(origin)

    def _holds(self, number: int, changed: Changed) -> None:
        gone = changed.member in self._down
        if changed.state is State.DEAD:
            self.false_dead += not gone and changed.member not in self._excused
            if gone:
                self._held_dead[changed.member].append(self._timeline.now_ms)
        elif changed.state is State.SUSPECT:
            if gone:
                self._suspected.setdefault(changed.member, self._timeline.now_ms)
            elif changed.member not in self._excused and number in changed.accusers[:1]:
                self.false_suspects += 1

    # --- the run ---

    def run(self) -> None:
        for number in range(self._spread.copies):
            self._timeline.at(self._chance.uniform(0, 1000), lambda n=number: self._begin(n))  # type: ignore[misc]
        self._timeline.at(3000, self._tell_urgent)
        self._timeline.at(self._killed_ms, self._strike)
        self._timeline.run(self._spread.for_s * 1000)

    def _begin(self, number: int) -> None:
        self._tell_state(number)
        if self._spread.way == "gossip":
            self._do(number, lambda: self._copies[number].tick(self._timeline.now_ms))

    def _strike(self) -> None:
        hit = self._chance.sample(range(self._spread.copies), self._spread.killed + self._spread.paused)
        self._down |= set(hit[: self._spread.killed])
        for number in hit[self._spread.killed :]:
            self._paused.add(number)
            self._excused.add(number)
            self._timeline.after(self._spread.pause_s * 1000, lambda n=number: self._wakes(n))  # type: ignore[misc]

    def _wakes(self, number: int) -> None:
        """With all that has come meanwhile, in a buffer, before it looks at its own clock."""
        self._paused.discard(number)
        for sender, data in self._waiting.pop(number, []):
            self._arrives(sender, number, data)
        self._wake(number)

    def record(self, chosen: dict[str, Any], seed: int) -> SpreadRecord:
        spread, end_ms = self._spread, self._spread.for_s * 1000
        living = spread.copies - len(self._down) - 1
        done = {p: sorted(self._heard[p]) for p, at in self._told.items() if at < end_ms - 5000}
        reached = [min(1.0, len(times) / living) for times in done.values()]
        halves = [t[len(t) // 2] - self._told[p] for p, t in done.items() if t]
        wholes = [t[-1] - self._told[p] for p, t in done.items() if t]
        dead = [times[-1] - self._killed_ms for times in self._held_dead.values() if len(times) >= living]
        suspects = [at - self._killed_ms for at in self._suspected.values()]
        refused = sum((c.counts for c in self._copies), Counter())
        return SpreadRecord(
            chosen=chosen,
            seed=seed,
            sent_per_s=round(sum(self.sent.values()) / spread.copies / spread.for_s, 2),
            sent_most_per_s=round(max(self.sent.values(), default=0) / spread.for_s, 2),
            bytes_per_s=round(self.sent_bytes / spread.copies / spread.for_s),
            cpu_us_per_s=round(self.cpu_s * 1e6 / spread.copies / spread.for_s),
            reached=round(sum(reached) / max(1, len(reached)), 5),
            half_ms=round(median(halves or [0.0])),
            all_ms=round(median(wholes or [0.0])),
            all_p99_ms=round(quantiles(wholes, n=100)[98] if len(wholes) > 1 else 0.0),
            states_known=round(
                sum(len(s) for n, s in self._states.items() if n not in self._down)
                / max(1, (spread.copies - len(self._down)) * (spread.copies - 1)),
                4,
            ),
            suspect_ms=round(median(suspects)) if suspects else -1,
            dead_known_ms=round(max(dead)) if len(dead) == spread.killed > 0 else -1,
            false_suspects=self.false_suspects,
            false_dead=self.false_dead,
            refused={name: refused[name] for name in sorted(refused)},
        )


def read(path: Path) -> Spread:
    """ExperimentError names file and place."""
    return read_varied(path, Spread)


def play(spread: Spread, chosen: dict[str, Any], seed: int) -> SpreadRecord:
    world = World(variant_of(spread, chosen), seed)
    world.run()
    return world.record(chosen, seed)


def table(records: list[SpreadRecord]) -> str:
    """Markdown, a line a run."""
    names = [n for n in SpreadRecord.__struct_fields__ if n not in ("chosen", "refused")]
    lines = ["| chosen | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for record in records:
        chosen = ", ".join(f"{name}={value}" for name, value in record.chosen.items()) or "-"
        lines.append(f"| {chosen} | " + " | ".join(f"{getattr(record, n):g}" for n in names) + " |")
    return "\n".join(lines) + "\n"
