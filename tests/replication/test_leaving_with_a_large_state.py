"""A leaving member holds one of two replicas of a long state; another gets it within the grace period."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.controlplane.process import SHUTDOWN_RESERVE_S
from madderwind.node_settings import Bounds
from madderwind.replication.membership import MembershipRules
from tests.fleet.machine import Machine
from tests.replication.catch_up import (
    LINK_BYTES_PER_MS,
    SHORT_COMMAND_BYTES,
    STATE_BYTES,
    CatchUpScenario,
    large_states,
)

MS_PER_S = 1000.0
LONG_STATE = STATE_BYTES[16_000]
# Maximum time that a leaving member stays.
GRACE_MS = (Bounds().grace_s - SHUTDOWN_RESERVE_S) * MS_PER_S
# 210 and 80 Mbit/s.
LINKS_BYTES_PER_MS = (LINK_BYTES_PER_MS, 10_000.0)
DOWNTIME_MS = 2_000.0


class LeavingMemberThatIsNeeded(unittest.TestCase):
    def run_leave(self, bytes_per_ms: float) -> tuple[float, CatchUpScenario]:
        """Return the time in ms from the restart of the stopped member until the leaving one is not needed.

        The leaving member is removed then.
        """
        with large_states():
            scenario = CatchUpScenario(LONG_STATE, 1, True, SHORT_COMMAND_BYTES)
            scenario.fleet.network.bytes_per_ms = bytes_per_ms
            primary = scenario.fleet.primary()
            stopped, leaving = (
                machine for machine in scenario.fleet.machines.values() if machine is not primary
            )
            stopped.wipe()
            scenario.process_commands(DOWNTIME_MS)
            leaving.ask_to_leave()
            scenario.process_commands(DOWNTIME_MS)
            self.assertTrue(self.is_needed(leaving))
            stopped.start()
            waited_ms = scenario.fleet.run_until(lambda: not self.is_needed(leaving), GRACE_MS)
            leaving.remove()
            del scenario.fleet.machines[leaving.address]
            version = scenario.version
            scenario.process_commands(DOWNTIME_MS)
        self.assertGreater(scenario.version, version)
        return waited_ms, scenario

    def is_needed(self, machine: Machine) -> bool:
        status = machine.status()
        assert status is not None
        return status.is_needed

    def test_its_state_is_replicated_within_the_grace_period(self) -> None:
        for bytes_per_ms in LINKS_BYTES_PER_MS:
            with self.subTest(bytes_per_ms=bytes_per_ms):
                waited_ms, _ = self.run_leave(bytes_per_ms)
                self.assertLess(waited_ms, GRACE_MS / 2)

    def test_when_the_primary_crashes_next_then_no_command_is_lost(self) -> None:
        _, scenario = self.run_leave(LINKS_BYTES_PER_MS[0])
        primary = scenario.fleet.primary()
        assert primary is not None
        primary.kill()
        scenario.fleet.clock.after(DOWNTIME_MS, primary.start)
        scenario.fleet.run(2 * DOWNTIME_MS)
        self.assertEqual(scenario.version, scenario.fleet.read_committed().version)

    def test_leaving_without_a_second_replica_is_detected(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", 1), self.assertRaises(AssertionError):
            self.run_leave(LINKS_BYTES_PER_MS[0])


if __name__ == "__main__":
    unittest.main()
