"""Timeouts and intervals of replicas, in ms of monotonic time."""

from __future__ import annotations

import msgspec

# Share of the operator's waiting time after which the primary responds that the outcome is unknown.
COMMAND_SHARE_OF_ACK = 0.85
MAX_COMMAND_TIMEOUT_MS = 10_000.0


class ReplicationTimes(msgspec.Struct, frozen=True):
    """All timeouts and intervals of a replica, in ms.

    Together they bound an outage: a lost primary is replaced after `election_timeout_max_ms` and a few round
    trips, and a lost backup delays commits for at most `replica_timeout_ms` and a few round trips. Safety
    does not depend on them: acknowledgements and reads are proven by epochs and majorities. The constraints
    between them are checked by `violated_constraints`.
    """

    heartbeat_ms: float = 50.0
    # After a heartbeat of the primary, a witness makes no promise to another replica for this long.
    witness_lease_ms: float = 200.0
    # Bounds of the time without a heartbeat after which an in-sync replica becomes a candidate.
    election_timeout_min_ms: float = 410.0
    election_timeout_max_ms: float = 480.0
    # An in-sync replica that sends no message for this long is removed from the set.
    replica_timeout_ms: float = 410.0
    # An in-sync replica that leaves an entry unacknowledged for this long is removed from the set.
    unacknowledged_ms: float = 500.0
    # A primary whose heartbeat rounds no majority acknowledges for this long steps down.
    quorum_timeout_ms: float = 700.0
    # A primary whose own write is pending for this long transfers leadership.
    slow_write_ms: float = 500.0
    read_timeout_ms: float = 1_000.0
    command_timeout_ms: float = 3_400.0
    # Interval between the join requests of a replica that follows no primary.
    join_interval_ms: float = 100.0
    # A member that sends no message for this long may be replaced by another replica.
    replacement_timeout_ms: float = 410.0
    # Timeout of a whole proposal, during which requests are resent.
    proposal_timeout_ms: float = 1_000.0
    # A proposer that receives no response for this long resends its request.
    proposal_retry_ms: float = 60.0
    # The first seed waits this long for all seeds before it bootstraps the system with a majority of them.
    bootstrap_timeout_ms: float = 1_500.0
    # Entries or a snapshot that are not acknowledged for this long are sent again.
    resend_ms: float = 300.0
    # Backoff after a failed write, doubled each time.
    initial_rewrite_backoff_ms: float = 50.0
    max_rewrite_backoff_ms: float = 200.0
    # A replica that handles no event for this long considers its own process stalled.
    stall_ms: float = 300.0
    # After a stall or a start, the timeouts of other replicas do not count for this long.
    grace_ms: float = 200.0

    @classmethod
    def from_bounds(cls, ack_ms: float) -> ReplicationTimes:
        """Return the times for a deployment whose operators wait `ack_ms` for an acknowledgement."""
        return cls(command_timeout_ms=min(COMMAND_SHARE_OF_ACK * ack_ms, MAX_COMMAND_TIMEOUT_MS))

    def violated_constraints(self) -> tuple[str, ...]:
        """Return the constraints between the times that do not hold; empty if the times are consistent."""
        checks = {
            "a single lost heartbeat does not end a lease": self.witness_lease_ms >= 2 * self.heartbeat_ms,
            "a candidate is not rejected because of a heartbeat that only other replicas received": (
                self.election_timeout_min_ms >= self.witness_lease_ms + self.heartbeat_ms
            ),
            "a restarted witness respects a lease granted before its restart": (
                self.grace_ms >= self.witness_lease_ms
            ),
            "a stall of this process too short to be detected does not time the primary out": (
                self.election_timeout_min_ms >= self.stall_ms + 2 * self.heartbeat_ms
            ),
            "a stall of this process too short to be detected does not time a backup out": (
                self.replica_timeout_ms >= self.stall_ms + 2 * self.heartbeat_ms
            ),
            "election timeouts of candidates are spread by more than a round trip": (
                self.election_timeout_max_ms - self.election_timeout_min_ms >= self.proposal_retry_ms
            ),
            "a member is removed from the in-sync set no later than it is replaced": (
                self.replacement_timeout_ms >= self.replica_timeout_ms
            ),
            "a primary without a quorum steps down no earlier than other replicas become candidates": (
                self.quorum_timeout_ms >= self.election_timeout_max_ms
            ),
            "a proposer resends its request before the proposal times out": (
                self.proposal_timeout_ms >= 2 * self.proposal_retry_ms
            ),
            "a new primary receives heartbeat responses before it times the other replicas out": (
                self.replica_timeout_ms >= 2 * self.heartbeat_ms
            ),
        }
        return tuple(name for name, holds in checks.items() if not holds)
