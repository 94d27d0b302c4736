"""Tests that leases use the monotonic clock, and that calls are matched to one process incarnation."""

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
from tests.controlplane.cut_scenarios import Cut, CutKind, CutScenario, Role
from tests.controlplane.test_core import FleetTestCase
from tests.controlplane.test_hosts import HostsTestCase
from tests.fleet.history import Violation

JUMP_S = 5.0
# The first message may have been sent before the wall clock jumped.
MESSAGES_AFTER_A_JUMP = 3


class WallClockJumpTest(HostsTestCase):
    async def test_the_lease_clock_is_independent_of_the_wall_clock(self) -> None:
        data_plane = await self.subscribe(0, "front-1")
        before = await data_plane.receive_until(is_freshness)
        original_time = time.time
        for jump_s in (JUMP_S, -JUMP_S):
            with patch("time.time", lambda jump_s=jump_s: original_time() + jump_s):
                for _ in range(MESSAGES_AFTER_A_JUMP):
                    after = await data_plane.receive_until(is_freshness)
                    assert isinstance(before, Freshness) and isinstance(after, Freshness)
                    self.assertLess(abs(after.clock_ms - before.clock_ms), JUMP_S * 1000.0 / 2)


def is_freshness(message: ToDataPlane) -> bool:
    return isinstance(message, Freshness)


class RepeatedCallTest(FleetTestCase):
    def test_a_call_is_submitted_once_despite_new_epochs_of_the_same_primary(self) -> None:
        self.fleet.make_primary(self.first)
        self.first.replica.unresponsive = True
        self.fleet.submit(self.second, 1, replacement(0, 5))
        for epoch in range(3, 9):
            self.fleet.make_primary(self.first, epoch)
            self.fleet.run(75.0)
        submitted = [event for event in self.first.replica.events if isinstance(event, CommandSubmitted)]
        self.assertEqual(1, len(submitted))

    def test_the_reply_to_the_first_attempt_ends_a_resent_call(self) -> None:
        self.second.replica.primary = self.third.address
        self.fleet.partitioned.add(self.third.address)
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


original_init = OperatorCalls.__init__


def init_with_fixed_first_token(calls: OperatorCalls, first_token: int, *others: object) -> None:
    original_init(calls, 0, *others)  # type: ignore[arg-type]


def wall_clock_ms(host: ControlPlaneHost) -> float:
    return time.time() * 1000.0


class Mutants(unittest.TestCase):
    """Each mutant removes a mechanism and must fail the test of that mechanism."""

    def assert_caught(self, test: unittest.TestCase) -> None:
        result = unittest.TestResult()
        test.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_resubmission_with_a_new_token(self) -> None:
        names = (
            "test_a_call_is_submitted_once_despite_new_epochs_of_the_same_primary",
            "test_the_reply_to_the_first_attempt_ends_a_resent_call",
        )
        with patch.object(OperatorCalls, "_submit_to_primary", submit_with_new_token):
            for name in names:
                self.assert_caught(RepeatedCallTest(name))

    def test_same_first_token_in_each_incarnation(self) -> None:
        with patch.object(OperatorCalls, "__init__", init_with_fixed_first_token):
            self.assert_caught(
                test_core.TheOperatorCalls("test_a_reply_to_a_former_incarnation_fits_no_call")
            )

    def test_host_on_the_wall_clock(self) -> None:
        with patch.object(ControlPlaneHost, "_now_ms", wall_clock_ms):
            self.assert_caught(WallClockJumpTest("test_the_lease_clock_is_independent_of_the_wall_clock"))

    def test_lease_on_a_clock_that_jumps_back(self) -> None:
        """With a lease on such a clock, a cut-off primary reports itself as fresh for seconds."""
        scenario = CutScenario(Cut(Role.PRIMARY, CutKind.WITH_DATA_PLANE, 5_000.0))
        clock = scenario.system.clock

        def jumped_ms(machine: ControlMachine) -> float:
            is_cut = scenario.system.links.is_any_cut()
            return clock.now_ms - (3_000.0 if is_cut and machine in scenario.victims else 0.0)

        with patch.object(ControlMachine, "_now", property(jumped_ms)), self.assertRaises(Violation):
            scenario.run()


if __name__ == "__main__":
    unittest.main()
