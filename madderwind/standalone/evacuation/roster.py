"""The balancers of a fleet as one of them knows them."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from madderwind.standalone.evacuation.messages import EVERYWHERE


class Roster(msgspec.Struct, frozen=True):
    """`living` tells the balancers not held dead, this one among them; `able` those of them that requests
    come to; `carried_per_s` the requests a second that all together carry, as far as that is known."""

    me: int
    standing: str  # the zone in which this balancer stands
    living: Callable[[], list[int]]
    able: Callable[[], list[int]]
    carried_per_s: Callable[[], float]

    def in_scope(self, scope: int, zones: int) -> int:
        """How many live there, of a fleet over so many zones; those of one are taken to be as many as of any
        other."""
        living = len(self.living())
        return living if scope == EVERYWHERE else math.ceil(living / max(1, zones))
