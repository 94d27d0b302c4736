"""Passive health checks: ejects upstreams that failed this data plane's own requests. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import Enum

import msgspec

# The ejection time doubles with each consecutive ejection; a random part of it is subtracted.
INITIAL_EJECTION_MS, MAX_EJECTION_MS = 250.0, 5000.0
# One failed connection ejects an upstream; of unusable responses it takes this many in a row.
FAILURES_TO_EJECT = 2


class HealthState(Enum):
    """The health of an upstream as seen by this data plane."""

    HEALTHY = "healthy"
    EJECTED = "ejected"  # receives no requests until `until_ms`
    PROBING = "probing"  # receives one request at a time until one succeeds


class _Health(msgspec.Struct):
    state: HealthState = HealthState.HEALTHY
    until_ms: float = 0.0
    ejections: int = 0
    consecutive_failures: int = 0
    in_flight: int = 0


class UpstreamHealth:
    """Tracks the upstreams that failed recently; all others are healthy."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: dict[str, _Health] = {}

    def connect_failed(self, now_ms: float, instance: str) -> None:
        """Record that a connection to the upstream could not be established."""
        self._eject(now_ms, self._suspects.setdefault(instance, _Health()))

    def request_failed(self, now_ms: float, instance: str) -> None:
        """Record that a request sent to the upstream got no usable response."""
        health = self._suspects.setdefault(instance, _Health())
        health.consecutive_failures += 1
        if health.consecutive_failures >= FAILURES_TO_EJECT or health.state is not HealthState.HEALTHY:
            self._eject(now_ms, health)

    def succeeded(self, instance: str) -> None:
        """Record that the upstream responded."""
        if instance in self._suspects:
            self._change_state(self._suspects[instance], HealthState.HEALTHY)
            del self._suspects[instance]

    def began(self, instance: str) -> None:
        """Record the start of a request to the upstream."""
        if instance in self._suspects:
            self._suspects[instance].in_flight += 1

    def ended(self, instance: str) -> None:
        """Record the end of a request to the upstream."""
        health = self._suspects.get(instance)
        if health is not None and health.in_flight:
            health.in_flight -= 1

    def forget(self, instance: str) -> None:
        """Drop the state of an upstream that was removed."""
        self._suspects.pop(instance, None)

    def unavailable(self, now_ms: float, candidates: Iterable[str]) -> frozenset[str]:
        """The candidates that should receive no requests now."""
        if not self._suspects:
            return frozenset()
        return frozenset(instance for instance in candidates if self._is_unavailable(now_ms, instance))

    def _is_unavailable(self, now_ms: float, instance: str) -> bool:
        health = self._suspects.get(instance)
        if health is None:
            return False
        if health.state is HealthState.EJECTED and now_ms >= health.until_ms:
            self._change_state(health, HealthState.PROBING)
        if health.state is HealthState.PROBING:
            return health.in_flight > 0
        return health.state is HealthState.EJECTED

    def _eject(self, now_ms: float, health: _Health) -> None:
        if health.state is HealthState.EJECTED and now_ms < health.until_ms:
            return  # requests in flight when it was ejected are no new evidence
        window_ms = min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2.0**health.ejections)
        health.until_ms = now_ms + window_ms * self._rng.uniform(0.5, 1.0)
        self._change_state(health, HealthState.EJECTED)

    def _change_state(self, health: _Health, state: HealthState) -> None:
        """Change an upstream's health state; no other code does."""
        health.state = state
        if state is HealthState.EJECTED:
            health.ejections += 1
            health.in_flight = 0
