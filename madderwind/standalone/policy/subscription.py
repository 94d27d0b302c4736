"""When to ask discovery for the list of upstreams: it follows no list by itself where the settings say so.

What goes wrong is asked for again after the design's full-jitter wait, so that balancers which start or lose
discovery together spread out."""

from __future__ import annotations

from madderwind.balancing.retry_quota import FULL_BASE_MS, RetryQuota
from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind


class Subscription:
    """Whether discovery tells every change by now (`following`), and how often it was asked in vain."""

    def __init__(self, settings: api.Settings, quota: RetryQuota) -> None:
        self.tune(settings)
        self._quota, self._asks, self.following = quota, 0, False

    def tune(self, settings: api.Settings) -> None:
        """New settings, from now on."""
        self._settings = settings

    def listed(self, kind: ListKind) -> float | None:
        """A list came. Milliseconds after which to ask for one, as it was an old one; None: no need to."""
        if kind is ListKind.CACHED:
            return self._next_wait_ms() if self._settings.must_ask else None
        self.following, self._asks = self._settings.must_ask, 0
        return None

    def broke(self) -> float:
        """A call failed, or a subscription broke: milliseconds after which to ask anew."""
        self.following = False
        return self._next_wait_ms()

    def _next_wait_ms(self) -> float:
        base_ms = max(FULL_BASE_MS, self._settings.ask_within_ms / 2)
        wait_ms = self._quota.wait_ms(base_ms, self._asks)
        self._asks += 1
        return wait_ms
