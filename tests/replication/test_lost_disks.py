"""Machines that lose their disk or are replaced, and lost messages to a learner."""

from __future__ import annotations

import unittest

from tests.replication.story import FAILOVER_MS, FleetStory


class DisksAreLost(FleetStory):
    def test_given_a_wiped_backup_then_it_returns_as_another_incarnation_and_is_in_sync(self) -> None:
        backup = self.backups()[0]
        assert backup.replica is not None
        before = backup.replica.incarnation
        backup.wipe()
        self.fleet.run(200.0)
        backup.start()
        self.fleet.run(1_500.0)
        assert backup.replica is not None
        self.assertNotEqual(before, backup.replica.incarnation)
        self.assert_all_follow(3)

    def test_given_a_wiped_primary_then_another_takes_over_as_soon_as_it_restarts(self) -> None:
        old = self.primary
        old.wipe()
        self.fleet.run(100.0)
        old.start()
        self.assertLess(self.fleet.submit_and_commit(3, 5), 500.0)
        self.fleet.run(1_500.0)
        self.assert_all_follow(5)

    def test_given_each_machine_wiped_in_turn_while_the_others_lose_power_then_nothing_is_lost(self) -> None:
        for address in ("m1", "m2", "m3"):
            with self.subTest(wiped=address):
                version = self.primary.register.version
                self.fleet.submit_and_commit(version, version + 1)
                for machine in self.fleet.machines.values():
                    if machine.address == address:
                        machine.wipe()
                    else:
                        machine.lose_power()
                for machine in self.fleet.machines.values():
                    machine.start()
                self.assertLess(self.fleet.submit_and_commit(version + 1, version + 2), FAILOVER_MS)
                self.fleet.run(4_000.0)
                self.assert_all_follow(version + 2)

    def test_given_a_wiped_machine_when_another_is_away_then_its_vote_does_not_count(self) -> None:
        primary, (wiped, other) = self.primary, self.backups()
        other.kill()
        primary.kill()
        wiped.wipe()
        wiped.start()
        self.fleet.run(5_000.0)
        self.assertIsNone(self.fleet.primary())
        other.start()
        self.fleet.run(5_000.0)
        self.assertIsNone(self.fleet.primary())
        primary.start()
        self.fleet.stabilize()
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_given_an_out_of_sync_backup_when_the_in_sync_one_is_wiped_then_nothing_is_lost(
        self,
    ) -> None:
        primary, (wiped, lagging) = self.primary, self.backups()
        self.fleet.network.isolate(lagging.address)
        self.fleet.submit_and_commit(3, 5)
        self.fleet.network.heal()
        wiped.wipe()
        primary.lose_power()
        lagging.lose_power()
        for machine in (lagging, wiped, primary):
            machine.start()
        self.assertLess(self.fleet.submit_and_commit(5, 6), 2_000.0)


class MessageLossTests(FleetStory):
    def test_given_a_learner_that_missed_the_first_entries_while_commands_continue_then_it_catches_up(
        self,
    ) -> None:
        primary, learner = self.primary, self.backups()[0]
        learner.wipe()
        self.fleet.submit_and_commit(3, 4)
        self.fleet.network.cut(primary.address, learner.address)
        learner.start()
        for version in range(4, 104):
            results = self.fleet.submit(primary, version, version + 1)
            self.fleet.run(30.0)
            self.assert_taken(results)
            if version == 24:
                self.fleet.network.heal()
        self.fleet.run(20.0)
        self.assert_all_follow(104)


class MachineReplacementTests(FleetStory):
    def test_given_a_removed_machine_then_its_successor_becomes_a_member(self) -> None:
        for number, is_planned in enumerate((False, True, False, True)):
            with self.subTest(number=number, is_planned=is_planned):
                version = self.primary.register.version
                removed = next(iter(self.fleet.machines.values()))
                if is_planned:
                    removed.leave()
                    self.fleet.run(350.0)
                removed.remove()
                del self.fleet.machines[removed.address]
                successor = self.fleet.add(f"new{number}")
                self.fleet.run(200.0)
                successor.start()
                self.assertLess(self.fleet.submit_and_commit(version, version + 1), FAILOVER_MS)
                self.fleet.run(3_000.0)
                status = self.primary.status()
                assert status is not None
                self.assertIn(successor.address, status.members)
                self.assertEqual(3, len(status.members))
                self.assert_all_follow(version + 1)

    def test_given_all_machines_replaced_in_turn_then_no_acknowledged_command_is_lost(self) -> None:
        for number, address in enumerate(("m1", "m2", "m3")):
            self.fleet[address].remove()
            del self.fleet.machines[address]
            self.fleet.add(f"new{number}").start()
            self.fleet.run(5_000.0)
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_given_a_replaced_member_when_it_returns_then_it_is_a_learner(self) -> None:
        member = self.backups()[0]
        member.kill()
        self.fleet.add("new").start()
        self.fleet.run(3_000.0)
        member.start()
        self.fleet.run(2_000.0)
        status = member.status()
        assert status is not None
        self.assertNotIn(member.address, status.members)
        self.fleet.submit_and_commit(3, 5)
        self.fleet.run(200.0)
        self.assertEqual(5, member.register.version)

    def test_given_a_spare_machine_then_it_replaces_a_lost_member(
        self,
    ) -> None:
        self.fleet.add("spare").start()
        self.fleet.run(1_000.0)
        self.backups()[0].kill()
        self.fleet.run(2_500.0)
        status = self.primary.status()
        assert status is not None
        self.assertIn("spare", status.members)
        self.assertEqual(3, len(self.fleet.in_sync()))


if __name__ == "__main__":
    unittest.main()
