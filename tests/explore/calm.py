"""A calm system: every message arrives, every write is done, and time passes at all machines alike."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from madderwind.replication.commands import Command, CommandOutcome
from tests.explore.node import Ended, Node, Output, Sent
from tests.explore.steps import Violation

TICK_MS = 25.0
# Deliveries within one tick; replicas that answer each other without end would never let time pass.
MOST_DELIVERIES_A_TICK = 5_000


class CalmRun:
    """Runs machines on; `present` are the numbers of those that still exist."""

    def __init__(self, nodes: list[Node], in_flight: list[Sent], present: set[int] | None = None) -> None:
        self.nodes = nodes
        self.in_flight = deque(in_flight)
        self.present = set(range(len(nodes))) if present is None else present
        self.ended: list[Ended] = []
        self._numbers = {node.address: node.number for node in nodes}

    def act(self, number: int, act: Callable[[Node, Output], object]) -> None:
        """Have one machine do something."""
        output = Output()
        act(self.nodes[number], output)
        self.in_flight += output.sent
        self.ended += output.ended

    def tick(self) -> None:
        """Let a little time pass everywhere, then deliver and write until nothing is left to do."""
        for number in sorted(self.present):
            self.act(number, lambda node, output: node.pass_time(TICK_MS, output))
        self.stabilize()

    def stabilize(self) -> None:
        """Deliver and write until nothing is left to do."""
        deliveries = 0
        while self.in_flight or any(self.nodes[number].pending for number in self.present):
            deliveries += 1
            if deliveries > MOST_DELIVERIES_A_TICK:
                raise Violation(f"more than {MOST_DELIVERIES_A_TICK} messages at one moment")
            if not self.deliver_next():
                self.write_all()

    def deliver_next(self) -> bool:
        """Deliver the oldest message; False where there is none."""
        if not self.in_flight:
            return False
        sent = self.in_flight.popleft()
        number = self._numbers.get(sent.receiver)
        if number in self.present and number is not None:
            self.act(number, lambda node, output: node.receive(sent, output))
        return True

    def write_all(self) -> None:
        """Do the oldest write of each machine."""
        for number in sorted(self.present):
            if self.nodes[number].pending:
                self.act(number, lambda node, output: node.finish_write(output))

    def run_until(self, condition: Callable[[], bool], most_ms: float) -> float:
        """Let time pass until something holds, at most so long; how long that took. Raises Violation."""
        elapsed_ms = 0.0
        while not condition():
            if elapsed_ms >= most_ms:
                raise Violation(f"not so after {most_ms:g} ms of calm")
            self.tick()
            elapsed_ms += TICK_MS
        return elapsed_ms

    def primary(self) -> int | None:
        """The machine that is primary in the newest epoch that any replica knows."""
        statuses = {number: self.nodes[number].observe() for number in self.present}
        epochs = {number: s.view.epoch for number, s in statuses.items() if s.view is not None}
        newest = max(epochs.values(), default=0)
        found = [number for number, s in statuses.items() if s.is_primary and epochs.get(number) == newest]
        return found[0] if found else None

    def is_whole(self) -> bool:
        """Whether the primary's in-sync set is as large as it ever gets, and of machines that are present."""
        primary = self.primary()
        if primary is None:
            return False
        view = self.nodes[primary].observe().view
        here = {self.nodes[number].observe().incarnation for number in self.present}
        seeds = self.nodes[primary].settings.seed_count
        return view is not None and len(view.in_sync) == min(seeds, len(here)) and set(view.in_sync) <= here

    def submit_and_commit(self, command: Command, most_ms: float) -> float:
        """Send a command to whoever is primary until it is acknowledged; how long that took."""
        requested: set[tuple[int, int]] = set()

        def is_taken() -> bool:
            primary = self.primary()
            if primary is not None and (primary, len(self.ended)) not in requested:
                requested.add((primary, len(self.ended)))
                self.act(primary, lambda node, output: node.submit(command, output))
            return any(
                ended.taken == (command.base_version, command.body)
                and ended.outcome is CommandOutcome.COMMITTED
                for ended in self.ended
            )

        return self.run_until(is_taken, most_ms)
