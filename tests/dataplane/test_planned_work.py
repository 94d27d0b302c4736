"""Planned work interrupts no request: a signal, a new configuration, an upstream that leaves."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from madderwind.dataplane.retrying import Retries
from madderwind.dataplane.service import STILL_ACCEPTING_S, DataPlane, Phase
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.messages.distribution import ConfigurationApplied
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    SIGNATURE,
    Client,
    Fleet,
    Message,
    Writer,
    document,
    event,
    record,
    refuses,
    served,
    settings,
    stream_head,
    until,
)
from tests.standins import run, within

PlannedWork = Callable[[Fleet], Awaitable[None]]
# Shorter than STILL_ACCEPTING_S, for which a process with enough time still accepts connections.
GRACE_S = 1.2
LAST_CHUNK = b"0\r\n\r\n"
STREAMING_REQUEST_LINES = ("POST /stream/", "POST /resumable/")


class BlockedUpstream:
    """Delays each response until `released` is set; a stream sends its first event before that."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def __call__(self, message: Message, writer: Writer) -> None:
        if not message.start.startswith(STREAMING_REQUEST_LINES):
            await self.released.wait()
            await served()(message, writer)
            return
        writer.write(stream_head(message) + chunk(event(1)))
        await self.released.wait()
        writer.write(chunk(event(2)) + LAST_CHUNK)


async def change_seeds(fleet: Fleet) -> None:
    """Apply changed settings, as the process does after SIGHUP or when the settings file changes."""
    fleet.plane.apply_settings(settings(fleet.control.port, seeds=["127.0.0.9:1"]))


async def drop_routes_and_shorten_timeouts(fleet: Fleet) -> None:
    """Publish a configuration without the routes, keys and service that the requests use."""
    changed = document(
        7,
        routes=[{**document()["routes"][0], "path_prefix": "/other/", "service": "other"}],
        services=[{"name": "other", "max_connections": 1}],
        tenants=[],
        limits={"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1, "idle_timeout_ms": 1},
    )
    await fleet.control.publish(changed)
    await until(lambda: ConfigurationApplied(7) in fleet.control.received)


async def lose_all_control_planes(fleet: Fleet) -> None:
    await fleet.control.close()
    await until(lambda: not fleet.plane.subscriber.open_links)


def upstream_state_change(state: str) -> PlannedWork:
    async def change_state(fleet: Fleet) -> None:
        await fleet.control.register(record(fleet.upstreams[0], "i-0", state, 2))
        await until(lambda: not fleet.ready_instances())

    return change_state


async def begin_shutdown(fleet: Fleet) -> None:
    """Begin the shutdown, as the process does on SIGTERM."""
    fleet.shutdown_task = asyncio.get_running_loop().create_task(fleet.plane.drain())  # type: ignore[attr-defined]
    await until(lambda: fleet.plane._phase is Phase.FINISHING)


def decode_chunks(body: bytes) -> bytes:
    """Return the payload of a chunked body; how events are split into chunks depends on the machine."""
    payload = b""
    while body != LAST_CHUNK:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        payload += rest[:length]
        body = rest[length:].removeprefix(b"\r\n")
    return payload


class RunningRequests(unittest.TestCase):
    def assert_complete(self, work: PlannedWork) -> None:
        async def scenario() -> None:
            blocked = BlockedUpstream()
            async with Fleet(blocked, document=document()) as fleet:
                clients = [await fleet.client() for _ in range(4)]
                for client, path in zip(
                    clients, ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"), strict=True
                ):
                    client.write(path)
                await until(lambda: len(fleet.upstreams[0].asked) == len(clients))
                await work(fleet)
                blocked.released.set()
                for client in clients[:2]:
                    response = await client.read()
                    self.assertEqual(
                        (response.status, response.header("X-Upstream-Signature")), (200, SIGNATURE)
                    )
                for client in clients[2:]:
                    stream = await within(client.caller.reader.readuntil(LAST_CHUNK))
                    body = stream.partition(b"\r\n\r\n")[2]
                    self.assertEqual(event(1) + event(2), decode_chunks(body))
                self.assertEqual(len(fleet.upstreams[0].asked), len(clients))

        run(scenario())

    def test_complete_after_a_change_of_the_settings(self) -> None:
        self.assert_complete(change_seeds)

    def test_complete_after_a_configuration_without_their_routes(self) -> None:
        self.assert_complete(drop_routes_and_shorten_timeouts)

    def test_complete_without_any_control_plane(self) -> None:
        self.assert_complete(lose_all_control_planes)

    def test_complete_at_an_upstream_that_drains_or_deregisters_without_notice(self) -> None:
        for state in ("draining", "gone"):
            self.assert_complete(upstream_state_change(state))

    def test_complete_in_a_process_that_shuts_down(self) -> None:
        self.assert_complete(begin_shutdown)

    def test_interruption_is_detected(self) -> None:
        async def close_upstream_connections(fleet: Fleet) -> None:
            await fleet.plane.pool.close()

        with self.assertRaises((AssertionError, asyncio.IncompleteReadError)):
            self.assert_complete(close_upstream_connections)


class UpstreamThatOnlyDeregisters(unittest.TestCase):
    """An upstream that deregisters without draining first, and still serves the requests that it has."""

    def test_gets_no_new_request_despite_late_heartbeats(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                leaving, staying = fleet.upstreams
                for _ in range(4):  # opens connections to both upstreams
                    self.assertEqual((await fleet.ask()).status, 200)
                leaving.asked.clear()
                await fleet.control.register(record(leaving, "i-0", "gone", 3))
                await until(lambda: fleet.ready_instances() == ("i-1",))
                for late_record in (
                    record(leaving, "i-0", "ready", 2),
                    record(leaving, "i-0", "ready", 9),
                    record(leaving, "i-0", "draining", 4),
                ):
                    await fleet.control.register(late_record)
                await fleet.control.register(record(staying, "i-2"))  # arrives after the late records
                await until(lambda: "i-2" in fleet.ready_instances())
                for _ in range(12):
                    self.assertEqual((await fleet.ask()).status, 200)
                self.assertEqual((leaving.asked, set(fleet.ready_instances())), ([], {"i-1", "i-2"}))

        run(scenario())

    def test_gets_no_request_that_waited_for_its_connection(self) -> None:
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
                    await upstream_state_change("gone")(fleet)
                    may_connect.set()
                    response = await client.read()
                self.assertEqual((response.status, fleet.upstreams[0].asked), (503, []))
                self.assertIsNotNone(response.header("Retry-After"))

        run(scenario())


class ShortGracePeriod(unittest.TestCase):
    """The process ends within any grace period, and most of the period is left to running requests."""

    def test_process_ends_within_it_and_serves_a_request_that_takes_half_of_it(self) -> None:
        async def scenario() -> None:
            blocked = BlockedUpstream()
            bounds = {"grace_s": GRACE_S, "retry_slack": 50, "quota_slack": 0}
            async with Fleet(blocked, document=document(), bounds=bounds) as fleet:
                fleet.plane._still_accepting_s = STILL_ACCEPTING_S
                loop = asyncio.get_running_loop()
                client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: len(fleet.upstreams[0].asked) == 1)
                started_s = loop.time()
                shutdown = loop.create_task(fleet.plane.drain())
                loop.call_at(started_s + GRACE_S / 2, blocked.released.set)
                self.assertEqual((await client.read()).status, 200)
                await within(shutdown)
                self.assertLess(loop.time() - started_s, GRACE_S)

        run(scenario())

    def test_expiry_gives_503_for_a_refused_request_that_waits_for_its_retry(self) -> None:
        async def scenario() -> None:
            bounds = {"grace_s": GRACE_S / 4, "retry_slack": 50, "quota_slack": 0}
            async with Fleet(refuses(), document=document(), bounds=bounds) as fleet:
                waits_ms = [1000 * GRACE_S / 2, None]
                with mock.patch.object(Retries, "wait_ms", side_effect=waits_ms) as wait:
                    client = await fleet.client()
                    client.write("/unsafe/x")
                    await until(lambda: wait.called)
                    await fleet.plane.drain()
                    response = await client.read()
                self.assertEqual((response.status, len(fleet.upstreams[0].asked)), (503, 1))

        run(scenario())


class ReadinessDuringShutdown(unittest.TestCase):
    """From the signal on, no readiness probe of the platform is answered with 200."""

    def assert_never_ready_again(self) -> None:
        async def scenario() -> None:
            blocked = BlockedUpstream()
            async with Fleet(blocked, document=document()) as fleet:
                client: Client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: len(fleet.upstreams[0].asked) == 1)
                self.assertEqual(await fleet.readiness_status(), 200)
                fleet.plane._still_accepting_s = 0.05
                shutdown = asyncio.get_running_loop().create_task(fleet.plane.drain())
                await asyncio.sleep(0)
                self.assertEqual(await fleet.readiness_status(), 503)
                await change_seeds(fleet)
                self.assertEqual(await fleet.readiness_status(), 503)
                await drop_routes_and_shorten_timeouts(fleet)
                self.assertEqual(await fleet.readiness_status(), 503)
                await fleet.plane.drain()  # a second signal
                self.assertEqual(await fleet.readiness_status(), 503)
                await until(lambda: fleet.plane._phase is Phase.FINISHING)
                self.assertEqual(await fleet.readiness_status(), 503)
                blocked.released.set()
                self.assertEqual((await client.read()).status, 200)
                await within(shutdown)
                with self.assertRaises(ConnectionError):
                    await fleet.readiness_status()

        run(scenario())

    def test_process_is_not_ready_from_the_signal_on(self) -> None:
        self.assert_never_ready_again()

    def test_continued_readiness_is_detected(self) -> None:
        still_ready = property(lambda plane: plane.subscriber.is_ready)
        with mock.patch.object(DataPlane, "is_ready", still_ready), self.assertRaises(AssertionError):
            self.assert_never_ready_again()


if __name__ == "__main__":
    unittest.main()
