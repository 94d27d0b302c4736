"""A virtual clock with a deterministic event queue: the order of events is the same on any machine."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Runs scheduled calls in order of time. Calls at the same time run in the order they were scheduled."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedules a call. A time in the past means now."""
        heapq.heappush(self._heap, (max(at_ms, self.now_ms), next(self._sequence_numbers), call))

    def after(self, after_ms: float, call: Callable[[], None]) -> None:
        self.at(self.now_ms + after_ms, call)

    def run(self, until_ms: float = float("inf")) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._heap)
            self.events += 1
            call()
        self.now_ms = max(self.now_ms, until_ms if until_ms != float("inf") else self.now_ms)


class WakeupScheduler:
    """Keeps one pending call per number, at the earliest time requested since the last call."""

    def __init__(self, timeline: Timeline, call: Callable[[int], None]) -> None:
        self._timeline, self._call = timeline, call
        self._due_ms: dict[int, float] = {}

    def at(self, number: int, due_ms: float) -> None:
        due_ms = max(self._timeline.now_ms, due_ms)
        if due_ms < self._due_ms.get(number, float("inf")):
            self._due_ms[number] = due_ms
            self._timeline.at(due_ms, lambda: self._fire(number, due_ms))

    def _fire(self, number: int, due_ms: float) -> None:
        if self._due_ms.get(number) == due_ms:
            del self._due_ms[number]
            self._call(number)
