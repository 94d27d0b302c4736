"""Plays a script of the fuzzer of answers: scripted upstreams and clients around the real forwarding."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from unittest.mock import patch

from madderwind.dataplane import upstream_pool
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.answer_oracle import Broken, Oracle, Request, is_stream, reply_body, said
from tests.dataplane.answer_scripts import (
    Ask,
    Ending,
    Framing,
    Leaving,
    Owner,
    Reply,
    Script,
    Turn,
    Visit,
)
from tests.dataplane.fleet import CLIENT_HOST, SIGNATURE
from tests.dataplane.forwarder import ByteUpstream, ScriptedFleet
from tests.examples import HOST
from tests.standins import Writer, read_message, reset

DEADLINE_MS = 1000
# Longer than any request lasts, and than a late answer takes to arrive.
LONG_S, LATE_S = 3.0, 0.05
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n"
TRAILERS = b"0\r\nX-Checked: yes\r\n\r\n"
READ_SIZE = 1 << 16
SEND_BUFFER_BYTES = 4096

Reader = asyncio.StreamReader
_open_socket = upstream_pool._open_socket


def _small_socket(address_info: object) -> socket.socket:
    """Long bodies wait with their sender, as they do between machines."""
    opened = _open_socket(address_info)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return opened


class Player:
    """One script; raises Broken where the oracle does."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._turns = list(script.turns)
        self.oracle = Oracle()
        self._broken: Broken | None = None
        self._ids: list[str] = []  # of requests that upstreams have had

    async def play(self) -> None:
        """From the first client's first byte until nothing happens any more."""
        upstreams = [ByteUpstream(self._serve) for _ in range(2)]
        with patch.object(upstream_pool, "_open_socket", _small_socket):
            async with ScriptedFleet(*upstreams) as fleet:
                self._port = fleet.port
                for visit in self._script.visits:
                    await self._visit(visit)
                await asyncio.sleep(LONG_S)
        if self._broken is not None:
            raise self._broken
        self.oracle.finish(not any(turn.behind and turn.is_late for turn in self._script.turns))

    # --- upstreams ---

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while await self._take_turn(reader, writer):
                pass
        except Broken as broken:
            self._broken = self._broken or broken
        except asyncio.IncompleteReadError as error:
            if error.partial:  # a head that never ended: it may be garbage all the same
                self._note_garbage(error.partial)
            writer.close()

    def _note_garbage(self, partial: bytes) -> None:
        if not partial.startswith(b"POST /"[: len(partial)]):
            self._broken = self._broken or Broken(f"{partial[:40]!r} where a request is due")

    async def _take_turn(self, reader: Reader, writer: Writer) -> bool:
        """Whether the connection goes on."""
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines if line)}
        now_s = asyncio.get_running_loop().time()
        request = self.oracle.arrived(now_s, start, headers.get("x-request-id"))
        turn = self._turns.pop(0) if self._turns else Turn()
        request.turns.append(turn)
        if turn.reads_body_first:
            await self._read_body(reader, request, headers)
        if turn.runs:
            self.oracle.ran(request)
        is_on = await self._say_all(writer, request, turn, int(headers.get("last-event-id", 0)))
        if request.request_id is not None:
            self._ids.append(request.request_id)
        if is_on and not turn.reads_body_first:
            await self._read_body(reader, request, headers)
        if turn.ending is Ending.SILENCE:
            await reader.read()
        return is_on

    async def _read_body(self, reader: Reader, request: Request, headers: dict[str, str]) -> None:
        length = int(headers.get("content-length", 0))
        if "transfer-encoding" in headers or length != len(request.body):
            raise Broken(f"the framing of {request.path} was changed")
        try:
            self.oracle.body_came(request, await reader.readexactly(length), True)
        except asyncio.IncompleteReadError as error:
            self.oracle.body_came(request, error.partial, False)
            raise ConnectionResetError from None

    async def _say_all(self, writer: Writer, request: Request, turn: Turn, last_event: int) -> bool:
        """Whether the connection goes on after it."""
        reply = turn.reply
        is_closing = turn.ending is Ending.CLOSE or (reply is not None and reply.closes)
        raw = INTERIM * turn.interim + self._raw(request, turn.before, last_event)
        if reply is not None:
            head, body = self._head(request, reply, last_event), reply_body(request, reply, last_event)
            framed = _framed(reply, body)
            count = int(len(framed) * turn.said_part)
            part = body[:count] if reply.framing is Framing.CLOSE or count < len(framed) else body
            whole = reply.framing is Framing.CLOSE or count == len(framed)
            if whole:
                is_ended = is_closing and turn.ending is not Ending.RESET
                request.said.append(said(request, reply, last_event, part, is_ended))
            raw += head + framed[:count]
        await self._say(writer, raw, turn.piece)
        if turn.behind is not None and turn.has_place_behind:
            if turn.is_late:
                await asyncio.sleep(LATE_S)
            if isinstance(turn.behind, Reply) and turn.behind.owner is Owner.OWN:
                body = reply_body(request, turn.behind, last_event)
                request.said.append(said(request, turn.behind, last_event, body, False))
            await self._say(writer, self._raw(request, turn.behind, last_event), turn.piece)
        if turn.ending is Ending.RESET:
            reset(writer)
        elif is_closing:
            writer.close()
        return turn.ending is Ending.KEEP and not is_closing

    async def _say(self, writer: Writer, raw: bytes, piece: int) -> None:
        size = max(piece, len(raw) // 50)
        for at in range(0, len(raw), size):
            writer.write(raw[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)

    def _raw(self, request: Request, spoken: Reply | bytes | None, last_event: int) -> bytes:
        if not isinstance(spoken, Reply):
            return spoken or b""
        body = reply_body(request, spoken, last_event)
        return self._head(request, spoken, last_event) + _framed(spoken, body)

    def _head(self, request: Request, reply: Reply, last_event: int) -> bytes:
        lines = [f"HTTP/1.1 {reply.status} Said"]
        if reply.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(reply_body(request, reply, last_event))}")
        elif reply.framing is not Framing.CLOSE:
            lines.append("Transfer-Encoding: chunked")
        echoed = self._echoed(request, reply.owner)
        if echoed is not None:
            lines.append(f"X-Request-Id: {echoed}")
        if reply.is_signed:
            lines.append(f"X-Upstream-Signature: {SIGNATURE}")
        if reply.is_refusal:
            lines.append("X-Not-Executed: 1")
        if reply.is_encoded:
            lines.append("Content-Encoding: gzip")
        if reply.closes:
            lines.append("Connection: close")
        if is_stream(request, reply):
            lines.append("Content-Type: text/event-stream")
        return "\r\n".join((*lines, "", "")).encode()

    def _echoed(self, request: Request, owner: Owner) -> str | None:
        others = [known for known in self._ids if known != request.request_id]
        if owner is Owner.OWN:
            return request.request_id
        if owner is Owner.EARLIER and others:
            return others[-1]
        return None if owner is Owner.NONE else "r-other"

    # --- clients ---

    async def _visit(self, visit: Visit) -> None:
        """One client's connection, and another one for what is left of its requests if it is ended."""
        left = list(visit.asks)
        while left:
            reader, writer = await asyncio.open_connection(HOST, self._port)
            try:
                async with asyncio.timeout(LONG_S * len(left)):
                    await self._converse(visit, left, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except TimeoutError:
                raise Broken("a request without an end") from None
            finally:
                writer.transport.abort()
            if visit.leaving is not Leaving.NEVER:
                return

    async def _converse(self, visit: Visit, left: list[Ask], reader: Reader, writer: Writer) -> None:
        if visit.is_pipelined:
            asks, left[:] = list(left), []
            requests = [self.oracle.asked(ask) for ask in asks]
            writing = asyncio.create_task(self._write_all(visit, requests, writer))
            try:
                await self._leave_or_read(visit, requests, reader, writer, writing)
            finally:
                writing.cancel()
                await asyncio.gather(writing, return_exceptions=True)
        while left:
            requests = [self.oracle.asked(left.pop(0))]
            writing = asyncio.create_task(self._write_all(visit, requests, writer))
            await self._leave_or_read(visit, requests, reader, writer, writing)
        if visit.leaving is Leaving.NEVER:
            await self._expect_nothing_more(reader)

    async def _leave_or_read(
        self,
        visit: Visit,
        requests: list[Request],
        reader: Reader,
        writer: Writer,
        writing: asyncio.Task[None],
    ) -> None:
        if visit.leaving in (Leaving.IN_BODY, Leaving.AFTER_WRITING):
            await writing
            await asyncio.sleep(0)
            self._leave(requests, writer)
        if visit.leaving is Leaving.IN_ANSWER:
            await reader.readexactly(1)
            self._leave(requests, writer)
        for request in requests:
            got = await read_message(reader)
            self.oracle.answered(request, got)
            if (got.header("Connection") or "").lower() == "close":
                raise ConnectionResetError

    def _leave(self, requests: list[Request], writer: Writer) -> None:
        for request in requests:
            request.left_s = asyncio.get_running_loop().time()
        writer.transport.abort()
        raise ConnectionResetError

    async def _write_all(self, visit: Visit, requests: list[Request], writer: Writer) -> None:
        with contextlib.suppress(ConnectionError):
            for request in requests:
                async for piece in _pieces(_asked(request), visit):
                    writer.write(piece)
                    await writer.drain()
                if visit.leaving is Leaving.IN_BODY:
                    return

    async def _expect_nothing_more(self, reader: Reader) -> None:
        try:
            async with asyncio.timeout(LATE_S * 2):
                more = await reader.read(READ_SIZE)
        except (TimeoutError, ConnectionError):
            return
        if more:
            raise Broken(f"{more[:40]!r} where no answer is due")


async def _pieces(raw: bytes, visit: Visit) -> AsyncIterator[bytes]:
    end = len(raw) - 1 if visit.leaving is Leaving.IN_BODY else len(raw)
    size = max(visit.piece, end // 50)
    for at in range(0, end, size):
        yield raw[at : min(at + size, end)]
        await asyncio.sleep(0)


def _asked(request: Request) -> bytes:
    """The request as its client writes it."""
    lines = [
        f"POST {request.path} HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        "X-Key: k-acme",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    if request.request_id is not None:
        lines.append(f"X-Request-Id: {request.request_id}")
    body = request.body
    if request.ask.is_chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        body = b"".join(chunk(part) for part in (body[:half], body[half:]) if part) + TRAILERS
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def _framed(reply: Reply, body: bytes) -> bytes:
    if reply.framing in (Framing.LENGTH, Framing.CLOSE):
        return body
    half = len(body) // 2
    chunks = b"".join(chunk(part) for part in (body[:half], body[half:]) if part)
    return chunks + (TRAILERS if reply.framing is Framing.TRAILERS else b"0\r\n\r\n")
