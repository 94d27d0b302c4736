"""What balancers said of zones lately, this one among them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from madderwind.standalone.evacuation.areas import zone_mark
from madderwind.standalone.evacuation.decision import Said
from madderwind.standalone.evacuation.messages import View

VIEW_KEPT_MS = 1500.0


class Views:
    """The latest view of each balancer. `heard_ms`: when any of the others last said anything."""

    def __init__(self, me: int) -> None:
        self._me = me
        self.heard_ms = -math.inf
        self._latest: dict[int, tuple[float, View]] = {}

    def hear(self, now: float, copy: int, view: View) -> None:
        """A balancer's view."""
        self._latest[copy] = now, view

    def drop(self, copy: int) -> None:
        """A balancer has nothing to say any more."""
        self._latest.pop(copy, None)

    def clear(self) -> None:
        """What was said was not heard in time."""
        self._latest.clear()

    def expire(self, now: float) -> None:
        """Drop views that are too old to say anything of now."""
        self._latest = {c: v for c, v in self._latest.items() if now - v[0] <= VIEW_KEPT_MS}

    def all(self) -> list[Said]:
        """Every view, by the balancers' numbers."""
        return [Said(copy, view, at_ms) for copy, (at_ms, view) in sorted(self._latest.items())]

    def of_others(self) -> list[Said]:
        """The views of all but this balancer."""
        return [Said(c, view, at_ms) for c, (at_ms, view) in self._latest.items() if c != self._me]

    def any_bad(self) -> bool:
        """Whether anybody accuses any upstream."""
        return any(report.bads for _, view in self._latest.values() for report in view.zones.values())

    def accused(self, zones: Iterable[str]) -> set[str]:
        """Those of these zones that some other balancer calls mostly bad."""
        marks = {
            mark
            for said in self.of_others()
            for mark, report in said.view.zones.items()
            if len(report.bads) > len(report.goods)
        }
        return {zone for zone in zones if zone_mark(zone) in marks}
