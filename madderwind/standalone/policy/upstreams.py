"""Capacity and health of one upstream, derived from what a balancer has recorded about it."""

from madderwind.standalone.policy import api, records

# Failed connects in a row that make an upstream count as dead; fewer, or a reset, may concern only those
# connections.
DEAD_AFTER_CONNECTS = 3


class Upstream(records.UpstreamRecord, eq=False):
    """One upstream: cold (recently started) or warm, healthy or ejected."""

    def warmth(self, now: float, settings: api.Settings) -> float:
        """The least part of its capacity that it can have by now; 1 when warm."""
        if self.started_ms <= 0 or settings.warm_after_ms <= 0:
            return 1.0
        age = max(0.0, now - self.started_ms) / settings.warm_after_ms
        return min(1.0, settings.start_capacity + (1 - settings.start_capacity) * age)

    def counts_as_capacity(self, now: float) -> bool:
        """Whether its capacity is counted: true unless it is ejected after two or more failures."""
        return now >= self.ejected_until_ms or self.failures < 2

    def is_healthy(self, now: float) -> bool:
        """Whether it isn't ejected. After a failure, one attempt at a time tests whether it has recovered."""
        return now >= self.ejected_until_ms and (self.failures == 0 or not self.in_flight_since_ms)
