"""One clock and what is to happen on it, in one order on any machine."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Calls at their times; those of one time in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (max(at_ms, self.now_ms), next(self._numbers), call))

    def after(self, after_ms: float, call: Callable[[], None]) -> None:
        self.at(self.now_ms + after_ms, call)

    def run(self, until_ms: float = float("inf")) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._heap)
            self.events += 1
            call()
        self.now_ms = max(self.now_ms, until_ms if until_ms != float("inf") else self.now_ms)
