"""Bootstrap of a system: its first view, and fleets of different sizes."""

from __future__ import annotations

import unittest

from tests.fleet.fleet import Fleet


class BootstrapTests(unittest.TestCase):
    def test_given_any_start_order_then_one_system_is_bootstrapped_within_a_second(self) -> None:
        for seed in range(30):
            fleet = Fleet(3, 1, seed=seed)
            fleet.start()
            fleet.run(1_000.0)
            statuses = [machine.status() for machine in fleet.running()]
            self.assertEqual(
                {("m1", ("m1", "m2", "m3"))},
                {(status.primary, status.members) for status in statuses if status is not None},
            )

    def test_given_seeds_that_start_late_then_the_bootstrap_waits_for_a_majority(self) -> None:
        fleet = Fleet(3, 1)
        fleet["m1"].start(bootstrap=True)
        fleet.run(5_000.0)
        self.assertIsNone(fleet.primary())
        fleet["m3"].start(bootstrap=True)
        fleet.run(500.0)
        self.assertEqual("m1", fleet.stabilize().address)

    def test_given_a_seed_that_starts_late_then_the_others_bootstrap_and_it_joins(self) -> None:
        fleet = Fleet(3, 1)
        fleet["m1"].start(bootstrap=True)
        fleet["m2"].start(bootstrap=True)
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        fleet["m3"].start(bootstrap=True)
        fleet.run(1_000.0)
        self.assertEqual({"m1", "m2", "m3"}, fleet.in_sync())

    def test_given_the_first_seed_killed_at_any_moment_then_it_completes_the_bootstrap_after_its_restart(
        self,
    ) -> None:
        for moment_ms in range(0, 40, 2):
            fleet = Fleet(3, 1, seed=moment_ms + 1)
            fleet.start(spread_ms=5.0)
            fleet.run(moment_ms)
            fleet["m1"].lose_power()
            fleet.run(100.0)
            fleet["m1"].start(bootstrap=True)
            fleet.run(1_500.0)
            fleet.stabilize()
            fleet.submit_and_commit(0, 1)

    def test_given_the_first_seed_restarted_without_the_bootstrap_setting_then_it_uses_the_stored_one(
        self,
    ) -> None:
        fleet = Fleet(3, 1)
        fleet["m1"].start(bootstrap=True)
        fleet.run(50.0)
        fleet["m1"].kill()
        for machine in fleet.machines.values():
            machine.start()
        fleet.run(1_000.0)
        self.assertEqual("m1", fleet.stabilize().address)

    def test_given_empty_disks_without_the_bootstrap_setting_then_there_is_no_bootstrap(self) -> None:
        fleet = Fleet(3, 1)
        for machine in fleet.machines.values():
            machine.start()
        fleet.run(10_000.0)
        self.assertIsNone(fleet.primary())

    def test_given_the_first_seed_wiped_after_the_bootstrap_then_it_does_not_bootstrap_again(self) -> None:
        fleet = Fleet(3, 1)
        fleet.start()
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        for machine in fleet.machines.values():
            machine.kill()
        fleet["m1"].wipe()
        fleet["m1"].start()
        fleet.run(3_000.0)
        self.assertIsNone(fleet.primary())
        fleet["m2"].start()
        fleet["m3"].start()
        fleet.stabilize()
        self.assertEqual(1, fleet.read_committed().version)


class FleetSizeTests(unittest.TestCase):
    def test_given_five_machines_that_tolerate_two_losses_then_all_become_members(self) -> None:
        fleet = Fleet(5, 2)
        fleet.start()
        fleet.stabilize()
        fleet.run(500.0)
        self.assertEqual({"m1", "m2", "m3", "m4", "m5"}, fleet.in_sync())

    def test_given_more_machines_than_the_tolerance_needs_then_the_rest_are_learners_without_a_vote(
        self,
    ) -> None:
        fleet = Fleet(5, 1)
        fleet.start()
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        fleet.run(500.0)
        status = fleet["m5"].status()
        assert status is not None
        self.assertEqual(("m1", "m2", "m3"), status.members)
        self.assertEqual(1, status.committed_version)

    def test_given_a_single_machine_then_it_serves_and_recovers_alone(self) -> None:
        fleet = Fleet(1, 0)
        fleet.start()
        fleet.stabilize()
        fleet.submit_and_commit(0, 1)
        fleet["m1"].lose_power()
        fleet["m1"].start()
        fleet.stabilize()
        self.assertEqual(1, fleet.read_committed().version)


if __name__ == "__main__":
    unittest.main()
