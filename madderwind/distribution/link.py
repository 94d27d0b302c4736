"""A data plane's connection to one control plane, with the freshness that was published on it."""

from __future__ import annotations

from enum import Enum

from madderwind.distribution.remote_clock import RemoteClock
from madderwind.messages.distribution import Freshness

# The interval between clock requests doubles from the initial to the maximum value. It starts short because
# the first message on a connection may have been delayed.
INITIAL_CLOCK_INTERVAL_MS, MAX_CLOCK_INTERVAL_MS = 250.0, 20_000.0


class LinkState(Enum):
    """The states of the connection to one control plane."""

    WAITING = "waiting"  # the next connection attempt is due at `due_ms`
    CONNECTING = "connecting"
    OPEN = "open"


class ControlPlaneLink:
    """A connection to one control plane. Times are milliseconds of the local monotonic clock."""

    def __init__(self, address: str, now_ms: float) -> None:
        self.address = address
        self.state = LinkState.WAITING
        self.due_ms = now_ms
        self.failures = 0
        self.last_received_ms = now_ms
        self.freshness: Freshness | None = None
        self.freshness_ms = now_ms
        self._clock_due_ms = now_ms
        self._clock_interval_ms = INITIAL_CLOCK_INTERVAL_MS
        self._opened_ms = now_ms
        self._clock = RemoteClock()
        self._lease_held_ms: float | None = None

    def handle_opened(self, now_ms: float) -> None:
        """Reset the link for a new connection.

        The subscription sent now serves as the first clock request: the first freshness responds to it.
        """
        self.last_received_ms = self._opened_ms = now_ms
        self._clock_interval_ms = INITIAL_CLOCK_INTERVAL_MS
        self._clock_due_ms = now_ms + INITIAL_CLOCK_INTERVAL_MS
        self.freshness, self._lease_held_ms = None, None
        self._clock = RemoteClock()

    def handle_freshness(self, now_ms: float, freshness: Freshness) -> None:
        """Record the committed version that the control plane published, and how old that information is."""
        if self.freshness is None:
            self._clock.handle_reading(now_ms, self._opened_ms, freshness.clock_ms)
        self.freshness, self.freshness_ms = freshness, now_ms
        sent_ms = self._clock.sent_after_ms(now_ms, freshness.clock_ms)
        if sent_ms is not None and freshness.age_ms is not None:
            self._lease_held_ms = sent_ms - freshness.age_ms
        else:
            self._lease_held_ms = None

    def is_clock_due(self, now_ms: float) -> bool:
        """Whether a request for the control plane's clock is due."""
        return self.state is LinkState.OPEN and now_ms >= self._clock_due_ms

    def mark_clock_requested(self, now_ms: float) -> None:
        """Schedule the next clock request."""
        self._clock_interval_ms = min(2 * self._clock_interval_ms, MAX_CLOCK_INTERVAL_MS)
        self._clock_due_ms = now_ms + self._clock_interval_ms

    def handle_clock_reading(self, now_ms: float, requested_ms: float, clock_ms: float) -> None:
        """Record a reading of the control plane's clock that was requested at `requested_ms`."""
        self._clock.handle_reading(now_ms, requested_ms, clock_ms)

    def published_version(self) -> int:
        """The committed version that was last published on this connection; 0 if there is none."""
        return 0 if self.freshness is None else self.freshness.version

    def age_ms(self, now_ms: float) -> float | None:
        """Time since a primary was last known to hold its lease, by the freshness published last.

        None if that is unknown.
        """
        return None if self._lease_held_ms is None else now_ms - self._lease_held_ms
