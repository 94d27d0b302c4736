"""Stories of a share of a core that is a quota: full speed, then nothing for the rest of 100 ms."""

from __future__ import annotations

import unittest

from madderwind.log_events.control_plane import EVENT_LOOP_STALLED, ROLE_CHANGED, VIEW_CHANGED
from madderwind.replication.commands import CommandOutcome
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine

PERIOD_MS = 100.0
# Core machines in the sheets at hand may run for half of each period at least; the last is far beyond that.
STANDING_STILL_MS = (5.0, 35.0, 48.4, 95.0)
STORY_MS = 10_000.0
COMMAND_INTERVAL_MS = 250.0
# A command takes some passes between machines, each of which may meet a process that stands still.
ACKNOWLEDGED_WITHIN_PERIODS = 6
LONGEST_MS = 6_000.0


class Quota:
    """Stops and continues the processes of a fleet, each with a phase of its own."""

    def __init__(self, fleet: Fleet, standing_still_ms: float, period_ms: float = PERIOD_MS) -> None:
        self._fleet, self._standing_still_ms, self._period_ms = fleet, standing_still_ms, period_ms
        for machine in fleet.machines.values():
            fleet.clock.after(fleet.rng.uniform(0.0, period_ms), lambda m=machine: self._stop(m))  # type: ignore[misc]

    def _stop(self, machine: Machine) -> None:
        machine.freeze()
        self._fleet.clock.after(self._standing_still_ms, lambda: self._go_on(machine))
        self._fleet.clock.after(self._period_ms, lambda: self._stop(machine))

    def _go_on(self, machine: Machine) -> None:
        machine.thaw()
        machine.tick()  # its timer was due meanwhile


class ProcessesUnderAQuota(unittest.TestCase):
    def play(
        self, standing_still_ms: float, machines: int = 3, tolerance: int = 1, period_ms: float = PERIOD_MS
    ) -> tuple[int, float]:
        """How often a process was taken for lost or took itself for stalled, and the longest command."""
        fleet = Fleet(machines, tolerance, seed=5)
        fleet.start()
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        fleet.run(1_000.0)
        primary = fleet.primary()
        assert primary is not None
        begun_ms, version, longest_ms = fleet.clock.now_ms, 1, 0.0
        Quota(fleet, standing_still_ms, period_ms)
        while fleet.clock.now_ms < begun_ms + STORY_MS:
            results = fleet.submit(primary, version, version + 1)
            longest_ms = max(longest_ms, fleet.run_until(lambda r=results: bool(r), LONGEST_MS))  # type: ignore[misc]
            version += results[0].outcome is CommandOutcome.COMMITTED
            fleet.run(COMMAND_INTERVAL_MS)
        events = (VIEW_CHANGED, ROLE_CHANGED, EVENT_LOOP_STALLED)
        reports = [report for machine in fleet.machines.values() for report in machine.reports]
        return sum(at_ms > begun_ms and line.event in events for at_ms, line in reports), longest_ms

    def test_are_never_taken_for_lost_and_acknowledge_in_time(self) -> None:
        for standing_still_ms in STANDING_STILL_MS:
            for machines, tolerance in ((3, 1), (5, 2)):
                with self.subTest(standing_still_ms=standing_still_ms, machines=machines):
                    count, longest_ms = self.play(standing_still_ms, machines, tolerance)
                    self.assertEqual(0, count)
                    self.assertLess(longest_ms, ACKNOWLEDGED_WITHIN_PERIODS * PERIOD_MS)

    def test_that_stand_still_for_longer_than_a_quota_would_be_noticed(self) -> None:
        count, _ = self.play(450.0, period_ms=600.0)
        self.assertGreater(count, 0)


if __name__ == "__main__":
    unittest.main()
