"""Runs an engine in real time on an event loop and delivers each event when it is due."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from madderwind.testing.engine_emulator.engine import (
    Admission,
    Engine,
    EngineEvent,
    EngineRequest,
    PartPrefilled,
)

MS_PER_S = 1000.0
# A step that ends later than this was delayed by a pause of the whole process, which is not counted as
# engine time.
MAX_STEP_DELAY_MS = 250.0
# The reported state is up to this old, as that of a real model server is.
REPORT_AGE_MS = 200.0


class EngineState(msgspec.Struct, frozen=True):
    """Engine state in the response to GET /report."""

    waiting: int = 0
    running: int = 0
    kv_used: int = 0


class EngineHost:
    """Runs one engine; must be created inside a running event loop."""

    def __init__(self, engine: Engine, on_prefilled: Callable[[PartPrefilled], None]) -> None:
        self._engine, self._on_prefilled = engine, on_prefilled
        self._loop = asyncio.get_running_loop()
        self._streams: dict[str, asyncio.Queue[EngineEvent]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._paused_ms = 0.0
        self._reported = EngineState()
        self._reported_ms = -math.inf

    @property
    def engine(self) -> Engine:
        """The hosted engine."""
        return self._engine

    def submit(self, request: EngineRequest) -> asyncio.Queue[EngineEvent] | None:
        """Queue of the request's events; None where the engine rejects it."""
        self._advance()
        if self._engine.submit(self._now_ms(), request) is not Admission.ACCEPTED:
            return None
        events = self._streams[request.key] = asyncio.Queue()
        self._schedule_tick()
        return events

    def cancel(self, key: str) -> None:
        """Drop a request whose caller disconnected."""
        if self._streams.pop(key, None) is not None:
            self._engine.cancel(key)
            self._schedule_tick()

    def state(self) -> EngineState:
        """Engine state, refreshed at most once every `REPORT_AGE_MS`."""
        now_ms = self._loop.time() * MS_PER_S
        if now_ms - self._reported_ms > REPORT_AGE_MS:
            engine, self._reported_ms = self._engine, now_ms
            self._reported = EngineState(engine.waiting, engine.running, engine.memory.held_tokens)
        return self._reported

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S - self._paused_ms

    def _advance(self) -> None:
        delay_ms = self._now_ms() - self._engine.next_ms
        if MAX_STEP_DELAY_MS < delay_ms < math.inf:
            self._paused_ms += delay_ms
        for event in self._engine.advance(self._now_ms()):
            stream = self._streams.get(event.key)
            if stream is not None:
                stream.put_nowait(event)
                if event.last:
                    del self._streams[event.key]
        for prefilled in self._engine.prefilled_parts:
            self._on_prefilled(prefilled)
        self._engine.prefilled_parts.clear()

    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._engine.next_ms < math.inf:
            due_s = (self._engine.next_ms + self._paused_ms) / MS_PER_S
            self._timer = self._loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._advance()
        self._schedule_tick()
