"""The lease of a primary: whether a majority still follows it, and when that was last confirmed."""

from __future__ import annotations

from madderwind.replication.context import ReplicaContext
from madderwind.replication.heartbeat_rounds import HeartbeatRounds


class Lease:
    """The lease, confirmed by heartbeat rounds that a majority acknowledges.

    Attributes:
        rounds: The heartbeat rounds of the current epoch.
        inherited_index: Index of the last entry of earlier primaries. They may have committed it, so the
            newest configuration is only known once this entry is committed here too.
    """

    def __init__(self, context: ReplicaContext, now_ms: float) -> None:
        self._store, self._times = context.store, context.times
        self._since_ms = now_ms
        self._grace_until_ms = now_ms
        self.rounds = HeartbeatRounds(now_ms)
        self.inherited_index = context.store.log.last_index

    @property
    def fresh_ms(self) -> float | None:
        """Start time of the last round that a majority acknowledged.

        All commands acknowledged before that time are committed here. None while entries of earlier
        primaries, which may have acknowledged them, are not committed yet.
        """
        is_complete = self._store.committed_index >= self.inherited_index
        return self.rounds.confirmed_ms if is_complete else None

    def fresh_age_ms(self, now_ms: float) -> float | None:
        """Time since `fresh_ms`; None where that is None."""
        return None if self.fresh_ms is None else now_ms - self.fresh_ms

    def is_quorum_lost(self, now_ms: float) -> bool:
        """Whether no majority has acknowledged a round for so long that another primary may be active."""
        confirmed_ms = self.rounds.confirmed_ms
        last_ms = self._since_ms if confirmed_ms is None else max(confirmed_ms, self._since_ms)
        return now_ms > self._grace_until_ms and now_ms - last_ms > self._times.quorum_timeout_ms

    def grant_grace(self, now_ms: float) -> None:
        """Suspend the quorum timeout for the grace period, since this process stalled itself."""
        self._grace_until_ms = now_ms + self._times.grace_ms
