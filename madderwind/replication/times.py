"""The times that replicas keep, in ms on the steady clock."""

from __future__ import annotations

import msgspec

# Of the operator's wait, what the primary may use before it answers that the outcome is unknown.
COMMAND_SHARE_OF_ACK = 0.85
MAX_COMMAND_TIMEOUT_MS = 10_000.0


class ReplicationTimes(msgspec.Struct, frozen=True):
    """All times of a replica, in ms.

    Together they bound an outage: a lost primary is replaced after `election_timeout_max_ms` and a few round
    trips, a backup that is lost stops holding commits up after `replica_timeout_ms` and a few round trips. No
    promise to a caller rests on them: acknowledgements and reads are proven by epochs and majorities. What
    they have to keep to each other is listed in `broken_inequalities`.
    """

    heartbeat_ms: float = 50.0
    witness_lease_ms: float = (
        200.0  # a witness with a heartbeat of the primary within it promises nobody else
    )
    election_timeout_min_ms: float = (
        410.0  # without a heartbeat, before an in-sync replica stands for election
    )
    election_timeout_max_ms: float = 480.0
    replica_timeout_ms: float = 410.0  # without a message of an in-sync replica, before it leaves the set
    unacknowledged_ms: float = 500.0  # an entry sent and not acknowledged, before the replica leaves the set
    quorum_timeout_ms: float = 700.0  # without a round answered by a majority, before the primary steps down
    slow_write_ms: float = 500.0  # own write pending, before the primary transfers leadership
    read_timeout_ms: float = 1_000.0
    command_timeout_ms: float = 3_400.0
    join_interval_ms: float = 100.0  # between join requests of a replica that follows no primary
    replacement_timeout_ms: float = 410.0  # without a message of a member, before another replaces it
    proposal_timeout_ms: float = 1_000.0  # of a proposer, which asks again meanwhile
    proposal_retry_ms: float = 60.0  # without an answer, before a proposer repeats its question
    founding_timeout_ms: float = 1_500.0  # wait for all seeds before the founder goes on with a majority
    resend_ms: float = 300.0  # without an answer, before entries or a snapshot are sent again
    initial_rewrite_backoff_ms: float = 50.0  # after a failed write, doubled each time
    max_rewrite_backoff_ms: float = 200.0
    stall_ms: float = 300.0  # between two events, before the replica takes itself for having stalled
    grace_ms: float = 200.0  # after a stall or a start, before time-outs of others count

    @classmethod
    def from_bounds(cls, ack_ms: float) -> ReplicationTimes:
        """The times for a deployment whose operator waits `ack_ms` for an acknowledgement."""
        return cls(command_timeout_ms=min(COMMAND_SHARE_OF_ACK * ack_ms, MAX_COMMAND_TIMEOUT_MS))

    def broken_inequalities(self) -> tuple[str, ...]:
        """What does not hold of all that has to hold between the times; empty where they fit together."""
        checks = {
            "one lost heartbeat does not end a lease": self.witness_lease_ms >= 2 * self.heartbeat_ms,
            "a candidate is not rejected for a heartbeat that only others received": (
                self.election_timeout_min_ms >= self.witness_lease_ms + self.heartbeat_ms
            ),
            "a restarted witness keeps a lease that it forgot": self.grace_ms >= self.witness_lease_ms,
            "an unnoticed stall of this process is no time-out of the primary": (
                self.election_timeout_min_ms >= self.stall_ms + 2 * self.heartbeat_ms
            ),
            "nor of a backup": self.replica_timeout_ms >= self.stall_ms + 2 * self.heartbeat_ms,
            "candidates differ by more than a round trip": (
                self.election_timeout_max_ms - self.election_timeout_min_ms >= self.proposal_retry_ms
            ),
            "a member leaves the in-sync set no later than it is replaced": (
                self.replacement_timeout_ms >= self.replica_timeout_ms
            ),
            "a primary without a quorum steps down, but not before others may stand": (
                self.quorum_timeout_ms >= self.election_timeout_max_ms
            ),
            "a question is repeated within a proposal": (
                self.proposal_timeout_ms >= 2 * self.proposal_retry_ms
            ),
            "a new primary receives messages of the others before it times them out": (
                self.replica_timeout_ms >= 2 * self.heartbeat_ms
            ),
        }
        return tuple(name for name, holds in checks.items() if not holds)
