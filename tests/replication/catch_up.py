"""A member restarts, or comes back with an empty disk, while the operator goes on: when is it current again?

The fleet is in memory, with a link of 210 Mbit/s a machine and time to handle long messages; its state is
incompressible and as long as configurations of 100, 2,000 and 16,000 routes are. By hand:
`python -m tests.replication.catch_up`.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest.mock import patch

import attrs

from madderwind.log_events.control_plane import SNAPSHOT_SENT
from madderwind.replication.commands import Command, CommandOutcome, CommandResult
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine
from tests.fleet.register import Register, change_of, command

# By routes: bytes of the JSON of such a configuration, as tests.configuration.cost_of_change makes it.
STATE_BYTES = {100: 28_000, 2_000: 550_000, 16_000: 4_400_000}
LINK_BYTES_PER_MS = 26_250.0  # 210 Mbit/s
# 16,000 routes take 200 ms to read.
HANDLING_MS_PER_BYTE = 200.0 / 4_400_000
# Three short commands a second, or one that replaces the whole state: three of these would fill the link.
SHORT_ORDER_INTERVAL_MS, LONG_ORDER_INTERVAL_MS = 330.0, 1_000.0
RETAINED_ENTRIES = 4
SHORT_ORDER_BYTES, LONG_ORDER_BYTES = 200, 1_000
AWAY_MS = 6_000.0
LONGEST_MS = 20_000.0
SEEDS = range(1, 6)


class LargeRegister(Register):
    """Keeps the padding of the last long command alone, as a configuration does with the last replacement."""

    def apply(self, command: Command) -> None:
        super().apply(command)
        long_ago = len(self.taken) - 1 if len(command.body) > LONG_ORDER_BYTES else 0
        for index, (base, body) in enumerate(self.taken[:long_ago]):
            if len(body) > LONG_ORDER_BYTES:
                change = change_of(body)
                self.taken[index] = (base, _command(base, change.version, "").body)

    def copy(self) -> LargeRegister:
        duplicate = LargeRegister()
        duplicate.taken = self.taken.copy()
        return duplicate


def _command(base: int, version: int, padding: str) -> Command:
    return command(base, version, "operator", padding)


@contextmanager
def large_states() -> Iterator[None]:
    """Long states, and messages as long as they are: nothing is compressed, nothing has to be."""
    with ExitStack() as stack:
        stack.enter_context(patch("tests.fleet.machine.Register", LargeRegister))
        stack.enter_context(patch("madderwind.messages.codec.MIN_COMPRESSED_BYTES", 1 << 40))
        stack.enter_context(patch("madderwind.replication.log.RETAINED_ENTRIES", RETAINED_ENTRIES))
        yield


@attrs.frozen
class CatchUp:
    """What a return was like."""

    current_ms: (
        float  # from the start of its process until it had the newest committed version, and was in sync
    )
    snapshots: int
    primaries: int  # in that time


class Return:
    """One machine's end and return, in a fleet that takes a command every third of a second."""

    def __init__(
        self,
        state_bytes: int,
        seed: int,
        wiped: bool,
        command_bytes: int,
        interval_ms: float | None = None,
    ) -> None:
        self.fleet = Fleet(3, 1, seed=seed)
        self._wiped, self._command_bytes = wiped, command_bytes
        is_long = command_bytes > LONG_ORDER_BYTES
        usual_ms = LONG_ORDER_INTERVAL_MS if is_long else SHORT_ORDER_INTERVAL_MS
        self._interval_ms = interval_ms or usual_ms
        self.version = 0
        self._primaries: set[str] = set()
        self.fleet.start()
        self.fleet.stabilize()
        self.fleet.network.bytes_per_ms = LINK_BYTES_PER_MS
        self.fleet.network.handling_ms_per_byte = HANDLING_MS_PER_BYTE
        self._command(state_bytes)
        self.fleet.run(3_000.0)
        assert self.version == 1, "the first command was not taken"

    def run(self) -> CatchUp:
        """Raises TimeoutError where it never gets current."""
        primary = self.fleet.primary()
        assert primary is not None
        machine = next(each for each in self.fleet.machines.values() if each is not primary)
        (machine.wipe if self._wiped else machine.kill)()
        self._go_on(AWAY_MS)
        machine.start()
        began_ms, snapshots = self.fleet.clock.now_ms, self._snapshots()
        self._primaries.clear()
        while not self._is_current(machine):
            if self.fleet.clock.now_ms - began_ms > LONGEST_MS:
                raise TimeoutError(f"not current after {LONGEST_MS} ms")
            self._go_on(self._interval_ms, machine)
        current_ms = self.fleet.clock.now_ms - began_ms
        self._go_on(2_000.0)
        return CatchUp(current_ms, self._snapshots() - snapshots, len(self._primaries))

    def _go_on(self, duration_ms: float, until_current: Machine | None = None) -> None:
        """Take commands for a while, or until a machine is current."""
        until_ms = self.fleet.clock.now_ms + duration_ms
        while self.fleet.clock.now_ms < until_ms:
            self._command(self._command_bytes)
            next_ms = min(until_ms, self.fleet.clock.now_ms + self._interval_ms)
            while self.fleet.clock.now_ms < next_ms:
                if until_current is not None and self._is_current(until_current):
                    return
                self.fleet.run(5.0)
                self._observe()

    def _command(self, size: int) -> None:
        primary = self.fleet.primary()
        if primary is None:
            return
        submitted = _command(self.version, self.version + 1, "x" * size)
        primary.submit(submitted, self._ended)

    def _ended(self, result: CommandResult) -> None:
        if result.outcome is CommandOutcome.COMMITTED:
            self.version = max(self.version, result.version)

    def _observe(self) -> None:
        primary = self.fleet.primary()
        if primary is not None:
            self._primaries.add(primary.address)

    def _is_current(self, machine: Machine) -> bool:
        status = machine.status()
        return (
            status is not None
            and self.fleet.primary() is not None
            and status.committed_version >= self.version
            and machine.address in self.fleet.in_sync()
        )

    def _snapshots(self) -> int:
        return sum(
            report.event is SNAPSHOT_SENT
            for machine in self.fleet.machines.values()
            for _, report in machine.reports
        )


def main() -> None:
    """Print a table: median and worst over the seeds."""
    names = f"{'median ms':>11}{'worst ms':>10}{'snapshots':>11}{'primaries':>11}"
    print(f"{'routes':>8}{'disk':>8}{'command bytes':>13}{names}")
    for routes, state_bytes in STATE_BYTES.items():
        for wiped in (False, True):
            for command_bytes in (SHORT_ORDER_BYTES, state_bytes):
                row = []
                for seed in SEEDS:
                    row.append(_catch_up(state_bytes, seed, wiped, command_bytes))
                times = sorted(each.current_ms for each in row)
                print(
                    f"{routes:>8,}{'empty' if wiped else 'retained':>8}{command_bytes:>13,}"
                    f"{times[len(times) // 2]:>11.0f}{times[-1]:>10.0f}"
                    f"{max(each.snapshots for each in row):>11}{max(each.primaries for each in row):>11}",
                    flush=True,
                )


def _catch_up(state_bytes: int, seed: int, wiped: bool, command_bytes: int) -> CatchUp:
    with large_states():
        try:
            return Return(state_bytes, seed, wiped, command_bytes).run()
        except TimeoutError:
            return CatchUp(math.inf, 0, 0)


if __name__ == "__main__":
    main()
