"""Commands of several operators, and the same order again, at any machine and whatever happens between."""

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
PATIENCE_MS = 4_000.0
BACK_MS = 3_000.0


class CommandsStory(unittest.TestCase):
    """Given three machines without other callers; at the end everything that was seen fits together."""

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
        """Calm, in which everything works and all answers are judged together."""
        self.campaign.calm()
        self.assertEqual({}, self.history.notes)

    @property
    def primary(self) -> ControlMachine:
        primary = self.system.primary()
        assert primary is not None
        return primary

    def others(self, machine: ControlMachine) -> list[ControlMachine]:
        return [other for other in self.system.machines.values() if other is not machine]

    # --- commands ---

    def intent(self, make: Callable[[int, int, int], Command], base: int, version: int) -> Intent:
        marker = self.history.next_marker()
        intent = Intent(marker, make(marker, base, version), version, True, self.clock.now_ms)
        self.history.add(intent)
        return intent

    def send(self, machine: ControlMachine, intent: Intent) -> list[CommandResult]:
        """One call; its clear answer is in the list once it is there."""
        answers: list[CommandResult] = []
        record = CommandCall(intent, machine.address, self.clock.now_ms)

        def ended(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self.clock.now_ms, result
                self.history.answered(record)
                answers.append(result)

        call: HttpCall[CommandResult] = HttpCall(
            self.system.links, "o-1", machine, lambda reply: machine.command(intent.command, reply), ended
        )
        call.start(self.system.rng, 0.0)
        return answers

    def outcome(self, machine: ControlMachine, intent: Intent) -> CommandOutcome:
        """Send it until there is a clear answer."""
        began_ms = self.clock.now_ms
        while self.clock.now_ms - began_ms < PATIENCE_MS:
            answers = self.send(machine, intent)
            for _ in range(50):
                self.system.run(20.0)
                if answers:
                    return answers[0].outcome
        raise AssertionError(f"no clear answer to {intent} within {PATIENCE_MS} ms")

    def take(self, count: int) -> list[Intent]:
        """Have commands taken one on top of the other, whole ones and updates, at each machine in turn."""
        intents = []
        machines = list(self.system.machines.values())
        for number in range(count):
            make = update if number % 2 and self.base else replacement
            intent = self.intent(make, self.base, self.base + 1 + number % 3)
            self.assertEqual(CommandOutcome.COMMITTED, self.outcome(machines[number % len(machines)], intent))
            self.base = intent.version
            intents.append(intent)
        return intents

    def assert_taken_again(self, intents: list[Intent]) -> None:
        for machine in self.system.machines.values():
            for intent in intents:
                self.assertEqual(CommandOutcome.COMMITTED, self.outcome(machine, intent))


class TheSameCommandAgain(CommandsStory):
    def test_given_what_is_retained_is_little_when_it_comes_after_snapshot_wipe_and_failover(self) -> None:
        with keeping_little():
            intents = self.take(20)
            for lost in self.others(self.primary):  # whoever is primary then had it from a snapshot
                lost.wipe()
                lost.start()
                self.system.run(BACK_MS)
            self.primary.leave()
            self.system.run(BACK_MS)
            for machine in self.system.machines.values():
                machine.start()
            self.system.run(BACK_MS)
            self.assert_taken_again(intents[::4])
            self.finish()

    def test_given_only_the_replaced_and_the_wiped_are_left_when_it_comes_hundreds_later(self) -> None:
        with keeping_little():
            intents = self.take(150)
            for number, old in enumerate(list(self.system.machines.values())):
                if number < 2:
                    old.wipe()
                    old.start()
                else:
                    old.remove()
                    del self.system.machines[old.address]
                    self.system.add_machine("r1", self.system.seeds).start()
                self.system.run(BACK_MS + 1_000.0)
            self.assert_taken_again([intents[0], intents[75], intents[149]])
            self.finish()

    def test_given_all_lose_power_when_it_comes_then_it_is_acknowledged(self) -> None:
        intents = self.take(6)
        for machine in self.system.machines.values():
            machine.lose_power()
        for machine in self.system.machines.values():
            machine.start()
        self.assert_taken_again(intents)
        self.finish()

    def test_given_more_came_since_than_digests_are_retained_then_it_is_never_refused(self) -> None:
        with patch("madderwind.configuration.history.RETAINED_DIGESTS", 4):
            intents = self.take(12)
            for machine in list(self.system.machines.values()):
                machine.kill()
                machine.start()
            self.system.run(BACK_MS)
            self.assert_taken_again(intents[-4:])
            for machine in self.system.machines.values():
                answers = [self.send(machine, intent) for intent in intents[:-4]]
                self.system.run(1_000.0)
                self.assertEqual([[]] * len(answers), answers)
            self.finish()

    def test_given_it_is_under_way_at_all_machines_at_once_then_each_acknowledges_it(self) -> None:
        self.take(2)
        intent = self.intent(update, self.base, self.base + 1)
        answers = [self.send(machine, intent) for machine in self.system.machines.values()] * 2
        self.system.run(1_000.0)
        self.assertEqual({CommandOutcome.COMMITTED}, {answer[0].outcome for answer in answers})
        self.finish()


class TwoOperators(CommandsStory):
    def test_given_one_number_and_two_bodies_at_once_then_one_wins_and_stays_the_winner(self) -> None:
        self.take(2)
        for number in range(6):
            made = (replacement, update) if number % 2 else (update, update)
            rivals = [self.intent(make, self.base, self.base + 1) for make in made]
            machines = list(self.system.machines.values())
            first = self.send(machines[number % 3], rivals[0])
            second = self.send(machines[(number + 1) % 3], rivals[1])
            self.system.run(600.0)
            outcomes = [first[0].outcome, second[0].outcome]
            self.assertEqual(
                sorted((CommandOutcome.COMMITTED, CommandOutcome.STALE_BASE), key=str),
                sorted(outcomes, key=str),
            )
            again = [self.outcome(machines[(number + 2) % 3], rival) for rival in rivals]
            self.assertEqual(outcomes, again)
            self.base += 1
        self.finish()

    def test_given_a_command_that_an_old_primary_dropped_when_another_is_taken_then_it_is_refused(
        self,
    ) -> None:
        self.take(2)
        old = self.primary
        dropped = self.intent(replacement, self.base, self.base + 1)
        self.cut_off(old)
        answers = self.send(old, dropped)
        self.system.run(2_000.0)
        other = self.others(old)[0]
        taken = self.intent(replacement, self.base, self.base + 1)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(other, taken))
        self.assertEqual([], answers)
        self.system.links.heal()
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.STALE_BASE, self.outcome(old, dropped))
        self.finish()

    def test_given_a_command_that_an_old_primary_could_not_end_when_it_is_sent_again_then_it_is_taken(
        self,
    ) -> None:
        self.take(2)
        old = self.primary
        unclear = self.intent(update, self.base, self.base + 1)
        self.cut_off(old)
        self.send(old, unclear)
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(self.others(old)[0], unclear))
        self.system.links.heal()
        self.system.run(2_000.0)
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(old, unclear))
        self.finish()

    def test_given_a_command_that_the_backups_hold_when_its_primary_dies_then_it_is_retained(self) -> None:
        self.take(2)
        old = self.primary
        retained = self.intent(update, self.base, self.base + 1)
        self.send(old, retained)
        while not all(machine.disk.holds(retained.command) for machine in self.others(old)):
            self.system.run(1.0)
        old.kill()
        self.system.run(2_000.0)
        rival = self.intent(update, self.base, self.base + 1)
        self.assertEqual(CommandOutcome.STALE_BASE, self.outcome(self.others(old)[0], rival))
        self.assertEqual(CommandOutcome.COMMITTED, self.outcome(self.others(old)[1], retained))
        old.start()
        self.finish()

    def test_given_what_is_not_committed_then_nothing_is_refused_for_it(self) -> None:
        self.take(2)
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
    forgetful = history.copy()
    forgetful._digests = {}
    return whole_snapshot(forgetful)


whole_snapshot = ConfigurationHistory.snapshot


class Mutants(unittest.TestCase):
    """Without its mechanism the story fails."""

    def assert_caught(self, story: CommandsStory) -> None:
        result = unittest.TestResult()
        with contextlib.suppress(Violation):
            story.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_a_digest_left_out_of_the_snapshot(self) -> None:
        name = "test_given_what_is_retained_is_little_when_it_comes_after_snapshot_wipe_and_failover"
        with patch.object(ConfigurationHistory, "snapshot", snapshot_without_digests):
            self.assert_caught(TheSameCommandAgain(name))


if __name__ == "__main__":
    unittest.main()
