"""Constraints between the timeouts of a replica, and the stability that depends on them."""

from __future__ import annotations

import unittest

from msgspec import structs

from madderwind.replication.times import ReplicationTimes
from tests.replication.story import FleetStory


class TimeConstraintTests(unittest.TestCase):
    def test_given_the_times_of_any_deployment_then_no_constraint_is_violated(self) -> None:
        for ack_ms in (1_000.0, 4_000.0, 20_000.0):
            with self.subTest(ack_ms=ack_ms):
                self.assertEqual((), ReplicationTimes.from_bounds(ack_ms).violated_constraints())

    def test_given_one_inconsistent_time_then_a_violation_is_reported(self) -> None:
        inconsistent_values = {
            "witness_lease_ms": 60.0,
            "election_timeout_min_ms": 240.0,
            "grace_ms": 150.0,
            "stall_ms": 350.0,
            "election_timeout_max_ms": 420.0,
            "replacement_timeout_ms": 300.0,
            "quorum_timeout_ms": 400.0,
            "proposal_timeout_ms": 100.0,
            "replica_timeout_ms": 90.0,
        }
        for name, value in inconsistent_values.items():
            with self.subTest(time=name):
                times = structs.replace(ReplicationTimes(), **{name: value})
                self.assertNotEqual((), times.violated_constraints())


class PausedProcessTests(FleetStory):
    """Processes that are paused for up to 350 ms, for example while they read a large configuration."""

    stall_ms = 350.0

    def test_given_each_process_paused_in_turn_at_any_moment_then_the_view_does_not_change(self) -> None:
        before = self.primary.status()
        for machine in list(self.fleet.machines.values()):
            for offset_ms in range(0, 60, 10):
                self.fleet.run(500.0 + offset_ms)
                machine.freeze()
                self.fleet.run(self.stall_ms)
                machine.thaw()
        self.fleet.run(500.0)
        after = self.primary.status()
        assert before is not None and after is not None
        self.assertEqual(before.epoch, after.epoch)


if __name__ == "__main__":
    unittest.main()
