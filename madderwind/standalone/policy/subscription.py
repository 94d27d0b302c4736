"""When to call discovery for the list of upstreams; the settings say whether the balancer has to subscribe.

Failed calls are repeated after a wait with full jitter, so that balancers which start or lose discovery at
the same time spread their calls."""

from __future__ import annotations

from madderwind.balancing.retry_quota import FULL_BASE_MS, RetryQuota
from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind


class Subscription:
    """Whether discovery sends every change (`following`), and the number of calls since the last list."""

    def __init__(self, settings: api.Settings, quota: RetryQuota) -> None:
        self.apply_settings(settings)
        self._quota, self._calls, self.following = quota, 0, False

    def apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings

    def list_received(self, kind: ListKind) -> float | None:
        """Milliseconds until a call for the list, if this one is outdated; None if no call is needed."""
        if kind is ListKind.CACHED:
            return self._next_wait_ms() if self._settings.must_ask else None
        self.following, self._calls = self._settings.must_ask, 0
        return None

    def call_failed(self) -> float:
        """Milliseconds until the next call, after a call failed or a subscription broke."""
        self.following = False
        return self._next_wait_ms()

    def _next_wait_ms(self) -> float:
        base_ms = max(FULL_BASE_MS, self._settings.ask_within_ms / 2)
        wait_ms = self._quota.wait_ms(base_ms, self._calls)
        self._calls += 1
        return wait_ms
