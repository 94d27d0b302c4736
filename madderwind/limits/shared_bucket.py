"""One tenant's token bucket as seen by one data plane: refilled at the whole rate, drawn by the whole fleet.

Every data plane keeps such a bucket of its own. Its own admissions are drawn at once, those of the others
when they are reported. Requests are admitted at random, with a probability that is the same for all sizes and
at all data planes (lower for requests that are already late, which count for proportionally less in the
demand; see `limits.quota`):

    admission ratio = (rate x HORIZON + level + margin) / (demand x HORIZON)

where `demand` is the demand at all data planes together, per second. The probability is the ratio, or 1 where
the ratio is above 1. Below the limit it is 1 until the level is used up. Above the limit, the fleet admits
rate + (level + margin) / HORIZON: the level settles at minus the margin, and the data planes don't have to
agree on which of them takes the next token.

Why the sum stays within the fleet-wide limit: a bucket that learned of every admission at once would limit
the sum to rate x window + burst + margin + rate x HORIZON in any window, as each admission is drawn, nothing
but the rate refills the bucket, and the ratio is 0 below that. A level here exceeds that bucket's by the
admissions elsewhere that are not reported yet, and no more than that can be admitted in excess. It is drawn
as soon as it is reported, and refilled before more is admitted, so it counts once:

    admitted in any window <= rate x (window + HORIZON) + burst + margin + (the maximum unreported amount).

While the level is high, the last term is the demand of the fleet during the reporting delay; at the margin
it is the rate during that delay. Where the ratio is between 1 and LATE_ADMIT_ALL_RATIO, late requests are
admitted beyond their part of the demand: then the last term is the demand of the fleet, too.
tests/limits/test_quota_fleet.py checks the sum against the fleet-wide limit.
"""

from __future__ import annotations

import math

from madderwind.limits.demand import MS_PER_S, DecayingRate
from madderwind.limits.quota_terms import QuotaTerms

# The time over which the level is spread. It must exceed the delay until an admission is reported, or the
# level oscillates.
HORIZON_S = 0.6
DEMAND_TIME_CONSTANT_S = 0.5
USE_TIME_CONSTANT_S = 1.0
# The average delay until the usage of the others is reported.
REPORT_DELAY_S = 0.25
# The time from the loss of a connection to its detection.
LOSS_DETECTION_DELAY_S = 0.7
# The time after a reconnection in which the others' usage during the outage is reported.
CATCH_UP_MS = 1_000.0
# The time constant for a decrease of the others' demand: a data plane that is briefly disconnected still has
# its demand.
PEER_DEMAND_DECAY_S = 0.5
MEAN_DEMAND_TIME_CONSTANT_S = 4.0
# The maximum retry delay, which also bounds the backlog of refused requests.
MAX_RETRY_AFTER_S = 30.0


class SharedBucket:
    """A token bucket whose level is in the tenant's unit (tokens or requests) and may be below zero."""

    def __init__(self, now_ms: float, terms: QuotaTerms, level: float) -> None:
        self.terms = terms
        self._level = level
        self._updated_ms = now_ms
        self._own_demand = DecayingRate(DEMAND_TIME_CONSTANT_S)
        self._own_use = DecayingRate(LOSS_DETECTION_DELAY_S)
        self._peer_use = DecayingRate(USE_TIME_CONSTANT_S)
        self._peer_demand = 0.0
        self._reported_peer_demand = 0.0
        self._mean_peer_demand = 0.0
        self._is_connected = True
        self._assumed_use = 0.0
        self._caught_up_ms = now_ms
        self._refused_backlog = 0.0
        self._backlog_at_ms = now_ms

    def change_terms(self, now_ms: float, terms: QuotaTerms) -> None:
        """Apply new terms at once; the level is kept, up to the new burst."""
        self._advance(now_ms)
        self.terms = terms
        self._level = min(self._level, terms.burst)

    def set_connected(self, now_ms: float, is_connected: bool) -> None:
        """Set whether the others' usage is reported. While it is not, it is assumed to continue as before."""
        self._advance(now_ms)
        if is_connected and not self._is_connected:
            self._caught_up_ms = now_ms + CATCH_UP_MS
        elif self._is_connected and not is_connected:
            self._draw_assumed_use(self.peer_use_before_detection(now_ms))
        self._is_connected = is_connected

    def record_demand(self, now_ms: float, amount: float) -> None:
        """Count a request, admitted or not."""
        self._own_demand.add(now_ms, amount)

    def spend(self, now_ms: float, amount: float) -> None:
        """Draw an amount admitted by this data plane."""
        self._advance(now_ms)
        self._level -= amount
        self._own_use.add(now_ms, amount)

    def refund(self, now_ms: float, amount: float, demand: float) -> None:
        """Undo a request that won't run: the amount drawn for it and its contribution to the demand."""
        self._advance(now_ms)
        self._level = min(self.terms.burst, self._level + amount)
        self._own_use.add(now_ms, -amount)
        self._own_demand.add(now_ms, -demand)

    def record_peer_use(self, now_ms: float, amount: float) -> None:
        """Draw an amount admitted by the others, less what was drawn for it by assumption."""
        self._advance(now_ms)
        assumed = min(amount, self._assumed_use)
        self._assumed_use -= assumed
        self._level = min(self.terms.burst, self._level - (amount - assumed))
        self._peer_use.add(now_ms, amount - assumed)

    def set_peer_demand(self, now_ms: float, per_s: float) -> None:
        """Set the demand at the others, per second."""
        self._advance(now_ms)
        self._advance_backlog(now_ms)
        self._reported_peer_demand = per_s
        self._peer_demand = max(self._peer_demand, per_s)

    def headroom(self, now_ms: float) -> float:
        """The estimated amount the fleet may still admit; negative if it has admitted too much."""
        self._advance(now_ms)
        unreported = self._peer_use.per_s(now_ms) * REPORT_DELAY_S
        return self._level + self.terms.margin - unreported

    def is_caught_up(self, now_ms: float) -> bool:
        """Whether the others' usage is reported, including that of the last outage."""
        return self._is_connected and now_ms >= self._caught_up_ms

    def own_use_before_detection(self, now_ms: float) -> float:
        """The amount admitted by this data plane in the last LOSS_DETECTION_DELAY_S."""
        return self._own_use.per_s(now_ms) * LOSS_DETECTION_DELAY_S

    def peer_use_before_detection(self, now_ms: float) -> float:
        """The amount that the others are assumed to have admitted in that time."""
        return self._assumed_peer_use(now_ms) * LOSS_DETECTION_DELAY_S

    def admission_ratio(self, now_ms: float) -> float:
        """The probability of admitting a request now; 1 or more admits all."""
        available = self.terms.rate_per_s * HORIZON_S + self.headroom(now_ms)
        demanded = self.demand(now_ms) * HORIZON_S
        return available / demanded if demanded > 0 else float(available > 0)

    def retry_after_ms(self, now_ms: float) -> float:
        """The time until the limit has capacity for a request refused now, after all those refused before.

        That is the amount that the fleet refused since the tenant exceeded its limit, divided by the rate. A
        client that can't wait this long need not retry: while the tenant exceeds its limit, the retry would
        be refused or would displace another request.
        """
        self._advance_backlog(now_ms)
        return self._refused_backlog / self.terms.rate_per_s * MS_PER_S

    def _advance_backlog(self, now_ms: float) -> None:
        """Add what the fleet refused since the last update; the backlog drains once all is admitted.

        While the others are reported, the current refusals apply only to the time within the horizon: in an
        interval before it, without requests or reports here, the backlog drained at the rate. Without
        reports an interval implies nothing, and refusals are assumed to have continued.
        """
        rate_per_s = self.terms.rate_per_s
        elapsed_s = max(0.0, now_ms - self._backlog_at_ms) / MS_PER_S
        recent_s = min(elapsed_s, HORIZON_S if self.is_caught_up(now_ms) else MEAN_DEMAND_TIME_CONSTANT_S)
        self._backlog_at_ms = now_ms
        backlog = max(0.0, self._refused_backlog - rate_per_s * (elapsed_s - recent_s))
        admitted_part = min(1.0, max(0.0, self.admission_ratio(now_ms)))
        refused_per_s = (1.0 - admitted_part) * self.demand(now_ms)
        growth_per_s = refused_per_s if admitted_part < 1.0 else -rate_per_s
        backlog = max(0.0, backlog + growth_per_s * recent_s)
        self._refused_backlog = min(backlog, MAX_RETRY_AFTER_S * rate_per_s)

    def demand(self, now_ms: float) -> float:
        """The demand at all data planes together, per second."""
        return self.own_demand(now_ms) + self._peer_demand

    def own_demand(self, now_ms: float) -> float:
        """The demand at this data plane, per second."""
        return self._own_demand.per_s(now_ms)

    def _advance(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        if elapsed_s <= 0:
            return
        self._level = min(self.terms.burst, self._level + self.terms.rate_per_s * elapsed_s)
        self._updated_ms = now_ms
        if not self.is_caught_up(now_ms):
            self._draw_assumed_use(self._assumed_peer_use(now_ms) * elapsed_s)
            return
        self._assumed_use = 0.0
        reported = self._reported_peer_demand
        self._peer_demand = _approach(self._peer_demand, reported, elapsed_s / PEER_DEMAND_DECAY_S)
        self._mean_peer_demand = _approach(
            self._mean_peer_demand, reported, elapsed_s / MEAN_DEMAND_TIME_CONSTANT_S
        )

    def _draw_assumed_use(self, amount: float) -> None:
        """Draw the assumed usage of the others; later reports are offset against it."""
        self._assumed_use += amount
        self._level -= amount

    def _assumed_peer_use(self, now_ms: float) -> float:
        """The others' part of the demand, or of the rate if the demand exceeds the rate."""
        demand = self.own_demand(now_ms) + self._mean_peer_demand
        admitted_part = min(1.0, self.terms.rate_per_s / demand) if demand > 0 else 1.0
        return self._mean_peer_demand * admitted_part


def _approach(value: float, target: float, time_constants: float) -> float:
    """The value after an exponential decay towards the target."""
    return target + (value - target) * math.exp(-time_constants)
