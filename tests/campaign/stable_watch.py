"""Sends commands while a system in trouble is stable: they are to be answered, and put in force, in time.

A system is stable once nothing has begun or ended for a while and no more machines are hurt than it is to
bear: a machine that is cut off for twenty seconds is no excuse for the others.
"""

from __future__ import annotations

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.control_machine import ControlMachine
from tests.campaign.losses import LossLedger
from tests.campaign.records import CommandCall, Intent, replacement
from tests.campaign.system import System

CONTACT_MS = 3_000.0
ACKNOWLEDGED_WITHIN_MS = 4_000.0
APPLIED_WITHIN_MS = 2_000.0
INTERVAL_MS = 500.0
RETRY_MS = 50.0


class StableWatch:
    """Notes violations in the history. `commands`: how many were demanded."""

    def __init__(self, system: System, losses: LossLedger) -> None:
        self._system, self._losses = system, losses
        self._clock, self._history = system.clock, system.history
        self._is_active = False
        self.commands = 0

    def start(self) -> None:
        """Watch until stopped."""
        self._is_active = True
        self._look()

    def stop(self) -> None:
        """Send no further command."""
        self._is_active = False

    def _look(self) -> None:
        if not self._is_active:
            return
        if self._is_stable_since(self._clock.now_ms - CONTACT_MS):
            self._command()
        self._clock.after(INTERVAL_MS, self._look)

    def _is_stable_since(self, since_ms: float) -> bool:
        return self._is_active and self._losses.last_event_ms <= since_ms and self._losses.is_within_bounds

    def _command(self) -> None:
        self.commands += 1
        base = self._history.chain[-1].version if self._history.chain else 0
        marker = self._history.next_marker()
        command = replacement(marker, base, base + 1)
        intent = Intent(marker, command, base + 1, True, self._clock.now_ms)
        self._history.add(intent)
        machines = list(self._system.machines.values())
        demand = _Demand(intent)
        self._call(machines, marker, demand)
        self._clock.after(ACKNOWLEDGED_WITHIN_MS, lambda: self._demand_answer(demand))

    def _call(self, machines: list[ControlMachine], turn: int, demand: _Demand) -> None:
        machine, intent = machines[turn % len(machines)], demand.intent
        record = CommandCall(intent, machine.address, self._clock.now_ms)

        def ended(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self._clock.now_ms, result
                self._history.answered(record)
                demand.is_answered = True
                if result.outcome is CommandOutcome.COMMITTED:
                    self._clock.after(APPLIED_WITHIN_MS, lambda: self._demand_force(intent))
            elif self._is_active:
                self._clock.after(RETRY_MS, lambda: self._call(machines, turn + 1, demand))

        call: HttpCall[CommandResult] = HttpCall(
            self._system.links,
            "o-stable",
            machine,
            lambda reply: machine.command(intent.command, reply),
            ended,
        )
        call.start(self._system.rng, 0.0)

    def _demand_answer(self, demand: _Demand) -> None:
        if not demand.is_answered and self._is_stable_since(demand.intent.began_ms - CONTACT_MS):
            self._note(f"{demand.intent} of {demand.intent.began_ms:.0f} ms has no answer")

    def _demand_force(self, intent: Intent) -> None:
        if not self._is_stable_since(intent.began_ms - CONTACT_MS):
            return
        for data_plane in self._system.data_planes:
            is_in_touch = not self._losses.is_hurt(data_plane.address)
            if is_in_touch and data_plane.version < intent.version:
                self._note(f"{intent} of {intent.began_ms:.0f} ms is not in force at {data_plane.address}")

    def _note(self, message: str) -> None:
        self._history.note("stall", f"{message} at {self._clock.now_ms:.0f} ms, though all was stable")


class _Demand:
    """A command that is to be answered."""

    def __init__(self, intent: Intent) -> None:
        self.intent = intent
        self.is_answered = False
