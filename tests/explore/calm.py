"""A fault-free run: every message arrives, every write completes, and all clocks advance at the same rate."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from madderwind.replication.commands import Command, CommandOutcome
from tests.explore.node import Ended, Node, Output, Sent
from tests.explore.steps import Violation

TICK_MS = 25.0
# Deliveries within one tick: replicas that answer each other endlessly would keep time from advancing.
MAX_DELIVERIES_PER_TICK = 5_000


class FaultFreeRun:
    """Runs machines without faults; `present` holds the numbers of those that still exist."""

    def __init__(self, nodes: list[Node], in_flight: list[Sent], present: set[int] | None = None) -> None:
        self.nodes = nodes
        self.in_flight = deque(in_flight)
        self.present = set(range(len(nodes))) if present is None else present
        self.ended: list[Ended] = []
        self._numbers = {node.address: node.number for node in nodes}

    def act(self, number: int, act: Callable[[Node, Output], object]) -> None:
        """Apply an operation to one machine and collect its output."""
        output = Output()
        act(self.nodes[number], output)
        self.in_flight += output.sent
        self.ended += output.ended

    def tick(self) -> None:
        """Advance all clocks by one tick, then deliver messages and complete writes until none is left."""
        for number in sorted(self.present):
            self.act(number, lambda node, output: node.pass_time(TICK_MS, output))
        self.stabilize()

    def stabilize(self) -> None:
        """Deliver messages and complete writes until none is left."""
        deliveries = 0
        while self.in_flight or any(self.nodes[number].pending for number in self.present):
            deliveries += 1
            if deliveries > MAX_DELIVERIES_PER_TICK:
                raise Violation(f"more than {MAX_DELIVERIES_PER_TICK} messages within one tick")
            if not self.deliver_next():
                self.write_all()

    def deliver_next(self) -> bool:
        """Deliver the oldest message; False if there is none."""
        if not self.in_flight:
            return False
        sent = self.in_flight.popleft()
        number = self._numbers.get(sent.receiver)
        if number in self.present and number is not None:
            self.act(number, lambda node, output: node.receive(sent, output))
        return True

    def write_all(self) -> None:
        """Complete the oldest write of each machine."""
        for number in sorted(self.present):
            if self.nodes[number].pending:
                self.act(number, lambda node, output: node.finish_write(output))

    def run_until(self, condition: Callable[[], bool], max_ms: float) -> float:
        """Advance time until the condition holds and return the elapsed time.

        Raises Violation if it does not hold within `max_ms`."""
        elapsed_ms = 0.0
        while not condition():
            if elapsed_ms >= max_ms:
                raise Violation(f"the condition does not hold after {max_ms:g} ms without faults")
            self.tick()
            elapsed_ms += TICK_MS
        return elapsed_ms

    def primary(self) -> int | None:
        """The machine that is primary in the newest epoch known to any replica."""
        statuses = {number: self.nodes[number].observe() for number in self.present}
        epochs = {number: s.view.epoch for number, s in statuses.items() if s.view is not None}
        newest = max(epochs.values(), default=0)
        found = [number for number, s in statuses.items() if s.is_primary and epochs.get(number) == newest]
        return found[0] if found else None

    def has_full_in_sync_set(self) -> bool:
        """Whether the primary's in-sync set has its full size and contains only machines that are present."""
        primary = self.primary()
        if primary is None:
            return False
        view = self.nodes[primary].observe().view
        existing = {self.nodes[number].observe().incarnation for number in self.present}
        seeds = self.nodes[primary].settings.seed_count
        return (
            view is not None
            and len(view.in_sync) == min(seeds, len(existing))
            and set(view.in_sync) <= existing
        )

    def submit_and_commit(self, command: Command, max_ms: float) -> float:
        """Send a command to the current primary until it is acknowledged; return the elapsed time."""
        requested: set[tuple[int, int]] = set()

        def is_committed() -> bool:
            primary = self.primary()
            if primary is not None and (primary, len(self.ended)) not in requested:
                requested.add((primary, len(self.ended)))
                self.act(primary, lambda node, output: node.submit(command, output))
            return any(
                ended.taken == (command.base_version, command.body)
                and ended.outcome is CommandOutcome.COMMITTED
                for ended in self.ended
            )

        return self.run_until(is_committed, max_ms)
