"""Measures how long a member takes to catch up after a restart or a disk loss, under continuous commands.

The fleet is simulated in memory, with a 210 Mbit/s link per machine and a processing time for long messages.
Its state is incompressible and as long as configurations of 100, 2,000 and 16,000 routes. Run it with
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

# JSON size in bytes of a configuration by its number of routes, as tests.configuration.cost_of_change
# generates it.
STATE_BYTES = {100: 28_000, 2_000: 550_000, 16_000: 4_400_000}
LINK_BYTES_PER_MS = 26_250.0  # 210 Mbit/s
# A configuration of 16,000 routes takes 200 ms to parse.
HANDLING_MS_PER_BYTE = 200.0 / 4_400_000
# Three short commands per second, or one that replaces the whole state; three of the latter would saturate
# the link.
SHORT_COMMAND_INTERVAL_MS, LONG_COMMAND_INTERVAL_MS = 330.0, 1_000.0
RETAINED_ENTRIES = 4
SHORT_COMMAND_BYTES, LONG_COMMAND_BYTES = 200, 1_000
DOWNTIME_MS = 6_000.0
MAX_CATCH_UP_MS = 20_000.0
SEEDS = range(1, 6)


class LargeRegister(Register):
    """Retains only the padding of the last long command, as a configuration holds its last replacement."""

    def apply(self, command: Command) -> None:
        super().apply(command)
        superseded = len(self.taken) - 1 if len(command.body) > LONG_COMMAND_BYTES else 0
        for index, (base, body) in enumerate(self.taken[:superseded]):
            if len(body) > LONG_COMMAND_BYTES:
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
    """Simulate long states whose messages are equally long, by disabling compression."""
    with ExitStack() as stack:
        stack.enter_context(patch("tests.fleet.machine.Register", LargeRegister))
        stack.enter_context(patch("madderwind.messages.codec.MIN_COMPRESSED_BYTES", 1 << 40))
        stack.enter_context(patch("madderwind.replication.log.RETAINED_ENTRIES", RETAINED_ENTRIES))
        yield


@attrs.frozen
class CatchUp:
    """Measurements of one catch-up.

    Attributes:
        current_ms: Time from the start of the process until it was in sync with the newest committed version.
        snapshots: Number of snapshots sent from the start until 2 s after that.
        primaries: Number of different primaries in the same time.
    """

    current_ms: float
    snapshots: int
    primaries: int


class CatchUpScenario:
    """Stops and restarts one machine of a fleet that processes commands at a fixed interval."""

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
        is_long = command_bytes > LONG_COMMAND_BYTES
        default_interval_ms = LONG_COMMAND_INTERVAL_MS if is_long else SHORT_COMMAND_INTERVAL_MS
        self._interval_ms = interval_ms or default_interval_ms
        self.version = 0
        self._primaries: set[str] = set()
        self.fleet.start()
        self.fleet.stabilize()
        self.fleet.network.bytes_per_ms = LINK_BYTES_PER_MS
        self.fleet.network.handling_ms_per_byte = HANDLING_MS_PER_BYTE
        self._command(state_bytes)
        self.fleet.run(3_000.0)
        assert self.version == 1, "the first command was not committed"

    def run(self) -> CatchUp:
        """Run the scenario; raises TimeoutError if the machine does not catch up."""
        primary = self.fleet.primary()
        assert primary is not None
        machine = next(each for each in self.fleet.machines.values() if each is not primary)
        (machine.wipe if self._wiped else machine.kill)()
        self.process_commands(DOWNTIME_MS)
        machine.start()
        started_ms, snapshots = self.fleet.clock.now_ms, self.snapshots_sent()
        self._primaries.clear()
        while not self.is_current(machine):
            if self.fleet.clock.now_ms - started_ms > MAX_CATCH_UP_MS:
                raise TimeoutError(f"machine did not catch up within {MAX_CATCH_UP_MS} ms")
            self.process_commands(self._interval_ms, machine)
        current_ms = self.fleet.clock.now_ms - started_ms
        self.process_commands(2_000.0)
        return CatchUp(current_ms, self.snapshots_sent() - snapshots, len(self._primaries))

    def process_commands(self, duration_ms: float, until_current: Machine | None = None) -> None:
        """Process commands for a while, or until a machine has caught up."""
        until_ms = self.fleet.clock.now_ms + duration_ms
        while self.fleet.clock.now_ms < until_ms:
            self._command(self._command_bytes)
            next_ms = min(until_ms, self.fleet.clock.now_ms + self._interval_ms)
            while self.fleet.clock.now_ms < next_ms:
                if until_current is not None and self.is_current(until_current):
                    return
                self.fleet.run(5.0)
                self._record_primary()

    def _command(self, size: int) -> None:
        primary = self.fleet.primary()
        if primary is None:
            return
        submitted = _command(self.version, self.version + 1, "x" * size)
        primary.submit(submitted, self._handle_result)

    def _handle_result(self, result: CommandResult) -> None:
        if result.outcome is CommandOutcome.COMMITTED:
            self.version = max(self.version, result.version)

    def _record_primary(self) -> None:
        primary = self.fleet.primary()
        if primary is not None:
            self._primaries.add(primary.address)

    def is_current(self, machine: Machine) -> bool:
        status = machine.status()
        return (
            status is not None
            and self.fleet.primary() is not None
            and status.committed_version >= self.version
            and machine.address in self.fleet.in_sync()
        )

    def snapshots_sent(self) -> int:
        return sum(
            report.event is SNAPSHOT_SENT
            for machine in self.fleet.machines.values()
            for _, report in machine.reports
        )


def main() -> None:
    """Print a table with the median and the maximum over the seeds."""
    names = f"{'median ms':>11}{'worst ms':>10}{'snapshots':>11}{'primaries':>11}"
    print(f"{'routes':>8}{'disk':>8}{'command bytes':>13}{names}")
    for routes, state_bytes in STATE_BYTES.items():
        for wiped in (False, True):
            for command_bytes in (SHORT_COMMAND_BYTES, state_bytes):
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
            return CatchUpScenario(state_bytes, seed, wiped, command_bytes).run()
        except TimeoutError:
            return CatchUp(math.inf, 0, 0)


if __name__ == "__main__":
    main()
