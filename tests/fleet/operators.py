"""Operators that change and read the configuration, and retry commands without a definite answer."""

from __future__ import annotations

import random
from collections.abc import Callable

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.fleet import Fleet
from tests.fleet.history import Attempt, History, ProvenRead
from tests.fleet.machine import Machine
from tests.fleet.register import Register, command

ANSWER_TIMEOUT_MS = 1_000.0  # then the call is repeated at another machine
MAX_ATTEMPTS = 12


class Operator:
    """Sends one command after another, each based on the newest version that it knows."""

    def __init__(self, name: str, fleet: Fleet, history: History, rng: random.Random) -> None:
        self.name, self.fleet, self.history, self._rng = name, fleet, history, rng
        self.is_active = False
        self._base = 0
        self._count = 0

    def start(self, interval_ms: float) -> None:
        """Send commands until stopped, with pauses of about `interval_ms`."""
        self.is_active = True
        self._interval_ms = interval_ms
        self._schedule(self._next)

    def stop(self) -> None:
        """Send no further command."""
        self.is_active = False

    def _schedule(self, action: Callable[[], None]) -> None:
        self.fleet.clock.after(self._rng.uniform(0.2, 1.8) * self._interval_ms, action)

    def _next(self) -> None:
        if not self.is_active:
            return
        if self._rng.random() < 0.3:
            self._read()
            return
        self._count += 1
        version = self._base + self._rng.randint(1, 3)
        name = f"{self.name}-{self._count}"
        attempt = Attempt(command(self._base, version, name), self.fleet.clock.now_ms)
        self.history.attempts.append(attempt)
        self._send(attempt, version, MAX_ATTEMPTS)

    def _send(self, attempt: Attempt, version: int, attempts_left: int) -> None:
        """Send a command once; without a definite answer in time, retry at another machine."""
        machine = self._pick()
        if attempts_left == 0 or machine is None:
            self._schedule(self._next)
            return
        call = _Call()

        def on_result(result: CommandResult) -> None:
            now_ms = self.fleet.clock.now_ms
            if result.outcome is CommandOutcome.COMMITTED:
                self.history.acknowledge(now_ms, attempt, list(self.fleet.machines.values()))
                self._base = max(self._base, version)
            elif result.outcome is not CommandOutcome.UNKNOWN:
                self.history.refuse(now_ms, attempt, result.outcome)
                self._base = max(self._base, result.version)
            if call.end():
                if result.outcome is CommandOutcome.UNKNOWN:
                    self._schedule(lambda: self._send(attempt, version, attempts_left - 1))
                else:
                    self._schedule(self._next)

        def on_timeout() -> None:
            if call.end():
                self._send(attempt, version, attempts_left - 1)

        self.fleet.clock.after(ANSWER_TIMEOUT_MS, on_timeout)
        machine.submit(attempt.command, on_result)

    def _read(self) -> None:
        machine = self._pick()
        began_ms = self.fleet.clock.now_ms
        call = _Call()

        def on_result(register: Register | None) -> None:
            if register is not None:
                now_ms = self.fleet.clock.now_ms
                self.history.reads.append(ProvenRead(began_ms, now_ms, tuple(register.taken)))
                self._base = max(self._base, register.version)
            if call.end():
                self._schedule(self._next)

        self.fleet.clock.after(ANSWER_TIMEOUT_MS, lambda: self._schedule(self._next) if call.end() else None)
        if machine is not None:
            machine.read(on_result)

    def _pick(self) -> Machine | None:
        """A random machine, or the primary that it follows, as control planes forward calls."""
        machines = list(self.fleet.machines.values())
        if not machines:
            return None
        machine = self._rng.choice(machines)
        status = machine.status()
        if status is not None and status.primary in self.fleet.machines and self._rng.random() < 0.9:
            return self.fleet.machines[status.primary]
        return machine


class Reader:
    """Reads continuously at each machine that considers itself primary, in particular at former primaries."""

    def __init__(self, fleet: Fleet, history: History, rng: random.Random) -> None:
        self._fleet, self._history, self._rng = fleet, history, rng
        self._is_active = False

    def start(self) -> None:
        """Read until stopped."""
        self._is_active = True
        self._next()

    def stop(self) -> None:
        """Stop reading."""
        self._is_active = False

    def _next(self) -> None:
        if not self._is_active:
            return
        for machine in list(self._fleet.machines.values()):
            status = machine.status()
            if status is not None and status.is_primary:
                self._read(machine)
        self._fleet.clock.after(self._rng.uniform(20.0, 200.0), self._next)

    def _read(self, machine: Machine) -> None:
        began_ms = self._fleet.clock.now_ms

        def on_result(register: Register | None) -> None:
            if register is not None:
                now_ms = self._fleet.clock.now_ms
                self._history.reads.append(ProvenRead(began_ms, now_ms, tuple(register.taken)))

        machine.read(on_result)


class _Call:
    """A call that ends once: by its answer or by its timeout."""

    def __init__(self) -> None:
        self._has_ended = False

    def end(self) -> bool:
        """Mark the call as ended; False if it had ended before."""
        if self._has_ended:
            return False
        self._has_ended = True
        return True
