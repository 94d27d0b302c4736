"""A swap of members, struck at each of its events: every message, write and tick between its begin and end.

The swap is run once to count its events. Then the same seed is run again for each event and kind of strike;
the strike comes just before that event. By hand: `python -m tests.replication.loss_at_each_event`.
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
from tests.replication.full_set import is_full

SEED = 17
RESTART_MS = 100.0
# After the process that was struck runs again.
FULL_WITHIN_MS = 500.0
LONGEST_MS = 10_000.0


class Swap(Enum):
    """What leads to the swap."""

    REPLACED_BACKUP = "a backup was replaced"
    REPLACED_PRIMARY = "the primary was replaced"
    WIPED_BACKUP = "a backup was wiped"
    PLANNED = "the primary was requested to leave and replaced"


class Struck(Enum):
    """Whom a strike hits."""

    PRIMARY = "primary"
    BACKUP = "backup"
    NEWCOMER = "newcomer"


class Strike(Enum):
    """What happens."""

    CRASH = "crash"
    POWER_LOSS = "power loss"
    WIPE = "wipe"  # of the newcomer alone: no other disk may be lost before it counts as caught up
    LOST_MESSAGE = "lost message"


class StrikingClock(Clock):
    """Counts what happens once it is told to, and strikes just before one event."""

    def __init__(self) -> None:
        super().__init__()
        self.events = 0
        self.is_counting = False
        self.strike_at = -1
        self.strike: Callable[[], None] = lambda: None

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen later, as a counted event."""
        super().after(delay_ms, lambda: self._happen(action))

    def _happen(self, action: Callable[[], None]) -> None:
        if self.is_counting:
            if self.events == self.strike_at:
                self.strike()
            self.events += 1
        action()


class LossyNetwork(Network):
    """Loses the next message on request."""

    loses_next = False

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if self.loses_next:
            self.loses_next = False
        else:
            super()._deliver(sender, receiver, data)


@attrs.frozen
class Case:
    """One replay: the strike at one event of a swap. `struck` is of no matter to a lost message."""

    swap: Swap
    strike: Strike
    struck: Struck
    event: int


def cases(swap: Swap, events: range) -> list[Case]:
    """All strikes at these events."""
    return [
        Case(swap, strike, struck, event)
        for event in events
        for strike, struck in (
            (Strike.LOST_MESSAGE, Struck.NEWCOMER),
            (Strike.WIPE, Struck.NEWCOMER),
            *((Strike.CRASH, struck) for struck in Struck),
            *((Strike.POWER_LOSS, struck) for struck in Struck),
        )
    ]


class StruckSwap:
    """A fleet of three on its way through one swap."""

    def __init__(self, swap: Swap) -> None:
        self._swap = swap
        self._acknowledged = 3
        self._repaired_ms = 0.0
        self._results: list[CommandResult] = []
        self._clock = StrikingClock()
        with (
            patch("tests.fleet.fleet.Clock", lambda: self._clock),
            patch("tests.fleet.fleet.Network", LossyNetwork),
        ):
            self.fleet = Fleet(3, 1, seed=SEED)
        self.fleet.start()
        self.fleet.stabilize()
        self.fleet.submit_and_commit(0, 3)
        self.fleet.run(1_000.0)
        self._newcomer = self._begin()

    def count_events(self) -> int:
        """Run the swap unharmed; how many events it has."""
        self._start_newcomer()
        self.fleet.run_until(lambda: is_full(self.fleet), LONGEST_MS)
        return self._clock.events

    def run(self, case: Case) -> float:
        """Strike; ms from the restart of what was struck to a full set. Violation where it is not so within
        the bound, or an acknowledged command is lost."""
        self._clock.strike_at = case.event
        self._clock.strike = lambda: self._strike(case)
        self._start_newcomer()
        self.fleet.run_until(lambda: self._clock.events > case.event, LONGEST_MS)
        self.fleet.run(max(0.0, self._repaired_ms - self.fleet.clock.now_ms))
        try:
            waited_ms = self.fleet.run_until(lambda: is_full(self.fleet), FULL_WITHIN_MS)
        except TimeoutError:
            raise Violation(f"{case}: the set is not full after {FULL_WITHIN_MS} ms") from None
        self._check(case)
        return waited_ms

    def _begin(self) -> Machine:
        """The loss; the machine that comes in the place of the lost one, not started."""
        primary = self.fleet.primary()
        assert primary is not None
        backup = next(machine for machine in self.fleet.running() if machine is not primary)
        lost = primary if self._swap in (Swap.REPLACED_PRIMARY, Swap.PLANNED) else backup
        if self._swap is Swap.WIPED_BACKUP:
            lost.wipe()
            self.fleet.run(200.0)
            return lost
        if self._swap is Swap.PLANNED:
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

    def _strike(self, case: Case) -> None:
        self._repaired_ms = self._clock.now_ms
        if case.strike is Strike.LOST_MESSAGE:
            assert isinstance(self.fleet.network, LossyNetwork)
            self.fleet.network.loses_next = True
            return
        machine = self._machine(case.struck)
        if machine is None:
            return
        match case.strike:
            case Strike.CRASH:
                machine.kill()
            case Strike.POWER_LOSS:
                machine.lose_power()
            case _:
                machine.wipe()
        self._repaired_ms += RESTART_MS
        self._clock.after(RESTART_MS, machine.start)

    def _machine(self, struck: Struck) -> Machine | None:
        if struck is Struck.NEWCOMER:
            return self._newcomer
        primary = self.fleet.primary()
        if struck is Struck.PRIMARY:
            return primary
        others = (primary, self._newcomer)
        return next((machine for machine in self.fleet.running() if machine not in others), None)

    def _check(self, case: Case) -> None:
        taken = any(result.outcome is CommandOutcome.COMMITTED for result in self._results)
        version = self.fleet.read_committed().version
        if version < (5 if taken else 3):
            raise Violation(f"{case}: an acknowledged command is lost, the version is {version}")


def main() -> None:
    """Strike at every event of every kind of swap."""
    began = time.monotonic()
    for swap in Swap:
        events = StruckSwap(swap).count_events()
        waits: list[float] = []
        failed = 0
        for case in cases(swap, range(events)):
            try:
                waits.append(StruckSwap(swap).run(case))
            except Violation as violation:
                failed += 1
                print(violation, flush=True)
        print(
            f"{swap.value}: {events} events, {len(waits) + failed} strikes, {failed} failed, "
            f"worst {max(waits):.0f} ms, {time.monotonic() - began:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
