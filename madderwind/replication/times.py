"""The times that replicas keep, in ms on the steady clock."""

from __future__ import annotations

import msgspec


class ReplicationTimes(msgspec.Struct, frozen=True):
    """All times of a replica, in ms.

    Together they bound an outage: a lost primary is replaced after `election_max_ms` and a few round trips, a
    silent backup stops holding commits up after `silence_ms` and a few round trips.
    """

    heartbeat_ms: float = 100.0
    witness_lease_ms: float = 400.0  # a witness that heard the primary within it promises nobody its place
    election_min_ms: float = 600.0  # silence of the primary before a replica of the in-sync set stands
    election_max_ms: float = 900.0
    silence_ms: float = 600.0  # of a replica of the in-sync set, before it leaves the set
    unacknowledged_ms: float = 500.0  # an entry sent and not acknowledged, before the replica leaves the set
    step_down_ms: float = 700.0  # without a round answered by a majority, before the primary gives up
    slow_write_ms: float = 500.0  # own write pending, before the primary hands over
    read_ms: float = 1_000.0  # longest wait of a read
    order_ms: float = 3_400.0  # longest wait of an order
    announce_ms: float = 200.0  # between announcements of a replica that follows no primary
    replace_ms: float = 1_200.0  # silence of a member before another machine takes its place
    proposal_ms: float = 300.0  # longest wait of a proposer for answers
    founding_ms: float = 1_500.0  # wait for all seeds before the founder goes on with a majority
    resend_ms: float = 300.0  # without an answer, before entries or a snapshot are sent again
    rewrite_ms: float = 500.0  # between attempts to write a file anew after a failed write
    gap_ms: float = 300.0  # between two events, before the replica takes itself for having been frozen
    grace_ms: float = 250.0  # after such a gap or a start, before silence of others counts

    @classmethod
    def from_bounds(cls, ack_ms: float) -> ReplicationTimes:
        """The times for a deployment whose operator waits `ack_ms` for an acknowledgement."""
        return cls(order_ms=min(0.85 * ack_ms, 10_000.0))
