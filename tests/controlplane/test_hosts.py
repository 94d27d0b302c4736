"""Tests of three control planes in one process over loopback, with replicas whose role the test sets."""

from __future__ import annotations

import asyncio
import io
import json
import os
import random
import tempfile
import unittest
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from unittest.mock import patch

import aiohttp
from aiohttp import web
from yarl import URL

from madderwind.configuration import acceptance
from madderwind.configuration.history import ConfigurationHistory
from madderwind.controlplane.core import ControlPlaneCore, CoreOptions
from madderwind.controlplane.effects import Effect, SendToPeer
from madderwind.controlplane.host import ControlPlaneHost
from madderwind.controlplane.internal_server import InternalServer
from madderwind.controlplane.public_server import MAX_COMMAND_BYTES, PublicServer
from madderwind.messages.distribution import (
    ConfigurationApplied,
    ConfigurationSnapshot,
    FetchConfiguration,
    Freshness,
    RegistryDelta,
    RegistrySnapshot,
    Subscribe,
    ToControlPlane,
    ToDataPlane,
    UpstreamRecord,
    to_control_plane,
    to_data_plane,
)
from madderwind.messages.peering import RegistryGossip
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile
from madderwind.structured_log import BatchedOutput, open_log
from tests.controlplane.configurations import replacement_body, route, update
from tests.controlplane.fleet import heartbeat
from tests.controlplane.scripted_replica import ScriptedReplica
from tests.free_ports import LOOPBACK, free_port

DEADLINE_S = 10.0


def free_address() -> str:
    """A loopback address on a free port."""
    return f"{LOOPBACK}:{free_port()}"


class DataPlane:
    """A data plane's WebSocket connection to a control plane."""

    def __init__(self, connection: aiohttp.ClientWebSocketResponse) -> None:
        self.connection = connection
        self.received: list[ToDataPlane] = []

    async def send(self, message: ToControlPlane) -> None:
        await self.connection.send_bytes(to_control_plane.encode(message))

    async def receive_until(self, condition: Callable[[ToDataPlane], bool]) -> ToDataPlane:
        """Receive until a message fulfils the condition, and return that message."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                message = to_data_plane.decode(await self.connection.receive_bytes())
                self.received.append(message)
                if condition(message):
                    return message


class HostsTestCase(unittest.IsolatedAsyncioTestCase):
    core_class: type[ControlPlaneCore] = ControlPlaneCore

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.output = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, self.output)
        self.internal = tuple(free_address() for _ in range(3))
        self.public = [free_address() for _ in range(3)]
        self.history = ConfigurationHistory()
        self.replicas = [ScriptedReplica(address, self.internal, self.history) for address in self.internal]
        self.servers: list[PublicServer] = []
        for number in range(3):
            await self.start(number)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=DEADLINE_S))
        )
        self.make_primary(0)

    async def asyncTearDown(self) -> None:
        await self.stack.aclose()

    def make_primary(self, number: int) -> None:
        for replica in self.replicas:
            replica.primary = self.internal[number]
            replica.epoch += 1

    async def start(self, number: int) -> None:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        log = open_log(f"core-{number}", BatchedOutput(self.output))
        core = self.core_class(
            self.replicas[number],
            CoreOptions(self.internal[number], self.internal, 1000.0, 1),
            random.Random(number),
        )
        host = ControlPlaneHost(
            core,
            RecordFile(FileDisk(folder)),
            RegistryCheckpoint(FileDisk(folder)),
            self.internal[number],
            log,
        )
        public = PublicServer(host, log)
        self.servers.append(public)
        await self.serve(InternalServer(host, log).application(), self.internal[number])
        await self.serve(public.application(), self.public[number])
        host.start()
        self.stack.push_async_callback(host.stop)

    async def serve(self, application: web.Application, address: str) -> None:
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        ip, _, port = address.rpartition(":")
        await web.TCPSite(runner, ip, int(port)).start()
        self.stack.push_async_callback(runner.cleanup)

    def url(self, number: int, path: str) -> str:
        return f"http://{self.public[number]}{path}"

    async def command(self, number: int, path: str, base: str, body: bytes) -> tuple[int, bytes]:
        headers = {"X-Base-Version": base}
        async with self.session.post(self.url(number, path), data=body, headers=headers) as response:
            return response.status, await response.read()

    async def call(self, number: int, instance_call: str, body: bytes = b"") -> int:
        async with self.session.post(self.url(number, f"/instances/{instance_call}"), data=body) as response:
            return response.status

    async def read(self, number: int) -> tuple[int, bytes]:
        async with self.session.get(self.url(number, "/config/read")) as response:
            return response.status, await response.read()

    async def subscribe(self, number: int, node: str = "front-1") -> DataPlane:
        connection = await self.session.ws_connect(f"http://{self.internal[number]}/subscribe")
        data_plane = DataPlane(connection)
        await data_plane.send(Subscribe(node, "1", f"{node}:7501", "z", 0))
        self.stack.push_async_callback(connection.close)
        await data_plane.receive_until(lambda message: isinstance(message, RegistrySnapshot))
        return data_plane


class OperatorApiTest(HostsTestCase):
    async def test_any_machine_serves_commands_and_reads(self) -> None:
        self.assertEqual((await self.read(1))[0], 404)
        self.assertEqual((await self.command(1, "/config/replace", "0", replacement_body(5)))[0], 200)
        self.assertEqual((await self.command(2, "/config/replace", "0", replacement_body(5)))[0], 200)
        self.assertEqual((await self.command(0, "/config/replace", "0", replacement_body(6)))[0], 412)
        self.assertEqual((await self.command(2, "/config/update", "5", update(5, 9).body))[0], 200)
        status, body = await self.read(2)
        self.assertEqual(status, 200)
        self.assertIn(b'"version": 9', body.replace(b'"version":9', b'"version": 9'))

    async def test_an_invalid_command_is_rejected_with_the_field_name(self) -> None:
        status, body = await self.command(1, "/config/replace", "0", replacement_body(5, timeout_ms=0))
        self.assertEqual(status, 400)
        self.assertIn(b"timeout_ms", body)
        for base in ("", "x", "-1", "1.5"):
            self.assertEqual((await self.command(1, "/config/replace", base, replacement_body(5)))[0], 400)

    async def test_a_body_over_the_limit_is_rejected(self) -> None:
        too_long = b" " * (MAX_COMMAND_BYTES + 1)
        self.assertEqual((await self.command(1, "/config/replace", "0", too_long))[0], 413)

    async def test_a_document_over_the_limit_is_rejected_and_smaller_changes_go_on(self) -> None:
        self.assertEqual((await self.command(1, "/config/replace", "0", replacement_body(5)))[0], 200)
        with patch.object(acceptance, "MAX_DOCUMENT_BYTES", len(replacement_body(5)) + 100):
            padded = {"version": 9, "upsert": {"routes": [{**route(0), "note": "x" * 1000}]}}
            status, body = await self.command(1, "/config/update", "5", json.dumps(padded).encode())
            self.assertEqual(status, 413)
            self.assertIn(b"bytes exceed the maximum of", body)
            self.assertEqual((await self.command(2, "/config/update", "5", update(5, 9).body))[0], 200)

    async def test_a_large_body_is_forwarded_to_the_primary(self) -> None:
        body = replacement_body(5, routes=8000)
        self.assertGreater(len(body), 1024 * 1024)
        self.assertEqual((await self.command(1, "/config/replace", "0", body))[0], 200)
        self.assertEqual(await self.read(2), (200, body))

    async def test_without_a_primary_the_response_has_a_retry_after_header(self) -> None:
        for replica in self.replicas:
            replica.primary = ""
        headers = {"X-Base-Version": "0"}
        url = self.url(1, "/config/replace")
        async with self.session.post(url, data=replacement_body(5), headers=headers) as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)

    async def test_a_process_that_shuts_down_rejects_new_calls(self) -> None:
        self.servers[1].reject_new_calls()
        self.assertEqual((await self.command(1, "/config/replace", "0", replacement_body(5)))[0], 503)
        self.assertEqual((await self.read(1))[0], 503)
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 503)
        self.assertEqual(await self.call(1, "i-1/deregister"), 503)


class UpstreamRegistrationTest(HostsTestCase):
    async def test_a_drain_is_published_to_the_data_planes_of_all_machines(self) -> None:
        data_planes = [await self.subscribe(number) for number in range(3)]
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 200)
        self.assertEqual(await self.call(2, "i-1/heartbeat", heartbeat(2, "draining")), 200)
        for data_plane in data_planes:
            await data_plane.receive_until(lambda message: _names_state(message, "draining"))
        self.assertEqual(await self.call(0, "i-1/deregister"), 200)
        for data_plane in data_planes:
            await data_plane.receive_until(lambda message: _names_state(message, "gone"))

    async def test_invalid_and_oversized_heartbeats_are_rejected(self) -> None:
        self.assertEqual(await self.call(1, "i-1/heartbeat", b"{}"), 400)
        self.assertEqual(await self.call(1, "i-1/heartbeat", b" " * 5000), 413)

    async def test_ids_that_no_header_can_hold_are_rejected(self) -> None:
        for instance in ("a%0Ab", "a%0D%0Ab", "%00"):
            for call, body in (("heartbeat", heartbeat(1)), ("deregister", b"")):
                url = URL(self.url(1, f"/instances/{instance}/{call}"), encoded=True)
                async with self.session.post(url, data=body) as response:
                    self.assertEqual(response.status, 400, instance)


class LargeNumbersTest(HostsTestCase):
    """Heartbeats with a number beyond 64 bits in one field."""

    BODIES: tuple[tuple[str, bytes], ...] = (
        ("sequence", heartbeat(20261204181000123456)),
        ("slots", heartbeat(1).replace(b'"slots":4', b'"slots":1e30')),
        ("cold_remaining_ms", heartbeat(1).replace(b'"cold_remaining_ms":0', b'"cold_remaining_ms":1e300')),
    )

    async def test_a_data_plane_can_subscribe_and_a_drain_is_acknowledged(self) -> None:
        # Guards against data planes that are shut out, and drains that wait for a checkpoint (review/8).
        for field, body in self.BODIES:
            self.assertEqual(await self.call(1, f"{field}/heartbeat", body), 200, field)
        for number in range(3):
            data_plane = await self.subscribe(number)
            while not _instances(data_plane.received) >= {field for field, _ in self.BODIES}:
                await data_plane.receive_until(lambda message: isinstance(message, RegistryDelta))
        self.assertEqual(await self.call(2, "i-1/heartbeat", heartbeat(1)), 200)
        self.assertEqual(await self.call(0, "i-1/heartbeat", heartbeat(2, "draining")), 200)


class CoreWithBadEffect(ControlPlaneCore):
    """A core that sends a message which no codec can encode, at each tick and at the heartbeat of "bad"."""

    def tick(self, now_ms: float) -> list[Effect]:
        return [self._bad_effect(), *super().tick(now_ms)]

    def handle_heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        effects = super().handle_heartbeat(now_ms, call, instance, body)
        return [self._bad_effect(), *effects] if instance == "bad" else effects

    def _bad_effect(self) -> SendToPeer:
        record = UpstreamRecord("\ud800", "service", "10.0.0.1:80", "", "", 4, "ready", 1, 0.0, 0.0)
        return SendToPeer(free_address(), RegistryGossip((record,)))


class DroppedEffectsTest(HostsTestCase):
    core_class = CoreWithBadEffect

    async def test_a_message_that_cannot_be_encoded_does_not_end_the_other_effects(self) -> None:
        # Guards against one bad record that keeps a registry and its data planes from everything else.
        data_planes = [await self.subscribe(number) for number in range(3)]
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 200)
        self.assertEqual(await self.call(2, "i-1/heartbeat", heartbeat(2, "draining")), 200)
        for data_plane in data_planes:
            await data_plane.receive_until(lambda message: _names_state(message, "draining"))

    async def test_an_upstream_whose_state_was_not_passed_on_is_told_to_call_again(self) -> None:
        self.assertEqual(await self.call(1, "bad/heartbeat", heartbeat(1)), 503)
        self.assertEqual(await self.call(1, "i-1/heartbeat", heartbeat(1)), 200)


class DataPlaneSubscriptionTest(HostsTestCase):
    async def test_a_data_plane_is_notified_of_a_version_fetches_and_acknowledges_it(self) -> None:
        data_plane = await self.subscribe(0)
        command_task = asyncio.create_task(self.command(1, "/config/replace", "0", replacement_body(5)))
        await data_plane.receive_until(
            lambda message: isinstance(message, Freshness) and message.version == 5
        )
        await data_plane.send(FetchConfiguration(0))
        snapshot = await data_plane.receive_until(lambda message: isinstance(message, ConfigurationSnapshot))
        assert isinstance(snapshot, ConfigurationSnapshot)
        self.assertEqual(snapshot.document, replacement_body(5))
        self.assertFalse(command_task.done())
        await data_plane.send(ConfigurationApplied(5))
        self.assertEqual((await command_task)[0], 200)

    async def test_a_newer_connection_of_the_same_incarnation_closes_the_older(self) -> None:
        older = await self.subscribe(0)
        await self.subscribe(0)
        async with asyncio.timeout(DEADLINE_S):
            while (await older.connection.receive()).type is aiohttp.WSMsgType.BINARY:
                pass
        self.assertTrue(older.connection.closed)

    async def test_an_invalid_message_closes_the_connection(self) -> None:
        data_plane = await self.subscribe(0)
        await data_plane.connection.send_bytes(b"\xff\xff")
        async with asyncio.timeout(DEADLINE_S):
            while (await data_plane.connection.receive()).type is aiohttp.WSMsgType.BINARY:
                pass
        self.assertTrue(data_plane.connection.closed)
        await self.subscribe(0)


class LogFormatTest(unittest.TestCase):
    def test_log_lines_are_json_with_all_fields(self) -> None:
        with tempfile.TemporaryFile() as file:
            log = open_log("core-1", BatchedOutput(file.fileno()))
            log.info("something", count=3, invalid=io.BytesIO)
            file.seek(0)
            line = file.read()
        self.assertIn(b'"event":"something"', line)
        self.assertIn(b'"count":3', line)
        self.assertIn(b'"node":"core-1"', line)
        self.assertTrue(line.endswith(b"}\n"))


def _instances(messages: Iterable[ToDataPlane]) -> set[str]:
    registries = [message for message in messages if isinstance(message, (RegistrySnapshot, RegistryDelta))]
    return {record.instance for message in registries for record in message.upstreams}


def _names_state(message: ToDataPlane, state: str) -> bool:
    return isinstance(message, RegistryDelta) and any(r.state == state for r in message.upstreams)


if __name__ == "__main__":
    unittest.main()
