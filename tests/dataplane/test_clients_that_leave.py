"""Clients that disconnect: nothing more is forwarded for them, and the work at their upstreams ends."""

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

DISCONNECT_DETECTION_S = 0.5
LONG_BACKOFF_MS = 200.0
ROUTES = ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x")


async def close(client: Client) -> None:
    client.caller.close()


async def reset_connection(client: Client) -> None:
    reset(client.caller.writer)


async def half_close(client: Client) -> None:
    client.caller.writer.write_eof()


DISCONNECTS = (close, reset_connection, half_close)


async def stream_until_closed(message: Message, writer: Writer) -> None:
    """Send events until the connection is closed."""
    writer.write(stream_head(message))
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0)


async def begin_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message) + chunk(event(1)))


class ClientDisconnect(unittest.TestCase):
    """Half a second after a client disconnects, no upstream works on its request."""

    def assert_work_ends(
        self,
        behave: Behaviour,
        path: str,
        disconnect: Callable[[Client], Awaitable[None]],
        read_first: bytes = b"",
    ) -> None:
        async def scenario() -> None:
            async with Fleet(behave, behave, document=document()) as fleet:
                client = await fleet.client()
                client.write(path)
                await until(lambda: any(upstream.asked for upstream in fleet.upstreams))
                if read_first:
                    await within(client.caller.reader.readuntil(read_first))
                (serving,) = [upstream for upstream in fleet.upstreams if upstream.asked]
                await disconnect(client)
                async with asyncio.timeout(DISCONNECT_DETECTION_S):
                    await serving.ended.get()
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(scenario())

    def test_before_the_response_begins(self) -> None:
        for path in ROUTES:
            self.assert_work_ends(silent, path, close)
        for disconnect in DISCONNECTS:
            self.assert_work_ends(silent, "/safe/x", disconnect)

    def test_during_a_stream(self) -> None:
        for behave in (stream_until_closed, begin_stream):
            for disconnect in DISCONNECTS:
                self.assert_work_ends(behave, "/resumable/x", disconnect, read_first=event(1))

    def test_undetected_disconnect_fails_the_check(self) -> None:
        serve = Forwarder.serve

        async def serve_to_the_end(forwarder: Forwarder, request: Any) -> Any:
            return await asyncio.shield(serve(forwarder, request))

        with mock.patch.object(Forwarder, "serve", serve_to_the_end), self.assertRaises(TimeoutError):
            self.assert_work_ends(silent, "/safe/x", close)


class UnsentRequests(unittest.TestCase):
    """What has not been sent to an upstream is dropped when the client disconnects."""

    def test_retry_during_its_backoff(self) -> None:
        async def scenario() -> None:
            async with Fleet(refuses(), refuses(), document=document()) as fleet:
                with mock.patch.object(Retries, "wait_ms", return_value=LONG_BACKOFF_MS) as wait:
                    client = await fleet.client()
                    client.write("/safe/x")
                    await until(lambda: wait.called)
                    await close(client)
                    await until(lambda: not fleet.plane._listener.open_requests)
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(scenario())

    def test_request_that_waits_for_its_connection(self) -> None:
        async def scenario() -> None:
            exchange_started, may_connect = asyncio.Event(), asyncio.Event()
            exchange = UpstreamPool.exchange

            async def delayed_exchange(pool: UpstreamPool, *arguments: Any) -> Any:
                exchange_started.set()
                await may_connect.wait()
                return await exchange(pool, *arguments)

            async with Fleet(served(), document=document()) as fleet:
                with mock.patch.object(UpstreamPool, "exchange", delayed_exchange):
                    client = await fleet.client()
                    client.write("/unsafe/x")
                    await within(exchange_started.wait())
                    await close(client)
                    await until(lambda: not fleet.plane._listener.open_requests)
                    may_connect.set()
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        run(scenario())

    def test_request_pipelined_behind_another_one(self) -> None:
        async def scenario() -> None:
            async with Fleet(silent, silent, document=document()) as fleet:
                client = await fleet.client()
                client.write("/safe/x")
                client.write("/safe/x")
                await until(lambda: any(upstream.asked for upstream in fleet.upstreams))
                await close(client)
                async with asyncio.timeout(DISCONNECT_DETECTION_S):
                    while fleet.plane._listener.open_requests:
                        await asyncio.sleep(0)
                self.assertEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 1)

        run(scenario())


if __name__ == "__main__":
    unittest.main()
