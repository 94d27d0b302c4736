"""Leases and calls keep to one life and to the steady clock, whatever the time of day does."""

from __future__ import annotations

import time
import unittest
from unittest.mock import patch

from madderwind.controlplane.host import ControlPlaneHost
from madderwind.controlplane.operator_call import OperatorCall
from madderwind.controlplane.operator_calls import OperatorCalls, Output
from madderwind.messages.distribution import Freshness, ToDataPlane
from madderwind.messages.peering import CommandReply, ForwardCommand
from madderwind.replication.commands import CommandOutcome
from madderwind.replication.events import CommandSubmitted
from tests.campaign.control_machine import ControlMachine
from tests.controlplane import test_core
from tests.controlplane.configurations import replacement
from tests.controlplane.cut_scenarios import Cut, CutScenario, Role, Shape
from tests.controlplane.test_core import FleetStory
from tests.controlplane.test_hosts import HostsStory
from tests.fleet.history import Violation

JUMP_S = 5.0
# The first may have been on its way already when the time of day jumped.
MESSAGES_AFTER_A_JUMP = 3


class TheTimeOfDayJumps(HostsStory):
    async def test_then_the_clock_that_leases_age_by_does_not(self) -> None:
        data_plane = await self.subscribe(0, "front-1")
        before = await data_plane.hear(is_freshness)
        true_time_s = time.time
        for jump_s in (JUMP_S, -JUMP_S):
            with patch("time.time", lambda jump_s=jump_s: true_time_s() + jump_s):
                for _ in range(MESSAGES_AFTER_A_JUMP):
                    after = await data_plane.hear(is_freshness)
                    assert isinstance(before, Freshness) and isinstance(after, Freshness)
                    self.assertLess(abs(after.clock_ms - before.clock_ms), JUMP_S * 1000.0 / 2)


def is_freshness(message: ToDataPlane) -> bool:
    return isinstance(message, Freshness)


class CallsThatAreSentAgain(FleetStory):
    def test_given_a_new_epoch_of_the_same_primary_then_the_call_is_under_way_there_once(self) -> None:
        self.fleet.make_primary(self.first)
        self.first.replica.unresponsive = True
        self.fleet.submit(self.second, 1, replacement(0, 5))
        for epoch in range(3, 9):
            self.fleet.make_primary(self.first, epoch)
            self.fleet.run(75.0)
        submitted = [event for event in self.first.replica.events if isinstance(event, CommandSubmitted)]
        self.assertEqual(1, len(submitted))

    def test_given_it_was_sent_again_then_the_answer_to_the_first_sending_ends_it(self) -> None:
        self.second.replica.primary = self.third.address
        self.fleet.cut.add(self.third.address)
        effects = self.second.core.submit(self.fleet.now_ms, 1, replacement(0, 5))
        forwarded = [
            message
            for effect in effects
            if isinstance(message := getattr(effect, "message", None), ForwardCommand)
        ]
        self.second.replica.epoch += 1
        self.fleet.run(100.0)
        reply = CommandReply(forwarded[0].token, "stale base", 7, "", "")
        answered = self.second.core.handle_peer_message(self.fleet.now_ms, self.third.address, reply)
        self.fleet.carry_out(self.second, answered)
        self.assertIn(1, self.second.commands)
        self.assertEqual(CommandOutcome.STALE_BASE, self.outcome(self.second, 1))


submit_to_primary = OperatorCalls._submit_to_primary


def submit_with_new_token(calls: OperatorCalls, now_ms: float, call: OperatorCall) -> list[Output]:
    if call.destination is not None:
        del calls._calls[call.token]
        calls._last_token += 1
        call.token = calls._last_token
        calls._calls[call.token] = call
    return submit_to_primary(calls, now_ms, call)


begin = OperatorCalls.__init__


def begin_with_the_same_tokens(calls: OperatorCalls, first_token: int, *others: object) -> None:
    begin(calls, 0, *others)  # type: ignore[arg-type]


def time_of_day_ms(host: ControlPlaneHost) -> float:
    return time.time() * 1000.0


class Mutants(unittest.TestCase):
    """Without its mechanism each story fails."""

    def assert_caught(self, story: unittest.TestCase) -> None:
        result = unittest.TestResult()
        story.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_a_resubmission_under_a_new_token(self) -> None:
        names = (
            "test_given_a_new_epoch_of_the_same_primary_then_the_call_is_under_way_there_once",
            "test_given_it_was_sent_again_then_the_answer_to_the_first_sending_ends_it",
        )
        with patch.object(OperatorCalls, "_submit_to_primary", submit_with_new_token):
            for name in names:
                self.assert_caught(CallsThatAreSentAgain(name))

    def test_a_reply_matched_without_its_incarnation(self) -> None:
        with patch.object(OperatorCalls, "__init__", begin_with_the_same_tokens):
            self.assert_caught(
                test_core.TheOperatorCalls("test_a_reply_to_a_former_incarnation_fits_no_call")
            )

    def test_a_host_that_goes_by_the_time_of_day(self) -> None:
        with patch.object(ControlPlaneHost, "_now_ms", time_of_day_ms):
            self.assert_caught(TheTimeOfDayJumps("test_then_the_clock_that_leases_age_by_does_not"))

    def test_a_lease_by_a_clock_that_jumps_back(self) -> None:
        """What a lease by such a clock would do: the cut-off primary takes itself for fresh for seconds."""
        scenario = CutScenario(Cut(Role.PRIMARY, Shape.SIDE, 5_000.0))
        clock = scenario.system.clock

        def jumped_ms(machine: ControlMachine) -> float:
            is_cut = scenario.system.links.is_any_cut()
            return clock.now_ms - (3_000.0 if is_cut and machine in scenario.victims else 0.0)

        with patch.object(ControlMachine, "_now", property(jumped_ms)), self.assertRaises(Violation):
            scenario.run()


if __name__ == "__main__":
    unittest.main()
