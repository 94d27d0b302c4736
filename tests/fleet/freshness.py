"""Checks the freshness that machines claim periodically against the versions confirmed to operators."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from typing import Protocol

from madderwind.replication.status import ReplicaStatus
from tests.fleet.clock import Clock
from tests.fleet.history import Violation

CHECK_INTERVAL_MS = 5.0


class ObservedMachine(Protocol):
    """A machine with a replica."""

    address: str

    def status(self) -> ReplicaStatus | None:
        """The status of its replica; None if its process is not running."""


class Confirmations:
    """The versions confirmed to operators, and the times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms: list[float] = []
        self._newest: list[int] = []  # newest version confirmed by each of these times

    def confirm(self, version: int) -> None:
        """Record that a version is confirmed to an operator now."""
        before = self._newest[-1] if self._newest else 0
        self._confirmed_ms.append(self._clock.now_ms)
        self._newest.append(max(before, version))

    def newest_before(self, at_ms: float) -> int:
        """The newest version confirmed before the given time; 0 if there is none."""
        count = bisect_left(self._confirmed_ms, at_ms)
        return self._newest[count - 1] if count else 0


class FreshnessWatch:
    """Compares each machine's claim with all confirmations so far; raises Violation if it is false.

    The claim "version V, fresh A ms ago" means that every version confirmed before then is at most V.
    """

    def __init__(
        self,
        clock: Clock,
        machines: Callable[[], Iterable[ObservedMachine]],
        newest_confirmed_before: Callable[[float], int],
        check_interval_ms: float = CHECK_INTERVAL_MS,
    ) -> None:
        self._clock, self._machines = clock, machines
        self._newest_confirmed_before = newest_confirmed_before
        self._check_interval_ms = check_interval_ms
        self.claims = 0
        self._check_all()

    def _check_all(self) -> None:
        for machine in self._machines():
            status = machine.status()
            if status is not None and status.fresh_age_ms is not None:
                self._check_claim(machine.address, status.committed_version, status.fresh_age_ms)
        self._clock.after(self._check_interval_ms, self._check_all)

    def _check_claim(self, address: str, version: int, age_ms: float) -> None:
        self.claims += 1
        fresh_ms = self._clock.now_ms - age_ms
        newest = self._newest_confirmed_before(fresh_ms)
        if version < newest:
            raise Violation(
                f"{address} calls {version} fresh as of {fresh_ms:.1f} ms, when {newest} was confirmed"
            )
