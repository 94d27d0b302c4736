"""Which upstreams to leave out for a while, by this data plane's own traffic. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import Enum

import msgspec

# An upstream is left out for a time that doubles with each failure in a row, a random part of it off.
FIRST_EJECTION_MS, LONGEST_EJECTION_MS = 250.0, 5000.0
# A connection that did not come up is proof; so many broken answers in a row are.
BROKEN_IN_A_ROW = 2


class HealthState(Enum):
    """How an upstream stands in this data plane's own view."""

    HEALTHY = "healthy"
    EJECTED = "ejected"  # takes nothing until `until_ms`
    PROBING = "probing"  # takes one request at a time, until one succeeds


class _Health(msgspec.Struct):
    state: HealthState = HealthState.HEALTHY
    until_ms: float = 0.0
    ejections: int = 0
    broken: int = 0
    in_flight: int = 0


class UpstreamHealth:
    """The health of upstreams that failed lately; all others are healthy."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: dict[str, _Health] = {}

    def connect_failed(self, now_ms: float, instance: str) -> None:
        """A connection to it did not come up."""
        self._eject(now_ms, self._suspects.setdefault(instance, _Health()))

    def broke(self, now_ms: float, instance: str) -> None:
        """A request that was sent to it got no answer that can be used."""
        health = self._suspects.setdefault(instance, _Health())
        health.broken += 1
        if health.broken >= BROKEN_IN_A_ROW or health.state is not HealthState.HEALTHY:
            self._eject(now_ms, health)

    def succeeded(self, instance: str) -> None:
        """It gave an answer."""
        if instance in self._suspects:
            self._change(self._suspects[instance], HealthState.HEALTHY)
            del self._suspects[instance]

    def began(self, instance: str) -> None:
        """A request goes to it."""
        if instance in self._suspects:
            self._suspects[instance].in_flight += 1

    def ended(self, instance: str) -> None:
        """A request at it is over."""
        health = self._suspects.get(instance)
        if health is not None and health.in_flight:
            health.in_flight -= 1

    def forget(self, instance: str) -> None:
        """It is gone for good."""
        self._suspects.pop(instance, None)

    def to_avoid(self, now_ms: float, candidates: Iterable[str]) -> frozenset[str]:
        """Those that should take nothing now."""
        if not self._suspects:
            return frozenset()
        return frozenset(instance for instance in candidates if self._is_out(now_ms, instance))

    def _is_out(self, now_ms: float, instance: str) -> bool:
        health = self._suspects.get(instance)
        if health is None:
            return False
        if health.state is HealthState.EJECTED and now_ms >= health.until_ms:
            self._change(health, HealthState.PROBING)
        if health.state is HealthState.PROBING:
            return health.in_flight > 0
        return health.state is HealthState.EJECTED

    def _eject(self, now_ms: float, health: _Health) -> None:
        if health.state is HealthState.EJECTED and now_ms < health.until_ms:
            return  # what was out when it was ejected tells nothing new
        window_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2.0**health.ejections)
        health.until_ms = now_ms + window_ms * self._rng.uniform(0.5, 1.0)
        self._change(health, HealthState.EJECTED)

    def _change(self, health: _Health, state: HealthState) -> None:
        """The one place where an upstream's health changes."""
        health.state = state
        if state is HealthState.EJECTED:
            health.ejections += 1
            health.in_flight = 0
