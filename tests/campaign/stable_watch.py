"""Sends commands while a system with faults is stable; they must be answered and applied in time.

A system is stable once no fault has begun or ended for STABLE_AFTER_MS and the affected machines are within
the tolerance: a machine that is cut off for twenty seconds must not delay the others.
"""

from __future__ import annotations

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.control_machine import ControlMachine
from tests.campaign.losses import LossTracker
from tests.campaign.records import CommandCall, Intent, replacement
from tests.campaign.system import System

STABLE_AFTER_MS = 3_000.0
ACKNOWLEDGED_WITHIN_MS = 4_000.0
APPLIED_WITHIN_MS = 2_000.0
INTERVAL_MS = 500.0
RETRY_MS = 50.0


class StableWatch:
    """Records violations as notes in the history. `commands` counts the commands that were sent."""

    def __init__(self, system: System, losses: LossTracker) -> None:
        self._system, self._losses = system, losses
        self._clock, self._history = system.clock, system.history
        self._is_active = False
        self.commands = 0

    def start(self) -> None:
        """Send commands while the system is stable, until stopped."""
        self._is_active = True
        self._check()

    def stop(self) -> None:
        """Send no further command."""
        self._is_active = False

    def _check(self) -> None:
        if not self._is_active:
            return
        if self._is_stable_since(self._clock.now_ms - STABLE_AFTER_MS):
            self._command()
        self._clock.after(INTERVAL_MS, self._check)

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
        expected = _ExpectedAnswer(intent)
        self._call(machines, marker, expected)
        self._clock.after(ACKNOWLEDGED_WITHIN_MS, lambda: self._check_answered(expected))

    def _call(self, machines: list[ControlMachine], turn: int, expected: _ExpectedAnswer) -> None:
        machine, intent = machines[turn % len(machines)], expected.intent
        record = CommandCall(intent, machine.address, self._clock.now_ms)

        def ended(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self._clock.now_ms, result
                self._history.answered(record)
                expected.is_answered = True
                if result.outcome is CommandOutcome.COMMITTED:
                    self._clock.after(APPLIED_WITHIN_MS, lambda: self._check_applied(intent))
            elif self._is_active:
                self._clock.after(RETRY_MS, lambda: self._call(machines, turn + 1, expected))

        call: HttpCall[CommandResult] = HttpCall(
            self._system.links,
            "o-stable",
            machine,
            lambda reply: machine.command(intent.command, reply),
            ended,
        )
        call.start(self._system.rng, 0.0)

    def _check_answered(self, expected: _ExpectedAnswer) -> None:
        if not expected.is_answered and self._is_stable_since(expected.intent.began_ms - STABLE_AFTER_MS):
            self._note(f"{expected.intent} of {expected.intent.began_ms:.0f} ms was not answered")

    def _check_applied(self, intent: Intent) -> None:
        if not self._is_stable_since(intent.began_ms - STABLE_AFTER_MS):
            return
        for data_plane in self._system.data_planes:
            is_unaffected = not self._losses.is_degraded(data_plane.address)
            if is_unaffected and data_plane.version < intent.version:
                self._note(f"{intent} of {intent.began_ms:.0f} ms is not applied at {data_plane.address}")

    def _note(self, message: str) -> None:
        self._history.note(
            "stall", f"{message} at {self._clock.now_ms:.0f} ms, although the system was stable"
        )


class _ExpectedAnswer:
    """A command that must be answered in time."""

    def __init__(self, intent: Intent) -> None:
        self.intent = intent
        self.is_answered = False
