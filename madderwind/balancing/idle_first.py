"""The design's idle-first pick over upstreams' ids, for one data plane and its own requests in flight.

Source: the project's design page. A balancer picks at random among upstreams where it has nothing in flight;
failing that, among those at or under its own mean in flight. One that it has not heard from counts as at the
mean. A retry avoids the upstreams just tried.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from madderwind.balancing.candidates import idle_first


class IdleFirstPick:
    """Counts this balancer's requests in flight at each upstream, and picks by them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: dict[str, int] = {}  # upstreams with nothing in flight are left out
        self._heard_from: set[str] = set()

    def pick(self, candidates: Sequence[str], avoid: frozenset[str]) -> str | None:
        """One of the candidates, outside `avoid` where there are others; None where there are none."""
        preferred = [upstream for upstream in candidates if upstream not in avoid] or candidates
        drawn_from = idle_first(preferred, self._is_idle, self._load)
        return self._rng.choice(drawn_from) if drawn_from else None

    def began(self, upstream: str) -> None:
        """A request goes out to the upstream."""
        self._in_flight[upstream] = self.in_flight(upstream) + 1

    def ended(self, upstream: str) -> None:
        """A request at the upstream is over, however it ended."""
        left = self.in_flight(upstream) - 1
        if left > 0:
            self._in_flight[upstream] = left
        else:
            self._in_flight.pop(upstream, None)

    def heard(self, upstream: str) -> None:
        """The upstream answered something, which shows that it lives and how it bears what it holds."""
        self._heard_from.add(upstream)

    def forget(self, upstream: str) -> None:
        """The upstream is gone for good; requests that are still out there are counted until they end."""
        self._heard_from.discard(upstream)

    def in_flight(self, upstream: str) -> int:
        """This balancer's requests at the upstream."""
        return self._in_flight.get(upstream, 0)

    def _is_idle(self, upstream: str) -> bool:
        return upstream not in self._in_flight

    def _load(self, upstream: str) -> float | None:
        return self.in_flight(upstream) if upstream in self._heard_from else None
