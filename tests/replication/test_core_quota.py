"""CPU quotas: a process runs at full speed, then is stopped for the rest of each 100 ms period."""

from __future__ import annotations

import unittest

from madderwind.log_events.control_plane import EVENT_LOOP_STALLED, ROLE_CHANGED, VIEW_CHANGED
from madderwind.replication.commands import CommandOutcome
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine

PERIOD_MS = 100.0
# Stop per period. In the deployment sheets core machines may run for at least half of each period; the last
# value is far beyond that.
STOP_MS = (5.0, 35.0, 48.4, 95.0)
SCENARIO_MS = 10_000.0
COMMAND_INTERVAL_MS = 250.0
# A command takes several messages between machines, each of which may arrive at a stopped process.
ACKNOWLEDGED_WITHIN_PERIODS = 6
MAX_COMMAND_MS = 6_000.0


class CpuQuota:
    """Stops and resumes the processes of a fleet periodically, each with its own phase."""

    def __init__(self, fleet: Fleet, stop_ms: float, period_ms: float = PERIOD_MS) -> None:
        self._fleet, self._stop_ms, self._period_ms = fleet, stop_ms, period_ms
        for machine in fleet.machines.values():
            fleet.clock.after(fleet.rng.uniform(0.0, period_ms), lambda m=machine: self._stop(m))  # type: ignore[misc]

    def _stop(self, machine: Machine) -> None:
        machine.freeze()
        self._fleet.clock.after(self._stop_ms, lambda: self._resume(machine))
        self._fleet.clock.after(self._period_ms, lambda: self._stop(machine))

    def _resume(self, machine: Machine) -> None:
        machine.thaw()
        machine.tick()  # its timer became due during the stop


class ProcessesUnderAQuota(unittest.TestCase):
    def run_scenario(
        self, stop_ms: float, machines: int = 3, tolerance: int = 1, period_ms: float = PERIOD_MS
    ) -> tuple[int, float]:
        """Return how often a process was considered lost or stalled, and the longest command in ms."""
        fleet = Fleet(machines, tolerance, seed=5)
        fleet.start()
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        fleet.run(1_000.0)
        primary = fleet.primary()
        assert primary is not None
        started_ms, version, longest_ms = fleet.clock.now_ms, 1, 0.0
        CpuQuota(fleet, stop_ms, period_ms)
        while fleet.clock.now_ms < started_ms + SCENARIO_MS:
            results = fleet.submit(primary, version, version + 1)
            longest_ms = max(longest_ms, fleet.run_until(lambda r=results: bool(r), MAX_COMMAND_MS))  # type: ignore[misc]
            version += results[0].outcome is CommandOutcome.COMMITTED
            fleet.run(COMMAND_INTERVAL_MS)
        events = (VIEW_CHANGED, ROLE_CHANGED, EVENT_LOOP_STALLED)
        reports = [report for machine in fleet.machines.values() for report in machine.reports]
        return sum(at_ms > started_ms and line.event in events for at_ms, line in reports), longest_ms

    def test_are_never_considered_lost_and_acknowledge_in_time(self) -> None:
        for stop_ms in STOP_MS:
            for machines, tolerance in ((3, 1), (5, 2)):
                with self.subTest(stop_ms=stop_ms, machines=machines):
                    count, longest_ms = self.run_scenario(stop_ms, machines, tolerance)
                    self.assertEqual(0, count)
                    self.assertLess(longest_ms, ACKNOWLEDGED_WITHIN_PERIODS * PERIOD_MS)

    def test_stops_longer_than_those_of_a_quota_are_detected(self) -> None:
        count, _ = self.run_scenario(450.0, period_ms=600.0)
        self.assertGreater(count, 0)


if __name__ == "__main__":
    unittest.main()
