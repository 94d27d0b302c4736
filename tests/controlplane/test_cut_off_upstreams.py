"""Stories of upstreams that call a control plane which is cut off, or was restarted while it was."""

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


class CutOffStory(unittest.TestCase):
    """Given three control planes, the first of which is cut off from the others."""

    def setUp(self) -> None:
        self.fleet = FleetInMemory()
        self.cut_off, self.second, self.third = self.fleet.planes
        self.fleet.subscribe(self.cut_off, 1, "front-1")

    def cut(self) -> None:
        self.fleet.cut.update({self.second.address, self.third.address})
        self.cut_off.replica.fresh_age_ms = CONNECTED_MS + 1.0
        self.fleet.run(25.0)

    def heal(self) -> None:
        self.fleet.cut.clear()
        self.cut_off.replica.fresh_age_ms = 10.0
        self.fleet.run(25.0)

    def restart(self) -> None:
        """The cut-off one begins a new life with what its registry's copy on disk holds."""
        saved = self.cut_off.core.upstreams(self.fleet.now_ms)
        successor = ControlPlaneInMemory(
            self.cut_off.address, self.cut_off.replica.members, self.cut_off.replica.history
        )
        successor.core.restore_upstreams(self.fleet.now_ms, saved)
        successor.replica.fresh_age_ms = None
        self.cut_off.replica, self.cut_off.core = successor.replica, successor.core
        self.cut_off.accepted.clear()
        self.fleet.run(25.0)


class AnUpstreamThatLeaves(CutOffStory):
    def test_given_a_cut_then_no_call_makes_one_machine_acknowledge_alone(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.cut()
        for call in range(2, 10):
            self.fleet.heartbeat(self.cut_off, call, "draining")
            self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
            self.assertEqual(False, self.cut_off.accepted[call])
        self.heal()
        self.fleet.heartbeat(self.cut_off, 10, "draining")
        self.assertEqual(True, self.cut_off.accepted[10])

    def test_given_a_restart_inside_the_cut_then_what_the_disk_holds_is_no_confirmation(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.cut()
        self.fleet.heartbeat(self.cut_off, 2, "draining")
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.restart()
        self.fleet.heartbeat(self.cut_off, 3, "draining")
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual({3: False}, self.cut_off.accepted)
        self.heal()
        self.fleet.deregister(self.cut_off, 4)
        self.assertEqual(True, self.cut_off.accepted[4])

    def test_given_a_registry_that_takes_no_more_then_nothing_is_acknowledged(self) -> None:
        with mock.patch("madderwind.registry.registry.MAX_UPSTREAMS", 0):
            self.fleet.heartbeat(self.cut_off, 1, "draining")
            self.fleet.deregister(self.cut_off, 2)
        self.assertEqual({1: False, 2: False}, self.cut_off.accepted)

    def test_given_peers_that_hear_but_are_not_heard_then_it_is_not_acknowledged(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        with mock.patch.object(RegistryService, "_handle_final_state", return_value=[]):
            self.fleet.heartbeat(self.cut_off, 2, "draining")
            self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual(False, self.cut_off.accepted[2])


class AnUpstreamThatBegins(CutOffStory):
    def test_given_no_view_yet_then_it_is_acknowledged_by_any_machine(self) -> None:
        self.cut()
        self.cut_off.replica.epoch, self.cut_off.replica.fresh_age_ms = 0, None
        self.fleet.run(25.0)
        self.fleet.heartbeat(self.cut_off, 1)
        self.assertEqual(True, self.cut_off.accepted[1])

    def test_given_a_cut_when_it_is_new_then_it_is_sent_to_another_machine(self) -> None:
        self.cut()
        self.fleet.heartbeat(self.cut_off, 1)
        self.assertEqual(False, self.cut_off.accepted[1])
        notified = [message for message in self.cut_off.notified[1] if isinstance(message, RegistryDelta)]
        self.assertEqual(["i-1"], [message.upstreams[0].instance for message in notified])

    def test_given_a_cut_when_others_know_it_then_its_heartbeats_are_acknowledged(self) -> None:
        self.fleet.heartbeat(self.second, 1)
        self.cut()
        self.fleet.heartbeat(self.cut_off, 2)
        self.assertEqual(True, self.cut_off.accepted[2])

    def test_given_a_restart_inside_the_cut_then_it_is_sent_to_another_machine(self) -> None:
        self.fleet.heartbeat(self.cut_off, 1)
        self.cut()
        self.restart()
        self.fleet.heartbeat(self.cut_off, 2)
        self.assertEqual(False, self.cut_off.accepted[2])
        self.heal()
        self.fleet.heartbeat(self.cut_off, 3)
        self.assertEqual(True, self.cut_off.accepted[3])


def accept_alone(
    upstreams: RegistryService, now_ms: float, call: int, instance: str
) -> list[RespondToUpstream]:
    return [RespondToUpstream(call, is_accepted=True)]


class Mutants(unittest.TestCase):
    """Without its mechanism each story fails."""

    def assert_caught(self, story: CutOffStory) -> None:
        result = unittest.TestResult()
        story.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_a_drain_acknowledged_alone(self) -> None:
        with mock.patch.object(RegistryService, "_respond", accept_alone):
            self.assert_caught(
                AnUpstreamThatLeaves("test_given_a_cut_then_no_call_makes_one_machine_acknowledge_alone")
            )

    def test_a_drain_confirmed_by_the_own_disk(self) -> None:
        def by_one(drains: DrainTracker, needed: int) -> None:
            confirmed_by(drains, 1)

        confirmed_by = DrainTracker.__init__
        with mock.patch.object(DrainTracker, "__init__", by_one):
            self.assert_caught(
                AnUpstreamThatLeaves(
                    "test_given_a_restart_inside_the_cut_then_what_the_disk_holds_is_no_confirmation"
                )
            )

    def test_an_upstream_that_the_own_disk_holds_taken_for_known_elsewhere(self) -> None:
        with mock.patch.object(Registry, "restore", Registry.merge):
            self.assert_caught(
                AnUpstreamThatBegins("test_given_a_restart_inside_the_cut_then_it_is_sent_to_another_machine")
            )

    def test_a_new_upstream_acknowledged_alone(self) -> None:
        with mock.patch.object(RegistryService, "_is_known_to_peers", return_value=True):
            self.assert_caught(
                AnUpstreamThatBegins("test_given_a_cut_when_it_is_new_then_it_is_sent_to_another_machine")
            )


if __name__ == "__main__":
    unittest.main()
