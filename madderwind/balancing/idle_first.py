"""Idle-first selection of upstreams by one data plane's own requests in flight.

As specified in the project's design page: a balancer selects at random among upstreams where it has nothing
in flight; if there are none, among those at or below its own mean in flight. An upstream that has not
responded yet counts as the mean. A retry avoids the upstreams just tried.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from madderwind.balancing.candidates import idle_first


class IdleFirstPick:
    """Selects an upstream by the number of this balancer's requests in flight at each."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: dict[str, int] = {}  # without upstreams that have nothing in flight
        self._responded: set[str] = set()

    def pick(self, candidates: Sequence[str], avoid: frozenset[str]) -> str | None:
        """Select a candidate, outside `avoid` if there are others; None if there are no candidates."""
        preferred = [upstream for upstream in candidates if upstream not in avoid] or candidates
        eligible = idle_first(preferred, self._is_idle, self._load)
        return self._rng.choice(eligible) if eligible else None

    def began(self, upstream: str) -> None:
        """Record that a request was sent to the upstream."""
        self._in_flight[upstream] = self.in_flight(upstream) + 1

    def ended(self, upstream: str) -> None:
        """Record the end of a request at the upstream, whatever its outcome."""
        remaining = self.in_flight(upstream) - 1
        if remaining > 0:
            self._in_flight[upstream] = remaining
        else:
            self._in_flight.pop(upstream, None)

    def heard(self, upstream: str) -> None:
        """Record a response from the upstream: it is alive, and its requests in flight count as its load."""
        self._responded.add(upstream)

    def forget(self, upstream: str) -> None:
        """Forget a permanently removed upstream; its requests in flight are counted until they end."""
        self._responded.discard(upstream)

    def in_flight(self, upstream: str) -> int:
        """The number of this balancer's requests in flight at the upstream."""
        return self._in_flight.get(upstream, 0)

    def _is_idle(self, upstream: str) -> bool:
        return upstream not in self._in_flight

    def _load(self, upstream: str) -> float | None:
        return self.in_flight(upstream) if upstream in self._responded else None
