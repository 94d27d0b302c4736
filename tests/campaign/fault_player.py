"""Applies a schedule of faults to a system, and delays disk losses until the tolerance allows them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

from tests.campaign.control_machine import ControlMachine
from tests.campaign.data_plane import DataPlane
from tests.campaign.faults import DISK_LOSSES, Fault, FaultKind, LossCount, Victim
from tests.campaign.losses import LossTracker
from tests.campaign.system import MOST_SEEDS, System

RETRY_MS = 25.0
MAX_RESTART_MS = 2_000.0
MAX_DOWN_TOGETHER_MS = 1_000.0
MAX_LEAVE_MS = 6_000.0
SLOW_SYNC_MS = 250.0
PACKET_LOSS = 0.4
MIN_SUCCESSOR_DELAY_MS = 50.0
STEP_MS = 50.0

Candidate = TypeVar("Candidate")


class FaultPlayer:
    """Injects faults into a system; `heal` ends them all."""

    def __init__(self, system: System, loss_count: LossCount) -> None:
        self._system, self._clock, self._links = system, system.clock, system.links
        self.losses = LossTracker(system.clock, system.machines, system.plan.tolerance, loss_count)
        self._round = 0
        self._replacements = 0
        self.disk_losses = 0
        self._actions: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.POWER_LOSS: self._lose_power,
            FaultKind.POWER_LOSS_OF_ALL: self._lose_power_of_all,
            FaultKind.FREEZE: self._freeze,
            FaultKind.LEAVE: self._shut_down,
            FaultKind.CUT_PAIR: self._cut_pair,
            FaultKind.CUT_ONE_WAY: self._cut_one_way,
            FaultKind.CUT_FROM_MACHINES: self._cut_from_machines,
            FaultKind.CUT_FROM_OTHERS: self._cut_from_others,
            FaultKind.ISOLATE: self._isolate,
            FaultKind.UNRESPONSIVE: self._cut_outgoing,
            FaultKind.DEAFEN: self._cut_incoming,
            FaultKind.LOSE_PACKETS: self._lose_packets,
            FaultKind.SLOW_DISK: self._slow_disk,
            FaultKind.STALL_DISK: self._stall_disk,
            FaultKind.FULL_DISK: self._fill_disk,
            FaultKind.FAILED_SYNCS: self._fail_syncs,
            FaultKind.OTHER_SEEDS: self._change_seeds,
            FaultKind.RESTART_DATA_PLANE: self._restart_data_plane,
            FaultKind.FREEZE_DATA_PLANE: self._freeze_data_plane,
            FaultKind.CUT_DATA_PLANE: self._cut_data_plane,
            FaultKind.ONE_SOURCE: self._leave_one_source,
            FaultKind.WIPE: self._wipe,
            FaultKind.WIPE_AND_POWER_LOSS: self._wipe_while_others_lose_power,
            FaultKind.REPLACE: self._replace,
            FaultKind.REPLACE_AS_PLANNED: self._replace_as_planned,
            FaultKind.REPLACE_IN_CUT: self._replace_in_cut,
        }

    def play(self, faults: Sequence[Fault]) -> None:
        """Schedule these faults, relative to the current time."""
        self._round += 1
        self.disk_losses = 0
        for fault in faults:
            self._later(fault.at_ms, lambda fault=fault: self._begin(fault))  # type: ignore[misc]

    def heal(self) -> None:
        """End all faults: all processes run and all links work."""
        self._round += 1
        self._links.heal()
        for machine in self._system.machines.values():
            machine.disk.repair()
            machine.thaw()
            if machine.is_stopping:
                machine.kill()
            machine.start()
        for data_plane in self._system.data_planes:
            data_plane.thaw()
            data_plane.start()

    # Scheduling

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action; it is dropped if the round has ended by then."""
        round_now = self._round
        self._clock.after(delay_ms, lambda: action() if self._round == round_now else None)

    def _begin(self, fault: Fault) -> None:
        if fault.kind not in DISK_LOSSES:
            self._actions[fault.kind](fault)
            return
        if self.losses.can_lose_disk(self._victim(fault).address):
            self._later(fault.slack_ms, lambda: self._lose_disk(fault))
        else:
            self._later(RETRY_MS, lambda: self._begin(fault))

    def _lose_disk(self, fault: Fault) -> None:
        """Lose a disk; if another fault began during the slack, wait again, without slack."""
        if not self.losses.can_lose_disk(self._victim(fault).address):
            self._later(RETRY_MS, lambda: self._lose_disk(fault))
            return
        self.disk_losses += 1
        self._system.history.disk_losses_ms.append(self._clock.now_ms)
        self.losses.mark_disk_lost(self._victim(fault).address)
        self._actions[fault.kind](fault)

    def _schedule_end(self, duration_ms: float, action: Callable[[], object]) -> None:
        """Schedule the end of a fault."""
        self._later(duration_ms, lambda: self._end(action))

    def _end(self, action: Callable[[], object]) -> None:
        self.losses.note_event()
        action()

    # Victims

    def _machines(self) -> list[ControlMachine]:
        return list(self._system.machines.values())

    def _victim(self, fault: Fault) -> ControlMachine:
        return _select(self._candidates(fault.victim) or self._machines(), fault.pick)

    def _candidates(self, victim: Victim) -> list[ControlMachine]:
        primary = self._system.primary()
        if victim is Victim.ANY or primary is None:
            return self._machines()
        if victim is Victim.PRIMARY:
            return [primary]
        status = primary.status()
        in_sync = status.in_sync if status is not None else ()
        members = status.members if status is not None else ()
        others = [machine for machine in self._machines() if machine is not primary]
        if victim is Victim.BACKUP:
            return [machine for machine in others if machine.address in in_sync]
        return [machine for machine in others if machine.address not in members]

    def _others(self, machine: ControlMachine) -> list[ControlMachine]:
        return [other for other in self._machines() if other is not machine]

    def _data_plane(self, fault: Fault) -> DataPlane:
        return _select(self._system.data_planes, fault.pick)

    # Loss tracking

    def _mark_lost(self, machine: ControlMachine, duration_ms: float, description: str) -> None:
        self.losses.mark_lost(machine.address, duration_ms, description)

    # Processes and power

    def _restart(self, machine: ControlMachine, duration_ms: float, description: str) -> None:
        self._schedule_end(duration_ms, machine.start)
        self._mark_lost(machine, duration_ms, description)

    def _kill(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.kill()
        self._restart(machine, min(fault.duration_ms, MAX_RESTART_MS), "is killed")

    def _kill_all(self, fault: Fault) -> None:
        for number, machine in enumerate(self._machines()):
            machine.kill()
            self._restart(machine, _restart_delay_ms(fault, number), "is killed with all machines")

    def _lose_power(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.lose_power()
        self._restart(machine, fault.duration_ms, "has no power")

    def _lose_power_of_all(self, fault: Fault) -> None:
        for number, machine in enumerate(self._machines()):
            machine.lose_power()
            self._restart(machine, _restart_delay_ms(fault, number), "has no power, like all machines")

    def _freeze(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.freeze()
        self._schedule_end(fault.duration_ms, machine.thaw)
        self._mark_lost(machine, fault.duration_ms, "is frozen")

    def _shut_down(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.leave()
        self._mark_lost(machine, MAX_LEAVE_MS, "is requested to shut down")
        self._start_when_ended(machine, min(fault.duration_ms, MAX_RESTART_MS))

    def _start_when_ended(self, machine: ControlMachine, delay_ms: float) -> None:
        if machine.is_up:
            self._later(STEP_MS, lambda: self._start_when_ended(machine, delay_ms))
        else:
            self._restart(machine, delay_ms, "has ended")

    # Links

    def _cut(self, links: Sequence[tuple[str, str]], duration_ms: float) -> None:
        for sender, receiver in links:
            self._links.cut(sender, receiver)
        self._schedule_end(duration_ms, lambda: self._join(links))

    def _join(self, links: Sequence[tuple[str, str]]) -> None:
        for sender, receiver in links:
            self._links.join(sender, receiver)

    def _cut_pair(self, fault: Fault) -> None:
        machine = self._victim(fault)
        other = _select(self._others(machine), fault.other)
        self._cut(_both_directions(machine.address, [other.address]), fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, f"is cut from {other.address}")

    def _cut_one_way(self, fault: Fault) -> None:
        machine = self._victim(fault)
        other = _select(self._others(machine), fault.other)
        self._cut([(machine.address, other.address)], fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, f"can't send to {other.address}")

    def _cut_from_machines(self, fault: Fault) -> None:
        machine = self._victim(fault)
        others = [other.address for other in self._others(machine)]
        self._cut(_both_directions(machine.address, others), fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "is cut from the other machines")

    def _cut_from_others(self, fault: Fault) -> None:
        machine = self._victim(fault)
        others = [data_plane.address for data_plane in self._system.data_planes]
        self._cut(_both_directions(machine.address, [*others, *self._system.callers()]), fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "is cut from data planes and callers")

    def _isolate(self, fault: Fault) -> None:
        machine = self._victim(fault)
        self._cut(_both_directions(machine.address, self._all_others(machine)), fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "is isolated")

    def _cut_outgoing(self, fault: Fault) -> None:
        machine = self._victim(fault)
        links = [(machine.address, other) for other in self._all_others(machine)]
        self._cut(links, fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "can't send")

    def _cut_incoming(self, fault: Fault) -> None:
        machine = self._victim(fault)
        links = [(other, machine.address) for other in self._all_others(machine)]
        self._cut(links, fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "can't receive")

    def _all_others(self, machine: ControlMachine) -> list[str]:
        addresses = [*self._system.addresses(), *self._system.callers()]
        return [address for address in addresses if address != machine.address]

    def _lose_packets(self, fault: Fault) -> None:
        self._links.loss = PACKET_LOSS * fault.other
        self._schedule_end(fault.duration_ms, self._end_packet_loss)
        for machine in self._machines():
            self._mark_lost(machine, fault.duration_ms, "loses packets")

    def _end_packet_loss(self) -> None:
        self._links.loss = 0.0

    def _change_seeds(self, fault: Fault) -> None:
        addresses = list(self._system.machines)
        shift = int(fault.other * len(addresses))
        machine = self._victim(fault)
        seeds = tuple((addresses[shift:] + addresses[:shift])[:MOST_SEEDS])
        machine.set_seeds(seeds)
        self.losses.note(f"{machine.address} has the seeds {', '.join(seeds)}")

    # Disks

    def _repair_later(self, machine: ControlMachine, duration_ms: float, description: str) -> None:
        self._schedule_end(duration_ms, machine.disk.repair)
        self.losses.mark_disk_fault(machine.address, duration_ms, description)

    def _slow_disk(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.disk.sync_ms = 2.0 + SLOW_SYNC_MS * fault.other
        self._repair_later(machine, fault.duration_ms, "has a slow disk")

    def _stall_disk(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.disk.stalled_until_ms = self._clock.now_ms + fault.duration_ms
        self._repair_later(machine, fault.duration_ms, "has a stalled disk")

    def _fill_disk(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.disk.memory.is_full = True
        self._repair_later(machine, fault.duration_ms, "has a full disk")

    def _fail_syncs(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.disk.memory.fails_syncs = True
        self._repair_later(machine, fault.duration_ms, "has a disk with failing syncs")

    # Lost disks

    def _wipe(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.wipe()
        self._restart(machine, min(fault.duration_ms, MAX_RESTART_MS), "is wiped")

    def _wipe_while_others_lose_power(self, fault: Fault) -> None:
        machine = self._victim(fault)
        for number, other in enumerate(self._machines()):
            if other is machine:
                other.wipe()
            else:
                other.lose_power()
            self._restart(
                other, _restart_delay_ms(fault, number), f"has no power while {machine.address} is wiped"
            )

    def _replace(self, fault: Fault) -> None:
        self._remove_and_replace(self._victim(fault), fault)

    def _replace_as_planned(self, fault: Fault) -> None:
        machine = self._victim(fault)
        machine.leave()
        self._mark_lost(machine, MAX_LEAVE_MS, "is requested to shut down permanently")
        self._replace_when_ended(machine, fault, self._clock.now_ms + MAX_LEAVE_MS)

    def _replace_when_ended(self, machine: ControlMachine, fault: Fault, deadline_ms: float) -> None:
        if machine.is_up and self._clock.now_ms < deadline_ms:
            self._later(STEP_MS, lambda: self._replace_when_ended(machine, fault, deadline_ms))
        elif not machine.is_removed:
            self._remove_and_replace(machine, fault)

    def _replace_in_cut(self, fault: Fault) -> None:
        machine = self._victim(fault)
        self._cut(_both_directions(machine.address, self._all_others(machine)), fault.duration_ms)
        self._mark_lost(machine, fault.duration_ms, "is isolated, to be replaced")
        self._later(fault.other * fault.duration_ms, lambda: self._remove_and_replace(machine, fault))

    def _remove_and_replace(self, machine: ControlMachine, fault: Fault) -> None:
        """Remove a machine and start a successor at another address soon after."""
        if machine.is_removed:
            return
        seeds = tuple(self._system.machines)[:MOST_SEEDS]
        machine.remove()
        del self._system.machines[machine.address]
        self._replacements += 1
        successor = self._system.add_machine(f"r{self._replacements}", seeds)
        self.losses.mark_disk_lost(successor.address)
        delay_ms = MIN_SUCCESSOR_DELAY_MS + min(fault.duration_ms, MAX_RESTART_MS) * fault.other
        self._restart(successor, delay_ms, f"replaces {machine.address}, starts in {delay_ms:.0f} ms, lost")

    # Data planes

    def _restart_data_plane(self, fault: Fault) -> None:
        data_plane = self._data_plane(fault)
        data_plane.kill()
        duration_ms = min(fault.duration_ms, MAX_RESTART_MS)
        self._schedule_end(duration_ms, data_plane.start)
        self.losses.mark_degraded(data_plane.address, duration_ms, "is killed")

    def _freeze_data_plane(self, fault: Fault) -> None:
        data_plane = self._data_plane(fault)
        data_plane.freeze()
        self._schedule_end(fault.duration_ms, data_plane.thaw)
        self.losses.mark_degraded(data_plane.address, fault.duration_ms, "is frozen")

    def _cut_data_plane(self, fault: Fault) -> None:
        data_plane = self._data_plane(fault)
        machines = list(self._system.machines)
        self._cut(_both_directions(data_plane.address, machines), fault.duration_ms)
        self.losses.mark_degraded(data_plane.address, fault.duration_ms, "is cut off")

    def _leave_one_source(self, fault: Fault) -> None:
        """Cut a data plane from all machines except one, and cut that one from the other machines."""
        data_plane, source = self._data_plane(fault), self._victim(fault)
        others = [machine.address for machine in self._others(source)]
        links = [*_both_directions(data_plane.address, others), *_both_directions(source.address, others)]
        self._cut(links, fault.duration_ms)
        self.losses.mark_degraded(data_plane.address, fault.duration_ms, "is connected to one machine only")
        self._mark_lost(source, fault.duration_ms, f"is cut off with {data_plane.address}")


def _select(candidates: Sequence[Candidate], pick: float) -> Candidate:
    return candidates[min(int(pick * len(candidates)), len(candidates) - 1)]


def _both_directions(address: str, others: Sequence[str]) -> list[tuple[str, str]]:
    return [link for other in others for link in ((address, other), (other, address))]


def _restart_delay_ms(fault: Fault, number: int) -> float:
    """Spread the restarts of machines that went down together, in an order that the fault determines."""
    share = (fault.pick + number * fault.other) % 1.0
    return STEP_MS + share * min(fault.duration_ms, MAX_DOWN_TOGETHER_MS)
