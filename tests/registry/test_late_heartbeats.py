"""Stories of heartbeats that come late, twice, at another control plane or at one that was started anew."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.heartbeats import read_heartbeat
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.registry.registry import Registry

HEARTBEAT_MS = 1000.0
# "Seconds late": as late as anything is expected to come.
LATE_MS = 30_000.0
INSTANCE = "i-1"
AT_A_NEW_INCARNATION = "test_at_a_control_plane_that_was_started_anew_does_not_undo_what_the_others_know"


def body(sequence: int, state: str = "ready", address: str = "10.0.0.1:80") -> bytes:
    return (
        f'{{"service":"s","address":"{address}","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":0,"sequence":{sequence}}}'
    ).encode()


class ControlPlanes:
    """Registries that tell each other what changes, and a data plane that hears all of them."""

    def __init__(self) -> None:
        self.registries = [Registry(HEARTBEAT_MS) for _ in range(3)]
        self.data_plane = KnownUpstreams(HEARTBEAT_MS)
        self.now_ms = 0.0

    def heartbeat(
        self, number: int, sequence: int, state: str = "ready", address: str = "10.0.0.1:80"
    ) -> None:
        heartbeat = read_heartbeat(INSTANCE, body(sequence, state, address))
        self._tell(number, self.registries[number].handle_heartbeat(self.now_ms, INSTANCE, heartbeat))

    def deregister(self, number: int) -> None:
        self._tell(number, self.registries[number].deregister(self.now_ms, INSTANCE))

    def restart(self, number: int) -> None:
        """An empty registry, which its peers tell all that they know once they are connected again."""
        self.registries[number] = Registry(HEARTBEAT_MS)

    def reconnect(self, number: int) -> None:
        for registry in self.registries:
            self.registries[number].merge(self.now_ms, registry.snapshot(self.now_ms))
            registry.merge(self.now_ms, self.registries[number].snapshot(self.now_ms))

    def states(self) -> set[str]:
        return {record.state for each in self.registries for record in each.snapshot(self.now_ms)}

    def takes_new(self) -> bool:
        return self.data_plane.takes_new(INSTANCE)

    def _tell(self, number: int, record: UpstreamRecord | None) -> None:
        if record is None:
            return
        for other, registry in enumerate(self.registries):
            if other != number:
                registry.merge(self.now_ms, [record])
        self.data_plane.merge(self.now_ms, [record])


class ALateHeartbeat(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ControlPlanes()
        self.fleet.heartbeat(0, 1)
        self.fleet.heartbeat(1, 2)

    def assert_stays(self, state: str) -> None:
        """Whatever comes late, at whichever control plane, in whichever command, and again."""
        for number, sequence, notified in itertools.product(range(3), (1, 2, 3, 9), ("ready", "draining")):
            if (state, notified) != ("draining", "draining"):
                self.fleet.heartbeat(number, sequence, notified)
                self.fleet.heartbeat(number, sequence, notified)
            self.assertEqual((self.fleet.states(), self.fleet.takes_new()), ({state}, False))

    def test_does_not_undo_draining(self) -> None:
        self.fleet.heartbeat(2, 3, "draining")
        self.fleet.now_ms += LATE_MS
        self.assert_stays("draining")

    def test_does_not_undo_a_deregistration_with_or_without_draining_before(self) -> None:
        for drains in (True, False):
            self.setUp()
            if drains:
                self.fleet.heartbeat(2, 3, "draining")
            self.fleet.deregister(1)
            self.fleet.now_ms += LATE_MS
            self.assert_stays("gone")

    def test_does_not_undo_a_deregistration_that_came_before_any_heartbeat(self) -> None:
        self.fleet = ControlPlanes()
        self.fleet.deregister(1)
        self.fleet.now_ms += LATE_MS
        self.assert_stays("gone")

    def test_at_a_control_plane_that_was_started_anew_does_not_undo_what_the_others_know(self) -> None:
        for state in ("draining", "gone"):
            self.setUp()
            if state == "gone":
                self.fleet.deregister(2)
            else:
                self.fleet.heartbeat(2, 3, state)
            self.fleet.restart(0)
            self.fleet.heartbeat(0, 1)
            self.assertFalse(self.fleet.takes_new())
            self.fleet.reconnect(0)
            self.assertEqual((self.fleet.states(), self.fleet.takes_new()), ({state}, False))

    def test_does_not_bring_back_an_older_address(self) -> None:
        self.fleet.heartbeat(0, 5, address="10.0.0.5:80")
        for number in range(3):
            self.fleet.heartbeat(number, 4, address="10.0.0.4:80")
        self.assertEqual(self.fleet.data_plane.address(INSTANCE), "10.0.0.5:80")
        notified = {record.address for each in self.fleet.registries for record in each.snapshot(0.0)}
        self.assertEqual(notified, {"10.0.0.5:80"})

    def test_is_notified_to_nobody(self) -> None:
        self.fleet.heartbeat(0, 5)
        for registry in self.fleet.registries:
            self.assertIsNone(registry.handle_heartbeat(1.0, INSTANCE, read_heartbeat(INSTANCE, body(3))))

    def test_that_is_known_without_its_description_hides_no_description(self) -> None:
        """A peer's liveness report may overtake what changed, where that was lost on its way."""
        first, second, _ = self.fleet.registries
        first.handle_heartbeat(10.0, INSTANCE, read_heartbeat(INSTANCE, body(7, address="10.0.0.7:80")))
        second.merge_liveness(11.0, first.take_liveness(11.0))
        second.merge(12.0, first.snapshot(12.0))
        self.assertEqual(second.snapshot(12.0)[0].address, "10.0.0.7:80")


class StatesThatGoBackWouldBeFound(unittest.TestCase):
    def test_in_the_registry(self) -> None:
        with (
            mock.patch("madderwind.registry.registry.furthest", lambda first, second: second),
            self.assertRaises(AssertionError),
        ):
            ALateHeartbeat("test_does_not_undo_draining").debug()

    def test_in_the_data_plane(self) -> None:
        with (
            mock.patch("madderwind.registry.known_upstreams.furthest", lambda first, second: second),
            self.assertRaises(AssertionError),
        ):
            ALateHeartbeat(AT_A_NEW_INCARNATION).debug()

    def test_where_the_gone_are_not_remembered(self) -> None:
        with (
            mock.patch("madderwind.registry.known_upstreams.DEREGISTERED_RETENTION_MS", -1.0),
            self.assertRaises(AssertionError),
        ):
            ALateHeartbeat(AT_A_NEW_INCARNATION).debug()


if __name__ == "__main__":
    unittest.main()
