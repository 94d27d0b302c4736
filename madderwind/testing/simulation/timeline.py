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


class Due:
    """One call for each of many, at the earliest of the times that were asked for since its last."""

    def __init__(self, timeline: Timeline, call: Callable[[int], None]) -> None:
        self._timeline, self._call = timeline, call
        self._due_ms: dict[int, float] = {}

    def at(self, number: int, due_ms: float) -> None:
        due_ms = max(self._timeline.now_ms, due_ms)
        if due_ms < self._due_ms.get(number, float("inf")):
            self._due_ms[number] = due_ms
            self._timeline.at(due_ms, lambda: self._comes(number, due_ms))

    def _comes(self, number: int, due_ms: float) -> None:
        if self._due_ms.get(number) == due_ms:
            del self._due_ms[number]
            self._call(number)
