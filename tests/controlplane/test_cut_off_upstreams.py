"""Tests of upstreams that call a control plane that is cut off, or was restarted while it was."""

from __future__ import annotations

import unittest
from unittest import mock

from madderwind.controlplane.core import CONNECTED_MS
from madderwind.controlplane.drain_tracker import CONFIRMATION_TIMEOUT_MS, DrainTracker
from madderwind.controlplane.effects import RespondToUpstream
from madderwind.controlplane.registry_service import RegistryService
from madderwind.messages.distribution import RegistryDelta
from madderwind.registry.registry import Registry
from tests.controlplane.fleet import ControlPlaneInMemory, FleetInMemory


class CutOffTestCase(unittest.TestCase):
    """Three control planes, the first of which is cut off from the others."""

    def setUp(self) -> None:
        self.fleet = FleetInMemory()
        self.cut_off, self.second, self.third = self.fleet.planes
        self.fleet.subscribe(self.cut_off, 1, "front-1")

    def begin_cut(self) -> None:
        self.fleet.partitioned.update({self.second.address, self.third.address})
        self.cut_off.replica.fresh_age_ms = CONNECTED_MS + 1.0
        self.fleet.run(25.0)

    def end_cut(self) -> None:
        self.fleet.partitioned.clear()
        self.cut_off.replica.fresh_age_ms = 10.0
        self.fleet.run(25.0)

    def restart(self) -> None:
        """Restart the cut-off control plane with the upstreams from its checkpoint."""
        saved = self.cut_off.core.upstreams(self.fleet.now_ms)
        successor = ControlPlaneInMemory(
            self.cut_off.address, self.cut_off.replica.members, self.cut_off.replica.history
        )
        successor.core.restore_upstreams(self.fleet.now_ms, saved)
        successor.replica.fresh_age_ms = None
        self.cut_off.replica, self.cut_off.core = successor.replica, successor.core
        self.cut_off.accepted.clear()
        self.fleet.run(25.0)


class DrainsDuringACut(CutOffTestCase):
    def test_a_cut_off_machine_never_acknowledges_a_drain_alone(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.begin_cut()
        for call in range(2, 10):
            self.fleet.heartbeat(self.cut_off, call, "draining")
            self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
            self.assertEqual(False, self.cut_off.accepted[call])
        self.end_cut()
        self.fleet.heartbeat(self.cut_off, 10, "draining")
        self.assertEqual(True, self.cut_off.accepted[10])

    def test_after_a_restart_the_own_checkpoint_is_not_a_confirmation(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.begin_cut()
        self.fleet.heartbeat(self.cut_off, 2, "draining")
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.restart()
        self.fleet.heartbeat(self.cut_off, 3, "draining")
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual({3: False}, self.cut_off.accepted)
        self.end_cut()
        self.fleet.deregister(self.cut_off, 4)
        self.assertEqual(True, self.cut_off.accepted[4])

    def test_a_full_registry_acknowledges_nothing(self) -> None:
        with mock.patch("madderwind.registry.registry.MAX_UPSTREAMS", 0):
            self.fleet.heartbeat(self.cut_off, 1, "draining")
            self.fleet.deregister(self.cut_off, 2)
        self.assertEqual({1: False, 2: False}, self.cut_off.accepted)

    def test_a_drain_is_not_acknowledged_if_peers_receive_but_do_not_answer(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        with mock.patch.object(RegistryService, "_handle_final_state", return_value=[]):
            self.fleet.heartbeat(self.cut_off, 2, "draining")
            self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual(False, self.cut_off.accepted[2])


class NewUpstreamsDuringACut(CutOffTestCase):
    def test_before_the_first_view_any_machine_acknowledges_a_new_upstream(self) -> None:
        self.begin_cut()
        self.cut_off.replica.epoch, self.cut_off.replica.fresh_age_ms = 0, None
        self.fleet.run(25.0)
        self.fleet.heartbeat(self.cut_off, 1)
        self.assertEqual(True, self.cut_off.accepted[1])

    def test_a_new_upstream_is_rejected_so_that_it_calls_another_machine(self) -> None:
        self.begin_cut()
        self.fleet.heartbeat(self.cut_off, 1)
        self.assertEqual(False, self.cut_off.accepted[1])
        deltas = [message for message in self.cut_off.sent_messages[1] if isinstance(message, RegistryDelta)]
        self.assertEqual(["i-1"], [message.upstreams[0].instance for message in deltas])

    def test_heartbeats_of_an_upstream_known_to_peers_are_acknowledged(self) -> None:
        self.fleet.heartbeat(self.second, 1)
        self.begin_cut()
        self.fleet.heartbeat(self.cut_off, 2)
        self.assertEqual(True, self.cut_off.accepted[2])

    def test_after_a_restart_an_upstream_only_in_the_checkpoint_is_rejected(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.begin_cut()
        self.restart()
        self.fleet.heartbeat(self.cut_off, 2)
        self.assertEqual(False, self.cut_off.accepted[2])
        self.end_cut()
        self.fleet.heartbeat(self.cut_off, 3)
        self.assertEqual(True, self.cut_off.accepted[3])


def accept_alone(
    service: RegistryService, now_ms: float, call: int, instance: str
) -> list[RespondToUpstream]:
    return [RespondToUpstream(call, is_accepted=True)]


class Mutants(unittest.TestCase):
    """Each mutant removes a mechanism and must fail the test of that mechanism."""

    def assert_caught(self, test: CutOffTestCase) -> None:
        result = unittest.TestResult()
        test.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_drain_acknowledged_without_peers(self) -> None:
        with mock.patch.object(RegistryService, "_respond", accept_alone):
            self.assert_caught(DrainsDuringACut("test_a_cut_off_machine_never_acknowledges_a_drain_alone"))

    def test_drain_confirmed_by_the_own_disk_only(self) -> None:
        def require_one(drains: DrainTracker, needed: int) -> None:
            original_init(drains, 1)

        original_init = DrainTracker.__init__
        with mock.patch.object(DrainTracker, "__init__", require_one):
            self.assert_caught(
                DrainsDuringACut("test_after_a_restart_the_own_checkpoint_is_not_a_confirmation")
            )

    def test_restored_upstream_treated_as_known_to_peers(self) -> None:
        with mock.patch.object(Registry, "restore", Registry.merge):
            self.assert_caught(
                NewUpstreamsDuringACut("test_after_a_restart_an_upstream_only_in_the_checkpoint_is_rejected")
            )

    def test_new_upstream_acknowledged_without_peers(self) -> None:
        with mock.patch.object(RegistryService, "_is_known_to_peers", return_value=True):
            self.assert_caught(
                NewUpstreamsDuringACut("test_a_new_upstream_is_rejected_so_that_it_calls_another_machine")
            )


if __name__ == "__main__":
    unittest.main()
