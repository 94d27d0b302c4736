"""Keeps count of machines in trouble: which count as lost, and whether one more disk may be lost now."""

from __future__ import annotations

from collections.abc import Mapping

from tests.campaign.control_machine import ControlMachine
from tests.campaign.faults import LossCount
from tests.fleet.clock import Clock

CATCH_UP_MS = 4_000.0


class LossLedger:
    """A machine is hurt while its trouble lasts, and counts as lost until it had time to catch up."""

    def __init__(
        self, clock: Clock, machines: Mapping[str, ControlMachine], tolerance: int, loss_count: LossCount
    ) -> None:
        self._clock, self._machines = clock, machines
        self._tolerance, self._loss_count = tolerance, loss_count
        self._lost_until_ms: dict[str, float] = {}
        self._hurt_until_ms: dict[str, float] = {}
        self._without_disk: set[str] = set()  # addresses that are, or were once
        self.last_event_ms = 0.0  # when something last began or ended
        self.log: list[str] = []

    def note(self, line: str) -> None:
        """Something began."""
        self.note_event()
        self.log.append(f"{self._clock.now_ms:8.0f} ms  {line}")

    def note_event(self) -> None:
        """Something began or ended."""
        self.last_event_ms = self._clock.now_ms

    def hurt(self, address: str, duration_ms: float, what: str) -> None:
        """A machine or a data plane is in trouble for so long."""
        self._extend(self._hurt_until_ms, address, duration_ms)
        self.note(f"{address} {what} for {duration_ms:.0f} ms")

    def lose(self, address: str, duration_ms: float, what: str) -> None:
        """A machine counts as lost for so long, and until it had time to catch up."""
        self._extend(self._lost_until_ms, address, duration_ms + CATCH_UP_MS)
        lost = self._lost()
        if self._loss_count is LossCount.STRICT and len(lost) > self._tolerance:
            for other in lost & self._without_disk:
                self._extend(self._lost_until_ms, other, duration_ms + CATCH_UP_MS)
        self.hurt(address, duration_ms, what)

    def fault_disk(self, address: str, duration_ms: float, what: str) -> None:
        """A machine's disk is in trouble for so long: a loss or none, as losses are counted."""
        if self._loss_count is LossCount.LOOSE:
            self.hurt(address, duration_ms, what)
        else:
            self.lose(address, duration_ms, what)

    def lose_disk(self, address: str) -> None:
        """A machine is without what its disk held, or begins with an empty one."""
        self._without_disk.add(address)

    def bears(self, address: str) -> bool:
        """Whether this machine may lose its disk now."""
        lost = self._lost()
        if lost & self._without_disk and address in lost:
            return False  # losses that wait don't all hit one machine at once
        return len(lost | {address}) <= self._tolerance

    @property
    def is_within_bounds(self) -> bool:
        """Whether no more machines are hurt, or without what their disk held, than is to be borne."""
        hurt = {address for address in self._machines if self.is_hurt(address)}
        return len(hurt | self._lost()) <= self._tolerance

    def is_hurt(self, address: str) -> bool:
        """Whether a machine or a data plane is in any trouble now."""
        return self._hurt_until_ms.get(address, 0.0) > self._clock.now_ms

    def _lost(self) -> set[str]:
        now_ms = self._clock.now_ms
        lost = {address for address, until_ms in self._lost_until_ms.items() if until_ms > now_ms}
        if self._loss_count is not LossCount.LOOSE:
            lost |= {address for address, machine in self._machines.items() if machine.disk.is_in_fault}
        return lost & self._machines.keys()

    def _extend(self, times_ms: dict[str, float], address: str, duration_ms: float) -> None:
        times_ms[address] = max(self._clock.now_ms + duration_ms, times_ms.get(address, 0.0))
