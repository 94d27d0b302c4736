"""Long commands: they are parsed outside the event loop, the primary stays primary and none is lost."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest.mock import patch

from madderwind.log_events.control_plane import EVENT_LOOP_STALLED, ROLE_CHANGED, VIEW_CHANGED
from madderwind.replication.actions import Prepare
from madderwind.replication.commands import ANSWER_TIMEOUT_MS, Command, CommandOutcome, CommandResult
from madderwind.replication.follower import Follower
from madderwind.replication.outbox import Outbox
from madderwind.replication.preparation import CommandPreparer
from madderwind.replication.store import ReplicaStore
from madderwind.replication.submitted_commands import MAX_SUBMITTED_COMMANDS, SubmittedCommands
from tests.fleet.machine import Machine
from tests.fleet.register import Register, command
from tests.replication.story import FleetStory

# A configuration of 14,000 routes, and the CPU time of one core to parse it.
LONG_BYTES = 3_900_000
PARSING_MS = 400.0
# Share of a core that a front machine has in the deployment sheets after growth.
CORE_SHARE = 0.516
SHORT_BYTES = 1_000
LONG = "x" * LONG_BYTES


class CpuTime:
    """CPU time that the event being handled takes on one core, ms."""

    def __init__(self) -> None:
        self._spent_ms = 0.0

    def spend(self, spent_ms: float) -> None:
        """Add CPU time to the current event."""
        self._spent_ms += spent_ms

    def take_machine_ms(self) -> float:
        """Return the time spent since the last call, in ms of the machine's clock."""
        spent_ms, self._spent_ms = self._spent_ms / CORE_SHARE, 0.0
        return spent_ms


CPU_TIME = CpuTime()


class ParsingRegister(Register):
    """A register whose long commands take time to parse, once for all copies."""

    def __init__(self) -> None:
        super().__init__()
        self._parsed: list[Command] = []

    def preparation(self, command: Command) -> Callable[[], None] | None:
        if len(command.body) < SHORT_BYTES or command.base_version != self.version or command in self._parsed:
            return None
        return lambda: self._record_parsed(command)

    def validate(self, command: Command) -> CommandResult | None:
        self._parse_if_needed(command)
        return super().validate(command)

    def apply(self, command: Command) -> None:
        self._parse_if_needed(command)
        super().apply(command)

    def copy(self) -> ParsingRegister:
        duplicate = ParsingRegister()
        duplicate.taken, duplicate._parsed = self.taken.copy(), self._parsed
        return duplicate

    def _parse_if_needed(self, command: Command) -> None:
        if len(command.body) >= SHORT_BYTES and command not in self._parsed:
            CPU_TIME.spend(PARSING_MS)
            self._record_parsed(command)

    def _record_parsed(self, command: Command) -> None:
        self._parsed[:] = [command]


class LongCommandScenario(FleetStory):
    """Machines with a share of a core, which is busy while a long command is parsed."""

    def setUp(self) -> None:
        self.enterContext(patch("tests.fleet.machine.Register", ParsingRegister))
        self.enterContext(patch.object(Machine, "processor_ms", staticmethod(CPU_TIME.take_machine_ms)))
        self.enterContext(patch.object(Machine, "preparation_ms", PARSING_MS / CORE_SHARE))
        self.enterContext(patch("madderwind.messages.codec.MIN_COMPRESSED_BYTES", 1 << 40))
        super().setUp()
        self.setup_end_ms = self.fleet.clock.now_ms
        self.version = 3

    def submit_long(self, machine: Machine | None = None, name: str = "operator") -> list[CommandResult]:
        """Submit a long command based on the current version."""
        results: list[CommandResult] = []
        long = command(self.version, self.version + 1, name, LONG)
        (machine or self.primary).submit(long, results.append)
        return results

    def commit_long(self) -> float:
        """Submit a long command and wait for its acknowledgement; return the time that it took."""
        results = self.submit_long()
        elapsed_ms = self.fleet.run_until(lambda: bool(results), 6_000.0)
        self.assert_taken(results)
        self.version += 1
        return elapsed_ms

    def count(self, *events: object) -> int:
        """Return how often these events were logged since the end of the setup."""
        reports = [report for machine in self.fleet.machines.values() for report in machine.reports]
        return sum(at_ms > self.setup_end_ms and line.event in events for at_ms, line in reports)


class ManyLongCommands(LongCommandScenario):
    def test_then_no_process_stalls_and_no_replica_is_considered_lost(self) -> None:
        for _ in range(8):
            self.commit_long()
        self.fleet.run(2_000.0)
        self.assertEqual(0, self.count(VIEW_CHANGED, ROLE_CHANGED, EVENT_LOOP_STALLED))
        self.assert_all_follow(self.version)

    def test_parsing_within_an_event_is_detected(self) -> None:
        with patch.object(ParsingRegister, "preparation", lambda *_: None), self.assertRaises(AssertionError):
            self.test_then_no_process_stalls_and_no_replica_is_considered_lost()


class CommandInPreparation(LongCommandScenario):
    def test_when_a_short_command_follows_then_the_long_one_is_decided_first(self) -> None:
        long = self.submit_long()
        short = self.fleet.submit(self.primary, 3, 9, "another")
        self.fleet.run(PARSING_MS / CORE_SHARE + 100.0)
        self.assert_taken(long)
        self.assertEqual([CommandOutcome.STALE_BASE], [result.outcome for result in short])

    def test_when_the_primary_leaves_then_its_outcome_is_unknown_and_it_is_not_committed(self) -> None:
        primary = self.primary
        results = self.submit_long()
        self.fleet.run(100.0)
        primary.leave()
        self.fleet.run(2_000.0)
        self.assert_unclear(results)
        self.fleet.stabilize()
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_when_preparation_exceeds_the_answer_timeout_then_it_is_dropped(self) -> None:
        with patch.object(Machine, "preparation_ms", 10_000.0):
            results = self.submit_long()
            self.fleet.run(ANSWER_TIMEOUT_MS + LONG_BYTES / 2_048 + 100.0)
        self.assert_unclear(results)
        self.fleet.run(12_000.0)
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_when_two_commands_have_the_same_base_version_then_the_first_one_is_committed(self) -> None:
        first, second = self.submit_long(name="one"), self.submit_long(name="another")
        self.fleet.run(2 * PARSING_MS / CORE_SHARE + 200.0)
        self.assert_taken(first)
        self.assertEqual([CommandOutcome.STALE_BASE], [result.outcome for result in second])

    def test_when_all_processes_are_killed_after_its_acknowledgement_then_it_is_retained(self) -> None:
        self.commit_long()
        for machine in self.fleet.running():
            machine.kill()
        for machine in self.fleet.machines.values():
            machine.start()
        self.fleet.stabilize(6_000.0)
        self.assertEqual(4, self.fleet.read_committed().version)


class FollowerThatHasNotAppliedYet(LongCommandScenario):
    """The command is committed, and a follower is still preparing it."""

    def setUp(self) -> None:
        super().setUp()
        self.backup = self.backups()[0]
        self.backup.preparation_ms = 3_000.0
        self.commit_long()
        self.fleet.run(400.0)

    def test_then_its_status_reports_the_old_version_and_its_age(self) -> None:
        status = self.backup.status()
        assert status is not None and status.fresh_age_ms is not None
        self.assertEqual(3, status.committed_version)
        self.assertGreater(status.fresh_age_ms, 300.0)

    def test_then_it_is_in_sync_and_the_next_command_is_committed(self) -> None:
        self.assertIn(self.backup.address, self.fleet.in_sync())
        self.commit_long()
        self.fleet.run(8_000.0)
        self.assert_all_follow(5)

    def test_when_another_machine_crashes_then_no_command_is_lost(self) -> None:
        others = [machine for machine in self.fleet.running() if machine is not self.backup]
        others[0].kill()
        self.fleet.run(3_000.0)
        self.assertEqual(4, self.fleet.read_committed().version)

    def test_freshness_reported_before_entries_are_applied_is_detected(self) -> None:
        def commit_without_applying(follower: Follower, index: int) -> None:
            original(follower, index)
            follower._store.committed_index = max(follower._store.committed_index, index)

        original = Follower._commit_to
        with (
            patch.object(Follower, "_commit_to", commit_without_applying),
            self.assertRaises((AssertionError, ValueError)),
        ):
            self.commit_long()
            self.fleet.run(400.0)
            status = self.backup.status()
            assert status is not None and status.fresh_age_ms is not None
            self.assertGreater(status.fresh_age_ms, 300.0)


class CommandPreparerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox("m1")
        self.preparer = CommandPreparer(self.outbox)
        self.state = ParsingRegister()

    def prepares(self) -> list[Prepare]:
        return [action for action in self.outbox.drain() if isinstance(action, Prepare)]

    def test_prepares_one_at_a_time(self) -> None:
        first, second = (command(0, 1, name, LONG) for name in ("one", "another"))
        self.assertFalse(self.preparer.is_ready(self.state, first))
        self.assertFalse(self.preparer.is_ready(self.state, second))
        (prepare,) = self.prepares()
        self.preparer.handle_completed(prepare.token)
        self.assertFalse(self.preparer.is_ready(self.state, second))
        self.assertEqual(1, len(self.prepares()))

    def test_accepts_a_command_whose_preparation_had_no_effect(self) -> None:
        long = command(0, 1, "one", LONG)
        self.preparer.is_ready(self.state, long)
        (prepare,) = self.prepares()
        self.preparer.handle_completed(prepare.token)
        self.assertTrue(self.preparer.is_ready(self.state, long))
        self.assertEqual([], self.prepares())

    def test_ignores_a_completion_of_an_earlier_incarnation(self) -> None:
        long = command(0, 1, "one", LONG)
        self.preparer.is_ready(self.state, long)
        self.preparer.handle_completed(7)
        self.assertFalse(self.preparer.is_ready(self.state, long))

    def test_is_not_used_for_short_commands(self) -> None:
        self.assertTrue(self.preparer.is_ready(self.state, command(0, 1, "one")))
        self.assertEqual([], self.prepares())


class SubmittedCommandsTest(unittest.TestCase):
    def test_the_queue_is_bounded(self) -> None:
        submitted = SubmittedCommands()
        for token in range(MAX_SUBMITTED_COMMANDS):
            self.assertFalse(submitted.is_full)
            submitted.add(0.0, token, command(0, 1, "one"))
        self.assertTrue(submitted.is_full)

    def test_commands_expire_after_the_answer_timeout(self) -> None:
        submitted = SubmittedCommands()
        submitted.add(0.0, 1, command(0, 1, "one", LONG))
        submitted.add(10.0, 2, command(0, 1, "one"))
        self.assertEqual([], submitted.expire(ANSWER_TIMEOUT_MS))
        self.assertEqual(1, len(submitted.expire(ANSWER_TIMEOUT_MS + 20.0)))
        first = submitted.first
        assert first is not None
        self.assertEqual(1, first.token)


class StoreWithoutPreparation(unittest.TestCase):
    def test_an_entry_applied_before_it_is_prepared_is_detected(self) -> None:
        def apply_all(store: ReplicaStore, index: int) -> bool:
            store._apply_to(index)
            return True

        scenario = ManyLongCommands("test_then_no_process_stalls_and_no_replica_is_considered_lost")
        with patch.object(ReplicaStore, "_apply_ready", apply_all):
            result = unittest.TestResult()
            scenario.run(result)
        self.assertTrue(result.failures or result.errors)


if __name__ == "__main__":
    unittest.main()
