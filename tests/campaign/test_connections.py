"""Simulated connections: what a cut delays, when a connection breaks, and when each end is notified."""

from __future__ import annotations

import random
import unittest

from madderwind.controlplane.sockets import ACKNOWLEDGEMENT_TIMEOUT_MS
from tests.campaign.connections import KEEPALIVE_TIMEOUT_MS, RETRANSMIT_MS, Connection, End
from tests.campaign.links import MAX_DELAY_MS, Links
from tests.campaign.process import Process
from tests.fleet.clock import Clock


class ConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.links = Links(self.clock, random.Random(1))
        self.client, self.server = Process("client", self.clock), Process("server", self.clock)
        self.client.begin_incarnation()
        self.server.begin_incarnation()
        self.received: list[bytes] = []
        self.closed: list[str] = []
        self.connection = Connection(
            self.links,
            End(self.client, lambda data: None, lambda: self.closed.append("client")),
            End(self.server, self.received.append, lambda: self.closed.append("server")),
        )

    def send(self, *frames: bytes) -> None:
        for frame in frames:
            self.connection.send(self.connection.client, frame)

    def run_for(self, duration_ms: float) -> None:
        self.clock.run_until(self.clock.now_ms + duration_ms)

    def test_given_a_short_cut_then_frames_arrive_late_and_in_order(self) -> None:
        self.links.cut("client", "server")
        self.send(b"1", b"2", b"3")
        self.run_for(ACKNOWLEDGEMENT_TIMEOUT_MS / 2)
        self.assertEqual(self.received, [])

        self.links.join("client", "server")
        self.run_for(RETRANSMIT_MS + MAX_DELAY_MS)

        self.assertEqual(self.received, [b"1", b"2", b"3"])
        self.assertTrue(self.connection.is_open)

    def test_given_a_long_cut_then_the_connection_breaks_and_nothing_is_delivered(self) -> None:
        self.links.cut("client", "server")
        self.send(b"1")
        self.run_for(ACKNOWLEDGEMENT_TIMEOUT_MS + 2 * RETRANSMIT_MS)
        self.assertEqual(self.closed, ["client"])

        self.links.join("client", "server")
        self.run_for(RETRANSMIT_MS + MAX_DELAY_MS)

        self.assertEqual(self.closed, ["client", "server"])
        self.assertEqual(self.received, [])

    def test_given_two_cuts_of_a_link_then_it_delivers_after_the_last_ends(self) -> None:
        self.links.cut("client", "server")
        self.links.cut("client", "server")
        self.links.join("client", "server")
        self.assertTrue(self.links.is_cut("client", "server"))
        self.links.join("client", "server")
        self.assertFalse(self.links.is_cut("client", "server"))

    def test_given_a_frozen_receiver_then_frames_are_queued_until_it_thaws(self) -> None:
        self.server.freeze()
        self.send(b"1", b"2")
        self.run_for(5_000.0)
        self.assertEqual(self.received, [])

        self.server.thaw()

        self.assertEqual(self.received, [b"1", b"2"])

    def test_given_a_process_that_ends_then_the_other_end_is_notified_at_once(self) -> None:
        self.server.end_incarnation(has_power=True)
        self.run_for(MAX_DELAY_MS)
        self.assertEqual(self.closed, ["client"])

    def test_given_a_power_loss_then_keepalive_probes_detect_it(self) -> None:
        self.server.end_incarnation(has_power=False)
        self.run_for(KEEPALIVE_TIMEOUT_MS - 1.0)
        self.assertEqual(self.closed, [])
        self.run_for(2.0)
        self.assertEqual(self.closed, ["client"])

    def test_given_a_new_incarnation_of_the_receiver_then_it_gets_no_frames_of_the_earlier_one(self) -> None:
        self.server.end_incarnation(has_power=False)
        self.server.begin_incarnation()
        self.send(b"1")
        self.run_for(2 * MAX_DELAY_MS)
        self.assertEqual(self.received, [])
        self.assertEqual(self.closed, ["client"])


if __name__ == "__main__":
    unittest.main()
