"""A bounded queue of outgoing frames per connection, so that senders never block."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple


class _Frame(NamedTuple):
    data: bytes
    offered_s: float


class ByteBudget:
    """Limits the bytes in flight: a reservation over the limit waits, unless nothing else is reserved."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = 0
        self._released = asyncio.Condition()

    @asynccontextmanager
    async def reserved(self, count: int) -> AsyncIterator[None]:
        """Hold a reservation of `count` bytes, after waiting until the budget allows it."""
        async with self._released:
            await self._released.wait_for(lambda: self._fits(count))
            self._reserved_bytes += count
        try:
            yield
        finally:
            self._reserved_bytes -= count
            async with self._released:
                self._released.notify_all()

    def _fits(self, count: int) -> bool:
        return not self._reserved_bytes or self._reserved_bytes + count <= self._max_bytes


class FrameQueue:
    """A FIFO queue of frames, bounded in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._frames: deque[_Frame] = deque()
        self._bytes = 0
        self._ready = asyncio.Event()

    def __len__(self) -> int:
        return len(self._frames)

    def offer(self, now_s: float, data: bytes) -> bool:
        """Add a frame. Return False if the queue now exceeds its limit and holds more than this frame."""
        self._frames.append(_Frame(data, now_s))
        self._bytes += len(data)
        self._ready.set()
        return self._bytes <= self._max_bytes or len(self._frames) == 1

    def drop_oldest(self) -> None:
        """Drop the frame that has been queued longest."""
        if self._frames:
            self._bytes -= len(self._frames.popleft().data)

    def drop_older_than(self, offered_s: float) -> None:
        """Drop frames that were offered before `offered_s`."""
        while self._frames and self._frames[0].offered_s < offered_s:
            self.drop_oldest()

    async def send_all(self, send: Callable[[bytes], Awaitable[None]]) -> None:
        """Send frames as they are queued, until cancelled or `send` fails."""
        while True:
            while self._frames:
                frame = self._frames.popleft()
                self._bytes -= len(frame.data)
                await send(frame.data)
            self._ready.clear()
            await self._ready.wait()
