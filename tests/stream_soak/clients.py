"""Clients of the soak: each keeps its connection for many requests, until the process there is gone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Sequence

from madderwind.testing.local_fleet.checker import NOT_EXECUTED_STATUSES
from tests.stream_soak.runs import OK, Received, RequestKind

CLIENT_HOST = "soak.example"
DEADLINE_MS, SILENCE_S, CONNECT_S = 6000, 4.0, 1.0
MAX_EVENTS = 60
MAX_THINK_S = 0.4
KEPT_REQUESTS = 30  # requests on one connection on average


class _Connection:
    def __init__(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node, self.reader, self.writer = node, reader, writer


class SoakClient:
    """One client: sends one request after the other, and resumes a stream once that broke off."""

    def __init__(self, fronts: Sequence[tuple[str, str]], kinds: Sequence[RequestKind], seed: int) -> None:
        """`fronts`: the name and the address of each data plane."""
        self._fronts, self._kinds, self._rng = fronts, kinds, random.Random(seed)
        self._connection: _Connection | None = None
        self.received: list[Received] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        weights = [kind.weight for kind in self._kinds]
        try:
            while True:
                [kind] = self._rng.choices(self._kinds, weights)
                await self._request(kind)
                await asyncio.sleep(self._rng.uniform(0, MAX_THINK_S))
        finally:
            self._disconnect()

    async def _request(self, kind: RequestKind) -> None:
        total = (
            min(MAX_EVENTS, 1 + int(self._rng.expovariate(1 / kind.mean_events))) if kind.mean_events else 0
        )
        received = await self._attempt(kind, total, after=0)
        is_promise = received.status in NOT_EXECUTED_STATUSES and received.is_complete
        is_broken = not received.is_complete
        may_resume = is_broken and (kind.is_resumable or kind.is_idempotent)
        if (is_promise or may_resume) and received.last_complete_event < max(1, total):
            await self._attempt(kind, total, received.last_complete_event if total else 0)

    async def _attempt(self, kind: RequestKind, total: int, after: int) -> Received:
        received = Received(kind, secrets.token_hex(8), "", events_wanted=total, after=after)
        self.received.append(received)
        try:
            connection = await self._connected()
            received.node = connection.node
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                connection.writer.write(_encoded(received))
                await _read_response(connection.reader, received)
            if self._rng.random() < 1 / KEPT_REQUESTS:
                self._disconnect()
        except (OSError, EOFError, TimeoutError, ValueError):
            self._disconnect()
        return received

    async def _connected(self) -> _Connection:
        if self._connection is None:
            node, address = self._rng.choice(self._fronts)
            host, _, port = address.rpartition(":")
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            self._connection = _Connection(node, reader, writer)
        return self._connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None


def _encoded(received: Received) -> bytes:
    lines = [
        f"POST /{received.kind.name}/2f HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        f"X-Request-Id: {received.request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        "Content-Length: 2",
    ]
    if received.events_wanted:
        lines += ["X-Model: m", f"X-Token-Usage: 100,{received.events_wanted}", "X-Prompt-Prefix: a1:100"]
    if received.after:
        lines.append(f"Last-Event-Id: {received.after}")
    return "\r\n".join((*lines, "", "{}")).encode()


async def _read_response(reader: asyncio.StreamReader, received: Received) -> None:
    """Read a response by its framing; what arrived stays in `received` if it ends early."""
    async with asyncio.timeout(SILENCE_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    received.signature = headers.get("x-upstream-signature", "")
    received.status = int(head[0].split()[1])
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await _within(reader.readuntil(b"\r\n"))).partition(b";")[0], 16):
            received.body += (await _within(reader.readexactly(size + 2)))[:-2]
        await _within(reader.readuntil(b"\r\n"))
    else:
        received.body = await _within(reader.readexactly(int(headers.get("content-length", 0))))
    received.is_complete = True
    if headers.get("connection", "").lower() == "close":
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await _within(reader.readexactly(1))
        raise ConnectionResetError


async def _within(awaitable: asyncio.Future[bytes] | object) -> bytes:
    async with asyncio.timeout(SILENCE_S):
        return await awaitable  # type: ignore[misc,no-any-return]


def is_served(received: Received) -> bool:
    """Whether the whole response is a success."""
    return received.is_complete and received.status == OK
