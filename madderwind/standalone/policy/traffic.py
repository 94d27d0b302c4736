"""This balancer's part of the tier's traffic, by the rates that balancers tell one another.

Guards against even parts where each caller has a balancer of its own: most carry little, some far more."""

from __future__ import annotations

import math

from madderwind.balancing.estimates import ArrivalRate
from madderwind.standalone.policy import api, peer_messages

TELL_MS, FIRST_TELL_MS = 1000.0, 200.0  # rates are told at most so often; at first
# Who carries little tells less often: a message to a balancer costs so many requests.
REQUESTS_A_MESSAGE, LONGEST_TELL_MS = 0.3, 10_000.0
SILENT_WAITS = 3.0  # without a message: that balancer is gone
SUM_EVERY_MS = 250.0  # not with each message: they grow with the square of the balancers


class Traffic:
    """The own rate and those that others told. `failed`: marks of upstreams to tell the others of."""

    def __init__(self, settings: api.Settings) -> None:
        self.tune(settings)
        self.arrivals, self.failed = ArrivalRate(), list[int]()
        self._heard: dict[int, tuple[float, float]] = {}  # rates, and when they were heard
        self._others, self._summed_ms = 0.0, -math.inf
        self._telling_ms = math.inf  # since when

    def tune(self, settings: api.Settings) -> None:
        """New settings, from now on."""
        self.copies, self._may_tell = max(1, settings.copies), settings.may_tell

    def begins_to_tell(self, now: float) -> bool:
        """Whether this is the first event at which others may be told."""
        begins = self._may_tell and math.isinf(self._telling_ms)
        if begins:
            self._telling_ms = now
        return begins

    def heard(self, peer: int, message: bytes, now: float) -> frozenset[int]:
        """Takes another balancer's message; returns the marks of upstreams that failed it."""
        told = peer_messages.decode(message)
        if told is None or not 0 <= peer < self.copies:
            return frozenset()
        self._heard[peer] = told.rate, now
        return told.marks

    def tell(self, now: float) -> bytes:
        """The message for all others; each failure is told once."""
        marks, self.failed = self.failed, []
        return peer_messages.encode(self.arrivals.per_second(now), marks)

    def next_tell_ms(self, now: float) -> float:
        """How long to wait for the next message; less early on, as the rate soon changes."""
        usual_ms = self._tell_ms(self.arrivals.per_second(now))
        return min(usual_ms, max(FIRST_TELL_MS, now - self._telling_ms))

    def _tell_ms(self, rate: float) -> float:
        """How long a balancer with that rate waits between messages."""
        most = REQUESTS_A_MESSAGE * self.copies / max(rate, 1e-9) * 1000
        return max(TELL_MS, min(LONGEST_TELL_MS, most))

    def part(self, now: float) -> float:
        """Of the tier's traffic. A silent balancer carries nothing, one never heard as much as the mean."""
        if not self._heard:  # before the first message, within which one with much traffic would refuse it
            at_first = now - self.arrivals.first_ms < 2 * FIRST_TELL_MS
            return 1.0 if self._may_tell and at_first else 1 / self.copies
        if now - self._summed_ms >= SUM_EVERY_MS:
            alive = sum(
                rate for rate, at in self._heard.values() if now - at < SILENT_WAITS * self._tell_ms(rate)
            )
            self._others, self._summed_ms = alive * max(1.0, (self.copies - 1) / len(self._heard)), now
        own = self.arrivals.per_second(now)
        return own / max(own + self._others, 1e-9)
