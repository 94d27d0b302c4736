"""Operators that change and read the configuration, and retry calls without a definite answer."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from madderwind.controlplane.effects import RespondToRead
from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.control_machine import ControlMachine
from tests.campaign.history import History
from tests.campaign.links import Links
from tests.campaign.records import (
    CommandCall,
    Intent,
    invalid_command,
    marker_in_json,
    replacement,
    update,
)
from tests.fleet.linearizability import ReadCall

MAX_ATTEMPTS = 12
READ_SHARE, REPEAT_SHARE, INVALID_COMMAND_SHARE, INVALID_BASE_SHARE, UPDATE_SHARE = 0.2, 0.12, 0.05, 0.08, 0.5
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 20.0, 400.0


@attrs.frozen
class Habits:
    """Behaviour of an operator: the interval between commands and the share of answers that are lost."""

    interval_ms: float
    answer_loss: float
    gives_up: bool


class Operator:
    """Sends commands one at a time, based on the newest version that it knows."""

    def __init__(
        self,
        name: str,
        links: Links,
        machines: Callable[[], Sequence[ControlMachine]],
        history: History,
        rng: random.Random,
        habits: Habits,
    ) -> None:
        self.name = name
        self._links, self._clock = links, links.clock
        self._machines, self._history, self._rng, self._habits = machines, history, rng, habits
        self._is_active = False
        self._base = 0

    def start(self) -> None:
        """Send commands until stopped."""
        self._is_active = True
        self._schedule_next_call()

    def stop(self) -> None:
        """Send no further command."""
        self._is_active = False

    def _schedule_next_call(self) -> None:
        self._clock.after(self._rng.uniform(0.2, 1.8) * self._habits.interval_ms, self._start_next_call)

    def _start_next_call(self) -> None:
        if not self._is_active:
            return
        chance = self._rng.random()
        acknowledged = self._history.acknowledged
        if chance < READ_SHARE:
            self._read()
        elif chance < READ_SHARE + REPEAT_SHARE and acknowledged:
            self._send(self._rng.choice(acknowledged), 1, MIN_BACKOFF_MS)
        else:
            attempts = self._rng.randint(1, MAX_ATTEMPTS) if self._habits.gives_up else MAX_ATTEMPTS
            self._send(self._new_intent(), attempts, MIN_BACKOFF_MS)

    def _new_intent(self) -> Intent:
        base, marker, rng = self._base, self._history.next_marker(), self._rng
        if rng.random() < INVALID_BASE_SHARE:
            base = rng.choice((max(0, base - 1), base + 1, base + 2))
        version = base + rng.choice((1, 1, 1, 2, 3))
        if rng.random() < INVALID_COMMAND_SHARE:
            command, is_applicable = invalid_command(marker, base), False
        elif base and rng.random() < UPDATE_SHARE:
            command, is_applicable = update(marker, base, version), True
        else:
            command, is_applicable = replacement(marker, base, version), True
        intent = Intent(marker, command, version, is_applicable, self._clock.now_ms)
        self._history.add(intent)
        return intent

    def _send(self, intent: Intent, attempts: int, backoff_ms: float) -> None:
        """Make one call; without a definite answer, repeat it at a machine chosen anew."""
        machine = self._choose_machine()
        record = CommandCall(intent, machine.address, self._clock.now_ms)

        def ended(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self._clock.now_ms, result
                self._history.answered(record)
                self._base = max(self._base, result.version)
                self._schedule_next_call()
            elif attempts > 1:
                wait_ms = self._rng.uniform(0.5, 1.5) * backoff_ms
                next_backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
                self._clock.after(wait_ms, lambda: self._send(intent, attempts - 1, next_backoff_ms))
            else:
                self._schedule_next_call()

        call: HttpCall[CommandResult] = HttpCall(
            self._links, self.name, machine, lambda reply: machine.command(intent.command, reply), ended
        )
        call.start(self._rng, self._habits.answer_loss)

    def _read(self) -> None:
        machine = self._choose_machine()
        began_ms = self._clock.now_ms

        def ended(answer: RespondToRead | None) -> None:
            if answer is not None and answer.document is not None:
                marker = marker_in_json(answer.document) if answer.version else 0
                read = ReadCall(began_ms, self._clock.now_ms, answer.version, marker)
                self._history.read(read)
                self._base = max(self._base, answer.version)
            self._schedule_next_call()

        call: HttpCall[RespondToRead] = HttpCall(self._links, self.name, machine, machine.read, ended)
        call.start(self._rng, self._habits.answer_loss)

    def _choose_machine(self) -> ControlMachine:
        return self._rng.choice(list(self._machines()))
