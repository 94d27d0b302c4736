"""Runs a script of the response fuzzer: scripted upstreams and clients around the real forwarder."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from unittest.mock import patch

from madderwind.dataplane import upstream_pool
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.answer_oracle import Broken, Oracle, Request, is_stream, reply_body, sent_reply
from tests.dataplane.answer_scripts import (
    ClientConnection,
    Disconnect,
    Ending,
    Framing,
    Owner,
    Reply,
    RequestSpec,
    Script,
    Turn,
)
from tests.dataplane.fleet import CLIENT_HOST, SIGNATURE
from tests.dataplane.forwarder import ByteUpstream, ScriptedFleet
from tests.examples import HOST
from tests.standins import Writer, read_message, reset

DEADLINE_MS = 1000
# Longer than any request takes; and longer than a response takes to arrive, for one that is sent late.
REQUEST_TIMEOUT_S, LATE_DELAY_S = 3.0, 0.05
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n"
TRAILERS = b"0\r\nX-Checked: yes\r\n\r\n"
READ_SIZE = 1 << 16
SEND_BUFFER_BYTES = 4096

Reader = asyncio.StreamReader
_open_socket = upstream_pool._open_socket


def _open_small_buffer_socket(address_info: object) -> socket.socket:
    """Open a socket with a small send buffer: long bodies wait at the sender, as they do between machines."""
    opened = _open_socket(address_info)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return opened


class Player:
    """Runs one script; raises the oracle's Broken."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._turns = list(script.turns)
        self.oracle = Oracle()
        self._violation: Broken | None = None
        self._arrived_ids: list[str] = []  # of requests that arrived at upstreams

    async def play(self) -> None:
        """Run from the first client's first byte until all activity has ended."""
        upstreams = [ByteUpstream(self._serve) for _ in range(2)]
        with patch.object(upstream_pool, "_open_socket", _open_small_buffer_socket):
            async with ScriptedFleet(*upstreams) as fleet:
                self._port = fleet.port
                for connection in self._script.connections:
                    await self._run_connection(connection)
                await asyncio.sleep(REQUEST_TIMEOUT_S)
        if self._violation is not None:
            raise self._violation
        self.oracle.finish(not any(turn.trailing and turn.is_late for turn in self._script.turns))

    # Behaviour of the upstreams.

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except Broken as violation:
            self._violation = self._violation or violation
        except asyncio.IncompleteReadError as error:
            if error.partial:  # an incomplete head may still show garbage
                self._check_partial_request(error.partial)
            writer.close()

    def _check_partial_request(self, partial: bytes) -> None:
        if not partial.startswith(b"POST /"[: len(partial)]):
            self._violation = self._violation or Broken(f"{partial[:40]!r} in place of a request")

    async def _serve_request(self, reader: Reader, writer: Writer) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines if line)}
        now_s = asyncio.get_running_loop().time()
        request = self.oracle.request_arrived(now_s, start, headers.get("x-request-id"))
        turn = self._turns.pop(0) if self._turns else Turn()
        request.turns.append(turn)
        if turn.reads_body_first:
            await self._read_body(reader, request, headers)
        if turn.runs:
            self.oracle.request_started(request)
        is_open = await self._send_turn(writer, request, turn, int(headers.get("last-event-id", 0)))
        if request.request_id is not None:
            self._arrived_ids.append(request.request_id)
        if is_open and not turn.reads_body_first:
            await self._read_body(reader, request, headers)
        if turn.ending is Ending.SILENCE:
            await reader.read()
        return is_open

    async def _read_body(self, reader: Reader, request: Request, headers: dict[str, str]) -> None:
        length = int(headers.get("content-length", 0))
        if "transfer-encoding" in headers or length != len(request.body):
            raise Broken(f"the framing of {request.path} was changed")
        try:
            self.oracle.body_received(request, await reader.readexactly(length), True)
        except asyncio.IncompleteReadError as error:
            self.oracle.body_received(request, error.partial, False)
            raise ConnectionResetError from None

    async def _send_turn(self, writer: Writer, request: Request, turn: Turn, last_event: int) -> bool:
        """Send what the turn contains; return whether the connection stays open."""
        reply = turn.reply
        is_closing = turn.ending is Ending.CLOSE or (reply is not None and reply.closes)
        raw = INTERIM * turn.interim_count + self._encode(request, turn.before, last_event)
        if reply is not None:
            head, body = self._encode_head(request, reply, last_event), reply_body(request, reply, last_event)
            framed_body = _frame_body(reply, body)
            count = int(len(framed_body) * turn.sent_fraction)
            part = body[:count] if reply.framing is Framing.CLOSE or count < len(framed_body) else body
            is_complete = reply.framing is Framing.CLOSE or count == len(framed_body)
            if is_complete:
                is_ended = is_closing and turn.ending is not Ending.RESET
                request.sent_replies.append(sent_reply(request, reply, last_event, part, is_ended))
            raw += head + framed_body[:count]
        await self._send(writer, raw, turn.write_size)
        if turn.trailing is not None and turn.allows_trailing:
            if turn.is_late:
                await asyncio.sleep(LATE_DELAY_S)
            if isinstance(turn.trailing, Reply) and turn.trailing.owner is Owner.OWN:
                body = reply_body(request, turn.trailing, last_event)
                request.sent_replies.append(sent_reply(request, turn.trailing, last_event, body, False))
            await self._send(writer, self._encode(request, turn.trailing, last_event), turn.write_size)
        if turn.ending is Ending.RESET:
            reset(writer)
        elif is_closing:
            writer.close()
        return turn.ending is Ending.KEEP and not is_closing

    async def _send(self, writer: Writer, raw: bytes, write_size: int) -> None:
        size = max(write_size, len(raw) // 50)
        for at in range(0, len(raw), size):
            writer.write(raw[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)

    def _encode(self, request: Request, message: Reply | bytes | None, last_event: int) -> bytes:
        if not isinstance(message, Reply):
            return message or b""
        body = reply_body(request, message, last_event)
        return self._encode_head(request, message, last_event) + _frame_body(message, body)

    def _encode_head(self, request: Request, reply: Reply, last_event: int) -> bytes:
        lines = [f"HTTP/1.1 {reply.status} Said"]
        if reply.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(reply_body(request, reply, last_event))}")
        elif reply.framing is not Framing.CLOSE:
            lines.append("Transfer-Encoding: chunked")
        echoed_id = self._echoed_id(request, reply.owner)
        if echoed_id is not None:
            lines.append(f"X-Request-Id: {echoed_id}")
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

    def _echoed_id(self, request: Request, owner: Owner) -> str | None:
        other_ids = [known for known in self._arrived_ids if known != request.request_id]
        if owner is Owner.OWN:
            return request.request_id
        if owner is Owner.EARLIER and other_ids:
            return other_ids[-1]
        return None if owner is Owner.NONE else "r-other"

    # Behaviour of the clients.

    async def _run_connection(self, connection: ClientConnection) -> None:
        """Run one client connection, and further ones for the requests that remain if it is closed."""
        remaining = list(connection.specs)
        while remaining:
            reader, writer = await asyncio.open_connection(HOST, self._port)
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S * len(remaining)):
                    await self._run_requests(connection, remaining, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except TimeoutError:
                raise Broken("a request never ended") from None
            finally:
                writer.transport.abort()
            if connection.disconnect is not Disconnect.NEVER:
                return

    async def _run_requests(
        self, connection: ClientConnection, remaining: list[RequestSpec], reader: Reader, writer: Writer
    ) -> None:
        if connection.is_pipelined:
            specs, remaining[:] = list(remaining), []
            requests = [self.oracle.request_sent(spec) for spec in specs]
            writing = asyncio.create_task(self._write_all(connection, requests, writer))
            try:
                await self._disconnect_or_read(connection, requests, reader, writer, writing)
            finally:
                writing.cancel()
                await asyncio.gather(writing, return_exceptions=True)
        while remaining:
            requests = [self.oracle.request_sent(remaining.pop(0))]
            writing = asyncio.create_task(self._write_all(connection, requests, writer))
            await self._disconnect_or_read(connection, requests, reader, writer, writing)
        if connection.disconnect is Disconnect.NEVER:
            await self._expect_nothing_more(reader)

    async def _disconnect_or_read(
        self,
        connection: ClientConnection,
        requests: list[Request],
        reader: Reader,
        writer: Writer,
        writing: asyncio.Task[None],
    ) -> None:
        if connection.disconnect in (Disconnect.IN_BODY, Disconnect.AFTER_WRITING):
            await writing
            await asyncio.sleep(0)
            self._disconnect(requests, writer)
        if connection.disconnect is Disconnect.IN_ANSWER:
            await reader.readexactly(1)
            self._disconnect(requests, writer)
        for request in requests:
            got = await read_message(reader)
            self.oracle.response_received(request, got)
            if (got.header("Connection") or "").lower() == "close":
                raise ConnectionResetError

    def _disconnect(self, requests: list[Request], writer: Writer) -> None:
        for request in requests:
            request.disconnected_s = asyncio.get_running_loop().time()
        writer.transport.abort()
        raise ConnectionResetError

    async def _write_all(self, connection: ClientConnection, requests: list[Request], writer: Writer) -> None:
        with contextlib.suppress(ConnectionError):
            for request in requests:
                async for piece in _pieces(_encode_request(request), connection):
                    writer.write(piece)
                    await writer.drain()
                if connection.disconnect is Disconnect.IN_BODY:
                    return

    async def _expect_nothing_more(self, reader: Reader) -> None:
        try:
            async with asyncio.timeout(LATE_DELAY_S * 2):
                more = await reader.read(READ_SIZE)
        except (TimeoutError, ConnectionError):
            return
        if more:
            raise Broken(f"{more[:40]!r} after the last response")


async def _pieces(raw: bytes, connection: ClientConnection) -> AsyncIterator[bytes]:
    end = len(raw) - 1 if connection.disconnect is Disconnect.IN_BODY else len(raw)
    size = max(connection.write_size, end // 50)
    for at in range(0, end, size):
        yield raw[at : min(at + size, end)]
        await asyncio.sleep(0)


def _encode_request(request: Request) -> bytes:
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
    if request.spec.is_chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        body = b"".join(chunk(part) for part in (body[:half], body[half:]) if part) + TRAILERS
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def _frame_body(reply: Reply, body: bytes) -> bytes:
    if reply.framing in (Framing.LENGTH, Framing.CLOSE):
        return body
    half = len(body) // 2
    chunks = b"".join(chunk(part) for part in (body[:half], body[half:]) if part)
    return chunks + (TRAILERS if reply.framing is Framing.TRAILERS else b"0\r\n\r\n")
