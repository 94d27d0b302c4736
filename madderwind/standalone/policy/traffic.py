"""This balancer's share of the tier's traffic, computed from the rates that balancers send one another.

Equal shares would be wrong where each caller has a balancer of its own: most of these carry little traffic,
some far more."""

from __future__ import annotations

import math

from madderwind.balancing.estimates import ArrivalRate
from madderwind.standalone.policy import api, peer_messages

# The shortest interval between messages with rates, and the interval at first.
MIN_INTERVAL_MS, FIRST_INTERVAL_MS = 1000.0, 200.0
# A balancer with little traffic sends less often: a message to one peer costs as much as this many requests.
REQUESTS_PER_MESSAGE, MAX_INTERVAL_MS = 0.3, 10_000.0
SILENT_INTERVALS = 3.0  # a balancer that sent no message for so many intervals counts as stopped
SUM_INTERVAL_MS = 250.0  # a sum per message would cost quadratically in the number of balancers


class Traffic:
    """This balancer's rate and its peers'. `failed_marks`: upstreams whose failure is yet to be sent."""

    def __init__(self, settings: api.Settings) -> None:
        self.apply_settings(settings)
        self.arrivals, self.failed_marks = ArrivalRate(), list[int]()
        self._heard: dict[int, tuple[float, float]] = {}  # rate of each peer, and when it was received
        self._peer_rate, self._summed_ms = 0.0, -math.inf
        self._publishing_since_ms = math.inf

    def apply_settings(self, settings: api.Settings) -> None:
        self.balancer_count, self._may_publish = max(1, settings.copies), settings.may_tell

    def starts_publishing(self, now: float) -> bool:
        """Whether this is the first event at which peers may be sent messages."""
        starts = self._may_publish and math.isinf(self._publishing_since_ms)
        if starts:
            self._publishing_since_ms = now
        return starts

    def receive(self, peer: int, message: bytes, now: float) -> frozenset[int]:
        """Record a peer's message; return the marks of upstreams that failed it."""
        decoded = peer_messages.decode(message)
        if decoded is None or not 0 <= peer < self.balancer_count:
            return frozenset()
        self._heard[peer] = decoded.rate, now
        return decoded.marks

    def next_message(self, now: float) -> bytes:
        """The message for all peers; it takes over the failures to send, so each is sent once."""
        marks, self.failed_marks = self.failed_marks, []
        return peer_messages.encode(self.arrivals.per_second(now), marks)

    def next_message_after_ms(self, now: float) -> float:
        """The time until the next message; shorter early on, as the rate changes quickly then."""
        regular_ms = self._interval_ms(self.arrivals.per_second(now))
        return min(regular_ms, max(FIRST_INTERVAL_MS, now - self._publishing_since_ms))

    def _interval_ms(self, rate: float) -> float:
        """The interval between messages of a balancer with that rate."""
        by_cost_ms = REQUESTS_PER_MESSAGE * self.balancer_count / max(rate, 1e-9) * 1000
        return max(MIN_INTERVAL_MS, min(MAX_INTERVAL_MS, by_cost_ms))

    def part(self, now: float) -> float:
        """This balancer's share. A silent peer counts as 0, one that never sent a message as the mean."""
        if not self._heard:  # at first all of it, as an equal share would refuse requests at a busy balancer
            at_first = now - self.arrivals.first_ms < 2 * FIRST_INTERVAL_MS
            return 1.0 if self._may_publish and at_first else 1 / self.balancer_count
        if now - self._summed_ms >= SUM_INTERVAL_MS:
            alive_rate = sum(
                rate
                for rate, at_ms in self._heard.values()
                if now - at_ms < SILENT_INTERVALS * self._interval_ms(rate)
            )
            self._peer_rate, self._summed_ms = (
                alive_rate * max(1.0, (self.balancer_count - 1) / len(self._heard)),
                now,
            )
        own = self.arrivals.per_second(now)
        return own / max(own + self._peer_rate, 1e-9)
