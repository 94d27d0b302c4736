"""The recent views of all balancers, including this one."""

from __future__ import annotations

import math
from collections.abc import Iterable

from madderwind.standalone.evacuation.areas import zone_mark
from madderwind.standalone.evacuation.decision import ReceivedView
from madderwind.standalone.evacuation.messages import View

VIEW_TTL_MS = 1500.0


class Views:
    """The latest view of each balancer.

    `last_message_ms`: when a message of any kind last arrived from another balancer.
    """

    def __init__(self, me: int) -> None:
        self._me = me
        self.last_message_ms = -math.inf
        self._latest: dict[int, tuple[float, View]] = {}

    def receive(self, now: float, balancer: int, view: View) -> None:
        """Record a balancer's view."""
        self._latest[balancer] = now, view

    def remove(self, balancer: int) -> None:
        """Remove the view of a balancer that has nothing to report any more."""
        self._latest.pop(balancer, None)

    def clear(self) -> None:
        """Discard all views, which were not processed in time."""
        self._latest.clear()

    def expire(self, now: float) -> None:
        """Discard views older than the time to live."""
        self._latest = {
            balancer: latest for balancer, latest in self._latest.items() if now - latest[0] <= VIEW_TTL_MS
        }

    def all(self) -> list[ReceivedView]:
        """Every view, ordered by the balancers' numbers."""
        return [
            ReceivedView(balancer, view, at_ms) for balancer, (at_ms, view) in sorted(self._latest.items())
        ]

    def from_peers(self) -> list[ReceivedView]:
        """The views of all but this balancer."""
        return [
            ReceivedView(balancer, view, at_ms)
            for balancer, (at_ms, view) in self._latest.items()
            if balancer != self._me
        ]

    def has_accusation(self) -> bool:
        """Whether any view reports a failing upstream."""
        return any(report.failing for _, view in self._latest.values() for report in view.zones.values())

    def accused(self, zones: Iterable[str]) -> set[str]:
        """Those of these zones that another balancer reports as mostly failing."""
        marks = {
            mark
            for received in self.from_peers()
            for mark, report in received.view.zones.items()
            if len(report.failing) > len(report.responding)
        }
        return {zone for zone in zones if zone_mark(zone) in marks}
