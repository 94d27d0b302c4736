"""A data plane's connection to one control plane, and what was published on it."""

from __future__ import annotations

from enum import Enum

from madderwind.distribution.remote_clock import RemoteClock
from madderwind.messages.distribution import Freshness

# The control plane's clock is requested again after so long, which doubles from the first to the last: the
# first message on a connection may have taken long to come.
INITIAL_CLOCK_INTERVAL_MS, MAX_CLOCK_INTERVAL_MS = 250.0, 20_000.0


class LinkState(Enum):
    """The states of the connection to one control plane."""

    WAITING = "waiting"  # to be connected at `due_ms`
    CONNECTING = "connecting"
    OPEN = "open"


class ControlPlaneLink:
    """A connection to one control plane. Times are ms on the own steady clock."""

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
        self._fresh_ms: float | None = None

    def handle_opened(self, now_ms: float) -> None:
        """It is up; the first that comes on it answers what is sent now."""
        self.last_received_ms = self._opened_ms = now_ms
        self._clock_interval_ms = INITIAL_CLOCK_INTERVAL_MS
        self._clock_due_ms = now_ms + INITIAL_CLOCK_INTERVAL_MS
        self.freshness, self._fresh_ms = None, None
        self._clock = RemoteClock()

    def handle_freshness(self, now_ms: float, freshness: Freshness) -> None:
        """The control plane publishes what is committed, and how old that knowledge is."""
        if self.freshness is None:
            self._clock.handle_reading(now_ms, self._opened_ms, freshness.clock_ms)
        self.freshness, self.freshness_ms = freshness, now_ms
        sent_ms = self._clock.sent_after_ms(now_ms, freshness.clock_ms)
        if sent_ms is not None and freshness.age_ms is not None:
            self._fresh_ms = sent_ms - freshness.age_ms
        else:
            self._fresh_ms = None

    def is_clock_due(self, now_ms: float) -> bool:
        """Whether the control plane's clock is to be requested."""
        return self.state is LinkState.OPEN and now_ms >= self._clock_due_ms

    def mark_clock_requested(self, now_ms: float) -> None:
        """It is requested now."""
        self._clock_interval_ms = min(2 * self._clock_interval_ms, MAX_CLOCK_INTERVAL_MS)
        self._clock_due_ms = now_ms + self._clock_interval_ms

    def handle_clock_reading(self, now_ms: float, requested_ms: float, clock_ms: float) -> None:
        """The control plane's clock, requested at that time."""
        self._clock.handle_reading(now_ms, requested_ms, clock_ms)

    def published_version(self) -> int:
        """The newest committed version that was published; 0 where there was none."""
        return 0 if self.freshness is None else self.freshness.version

    def age_ms(self, now_ms: float) -> float | None:
        """Since a primary was last known to hold its lease, as was published last.

        None where that is unknown.
        """
        return None if self._fresh_ms is None else now_ms - self._fresh_ms
