"""An in-memory fleet of replicas, simulated from one seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from madderwind.messages.replication import View
from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.clock import Clock
from tests.fleet.machine import Machine
from tests.fleet.network import Network
from tests.fleet.register import Register, command

START_SPREAD_MS = 300.0


class Fleet:
    """Machines m1, m2, ... ; the first `seed_count` are the seeds."""

    def __init__(
        self, machines: int = 3, tolerance: int = 1, seed: int = 1, seed_count: int | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.network = Network(self.clock, random.Random(self.rng.getrandbits(64)))
        self.tolerance = tolerance
        addresses = [f"m{number}" for number in range(1, machines + 1)]
        self.seeds = tuple(addresses[: seed_count or min(3, machines)])
        self.machines: dict[str, Machine] = {}
        self._on_committed: Callable[[Machine, Register], None] = lambda machine, register: None
        self._on_view: Callable[[View], None] = lambda view: None
        for address in addresses:
            self.add(address)

    def __getitem__(self, address: str) -> Machine:
        return self.machines[address]

    def add(self, address: str) -> Machine:
        """Add a machine with an empty disk, not started. The seeds in its settings are current machines."""
        rng = random.Random(self.rng.getrandbits(64))
        seeds = self.seeds if address in self.seeds else tuple(self.machines)[: len(self.seeds)]
        machine = Machine(address, self.clock, self.network, rng, seeds, self.tolerance)
        machine.on_committed, machine.on_view = self._on_committed, self._on_view
        self.machines[address] = machine
        return machine

    def observe(
        self, on_committed: Callable[[Machine, Register], None], on_view: Callable[[View], None]
    ) -> None:
        """Set callbacks for the state that replicas consider committed and the views considered decided."""
        self._on_committed, self._on_view = on_committed, on_view
        for machine in self.machines.values():
            machine.on_committed, machine.on_view = on_committed, on_view

    def start(self, spread_ms: float = START_SPREAD_MS) -> None:
        """Bootstrap: start all machines for the first time, in random order."""
        for machine in self.machines.values():
            self.clock.after(self.rng.uniform(0.0, spread_ms), lambda m=machine: m.start(bootstrap=True))  # type: ignore[misc]

    def run(self, duration_ms: float) -> None:
        """Advance the time."""
        self.clock.run_until(self.clock.now_ms + duration_ms)

    def run_until(self, condition: Callable[[], bool], most_ms: float) -> float:
        """Advance the time until the condition holds and return the elapsed time. Fails after `most_ms`."""
        began_ms = self.clock.now_ms
        while not condition():
            if self.clock.now_ms - began_ms > most_ms:
                raise TimeoutError(f"the condition does not hold after {most_ms} ms")
            self.run(5.0)
        return self.clock.now_ms - began_ms

    def running(self) -> list[Machine]:
        """Machines whose process is running."""
        return [machine for machine in self.machines.values() if machine.is_running]

    def primary(self) -> Machine | None:
        """The machine that considers itself primary, in the newest epoch."""
        primaries = []
        for machine in self.running():
            status = machine.status()
            if status is not None and status.is_primary:
                primaries.append((status.epoch, machine.address))
        return self.machines[max(primaries)[1]] if primaries else None

    def stabilize(self, most_ms: float = 4_000.0) -> Machine:
        """Run until a primary holds its lease, and return its machine."""

        def is_stable() -> bool:
            primary = self.primary()
            status = primary.status() if primary is not None else None
            return status is not None and (status.fresh_age_ms or 1e9) < 300.0

        self.run_until(is_stable, most_ms)
        primary = self.primary()
        assert primary is not None
        return primary

    def in_sync(self) -> set[str]:
        """Addresses of the in-sync set as the primary knows it."""
        primary = self.primary()
        assert primary is not None and primary.replica is not None
        view = primary.replica.view
        assert view is not None
        return {member.address for member in view.members if member.incarnation in view.in_sync}

    def submit(
        self, machine: Machine, base: int, version: int, name: str = "operator"
    ) -> list[CommandResult]:
        """Send a command to one machine; the result is appended to the returned list."""
        results: list[CommandResult] = []
        machine.submit(command(base, version, name), results.append)
        return results

    def submit_and_commit(
        self, base: int, version: int, name: str = "operator", most_ms: float = 4_000.0
    ) -> float:
        """Send a command to the current primary until it is acknowledged; return the elapsed time."""
        state: list[CommandResult] = []
        began_ms = self.clock.now_ms
        while not any(result.outcome is CommandOutcome.COMMITTED for result in state):
            if self.clock.now_ms - began_ms > most_ms:
                raise TimeoutError(f"not acknowledged after {most_ms} ms: {state[-3:]}")
            primary = self.primary()
            if primary is not None:
                self.submit_into(primary, base, version, name, state)
            self.run(50.0)
        return self.clock.now_ms - began_ms

    def read_committed(self, most_ms: float = 4_000.0) -> Register:
        """Read at the current primary until a read is proven."""
        results: list[Register | None] = []
        began_ms = self.clock.now_ms
        while not any(result is not None for result in results):
            if self.clock.now_ms - began_ms > most_ms:
                raise TimeoutError(f"no proven read after {most_ms} ms")
            primary = self.primary()
            if primary is not None:
                primary.read(results.append)
            self.run(50.0)
        return next(result for result in results if result is not None)

    def submit_into(
        self, machine: Machine, base: int, version: int, name: str, results: list[CommandResult]
    ) -> None:
        """Send a command to one machine and append its result to a list."""
        machine.submit(command(base, version, name), results.append)

    def read(self, machine: Machine, most_ms: float = 1_500.0) -> Register | None:
        """Read at one machine and return the result."""
        results: list[Register | None] = []
        machine.read(results.append)
        self.run_until(lambda: bool(results), most_ms)
        return results[0]
