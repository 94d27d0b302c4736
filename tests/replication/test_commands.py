"""Commands and reads while all is well, and what they are told when it is not."""

from __future__ import annotations

import unittest

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.register import command
from tests.replication.story import CALM_ACKNOWLEDGEMENT_MS, FleetStory


class OrdersInCalmTimes(FleetStory):
    def test_when_a_command_comes_then_it_is_acknowledged_and_soon_known_everywhere(self) -> None:
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(20.0)
        self.assert_taken(results)
        self.fleet.run(20.0)
        self.assert_all_follow(5)

    def test_when_it_is_repeated_then_it_is_acknowledged_again(self) -> None:
        self.fleet.submit_and_commit(3, 5)
        self.fleet.submit_and_commit(5, 6)
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(20.0)
        self.assert_taken(results)

    def test_when_it_is_repeated_while_it_is_under_way_then_both_wait_for_the_same_commit(self) -> None:
        self.primary.sync_ms = 100.0
        results = [self.fleet.submit(self.primary, 3, 5) for _ in range(3)]
        self.fleet.run(20.0)
        self.assertEqual([[], [], []], results)
        self.fleet.run(300.0)
        for result in results:
            self.assert_taken(result)

    def test_when_two_build_on_one_version_then_one_wins(self) -> None:
        first = self.fleet.submit(self.primary, 3, 5, "one")
        second = self.fleet.submit(self.primary, 3, 6, "other")
        self.fleet.run(50.0)
        self.assert_taken(first)
        self.assertEqual([CommandResult(CommandOutcome.STALE_BASE, 5)], second)

    def test_when_a_command_is_invalid_then_it_is_notified_why(self) -> None:
        results = self.fleet.submit(self.primary, 3, 2)
        self.fleet.run(50.0)
        self.assertEqual([CommandOutcome.INVALID], [result.outcome for result in results])
        self.assertEqual("version", results[0].field)

    def test_when_many_come_one_on_top_of_the_other_then_all_are_taken(self) -> None:
        results = [self.fleet.submit(self.primary, version, version + 1) for version in range(3, 43)]
        self.fleet.run(CALM_ACKNOWLEDGEMENT_MS)
        for result in results:
            self.assert_taken(result)

    def test_when_more_come_at_once_than_may_wait_then_the_rest_is_unclear(self) -> None:
        self.primary.stalled_until_ms = self.fleet.clock.now_ms + 300.0
        results = [self.fleet.submit(self.primary, version, version + 1) for version in range(3, 103)]
        outcomes = [result[0].outcome for result in results if result]
        self.assertEqual({CommandOutcome.UNKNOWN}, set(outcomes))
        self.fleet.run(1_000.0)
        self.assertTrue(all(results))

    def test_when_it_comes_to_a_backup_then_it_is_unclear_at_once(self) -> None:
        self.assert_unclear(self.fleet.submit(self.backups()[0], 3, 5))

    def test_when_bodies_are_large_then_they_are_taken(self) -> None:
        for version in range(3, 6):
            results: list[CommandResult] = []
            self.primary.submit(command(version, version + 1, "large", "x" * 3_000_000), results.append)
            self.fleet.run(200.0)
            self.assert_taken(results)
        self.assertEqual(6, self.fleet.read_committed().version)


class ReadsInCalmTimes(FleetStory):
    def test_when_the_primary_is_requested_then_the_read_is_proven(self) -> None:
        register = self.fleet.read(self.primary)
        assert register is not None
        self.assertEqual(3, register.version)

    def test_when_a_backup_is_requested_then_it_can_prove_nothing(self) -> None:
        self.assertIsNone(self.fleet.read(self.backups()[0], most_ms=0.0))

    def test_when_nothing_happens_then_all_know_that_they_are_fresh(self) -> None:
        for machine in self.fleet.running():
            status = machine.status()
            assert status is not None and status.fresh_age_ms is not None
            self.assertLess(status.fresh_age_ms, 250.0)


class APrimaryThatIsNoneAnyMore(FleetStory):
    """Given a primary that was cut off while the others went on."""

    def setUp(self) -> None:
        super().setUp()
        self.old = self.primary
        self.fleet.network.isolate(self.old.address)

    def test_when_it_is_requested_to_read_then_it_proves_nothing(self) -> None:
        self.assertIsNone(self.fleet.read(self.old))

    def test_when_a_command_comes_then_it_is_unclear_within_a_second(self) -> None:
        results = self.fleet.submit(self.old, 3, 5)
        self.fleet.run(1_000.0)
        self.assert_unclear(results)

    def test_when_a_command_builds_on_what_it_does_not_know_then_it_is_not_refused(self) -> None:
        self.fleet.run(400.0)
        results = self.fleet.submit(self.old, 8, 9)
        self.fleet.run(1_000.0)
        self.assert_unclear(results)

    def test_when_it_comes_back_with_a_command_of_its_own_then_that_is_dropped(self) -> None:
        self.fleet.submit(self.old, 3, 5, "lost")
        self.fleet.run(1_500.0)
        self.fleet.submit_and_commit(3, 6, "won")
        self.fleet.network.heal()
        self.fleet.run(1_500.0)
        self.assert_all_follow(6)
        self.assertEqual(self.primary.register.taken, self.old.register.taken)

    def test_when_it_comes_back_then_its_command_can_be_repeated_to_a_clear_end(self) -> None:
        self.fleet.submit(self.old, 3, 5, "again")
        self.fleet.run(1_500.0)
        self.fleet.network.heal()
        self.fleet.submit_and_commit(3, 5, "again")
        self.fleet.run(1_500.0)
        self.assert_all_follow(5)


if __name__ == "__main__":
    unittest.main()
