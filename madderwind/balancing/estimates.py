"""Smoothed estimates of answer times and rates. They hold what was seen and decide nothing.

Gains are as in TCP's estimate of round trips (RFC 6298); times are milliseconds.
"""

from __future__ import annotations

import math

GAIN, SLOW_GAIN = 1 / 8, 1 / 64  # the last eight values count; for what is usual, the last 64
RATE_WINDOW_MS = 4000.0
SHORTEST_WINDOW_MS = 200.0  # early on, when little was seen: bounds what a first arrival is taken for


class Mean:
    """A smoothed mean and mean deviation of what was seen, and the lowest that the mean has been."""

    def __init__(self, gain: float = GAIN) -> None:
        self.gain = gain
        self.mean, self.deviation, self.best, self.seen = 0.0, 0.0, math.inf, 0

    def add(self, value: float, settled: bool = True) -> None:
        """One more value. The best starts anew with each not `settled`, as the first answers are short."""
        self.seen += 1
        gain = max(self.gain, 1 / self.seen)
        self.deviation += gain * (abs(value - self.mean) - self.deviation) if self.seen > 1 else value / 2
        self.mean += gain * (value - self.mean)
        # With its error on top: a noisy mean's lowest is luck.
        likely = self.mean + 2 * self.deviation * gain**0.5
        self.best = min(self.best, likely) if settled else likely


class ArrivalRate:
    """Arrivals a second, smoothed over the last seconds, from the first arrival on."""

    def __init__(self) -> None:
        self._count, self._counted_ms, self.first_ms = 0.0, 0.0, math.inf

    def arrived(self, now: float) -> None:
        """One arrival."""
        self._count = self._decayed(now) + 1
        self._counted_ms, self.first_ms = now, min(self.first_ms, now)

    def per_second(self, now: float) -> float:
        """The rate, as if the part of the window before the first arrival had been like the rest."""
        seen_ms = max(SHORTEST_WINDOW_MS, now - self.first_ms)
        seen_part = 1 - math.exp(-seen_ms / RATE_WINDOW_MS)
        return self._decayed(now) / seen_part * 1000 / RATE_WINDOW_MS

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._counted_ms - now) / RATE_WINDOW_MS)
