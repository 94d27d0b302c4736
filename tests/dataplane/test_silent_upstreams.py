"""Stories of upstreams that pause, as one does whose request was preempted: silence ends no answer early."""

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

# Every bound on silence that there is, far shorter than in service.
BOUND_S = 0.03
# How long the upstream says nothing.
PAUSE_S = 0.2


def pauses(before: Callable[[Message], bytes], after: bytes, goes_on: asyncio.Event) -> Behaviour:
    """Says something, then nothing until it may go on."""

    async def behave(message: Message, writer: Writer) -> None:
        writer.write(before(message))
        await goes_on.wait()
        writer.write(after)

    return behave


def begun_stream(message: Message) -> bytes:
    return stream_head(message) + chunk(event(1))


def begun_answer(length: int, sent: int) -> Callable[[Message], bytes]:
    """The head of an answer and the first bytes of its body."""

    def begun(message: Message) -> bytes:
        request_id = message.header("X-Request-Id")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}\r\n"
        return f"{head}X-Upstream-Signature: {SIGNATURE}\r\n\r\n".encode() + b"x" * sent

    return begun


class APause(unittest.TestCase):
    def assert_outlasted(self, path: str, before: Callable[[Message], bytes], after: bytes) -> None:
        async def story() -> None:
            goes_on = asyncio.Event()
            async with Fleet(pauses(before, after, goes_on), document=document()) as fleet:
                client: Client = await fleet.client()
                client.write(path)
                await self.assert_nothing_ends(fleet)
                goes_on.set()
                await within(client.caller.reader.readuntil(after))
                self.assertEqual(fleet.upstreams[0].ended.qsize(), 0)
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        with (
            mock.patch.object(upstream_pool, "HEAD_STALL_S", BOUND_S),
            mock.patch.object(stream_timeouts, "STREAM_TIMEOUT_MS", BOUND_S * 1000.0),
        ):
            run(story())

    async def assert_nothing_ends(self, fleet: Fleet) -> None:
        """For longer than any bound that isn't the request's own time."""
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(PAUSE_S):
                await fleet.upstreams[0].ended.get()

    def test_within_a_stream(self) -> None:
        for path in ("/stream/x", "/resumable/x"):
            self.assert_outlasted(path, begun_stream, chunk(event(2)) + b"0\r\n\r\n")

    def test_between_a_head_and_its_body_and_within_that(self) -> None:
        for length in (10, 200_000):
            for sent in (0, length // 2):
                self.assert_outlasted("/unsafe/x", begun_answer(length, sent), b"x" * (length - sent))

    def test_that_ended_an_answer_would_be_noticed(self) -> None:
        def with_a_bound(**told: Any) -> ConnectionOptions:
            return ConnectionOptions(**told)._replace(passing_stall_s=BOUND_S)

        with (
            mock.patch.object(upstream_pool, "ConnectionOptions", with_a_bound),
            self.assertRaises((AssertionError, asyncio.IncompleteReadError)),
        ):
            self.assert_outlasted("/stream/x", begun_stream, chunk(event(2)) + b"0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
