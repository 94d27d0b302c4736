"""Stories of long commands: they are read beside the events, the primary stays primary, and none is lost."""

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

# A configuration of 14,000 routes, and the time that reading it takes of a core.
LONG_BYTES = 3_900_000
READING_MS = 400.0
# A front machine's share of a core in the grown deployments' sheets.
SHARE = 0.516
SHORT_BYTES = 1_000
LONG = "x" * LONG_BYTES


class ProcessorTime:
    """What the event that is being handled takes of a core, ms."""

    def __init__(self) -> None:
        self._spent_ms = 0.0

    def spend(self, spent_ms: float) -> None:
        """Something took so long."""
        self._spent_ms += spent_ms

    def take(self) -> float:
        """What was spent since the last call, in ms of the machine's clock."""
        spent_ms, self._spent_ms = self._spent_ms / SHARE, 0.0
        return spent_ms


PROCESSOR = ProcessorTime()


class ReadRegister(Register):
    """A register whose long commands take time to read, once for all copies."""

    def __init__(self) -> None:
        super().__init__()
        self._read: list[Command] = []

    def preparation(self, command: Command) -> Callable[[], None] | None:
        if len(command.body) < SHORT_BYTES or command.base_version != self.version or command in self._read:
            return None
        return lambda: self._keep(command)

    def validate(self, command: Command) -> CommandResult | None:
        self._read_now(command)
        return super().validate(command)

    def apply(self, command: Command) -> None:
        self._read_now(command)
        super().apply(command)

    def copy(self) -> ReadRegister:
        duplicate = ReadRegister()
        duplicate.taken, duplicate._read = self.taken.copy(), self._read
        return duplicate

    def _read_now(self, command: Command) -> None:
        if len(command.body) >= SHORT_BYTES and command not in self._read:
            PROCESSOR.spend(READING_MS)
            self._keep(command)

    def _keep(self, command: Command) -> None:
        self._read[:] = [command]


class LongCommandsStory(FleetStory):
    """Machines whose processor is busy while a long command is read, with a share of a core."""

    def setUp(self) -> None:
        self.enterContext(patch("tests.fleet.machine.Register", ReadRegister))
        self.enterContext(patch.object(Machine, "processor_ms", staticmethod(PROCESSOR.take)))
        self.enterContext(patch.object(Machine, "preparation_ms", READING_MS / SHARE))
        self.enterContext(patch("madderwind.messages.codec.MIN_COMPRESSED_BYTES", 1 << 40))
        super().setUp()
        self.begun_ms = self.fleet.clock.now_ms
        self.version = 3

    def submit_long(self, machine: Machine | None = None, name: str = "operator") -> list[CommandResult]:
        """The next command of the chain, and a long one."""
        results: list[CommandResult] = []
        long = command(self.version, self.version + 1, name, LONG)
        (machine or self.primary).submit(long, results.append)
        return results

    def replace(self) -> float:
        """A long command, until it is acknowledged; how long that took."""
        results = self.submit_long()
        took_ms = self.fleet.run_until(lambda: bool(results), 6_000.0)
        self.assert_taken(results)
        self.version += 1
        return took_ms

    def count(self, *events: object) -> int:
        """How often these were logged since the story began."""
        reports = [report for machine in self.fleet.machines.values() for report in machine.reports]
        return sum(at_ms > self.begun_ms and line.event in events for at_ms, line in reports)


class ManyReplacements(LongCommandsStory):
    def test_then_no_process_stands_still_and_nobody_is_taken_for_lost(self) -> None:
        for _ in range(8):
            self.replace()
        self.fleet.run(2_000.0)
        self.assertEqual(0, self.count(VIEW_CHANGED, ROLE_CHANGED, EVENT_LOOP_STALLED))
        self.assert_all_follow(self.version)

    def test_read_within_an_event_would_be_noticed(self) -> None:
        with patch.object(ReadRegister, "preparation", lambda *_: None), self.assertRaises(AssertionError):
            self.test_then_no_process_stands_still_and_nobody_is_taken_for_lost()


class ACommandThatIsPrepared(LongCommandsStory):
    def test_when_a_short_one_comes_behind_it_then_it_keeps_its_turn(self) -> None:
        long = self.submit_long()
        short = self.fleet.submit(self.primary, 3, 9, "another")
        self.fleet.run(READING_MS / SHARE + 100.0)
        self.assert_taken(long)
        self.assertEqual([CommandOutcome.STALE_BASE], [result.outcome for result in short])

    def test_when_the_primary_ends_then_it_has_no_clear_end_and_is_not_taken(self) -> None:
        primary = self.primary
        results = self.submit_long()
        self.fleet.run(100.0)
        primary.leave()
        self.fleet.run(2_000.0)
        self.assert_unclear(results)
        self.fleet.stabilize()
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_for_longer_than_its_caller_waits_then_it_is_dropped(self) -> None:
        with patch.object(Machine, "preparation_ms", 10_000.0):
            results = self.submit_long()
            self.fleet.run(ANSWER_TIMEOUT_MS + LONG_BYTES / 2_048 + 100.0)
        self.assert_unclear(results)
        self.fleet.run(12_000.0)
        self.assertEqual(3, self.fleet.read_committed().version)

    def test_of_two_on_one_version_the_first_is_taken(self) -> None:
        first, second = self.submit_long(name="one"), self.submit_long(name="another")
        self.fleet.run(2 * READING_MS / SHARE + 200.0)
        self.assert_taken(first)
        self.assertEqual([CommandOutcome.STALE_BASE], [result.outcome for result in second])

    def test_when_all_are_killed_after_its_acknowledgement_then_it_is_there(self) -> None:
        self.replace()
        for machine in self.fleet.running():
            machine.kill()
        for machine in self.fleet.machines.values():
            machine.start()
        self.fleet.stabilize(6_000.0)
        self.assertEqual(4, self.fleet.read_committed().version)


class AFollowerThatHasNotAppliedYet(LongCommandsStory):
    """The command is committed, and a backup is still reading it."""

    def setUp(self) -> None:
        super().setUp()
        self.backup = self.backups()[0]
        self.backup.preparation_ms = 3_000.0
        self.replace()
        self.fleet.run(400.0)

    def test_then_it_says_that_it_is_behind(self) -> None:
        status = self.backup.status()
        assert status is not None and status.fresh_age_ms is not None
        self.assertEqual(3, status.committed_version)
        self.assertGreater(status.fresh_age_ms, 300.0)

    def test_then_it_is_in_sync_and_takes_the_next_command(self) -> None:
        self.assertIn(self.backup.address, self.fleet.in_sync())
        self.replace()
        self.fleet.run(8_000.0)
        self.assert_all_follow(5)

    def test_when_it_is_the_last_one_left_then_nothing_is_lost(self) -> None:
        others = [machine for machine in self.fleet.running() if machine is not self.backup]
        others[0].kill()
        self.fleet.run(3_000.0)
        self.assertEqual(4, self.fleet.read_committed().version)

    def test_freshness_of_what_is_not_applied_would_be_noticed(self) -> None:
        def told(follower: Follower, index: int) -> None:
            ordinary(follower, index)
            follower._store.committed_index = max(follower._store.committed_index, index)

        ordinary = Follower._commit_to
        with patch.object(Follower, "_commit_to", told), self.assertRaises((AssertionError, ValueError)):
            self.replace()
            self.fleet.run(400.0)
            status = self.backup.status()
            assert status is not None and status.fresh_age_ms is not None
            self.assertGreater(status.fresh_age_ms, 300.0)


class ThePreparer(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox("m1")
        self.preparer = CommandPreparer(self.outbox)
        self.state = ReadRegister()

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

    def test_takes_a_command_whose_preparation_came_to_nothing(self) -> None:
        long = command(0, 1, "one", LONG)
        self.preparer.is_ready(self.state, long)
        (prepare,) = self.prepares()
        self.preparer.handle_completed(prepare.token)
        self.assertTrue(self.preparer.is_ready(self.state, long))
        self.assertEqual([], self.prepares())

    def test_passes_a_completion_of_an_earlier_life_over(self) -> None:
        long = command(0, 1, "one", LONG)
        self.preparer.is_ready(self.state, long)
        self.preparer.handle_completed(7)
        self.assertFalse(self.preparer.is_ready(self.state, long))

    def test_is_not_asked_for_short_commands(self) -> None:
        self.assertTrue(self.preparer.is_ready(self.state, command(0, 1, "one")))
        self.assertEqual([], self.prepares())


class CommandsThatWait(unittest.TestCase):
    def test_are_no_more_than_so_many(self) -> None:
        waiting = SubmittedCommands()
        for token in range(MAX_SUBMITTED_COMMANDS):
            self.assertFalse(waiting.is_full)
            waiting.add(0.0, token, command(0, 1, "one"))
        self.assertTrue(waiting.is_full)

    def test_end_when_their_callers_wait_no_longer(self) -> None:
        waiting = SubmittedCommands()
        waiting.add(0.0, 1, command(0, 1, "one", LONG))
        waiting.add(10.0, 2, command(0, 1, "one"))
        self.assertEqual([], waiting.expire(ANSWER_TIMEOUT_MS))
        self.assertEqual(1, len(waiting.expire(ANSWER_TIMEOUT_MS + 20.0)))
        first = waiting.first
        assert first is not None
        self.assertEqual(1, first.token)


class AStoreWithoutPreparation(unittest.TestCase):
    def test_an_entry_applied_before_it_is_prepared_would_be_noticed(self) -> None:
        def apply_all(store: ReplicaStore, index: int) -> bool:
            store._apply_to(index)
            return True

        story = ManyReplacements("test_then_no_process_stands_still_and_nobody_is_taken_for_lost")
        with patch.object(ReplicaStore, "_apply_ready", apply_all):
            result = unittest.TestResult()
            story.run(result)
        self.assertTrue(result.failures or result.errors)


if __name__ == "__main__":
    unittest.main()
