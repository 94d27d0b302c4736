"""What callers and replicas of a fleet saw, and whether that may have happened."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from madderwind.messages.replication import View
from madderwind.replication.commands import Command, CommandOutcome
from tests.fleet.machine import Machine
from tests.fleet.register import Register, change_of

# Members at the founding, whatever the tolerance.
MOST_SEEDS = 3

Taken = tuple[int, bytes]  # base version and body of one command


class Violation(AssertionError):
    """Something that no fleet may do."""


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
    """Collects what was seen; `check` compares it with the configuration at the end."""

    def __init__(self, tolerance: int) -> None:
        self._tolerance = tolerance
        self.on_acknowledged: Callable[[Attempt], None] = lambda attempt: None
        self.attempts: list[Attempt] = []
        self.reads: list[ProvenRead] = []
        self._committed: dict[tuple[str, int], tuple[Taken, ...]] = {}
        self._longest: tuple[Taken, ...] = ()
        self._views: dict[int, View] = {}

    def acknowledge(self, now_ms: float, attempt: Attempt, machines: list[Machine]) -> None:
        """A command was acknowledged: by now it has to be on enough disks."""
        if attempt.refused_ms is not None:
            raise Violation(f"{attempt} was refused and then acknowledged")
        if attempt.acknowledged_ms is None:
            attempt.acknowledged_ms = now_ms
            self.on_acknowledged(attempt)
            holders = [machine.address for machine in machines if attempt.taken in machine.taken_on_disk()]
            if len(holders) <= self._tolerance:
                raise Violation(f"{attempt} is acknowledged and on disk at {holders} alone")

    def refuse(self, now_ms: float, attempt: Attempt, outcome: CommandOutcome) -> None:
        """A command was refused."""
        if attempt.acknowledged_ms is not None:
            raise Violation(f"{attempt} was acknowledged and then {outcome}")
        attempt.refused_ms = now_ms

    def note_committed(self, machine: Machine, register: Register) -> None:
        """A replica takes something for committed."""
        taken = tuple(register.taken)
        incarnation = (machine.address, machine.incarnation)
        before = self._committed.get(incarnation, ())
        if taken[: len(before)] != before:
            raise Violation(f"{machine.address} went back from {_names(before)} to {_names(taken)}")
        self._committed[incarnation] = taken
        shared = min(len(taken), len(self._longest))
        if taken[:shared] != self._longest[:shared]:
            raise Violation(f"{machine.address} has {_names(taken)}, others {_names(self._longest)}")
        self._longest = max(self._longest, taken, key=len)

    def note_view(self, view: View) -> None:
        """A replica takes a view for chosen."""
        known = self._views.setdefault(view.epoch, view)
        if known != view:
            raise Violation(f"two views of one epoch: {known} and {view}")
        if len(view.members) > max(2 * self._tolerance + 1, MOST_SEEDS):
            raise Violation(f"more members than are needed: {view}")
        if len(view.in_sync) <= self._tolerance:
            raise Violation(f"the in-sync set is smaller than what has to hold a command: {view}")

    def check(self, final: Register) -> None:
        """Compare all that was seen with what the fleet holds at the end."""
        taken = tuple(final.taken)
        if taken[: len(self._longest)] != self._longest:
            raise Violation(f"committed {_names(self._longest)}, at the end {_names(taken)}")
        for attempt in self.attempts:
            if attempt.acknowledged_ms is not None and attempt.taken not in taken:
                raise Violation(f"{attempt} was acknowledged and is lost")
            if attempt.refused_ms is not None and attempt.taken in taken:
                raise Violation(f"{attempt} was refused and is in force")
        self._check_reads(taken)

    def _check_reads(self, taken: tuple[Taken, ...]) -> None:
        place = {entry: index for index, entry in enumerate(taken)}
        acknowledged = sorted(
            (attempt.acknowledged_ms, place[attempt.taken])
            for attempt in self.attempts
            if attempt.acknowledged_ms is not None
        )
        for read in self.reads:
            if read.taken != taken[: len(read.taken)]:
                raise Violation(f"a read saw {_names(read.taken)}, at the end there is {_names(taken)}")
            needed = max((index + 1 for at_ms, index in acknowledged if at_ms < read.began_ms), default=0)
            if len(read.taken) < needed:
                raise Violation(f"a read from {read.began_ms} on saw {len(read.taken)} of {needed} commands")


def _names(taken: tuple[Taken, ...]) -> list[str]:
    return [change_of(body).name for _, body in taken[-8:]]
