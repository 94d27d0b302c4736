"""One tenant's token bucket as one data plane sees it: refilled at the whole rate, drawn by the whole fleet.

Every data plane keeps such a bucket of its own. Its own admissions draw on it at once, those of the others
when they are reported. A request is admitted by chance, the same for all sizes and at all data planes (a
lower one for those that are late already, which count for as much less in the demand; see `limits.quota`):

    chance = (rate x HORIZON + level + margin) / (demand x HORIZON)

where `demand` is what all data planes together are asked for a second. Below the limit the chance is 1
until the level is used up. Above it, what all admit together is rate + (level + margin) / HORIZON: the
level settles at minus the margin, without the data planes having to agree on who takes the next token.

Why the sum stays under the rule: a bucket that knew of every admission at once would hold it to rate x
window + burst + margin + rate x HORIZON in any window, as each admission is drawn, nothing but the rate
refills, and the chance is 0 below that. A level here is above that bucket's by what was admitted
elsewhere and is not reported yet, and no more than that can be admitted beyond. It is drawn as soon as it
is reported, and refilled before more is admitted, so it counts once:

    admitted in any window <= rate x (window + HORIZON) + burst + margin + (the most that is ever unreported).

While the level is high the last term is what all are asked for while a report is on its way; at the margin it
is the rate for that time. Where the chance is between 1 and LATE_ADMITTED_CHANCE, late requests are admitted
beyond their part of the demand: the last term is then what all are asked for, too.
tests/limits/test_quota_fleet.py holds the sum against the rule.
"""

from __future__ import annotations

import math

from madderwind.limits.demand import MS_PER_S, DecayingRate
from madderwind.limits.quota_terms import QuotaTerms

# How far ahead the level is shared out. Longer than an admission takes to be heard of, or the level swings.
HORIZON_S = 0.6
DEMAND_TIME_CONSTANT_S = 0.5
USE_TIME_CONSTANT_S = 1.0
# What the others used in this time is not reported yet, on the average.
REPORT_DELAY_S = 0.25
# The connection was lost that long before it is noticed.
UNNOTICED_S = 0.7
# After the connection was regained, reports of what the others used meanwhile come in for so long.
CATCH_UP_MS = 1_000.0
# What the others are asked for is forgotten no faster: who is away for a moment is asked all the same.
FORGET_DEMAND_S = 0.5
MEAN_DEMAND_S = 4.0
# Nobody is told to come back later than after this time, nor is more remembered of what was refused.
MAX_RETRY_AFTER_S = 30.0


class SharedBucket:
    """The level is in the tenant's unit (tokens or requests) and may be below zero."""

    def __init__(self, now_ms: float, terms: QuotaTerms, level: float) -> None:
        self.terms = terms
        self._level = level
        self._updated_ms = now_ms
        self._own_demand = DecayingRate(DEMAND_TIME_CONSTANT_S)
        self._own_use = DecayingRate(UNNOTICED_S)
        self._peer_use = DecayingRate(USE_TIME_CONSTANT_S)
        self._peer_demand = 0.0
        self._reported_peer_demand = 0.0
        self._mean_peer_demand = 0.0
        self._is_connected = True
        self._assumed = 0.0
        self._caught_up_ms = now_ms
        self._refused_backlog = 0.0
        self._backlog_at_ms = now_ms

    def change_terms(self, now_ms: float, terms: QuotaTerms) -> None:
        """Take new terms at once; the level is kept, up to the new burst."""
        self._advance(now_ms)
        self.terms = terms
        self._level = min(self._level, terms.burst)

    def set_connected(self, now_ms: float, is_connected: bool) -> None:
        """Whether the others' use is reported. While it is not, they are taken to go on as before."""
        self._advance(now_ms)
        if is_connected and not self._is_connected:
            self._caught_up_ms = now_ms + CATCH_UP_MS
        elif self._is_connected and not is_connected:
            self._assume(self.unnoticed_peer_use(now_ms))
        self._is_connected = is_connected

    def record_demand(self, now_ms: float, amount: float) -> None:
        """Count a request, admitted or not."""
        self._own_demand.add(now_ms, amount)

    def spend(self, now_ms: float, amount: float) -> None:
        """Draw what was admitted here."""
        self._advance(now_ms)
        self._level -= amount
        self._own_use.add(now_ms, amount)

    def refund(self, now_ms: float, amount: float, demand: float) -> None:
        """Take back a request that won't run: what was drawn for it, and what it counted for as demand."""
        self._advance(now_ms)
        self._level = min(self.terms.burst, self._level + amount)
        self._own_use.add(now_ms, -amount)
        self._own_demand.add(now_ms, -demand)

    def record_peer_use(self, now_ms: float, amount: float) -> None:
        """Draw what the others admitted."""
        self._advance(now_ms)
        assumed = min(amount, self._assumed)
        self._assumed -= assumed
        self._level = min(self.terms.burst, self._level - (amount - assumed))
        self._peer_use.add(now_ms, amount - assumed)

    def set_peer_demand(self, now_ms: float, per_s: float) -> None:
        """What the others are asked for a second."""
        self._advance(now_ms)
        self._advance_backlog(now_ms)
        self._reported_peer_demand = per_s
        self._peer_demand = max(self._peer_demand, per_s)

    def headroom(self, now_ms: float) -> float:
        """What the fleet may still admit, as far as is known here; below zero where it admitted too much."""
        self._advance(now_ms)
        unreported = self._peer_use.per_s(now_ms) * REPORT_DELAY_S
        return self._level + self.terms.margin - unreported

    def is_caught_up(self, now_ms: float) -> bool:
        """Whether the others are reported, and all that they used while they were not was reported."""
        return self._is_connected and now_ms >= self._caught_up_ms

    def unnoticed_own_use(self, now_ms: float) -> float:
        """What was admitted here in the last UNNOTICED_S."""
        return self._own_use.per_s(now_ms) * UNNOTICED_S

    def unnoticed_peer_use(self, now_ms: float) -> float:
        """What the others are taken to have admitted in that time."""
        return self._assumed_peer_use(now_ms) * UNNOTICED_S

    def chance(self, now_ms: float) -> float:
        """The chance with which a request is to be admitted now; 1 or more admits all."""
        available = self.terms.rate_per_s * HORIZON_S + self.headroom(now_ms)
        wanted = self.demand(now_ms) * HORIZON_S
        return available / wanted if wanted > 0 else float(available > 0)

    def retry_after_ms(self, now_ms: float) -> float:
        """When the limit would have room for a request that is refused now, behind all refused before it.

        That is what the fleet refused since the tenant went beyond its limit, over the rate. A client that
        has no time for it need not come back: while the tenant stays beyond its limit it would be refused
        again, or take the place of another.
        """
        self._advance_backlog(now_ms)
        return self._refused_backlog / self.terms.rate_per_s * MS_PER_S

    def _advance_backlog(self, now_ms: float) -> None:
        """Add what the fleet refused since the last time; the rate works it off once all is admitted.

        While the others are reported, what is refused now says nothing of the time before the horizon:
        through a longer gap, in which nothing was asked for or reported here, the rate worked. Without
        reports a gap tells nothing, and refusals are taken to have gone on.
        """
        rate_per_s = self.terms.rate_per_s
        elapsed_s = max(0.0, now_ms - self._backlog_at_ms) / MS_PER_S
        recent_s = min(elapsed_s, HORIZON_S if self.is_caught_up(now_ms) else MEAN_DEMAND_S)
        self._backlog_at_ms = now_ms
        backlog = max(0.0, self._refused_backlog - rate_per_s * (elapsed_s - recent_s))
        admitted_part = min(1.0, max(0.0, self.chance(now_ms)))
        refused_per_s = (1.0 - admitted_part) * self.demand(now_ms)
        growth_per_s = refused_per_s if admitted_part < 1.0 else -rate_per_s
        backlog = max(0.0, backlog + growth_per_s * recent_s)
        self._refused_backlog = min(backlog, MAX_RETRY_AFTER_S * rate_per_s)

    def demand(self, now_ms: float) -> float:
        """What all data planes together are asked for a second."""
        return self.own_demand(now_ms) + self._peer_demand

    def own_demand(self, now_ms: float) -> float:
        """What this data plane is asked for a second."""
        return self._own_demand.per_s(now_ms)

    def _advance(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        if elapsed_s <= 0:
            return
        self._level = min(self.terms.burst, self._level + self.terms.rate_per_s * elapsed_s)
        self._updated_ms = now_ms
        if not self.is_caught_up(now_ms):
            self._assume(self._assumed_peer_use(now_ms) * elapsed_s)
            return
        self._assumed = 0.0
        reported = self._reported_peer_demand
        self._peer_demand = _nearer(self._peer_demand, reported, elapsed_s / FORGET_DEMAND_S)
        self._mean_peer_demand = _nearer(self._mean_peer_demand, reported, elapsed_s / MEAN_DEMAND_S)

    def _assume(self, amount: float) -> None:
        """Draw what the others are taken to have used; what is reported them later counts against it."""
        self._assumed += amount
        self._level -= amount

    def _assumed_peer_use(self, now_ms: float) -> float:
        """The others' part of what is asked for, or of the rate where more than that is asked for."""
        demand = self.own_demand(now_ms) + self._mean_peer_demand
        admitted_part = min(1.0, self.terms.rate_per_s / demand) if demand > 0 else 1.0
        return self._mean_peer_demand * admitted_part


def _nearer(value: float, target: float, time_constants: float) -> float:
    """Exponential approach to the target."""
    return target + (value - target) * math.exp(-time_constants)
