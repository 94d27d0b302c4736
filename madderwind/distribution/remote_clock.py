"""Bounds the time at which a message was sent, from its sender's monotonic clock and from round trips.

A message may be delayed by a network partition, or wait in a process that is not scheduled, so its arrival
time says nothing about the age of its content. The sender's clock does, once a round trip has bounded its
offset to the local clock: a requested reading was taken after the request was sent.
"""

from __future__ import annotations

# Maximum relative difference between the rates of two monotonic clocks.
MAX_DRIFT = 0.001


class RemoteClock:
    """Lower bound of the offset from a remote process's monotonic clock to the local one, in milliseconds."""

    def __init__(self) -> None:
        self._min_offset_ms: float | None = None  # lower bound of local time minus remote time
        self._bounded_ms = 0.0  # local time at which the bound was set

    def handle_reading(self, now_ms: float, requested_ms: float, clock_ms: float) -> None:
        """Record that the remote clock showed `clock_ms` at some time after `requested_ms`."""
        offset_ms = requested_ms - clock_ms
        known_offset_ms = self._min_offset_at(now_ms)
        self._min_offset_ms = offset_ms if known_offset_ms is None else max(offset_ms, known_offset_ms)
        self._bounded_ms = now_ms

    def sent_after_ms(self, now_ms: float, clock_ms: float) -> float | None:
        """Return the earliest local time at which the remote clock showed this; None without a reading."""
        offset_ms = self._min_offset_at(now_ms)
        return None if offset_ms is None else min(now_ms, clock_ms + offset_ms)

    def _min_offset_at(self, now_ms: float) -> float | None:
        if self._min_offset_ms is None:
            return None
        return self._min_offset_ms - MAX_DRIFT * (now_ms - self._bounded_ms)
