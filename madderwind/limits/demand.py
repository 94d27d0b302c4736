"""Rate estimation from individual amounts."""

from __future__ import annotations

import math

MS_PER_S = 1000.0


class DecayingRate:
    """The amount per second as an exponentially weighted average with the given time constant."""

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._per_s = 0.0
        self._updated_ms: float | None = None

    def add(self, now_ms: float, amount: float) -> None:
        """Add an amount at the current time; a negative one cancels an earlier amount."""
        self._per_s = max(0.0, self.per_s(now_ms) + amount / self._time_constant_s)
        self._updated_ms = now_ms

    def per_s(self, now_ms: float) -> float:
        """The current rate."""
        if self._updated_ms is None:
            return 0.0
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        return self._per_s * math.exp(-elapsed_s / self._time_constant_s)
