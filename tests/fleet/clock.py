"""The fleet's one clock and queue of events: time jumps from event to event."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

# Within one millisecond; replicas that answer each other without end would never let time pass.
MOST_EVENTS_AT_ONCE = 20_000


class MessageStorm(ValueError):
    """So much happens at one moment that time does not go on."""


class Clock:
    """Steady time in ms, and what is to happen when."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something happen later."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Let everything happen that is due by then."""
        since_ms, events = self.now_ms, 0
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            if self.now_ms >= since_ms + 1.0:
                since_ms, events = self.now_ms, 0
            events += 1
            if events > MOST_EVENTS_AT_ONCE:
                raise MessageStorm(f"more than {MOST_EVENTS_AT_ONCE} events from {since_ms} ms on")
            action()
        self.now_ms = end_ms
