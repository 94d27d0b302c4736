"""A stand-in upstream on sockets: a model server's streams, or the answers of a plain service."""

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
from madderwind.testing.engine_emulator.engine import Engine, EngineEvent, EngineRequest, PartRead
from madderwind.testing.engine_emulator.engine_host import MS_PER_S, EngineHost
from madderwind.testing.engine_emulator.records import Ended, PrefilledPart, Ran, RecordWriter, TurnedAway
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings

REPORT_PATH = "/report"
# What is open at the end is broken off after so long.
CLOSE_TIMEOUT_S = 0.05
DEFAULT_DEADLINE_MS = 30_000.0
DEFAULT_PRIORITY = 5
MODEL = "m"


class _Plain:
    """Places of a plain service: how many run and how many wait."""

    def __init__(self, slots: int, queue: int) -> None:
        self._slots, self._queue = slots, queue
        self._places = asyncio.Semaphore(slots)
        self.present = 0

    def is_full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self.present >= self._slots + self._queue

    async def begin(self, within_s: float) -> bool:
        """Wait for a slot; False where the time is over."""
        try:
            async with asyncio.timeout(within_s):
                await self._places.acquire()
        except TimeoutError:
            return False
        return True

    def end(self) -> None:
        """Free the slot."""
        self._places.release()


class _LimitedServer(web.Server):
    """Resets connections beyond the most that an upstream takes."""

    most_connections = math.inf

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        if len(self.connections) > self.most_connections:
            transport.abort()


class UpstreamServer:
    """One incarnation of an upstream."""

    def __init__(self, settings: UpstreamSettings, note: RecordWriter, rng: random.Random) -> None:
        """Needs a running loop."""
        self.settings, self._note, self._rng = settings, note, rng
        self.instance = f"i-{secrets.token_hex(4)}"
        self.is_leaving = False
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count()
        self._began_s = self._loop.time()
        self._host: EngineHost | None = None
        if settings.engine is not None:
            self._host = EngineHost(Engine(settings.engine), self._note_read)
        plain = settings.plain
        self._plain = None if plain is None else _Plain(plain.slots, plain.queue)
        self._server = _LimitedServer(
            self._answer, handler_cancellation=True, access_log=None, keepalive_timeout=settings.keep_alive_s
        )
        self._server.most_connections = settings.max_connections
        self._warm_up()

    async def start(self) -> str:
        """Listen; the address, with the port that was decided where the settings say 0."""
        ip, _, port = self.settings.listen.rpartition(":")
        self._listening = await self._loop.create_server(self._server, ip, int(port), reuse_address=True)
        return f"{ip}:{self._listening.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Listen no more and break off what is open."""
        self._listening.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    def cold_remaining_ms(self) -> float:
        """For how long this upstream stays slow after its start."""
        return max(0.0, self.settings.cold_ms - (self._loop.time() - self._began_s) * MS_PER_S)

    @property
    def requests_open(self) -> int:
        """Requests that wait or run."""
        if self._host is not None:
            return self._host.engine.waiting + self._host.engine.running
        return 0 if self._plain is None else self._plain.present

    def _warm_up(self) -> None:
        """Slow until the cold time is over."""
        settings = self.settings
        if self._host is None or settings.engine is None or not settings.cold_ms:
            return
        engine = self._host.engine
        engine.settings = msgspec.structs.replace(
            settings.engine, slowness=settings.engine.slowness * settings.cold_slowness
        )
        self._loop.call_later(settings.cold_ms / MS_PER_S, setattr, engine, "settings", settings.engine)

    # --- requests ---

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == REPORT_PATH:
            return self._report()
        if request.path == self.settings.health_path and request.method == "GET":
            return self._health()
        body = await request.read()
        if (turned_away := self._turn_away(request)) is not None:
            return turned_away
        if self._rng.random() < self.settings.mishaps.error:
            return self._own_error(request)
        if self._host is not None:
            return await self._generate(request, self._host)
        assert self._plain is not None
        return await self._work(request, self._plain, body)

    def _turn_away(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """The answer to a request that this upstream does not run, before it looks for a place."""
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
        self._note(TurnedAway(_steady_ms(), self.instance, request_id, status))
        headers = {"X-Not-Executed": "1", "X-Upstream-Instance": self.instance, "X-Request-Id": request_id}
        return self._finished(web.Response(status=status, headers=headers))

    def _own_error(self, request: web.BaseRequest) -> web.StreamResponse:
        self._note_ran(request)
        self._note_ended(request, 0, "error")
        return self._finished(web.Response(status=500, headers=self._stamp(request), body=b"failed\n"))

    def _stamp(self, request: web.BaseRequest) -> dict[str, str]:
        request_id = request.headers["X-Request-Id"]
        check = zlib.crc32(f"{self.instance} {request_id}".encode())
        return {
            "X-Request-Id": request_id,
            "X-Upstream-Signature": f"{self.instance}.{check:08x}",
            "Versions": str(self.settings.weights),
        }

    def _finished(self, response: web.StreamResponse) -> web.StreamResponse:
        """With what this upstream tells about its connections."""
        response.headers["Keep-Alive"] = f"timeout={self.settings.keep_alive_s}"
        if self.is_leaving or self._rng.random() < self.settings.mishaps.close:
            response.force_close()
        return response

    def _deadline_s(self, request: web.BaseRequest) -> float:
        try:
            left_ms = float(request.headers.get("X-Deadline-Ms", DEFAULT_DEADLINE_MS))
        except ValueError:
            left_ms = DEFAULT_DEADLINE_MS
        return self._loop.time() + left_ms / MS_PER_S

    # --- a model's answers ---

    async def _generate(self, request: web.BaseRequest, host: EngineHost) -> web.StreamResponse:
        stream = self._stream_of(request, host)
        events = None if stream is None else host.submit(stream.work)
        if stream is None or events is None:
            return self._not_executed(request, 503)
        deadline_s = self._deadline_s(request)
        try:
            try:
                async with asyncio.timeout_at(deadline_s):
                    first = await events.get()
            except TimeoutError:
                return self._not_executed(request, 503)
            self._note_ran(request, stream.resumed_after)
            return await self._send_events(request, stream, first, events, deadline_s)
        finally:
            host.cancel(stream.work.key)

    def _stream_of(self, request: web.BaseRequest, host: EngineHost) -> _Stream | None:
        """What a request asks for; None where it can't be read, or asks to go on after its own end."""
        settings = host.engine.settings
        try:
            parts = parse_prefix(request.headers.get("X-Prompt-Prefix", ""))
            prompt, _, output = request.headers.get("X-Token-Usage", "").partition(",")
            tokens = int(output)
            parts = parts or (PromptPart(request.headers["X-Request-Id"], int(prompt)),)
            done = int(request.headers.get("Last-Event-Id", "0"))
            priority = int(request.headers.get("Priority", DEFAULT_PRIORITY))
        except (MessageError, ValueError):
            return None
        total = -(-tokens // settings.stride)
        if not 0 <= done < total:
            return None
        key = f"{request.headers['X-Request-Id']}.{next(self._numbers)}"
        subject = parts[-1].id
        if done:  # what was generated elsewhere has to be prefilled here
            parts += (PromptPart(f"{subject} up to {done}", done * settings.stride),)
        return _Stream(
            EngineRequest(key, parts, tokens - done * settings.stride, priority), subject, done, total
        )

    async def _send_events(
        self,
        request: web.BaseRequest,
        stream: _Stream,
        event: EngineEvent,
        events: asyncio.Queue[EngineEvent],
        deadline_s: float,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._stamp(request))
        response.content_type = "text/event-stream"
        self._finished(response)
        sent = 0
        breaks_at = self._breaking_point(stream)
        how = "client left"
        try:
            await response.prepare(request)
            async with asyncio.timeout_at(deadline_s):
                while True:
                    encoded = stream.encode(event)
                    if event.index == breaks_at:
                        how = "broken off"
                        await response.write(encoded[: len(encoded) // 2])
                        return _aborted(request, response)
                    await response.write(encoded)
                    sent += 1
                    if event.last:
                        await response.write_eof()
                        how = "whole"
                        return response
                    event = await events.get()
        except TimeoutError:
            how = "deadline"
            return _aborted(request, response)
        except ConnectionError:
            return response
        finally:
            self._note_ended(request, sent, how)

    def _breaking_point(self, stream: _Stream) -> int | None:
        """The event in whose middle the stream is broken off, for a few."""
        if self._rng.random() >= self.settings.mishaps.break_off:
            return None
        return self._rng.randrange(stream.total_events - stream.resumed_after)

    # --- a plain service's answers ---

    async def _work(self, request: web.BaseRequest, plain: _Plain, body: bytes) -> web.StreamResponse:
        if plain.is_full():
            return self._not_executed(request, 503)
        left_s = self._deadline_s(request) - self._loop.time()
        plain.present += 1
        try:
            if not await plain.begin(left_s):
                return self._not_executed(request, 503)
            try:
                return await self._run_plain(request, body)
            finally:
                plain.end()
        finally:
            plain.present -= 1

    async def _run_plain(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        settings = self.settings.plain
        assert settings is not None
        self._note_ran(request)
        how = "client left"
        middle = math.log(settings.work_ms) - settings.spread**2 / 2.0
        try:
            await asyncio.sleep(self._rng.lognormvariate(middle, settings.spread) / MS_PER_S)
            how = "whole"
        finally:
            self._note_ended(request, 0, how)
        told = msgspec.json.encode(
            {"request": request.headers["X-Request-Id"], "instance": self.instance, "read_bytes": len(body)}
        )
        headers = {**self._stamp(request), "Content-Type": "application/json"}
        return self._finished(web.Response(headers=headers, body=told.ljust(settings.body_bytes)))

    # --- what upstreams tell of themselves ---

    def _health(self) -> web.StreamResponse:
        is_full = self._plain is not None and self._plain.is_full()
        status = 503 if self.is_leaving or is_full else 200
        return self._finished(web.Response(status=status, headers={"X-Upstream-Instance": self.instance}))

    def _report(self) -> web.Response:
        engine = self.settings.engine
        state = None if self._host is None else self._host.state()
        told = {
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
        return web.Response(body=msgspec.json.encode(told), content_type="application/json")

    def models(self) -> list[dict[str, object]]:
        """The models that it serves, as registrations tell them."""
        if self._host is None:
            return []
        return [{"name": MODEL, "version": self.settings.weights, "adapters": []}]

    # --- the records ---

    def _note_read(self, read: PartRead) -> None:
        part = read.part
        self._note(PrefilledPart(_steady_ms(), self.instance, part.id, part.tokens, read.shared))

    def _note_ran(self, request: web.BaseRequest, resumed_after: int = 0) -> None:
        headers = request.headers
        tenant = headers.get("X-Tenant-Id", "")
        ran = Ran(_steady_ms(), self.instance, headers["X-Request-Id"], tenant, request.path, resumed_after)
        self._note(ran)

    def _note_ended(self, request: web.BaseRequest, events: int, how: str) -> None:
        self._note(Ended(_steady_ms(), self.instance, request.headers["X-Request-Id"], events, how))


class _Stream(msgspec.Struct, frozen=True):
    """One generation.

    Its text is its prompt's own part and the number of the event, so that whoever reads it can tell a gap, a
    repeat, or another's answer.
    """

    work: EngineRequest
    subject: str
    resumed_after: int
    total_events: int

    def encode(self, event: EngineEvent) -> bytes:
        """The event on the wire; ids count from 1."""
        number = self.resumed_after + event.index + 1
        return f"id: {number}\ndata: {self.subject} {number}/{self.total_events}\n\n".encode()


def _aborted(request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return response


def _steady_ms() -> float:
    return round(time.monotonic() * MS_PER_S, 3)
