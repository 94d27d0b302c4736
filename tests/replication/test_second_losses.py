"""A second loss shortly after a repair or a replacement, and planned shutdowns of members."""

from __future__ import annotations

import unittest

from madderwind.replication.status import ReplicaStatus
from tests.fleet.machine import Machine
from tests.replication.story import FAILOVER_MS, FleetStory

SUCCESSOR_START_DELAY_MS = 667.0


def status_of(machine: Machine) -> ReplicaStatus:
    status = machine.status()
    assert status is not None
    return status


class LossAfterReplacementTests(FleetStory):
    def remove(self, machine: Machine) -> None:
        """Remove a machine permanently, without a shutdown request."""
        machine.remove()
        del self.fleet.machines[machine.address]

    def test_given_a_full_disk_and_a_loss_after_a_replacement_then_the_others_continue(self) -> None:
        self.remove(self.primary)
        self.fleet.run(SUCCESSOR_START_DELAY_MS)
        self.fleet.add("successor").start()
        self.fleet.run(1_062.0)
        second = self.primary
        second.disk.is_full = True
        self.fleet.run(3_171.0)
        second.disk.is_full = False
        self.fleet.run(394.0)
        self.remove(second)
        self.fleet.run(SUCCESSOR_START_DELAY_MS)
        self.fleet.add("second").start()
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)
        self.fleet.run(1_000.0)
        self.assert_all_follow(5)

    def test_given_a_replaced_primary_then_its_successor_is_a_member_within_half_a_second(self) -> None:
        self.remove(self.primary)
        self.fleet.run(SUCCESSOR_START_DELAY_MS)
        self.fleet.add("successor").start()
        self.fleet.run(500.0)
        self.assert_all_follow(3)
        self.assertIn("successor", status_of(self.primary).members)

    def test_given_a_lost_backup_then_a_lost_primary_then_the_timeout_of_the_backup_does_not_restart(
        self,
    ) -> None:
        lost, _ = self.backups()
        old = self.primary
        self.remove(lost)
        self.fleet.run(390.0)
        self.fleet.add("successor").start()
        old.kill()
        self.fleet.run(20.0)
        old.start()
        self.fleet.run(400.0)
        self.assert_all_follow(3)
        self.assertIn("successor", status_of(self.primary).members)


class MemberShutdownTests(FleetStory):
    """A member that is requested to stop stays until enough other replicas hold its log."""

    def stop_when_not_needed(self, machine: Machine, timeout_ms: float) -> float:
        """Request a machine to stop, remove it once it is not needed, and return how long that took."""
        machine.ask_to_leave()
        waited_ms = self.fleet.run_until(lambda: not status_of(machine).is_needed, timeout_ms)
        machine.remove()
        del self.fleet.machines[machine.address]
        return waited_ms

    def test_given_a_full_set_when_a_backup_stops_then_it_is_released_at_once(self) -> None:
        self.assertLess(self.stop_when_not_needed(self.backups()[0], 1_000.0), 100.0)
        self.assertLess(self.fleet.submit_and_commit(3, 5), 200.0)

    def test_given_a_full_set_when_the_primary_stops_then_it_transfers_leadership_first(self) -> None:
        old = self.primary
        self.assertLess(self.stop_when_not_needed(old, 1_000.0), 150.0)
        self.fleet.run(10.0)
        self.assertIsNot(old, self.primary)
        self.assertLess(self.fleet.submit_and_commit(3, 5), 200.0)

    def test_given_a_member_that_holds_one_of_two_copies_then_it_stays_until_there_is_a_third(self) -> None:
        away, stopping = self.backups()
        away.wipe()
        self.fleet.submit_and_commit(3, 5)
        stopping.ask_to_leave()
        self.fleet.run(2_000.0)
        self.assertTrue(status_of(stopping).is_needed)
        self.assertLess(self.fleet.submit_and_commit(5, 6), 200.0)
        away.start()
        self.fleet.run_until(lambda: not status_of(stopping).is_needed, 500.0)
        stopping.remove()
        del self.fleet.machines[stopping.address]
        self.fleet.add("successor").start()
        self.fleet.run(500.0)
        self.primary.wipe()
        self.fleet.run(1_000.0)
        self.assertEqual(6, self.fleet.read_committed().version)

    def test_given_two_backups_that_stop_at_once_then_one_stays_in_sync(self) -> None:
        first_backup, second_backup = self.backups()
        first_backup.ask_to_leave()
        second_backup.ask_to_leave()
        self.fleet.run(1_000.0)
        needed = [machine for machine in (first_backup, second_backup) if status_of(machine).is_needed]
        self.assertEqual(1, len(needed))
        self.assertEqual({self.primary.address, needed[0].address}, self.fleet.in_sync())


if __name__ == "__main__":
    unittest.main()
