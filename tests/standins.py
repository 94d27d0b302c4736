"""Small stand-ins on loopback sockets: upstreams, discovery's agent, a caller. No load, no simulation."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from madderwind.testing.fault_tests.relay import reset
from madderwind.testing.fault_tests.wire import Message, answer, chunk, read_message
from tests.examples import HOST

__all__ = ["Message", "answer", "read_message", "reset"]  # for the tests, from one place with the stand-ins

WAIT_S = 10.0  # how long a test waits for what must come; no test passes by waiting


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine, within a time that is never reached but by a fault."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT_S):
            await test

    asyncio.run(bounded())


Writer = asyncio.StreamWriter
Behaviour = Callable[[Message, Writer], Awaitable[None]]


def says(*answers: bytes) -> Behaviour:
    """Gives these answers in turn, the last one for good."""
    left = list(answers)

    async def behave(_: Message, writer: Writer) -> None:
        writer.write(left.pop(0) if len(left) > 1 else left[0])

    return behave


async def silent(_: Message, __: Writer) -> None:
    """Takes the request and says nothing."""


async def resets(_: Message, writer: Writer) -> None:
    writer.transport.abort()


class Upstream:
    """Listens on a free port, keeps what it was asked, and behaves as told."""

    def __init__(self, behave: Behaviour) -> None:
        self.behave = behave
        self.asked: list[Message] = []
        self.connections = 0
        self.ended: asyncio.Queue[int] = asyncio.Queue()  # connections that the other side ended
        self.arrivals: asyncio.Queue[Message] = asyncio.Queue()
        self._writers: set[Writer] = set()

    async def start(self) -> Upstream:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def __aenter__(self) -> Upstream:
        return await self.start()

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def address(self) -> tuple[str, int]:
        return HOST, self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.connections += 1
        number = self.connections
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader, number)
                self.asked.append(message)
                self.arrivals.put_nowait(message)
                await self.behave(message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended.put_nowait(number)
            writer.close()
        finally:
            self._writers.discard(writer)


class Agent(Upstream):
    """Discovery's agent: a watch that says what it is told to, in chunks."""

    def __init__(self) -> None:
        super().__init__(self._watch)
        self.first: dict[str, Any] = {"revision": 0, "complete": False, "members": []}
        self.watches: asyncio.Queue[Writer] = asyncio.Queue()

    async def _watch(self, _: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        tell(writer, self.first)
        self.watches.put_nowait(writer)


def tell(writer: Writer, listing: dict[str, Any]) -> None:
    tell_bytes(writer, json.dumps(listing).encode() + b"\n")


def tell_bytes(writer: Writer, raw: bytes) -> None:
    writer.write(chunk(raw))


_trace_ids = itertools.count(0x9B1F03AA5C7E2D41)  # new with every request, also with a client's retry


class Caller:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Caller:
        return cls(*await asyncio.open_connection(HOST, port))

    def write(
        self, start: str = "GET /lookup", body: bytes = b"", wait_ms: int = 3000, **changes: str | None
    ) -> None:
        values: dict[str, str | None] = {
            "Host": "app.svc",
            "X-Trace-Id": f"{next(_trace_ids):016x}",
            "X-Customer": "acme",
            "X-Expires-In-Ms": str(wait_ms),
            "Content-Length": str(len(body)) if body else None,
            **{name.replace("_", "-"): value for name, value in changes.items()},
        }
        lines = [f"{start} HTTP/1.1", *(f"{n}: {v}" for n, v in values.items() if v is not None)]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read(self) -> Message:
        async with asyncio.timeout(WAIT_S):
            return await read_message(self.reader)

    async def ask(self, start: str = "GET /lookup", body: bytes = b"", **changes: Any) -> Message:
        self.write(start, body, **changes)
        return await self.read()

    async def at_end(self) -> bool:
        """Whether the other side ends the connection with nothing more said."""
        try:
            async with asyncio.timeout(WAIT_S):
                return await self.reader.read(1) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


async def within(thing: Awaitable[Any]) -> Any:
    """Wait for what must come."""
    async with asyncio.timeout(WAIT_S):
        return await thing
