"""Measures how long a fleet takes from the loss of a machine to a full member set, over seeded random losses.

Usage: `python -m tests.replication.time_to_full_set FIRST_SEED COUNT [large]`, where `large` selects a state
of 4 MiB.
"""

from __future__ import annotations

import base64
import random
import sys
from collections import defaultdict
from collections.abc import Callable
from enum import Enum

import attrs

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.clock import Clock
from tests.fleet.fleet import Fleet
from tests.fleet.history import Taken, Violation
from tests.fleet.machine import Machine
from tests.fleet.network import Network
from tests.fleet.register import command
from tests.replication.full_set import is_member_set_full

SMALL_STATE_BYTES = 0
LARGE_STATE_BYTES = 4 * 1024 * 1024
# 210 Mbit/s, the lowest bandwidth between control planes that the design assumes.
LINK_BYTES_PER_MS = 26_250.0
COMMAND_INTERVAL_MS = 100.0
MAX_WAIT_MS = 20_000.0
POLL_MS = 5.0


class Loss(Enum):
    """The kind of loss."""

    WIPED = "wiped"  # and restarted at the same address
    REPLACED = "replaced"  # by a machine at another address
    REPLACED_AS_PLANNED = "replaced as planned"  # requested to stop first


class Victim(Enum):
    """The role of the lost machine."""

    PRIMARY = "primary"
    BACKUP = "backup"


class Circumstance(Enum):
    """What else happens during the loss; it loses no further disk."""

    CALM = "calm"
    ELECTION = "during an election"
    SNAPSHOT = "during a snapshot"
    DISK_FULL = "disk full elsewhere"
    DISK_STALLED = "disk stalled elsewhere"


class BandwidthLimitedNetwork(Network):
    """Links with limited bandwidth that transmit one message at a time."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        super().__init__(clock, rng)
        self._link_free_ms: dict[tuple[str, str], float] = {}

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after the link has transmitted it and all earlier messages."""
        pair = (sender, receiver)
        transmit_start_ms = max(self._clock.now_ms, self._link_free_ms.get(pair, 0.0))
        transmit_end_ms = transmit_start_ms + len(data) / LINK_BYTES_PER_MS
        self._link_free_ms[pair] = transmit_end_ms
        transmit_ms = transmit_end_ms - self._clock.now_ms
        self._clock.after(
            transmit_ms, lambda: super(BandwidthLimitedNetwork, self).send(sender, receiver, data)
        )


@attrs.frozen
class Repair:
    """One loss and the durations of its repair in ms; None if it was not repaired in time.

    Attributes:
        seed: The seed of the run.
        loss: The kind of loss.
        victim: The role of the lost machine.
        circumstance: What else happened.
        since_repaired_ms: Time since the successor's process was running and all other faults were repaired.
        since_loss_ms: Time since the loss.
    """

    seed: int
    loss: Loss
    victim: Victim
    circumstance: Circumstance
    since_repaired_ms: float | None
    since_loss_ms: float | None


class RandomLoss:
    """One fleet with one loss, fully determined by the seed."""

    def __init__(self, seed: int, state_bytes: int) -> None:
        self.seed = seed
        self._rng = random.Random(seed)
        self.loss = self._rng.choice(list(Loss))
        self.victim = self._rng.choice(list(Victim))
        self.circumstance = self._rng.choice(list(Circumstance))
        self.fleet = Fleet(3, 1, seed=self._rng.getrandbits(64))
        self._limit_bandwidth()
        self._state_bytes = state_bytes
        self._repaired_ms = 0.0
        self._faulty: Machine | None = None
        self._learner: Machine | None = None
        self._commands = 0
        self._acknowledged: list[Taken] = []

    def run(self) -> Repair:
        """Run the fleet through the loss and return its repair.

        Raises:
            Violation: An acknowledged command is lost.
        """
        fleet = self.fleet
        fleet.start()
        fleet.stabilize()
        self._commit_large_state()
        fleet.run_until(lambda: is_member_set_full(fleet), MAX_WAIT_MS)
        self._send_commands()
        fleet.run(self._rng.uniform(1_000.0, 1_200.0))
        self._start_circumstance()
        loss_ms = fleet.clock.now_ms
        self._lose_machine()
        fleet.run(max(0.0, self._repaired_ms - fleet.clock.now_ms))
        waited_ms: float | None = None
        try:
            waited_ms = fleet.run_until(lambda: is_member_set_full(fleet), MAX_WAIT_MS)
        except TimeoutError:
            return Repair(self.seed, self.loss, self.victim, self.circumstance, None, None)
        self._check()
        since_loss_ms = fleet.clock.now_ms - loss_ms
        return Repair(self.seed, self.loss, self.victim, self.circumstance, waited_ms, since_loss_ms)

    def _limit_bandwidth(self) -> None:
        fleet = self.fleet
        network = BandwidthLimitedNetwork(fleet.clock, random.Random(self._rng.getrandbits(64)))
        fleet.network = network
        for machine in fleet.machines.values():
            machine.network = network
            network.attach(machine.address, machine._receive)

    def _commit_large_state(self) -> None:
        """Commit a command that makes the state as large as configured."""
        results: list[CommandResult] = []
        primary = self.fleet.primary()
        assert primary is not None
        # The padding is random so that compression on the links does not make it smaller.
        padding = base64.b64encode(random.Random(self.seed).randbytes(self._state_bytes)).decode()
        primary.submit(command(0, 1, "first", padding), results.append)
        self.fleet.run_until(lambda: bool(results), MAX_WAIT_MS)

    def _send_commands(self) -> None:
        """Submit a command to the current primary, and schedule the next one."""
        self.fleet.clock.after(COMMAND_INTERVAL_MS, self._send_commands)
        primary = self.fleet.primary()
        if primary is None:
            return
        version = primary.register.version
        self._commands += 1
        sent = command(version, version + 1, f"command-{self._commands}")

        def record_result(result: CommandResult) -> None:
            if result.outcome is CommandOutcome.COMMITTED:
                self._acknowledged.append((sent.base_version, sent.body))

        primary.submit(sent, record_result)

    def _check(self) -> None:
        acknowledged = self._acknowledged.copy()
        final = self.fleet.read_committed().taken
        lost = [taken for taken in acknowledged if taken not in final]
        if lost:
            raise Violation(f"seed {self.seed}: {len(lost)} acknowledged commands are lost")

    def _start_circumstance(self) -> None:
        """Start the circumstance of the loss, which ends by `_repaired_ms`."""
        match self.circumstance:
            case Circumstance.CALM:
                pass
            case Circumstance.ELECTION:
                self._begin_election()
            case Circumstance.SNAPSHOT:
                self._begin_snapshot()
            case Circumstance.DISK_FULL | Circumstance.DISK_STALLED:
                self._fault_disk()

    def _begin_election(self) -> None:
        rng, primary = self._rng, self._primary()
        self._faulty = primary
        if rng.random() < 0.5:
            primary.kill()
            self._repair_after(rng.uniform(300.0, 1_500.0), primary.start)
        else:
            primary.freeze()
            self._repair_after(rng.uniform(300.0, 1_500.0), primary.thaw)
        self.fleet.run(rng.uniform(0.0, 1_000.0))

    def _begin_snapshot(self) -> None:
        """Let a wiped backup catch up by a snapshot; the primary may be killed in the meantime."""
        rng, primary = self._rng, self._primary()
        learner = rng.choice([machine for machine in self.fleet.running() if machine is not primary])
        learner.wipe()
        self.fleet.run(rng.uniform(50.0, 1_500.0))
        learner.start()
        self.fleet.run(rng.uniform(0.0, 20.0 + 1.5 * self._state_bytes / LINK_BYTES_PER_MS))
        self._learner = learner
        if rng.random() < 0.5:
            primary.kill()
            self._repair_after(rng.uniform(50.0, 500.0), primary.start)

    def _fault_disk(self) -> None:
        machine = self._rng.choice(list(self.fleet.machines.values()))
        self._faulty = machine
        duration_ms = self._rng.uniform(300.0, 3_000.0)
        if self.circumstance is Circumstance.DISK_FULL:
            machine.disk.is_full = True
            self._repair_after(duration_ms, lambda: setattr(machine.disk, "is_full", False))
        else:
            machine.stalled_until_ms = self.fleet.clock.now_ms + duration_ms
            self._repair_after(duration_ms, lambda: None)
        self.fleet.run(self._rng.uniform(0.0, 1_500.0))

    def _lose_machine(self) -> None:
        """Lose the machine and schedule the start of its replacement."""
        machine = self._lost_machine()
        delay_ms = self._rng.uniform(50.0, 1_500.0)
        if self.loss is Loss.WIPED:
            machine.wipe()
            self._repair_after(delay_ms, machine.start)
            return
        if self.loss is Loss.REPLACED_AS_PLANNED:
            machine.leave()
            self.fleet.run(self._rng.uniform(300.0, 1_000.0))
        machine.remove()
        del self.fleet.machines[machine.address]
        successor = self.fleet.add("successor")
        successor.network = self.fleet.network
        self._repair_after(delay_ms, successor.start)

    def _lost_machine(self) -> Machine:
        """Return the machine to lose.

        This is the learner if there is one, otherwise a machine without another fault, with the drawn role if
        possible.
        """
        if self._learner is not None:
            return self._learner
        candidates = [machine for machine in self.fleet.running() if machine is not self._faulty]
        primary = self.fleet.primary()
        if self.victim is Victim.PRIMARY and primary is not None and primary in candidates:
            return primary
        return self._rng.choice([machine for machine in candidates if machine is not primary])

    def _repair_after(self, delay_ms: float, repair: Callable[[], None]) -> None:
        self._repaired_ms = max(self._repaired_ms, self.fleet.clock.now_ms + delay_ms)
        self.fleet.clock.after(delay_ms, repair)

    def _primary(self) -> Machine:
        primary = self.fleet.primary()
        assert primary is not None
        return primary


@attrs.frozen
class RepairStatistics:
    """Statistics of several repairs, in ms; `unrepaired` counts those that exceeded the maximum wait."""

    count: int
    unrepaired: int
    median_ms: float
    p99_ms: float
    worst_ms: float
    median_since_loss_ms: float
    worst_since_loss_ms: float


def repair_statistics(repairs: list[Repair]) -> RepairStatistics:
    """Return the statistics of repairs, at least one of which must have completed."""
    repaired = sorted(repair.since_repaired_ms for repair in repairs if repair.since_repaired_ms is not None)
    lost = sorted(repair.since_loss_ms for repair in repairs if repair.since_loss_ms is not None)
    return RepairStatistics(
        len(repairs),
        len(repairs) - len(repaired),
        repaired[len(repaired) // 2],
        repaired[len(repaired) * 99 // 100],
        repaired[-1],
        lost[len(lost) // 2],
        lost[-1],
    )


def _print_table(repairs: list[Repair]) -> None:
    groups: dict[str, list[Repair]] = defaultdict(list)
    for repair in repairs:
        groups["all"].append(repair)
        for kind in (repair.loss, repair.victim, repair.circumstance):
            groups[kind.value].append(repair)
    print("kind, losses, unrepaired, p50, p99, worst (ms since repaired), p50, worst (ms since the loss)")
    for name, group in groups.items():
        stats = repair_statistics(group)
        print(
            f"{name}: {stats.count}, {stats.unrepaired}, {stats.median_ms:.0f}, "
            f"{stats.p99_ms:.0f}, {stats.worst_ms:.0f}, {stats.median_since_loss_ms:.0f}, "
            f"{stats.worst_since_loss_ms:.0f}"
        )


def main() -> None:
    """Run random losses and print the repair times by kind, and the slowest repairs."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    state_bytes = LARGE_STATE_BYTES if "large" in sys.argv else SMALL_STATE_BYTES
    repairs = [RandomLoss(seed, state_bytes).run() for seed in range(first, first + count)]
    _print_table(repairs)
    slowest = sorted(repairs, key=lambda repair: -(repair.since_repaired_ms or MAX_WAIT_MS))
    for repair in slowest[:12]:
        print(
            f"seed {repair.seed}: {repair.loss.value}, {repair.victim.value}, "
            f"{repair.circumstance.value}: {repair.since_repaired_ms}"
        )


if __name__ == "__main__":
    main()
