"""The engine on the running loop's clock: requests come as streams of events, each as soon as it is due."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from madderwind.testing.engine_emulator.engine import Admission, Engine, EngineEvent, EngineRequest, PartRead

MS_PER_S = 1000.0
# A step that ends later than this was held up by a pause of the whole process: its time does not count.
LONGEST_LATENESS_MS = 250.0
# State is told as it stood some time before, as a model server's is.
REPORT_AGE_MS = 200.0


class EngineState(msgspec.Struct, frozen=True):
    """What GET /report tells of the engine."""

    waiting: int = 0
    running: int = 0
    kv_used: int = 0


class EngineHost:
    """Runs one engine; needs a running loop."""

    def __init__(self, engine: Engine, on_read: Callable[[PartRead], None]) -> None:
        self._engine, self._on_read = engine, on_read
        self._loop = asyncio.get_running_loop()
        self._streams: dict[str, asyncio.Queue[EngineEvent]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._paused_ms = 0.0
        self._reported = EngineState()
        self._reported_ms = -math.inf

    @property
    def engine(self) -> Engine:
        """The engine itself."""
        return self._engine

    def submit(self, request: EngineRequest) -> asyncio.Queue[EngineEvent] | None:
        """The request's events; None where the engine is full."""
        self._advance()
        if self._engine.submit(self._now_ms(), request) is not Admission.TAKEN:
            return None
        events = self._streams[request.key] = asyncio.Queue()
        self._arm()
        return events

    def cancel(self, key: str) -> None:
        """Nobody waits for this request any more."""
        if self._streams.pop(key, None) is not None:
            self._engine.cancel(key)
            self._arm()

    def state(self) -> EngineState:
        """How the engine stood some time ago."""
        now_ms = self._loop.time() * MS_PER_S
        if now_ms - self._reported_ms > REPORT_AGE_MS:
            engine, self._reported_ms = self._engine, now_ms
            self._reported = EngineState(engine.waiting, engine.running, engine.memory.held_tokens)
        return self._reported

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S - self._paused_ms

    def _advance(self) -> None:
        lateness_ms = self._now_ms() - self._engine.next_ms
        if LONGEST_LATENESS_MS < lateness_ms < math.inf:
            self._paused_ms += lateness_ms
        for event in self._engine.advance(self._now_ms()):
            stream = self._streams.get(event.key)
            if stream is not None:
                stream.put_nowait(event)
                if event.last:
                    del self._streams[event.key]
        for read in self._engine.reads:
            self._on_read(read)
        self._engine.reads.clear()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._engine.next_ms < math.inf:
            due_s = (self._engine.next_ms + self._paused_ms) / MS_PER_S
            self._timer = self._loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._advance()
        self._arm()
