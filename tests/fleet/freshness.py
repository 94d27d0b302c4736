"""Whether what machines call fresh is: looked at all the time, against what operators were confirmed."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from typing import Protocol

from madderwind.replication.status import ReplicaStatus
from tests.fleet.clock import Clock
from tests.fleet.history import Violation

LOOK_INTERVAL_MS = 5.0


class Watched(Protocol):
    """A machine with a replica."""

    address: str

    def status(self) -> ReplicaStatus | None:
        """How its replica stands; None without a process that runs."""


class Confirmations:
    """The versions that operators were confirmed, and when."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms: list[float] = []
        self._newest: list[int] = []  # of the versions confirmed by then

    def confirm(self, version: int) -> None:
        """An operator was confirmed a version just now."""
        before = self._newest[-1] if self._newest else 0
        self._confirmed_ms.append(self._clock.now_ms)
        self._newest.append(max(before, version))

    def newest_before(self, at_ms: float) -> int:
        """The newest version that was confirmed before; 0 where there was none."""
        count = bisect_left(self._confirmed_ms, at_ms)
        return self._newest[count - 1] if count else 0


class FreshnessWatch:
    """Compares each machine's claim with all confirmations so far, and raises Violation.

    The claim "version V, fresh A ms ago" means that whatever was confirmed before then is at most V.
    """

    def __init__(
        self,
        clock: Clock,
        machines: Callable[[], Iterable[Watched]],
        newest_confirmed_before: Callable[[float], int],
        look_interval_ms: float = LOOK_INTERVAL_MS,
    ) -> None:
        self._clock, self._machines = clock, machines
        self._newest_confirmed_before = newest_confirmed_before
        self._look_interval_ms = look_interval_ms
        self.claims = 0
        self._look()

    def _look(self) -> None:
        for machine in self._machines():
            status = machine.status()
            if status is not None and status.fresh_age_ms is not None:
                self._check(machine.address, status.committed_version, status.fresh_age_ms)
        self._clock.after(self._look_interval_ms, self._look)

    def _check(self, address: str, version: int, age_ms: float) -> None:
        self.claims += 1
        fresh_ms = self._clock.now_ms - age_ms
        newest = self._newest_confirmed_before(fresh_ms)
        if version < newest:
            raise Violation(
                f"{address} calls {version} fresh as of {fresh_ms:.1f} ms, when {newest} was confirmed"
            )
