"""Ends the waits of requests before the process ends, so that each one is answered.

Every wait of a request goes through this module. What waits, and what ends it once the shutdown has begun:

| wait | ended by | then |
| --- | --- | --- |
| for the body of a request (`client_requests`) | `timeout_at` | 503: it was sent to no upstream |
| for a connection: the pool, dialling (`transport.upstreams`) | `timeout_at`, and the connect timeout | 503 |
| for a response, its body, or a client that reads it slowly | `timeout_at` | 504, or an aborted answer |
| between two attempts (`request_forwarding`) | `sleep_until` | 503, 502, or an aborted stream |

Admission by route, key and quota does not wait.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MS_PER_S = 1000.0


class ShutdownDeadline:
    """When the process stops working on requests: never, until its shutdown begins."""

    def __init__(self) -> None:
        """Start without a deadline."""
        self._loop = asyncio.get_running_loop()
        self._at_s = math.inf
        self._timeouts: set[asyncio.Timeout] = set()
        self._wake_times_s: dict[asyncio.Future[bool], float] = {}

    @property
    def at_ms(self) -> float:
        """The deadline in ms on the loop's clock; infinite while no shutdown has begun."""
        return self._at_s * MS_PER_S

    def comes_before(self, time_s: float) -> bool:
        """Whether requests have to be answered before this time of the loop's clock."""
        return self._at_s < time_s

    def begin(self, at_s: float) -> None:
        """Set the deadline, on the loop's clock, for the waits in progress and all later ones."""
        self._at_s = at_s
        for timeout in self._timeouts:
            until_s = timeout.when()
            if not timeout.expired() and (until_s is None or self.comes_before(until_s)):
                timeout.reschedule(at_s)
        for woken, wake_s in self._wake_times_s.items():
            if self.comes_before(wake_s) and not woken.done():
                woken.set_result(False)

    @asynccontextmanager
    async def timeout_at(self, until_s: float) -> AsyncIterator[asyncio.Timeout]:
        """As `asyncio.timeout_at`, but no later than the deadline, also if the shutdown begins meanwhile."""
        async with asyncio.timeout_at(min(until_s, self._at_s)) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)

    async def sleep_until(self, wake_s: float) -> bool:
        """Sleep until this time of the loop's clock.

        Returns:
            False, without sleeping on, as soon as it is known that the deadline comes first.
        """
        if self.comes_before(wake_s):
            return False
        woken: asyncio.Future[bool] = self._loop.create_future()
        timer = self._loop.call_at(wake_s, _wake, woken)
        self._wake_times_s[woken] = wake_s
        try:
            return await woken
        finally:
            timer.cancel()
            del self._wake_times_s[woken]


def _wake(woken: asyncio.Future[bool]) -> None:
    if not woken.done():
        woken.set_result(True)
