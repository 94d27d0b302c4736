"""Upstreams of the soak: they register, stream events, break off at any byte, and crash."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets

import msgspec

from madderwind.testing.engine_emulator.upstream_process import Registration
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings
from madderwind.testing.fault_tests.relay import reset
from madderwind.testing.fault_tests.wire import Message, answer, chunk, read_message
from tests.stream_soak.runs import Run, RunLog, stream_frames

MAX_HEAD_DELAY_S, MEAN_EVENT_GAP_S, MEAN_PLAIN_WORK_S = 0.3, 0.015, 0.03
MAX_EVENTS_PER_CHUNK = 3
MAX_TOKENS = 40
# Bytes that were written before a break are usually on the wire; sometimes the break overtakes them.
FLUSH_S = 0.01
FLUSH_PROBABILITY = 0.8
LAST_CHUNK = b"0\r\n\r\n"


class Breaks(msgspec.Struct, frozen=True):
    """How responses break.

    Attributes:
        share: The share of responses that break off while their upstream stays up.
        first_event_share: The share of these that break within the head or the first event.
        in_order: Whether a stream may also be ended in order within an event.
        extra_share: The share of requests before whose response the connection's last response is repeated.
    """

    share: float = 0.05
    first_event_share: float = 0.5
    in_order: bool = False
    extra_share: float = 0.0


class ScriptedUpstream:
    """One incarnation of an upstream."""

    def __init__(self, settings: UpstreamSettings, breaks: Breaks, log: RunLog, rng: random.Random) -> None:
        self.instance = f"i-{secrets.token_hex(4)}"
        self._settings, self._breaks, self._log, self._rng = settings, breaks, log, rng
        self._crashed = asyncio.Event()
        self._handlers: set[asyncio.Task[None]] = set()
        self._registration = Registration(settings, self, rng)
        self._heartbeats: asyncio.Task[None] | None = None

    def models(self) -> list[dict[str, object]]:
        """The models that it serves."""
        return [{"name": "m", "version": 1, "adapters": []}]

    def cold_remaining_ms(self) -> float:
        """It is never slow after its start."""
        return 0.0

    async def start(self) -> None:
        """Listen and register."""
        ip, _, port = self._settings.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port), reuse_address=True)
        self._heartbeats = asyncio.create_task(self._registration.run())

    async def crash(self) -> None:
        """Break off every response at a drawn byte, and refuse connections from now on."""
        self._server.close()
        self._crashed.set()
        await self._end_handlers()

    async def leave(self, drain_s: float) -> None:
        """Drain as planned: announce it, serve on, deregister and end."""
        await self._stop_heartbeats()
        await self._registration.send_state("draining")
        await asyncio.sleep(drain_s)
        await self._registration.deregister()
        await asyncio.sleep(drain_s)
        await self.crash()

    async def _stop_heartbeats(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            await asyncio.gather(self._heartbeats, return_exceptions=True)

    async def _end_handlers(self) -> None:
        await self._stop_heartbeats()
        await self._registration.close()
        await asyncio.sleep(2 * FLUSH_S)
        for task in self._handlers:
            task.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        previous = b""
        try:
            while not self._crashed.is_set():
                message = await read_message(reader)
                if previous and self._rng.random() < self._breaks.extra_share:
                    writer.write(previous)
                previous = await self._respond(message, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._handlers.discard(task)
            with contextlib.suppress(OSError):
                reset(writer) if self._crashed.is_set() else writer.close()

    async def _respond(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        """Answer one request; return the response if it may be repeated late. OSError once it breaks."""
        request_id = message.header("X-Request-Id") or ""
        if message.header("X-Expect-Instance") not in (None, self.instance):
            writer.write(
                answer(421, X_Request_Id=request_id, X_Not_Executed="1", X_Upstream_Instance=self.instance)
            )
            return b""
        usage = message.header("X-Token-Usage")
        total = int(usage.partition(",")[2]) if usage else 0
        after = int(message.header("Last-Event-Id") or 0)
        run = self._log.add(request_id, self.instance, after, total, self._rng.randint(1, MAX_TOKENS))
        if total:
            await self._send(writer, run, self._stream_pieces(run))
            return b""
        response = answer(
            200,
            run.body(),
            X_Request_Id=request_id,
            X_Upstream_Signature=run.signature,
            Keep_Alive="timeout=15",
        )
        await self._send(writer, run, [(self._rng.expovariate(1 / MEAN_PLAIN_WORK_S), response)])
        return response

    def _stream_pieces(self, run: Run) -> list[tuple[float, bytes]]:
        """The bytes of a stream's response, each with the delay before it."""
        rng = self._rng
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Request-Id: {run.request_id}\r\nX-Upstream-Signature: {run.signature}\r\n"
            "Keep-Alive: timeout=15\r\n\r\n"
        ).encode()
        first, *frames = stream_frames(run, rng.randint(1, MAX_EVENTS_PER_CHUNK))
        delay_s = rng.uniform(0, MAX_HEAD_DELAY_S)
        has_early_head = rng.random() < 0.5
        pieces = [(0.0, head), (delay_s, first)] if has_early_head else [(delay_s, head + first)]
        return pieces + [(rng.expovariate(1 / MEAN_EVENT_GAP_S), frame) for frame in frames]

    async def _send(self, writer: asyncio.StreamWriter, run: Run, pieces: list[tuple[float, bytes]]) -> None:
        """Send a response piece by piece, up to a drawn break or a crash; OSError if it breaks."""
        left = self._bytes_before_break(pieces)
        for delay_s, data in pieces:
            if await self._crashes_within(delay_s):
                await self._break_off(writer, run, data, self._rng.randrange(len(data)))
            if left is not None and left < len(data):
                await self._break_off(writer, run, data, left)
            left = None if left is None else left - len(data)
            writer.write(data)
            await writer.drain()

    def _bytes_before_break(self, pieces: list[tuple[float, bytes]]) -> int | None:
        if self._rng.random() >= self._breaks.share:
            return None
        sizes = [len(data) for _, data in pieces]
        is_early = self._rng.random() < self._breaks.first_event_share
        return self._rng.randrange(sum(sizes[:2]) if is_early else sum(sizes))

    async def _crashes_within(self, delay_s: float) -> bool:
        try:
            async with asyncio.timeout(delay_s):
                await self._crashed.wait()
        except TimeoutError:
            return False
        return True

    async def _break_off(self, writer: asyncio.StreamWriter, run: Run, data: bytes, size: int) -> None:
        """Send the beginning of a piece and end the connection; always raises OSError."""
        rng = self._rng
        if self._breaks.in_order and b"data: " in data[:size] and rng.random() < 0.5:
            ended = _ended_in_order(data, size)
            run.ending = f"in order, last bytes {ended[-40:]!r}"
            writer.write(ended)
            await writer.drain()
            raise ConnectionResetError
        writer.write(data[:size])
        await writer.drain()
        if rng.random() < FLUSH_PROBABILITY:
            await asyncio.sleep(FLUSH_S)
        is_reset = rng.random() < 0.5
        run.ending = f"{'reset' if is_reset else 'closed'} behind {data[max(0, size - 40) : size]!r}"
        if is_reset:
            reset(writer)
        else:
            writer.close()
        raise ConnectionResetError


def _ended_in_order(data: bytes, size: int) -> bytes:
    """A piece whose chunk ends early, within an event, and behind it the response's last chunk."""
    before_frame = data.find(b"\r\n\r\n") + 4 if data.startswith(b"HTTP") else 0
    begin = data.index(b"\r\n", before_frame) + 2
    end = min(max(size, begin + 1), len(data) - 3)
    if data[:end].endswith(b"\n\n"):
        end -= 1
    return data[:before_frame] + chunk(data[begin:end]) + LAST_CHUNK
