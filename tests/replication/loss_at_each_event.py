"""Injects a fault at each event of a member replacement: each message, write and tick from begin to end.

The replacement is run once to count its events. It is then rerun with the same seed for each event and kind
of fault, with the fault injected just before that event.

To run all cases: `python -m tests.replication.loss_at_each_event`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum
from unittest.mock import patch

import attrs

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.clock import Clock
from tests.fleet.fleet import Fleet
from tests.fleet.history import Violation
from tests.fleet.machine import Machine
from tests.fleet.network import Network
from tests.replication.full_set import is_member_set_full

SEED = 17
RESTART_MS = 100.0
# Bound of the time to a full member set, from the restart of the failed process.
FULL_WITHIN_MS = 500.0
MAX_WAIT_MS = 10_000.0


class ReplacementCause(Enum):
    """The cause of a member replacement."""

    REPLACED_BACKUP = "a backup was replaced"
    REPLACED_PRIMARY = "the primary was replaced"
    WIPED_BACKUP = "a backup was wiped"
    PLANNED = "the primary was requested to leave and replaced"


class FaultTarget(Enum):
    """The machine at which a fault is injected."""

    PRIMARY = "primary"
    BACKUP = "backup"
    NEWCOMER = "newcomer"


class Fault(Enum):
    """The kind of an injected fault."""

    CRASH = "crash"
    POWER_LOSS = "power loss"
    WIPE = "wipe"  # only of the newcomer: no other disk may be lost before the newcomer has caught up
    LOST_MESSAGE = "lost message"


class FaultInjectingClock(Clock):
    """A clock that counts events while `is_counting` is set, and injects a fault just before one event."""

    def __init__(self) -> None:
        super().__init__()
        self.events = 0
        self.is_counting = False
        self.fault_event = -1
        self.inject_fault: Callable[[], None] = lambda: None

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action as a counted event."""
        super().after(delay_ms, lambda: self._run_event(action))

    def _run_event(self, action: Callable[[], None]) -> None:
        if self.is_counting:
            if self.events == self.fault_event:
                self.inject_fault()
            self.events += 1
        action()


class LossyNetwork(Network):
    """A network that drops the next message on request."""

    drops_next = False

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if self.drops_next:
            self.drops_next = False
        else:
            super()._deliver(sender, receiver, data)


@attrs.frozen
class Case:
    """One run: a fault at one event of a replacement. `target` is ignored for a lost message."""

    cause: ReplacementCause
    fault: Fault
    target: FaultTarget
    event: int


def cases(cause: ReplacementCause, events: range) -> list[Case]:
    """Return all cases for a cause of replacement and a range of events."""
    return [
        Case(cause, fault, target, event)
        for event in events
        for fault, target in (
            (Fault.LOST_MESSAGE, FaultTarget.NEWCOMER),
            (Fault.WIPE, FaultTarget.NEWCOMER),
            *((Fault.CRASH, target) for target in FaultTarget),
            *((Fault.POWER_LOSS, target) for target in FaultTarget),
        )
    ]


class FaultyReplacement:
    """A fleet of three machines that replaces one member."""

    def __init__(self, cause: ReplacementCause) -> None:
        self._cause = cause
        self._acknowledged = 3
        self._repaired_ms = 0.0
        self._results: list[CommandResult] = []
        self._clock = FaultInjectingClock()
        with (
            patch("tests.fleet.fleet.Clock", lambda: self._clock),
            patch("tests.fleet.fleet.Network", LossyNetwork),
        ):
            self.fleet = Fleet(3, 1, seed=SEED)
        self.fleet.start()
        self.fleet.stabilize()
        self.fleet.submit_and_commit(0, 3)
        self.fleet.run(1_000.0)
        self._newcomer = self._lose_machine()

    def count_events(self) -> int:
        """Run the replacement without a fault and return its number of events."""
        self._start_newcomer()
        self.fleet.run_until(lambda: is_member_set_full(self.fleet), MAX_WAIT_MS)
        return self._clock.events

    def run(self, case: Case) -> float:
        """Run the replacement with a fault; return the ms from the restart to a full member set.

        Raises:
            Violation: The set is not full within the bound, or an acknowledged command is lost.
        """
        self._clock.fault_event = case.event
        self._clock.inject_fault = lambda: self._inject_fault(case)
        self._start_newcomer()
        self.fleet.run_until(lambda: self._clock.events > case.event, MAX_WAIT_MS)
        self.fleet.run(max(0.0, self._repaired_ms - self.fleet.clock.now_ms))
        try:
            waited_ms = self.fleet.run_until(lambda: is_member_set_full(self.fleet), FULL_WITHIN_MS)
        except TimeoutError:
            raise Violation(f"{case}: the set is not full after {FULL_WITHIN_MS} ms") from None
        self._check(case)
        return waited_ms

    def _lose_machine(self) -> Machine:
        """Lose a machine and return its replacement, which is not started yet."""
        primary = self.fleet.primary()
        assert primary is not None
        backup = next(machine for machine in self.fleet.running() if machine is not primary)
        lost = (
            primary
            if self._cause in (ReplacementCause.REPLACED_PRIMARY, ReplacementCause.PLANNED)
            else backup
        )
        if self._cause is ReplacementCause.WIPED_BACKUP:
            lost.wipe()
            self.fleet.run(200.0)
            return lost
        if self._cause is ReplacementCause.PLANNED:
            lost.ask_to_leave()
            self.fleet.run(100.0)
        lost.remove()
        del self.fleet.machines[lost.address]
        self.fleet.run(200.0)
        return self.fleet.add("newcomer")

    def _start_newcomer(self) -> None:
        self._clock.is_counting = True
        self._newcomer.start()
        primary = self.fleet.primary()
        if primary is not None:
            self.fleet.submit_into(primary, 3, 5, "under way", self._results)

    def _inject_fault(self, case: Case) -> None:
        self._repaired_ms = self._clock.now_ms
        if case.fault is Fault.LOST_MESSAGE:
            assert isinstance(self.fleet.network, LossyNetwork)
            self.fleet.network.drops_next = True
            return
        machine = self._target_machine(case.target)
        if machine is None:
            return
        match case.fault:
            case Fault.CRASH:
                machine.kill()
            case Fault.POWER_LOSS:
                machine.lose_power()
            case _:
                machine.wipe()
        self._repaired_ms += RESTART_MS
        self._clock.after(RESTART_MS, machine.start)

    def _target_machine(self, target: FaultTarget) -> Machine | None:
        if target is FaultTarget.NEWCOMER:
            return self._newcomer
        primary = self.fleet.primary()
        if target is FaultTarget.PRIMARY:
            return primary
        others = (primary, self._newcomer)
        return next((machine for machine in self.fleet.running() if machine not in others), None)

    def _check(self, case: Case) -> None:
        is_committed = any(result.outcome is CommandOutcome.COMMITTED for result in self._results)
        version = self.fleet.read_committed().version
        if version < (5 if is_committed else 3):
            raise Violation(f"{case}: an acknowledged command is lost, the version is {version}")


def main() -> None:
    """Inject every kind of fault at every event of every kind of replacement."""
    started_s = time.monotonic()
    for cause in ReplacementCause:
        events = FaultyReplacement(cause).count_events()
        waits: list[float] = []
        failed = 0
        for case in cases(cause, range(events)):
            try:
                waits.append(FaultyReplacement(cause).run(case))
            except Violation as violation:
                failed += 1
                print(violation, flush=True)
        print(
            f"{cause.value}: {events} events, {len(waits) + failed} faults, {failed} failed, "
            f"worst {max(waits):.0f} ms, {time.monotonic() - started_s:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
