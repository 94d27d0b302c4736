"""The event log as every layer uses it, rate-limited events, and checks of invariants.

The layers depend only on `EventLog`; the program decides where its lines are written.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol


class EventLog(Protocol):
    """A function that logs an event with its fields."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Log one event with its fields."""


class Sparing:
    """Rate limiter for events that peers and clients can cause at will: one line per event name a second.

    Each line has the number of events suppressed since the previous one.

    This prevents a caller from filling the log, and using up processing time, with invalid input.
    """

    MIN_INTERVAL_MS = 1000.0

    def __init__(self, log: EventLog, now_ms: Callable[[], float]) -> None:
        self._log, self._now_ms = log, now_ms
        self._last_logged: dict[str, tuple[float, int]] = {}

    def __call__(self, event: str, /, **fields: object) -> None:
        now_ms = self._now_ms()
        logged_ms, suppressed = self._last_logged.get(event, (float("-inf"), 0))
        if now_ms - logged_ms < self.MIN_INTERVAL_MS:
            self._last_logged[event] = logged_ms, suppressed + 1
            return
        self._last_logged[event] = now_ms, 0
        self._log(event, **fields, unsaid_before=suppressed)


class Invariants:
    """Checks of invariants: asserted in debug builds, counted and logged in release builds (`python -O`)."""

    def __init__(self, log: EventLog) -> None:
        self.broken: Counter[str] = Counter()
        self._log = log

    def must(self, holds: bool, name: str, **fields: object) -> bool:
        """Return whether the invariant holds; a release build continues after counting a violation."""
        if not holds:
            self.broken[name] += 1
            self._log("invariant_broken", name=name, times=self.broken[name], **fields)
            assert holds, name
        return holds
