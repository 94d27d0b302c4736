"""Upstreams that pause, as when a request is preempted: no idle timeout ends a response early."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from madderwind.dataplane import stream_timeouts, upstream_pool
from madderwind.testing.fault_tests.wire import chunk
from madderwind.transport.connector import ConnectionOptions
from tests.dataplane.fleet import SIGNATURE, Client, Fleet, Message, Writer, document, event, stream_head
from tests.standins import Behaviour, run, within

# Replaces every idle timeout; far shorter than in production.
IDLE_TIMEOUT_S = 0.03
# How long the upstream sends nothing.
PAUSE_S = 0.2


def respond_with_pause(
    before: Callable[[Message], bytes], after: bytes, may_continue: asyncio.Event
) -> Behaviour:
    """Write `before`, then nothing until `may_continue` is set, then `after`."""

    async def behave(message: Message, writer: Writer) -> None:
        writer.write(before(message))
        await may_continue.wait()
        writer.write(after)

    return behave


def stream_start(message: Message) -> bytes:
    return stream_head(message) + chunk(event(1))


def response_start(length: int, sent: int) -> Callable[[Message], bytes]:
    """Return the head of a response and the first `sent` bytes of its body."""

    def start(message: Message) -> bytes:
        request_id = message.header("X-Request-Id")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}\r\n"
        return f"{head}X-Upstream-Signature: {SIGNATURE}\r\n\r\n".encode() + b"x" * sent

    return start


class UpstreamPause(unittest.TestCase):
    def assert_tolerated(self, path: str, before: Callable[[Message], bytes], after: bytes) -> None:
        async def scenario() -> None:
            may_continue = asyncio.Event()
            async with Fleet(respond_with_pause(before, after, may_continue), document=document()) as fleet:
                client: Client = await fleet.client()
                client.write(path)
                await self.assert_no_connection_ends(fleet)
                may_continue.set()
                await within(client.caller.reader.readuntil(after))
                self.assertEqual(fleet.upstreams[0].ended.qsize(), 0)
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        with (
            mock.patch.object(upstream_pool, "HEAD_STALL_S", IDLE_TIMEOUT_S),
            mock.patch.object(stream_timeouts, "STREAM_TIMEOUT_MS", IDLE_TIMEOUT_S * 1000.0),
        ):
            run(scenario())

    async def assert_no_connection_ends(self, fleet: Fleet) -> None:
        """Check that no connection ends for longer than any timeout but that of the request itself."""
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(PAUSE_S):
                await fleet.upstreams[0].ended.get()

    def test_during_a_stream(self) -> None:
        for path in ("/stream/x", "/resumable/x"):
            self.assert_tolerated(path, stream_start, chunk(event(2)) + b"0\r\n\r\n")

    def test_between_head_and_body_and_within_the_body(self) -> None:
        for length in (10, 200_000):
            for sent in (0, length // 2):
                self.assert_tolerated("/unsafe/x", response_start(length, sent), b"x" * (length - sent))

    def test_timeout_that_ends_a_response_is_detected(self) -> None:
        def with_timeout(**options: Any) -> ConnectionOptions:
            return ConnectionOptions(**options)._replace(passing_stall_s=IDLE_TIMEOUT_S)

        with (
            mock.patch.object(upstream_pool, "ConnectionOptions", with_timeout),
            self.assertRaises((AssertionError, asyncio.IncompleteReadError)),
        ):
            self.assert_tolerated("/stream/x", stream_start, chunk(event(2)) + b"0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
