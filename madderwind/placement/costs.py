"""What a placement costs, in parts of an answer's worth: lateness, prompts read again, zones crossed."""

from __future__ import annotations

import math

import msgspec

# Beyond this many widths a logistic curve is 0 or 1.
CURVE_END = 30.0


class PlacementCosts(msgspec.Struct, frozen=True):
    """The operator's weighing. Costs are in parts of the worth that an answer loses by being late."""

    late: float = 1.0
    failed: float = 1.4
    reread_per_token: float = 0.1 / 1000.0
    cross_zone_per_byte: float = 1e-6
    # A first event predicted at this share of the objective is as often late as not.
    late_midpoint: float = 0.85
    late_width: float = 0.12
    # Prefer the quicker even where none is late.
    slower: float = 0.2

    def late_cost(self, first_ms: float, aim_ms: float) -> float:
        """The cost of a first event predicted at `first_ms`."""
        share = first_ms / aim_ms if aim_ms > 0.0 else 1.0
        steepness = (share - self.late_midpoint) / self.late_width
        if steepness > CURVE_END:
            return self.late + self.slower * share
        return self.late / (1.0 + math.exp(-steepness)) + self.slower * share
