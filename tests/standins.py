"""Test doubles on loopback sockets: upstreams, the discovery agent and a client. No load, no simulation."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from madderwind.testing.fault_tests.relay import reset
from madderwind.testing.fault_tests.wire import Message, answer, chunk, read_message
from tests.examples import HOST

__all__ = ["Message", "answer", "read_message", "reset"]  # re-exported for the tests

WAIT_S = 10.0  # timeout for an expected event; no test passes by reaching it


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine with a timeout that only a fault can reach."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * WAIT_S):
            await test

    asyncio.run(run_with_timeout())


Writer = asyncio.StreamWriter
Behaviour = Callable[[Message, Writer], Awaitable[None]]


def says(*answers: bytes) -> Behaviour:
    """Send these answers in turn, and the last one to every later request."""
    remaining_answers = list(answers)

    async def behave(_: Message, writer: Writer) -> None:
        writer.write(remaining_answers.pop(0) if len(remaining_answers) > 1 else remaining_answers[0])

    return behave


async def silent(_: Message, __: Writer) -> None:
    """Read the request and send no answer."""


async def resets(_: Message, writer: Writer) -> None:
    writer.transport.abort()


class Upstream:
    """An upstream on a free port that records its requests and answers each by calling `behave`."""

    def __init__(self, behave: Behaviour) -> None:
        self.behave = behave
        self.asked: list[Message] = []
        self.connections = 0
        self.ended: asyncio.Queue[int] = asyncio.Queue()  # numbers of connections that the peer closed
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
    """The discovery agent: answers a watch with a chunked stream, to which tests add listings with `tell`."""

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


_trace_ids = itertools.count(0x9B1F03AA5C7E2D41)  # unique per request; a client's retry gets a new one too


class Caller:
    """A client with one connection."""

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
        """Whether the peer closes the connection without sending anything more."""
        try:
            async with asyncio.timeout(WAIT_S):
                return await self.reader.read(1) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


async def within(expected: Awaitable[Any]) -> Any:
    """Wait for an expected event, for at most WAIT_S."""
    async with asyncio.timeout(WAIT_S):
        return await expected
