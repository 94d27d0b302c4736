"""The host's clock: Unix milliseconds at the program's start, carried on by the monotonic clock.

Guards against a system clock that is set while the program runs. Unix times of the list of upstreams are on
this clock as they are, since it is read from the system's clock once.
"""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        return (time.monotonic() + self._offset_s) * 1000

    def loop_time_s(self, at_ms: float) -> float:
        """A time of this clock on the event loop's clock, which is the monotonic one."""
        return at_ms / 1000 - self._offset_s
