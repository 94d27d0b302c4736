"""How often a prompt prefix is asked for: decayed counts of this balancer's own arrivals."""

from __future__ import annotations

import math
from collections import OrderedDict

MAX_PREFIXES = 4096


class PrefixRates:
    """Arrivals a second by prefix, averaged over about `window_ms`."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._counts: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def arrived(self, now_ms: float, prefix: str) -> None:
        """Count one arrival."""
        count = self._count(now_ms, prefix)
        self._counts[prefix] = (count + 1.0, now_ms)
        self._counts.move_to_end(prefix)
        if len(self._counts) > MAX_PREFIXES:
            self._counts.popitem(last=False)

    def count(self, now_ms: float, prefix: str) -> float:
        """The decayed number of arrivals within the window."""
        return self._count(now_ms, prefix)

    def _count(self, now_ms: float, prefix: str) -> float:
        known = self._counts.get(prefix)
        if known is None:
            return 0.0
        count, at_ms = known
        return count * math.exp((at_ms - now_ms) / self._window_ms)
