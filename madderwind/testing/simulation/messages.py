"""Simulates messages between copies at sizes that local processes cannot reach.

It measures how fast a message reaches all copies, what that costs, and which copies are considered dead. The
gossip decisions are the program's own. Sending every message directly to all copies is the baseline.
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
from madderwind.testing.simulation.timeline import Timeline, WakeupScheduler

STATE_BYTES, EVENT_BYTES = 3, 7  # sizes of the policy module's rates, and of a rate with one mark
HEADER_BYTES = 8  # of a datagram in the direct baseline


class Spread(Varied, frozen=True, kw_only=True):
    """An experiment with copies that publish their state periodically and urgent messages at random times."""

    name: str
    question: str
    copies: Annotated[int, msgspec.Meta(ge=2, le=5000)] = 40
    way: Literal["gossip", "all"] = "gossip"
    loss: Part = 0.0
    late_ms: Annotated[tuple[NotNegative, ...], msgspec.Meta(min_length=2, max_length=2)] = (0.2, 3.0)
    state_every_s: Positive = 5.0
    urgent_per_s: NotNegative = 1.0  # total over all copies
    killed: Annotated[int, msgspec.Meta(ge=0)] = 1  # copies stopped after a third of the run
    paused: Annotated[int, msgspec.Meta(ge=0)] = 0  # copies paused at the same time, for `pause_s`
    pause_s: Positive = 10.0
    datagrams_per_s: Positive = DATAGRAMS_PER_S
    for_s: Positive = 30.0


class SpreadRecord(msgspec.Struct, frozen=True):
    """The results of one run.

    - `reached`: the fraction of living copies that received an urgent message.
    - `half_ms`, `all_ms`: the time until half and all of those copies received it, as the median over the
      messages. `all_p99_ms` is the 99th percentile of the latter.
    - `dead_known_ms`: the time until all copies considered a killed copy dead, or -1 if they never did, as
      where copies only publish rates.
    - `false_dead`: declarations as dead of living copies that were never paused.
    """

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
    """The copies and the network between them on one timeline."""

    def __init__(self, spread: Spread, seed: int) -> None:
        self._spread, self._timeline = spread, Timeline()
        self._random = random.Random(f"{seed} words")
        self._copies = [
            Membership(n, spread.copies, seed * 100_003 + n, 1, "lab", spread.datagrams_per_s)
            for n in range(spread.copies)
        ]
        self._down: set[int] = set()
        self._paused: set[int] = set()
        self._was_paused: set[int] = set()  # others may report them after they have resumed
        self._buffered: dict[int, list[tuple[int, bytes]]] = defaultdict(list)
        self._wakeups = WakeupScheduler(self._timeline, self._tick)
        self._sent_at_ms: dict[bytes, float] = {}
        self._received_at_ms: dict[bytes, list[float]] = defaultdict(list)
        self._states: dict[int, set[int]] = defaultdict(set)
        self._killed_ms = spread.for_s * 1000 / 3
        self._declared_dead_ms: dict[int, list[float]] = defaultdict(list)
        self._suspected_ms: dict[int, float] = {}
        self.false_suspects, self.false_dead = 0, 0
        self.sent, self.sent_bytes = Counter[int](), 0
        self.cpu_s = 0.0

    def _transmit(self, sender: int, receiver: int, data: bytes) -> None:
        self.sent[sender] += 1
        self.sent_bytes += len(data)
        if self._random.random() >= self._spread.loss:
            late_ms = self._random.uniform(*self._spread.late_ms)
            self._timeline.after(late_ms, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if receiver in self._down:
            return
        if receiver in self._paused:
            self._buffered[receiver].append((sender, data))
        elif self._spread.way == "all":
            self._record_received(receiver, sender, data)
        else:
            copy = self._copies[receiver]
            self._execute(receiver, lambda: copy.receive(self._timeline.now_ms, sender, data))

    def _execute(self, number: int, call: Any) -> None:
        started_s = time.perf_counter()
        actions: list[Action] = call()
        self.cpu_s += time.perf_counter() - started_s
        for action in actions:
            match action:
                case Send(peer, data):
                    self._transmit(number, peer, data)
                case Heard(origin, payload):
                    self._record_received(number, origin, payload)
                case Changed():
                    self._record_member_state(number, action)
        self._schedule_tick(number)

    def _schedule_tick(self, number: int) -> None:
        self._wakeups.at(number, self._copies[number].due_ms)

    def _tick(self, number: int) -> None:
        if number not in self._down and number not in self._paused:
            self._execute(number, lambda: self._copies[number].tick(self._timeline.now_ms))

    def _publish_state(self, number: int) -> None:
        every_ms = self._spread.state_every_s * 1000
        self._timeline.after(every_ms * self._random.uniform(0.8, 1.2), lambda: self._publish_state(number))
        if number not in self._down and number not in self._paused:
            self._publish(number, self._random.randbytes(STATE_BYTES), ())

    def _publish(self, number: int, state: bytes, events: tuple[bytes, ...]) -> None:
        if self._spread.way == "gossip":
            now_ms = self._timeline.now_ms
            self._execute(number, lambda: self._copies[number].tell(now_ms, state, events))
            return
        for peer in range(self._spread.copies):
            if peer != number:
                for payload in events or (state,):
                    self._transmit(number, peer, bytes(HEADER_BYTES) + payload)

    def _publish_urgent(self) -> None:
        if self._spread.urgent_per_s <= 0:
            return
        self._timeline.after(self._random.expovariate(self._spread.urgent_per_s) * 1000, self._publish_urgent)
        number = self._random.randrange(self._spread.copies)
        if number not in self._down and number not in self._paused:
            payload = self._random.randbytes(EVENT_BYTES)
            self._sent_at_ms[payload] = self._timeline.now_ms
            state = self._copies[number].states.get(number)
            self._publish(number, state.payload if state else bytes(STATE_BYTES), (payload,))

    def _record_received(self, number: int, origin: int, payload: bytes) -> None:
        payload = payload[-EVENT_BYTES:]
        if payload in self._sent_at_ms:
            self._received_at_ms[payload].append(self._timeline.now_ms)
        else:
            self._states[number].add(origin)

    def _record_member_state(self, number: int, changed: Changed) -> None:
        is_down = changed.member in self._down
        if changed.state is State.DEAD:
            self.false_dead += not is_down and changed.member not in self._was_paused
            if is_down:
                self._declared_dead_ms[changed.member].append(self._timeline.now_ms)
        elif changed.state is State.SUSPECT:
            if is_down:
                self._suspected_ms.setdefault(changed.member, self._timeline.now_ms)
            elif changed.member not in self._was_paused and number in changed.accusers[:1]:
                self.false_suspects += 1

    def run(self) -> None:
        for number in range(self._spread.copies):
            self._timeline.at(self._random.uniform(0, 1000), lambda n=number: self._start_copy(n))  # type: ignore[misc]
        self._timeline.at(3000, self._publish_urgent)
        self._timeline.at(self._killed_ms, self._inject_faults)
        self._timeline.run(self._spread.for_s * 1000)

    def _start_copy(self, number: int) -> None:
        self._publish_state(number)
        if self._spread.way == "gossip":
            self._execute(number, lambda: self._copies[number].tick(self._timeline.now_ms))

    def _inject_faults(self) -> None:
        affected = self._random.sample(range(self._spread.copies), self._spread.killed + self._spread.paused)
        self._down |= set(affected[: self._spread.killed])
        for number in affected[self._spread.killed :]:
            self._paused.add(number)
            self._was_paused.add(number)
            self._timeline.after(self._spread.pause_s * 1000, lambda n=number: self._resume(n))  # type: ignore[misc]

    def _resume(self, number: int) -> None:
        """Resumes a paused copy. It receives the buffered messages before it looks at its clock."""
        self._paused.discard(number)
        for sender, data in self._buffered.pop(number, []):
            self._deliver(sender, number, data)
        self._schedule_tick(number)

    def record(self, chosen: dict[str, Any], seed: int) -> SpreadRecord:
        spread, end_ms = self._spread, self._spread.for_s * 1000
        living = spread.copies - len(self._down) - 1
        times_by_message = {
            p: sorted(self._received_at_ms[p]) for p, at in self._sent_at_ms.items() if at < end_ms - 5000
        }
        reached = [min(1.0, len(times) / living) for times in times_by_message.values()]
        half_ms = [t[len(t) // 2] - self._sent_at_ms[p] for p, t in times_by_message.items() if t]
        full_ms = [t[-1] - self._sent_at_ms[p] for p, t in times_by_message.items() if t]
        dead = [
            times[-1] - self._killed_ms for times in self._declared_dead_ms.values() if len(times) >= living
        ]
        suspects = [at - self._killed_ms for at in self._suspected_ms.values()]
        refused = sum((c.counts for c in self._copies), Counter())
        return SpreadRecord(
            chosen=chosen,
            seed=seed,
            sent_per_s=round(sum(self.sent.values()) / spread.copies / spread.for_s, 2),
            sent_most_per_s=round(max(self.sent.values(), default=0) / spread.for_s, 2),
            bytes_per_s=round(self.sent_bytes / spread.copies / spread.for_s),
            cpu_us_per_s=round(self.cpu_s * 1e6 / spread.copies / spread.for_s),
            reached=round(sum(reached) / max(1, len(reached)), 5),
            half_ms=round(median(half_ms or [0.0])),
            all_ms=round(median(full_ms or [0.0])),
            all_p99_ms=round(quantiles(full_ms, n=100)[98] if len(full_ms) > 1 else 0.0),
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
    """Reads a file and validates every variant. Raises ExperimentError with the file and the field."""
    return read_varied(path, Spread)


def play(spread: Spread, chosen: dict[str, Any], seed: int) -> SpreadRecord:
    """Simulates one run."""
    world = World(variant_of(spread, chosen), seed)
    world.run()
    return world.record(chosen, seed)


def table(records: list[SpreadRecord]) -> str:
    """A Markdown table with one row per run."""
    names = [n for n in SpreadRecord.__struct_fields__ if n not in ("chosen", "refused")]
    lines = ["| chosen | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for record in records:
        chosen = ", ".join(f"{name}={value}" for name, value in record.chosen.items()) or "-"
        lines.append(f"| {chosen} | " + " | ".join(f"{getattr(record, n):g}" for n in names) + " |")
    return "\n".join(lines) + "\n"
