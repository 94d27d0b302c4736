"""Tests of heartbeats that arrive late, twice, at another control plane or at a restarted one."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.heartbeats import read_heartbeat
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.registry.registry import Registry

HEARTBEAT_MS = 1000.0
# The longest delay that is expected of a heartbeat.
LATE_MS = 30_000.0
INSTANCE = "i-1"
RESTARTED_CONTROL_PLANE_TEST = "test_restarted_control_plane_does_not_undo_a_final_state"


def body(sequence: int, state: str = "ready", address: str = "10.0.0.1:80") -> bytes:
    return (
        f'{{"service":"s","address":"{address}","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":0,"sequence":{sequence}}}'
    ).encode()


class ControlPlanes:
    """Three registries that notify each other of changes, and a data plane that receives all of them."""

    def __init__(self) -> None:
        self.registries = [Registry(HEARTBEAT_MS) for _ in range(3)]
        self.data_plane = KnownUpstreams(HEARTBEAT_MS)
        self.now_ms = 0.0

    def heartbeat(
        self, number: int, sequence: int, state: str = "ready", address: str = "10.0.0.1:80"
    ) -> None:
        heartbeat = read_heartbeat(INSTANCE, body(sequence, state, address))
        self._publish(number, self.registries[number].handle_heartbeat(self.now_ms, INSTANCE, heartbeat))

    def deregister(self, number: int) -> None:
        self._publish(number, self.registries[number].deregister(self.now_ms, INSTANCE))

    def restart(self, number: int) -> None:
        """Replace a registry by an empty one; `reconnect` exchanges snapshots with its peers."""
        self.registries[number] = Registry(HEARTBEAT_MS)

    def reconnect(self, number: int) -> None:
        for registry in self.registries:
            self.registries[number].merge(self.now_ms, registry.snapshot(self.now_ms))
            registry.merge(self.now_ms, self.registries[number].snapshot(self.now_ms))

    def states(self) -> set[str]:
        return {record.state for each in self.registries for record in each.snapshot(self.now_ms)}

    def takes_new(self) -> bool:
        return self.data_plane.takes_new(INSTANCE)

    def _publish(self, number: int, record: UpstreamRecord | None) -> None:
        if record is None:
            return
        for other, registry in enumerate(self.registries):
            if other != number:
                registry.merge(self.now_ms, [record])
        self.data_plane.merge(self.now_ms, [record])


class LateHeartbeats(unittest.TestCase):
    def setUp(self) -> None:
        self.control_planes = ControlPlanes()
        self.control_planes.heartbeat(0, 1)
        self.control_planes.heartbeat(1, 2)

    def assert_state_remains(self, state: str) -> None:
        """Send late heartbeats, each twice, to every control plane and check that the state remains."""
        for number, sequence, heartbeat_state in itertools.product(
            range(3), (1, 2, 3, 9), ("ready", "draining")
        ):
            if (state, heartbeat_state) != ("draining", "draining"):
                self.control_planes.heartbeat(number, sequence, heartbeat_state)
                self.control_planes.heartbeat(number, sequence, heartbeat_state)
            self.assertEqual(
                (self.control_planes.states(), self.control_planes.takes_new()), ({state}, False)
            )

    def test_draining_is_not_undone(self) -> None:
        self.control_planes.heartbeat(2, 3, "draining")
        self.control_planes.now_ms += LATE_MS
        self.assert_state_remains("draining")

    def test_deregistration_is_not_undone_with_or_without_draining(self) -> None:
        for is_drained_first in (True, False):
            self.setUp()
            if is_drained_first:
                self.control_planes.heartbeat(2, 3, "draining")
            self.control_planes.deregister(1)
            self.control_planes.now_ms += LATE_MS
            self.assert_state_remains("gone")

    def test_deregistration_before_any_heartbeat_is_not_undone(self) -> None:
        self.control_planes = ControlPlanes()
        self.control_planes.deregister(1)
        self.control_planes.now_ms += LATE_MS
        self.assert_state_remains("gone")

    def test_restarted_control_plane_does_not_undo_a_final_state(self) -> None:
        for state in ("draining", "gone"):
            self.setUp()
            if state == "gone":
                self.control_planes.deregister(2)
            else:
                self.control_planes.heartbeat(2, 3, state)
            self.control_planes.restart(0)
            self.control_planes.heartbeat(0, 1)
            self.assertFalse(self.control_planes.takes_new())
            self.control_planes.reconnect(0)
            self.assertEqual(
                (self.control_planes.states(), self.control_planes.takes_new()), ({state}, False)
            )

    def test_older_address_is_not_restored(self) -> None:
        self.control_planes.heartbeat(0, 5, address="10.0.0.5:80")
        for number in range(3):
            self.control_planes.heartbeat(number, 4, address="10.0.0.4:80")
        self.assertEqual(self.control_planes.data_plane.address(INSTANCE), "10.0.0.5:80")
        addresses = {
            record.address for each in self.control_planes.registries for record in each.snapshot(0.0)
        }
        self.assertEqual(addresses, {"10.0.0.5:80"})

    def test_late_heartbeat_causes_no_notification(self) -> None:
        self.control_planes.heartbeat(0, 5)
        for registry in self.control_planes.registries:
            self.assertIsNone(registry.handle_heartbeat(1.0, INSTANCE, read_heartbeat(INSTANCE, body(3))))

    def test_liveness_report_does_not_hide_a_later_description(self) -> None:
        """A peer's liveness report may arrive first if the message with the new description was lost."""
        first, second, _ = self.control_planes.registries
        first.handle_heartbeat(10.0, INSTANCE, read_heartbeat(INSTANCE, body(7, address="10.0.0.7:80")))
        second.merge_liveness(11.0, first.take_liveness(11.0))
        second.merge(12.0, first.snapshot(12.0))
        self.assertEqual(second.snapshot(12.0)[0].address, "10.0.0.7:80")


class MutantsAreDetected(unittest.TestCase):
    def test_registry_that_reverts_states_is_detected(self) -> None:
        with (
            mock.patch("madderwind.registry.registry.furthest", lambda first, second: second),
            self.assertRaises(AssertionError),
        ):
            LateHeartbeats("test_draining_is_not_undone").debug()

    def test_data_plane_that_reverts_states_is_detected(self) -> None:
        with (
            mock.patch("madderwind.registry.known_upstreams.furthest", lambda first, second: second),
            self.assertRaises(AssertionError),
        ):
            LateHeartbeats(RESTARTED_CONTROL_PLANE_TEST).debug()

    def test_forgotten_deregistrations_are_detected(self) -> None:
        with (
            mock.patch("madderwind.registry.known_upstreams.DEREGISTERED_RETENTION_MS", -1.0),
            self.assertRaises(AssertionError),
        ):
            LateHeartbeats(RESTARTED_CONTROL_PLANE_TEST).debug()


if __name__ == "__main__":
    unittest.main()
