"""Requests that a data plane forwards over loopback."""

from __future__ import annotations

import unittest

from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    CLIENT_HOST,
    SIGNATURE,
    Fleet,
    Message,
    Writer,
    document,
    event,
    served,
    stream_head,
)
from tests.standins import run


class ForwardedRequest(unittest.TestCase):
    def test_is_answered_with_the_upstreams_status_body_and_signature(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(b"stock: 4", 201, X_Extra="e"), document=document()) as fleet:
                response = await fleet.ask("/unsafe/tyres?q=%2F&&")
                self.assertEqual((response.status, response.body), (201, b"stock: 4"))
                self.assertEqual(response.header("X-Upstream-Signature"), SIGNATURE)
                self.assertEqual(response.header("X-Extra"), "e")

        run(scenario())

    def test_reaches_the_upstream_unchanged_with_the_headers_of_the_data_plane(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                request_id = client.write(
                    "/unsafe/a%20b/?x=1&y", body=b"\x00raw", X_Tenant_Id="other", X_Mine="m", Priority="0"
                )
                await client.read()
                (received,) = fleet.upstreams[0].asked
                self.assertEqual(received.start, "POST /unsafe/a%20b/?x=1&y HTTP/1.1")
                self.assertEqual(received.body, b"\x00raw")
                self.assertEqual(received.header("Host"), CLIENT_HOST)
                self.assertEqual(received.header("X-Request-Id"), request_id)
                self.assertEqual(received.header("X-Mine"), "m")
                self.assertEqual(received.header("X-Tenant-Id"), "acme")
                self.assertEqual(received.header("X-Expect-Instance"), "i-0")
                self.assertEqual(received.header("Priority"), "1")  # the tenant's, not the route's
                self.assertIsNone(received.header("X-Key"))
                self.assertIsNone(received.header("Accept-Encoding"))
                remaining_ms = int(received.header("X-Deadline-Ms") or 0)
                self.assertTrue(3000 < remaining_ms <= 4000, remaining_ms)

        run(scenario())

    def test_deadline_is_at_most_the_route_timeout(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.ask("/quick/x", X_Deadline_Ms="4000")
                (received,) = fleet.upstreams[0].asked
                self.assertLessEqual(int(received.header("X-Deadline-Ms") or 0), 120)

        run(scenario())

    def test_chunked_body_is_forwarded_completely(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x", body=b"", Transfer_Encoding="chunked")
                client.caller.writer.write(chunk(b"one ") + chunk(b"two") + b"0\r\n\r\n")
                self.assertEqual((await client.read()).status, 200)
                self.assertEqual(fleet.upstreams[0].asked[0].body, b"one two")

        run(scenario())

    def test_next_request_reuses_the_connections_to_client_and_upstream(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                for _ in range(3):
                    self.assertEqual((await client.ask()).status, 200)
                self.assertEqual(fleet.upstreams[0].connections, 1)

        run(scenario())


class ForwardedStream(unittest.TestCase):
    def test_forwards_each_event_as_soon_as_it_is_complete(self) -> None:
        async def scenario() -> None:
            writers: list[Writer] = []

            async def begin_stream(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1) + event(2)[:7]))
                writers.append(writer)

            async with Fleet(begin_stream, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                reader = client.caller.reader
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b"text/event-stream", head)
                self.assertIn(SIGNATURE.encode(), head)
                self.assertEqual(await reader.readexactly(len(chunk(event(1)))), chunk(event(1)))
                writers[0].write(chunk(event(2)[7:]) + b"0\r\n\r\n")
                self.assertEqual(await reader.readuntil(b"0\r\n\r\n"), chunk(event(2)) + b"0\r\n\r\n")

        run(scenario())
