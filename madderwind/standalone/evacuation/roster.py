"""The balancers of a fleet as known to one of them."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from madderwind.standalone.evacuation.messages import FLEET_SCOPE


class Roster(msgspec.Struct, frozen=True):
    """The balancers of the fleet.

    `living` returns the balancers not considered dead, including this one; `able` those of them that receive
    requests; `carried_per_s` the requests a second of all of them together, as far as known.
    """

    me: int
    home_zone: str  # the zone in which this balancer runs
    living: Callable[[], list[int]]
    able: Callable[[], list[int]]
    carried_per_s: Callable[[], float]

    def in_scope(self, scope: int, zones: int) -> int:
        """Number of live balancers in a scope, assumed to be spread evenly over this number of zones."""
        living = len(self.living())
        return living if scope == FLEET_SCOPE else math.ceil(living / max(1, zones))
