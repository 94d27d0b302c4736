"""When a message was sent at the earliest, by the steady clock of its sender and by round trips.

A message may be held up by a cut, or wait in a process that does not run. So its arrival tells nothing about
the age of what it says. The sender's clock does, once a round trip has bound it to the own one: a reading
that was requested was taken after the request went out.
"""

from __future__ import annotations

# Two steady clocks differ in their rates by no more than this part.
MAX_DRIFT = 0.001


class RemoteClock:
    """Binds one process's steady clock to the own one, both in milliseconds, from below."""

    def __init__(self) -> None:
        self._lead_ms: float | None = None  # own time less the other's, at the least
        self._read_ms = 0.0  # when that was known

    def handle_reading(self, now_ms: float, requested_ms: float, clock_ms: float) -> None:
        """The other's clock showed `clock_ms` at some moment since `requested_ms`."""
        lead_ms = requested_ms - clock_ms
        known_ms = self._lead_at(now_ms)
        self._lead_ms = lead_ms if known_ms is None else max(lead_ms, known_ms)
        self._read_ms = now_ms

    def sent_after_ms(self, now_ms: float, clock_ms: float) -> float | None:
        """The earliest own time at which the other's clock showed this; None without any reading."""
        lead_ms = self._lead_at(now_ms)
        return None if lead_ms is None else min(now_ms, clock_ms + lead_ms)

    def _lead_at(self, now_ms: float) -> float | None:
        if self._lead_ms is None:
            return None
        return self._lead_ms - MAX_DRIFT * (now_ms - self._read_ms)
