"""Commands and reads in a healthy fleet, and their results at a primary that was replaced."""

from __future__ import annotations

import unittest

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.register import command
from tests.replication.story import CALM_ACKNOWLEDGEMENT_MS, FleetStory


class CommandsInAHealthyFleet(FleetStory):
    def test_when_a_command_is_submitted_then_it_is_acknowledged_and_soon_replicated_everywhere(self) -> None:
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(20.0)
        self.assert_taken(results)
        self.fleet.run(20.0)
        self.assert_all_follow(5)

    def test_when_a_committed_command_is_repeated_then_it_is_acknowledged_again(self) -> None:
        self.fleet.submit_and_commit(3, 5)
        self.fleet.submit_and_commit(5, 6)
        results = self.fleet.submit(self.primary, 3, 5)
        self.fleet.run(20.0)
        self.assert_taken(results)

    def test_when_a_pending_command_is_repeated_then_all_submissions_wait_for_the_same_commit(self) -> None:
        self.primary.sync_ms = 100.0
        results = [self.fleet.submit(self.primary, 3, 5) for _ in range(3)]
        self.fleet.run(20.0)
        self.assertEqual([[], [], []], results)
        self.fleet.run(300.0)
        for result in results:
            self.assert_taken(result)

    def test_when_two_commands_have_the_same_base_version_then_the_first_one_is_committed(self) -> None:
        first = self.fleet.submit(self.primary, 3, 5, "one")
        second = self.fleet.submit(self.primary, 3, 6, "other")
        self.fleet.run(50.0)
        self.assert_taken(first)
        self.assertEqual([CommandResult(CommandOutcome.STALE_BASE, 5)], second)

    def test_when_a_command_is_invalid_then_the_result_names_the_invalid_field(self) -> None:
        results = self.fleet.submit(self.primary, 3, 2)
        self.fleet.run(50.0)
        self.assertEqual([CommandOutcome.INVALID], [result.outcome for result in results])
        self.assertEqual("version", results[0].field)

    def test_when_many_commands_are_pipelined_then_all_are_committed(self) -> None:
        results = [self.fleet.submit(self.primary, version, version + 1) for version in range(3, 43)]
        self.fleet.run(CALM_ACKNOWLEDGEMENT_MS)
        for result in results:
            self.assert_taken(result)

    def test_when_too_many_commands_are_pending_then_further_ones_have_an_unknown_outcome(self) -> None:
        self.primary.stalled_until_ms = self.fleet.clock.now_ms + 300.0
        results = [self.fleet.submit(self.primary, version, version + 1) for version in range(3, 103)]
        outcomes = [result[0].outcome for result in results if result]
        self.assertEqual({CommandOutcome.UNKNOWN}, set(outcomes))
        self.fleet.run(1_000.0)
        self.assertTrue(all(results))

    def test_when_a_command_is_submitted_to_a_follower_then_its_outcome_is_unknown_at_once(self) -> None:
        self.assert_unclear(self.fleet.submit(self.backups()[0], 3, 5))

    def test_when_commands_are_large_then_they_are_committed(self) -> None:
        for version in range(3, 6):
            results: list[CommandResult] = []
            self.primary.submit(command(version, version + 1, "large", "x" * 3_000_000), results.append)
            self.fleet.run(200.0)
            self.assert_taken(results)
        self.assertEqual(6, self.fleet.read_committed().version)


class ReadsInAHealthyFleet(FleetStory):
    def test_when_the_primary_is_read_then_the_read_is_confirmed(self) -> None:
        register = self.fleet.read(self.primary)
        assert register is not None
        self.assertEqual(3, register.version)

    def test_when_a_follower_is_read_then_the_read_is_not_confirmed(self) -> None:
        self.assertIsNone(self.fleet.read(self.backups()[0], most_ms=0.0))

    def test_when_the_fleet_is_idle_then_all_replicas_know_that_their_state_is_fresh(self) -> None:
        for machine in self.fleet.running():
            status = machine.status()
            assert status is not None and status.fresh_age_ms is not None
            self.assertLess(status.fresh_age_ms, 250.0)


class DeposedPrimary(FleetStory):
    """A former primary that is partitioned from the other replicas, which continue without it."""

    def setUp(self) -> None:
        super().setUp()
        self.deposed = self.primary
        self.fleet.network.isolate(self.deposed.address)

    def test_when_it_is_read_then_the_read_is_not_confirmed(self) -> None:
        self.assertIsNone(self.fleet.read(self.deposed))

    def test_when_a_command_is_submitted_then_its_outcome_is_unknown_within_a_second(self) -> None:
        results = self.fleet.submit(self.deposed, 3, 5)
        self.fleet.run(1_000.0)
        self.assert_unclear(results)

    def test_when_a_command_has_a_base_version_unknown_to_it_then_the_command_is_not_rejected(self) -> None:
        self.fleet.run(400.0)
        results = self.fleet.submit(self.deposed, 8, 9)
        self.fleet.run(1_000.0)
        self.assert_unclear(results)

    def test_when_it_reconnects_with_an_uncommitted_command_then_the_command_is_dropped(self) -> None:
        self.fleet.submit(self.deposed, 3, 5, "lost")
        self.fleet.run(1_500.0)
        self.fleet.submit_and_commit(3, 6, "won")
        self.fleet.network.heal()
        self.fleet.run(1_500.0)
        self.assert_all_follow(6)
        self.assertEqual(self.primary.register.taken, self.deposed.register.taken)

    def test_when_it_reconnects_then_its_uncommitted_command_can_be_repeated_and_committed(self) -> None:
        self.fleet.submit(self.deposed, 3, 5, "again")
        self.fleet.run(1_500.0)
        self.fleet.network.heal()
        self.fleet.submit_and_commit(3, 5, "again")
        self.fleet.run(1_500.0)
        self.assert_all_follow(5)


if __name__ == "__main__":
    unittest.main()
