"""Tests of commands that are repeated at any machine after failures, and of commands that conflict."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable
from unittest.mock import patch

from madderwind.configuration.history import ConfigurationHistory
from madderwind.replication.commands import Command, CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.campaign import Campaign, Schedule, keeping_little
from tests.campaign.control_machine import ControlMachine
from tests.campaign.faults import LossCount
from tests.campaign.records import CommandCall, Intent, replacement, update
from tests.campaign.system import Plan
from tests.fleet.history import Violation

STABILIZE_MS = 3_000.0
OUTCOME_TIMEOUT_MS = 4_000.0
RECOVERY_MS = 3_000.0


class CommandTestCase(unittest.TestCase):
    """Three machines without other callers; `finish` checks the recorded history for consistency."""

    def setUp(self) -> None:
        plan = Plan("commands", 3, 1, 1, 0, 0, 400.0, 6_000.0, 0.0)
        schedule = Schedule(plan, (), 0.0, keeps_little=False, loss_count=LossCount.PLAIN)
        self.campaign = Campaign(schedule)
        self.system, self.history = self.campaign.system, self.campaign.history
        self.clock = self.system.clock
        self.base = 0
        self.system.start()
        self.system.run(STABILIZE_MS)

    def finish(self) -> None:
        """Let the system settle without faults, then check all answers against the history."""
        self.campaign.calm()
        self.assertEqual({}, self.history.notes)

    @property
    def primary(self) -> ControlMachine:
        primary = self.system.primary()
        assert primary is not None
        return primary

    def others(self, machine: ControlMachine) -> list[ControlMachine]:
        return [other for other in self.system.machines.values() if other is not machine]

    def intent(self, make: Callable[[int, int, int], Command], base: int, version: int) -> Intent:
        marker = self.history.next_marker()
        intent = Intent(marker, make(marker, base, version), version, True, self.clock.now_ms)
        self.history.add(intent)
        return intent

    def send(self, machine: ControlMachine, intent: Intent) -> list[CommandResult]:
        """Make one call; the returned list receives its result if the outcome is known."""
        answers: list[CommandResult] = []
        record = CommandCall(intent, machine.address, self.clock.now_ms)

        def handle(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self.clock.now_ms, result
                self.history.answered(record)
                answers.append(result)

        call: HttpCall[CommandResult] = HttpCall(
            self.system.links, "o-1", machine, lambda reply: machine.command(intent.command, reply), handle
        )
        call.start(self.system.rng, 0.0)
        return answers

    def outcome(self, machine: ControlMachine, intent: Intent) -> CommandOutcome:
        """Repeat the command until its outcome is known."""
        start_ms = self.clock.now_ms
        while self.clock.now_ms - start_ms < OUTCOME_TIMEOUT_MS:
            answers = self.send(machine, intent)
            for _ in range(50):
                self.system.run(20.0)
                if answers:
                    return answers[0].outcome
        raise AssertionError(f"no known outcome of {intent} within {OUTCOME_TIMEOUT_MS} ms")

    def commit(self, count: int) -> list[Intent]:
        """Commit commands on top of each other, replacements and updates, at each machine in turn."""
        intents = []
        machines = list(self.system.machines.values())
        for number in range(count):
            make = update if number % 2 and self.base else replacement
            intent = self.intent(make, self.base, self.base + 1 + number % 3)
            self.assertEqual(CommandOutcome.COMMITTED, self.outcome(machines[number % len(machines)], intent))
            self.base = intent.version
            intents.append(intent)
        return intents

    def assert_acknowledged_again(self, intents: list[Intent]) -> None:
        for machine in self.system.machines.values():
            for intent in intents:
                self.assertEqual(CommandOutcome.COMMITTED, self.outcome(machine, intent))


class RepeatedCommandTest(CommandTestCase):
    def test_a_repeat_after_snapshot_wipe_and_failover_is_acknowledged(self) -> None:
        with keeping_little():
            intents = self.commit(20)
            for wiped in self.others(self.primary):  # the next primary then has its state from a snapshot
                wiped.wipe()
                wiped.start()
                self.system.run(RECOVERY_MS)
            self.primary.leave()
            self.system.run(RECOVERY_MS)
            for machine in self.system.machines.values():
                machine.start()
            self.system.run(RECOVERY_MS)
            self.assert_acknowledged_again(intents[::4])
            self.finish()

    def test_a_late_repeat_after_all_machines_were_wiped_or_replaced_is_acknowledged(self) -> None:
        with keeping_little():
            intents = self.commit(150)
            for number, old in enumerate(list(self.system.machines.values())):
                if number < 2:
                    old.wipe()
                    old.start()
                else:
                    old.remove()
                    del self.system.machines[old.address]
                    self.system.add_machine("r1", self.system.seeds).start()
                self.system.run(RECOVERY_MS + 1_000.0)
            self.assert_acknowledged_again([intents[0], intents[75], intents[149]])
            self.finish()

    def test_a_repeat_after_a_power_loss_of_all_machines_is_acknowledged(self) -> None:
        intents = self.commit(6)
        for machine in self.system.machines.values():
            machine.lose_power()
        for machine in self.system.machines.values():
            machine.start()
        self.assert_acknowledged_again(intents)
        self.finish()

    def test_a_repeat_after_its_digest_was_dropped_is_not_rejected(self) -> None:
        with patch("madderwind.configuration.history.RETAINED_DIGESTS", 4):
            intents = self.commit(12)
            for machine in list(self.system.machines.values()):
                machine.kill()
                machine.start()
            self.system.run(RECOVERY_MS)
            self.assert_acknowledged_again(intents[-4:])
            for machine in self.system.machines.values():
                answers = [self.send(machine, intent) for intent in intents[:-4]]
                self.system.run(1_000.0)
                self.assertEqual([[]] * len(answers), answers)
            self.finish()

    def test_a_command_sent_to_all_machines_at_once_is_acknowledged_by_each(self) -> None:
        self.commit(2)
        intent = self.intent(update, self.base, self.base + 1)
        answers = [self.send(machine, intent) for machine in self.system.machines.values()] * 2
        self.system.run(1_000.0)
        self.assertEqual({CommandOutcome.COMMITTED}, {answer[0].outcome for answer in answers})
        self.finish()


class ConflictingCommandTest(CommandTestCase):
    def test_the_winner_of_two_commands_for_one_version_never_changes(self) -> None:
        self.commit(2)
        for number in range(6):
            kinds = (replacement, update) if number % 2 else (update, update)
            conflicting = [self.intent(make, self.base, self.base + 1) for make in kinds]
            machines = list(self.system.machines.values())
            first = self.send(machines[number % 3], conflicting[0])
            second = self.send(machines[(number + 1) % 3], conflicting[1])
            self.system.run(600.0)
            outcomes = [first[0].outcome, second[0].outcome]
            self.assertEqual(
                sorted((CommandOutcome.COMMITTED, CommandOutcome.STALE_BASE), key=str),
                sorted(outcomes, key=str),
            )
            again = [self.outcome(machines[(number + 2) % 3], intent) for intent in conflicting]
            self.assertEqual(outcomes, again)
            self.base += 1
        self.finish()

    def test_a_command_lost_by_a_former_primary_is_rejected_after_a_conflicting_commit(
        self,
    ) -> None:
        self.commit(2)
        old = self.primary
        dropped = self.intent(replacement, self.base, self.base + 1)
        self.cut_off(old)
        answers = self.send(old, dropped)
        self.system.run(2_000.0)
        other = self.others(old)[0]
        committed = self.intent(replacement, self.base, self.base + 1)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(other, committed))
        self.assertEqual([], answers)
        self.system.links.heal()
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.STALE_BASE, self.outcome(old, dropped))
        self.finish()

    def test_a_command_unresolved_by_a_former_primary_is_committed_when_repeated(
        self,
    ) -> None:
        self.commit(2)
        old = self.primary
        unresolved = self.intent(update, self.base, self.base + 1)
        self.cut_off(old)
        self.send(old, unresolved)
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(self.others(old)[0], unresolved))
        self.system.links.heal()
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(old, unresolved))
        self.finish()

    def test_a_command_stored_by_the_backups_survives_the_crash_of_the_primary(self) -> None:
        self.commit(2)
        old = self.primary
        retained = self.intent(update, self.base, self.base + 1)
        self.send(old, retained)
        while not all(machine.disk.holds(retained.command) for machine in self.others(old)):
            self.system.run(1.0)
        old.kill()
        self.system.run(2_000.0)
        conflicting = self.intent(update, self.base, self.base + 1)
        self.assertEqual(CommandOutcome.STALE_BASE, self.outcome(self.others(old)[0], conflicting))
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(self.others(old)[1], retained))
        old.start()
        self.finish()

    def test_an_uncommitted_command_causes_no_rejection(self) -> None:
        self.commit(2)
        old = self.primary
        for machine in self.others(old):
            self.system.links.cut(machine.address, old.address)
        first = self.send(old, self.intent(update, self.base, self.base + 1))
        second = self.send(old, self.intent(update, self.base, self.base + 1))
        self.system.run(2_500.0)
        self.assertEqual(([], []), (first, second))
        self.system.links.heal()
        self.system.run(2_000.0)
        self.finish()

    def cut_off(self, machine: ControlMachine) -> None:
        for other in self.system.machines:
            if other != machine.address:
                self.system.links.cut(machine.address, other)
                self.system.links.cut(other, machine.address)


def snapshot_without_digests(history: ConfigurationHistory) -> bytes:
    without_digests = history.copy()
    without_digests._digests = {}
    return original_snapshot(without_digests)


original_snapshot = ConfigurationHistory.snapshot


class Mutants(unittest.TestCase):
    """Each mutant removes a mechanism and must fail the test of that mechanism."""

    def assert_caught(self, test: CommandTestCase) -> None:
        result = unittest.TestResult()
        with contextlib.suppress(Violation):
            test.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_snapshot_without_digests(self) -> None:
        name = "test_a_repeat_after_snapshot_wipe_and_failover_is_acknowledged"
        with patch.object(ConfigurationHistory, "snapshot", snapshot_without_digests):
            self.assert_caught(RepeatedCommandTest(name))


if __name__ == "__main__":
    unittest.main()
