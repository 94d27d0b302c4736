"""Cost of a placement: lateness, failure, repeated prefill of cached prompts and cross-zone traffic."""

from __future__ import annotations

import math

import msgspec

# Beyond this many widths from its midpoint a logistic curve is 0 or 1.
LOGISTIC_SATURATION = 30.0


class PlacementCosts(msgspec.Struct, frozen=True):
    """Weights of the cost terms. The unit is the value that a response loses by being late."""

    late: float = 1.0
    failed: float = 1.4
    reread_per_token: float = 0.1 / 1000.0
    cross_zone_per_byte: float = 1e-6
    # A first event predicted at this fraction of the objective is late with a probability of one half.
    late_midpoint: float = 0.85
    late_width: float = 0.12
    # Prefers the faster upstream even if no candidate is expected to be late.
    slower: float = 0.2

    def late_cost(self, first_ms: float, aim_ms: float) -> float:
        """The cost of a first event predicted after `first_ms`, with the objective `aim_ms`."""
        objective_fraction = first_ms / aim_ms if aim_ms > 0.0 else 1.0
        logistic_argument = (objective_fraction - self.late_midpoint) / self.late_width
        if logistic_argument > LOGISTIC_SATURATION:
            return self.late + self.slower * objective_fraction
        return self.late / (1.0 + math.exp(-logistic_argument)) + self.slower * objective_fraction
