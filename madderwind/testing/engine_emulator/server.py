"""An emulated upstream on sockets: a model server with event streams, or a plain service."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import secrets
import time
import zlib

import msgspec
from aiohttp import web

from madderwind.errors import MessageError
from madderwind.placement.prompts import PromptPart, parse_prefix
from madderwind.testing.engine_emulator.engine import Engine, EngineEvent, EngineRequest, PartPrefilled
from madderwind.testing.engine_emulator.engine_host import MS_PER_S, EngineHost
from madderwind.testing.engine_emulator.records import Ended, PrefilledPart, Ran, RecordWriter, TurnedAway
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings

REPORT_PATH = "/report"
# On shutdown, open connections are closed after this time.
CLOSE_TIMEOUT_S = 0.05
DEFAULT_DEADLINE_MS = 30_000.0
DEFAULT_PRIORITY = 5
MODEL = "m"


class _PlainService:
    """Slots and queue of a plain service."""

    def __init__(self, slots: int, queue: int) -> None:
        self._slots, self._queue = slots, queue
        self._free_slots = asyncio.Semaphore(slots)
        self.request_count = 0

    def is_full(self) -> bool:
        """Whether all slots and queue positions are occupied."""
        return self.request_count >= self._slots + self._queue

    async def acquire(self, within_s: float) -> bool:
        """Wait for a slot; return False after `within_s`."""
        try:
            async with asyncio.timeout(within_s):
                await self._free_slots.acquire()
        except TimeoutError:
            return False
        return True

    def release(self) -> None:
        """Free the slot."""
        self._free_slots.release()


class _LimitedServer(web.Server):
    """Resets connections beyond `connection_limit`."""

    connection_limit = math.inf

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        if len(self.connections) > self.connection_limit:
            transport.abort()


class UpstreamServer:
    """One incarnation of an upstream."""

    def __init__(self, settings: UpstreamSettings, write_record: RecordWriter, rng: random.Random) -> None:
        """Must be called inside a running event loop."""
        self.settings, self._write_record, self._rng = settings, write_record, rng
        self.instance = f"i-{secrets.token_hex(4)}"
        self.is_draining = False
        self._loop = asyncio.get_running_loop()
        self._stream_numbers = itertools.count()
        self._started_s = self._loop.time()
        self._host: EngineHost | None = None
        if settings.engine is not None:
            self._host = EngineHost(Engine(settings.engine), self._record_prefilled)
        plain = settings.plain
        self._plain = None if plain is None else _PlainService(plain.slots, plain.queue)
        self._server = _LimitedServer(
            self._handle, handler_cancellation=True, access_log=None, keepalive_timeout=settings.keep_alive_s
        )
        self._server.connection_limit = settings.max_connections
        self._warm_up()

    async def start(self) -> str:
        """Start listening; return the address, with the assigned port if the settings have port 0."""
        ip, _, port = self.settings.listen.rpartition(":")
        self._listener = await self._loop.create_server(self._server, ip, int(port), reuse_address=True)
        return f"{ip}:{self._listener.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and close open connections."""
        self._listener.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    def cold_remaining_ms(self) -> float:
        """Remaining time of the slow phase after the start."""
        return max(0.0, self.settings.cold_ms - (self._loop.time() - self._started_s) * MS_PER_S)

    @property
    def requests_open(self) -> int:
        """Number of waiting and running requests."""
        if self._host is not None:
            return self._host.engine.waiting + self._host.engine.running
        return 0 if self._plain is None else self._plain.request_count

    def _warm_up(self) -> None:
        """Slow the engine down until the cold phase is over."""
        settings = self.settings
        if self._host is None or settings.engine is None or not settings.cold_ms:
            return
        engine = self._host.engine
        engine.settings = msgspec.structs.replace(
            settings.engine, slowness=settings.engine.slowness * settings.cold_slowness
        )
        self._loop.call_later(settings.cold_ms / MS_PER_S, setattr, engine, "settings", settings.engine)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == REPORT_PATH:
            return self._report()
        if request.path == self.settings.health_path and request.method == "GET":
            return self._health()
        body = await request.read()
        if (rejection := self._reject_misdirected(request)) is not None:
            return rejection
        if self._rng.random() < self.settings.mishaps.error:
            return self._fail(request)
        if self._host is not None:
            return await self._generate(request, self._host)
        assert self._plain is not None
        return await self._serve_plain(request, self._plain, body)

    def _reject_misdirected(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Reject a request without an id, or for another instance or version; None if acceptable."""
        if not request.headers.get("X-Request-Id"):
            return self._not_executed(request, 400)
        expected = request.headers.get("X-Expect-Instance")
        if expected is not None and expected != self.instance:
            return self._not_executed(request, 421)
        version = request.headers.get("Expect-Version")
        if version is not None and version != str(self.settings.weights):
            return self._not_executed(request, 421)
        return None

    def _not_executed(self, request: web.BaseRequest, status: int) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        self._write_record(TurnedAway(_monotonic_ms(), self.instance, request_id, status))
        headers = {"X-Not-Executed": "1", "X-Upstream-Instance": self.instance, "X-Request-Id": request_id}
        return self._with_connection_headers(web.Response(status=status, headers=headers))

    def _fail(self, request: web.BaseRequest) -> web.StreamResponse:
        self._record_ran(request)
        self._record_ended(request, 0, "error")
        return self._with_connection_headers(
            web.Response(status=500, headers=self._identity_headers(request), body=b"failed\n")
        )

    def _identity_headers(self, request: web.BaseRequest) -> dict[str, str]:
        request_id = request.headers["X-Request-Id"]
        checksum = zlib.crc32(f"{self.instance} {request_id}".encode())
        return {
            "X-Request-Id": request_id,
            "X-Upstream-Signature": f"{self.instance}.{checksum:08x}",
            "Versions": str(self.settings.weights),
        }

    def _with_connection_headers(self, response: web.StreamResponse) -> web.StreamResponse:
        """Add the Keep-Alive header, and close the connection if draining or by an injected fault."""
        response.headers["Keep-Alive"] = f"timeout={self.settings.keep_alive_s}"
        if self.is_draining or self._rng.random() < self.settings.mishaps.close:
            response.force_close()
        return response

    def _deadline_s(self, request: web.BaseRequest) -> float:
        try:
            remaining_ms = float(request.headers.get("X-Deadline-Ms", DEFAULT_DEADLINE_MS))
        except ValueError:
            remaining_ms = DEFAULT_DEADLINE_MS
        return self._loop.time() + remaining_ms / MS_PER_S

    async def _generate(self, request: web.BaseRequest, host: EngineHost) -> web.StreamResponse:
        stream = self._parse_stream(request, host)
        events = None if stream is None else host.submit(stream.request)
        if stream is None or events is None:
            return self._not_executed(request, 503)
        deadline_s = self._deadline_s(request)
        try:
            try:
                async with asyncio.timeout_at(deadline_s):
                    first = await events.get()
            except TimeoutError:
                return self._not_executed(request, 503)
            self._record_ran(request, stream.resumed_after)
            return await self._send_events(request, stream, first, events, deadline_s)
        finally:
            host.cancel(stream.request.key)

    def _parse_stream(self, request: web.BaseRequest, host: EngineHost) -> _Stream | None:
        """Parse a generation request; None if it is invalid or resumes at or after its end."""
        settings = host.engine.settings
        try:
            parts = parse_prefix(request.headers.get("X-Prompt-Prefix", ""))
            prompt, _, output = request.headers.get("X-Token-Usage", "").partition(",")
            tokens = int(output)
            parts = parts or (PromptPart(request.headers["X-Request-Id"], int(prompt)),)
            events_done = int(request.headers.get("Last-Event-Id", "0"))
            priority = int(request.headers.get("Priority", DEFAULT_PRIORITY))
        except (MessageError, ValueError):
            return None
        total = -(-tokens // settings.stride)
        if not 0 <= events_done < total:
            return None
        key = f"{request.headers['X-Request-Id']}.{next(self._stream_numbers)}"
        last_part_id = parts[-1].id
        if events_done:  # tokens generated by another upstream have to be prefilled here
            parts += (PromptPart(f"{last_part_id} up to {events_done}", events_done * settings.stride),)
        return _Stream(
            EngineRequest(key, parts, tokens - events_done * settings.stride, priority),
            last_part_id,
            events_done,
            total,
        )

    async def _send_events(
        self,
        request: web.BaseRequest,
        stream: _Stream,
        event: EngineEvent,
        events: asyncio.Queue[EngineEvent],
        deadline_s: float,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._identity_headers(request))
        response.content_type = "text/event-stream"
        self._with_connection_headers(response)
        sent = 0
        abort_index = self._abort_index(stream)
        how = "client left"
        try:
            await response.prepare(request)
            async with asyncio.timeout_at(deadline_s):
                while True:
                    encoded = stream.encode(event)
                    if event.index == abort_index:
                        how = "broken off"
                        await response.write(encoded[: self._rng.randrange(1, len(encoded))])
                        return _abort(request, response)
                    await response.write(encoded)
                    sent += 1
                    if event.last:
                        await response.write_eof()
                        how = "whole"
                        return response
                    event = await events.get()
        except TimeoutError:
            how = "deadline"
            return _abort(request, response)
        except ConnectionError:
            return response
        finally:
            self._record_ended(request, sent, how)

    def _abort_index(self, stream: _Stream) -> int | None:
        """Index of the event inside which the stream is aborted, or None without an injected fault."""
        if self._rng.random() >= self.settings.mishaps.break_off:
            return None
        return self._rng.randrange(stream.total_events - stream.resumed_after)

    async def _serve_plain(
        self, request: web.BaseRequest, plain: _PlainService, body: bytes
    ) -> web.StreamResponse:
        if plain.is_full():
            return self._not_executed(request, 503)
        remaining_s = self._deadline_s(request) - self._loop.time()
        plain.request_count += 1
        try:
            if not await plain.acquire(remaining_s):
                return self._not_executed(request, 503)
            try:
                return await self._run_plain(request, body)
            finally:
                plain.release()
        finally:
            plain.request_count -= 1

    async def _run_plain(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        settings = self.settings.plain
        assert settings is not None
        self._record_ran(request)
        how = "client left"
        mu = math.log(settings.work_ms) - settings.spread**2 / 2.0
        try:
            await asyncio.sleep(self._rng.lognormvariate(mu, settings.spread) / MS_PER_S)
            how = "whole"
        finally:
            self._record_ended(request, 0, how)
        payload = msgspec.json.encode(
            {"request": request.headers["X-Request-Id"], "instance": self.instance, "read_bytes": len(body)}
        )
        headers = {**self._identity_headers(request), "Content-Type": "application/json"}
        return self._with_connection_headers(
            web.Response(headers=headers, body=payload.ljust(settings.body_bytes))
        )

    def _health(self) -> web.StreamResponse:
        is_full = self._plain is not None and self._plain.is_full()
        status = 503 if self.is_draining or is_full else 200
        return self._with_connection_headers(
            web.Response(status=status, headers={"X-Upstream-Instance": self.instance})
        )

    def _report(self) -> web.Response:
        engine = self.settings.engine
        state = None if self._host is None else self._host.state()
        fields = {
            "stage": "dual",
            "models": self.models(),
            "busy": False,
            "sequence": 0,
            "waiting": 0 if state is None else state.waiting,
            "running": 0 if state is None else state.running,
            "kv_used": 0 if state is None else state.kv_used,
            "kv_total": 0 if engine is None else engine.kv_tokens,
            "handles": 0,
        }
        return web.Response(body=msgspec.json.encode(fields), content_type="application/json")

    def models(self) -> list[dict[str, object]]:
        """The models that it serves, in the format of registrations."""
        if self._host is None:
            return []
        return [{"name": MODEL, "version": self.settings.weights, "adapters": []}]

    def _record_prefilled(self, prefilled: PartPrefilled) -> None:
        part = prefilled.part
        self._write_record(
            PrefilledPart(_monotonic_ms(), self.instance, part.id, part.tokens, prefilled.shared)
        )

    def _record_ran(self, request: web.BaseRequest, resumed_after: int = 0) -> None:
        headers = request.headers
        tenant = headers.get("X-Tenant-Id", "")
        ran = Ran(
            _monotonic_ms(), self.instance, headers["X-Request-Id"], tenant, request.path, resumed_after
        )
        self._write_record(ran)

    def _record_ended(self, request: web.BaseRequest, events: int, how: str) -> None:
        self._write_record(
            Ended(_monotonic_ms(), self.instance, request.headers["X-Request-Id"], events, how)
        )


class _Stream(msgspec.Struct, frozen=True):
    """One generation stream.

    Each event's data is the id of the prompt's last part and the event's number, so that a reader can detect
    a gap, a repeated event, or the response to another request.
    """

    request: EngineRequest
    last_part_id: str
    resumed_after: int
    total_events: int

    def encode(self, event: EngineEvent) -> bytes:
        """Encode an event for the wire; ids start at 1."""
        number = self.resumed_after + event.index + 1
        return f"id: {number}\ndata: {self.last_part_id} {number}/{self.total_events}\n\n".encode()


def _abort(request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return response


def _monotonic_ms() -> float:
    return round(time.monotonic() * MS_PER_S, 3)
