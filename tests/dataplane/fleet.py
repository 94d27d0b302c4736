"""An in-process data plane with a fake control plane and fake upstreams on loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web

from madderwind.dataplane.service import DataPlane
from madderwind.messages.distribution import (
    ConfigurationSnapshot,
    ControlPlanes,
    FetchConfiguration,
    Freshness,
    RegistrySnapshot,
    ToControlPlane,
    ToDataPlane,
    UpstreamRecord,
    to_control_plane,
    to_data_plane,
)
from madderwind.node_settings import CONTROL_PLANE_PORT, NodeSettings, parse_settings
from tests.examples import HOST
from tests.standins import Behaviour, Caller, Message, Upstream, Writer, answer

__all__ = ["Message", "Writer", "answer"]

SIGNATURE = "3e1b.07"
CLIENT_HOST = "shop.example"


class ControlPlane:
    """A fake control plane: publishes a configuration and a registry, records the messages it receives."""

    def __init__(self, document: dict[str, Any] | None) -> None:
        self.document = document
        self.records: dict[str, UpstreamRecord] = {}
        self.received: list[ToControlPlane] = []
        self.received_queue: asyncio.Queue[ToControlPlane] = asyncio.Queue()
        self.age_ms: float | None = 0.0
        self._sockets: set[web.WebSocketResponse] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> int:
        application = web.Application()
        application.router.add_get("/subscribe", self._subscribe)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, port, reuse_address=True).start()
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())
        self.port = int(self._runner.addresses[0][1])
        return self.port

    async def close(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for socket in list(self._sockets):
            await socket.close()
        await self._runner.cleanup()

    @property
    def version(self) -> int:
        return 0 if self.document is None else int(self.document["version"])

    async def publish(self, document: dict[str, Any]) -> None:
        self.document = document
        await self.broadcast(self._freshness())

    async def register(self, *records: UpstreamRecord) -> None:
        self.records.update({record.instance: record for record in records})
        await self.broadcast(RegistrySnapshot(records))

    async def broadcast(self, message: ToDataPlane) -> None:
        for socket in list(self._sockets):
            await socket.send_bytes(to_data_plane.encode(message))

    def _freshness(self) -> Freshness:
        clock_ms = asyncio.get_running_loop().time() * 1000.0
        return Freshness(self.version, 1, self.age_ms, True, 1, clock_ms)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.broadcast(self._freshness())

    async def _subscribe(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        address = f"{HOST}:{self.port}"
        for message in (
            ControlPlanes((address,), address),
            RegistrySnapshot(tuple(self.records.values())),
            self._freshness(),
        ):
            await socket.send_bytes(to_data_plane.encode(message))
        self._sockets.add(socket)
        async for frame in socket:
            received = to_control_plane.decode(frame.data)
            self.received.append(received)
            self.received_queue.put_nowait(received)
            if isinstance(received, FetchConfiguration) and self.document is not None:
                snapshot = ConfigurationSnapshot(self.version, json.dumps(self.document).encode())
                await socket.send_bytes(to_data_plane.encode(snapshot))
        self._sockets.discard(socket)
        return socket


def document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a safe, an unsafe, a plain streaming, a resumable and a quick route."""

    def route(name: str, route_type: str, **overrides: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": CLIENT_HOST,
            "path_prefix": f"/{name}/",
            "route_type": route_type,
            "timeout_ms": 5000,
            "target_latency_ms": 3000,
            "priority": 3,
            "service": "app",
            "max_attempts": 2,
            **overrides,
        }

    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("unsafe", "unsafe"),
            route("stream", "streaming"),
            route("resumable", "streaming", resumable=True),
            route("quick", "safe", timeout_ms=120),
        ],
        "services": [{"name": "app", "health_path": "/health", "max_connections": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "acme", "api_keys": ["k-acme"], "priority": 1},
            {"name": "thrifty", "api_keys": ["k-thrifty"], "unit": "requests", "rate_per_s": 1, "burst": 1},
        ],
        **changes,
    }


def settings(control_port: int, **changes: Any) -> NodeSettings:
    """Return data plane settings whose internal ports make the seed the control plane at `control_port`."""
    raw = {
        "node": "front-1",
        "ip": HOST,
        "zone": "z1",
        "listen": {"front": f"{HOST}:0", "ready": f"{HOST}:0"},
        "internal_ports": [control_port - CONTROL_PLANE_PORT, control_port + 10],
        "seeds": [f"{HOST}:1"],
        "bootstrap": True,
        "bounds": {"retry_slack": 50, "quota_slack": 0, "grace_s": 8},
        **changes,
    }
    return parse_settings(json.dumps(raw).encode())


def record(upstream: Upstream, instance: str, state: str = "ready", sequence: int = 1) -> UpstreamRecord:
    address = f"{HOST}:{upstream.port}"
    return UpstreamRecord(instance, "app", address, "z1", "v1", 8, state, sequence, 0.0, 0.0)


def served(body: bytes = b"yes", status: int = 200, **headers: str) -> Behaviour:
    """Answer as a real upstream does, with the id of the request and the upstream's signature."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = message.header("X-Request-Id") or ""
        writer.write(answer(status, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE, **headers))

    return behave


def refuses(status: int = 503) -> Behaviour:
    """Refuse the request and state with X-Not-Executed that it was not executed."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = message.header("X-Request-Id") or ""
        writer.write(answer(status, X_Request_Id=request_id, X_Not_Executed="1"))

    return behave


def event(number: int, text: str = "tok") -> bytes:
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


def stream_head(message: Message) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"X-Request-Id: {message.header('X-Request-Id')}\r\nX-Upstream-Signature: {SIGNATURE}\r\n\r\n"
    ).encode()


class Fleet:
    """One data plane, one control plane and several upstreams, as an async context manager."""

    def __init__(self, *behaviours: Behaviour, document: dict[str, Any] | None, **settings: Any) -> None:
        self.upstreams = [Upstream(behave) for behave in behaviours]
        self.control = ControlPlane(document)
        self._settings = settings
        self.log: list[tuple[str, dict[str, object]]] = []
        self._request_ids = itertools.count(1)
        self._clients: list[Client] = []

    async def __aenter__(self) -> Fleet:
        for upstream in self.upstreams:
            await upstream.start()
        for number, upstream in enumerate(self.upstreams):
            self.control.records[f"i-{number}"] = record(upstream, f"i-{number}")
        port = await self.control.start()
        node_settings = settings(port, **self._settings)
        self.plane = DataPlane(node_settings, self._record_event, random.Random(1), still_accepting_s=0.0)
        self.port, self.ready_port = await self.plane.start()
        if self.control.document is not None:
            await until(lambda: self.plane.is_ready and len(self.ready_instances()) == len(self.upstreams))
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self._clients:
            client.caller.writer.transport.abort()
        await self.plane.close()
        await self.control.close()
        for upstream in self.upstreams:
            await upstream.__aexit__()

    def ready_instances(self) -> Sequence[str]:
        return self.plane.upstreams.ready_of_service("app")

    def _record_event(self, event: str, /, **fields: object) -> None:
        self.log.append((event, fields))

    async def client(self) -> Client:
        client = Client(await Caller.connect(self.port), self._request_ids)
        self._clients.append(client)
        return client

    async def ask(self, path: str = "/safe/x", **request: Any) -> Message:
        return await (await self.client()).ask(path, **request)

    async def readiness_status(self) -> int:
        """Return the status that the platform's readiness probe gets."""
        caller = await Caller.connect(self.ready_port)
        try:
            return (await caller.ask("GET /ready")).status
        finally:
            caller.close()


class Client:
    """One client connection, whose requests carry the headers that clients of the system send."""

    def __init__(self, caller: Caller, request_ids: itertools.count[int]) -> None:
        self.caller, self._request_ids = caller, request_ids

    def write(
        self, path: str = "/safe/x", method: str = "POST", body: bytes = b"hi", **headers: str | None
    ) -> str:
        request_id = f"r-{next(self._request_ids)}"
        header_values: dict[str, Any] = {
            "Host": CLIENT_HOST,
            "X-Trace-Id": None,
            "X-Customer": None,
            "X-Expires-In-Ms": None,
            "X-Request-Id": request_id,
            "X-Key": "k-acme",
            "X-Deadline-Ms": "4000",
            **headers,
        }
        self.caller.write(f"{method} {path}", body, **header_values)
        return request_id

    async def read(self) -> Message:
        return await self.caller.read()

    async def ask(self, path: str = "/safe/x", **request: Any) -> Message:
        self.write(path, **request)
        return await self.read()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fail if it does not within 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)
