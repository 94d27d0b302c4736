"""Tracks faulty machines: which count as lost, and whether one more disk may be lost now."""

from __future__ import annotations

from collections.abc import Mapping

from tests.campaign.control_machine import ControlMachine
from tests.campaign.faults import LossCount
from tests.fleet.clock import Clock

CATCH_UP_MS = 4_000.0


class LossTracker:
    """A machine is degraded while its fault lasts, and counts as lost until it had time to catch up."""

    def __init__(
        self, clock: Clock, machines: Mapping[str, ControlMachine], tolerance: int, loss_count: LossCount
    ) -> None:
        self._clock, self._machines = clock, machines
        self._tolerance, self._loss_count = tolerance, loss_count
        self._lost_until_ms: dict[str, float] = {}
        self._degraded_until_ms: dict[str, float] = {}
        self._without_disk: set[str] = set()  # addresses whose disk is empty or was lost at some time
        self.last_event_ms = 0.0  # when a fault last began or ended
        self.log: list[str] = []

    def note(self, line: str) -> None:
        """Log that a fault began."""
        self.note_event()
        self.log.append(f"{self._clock.now_ms:8.0f} ms  {line}")

    def note_event(self) -> None:
        """Record the time at which a fault began or ended."""
        self.last_event_ms = self._clock.now_ms

    def mark_degraded(self, address: str, duration_ms: float, description: str) -> None:
        """Mark a machine or a data plane as degraded for a duration."""
        self._extend(self._degraded_until_ms, address, duration_ms)
        self.note(f"{address} {description} for {duration_ms:.0f} ms")

    def mark_lost(self, address: str, duration_ms: float, description: str) -> None:
        """Count a machine as lost for a duration and the time to catch up afterwards."""
        self._extend(self._lost_until_ms, address, duration_ms + CATCH_UP_MS)
        lost = self._lost()
        if self._loss_count is LossCount.STRICT and len(lost) > self._tolerance:
            for other in lost & self._without_disk:
                self._extend(self._lost_until_ms, other, duration_ms + CATCH_UP_MS)
        self.mark_degraded(address, duration_ms, description)

    def mark_disk_fault(self, address: str, duration_ms: float, description: str) -> None:
        """Record a disk fault for a duration; it counts as a loss unless losses are counted loosely."""
        if self._loss_count is LossCount.LOOSE:
            self.mark_degraded(address, duration_ms, description)
        else:
            self.mark_lost(address, duration_ms, description)

    def mark_disk_lost(self, address: str) -> None:
        """Record that a machine lost its disk, or starts with an empty one."""
        self._without_disk.add(address)

    def can_lose_disk(self, address: str) -> bool:
        """Whether this machine may lose its disk now."""
        lost = self._lost()
        if lost & self._without_disk and address in lost:
            return False  # otherwise all waiting disk losses would hit one machine at once
        return len(lost | {address}) <= self._tolerance

    @property
    def is_within_bounds(self) -> bool:
        """Whether the machines that are degraded or count as lost are within the tolerance."""
        degraded = {address for address in self._machines if self.is_degraded(address)}
        return len(degraded | self._lost()) <= self._tolerance

    def is_degraded(self, address: str) -> bool:
        """Whether a machine or a data plane is affected by a fault now."""
        return self._degraded_until_ms.get(address, 0.0) > self._clock.now_ms

    def _lost(self) -> set[str]:
        now_ms = self._clock.now_ms
        lost = {address for address, until_ms in self._lost_until_ms.items() if until_ms > now_ms}
        if self._loss_count is not LossCount.LOOSE:
            lost |= {address for address, machine in self._machines.items() if machine.disk.is_in_fault}
        return lost & self._machines.keys()

    def _extend(self, times_ms: dict[str, float], address: str, duration_ms: float) -> None:
        times_ms[address] = max(self._clock.now_ms + duration_ms, times_ms.get(address, 0.0))
