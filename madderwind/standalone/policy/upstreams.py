"""What a balancer makes of what it knows of one upstream."""

from madderwind.standalone.policy import api, records

DEAD = 3  # failed connects in a row that are a death: fewer, or a reset, may be those connections alone


class Upstream(records.UpstreamRecord, eq=False):
    """One upstream: cold or warm, sound or set aside."""

    def warmth(self, now: float, settings: api.Settings) -> float:
        """The least part of its capacity that it can have by now; 1 when warm."""
        if self.started_ms <= 0 or settings.warm_after_ms <= 0:
            return 1.0
        age = max(0.0, now - self.started_ms) / settings.warm_after_ms
        return min(1.0, settings.start_capacity + (1 - settings.start_capacity) * age)

    def counts(self, now: float) -> bool:
        """Whether its capacity is counted on: it is not set aside repeatedly."""
        return now >= self.ejected_until_ms or self.failures < 2

    def sound(self, now: float) -> bool:
        """Not set aside; after a failure, one attempt at a time shows whether it has recovered."""
        return now >= self.ejected_until_ms and (self.failures == 0 or not self.sent_ms)
