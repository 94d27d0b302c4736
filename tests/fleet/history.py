"""Observations of callers and replicas of a fleet, and a check of their consistency."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from madderwind.messages.replication import View
from madderwind.replication.commands import Command, CommandOutcome
from tests.fleet.machine import Machine
from tests.fleet.register import Register, change_of

# Number of members at bootstrap, regardless of the tolerance.
MOST_SEEDS = 3

Taken = tuple[int, bytes]  # base version and body of one command


class Violation(AssertionError):
    """A violated invariant of the system."""


@attrs.define
class Attempt:
    """One command of an operator, with all its repeats."""

    command: Command
    began_ms: float
    acknowledged_ms: float | None = None
    refused_ms: float | None = None

    @property
    def taken(self) -> Taken:
        return (self.command.base_version, self.command.body)


@attrs.frozen
class ProvenRead:
    """A read that was answered as the newest."""

    began_ms: float
    ended_ms: float
    taken: tuple[Taken, ...]


class History:
    """Collects observations; `check` compares them with the final configuration."""

    def __init__(self, tolerance: int) -> None:
        self._tolerance = tolerance
        self.on_acknowledged: Callable[[Attempt], None] = lambda attempt: None
        self.attempts: list[Attempt] = []
        self.reads: list[ProvenRead] = []
        self._committed: dict[tuple[str, int], tuple[Taken, ...]] = {}
        self._longest: tuple[Taken, ...] = ()
        self._views: dict[int, View] = {}

    def acknowledge(self, now_ms: float, attempt: Attempt, machines: list[Machine]) -> None:
        """Record an acknowledged command and check that it is on enough disks."""
        if attempt.refused_ms is not None:
            raise Violation(f"{attempt} was refused and then acknowledged")
        if attempt.acknowledged_ms is None:
            attempt.acknowledged_ms = now_ms
            self.on_acknowledged(attempt)
            holders = [machine.address for machine in machines if attempt.taken in machine.taken_on_disk()]
            if len(holders) <= self._tolerance:
                raise Violation(f"{attempt} is acknowledged and on disk at {holders} alone")

    def refuse(self, now_ms: float, attempt: Attempt, outcome: CommandOutcome) -> None:
        """Record a refused command."""
        if attempt.acknowledged_ms is not None:
            raise Violation(f"{attempt} was acknowledged and then {outcome}")
        attempt.refused_ms = now_ms

    def note_committed(self, machine: Machine, register: Register) -> None:
        """Record and check the commands that a replica considers committed."""
        taken = tuple(register.taken)
        incarnation = (machine.address, machine.incarnation)
        before = self._committed.get(incarnation, ())
        if taken[: len(before)] != before:
            raise Violation(
                f"{machine.address} went back from {_command_names(before)} to {_command_names(taken)}"
            )
        self._committed[incarnation] = taken
        shared = min(len(taken), len(self._longest))
        if taken[:shared] != self._longest[:shared]:
            raise Violation(
                f"{machine.address} has {_command_names(taken)}, others {_command_names(self._longest)}"
            )
        self._longest = max(self._longest, taken, key=len)

    def note_view(self, view: View) -> None:
        """Record and check a view that a replica considers decided."""
        known = self._views.setdefault(view.epoch, view)
        if known != view:
            raise Violation(f"two views of one epoch: {known} and {view}")
        if len(view.members) > max(2 * self._tolerance + 1, MOST_SEEDS):
            raise Violation(f"more members than needed: {view}")
        if len(view.in_sync) <= self._tolerance:
            raise Violation(f"the in-sync set has too few replicas to hold a command: {view}")

    def check(self, final: Register) -> None:
        """Compare all observations with the final state of the fleet."""
        taken = tuple(final.taken)
        if taken[: len(self._longest)] != self._longest:
            raise Violation(f"committed {_command_names(self._longest)}, at the end {_command_names(taken)}")
        for attempt in self.attempts:
            if attempt.acknowledged_ms is not None and attempt.taken not in taken:
                raise Violation(f"{attempt} was acknowledged and is lost")
            if attempt.refused_ms is not None and attempt.taken in taken:
                raise Violation(f"{attempt} was refused and is committed")
        self._check_reads(taken)

    def _check_reads(self, taken: tuple[Taken, ...]) -> None:
        index_of = {entry: index for index, entry in enumerate(taken)}
        acknowledged = sorted(
            (attempt.acknowledged_ms, index_of[attempt.taken])
            for attempt in self.attempts
            if attempt.acknowledged_ms is not None
        )
        for read in self.reads:
            if read.taken != taken[: len(read.taken)]:
                raise Violation(
                    f"a read saw {_command_names(read.taken)}, at the end there is {_command_names(taken)}"
                )
            needed = max((index + 1 for at_ms, index in acknowledged if at_ms < read.began_ms), default=0)
            if len(read.taken) < needed:
                raise Violation(f"a read from {read.began_ms} on saw {len(read.taken)} of {needed} commands")


def _command_names(taken: tuple[Taken, ...]) -> list[str]:
    return [change_of(body).name for _, body in taken[-8:]]
