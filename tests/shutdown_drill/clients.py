"""The drill's clients: each sends its requests on one connection until the process closes it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Protocol

import msgspec

from tests.dataplane.fleet import CLIENT_HOST
from tests.examples import HOST
from tests.shutdown_drill.plans import LONG_BODY_BYTES, RequestPlan, Sending

SHORT_BODY = b"hello, process"
PARTS = 4
SLOW_READER_S = 0.5
# Far beyond any grace period; only a connection that nobody ever closes gets there.
GIVE_UP_S = 20.0
DEADLINE_MS = 15_000


class Sent(msgspec.Struct):
    """One request as its client saw it. Times are on the loop's clock.

    Attributes:
        request_id: Its id.
        plan: What it was to do.
        whole_s: When its last byte had been written; None if it never was.
        status: The status of the answer; 0 if no whole head came.
        headers: The headers of the answer, their names in lower case.
        is_complete: Whether the answer came whole.
        ended_s: When the answer or the connection ended.
    """

    request_id: str
    plan: RequestPlan
    whole_s: float | None = None
    status: int = 0
    headers: dict[str, str] = {}
    is_complete: bool = False
    ended_s: float = 0.0


class PlannedClient:
    """One client."""

    def __init__(self, port: int, plans: dict[str, RequestPlan], numbers: itertools.count[int]) -> None:
        """`plans` is told the plan of each request before it is sent."""
        self._port, self._plans, self._numbers = port, plans, numbers
        self.sent: list[Sent] = []

    async def run(self, plans: tuple[RequestPlan, ...]) -> None:
        """Send these requests, one after the other, until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, self._port)
        try:
            for plan in plans:
                sent = Sent(f"r-{next(self._numbers)}", plan)
                self._plans[sent.request_id] = plan
                self.sent.append(sent)
                async with asyncio.timeout(GIVE_UP_S):
                    await self._exchange(reader, writer, sent)
                if not sent.is_complete or sent.headers.get("connection") == "close":
                    return
                await asyncio.sleep(plan.pause_s)
        finally:
            writer.transport.abort()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent: Sent) -> None:
        """Write a request and read its answer at the same time, as an answer may come early."""
        writing = asyncio.create_task(_write(writer, sent))
        try:
            if sent.plan.reads_slowly:
                await asyncio.sleep(SLOW_READER_S)
            await read_answer(reader, sent)
        except (OSError, EOFError):
            pass
        finally:
            sent.ended_s = asyncio.get_running_loop().time()
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)


async def _write(writer: asyncio.StreamWriter, sent: Sent) -> None:
    plan = sent.plan
    body = b"x" * LONG_BODY_BYTES if plan.sending is Sending.LONG else SHORT_BODY
    head = [
        f"POST /{plan.route}/x HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        "X-Key: k-acme",
        f"X-Request-Id: {sent.request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"Content-Length: {len(body)}",
    ]
    with contextlib.suppress(OSError):
        writer.write("\r\n".join([*head, "", ""]).encode())
        for part in _parts(plan.sending, body):
            if plan.sending is not Sending.AT_ONCE:
                await asyncio.sleep(plan.pause_s)
            writer.write(part)
            await writer.drain()
        if plan.sending is not Sending.UNFINISHED:
            sent.whole_s = asyncio.get_running_loop().time()


def _parts(sending: Sending, body: bytes) -> list[bytes]:
    match sending:
        case Sending.IN_PARTS:
            size = -(-len(body) // PARTS)
            return [body[begin : begin + size] for begin in range(0, len(body), size)]
        case Sending.UNFINISHED:
            return [body[:-1]]
        case _:
            return [body]


class Answer(Protocol):
    """What is noted of an answer."""

    status: int
    headers: dict[str, str]
    is_complete: bool


async def read_answer(reader: asyncio.StreamReader, sent: Answer) -> None:
    """Read an answer by its framing, and note what has come; OSError or EOFError if it ends early."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    lines = (line.partition(":") for line in head[1:] if line)
    sent.headers = {name.lower(): value.strip() for name, _, value in lines}
    sent.status = int(head[0].split()[1])
    if sent.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")
    else:
        await reader.readexactly(int(sent.headers["content-length"]))
    sent.is_complete = True
