"""Request rate of each prompt prefix, as decayed counts of this balancer's own arrivals."""

from __future__ import annotations

import math
from collections import OrderedDict

MAX_PREFIXES = 4096


class PrefixRates:
    """Arrivals by prefix, decayed exponentially with a time constant of `window_ms`."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._counts: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def record_arrival(self, now_ms: float, prefix: str) -> None:
        """Count one request for the prefix."""
        count = self._count(now_ms, prefix)
        self._counts[prefix] = (count + 1.0, now_ms)
        self._counts.move_to_end(prefix)
        if len(self._counts) > MAX_PREFIXES:
            self._counts.popitem(last=False)

    def count(self, now_ms: float, prefix: str) -> float:
        """The decayed number of arrivals, about that of the last window."""
        return self._count(now_ms, prefix)

    def _count(self, now_ms: float, prefix: str) -> float:
        entry = self._counts.get(prefix)
        if entry is None:
            return 0.0
        count, at_ms = entry
        return count * math.exp((at_ms - now_ms) / self._window_ms)
