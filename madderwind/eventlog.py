"""What every layer says to the log, and what must hold.

The layers take an `EventLog` and do not know where its lines go; the program writes them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol


class EventLog(Protocol):
    """Takes an event's name and its fields."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """One event, with its fields."""


class Sparing:
    """Events that others can cause at will: one line of each a second, with how many there were.

    Guards against a caller that fills the log, and takes the time that this costs, with what cannot be used.
    """

    EVERY_MS = 1000.0

    def __init__(self, log: EventLog, now_ms: Callable[[], float]) -> None:
        self._log, self._now_ms = log, now_ms
        self._said: dict[str, tuple[float, int]] = {}

    def __call__(self, event: str, /, **fields: object) -> None:
        now_ms = self._now_ms()
        said_ms, unsaid = self._said.get(event, (float("-inf"), 0))
        if now_ms - said_ms < self.EVERY_MS:
            self._said[event] = said_ms, unsaid + 1
            return
        self._said[event] = now_ms, 0
        self._log(event, **fields, unsaid_before=unsaid)


class Invariants:
    """What must hold: asserted in debug builds, counted and logged in release builds (`python -O`)."""

    def __init__(self, log: EventLog) -> None:
        self.broken: Counter[str] = Counter()
        self._log = log

    def must(self, holds: bool, name: str, **fields: object) -> bool:
        """Whether it holds; a release build goes on after the count."""
        if not holds:
            self.broken[name] += 1
            self._log("invariant_broken", name=name, times=self.broken[name], **fields)
            assert holds, name
        return holds
