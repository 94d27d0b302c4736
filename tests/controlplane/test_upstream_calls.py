"""Tests of upstreams' calls: their acknowledgements, and upstreams that deregister without draining."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from madderwind.controlplane import public_server
from madderwind.controlplane.drain_tracker import CONFIRMATION_TIMEOUT_MS
from madderwind.controlplane.effects import RespondToUpstream
from madderwind.controlplane.registry_service import RegistryService
from madderwind.messages.distribution import RegistryDelta
from tests.controlplane.fleet import ControlPlaneInMemory, FleetInMemory, heartbeat
from tests.controlplane.test_hosts import HostsTestCase

# Upstreams ignore an acknowledgement that arrives later or is longer.
ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000.0
MAX_ACKNOWLEDGEMENT_BYTES = 4 * 1024
CALLS = (
    ("heartbeat", heartbeat(1)),
    ("heartbeat", heartbeat(2, "draining")),
    ("heartbeat", heartbeat(1)),  # delayed
    ("deregister", b""),
    ("heartbeat", heartbeat(3)),  # delayed
    ("deregister", b""),
)


class AcknowledgementTest(HostsTestCase):
    async def test_each_call_gets_a_short_acknowledgement_in_time(self) -> None:
        for call, body in CALLS:
            url = self.url(1, f"/instances/i-1/{call}")
            async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_MS / 1000.0):
                async with self.session.post(url, data=body) as response:
                    answer = await response.read()
            self.assertEqual(response.status, 200, call)
            head = sum(len(name) + len(value) + 4 for name, value in response.raw_headers)
            self.assertLess(head + len(answer), MAX_ACKNOWLEDGEMENT_BYTES)

    async def test_an_acknowledgement_names_no_control_plane_to_call(self) -> None:
        async with self.session.post(self.url(1, "/instances/i-1/heartbeat"), data=heartbeat(1)) as response:
            self.assertEqual(await response.json(), {})

    async def test_an_unconfirmed_call_is_rejected_in_time(self) -> None:
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 200)
        with mock.patch.object(
            RegistryService, "_handle_final_state", lambda *_: []
        ):  # no peer confirms the state
            for call, body in (("heartbeat", heartbeat(2, "draining")), ("deregister", b"")):
                async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_MS / 1000.0):
                    self.assertEqual(await self.call(1, f"i-1/{call}", body), 503)

    async def test_a_heartbeat_without_its_body_times_out(self) -> None:
        with mock.patch.object(public_server, "HEARTBEAT_BODY_TIMEOUT_S", 0.05):
            ip, _, port = self.public[1].rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{")
            self.assertIn(
                b" 408 ", await asyncio.wait_for(reader.readline(), ACKNOWLEDGEMENT_TIMEOUT_MS / 1000.0)
            )
            writer.close()


class DeregistrationWithoutDrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FleetInMemory()
        self.first, self.second, self.third = self.fleet.planes
        for connection, plane in enumerate(self.fleet.planes):
            self.fleet.subscribe(plane, connection, "front-1")
        self.fleet.heartbeat(self.first, 1)

    def published(self, plane: ControlPlaneInMemory) -> list[str]:
        """The states that were published to its data planes, in order."""
        deltas = [
            m for messages in plane.sent_messages.values() for m in messages if isinstance(m, RegistryDelta)
        ]
        return [record.state for delta in deltas for record in delta.upstreams]

    def test_a_deregistration_is_acknowledged_after_two_machines_have_published_it(self) -> None:
        self.fleet.deregister(self.first, 2)
        self.assertEqual(self.first.accepted[2], True)
        self.assertEqual([self.published(plane) for plane in self.fleet.planes], [["ready", "gone"]] * 3)

    def test_a_partitioned_machine_rejects_a_deregistration_and_propagates_it_later(self) -> None:
        self.fleet.partitioned.update({self.second.address, self.third.address})
        self.fleet.deregister(self.first, 2)
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual(self.first.accepted[2], False)
        self.fleet.partitioned.clear()
        self.fleet.deregister(self.second, 3)
        self.assertEqual(self.second.accepted[3], True)
        self.assertEqual({self.published(plane)[-1] for plane in self.fleet.planes}, {"gone"})

    def test_delayed_heartbeats_at_any_machine_do_not_revive_the_upstream(self) -> None:
        self.fleet.deregister(self.second, 2)
        for plane in self.fleet.planes:
            for sequence, state in ((1, "ready"), (8, "ready"), (9, "draining")):
                self.fleet.heartbeat(plane, sequence, state)
            self.fleet.run(1_000.0)
        self.assertEqual([self.published(plane) for plane in self.fleet.planes], [["ready", "gone"]] * 3)

    def test_mutant_that_acknowledges_without_peers_is_caught(self) -> None:
        immediate_response = mock.patch.object(
            RegistryService, "_respond", lambda _, __, call, ___: [RespondToUpstream(call, True)]
        )
        with immediate_response, self.assertRaises(AssertionError):
            self.test_a_partitioned_machine_rejects_a_deregistration_and_propagates_it_later()


if __name__ == "__main__":
    unittest.main()
