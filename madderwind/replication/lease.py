"""What a primary knows of its own lease: whether a majority still follows it, and as of when."""

from __future__ import annotations

from madderwind.replication.context import ReplicaContext
from madderwind.replication.heartbeat_rounds import HeartbeatRounds


class Lease:
    """Proven by heartbeat rounds that a majority answers.

    Attributes:
        rounds: The rounds of the present epoch.
        inherited_index: The last entry of earlier primaries. They may have committed it: only when it is
        committed here
            too, it is known what the newest configuration is.
    """

    def __init__(self, context: ReplicaContext, now_ms: float) -> None:
        self._store, self._times = context.store, context.times
        self._since_ms = now_ms
        self._grace_until_ms = now_ms
        self.rounds = HeartbeatRounds(now_ms)
        self.inherited_index = context.store.log.last_index

    @property
    def fresh_ms(self) -> float | None:
        """When the last round began that a majority answered.

        Whatever was acknowledged before is committed here.

        None while entries of earlier primaries, which may have acknowledged them, are not.
        """
        is_complete = self._store.committed_index >= self.inherited_index
        return self.rounds.confirmed_ms if is_complete else None

    def fresh_age_ms(self, now_ms: float) -> float | None:
        """Time since that moment."""
        return None if self.fresh_ms is None else now_ms - self.fresh_ms

    def is_quorum_lost(self, now_ms: float) -> bool:
        """Whether no majority has answered for so long that another primary may be at work."""
        confirmed_ms = self.rounds.confirmed_ms
        last_ms = self._since_ms if confirmed_ms is None else max(confirmed_ms, self._since_ms)
        return now_ms > self._grace_until_ms and now_ms - last_ms > self._times.quorum_timeout_ms

    def grant_grace(self, now_ms: float) -> None:
        """This process stalled: nobody is to be blamed for a time-out before the grace is over."""
        self._grace_until_ms = now_ms + self._times.grace_ms
