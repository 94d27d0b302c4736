"""Scenarios of control machines that are cut off from the network while operators and upstreams keep calling.

`python -m tests.controlplane.cut_scenarios [seeds]` runs all combinations of role, kind and duration. The
test suite runs a selection.
"""

from __future__ import annotations

import itertools
import sys
import time
from collections.abc import Iterator
from enum import Enum

import attrs

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.campaign import Campaign, Schedule
from tests.campaign.control_machine import ControlMachine
from tests.campaign.faults import LossCount
from tests.campaign.operators import Habits, Operator
from tests.campaign.records import CommandCall, Intent, replacement
from tests.campaign.system import Plan
from tests.fleet.history import Violation

DURATIONS_MS = (5_000.0, 20_000.0, 40_000.0)
STABILIZE_MS, BEFORE_CUT_MS, AFTER_CUT_MS = 3_000.0, 1_500.0, 2_000.0
# Maximum time from the end of a cut until all replicas are in sync and every data plane is current.
RECOVERY_MS = 4_000.0
# A burst of commands is sent at the beginning, in the middle and at the end of a cut.
BURST_MS, BURST_INTERVAL_MS = 600.0, 20.0
RESTART_INTERVAL_MS = 300.0
UNREACHABLE_SEEDS = ("gone-1", "gone-2")


class Role(Enum):
    """The role of the machines that are cut off."""

    PRIMARY = "primary"
    BACKUP = "backup"
    LEARNER = "learner"
    PRIMARY_AND_BACKUP = "primary and a backup, of five,"


class CutKind(Enum):
    """Which links are cut, and what else happens to the cut-off machine."""

    PEERS = "from the other control machines"
    PEERS_AND_DATA_PLANES = "from control machines and data planes"
    CANNOT_SEND = "it can't send to control machines"
    CANNOT_RECEIVE = "it can't hear control machines"
    WITH_DATA_PLANE = "with a data plane on its side, from all others"
    RESET = "from the other control machines, all its connections reset"
    PAUSED = "from the other control machines, and frozen for the first half"
    UPSTREAMS_REPORT_TO_VICTIM = "from the other control machines, and the upstreams report there first"
    RESTART_WITH_OTHER_SEEDS = "from the other control machines, and restarted with other seeds meanwhile"
    RESTART_ALL = "from the other control machines; it is restarted, then the others are"


@attrs.frozen
class Cut:
    """The parameters of one scenario; everything else is derived from the seed."""

    role: Role
    kind: CutKind
    duration_ms: float
    seed: int = 1

    def __str__(self) -> str:
        seconds = self.duration_ms / 1000.0
        return f"{self.role.value} cut for {seconds:.0f} s {self.kind.value}, seed {self.seed}"


def _plan(cut: Cut) -> Plan:
    is_large = cut.role is Role.PRIMARY_AND_BACKUP
    return Plan(
        seed=f"{cut}",
        machines=5 if is_large else 4 if cut.role is Role.LEARNER else 3,
        tolerance=2 if is_large else 1,
        data_planes=2,
        operators=2,
        upstreams=2,
        command_interval_ms=400.0,
        upstream_incarnation_ms=6_000.0,
        answer_loss=0.1,
    )


class CutScenario(Campaign):
    """Runs one scenario; `run` raises Violation if an invariant is violated."""

    def __init__(self, cut: Cut) -> None:
        plan = _plan(cut)
        super().__init__(Schedule(plan, (), 0.0, keeps_little=False, loss_count=LossCount.PLAIN))
        self._cut = cut
        self.victims: list[ControlMachine] = []

    def _run(self) -> None:
        system, cut = self.system, self._cut
        system.start()
        system.run(STABILIZE_MS)
        self.victims = self._choose_victims()
        victim = self.victims[0]
        operators = [*system.operators, self._operator_of(victim)]
        for operator in operators:
            operator.start()
        system.upstreams.start(system.plan.upstreams, system.plan.upstream_incarnation_ms)
        system.run(BEFORE_CUT_MS)
        self._send_burst(victim)
        self._begin_cut()
        system.run(cut.duration_ms / 2)
        self._send_burst(victim)
        self._change_during_cut()
        system.run(cut.duration_ms / 2 - BURST_MS / 2)
        self._send_burst(victim)
        system.run(BURST_MS / 2)
        system.links.heal()
        system.run(AFTER_CUT_MS)
        for operator in operators:
            operator.stop()
        system.upstreams.stop()
        self._check_recovery(RECOVERY_MS - AFTER_CUT_MS)
        self.calm()

    def run_paused_primary(self) -> None:
        """Pause a primary while the others go on without it, then send it a command as its first input.

        The command is based on a version that the paused primary does not know. Nothing else was sent to it
        in the meantime that could delay its answers.
        """
        system = self.system
        system.start()
        system.run(STABILIZE_MS)
        self.victims = self._choose_victims()
        victim = self.victims[0]
        self._command_at(victim)
        system.run(BEFORE_CUT_MS)
        self._begin_cut()
        system.run(self._cut.duration_ms)
        self._command_at(next(machine for machine in system.machines.values() if machine is not victim))
        self._change_during_cut()
        self._send_command(victim)
        system.run(AFTER_CUT_MS)
        self.calm()
        if self.history.notes:
            raise Violation("; ".join(self.history.notes.values()))

    def _choose_victims(self) -> list[ControlMachine]:
        """The machines to cut off; the first one receives the command bursts."""
        primary = self.system.primary()
        assert primary is not None
        status = primary.status()
        assert status is not None
        machines = self.system.machines
        backup = next(machines[address] for address in status.in_sync if address != primary.address)
        match self._cut.role:
            case Role.PRIMARY:
                return [primary]
            case Role.BACKUP:
                return [backup]
            case Role.PRIMARY_AND_BACKUP:
                return [primary, backup]
            case Role.LEARNER:
                return [next(each for name, each in machines.items() if name not in status.members)]

    def _operator_of(self, victim: ControlMachine) -> Operator:
        """An operator that calls only the machine that is cut off."""
        habits = Habits(interval_ms=150.0, answer_loss=0.0, gives_up=True)
        system = self.system
        return Operator("o-cut", system.links, lambda: [victim], self.history, system.rng, habits)

    def _send_burst(self, victim: ControlMachine) -> None:
        """Send it a burst of commands, each based on the newest version that any machine has acknowledged."""
        for number in range(int(BURST_MS / BURST_INTERVAL_MS)):
            self._clock.after(number * BURST_INTERVAL_MS, lambda: self._send_command(victim))

    def _send_command(self, victim: ControlMachine) -> None:
        base = self.history.newest_acknowledged(self._clock.now_ms)
        marker = self.history.next_marker()
        intent = Intent(marker, replacement(marker, base, base + 1), base + 1, True, self._clock.now_ms)
        self.history.add(intent)
        record = CommandCall(intent, victim.address, self._clock.now_ms)

        def handle(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self._clock.now_ms, result
                self.history.answered(record)

        call: HttpCall[CommandResult] = HttpCall(
            self.system.links, "o-cut", victim, lambda reply: victim.command(intent.command, reply), handle
        )
        call.start(self.system.rng, 0.0)

    def _begin_cut(self) -> None:
        links, kind = self.system.links, self._cut.kind
        for victim in self.victims:
            if kind is CutKind.RESET:
                links.reset_connections(victim.address)
            if kind is CutKind.PAUSED:
                victim.freeze()
        if kind is CutKind.UPSTREAMS_REPORT_TO_VICTIM:
            for upstream in self.system.upstreams.all:
                upstream.report_to(self.victims[0])
        for sender, receiver in self._links_to_cut():
            links.cut(sender, receiver)

    def _links_to_cut(self) -> Iterator[tuple[str, str]]:
        cut_off = [victim.address for victim in self.victims]
        machines = [address for address in self.system.machines if address not in cut_off]
        data_planes = [data_plane.address for data_plane in self.system.data_planes]
        match self._cut.kind:
            case CutKind.CANNOT_SEND:
                yield from itertools.product(cut_off, machines)
            case CutKind.CANNOT_RECEIVE:
                yield from itertools.product(machines, cut_off)
            case CutKind.PEERS_AND_DATA_PLANES:
                yield from _both_directions(cut_off, [*machines, *data_planes])
            case CutKind.WITH_DATA_PLANE:
                yield from _both_directions([*cut_off, data_planes[0]], [*machines, *data_planes[1:]])
            case _:
                yield from _both_directions(cut_off, machines)

    def _change_during_cut(self) -> None:
        match self._cut.kind:
            case CutKind.PAUSED:
                for victim in self.victims:
                    victim.thaw()
            case CutKind.RESTART_WITH_OTHER_SEEDS:
                for victim in self.victims:
                    victim.kill()
                    victim.seeds = (victim.address, *UNREACHABLE_SEEDS)
                    victim.start()
            case CutKind.RESTART_ALL:
                others = [each for each in self.system.machines.values() if each not in self.victims]
                for number, machine in enumerate([*self.victims, *others]):
                    self._clock.after(number * RESTART_INTERVAL_MS, lambda each=machine: _restart(each))  # type: ignore[misc]

    def _check_recovery(self, timeout_ms: float) -> None:
        """Wait until all follow the same primary, all members are in sync and the data planes are current."""
        self._wait(self._has_recovered, timeout_ms, lambda: "no recovery in time after the end of the cut")

    def _has_recovered(self) -> bool:
        primary = self.system.primary()
        status = primary.status() if primary is not None else None
        if status is None or set(status.in_sync) != set(status.members):
            return False
        newest = status.committed_version
        others = [machine.status() for machine in self.system.machines.values()]
        if any(each is None or each.primary != status.primary for each in others):
            return False
        return all(self._is_current(data_plane, newest) for data_plane in self.system.data_planes)


def _restart(machine: ControlMachine) -> None:
    machine.kill()
    machine.start()


def _both_directions(left: list[str], right: list[str]) -> Iterator[tuple[str, str]]:
    for one, other in itertools.product(left, right):
        yield one, other
        yield other, one


def main() -> None:
    """Run all roles, kinds and durations, with the number of seeds given as the argument (default 1)."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    start_s = time.monotonic()
    failed = count = 0
    for cut in itertools.starmap(Cut, itertools.product(Role, CutKind, DURATIONS_MS, range(1, seeds + 1))):
        count += 1
        try:
            CutScenario(cut).run()
        except Violation as violation:
            failed += 1
            print(f"{cut}: {violation}", flush=True)
    print(f"{count} cuts, {failed} failed, {time.monotonic() - start_s:.0f} s")


if __name__ == "__main__":
    main()
