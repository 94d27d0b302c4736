"""Stories of requests that a data plane serves over loopback."""

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


class ARequest(unittest.TestCase):
    def test_is_answered_with_the_upstreams_status_body_and_signature(self) -> None:
        async def story() -> None:
            async with Fleet(served(b"stock: 4", 201, X_Extra="e"), document=document()) as fleet:
                got = await fleet.ask("/unsafe/tyres?q=%2F&&")
                self.assertEqual((got.status, got.body), (201, b"stock: 4"))
                self.assertEqual(got.header("X-Upstream-Signature"), SIGNATURE)
                self.assertEqual(got.header("X-Extra"), "e")

        run(story())

    def test_reaches_the_upstream_unchanged_with_what_the_system_tells(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                request_id = client.write(
                    "/unsafe/a%20b/?x=1&y", body=b"\x00raw", X_Tenant_Id="other", X_Mine="m", Priority="0"
                )
                await client.read()
                (seen,) = fleet.upstreams[0].asked
                self.assertEqual(seen.start, "POST /unsafe/a%20b/?x=1&y HTTP/1.1")
                self.assertEqual(seen.body, b"\x00raw")
                self.assertEqual(seen.header("Host"), CLIENT_HOST)
                self.assertEqual(seen.header("X-Request-Id"), request_id)
                self.assertEqual(seen.header("X-Mine"), "m")
                self.assertEqual(seen.header("X-Tenant-Id"), "acme")
                self.assertEqual(seen.header("X-Expect-Instance"), "i-0")
                self.assertEqual(seen.header("Priority"), "1")  # the tenant's, not the route's
                self.assertIsNone(seen.header("X-Key"))
                self.assertIsNone(seen.header("Accept-Encoding"))
                left_ms = int(seen.header("X-Deadline-Ms") or 0)
                self.assertTrue(3000 < left_ms <= 4000, left_ms)

        run(story())

    def test_gets_no_more_time_than_the_route_has(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.ask("/quick/x", X_Deadline_Ms="4000")
                (seen,) = fleet.upstreams[0].asked
                self.assertLessEqual(int(seen.header("X-Deadline-Ms") or 0), 120)

        run(story())

    def test_in_chunks_is_passed_on_whole(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x", body=b"", Transfer_Encoding="chunked")
                client.caller.writer.write(chunk(b"one ") + chunk(b"two") + b"0\r\n\r\n")
                self.assertEqual((await client.read()).status, 200)
                self.assertEqual(fleet.upstreams[0].asked[0].body, b"one two")

        run(story())

    def test_after_another_uses_both_connections_again(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                for _ in range(3):
                    self.assertEqual((await client.ask()).status, 200)
                self.assertEqual(fleet.upstreams[0].connections, 1)

        run(story())


class AStream(unittest.TestCase):
    def test_passes_on_each_event_as_soon_as_it_is_whole(self) -> None:
        async def story() -> None:
            writers: list[Writer] = []

            async def begins(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1) + event(2)[:7]))
                writers.append(writer)

            async with Fleet(begins, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                reader = client.caller.reader
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b"text/event-stream", head)
                self.assertIn(SIGNATURE.encode(), head)
                self.assertEqual(await reader.readexactly(len(chunk(event(1)))), chunk(event(1)))
                writers[0].write(chunk(event(2)[7:]) + b"0\r\n\r\n")
                self.assertEqual(await reader.readuntil(b"0\r\n\r\n"), chunk(event(2)) + b"0\r\n\r\n")

        run(story())
