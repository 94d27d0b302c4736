"""The host's clock: Unix milliseconds at the program's start, advanced by the monotonic clock.

Setting the system clock while the program runs does not affect it. Unix times in the list of upstreams need
no conversion, since the offset is taken from the system clock once.
"""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        return (time.monotonic() + self._offset_s) * 1000

    def loop_time_s(self, at_ms: float) -> float:
        """Convert a time of this clock to the event loop's clock, which is monotonic."""
        return at_ms / 1000 - self._offset_s
