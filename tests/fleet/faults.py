"""Random faults in a fleet, from one seed, within its tolerance.

Any machine may be partitioned, killed, frozen or lose power. A disk is lost only while the number of faulty
machines, this one included, is at most the tolerance. As in a deployment, a machine counts as faulty until
some seconds after it is back.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine

CATCH_UP_MS = 4_000.0


class Faults:
    """Injects faults into a fleet; `heal` ends them all."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet, self._rng = fleet, rng
        self._faulty_until: dict[str, float] = {}
        self._replacements = 0
        self._is_active = False
        self.log: list[tuple[float, str]] = []
        self._disk_losses: tuple[Callable[[], None], ...] = (
            self._wipe,
            self._wipe_while_others_lose_power,
            self._replace,
        )
        self._kinds: tuple[tuple[Callable[[], None], float], ...] = (
            (self._kill, 3),
            (self._kill_all, 1),
            (self._lose_power, 2),
            (self._lose_power_everywhere, 1),
            (self._freeze, 3),
            (self._cut_pair, 2),
            (self._cut_one_way, 2),
            (self._isolate, 2),
            (self._lose_messages, 1),
            (self._slow_disk, 1),
            (self._stall_disk, 2),
            (self._fill_disk, 1),
            (self._fail_syncs, 1),
            (self._leave, 2),
        )

    def start(self, interval_ms: float) -> None:
        """Inject faults, on average one per `interval_ms`."""
        self._is_active = True
        self._interval_ms = interval_ms
        self._schedule()

    def start_disk_losses(self) -> None:
        """Inject disk losses as often as the fleet tolerates them, each together with other faults."""
        self._is_active = True
        self._lose_disk()

    def heal(self) -> None:
        """End all faults, so that all machines run and are connected."""
        self._is_active = False
        self._fleet.network.heal()
        for machine in self._fleet.machines.values():
            self._repair_disk(machine)
            machine.thaw()
            if machine.is_stopping:
                machine.kill()
            machine.start()

    def _schedule(self) -> None:
        self._fleet.clock.after(self._rng.uniform(0.1, 1.9) * self._interval_ms, self._inject_and_reschedule)

    def _inject_and_reschedule(self) -> None:
        if not self._is_active:
            return
        self._inject_fault()
        self._schedule()

    def _lose_disk(self) -> None:
        """Inject a disk loss, and shortly afterwards other faults that lose no disk."""
        if not self._is_active:
            return
        self._rng.choice(self._disk_losses)()
        for _ in range(self._rng.randrange(4)):
            self._schedule_within(0.0, 3_000.0, self._inject_fault)
        self._schedule_within(7_500.0, 9_500.0, self._lose_disk)

    def _inject_fault(self) -> None:
        kinds, weights = zip(*self._kinds, strict=True)
        self._rng.choices(kinds, weights)[0]()

    def _random_machine(self) -> Machine:
        return self._rng.choice(list(self._fleet.machines.values()))

    def _record_fault(self, machine: Machine, duration_ms: float, what: str) -> None:
        until_ms = self._fleet.clock.now_ms + duration_ms + CATCH_UP_MS
        self._faulty_until[machine.address] = max(until_ms, self._faulty_until.get(machine.address, 0.0))
        self.log.append((self._fleet.clock.now_ms, f"{machine.address} {what}"))

    def _may_lose_disk(self, machine: Machine) -> bool:
        """Whether the fleet tolerates that this machine loses its disk now."""
        now_ms = self._fleet.clock.now_ms
        faulty = {address for address, until_ms in self._faulty_until.items() if until_ms > now_ms}
        return len(faulty | {machine.address}) <= self._fleet.tolerance

    def _schedule_within(self, least_ms: float, most_ms: float, action: Callable[[], None]) -> float:
        delay_ms = self._rng.uniform(least_ms, most_ms)
        self._fleet.clock.after(delay_ms, lambda: action() if self._is_active else None)
        return delay_ms

    def _kill(self) -> None:
        machine = self._random_machine()
        machine.kill()
        self._record_fault(machine, self._schedule_within(50.0, 2_000.0, machine.start), "killed")

    def _kill_all(self) -> None:
        for machine in self._fleet.machines.values():
            machine.kill()
            self._record_fault(
                machine, self._schedule_within(50.0, 1_000.0, machine.start), "killed with all"
            )

    def _lose_power(self) -> None:
        machine = self._random_machine()
        machine.lose_power()
        self._record_fault(machine, self._schedule_within(50.0, 2_000.0, machine.start), "lost power")

    def _lose_power_everywhere(self) -> None:
        for machine in self._fleet.machines.values():
            machine.lose_power()
            self._record_fault(
                machine, self._schedule_within(50.0, 1_000.0, machine.start), "lost power with all"
            )

    def _wipe(self) -> None:
        machine = self._random_machine()
        if self._may_lose_disk(machine):
            machine.wipe()
            self._record_fault(machine, self._schedule_within(50.0, 1_500.0, machine.start), "wiped")

    def _wipe_while_others_lose_power(self) -> None:
        wiped = self._random_machine()
        if not self._may_lose_disk(wiped):
            return
        for machine in self._fleet.machines.values():
            if machine is wiped:
                machine.wipe()
            else:
                machine.lose_power()
            self._record_fault(
                machine, self._schedule_within(50.0, 1_000.0, machine.start), f"{wiped.address} wiped, power"
            )

    def _replace(self) -> None:
        machine = self._random_machine()
        if not self._may_lose_disk(machine):
            return
        if self._rng.random() < 0.5:
            machine.leave()
        machine.remove()
        del self._fleet.machines[machine.address]
        self._faulty_until.pop(machine.address, None)
        self._replacements += 1
        successor = self._fleet.add(f"r{self._replacements}")
        self._record_fault(
            successor, self._schedule_within(50.0, 2_000.0, successor.start), f"replaces {machine.address}"
        )

    def _freeze(self) -> None:
        machine = self._random_machine()
        machine.freeze()
        self._record_fault(machine, self._schedule_within(100.0, 4_000.0, machine.thaw), "frozen")

    def _leave(self) -> None:
        machine = self._random_machine()
        if machine.is_running:
            machine.leave()
            self._record_fault(machine, self._schedule_within(350.0, 1_500.0, machine.start), "leaves")

    def _heal_links(self) -> None:
        self._fleet.network.heal()

    def _cut_pair(self) -> None:
        one, other = self._random_machine(), self._random_machine()
        if one is not other:
            self._fleet.network.cut_both(one.address, other.address)
            self._record_fault(
                one, self._schedule_within(200.0, 3_000.0, self._heal_links), f"cut from {other.address}"
            )

    def _cut_one_way(self) -> None:
        one, other = self._random_machine(), self._random_machine()
        if one is not other:
            self._fleet.network.cut(one.address, other.address)
            self._record_fault(
                one, self._schedule_within(200.0, 3_000.0, self._heal_links), f"can't send to {other.address}"
            )

    def _isolate(self) -> None:
        machine = self._random_machine()
        self._fleet.network.isolate(machine.address)
        self._record_fault(machine, self._schedule_within(200.0, 4_000.0, self._heal_links), "isolated")

    def _lose_messages(self) -> None:
        self._fleet.network.loss = self._rng.uniform(0.05, 0.4)
        self._fleet.network.reorders = self._rng.random() < 0.5
        duration_ms = self._schedule_within(200.0, 2_000.0, self._heal_links)
        for machine in self._fleet.machines.values():
            self._record_fault(machine, duration_ms, "messages are lost")

    def _repair_disk(self, machine: Machine) -> None:
        machine.sync_ms = 1.0
        machine.stalled_until_ms = min(machine.stalled_until_ms, self._fleet.clock.now_ms)
        machine.disk.is_full = machine.disk.fails_syncs = False

    def _slow_disk(self) -> None:
        machine = self._random_machine()
        machine.sync_ms = self._rng.uniform(20.0, 300.0)
        self._record_fault(
            machine, self._schedule_within(500.0, 4_000.0, lambda: self._repair_disk(machine)), "slow disk"
        )

    def _stall_disk(self) -> None:
        machine = self._random_machine()
        duration_ms = self._rng.uniform(300.0, 4_000.0)
        machine.stalled_until_ms = self._fleet.clock.now_ms + duration_ms
        self._record_fault(machine, duration_ms, "stalled disk")

    def _fill_disk(self) -> None:
        machine = self._random_machine()
        machine.disk.is_full = True
        self._record_fault(
            machine, self._schedule_within(500.0, 4_000.0, lambda: self._repair_disk(machine)), "full disk"
        )

    def _fail_syncs(self) -> None:
        machine = self._random_machine()
        machine.disk.fails_syncs = True
        self._record_fault(
            machine,
            self._schedule_within(100.0, 2_000.0, lambda: self._repair_disk(machine)),
            "failing syncs",
        )
