"""Stories of the calls of upstreams: their acknowledgements, and upstreams that only deregister."""

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
from tests.controlplane.test_hosts import HostsStory

# Upstreams take nothing for an acknowledgement that comes later, or is longer.
ACKNOWLEDGED_WITHIN_MS = 1_000.0
LONGEST_ACKNOWLEDGEMENT_BYTES = 4 * 1024
CALLS = (
    ("heartbeat", heartbeat(1)),
    ("heartbeat", heartbeat(2, "draining")),
    ("heartbeat", heartbeat(1)),  # late
    ("deregister", b""),
    ("heartbeat", heartbeat(3)),  # late
    ("deregister", b""),
)


class AnAcknowledgement(HostsStory):
    async def test_comes_soon_and_is_short_whatever_is_acknowledged(self) -> None:
        for call, body in CALLS:
            url = self.url(1, f"/instances/i-1/{call}")
            async with asyncio.timeout(ACKNOWLEDGED_WITHIN_MS / 1000.0):
                async with self.session.post(url, data=body) as response:
                    answer = await response.read()
            self.assertEqual(response.status, 200, call)
            head = sum(len(name) + len(value) + 4 for name, value in response.raw_headers)
            self.assertLess(head + len(answer), LONGEST_ACKNOWLEDGEMENT_BYTES)

    async def test_names_no_address_so_that_any_control_plane_may_be_called(self) -> None:
        async with self.session.post(self.url(1, "/instances/i-1/heartbeat"), data=heartbeat(1)) as response:
            self.assertEqual(await response.json(), {})

    async def test_that_cannot_come_in_time_is_a_refusal_in_time(self) -> None:
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 200)
        with mock.patch.object(
            RegistryService, "_handle_final_state", lambda *_: []
        ):  # no peer confirms anything
            for call, body in (("heartbeat", heartbeat(2, "draining")), ("deregister", b"")):
                async with asyncio.timeout(ACKNOWLEDGED_WITHIN_MS / 1000.0):
                    self.assertEqual(await self.call(1, f"i-1/{call}", body), 503)

    async def test_of_a_heartbeat_whose_body_does_not_come_is_none(self) -> None:
        with mock.patch.object(public_server, "HEARTBEAT_BODY_TIMEOUT_S", 0.05):
            ip, _, port = self.public[1].rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{")
            self.assertIn(
                b" 408 ", await asyncio.wait_for(reader.readline(), ACKNOWLEDGED_WITHIN_MS / 1000.0)
            )
            writer.close()


class AnUpstreamThatOnlyDeregisters(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FleetInMemory()
        self.first, self.second, self.third = self.fleet.planes
        for connection, plane in enumerate(self.fleet.planes):
            self.fleet.subscribe(plane, connection, "front-1")
        self.fleet.heartbeat(self.first, 1)

    def notified(self, plane: ControlPlaneInMemory) -> list[str]:
        """The states of which its data planes were told, the last one last."""
        deltas = [m for messages in plane.notified.values() for m in messages if isinstance(m, RegistryDelta)]
        return [record.state for delta in deltas for record in delta.upstreams]

    def test_is_acknowledged_once_the_data_planes_of_two_machines_are_notified(self) -> None:
        self.fleet.deregister(self.first, 2)
        self.assertEqual(self.first.accepted[2], True)
        self.assertEqual([self.notified(plane) for plane in self.fleet.planes], [["ready", "gone"]] * 3)

    def test_is_refused_in_time_by_a_machine_alone_which_tells_it_later(self) -> None:
        self.fleet.cut.update({self.second.address, self.third.address})
        self.fleet.deregister(self.first, 2)
        self.fleet.run(CONFIRMATION_TIMEOUT_MS + 25.0)
        self.assertEqual(self.first.accepted[2], False)
        self.fleet.cut.clear()
        self.fleet.deregister(self.second, 3)
        self.assertEqual(self.second.accepted[3], True)
        self.assertEqual({self.notified(plane)[-1] for plane in self.fleet.planes}, {"gone"})

    def test_stays_ended_when_its_heartbeats_come_late_at_any_machine(self) -> None:
        self.fleet.deregister(self.second, 2)
        for plane in self.fleet.planes:
            for sequence, state in ((1, "ready"), (8, "ready"), (9, "draining")):
                self.fleet.heartbeat(plane, sequence, state)
            self.fleet.run(1_000.0)
        self.assertEqual([self.notified(plane) for plane in self.fleet.planes], [["ready", "gone"]] * 3)

    def test_that_one_machine_acknowledges_alone_would_be_noticed(self) -> None:
        at_once = mock.patch.object(
            RegistryService, "_respond", lambda _, __, call, ___: [RespondToUpstream(call, True)]
        )
        with at_once, self.assertRaises(AssertionError):
            self.test_is_refused_in_time_by_a_machine_alone_which_tells_it_later()


if __name__ == "__main__":
    unittest.main()
