"""Stories of planned work: a signal, a new configuration, an upstream that leaves. No request is cut."""

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

Work = Callable[[Fleet], Awaitable[None]]
# Shorter than connections are taken for where there is time.
GRACE_S = 1.2
END = b"0\r\n\r\n"
STREAMING = ("POST /stream/", "POST /resumable/")


class HeldUpstream:
    """Keeps each request until it is told to go on; a stream has given its first event by then."""

    def __init__(self) -> None:
        self.goes_on = asyncio.Event()

    async def __call__(self, message: Message, writer: Writer) -> None:
        if not message.start.startswith(STREAMING):
            await self.goes_on.wait()
            await served()(message, writer)
            return
        writer.write(stream_head(message) + chunk(event(1)))
        await self.goes_on.wait()
        writer.write(chunk(event(2)) + END)


async def changes_seeds(fleet: Fleet) -> None:
    """As SIGHUP, or the settings file without it, has the process do."""
    fleet.plane.apply_settings(settings(fleet.control.port, seeds=["127.0.0.9:1"]))


async def drops_routes_and_shortens_times(fleet: Fleet) -> None:
    """A new configuration without the routes, keys and service that the requests use."""
    changed = document(
        7,
        routes=[{**document()["routes"][0], "path_prefix": "/other/", "service": "other"}],
        services=[{"name": "other", "max_connections": 1}],
        tenants=[],
        limits={"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1, "idle_timeout_ms": 1},
    )
    await fleet.control.publish(changed)
    await until(lambda: ConfigurationApplied(7) in fleet.control.received)


async def loses_all_control_planes(fleet: Fleet) -> None:
    await fleet.control.close()
    await until(lambda: not fleet.plane.subscriber.open_links)


def upstream_enters(state: str) -> Work:
    async def enters(fleet: Fleet) -> None:
        await fleet.control.register(record(fleet.upstreams[0], "i-0", state, 2))
        await until(lambda: not fleet.ready_instances())

    return enters


async def begins_to_end(fleet: Fleet) -> None:
    """As SIGTERM has the process do."""
    fleet.ending = asyncio.get_running_loop().create_task(fleet.plane.drain())  # type: ignore[attr-defined]
    await until(lambda: fleet.plane._phase is Phase.FINISHING)


def unchunked(body: bytes) -> bytes:
    """The payload of a chunked body that ends: how events are spread over chunks depends on the machine."""
    payload = b""
    while body != END:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        payload += rest[:length]
        body = rest[length:].removeprefix(b"\r\n")
    return payload


class RequestsThatRun(unittest.TestCase):
    def assert_end_whole(self, work: Work) -> None:
        async def story() -> None:
            held = HeldUpstream()
            async with Fleet(held, document=document()) as fleet:
                clients = [await fleet.client() for _ in range(4)]
                for client, path in zip(
                    clients, ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"), strict=True
                ):
                    client.write(path)
                await until(lambda: len(fleet.upstreams[0].asked) == len(clients))
                await work(fleet)
                held.goes_on.set()
                for client in clients[:2]:
                    got = await client.read()
                    self.assertEqual((got.status, got.header("X-Upstream-Signature")), (200, SIGNATURE))
                for client in clients[2:]:
                    answer = await within(client.caller.reader.readuntil(END))
                    body = answer.partition(b"\r\n\r\n")[2]
                    self.assertEqual(event(1) + event(2), unchunked(body))
                self.assertEqual(len(fleet.upstreams[0].asked), len(clients))

        run(story())

    def test_end_whole_after_a_change_of_the_settings(self) -> None:
        self.assert_end_whole(changes_seeds)

    def test_end_whole_after_a_configuration_that_drops_what_they_use(self) -> None:
        self.assert_end_whole(drops_routes_and_shortens_times)

    def test_end_whole_without_any_control_plane(self) -> None:
        self.assert_end_whole(loses_all_control_planes)

    def test_end_whole_at_an_upstream_that_drains_or_deregisters_without_a_word_before(self) -> None:
        for state in ("draining", "gone"):
            self.assert_end_whole(upstream_enters(state))

    def test_end_whole_in_a_process_that_ends(self) -> None:
        self.assert_end_whole(begins_to_end)

    def test_that_were_cut_would_be_noticed(self) -> None:
        async def cuts(fleet: Fleet) -> None:
            await fleet.plane.pool.close()

        with self.assertRaises((AssertionError, asyncio.IncompleteReadError)):
            self.assert_end_whole(cuts)


class AnUpstreamThatOnlyDeregisters(unittest.TestCase):
    """It never said that it drains, and serves what it has."""

    def test_gets_nothing_new_whatever_late_heartbeats_say(self) -> None:
        async def story() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                leaving, staying = fleet.upstreams
                for _ in range(4):  # so that connections to both stand
                    self.assertEqual((await fleet.ask()).status, 200)
                leaving.asked.clear()
                await fleet.control.register(record(leaving, "i-0", "gone", 3))
                await until(lambda: fleet.ready_instances() == ("i-1",))
                for late in (
                    record(leaving, "i-0", "ready", 2),
                    record(leaving, "i-0", "ready", 9),
                    record(leaving, "i-0", "draining", 4),
                ):
                    await fleet.control.register(late)
                await fleet.control.register(record(staying, "i-2"))  # comes behind those
                await until(lambda: "i-2" in fleet.ready_instances())
                for _ in range(12):
                    self.assertEqual((await fleet.ask()).status, 200)
                self.assertEqual((leaving.asked, set(fleet.ready_instances())), ([], {"i-1", "i-2"}))

        run(story())

    def test_gets_nothing_that_waited_for_its_connection(self) -> None:
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
                    await upstream_enters("gone")(fleet)
                    may_go_on.set()
                    got = await client.read()
                self.assertEqual((got.status, fleet.upstreams[0].asked), (503, []))
                self.assertIsNotNone(got.header("Retry-After"))

        run(story())


class AShortGrace(unittest.TestCase):
    """The process ends within it, whatever it is, and most of it is for requests that run."""

    def test_is_kept_and_serves_what_ends_within_half_of_it(self) -> None:
        async def story() -> None:
            held = HeldUpstream()
            bounds = {"grace_s": GRACE_S, "retry_slack": 50, "quota_slack": 0}
            async with Fleet(held, document=document(), bounds=bounds) as fleet:
                fleet.plane._still_accepting_s = STILL_ACCEPTING_S
                loop = asyncio.get_running_loop()
                client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: len(fleet.upstreams[0].asked) == 1)
                began_s = loop.time()
                ending = loop.create_task(fleet.plane.drain())
                loop.call_at(began_s + GRACE_S / 2, held.goes_on.set)
                self.assertEqual((await client.read()).status, 200)
                await within(ending)
                self.assertLess(loop.time() - began_s, GRACE_S)

        run(story())

    def test_that_runs_out_leaves_a_promise_for_what_was_never_sent(self) -> None:
        async def story() -> None:
            bounds = {"grace_s": GRACE_S / 4, "retry_slack": 50, "quota_slack": 0}
            async with Fleet(refuses(), document=document(), bounds=bounds) as fleet:
                waits_ms = [1000 * GRACE_S / 2, None]
                with mock.patch.object(Retries, "wait_ms", side_effect=waits_ms) as wait:
                    client = await fleet.client()
                    client.write("/unsafe/x")
                    await until(lambda: wait.called)
                    await fleet.plane.drain()
                    got = await client.read()
                self.assertEqual((got.status, len(fleet.upstreams[0].asked)), (503, 1))

        run(story())


class ReadinessAtThePlannedEnd(unittest.TestCase):
    """From the signal on no question of the platform's is answered with 200."""

    def assert_never_ready_again(self) -> None:
        async def story() -> None:
            held = HeldUpstream()
            async with Fleet(held, document=document()) as fleet:
                client: Client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: len(fleet.upstreams[0].asked) == 1)
                self.assertEqual(await fleet.readiness_status(), 200)
                fleet.plane._still_accepting_s = 0.05
                ending = asyncio.get_running_loop().create_task(fleet.plane.drain())
                await asyncio.sleep(0)
                self.assertEqual(await fleet.readiness_status(), 503)
                await changes_seeds(fleet)
                self.assertEqual(await fleet.readiness_status(), 503)
                await drops_routes_and_shortens_times(fleet)
                self.assertEqual(await fleet.readiness_status(), 503)
                await fleet.plane.drain()  # a second signal
                self.assertEqual(await fleet.readiness_status(), 503)
                await until(lambda: fleet.plane._phase is Phase.FINISHING)
                self.assertEqual(await fleet.readiness_status(), 503)
                held.goes_on.set()
                self.assertEqual((await client.read()).status, 200)
                await within(ending)
                with self.assertRaises(ConnectionError):
                    await fleet.readiness_status()

        run(story())

    def test_is_over_at_once_and_for_good(self) -> None:
        self.assert_never_ready_again()

    def test_that_went_on_would_be_noticed(self) -> None:
        still_ready = property(lambda plane: plane.subscriber.is_ready)
        with mock.patch.object(DataPlane, "is_ready", still_ready), self.assertRaises(AssertionError):
            self.assert_never_ready_again()


if __name__ == "__main__":
    unittest.main()
