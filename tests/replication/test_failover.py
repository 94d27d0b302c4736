"""Failover after crashes, freezes and network partitions, and with slow, stalled or full disks."""

from __future__ import annotations

import unittest

from tests.fleet.machine import Machine
from tests.fleet.register import change_of
from tests.replication.story import FAILOVER_MS, FleetStory


class ProcessesEnd(FleetStory):
    def test_given_the_primary_killed_then_another_takes_over(self) -> None:
        old = self.primary
        old.kill()
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)
        old.start()
        self.fleet.run(1_500.0)
        self.assert_all_follow(5)

    def test_given_a_backup_killed_then_commands_wait_only_for_its_timeout(self) -> None:
        self.backups()[0].kill()
        self.assertLess(self.fleet.submit_and_commit(3, 5), 1_000.0)
        self.assertLess(self.fleet.submit_and_commit(5, 6), 100.0)

    def test_given_the_primary_killed_at_any_moment_of_a_command_then_a_retry_commits_it(self) -> None:
        for version in range(3, 23, 2):
            old = self.primary
            results = self.fleet.submit(old, version, version + 2)
            self.fleet.run(0.4 * (version - 3))
            old.lose_power()
            self.fleet.run(1.0)
            self.assertEqual(1, len(results))
            self.fleet.submit_and_commit(version, version + 2)
            old.start()
            self.fleet.run(3_000.0)
            self.assert_all_follow(version + 2)

    def test_given_all_machines_killed_then_nothing_is_lost_after_their_restart(self) -> None:
        for machine in self.fleet.machines.values():
            machine.kill()
        self.fleet.run(500.0)
        for machine in self.fleet.machines.values():
            machine.start()
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)
        self.fleet.run(1_500.0)
        self.assert_all_follow(5)

    def test_given_a_power_loss_of_all_machines_during_a_command_then_a_retry_commits_it(self) -> None:
        for version in range(3, 23, 2):
            results = self.fleet.submit(self.primary, version, version + 2)
            self.fleet.run(0.5 * (version - 3))
            for machine in self.fleet.machines.values():
                machine.lose_power()
            self.assertEqual(1, len(results))
            for machine in self.fleet.machines.values():
                machine.start()
            self.fleet.submit_and_commit(version, version + 2)
            self.fleet.run(2_000.0)
            self.assert_all_follow(version + 2)

    def test_given_the_primary_requested_to_stop_then_another_takes_over_before_it_exits(self) -> None:
        old = self.primary
        old.leave()
        self.fleet.run(100.0)
        self.assertIsNot(old, self.primary)
        self.assertLess(self.fleet.submit_and_commit(3, 5), 200.0)

    def test_given_a_backup_requested_to_stop_then_commands_do_not_wait_for_it(self) -> None:
        self.backups()[0].leave()
        self.fleet.run(50.0)
        self.assertLess(self.fleet.submit_and_commit(3, 5), 200.0)

    def test_given_a_rolling_restart_then_each_command_commits(self) -> None:
        version = 3
        for machine in list(self.fleet.machines.values()):
            machine.leave()
            self.fleet.run(500.0)
            machine.start()
            self.assertLess(self.fleet.submit_and_commit(version, version + 1), FAILOVER_MS)
            version += 1
            self.fleet.run(2_500.0)
        self.assert_all_follow(version)

    def test_given_a_command_that_a_primary_sent_and_did_not_write_when_it_is_back_then_another_one_holds(
        self,
    ) -> None:
        old = self.primary
        old.sync_ms = 100.0
        self.fleet.submit(old, 3, 5, "before")
        self.fleet.run(20.0)
        old.lose_power()
        old.sync_ms = 1.0
        old.start()
        self.fleet.run(20.0)
        for machine in self.fleet.running():
            self.fleet.submit(machine, 3, 7, "after")
        self.fleet.run(2_000.0)
        versions = {machine.register.version for machine in self.fleet.running()}
        names = {change_of(machine.register.taken[-1][1]).name for machine in self.fleet.running()}
        self.assertEqual((1, 1), (len(versions), len(names)))


class ProcessFreezeTests(FleetStory):
    def test_given_the_primary_frozen_then_another_takes_over_and_it_follows_after_it_resumes(self) -> None:
        old = self.primary
        old.freeze()
        waiting = self.fleet.submit(old, 3, 4, "queued")
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)
        self.fleet.run(2_000.0)
        old.thaw()
        self.assertIsNone(self.fleet.read(old))
        self.fleet.run(1_500.0)
        self.assert_unclear(waiting)
        self.assert_all_follow(5)

    def test_given_the_primary_frozen_after_it_sent_a_command_when_it_resumes_then_it_reports_the_commit(
        self,
    ) -> None:
        old = self.primary
        results = self.fleet.submit(old, 3, 5, "frozen")
        old.freeze()
        self.fleet.run(2_000.0)
        # The backups had received the entry, so the new primary committed it.
        self.assertEqual(5, self.primary.register.version)
        self.fleet.submit_and_commit(5, 8, "later")
        old.thaw()
        self.fleet.run(1_500.0)
        self.assert_taken(results)
        self.assert_all_follow(8)

    def test_given_the_primary_frozen_before_it_sent_a_command_when_it_resumes_then_it_acknowledges_nothing(
        self,
    ) -> None:
        old = self.primary
        self.fleet.network.isolate(old.address)
        results = self.fleet.submit(old, 3, 5, "frozen")
        old.freeze()
        self.fleet.network.heal()
        self.fleet.run(2_000.0)
        self.fleet.submit_and_commit(3, 8, "later")
        old.thaw()
        self.fleet.run(1_500.0)
        self.assert_unclear(results)
        self.assert_all_follow(8)

    def test_given_a_backup_that_resumes_then_it_does_not_take_over(self) -> None:
        primary, backup = self.primary, self.backups()[0]
        backup.freeze()
        self.fleet.run(3_000.0)
        backup.thaw()
        self.fleet.run(2_500.0)
        self.assertIs(primary, self.primary)
        self.assert_all_follow(3)

    def test_given_a_short_freeze_then_the_primary_keeps_its_role(self) -> None:
        primary = self.primary
        epoch = primary.replica.view.epoch if primary.replica and primary.replica.view else 0
        primary.freeze()
        self.fleet.run(350.0)
        primary.thaw()
        self.fleet.run(2_000.0)
        status = self.primary.status()
        assert status is not None
        self.assertEqual((primary, epoch), (self.primary, status.epoch))


class LinksAreCut(FleetStory):
    def assert_stays_primary(self, primary: Machine) -> None:
        self.fleet.run(4_000.0)
        self.assertIs(primary, self.primary)
        self.assertLess(self.fleet.submit_and_commit(3, 5), 100.0)
        self.fleet.network.heal()
        self.fleet.run(2_500.0)
        self.assertIs(primary, self.primary)
        self.assert_all_follow(5)

    def test_given_a_backup_that_receives_nothing_from_the_primary_then_it_does_not_replace_it(self) -> None:
        primary = self.primary
        self.fleet.network.cut(primary.address, self.backups()[0].address)
        self.assert_stays_primary(primary)

    def test_given_a_primary_that_receives_nothing_from_a_backup_then_commands_continue_without_it(
        self,
    ) -> None:
        primary = self.primary
        self.fleet.network.cut(self.backups()[0].address, primary.address)
        self.assert_stays_primary(primary)

    def test_given_a_backup_that_stands_while_the_others_hear_the_primary_then_it_is_refused(self) -> None:
        primary, backup = self.primary, self.backups()[0]
        before = primary.status()
        assert backup.replica is not None
        backup.replica._roles.election.due_ms = self.fleet.clock.now_ms
        backup.tick()
        self.assertEqual("candidate", backup.reports[-1][1].fields.get("role"))
        self.fleet.run(1_050.0)
        after = self.primary.status()
        assert before is not None and after is not None
        self.assertEqual((primary, before.epoch), (self.primary, after.epoch))

    def test_given_two_backups_without_a_link_then_the_primary_keeps_its_role(self) -> None:
        primary, (first, second) = self.primary, self.backups()
        self.fleet.network.cut_both(first.address, second.address)
        self.assert_stays_primary(primary)

    def test_given_an_isolated_backup_then_its_return_does_not_disturb_the_primary(self) -> None:
        primary = self.primary
        self.fleet.network.isolate(self.backups()[0].address)
        self.assert_stays_primary(primary)

    def test_given_a_primary_that_receives_no_messages_then_another_takes_over(self) -> None:
        old = self.primary
        for backup in self.backups():
            self.fleet.network.cut(backup.address, old.address)
        self.fleet.run(2_500.0)
        self.assertIsNot(old, self.primary)
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)

    def test_given_a_primary_whose_messages_are_lost_then_another_takes_over(self) -> None:
        old = self.primary
        for backup in self.backups():
            self.fleet.network.cut(old.address, backup.address)
        self.fleet.run(2_500.0)
        self.assertIsNot(old, self.primary)
        self.assertLess(self.fleet.submit_and_commit(3, 5), FAILOVER_MS)

    def test_given_all_machines_isolated_then_nothing_is_acknowledged_until_the_links_are_restored(
        self,
    ) -> None:
        for machine in self.fleet.running():
            self.fleet.network.isolate(machine.address)
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(5_000.0)
        self.assert_unclear(results)
        self.assertIsNone(self.fleet.primary())
        self.fleet.network.heal()
        self.assertLess(self.fleet.submit_and_commit(3, 5), 2_000.0)


class DiskFaultTests(FleetStory):
    def test_given_a_stalled_disk_at_the_primary_then_it_transfers_leadership_and_the_command_commits(
        self,
    ) -> None:
        old = self.primary
        old.stalled_until_ms = self.fleet.clock.now_ms + 6_000.0
        self.assertLess(self.fleet.submit_and_commit(3, 5), 1_200.0)
        self.assertIsNot(old, self.primary)
        self.assertLess(self.fleet.submit_and_commit(5, 6), 100.0)
        self.fleet.run(9_000.0)
        self.assert_all_follow(6)

    def test_given_a_stalled_disk_at_a_backup_then_commands_continue_without_it(self) -> None:
        self.backups()[0].stalled_until_ms = self.fleet.clock.now_ms + 6_000.0
        self.assertLess(self.fleet.submit_and_commit(3, 5), 1_000.0)
        self.assertLess(self.fleet.submit_and_commit(5, 6), 100.0)
        self.fleet.run(9_000.0)
        self.assert_all_follow(6)

    def test_given_a_full_disk_at_the_primary_then_it_transfers_leadership_at_once(self) -> None:
        old = self.primary
        old.disk.is_full = True
        self.assertLess(self.fleet.submit_and_commit(3, 5), 300.0)
        self.assertIsNot(old, self.primary)
        old.disk.is_full = False
        self.fleet.run(3_000.0)
        self.assert_all_follow(5)

    def test_given_a_full_disk_at_a_backup_then_it_leaves_the_in_sync_set_and_rejoins(self) -> None:
        backup = self.backups()[0]
        backup.disk.is_full = True
        self.assertLess(self.fleet.submit_and_commit(3, 5), 300.0)
        self.assertNotIn(backup.address, self.fleet.in_sync())
        backup.disk.is_full = False
        self.fleet.run(3_000.0)
        self.assert_all_follow(5)

    def test_given_slow_disks_on_all_machines_then_commands_still_commit(self) -> None:
        for machine in self.fleet.running():
            machine.sync_ms = 200.0
        primary = self.primary
        self.assertLess(self.fleet.submit_and_commit(3, 5), 1_000.0)
        self.assertIs(primary, self.primary)

    def test_given_failing_syncs_then_nothing_is_acknowledged(self) -> None:
        for machine in self.fleet.running():
            machine.disk.fails_syncs = True
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(5_000.0)
        self.assert_unclear(results)
        for machine in self.fleet.running():
            machine.disk.fails_syncs = False
        self.fleet.submit_and_commit(3, 5)


class FiveMachineTests(FleetStory):
    """Five machines that tolerate the loss of two."""

    machines = 5
    tolerance = 2

    def test_given_the_primary_and_a_backup_killed_then_commands_continue(self) -> None:
        self.backups()[0].kill()
        self.primary.kill()
        self.assertLess(self.fleet.submit_and_commit(3, 5), 2_000.0)

    def test_given_two_wiped_while_the_others_lose_power_then_nothing_is_lost(self) -> None:
        self.fleet.submit_and_commit(3, 5)
        machines = list(self.fleet.machines.values())
        for machine in machines[:2]:
            machine.wipe()
        for machine in machines[2:]:
            machine.lose_power()
        for machine in machines:
            machine.start()
        self.assertLess(self.fleet.submit_and_commit(5, 6), FAILOVER_MS)
        self.fleet.run(2_000.0)
        self.assert_all_follow(6)

    def test_given_an_isolated_minority_then_the_majority_continues_and_the_minority_rejoins(self) -> None:
        minority = [self.primary, self.backups()[0]]
        for machine in minority:
            self.fleet.network.isolate(machine.address)
        self.fleet.run(3_000.0)
        self.assertNotIn(self.primary, minority)
        self.fleet.submit_and_commit(3, 5)
        self.fleet.network.heal()
        self.fleet.run(4_000.0)
        self.assert_all_follow(5)


if __name__ == "__main__":
    unittest.main()
