"""Stories of clients that leave: nothing is sent on for them any more, and their upstreams' work ends."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from madderwind.dataplane.forwarder import Forwarder
from madderwind.dataplane.retrying import Retries
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    Client,
    Fleet,
    Message,
    Writer,
    document,
    event,
    refuses,
    served,
    stream_head,
    until,
)
from tests.standins import Behaviour, reset, run, silent, within

WITHIN_S = 0.5
LONG_WAIT_MS = 200.0
ROUTES = ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x")


async def closes(client: Client) -> None:
    client.caller.close()


async def resets(client: Client) -> None:
    reset(client.caller.writer)


async def ends_its_sending(client: Client) -> None:
    client.caller.writer.write_eof()


WAYS_TO_LEAVE = (closes, resets, ends_its_sending)


async def streams(message: Message, writer: Writer) -> None:
    """Sends events until nobody is there."""
    writer.write(stream_head(message))
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0)


async def begins_a_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message) + chunk(event(1)))


class AClientLeaves(unittest.TestCase):
    """Within half a second nothing of its request is at an upstream."""

    def assert_work_ends(
        self, behave: Behaviour, path: str, leave: Callable[[Client], Awaitable[None]], reads: bytes = b""
    ) -> None:
        async def story() -> None:
            async with Fleet(behave, behave, document=document()) as fleet:
                client = await fleet.client()
                client.write(path)
                await until(lambda: any(upstream.asked for upstream in fleet.upstreams))
                if reads:
                    await within(client.caller.reader.readuntil(reads))
                (asked,) = [upstream for upstream in fleet.upstreams if upstream.asked]
                await leave(client)
                async with asyncio.timeout(WITHIN_S):
                    await asked.ended.get()
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(story())

    def test_before_an_answer_has_begun(self) -> None:
        for path in ROUTES:
            self.assert_work_ends(silent, path, closes)
        for leave in WAYS_TO_LEAVE:
            self.assert_work_ends(silent, "/safe/x", leave)

    def test_within_a_stream(self) -> None:
        for behave in (streams, begins_a_stream):
            for leave in WAYS_TO_LEAVE:
                self.assert_work_ends(behave, "/resumable/x", leave, reads=event(1))

    def test_that_is_not_noticed_would_be_found(self) -> None:
        served_whole = Forwarder.serve

        async def goes_on(forwarder: Forwarder, request: Any) -> Any:
            return await asyncio.shield(served_whole(forwarder, request))

        with mock.patch.object(Forwarder, "serve", goes_on), self.assertRaises(TimeoutError):
            self.assert_work_ends(silent, "/safe/x", closes)


class WhatIsStillToBeSent(unittest.TestCase):
    """For a client that has left it is dropped."""

    def test_a_second_send_that_waits(self) -> None:
        async def story() -> None:
            async with Fleet(refuses(), refuses(), document=document()) as fleet:
                with mock.patch.object(Retries, "wait_ms", return_value=LONG_WAIT_MS) as wait:
                    client = await fleet.client()
                    client.write("/safe/x")
                    await until(lambda: wait.called)
                    await closes(client)
                    await until(lambda: not fleet.plane._listener.open_requests)
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(story())

    def test_a_request_whose_connection_comes_up(self) -> None:
        async def story() -> None:
            begun, may_go_on = asyncio.Event(), asyncio.Event()
            exchange = UpstreamPool.exchange

            async def deferred(pool: UpstreamPool, *told: Any) -> Any:
                begun.set()
                await may_go_on.wait()
                return await exchange(pool, *told)

            async with Fleet(served(), document=document()) as fleet:
                with mock.patch.object(UpstreamPool, "exchange", deferred):
                    client = await fleet.client()
                    client.write("/unsafe/x")
                    await within(begun.wait())
                    await closes(client)
                    await until(lambda: not fleet.plane._listener.open_requests)
                    may_go_on.set()
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        run(story())

    def test_a_request_behind_another_one_on_its_connection(self) -> None:
        async def story() -> None:
            async with Fleet(silent, silent, document=document()) as fleet:
                client = await fleet.client()
                client.write("/safe/x")
                client.write("/safe/x")
                await until(lambda: any(upstream.asked for upstream in fleet.upstreams))
                await closes(client)
                async with asyncio.timeout(WITHIN_S):
                    while fleet.plane._listener.open_requests:
                        await asyncio.sleep(0)
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(story())


if __name__ == "__main__":
    unittest.main()
