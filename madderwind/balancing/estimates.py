"""Smoothed estimates of response times and arrival rates; they make no decisions.

The gains are those of TCP's round-trip time estimate (RFC 6298); times are in milliseconds.
"""

from __future__ import annotations

import math

# Averages over about the last 8 values; the slow gain over the last 64, for long-term means.
GAIN, SLOW_GAIN = 1 / 8, 1 / 64
RATE_WINDOW_MS = 4000.0
MIN_WINDOW_MS = 200.0  # lower bound after the first arrival, which limits the rate estimated from it


class Mean:
    """A smoothed mean and mean deviation of the observed values, and the lowest mean so far."""

    def __init__(self, gain: float = GAIN) -> None:
        self.gain = gain
        self.mean, self.deviation, self.best, self.seen = 0.0, 0.0, math.inf, 0

    def add(self, value: float, settled: bool = True) -> None:
        """Add a value. Unless it is `settled`, `best` restarts with it, as the first responses are short."""
        self.seen += 1
        gain = max(self.gain, 1 / self.seen)
        self.deviation += gain * (abs(value - self.mean) - self.deviation) if self.seen > 1 else value / 2
        self.mean += gain * (value - self.mean)
        # Includes the error of the mean, as the minimum of a noisy mean is reached by chance.
        upper_estimate = self.mean + 2 * self.deviation * gain**0.5
        self.best = min(self.best, upper_estimate) if settled else upper_estimate


class ArrivalRate:
    """Arrivals per second, smoothed over the last seconds, starting with the first arrival."""

    def __init__(self) -> None:
        self._count, self._counted_at_ms, self.first_ms = 0.0, 0.0, math.inf

    def arrived(self, now: float) -> None:
        """Record one arrival."""
        self._count = self._decayed(now) + 1
        self._counted_at_ms, self.first_ms = now, min(self.first_ms, now)

    def per_second(self, now: float) -> float:
        """The rate, extrapolated to the part of the window before the first arrival."""
        observed_ms = max(MIN_WINDOW_MS, now - self.first_ms)
        observed_fraction = 1 - math.exp(-observed_ms / RATE_WINDOW_MS)
        return self._decayed(now) / observed_fraction * 1000 / RATE_WINDOW_MS

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._counted_at_ms - now) / RATE_WINDOW_MS)
