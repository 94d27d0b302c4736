"""The fleet's simulated clock and event queue: time advances from event to event."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

# Events within one millisecond: replicas that answer each other endlessly would keep time from advancing.
MAX_EVENTS_PER_MS = 20_000


class MessageStorm(ValueError):
    """The number of events within one millisecond exceeds the limit, so time would not advance."""


class Clock:
    """Monotonic time in ms, and the actions scheduled at later times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Run all actions due by the given time."""
        since_ms, events = self.now_ms, 0
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            if self.now_ms >= since_ms + 1.0:
                since_ms, events = self.now_ms, 0
            events += 1
            if events > MAX_EVENTS_PER_MS:
                raise MessageStorm(f"more than {MAX_EVENTS_PER_MS} events from {since_ms} ms on")
            action()
        self.now_ms = end_ms
