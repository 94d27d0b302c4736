"""The times that replicas keep, in ms on the steady clock."""

from __future__ import annotations

import msgspec


class ReplicationTimes(msgspec.Struct, frozen=True):
    """All times of a replica, in ms.

    Together they bound an outage: a lost primary is replaced after `election_max_ms` and a few round trips, a
    silent backup stops holding commits up after `silence_ms` and a few round trips. No promise to a caller
    rests on them: acknowledgements and reads are proven by epochs and majorities. What they have to keep to
    each other is listed in `broken_inequalities`.
    """

    heartbeat_ms: float = 50.0
    witness_lease_ms: float = 200.0  # a witness that heard the primary within it promises nobody its place
    election_min_ms: float = 410.0  # silence of the primary before a replica of the in-sync set stands
    election_max_ms: float = 480.0
    silence_ms: float = 410.0  # of a replica of the in-sync set, before it leaves the set
    unacknowledged_ms: float = 500.0  # an entry sent and not acknowledged, before the replica leaves the set
    step_down_ms: float = 700.0  # without a round answered by a majority, before the primary gives up
    slow_write_ms: float = 500.0  # own write pending, before the primary hands over
    read_ms: float = 1_000.0  # longest wait of a read
    command_timeout_ms: float = 3_400.0  # longest wait of a command
    join_interval_ms: float = 100.0  # between announcements of a replica that follows no primary
    replace_ms: float = 410.0  # silence of a member before another machine takes its place
    proposal_ms: float = 1_000.0  # longest wait of a proposer for answers, which it asks for again meanwhile
    ask_again_ms: float = 60.0  # without an answer, before a proposer repeats its question
    founding_ms: float = 1_500.0  # wait for all seeds before the founder goes on with a majority
    resend_ms: float = 300.0  # without an answer, before entries or a snapshot are sent again
    first_rewrite_ms: float = 50.0  # before a file is written anew after a failed write, doubled each time
    rewrite_ms: float = 200.0  # the longest such pause
    gap_ms: float = 300.0  # between two events, before the replica takes itself for having been frozen
    grace_ms: float = 200.0  # after such a gap or a start, before silence of others counts

    @classmethod
    def from_bounds(cls, ack_ms: float) -> ReplicationTimes:
        """The times for a deployment whose operator waits `ack_ms` for an acknowledgement."""
        return cls(command_timeout_ms=min(0.85 * ack_ms, 10_000.0))

    def broken_inequalities(self) -> tuple[str, ...]:
        """What does not hold of all that has to hold between the times; empty where they fit together."""
        checks = {
            "one lost heartbeat does not end a lease": self.witness_lease_ms >= 2 * self.heartbeat_ms,
            "who stands is not refused for a heartbeat that only others heard": (
                self.election_min_ms >= self.witness_lease_ms + self.heartbeat_ms
            ),
            "a restarted witness keeps a lease that it forgot": self.grace_ms >= self.witness_lease_ms,
            "a pause of this process that goes unnoticed is no silence of the primary": (
                self.election_min_ms >= self.gap_ms + 2 * self.heartbeat_ms
            ),
            "nor of a backup": self.silence_ms >= self.gap_ms + 2 * self.heartbeat_ms,
            "candidates differ by more than a round trip": (
                self.election_max_ms - self.election_min_ms >= self.ask_again_ms
            ),
            "a member leaves the in-sync set no later than it loses its place": (
                self.replace_ms >= self.silence_ms
            ),
            "a primary that hears nobody gives up, but not before others may stand": (
                self.step_down_ms >= self.election_max_ms
            ),
            "a question is repeated within a proposal": self.proposal_ms >= 2 * self.ask_again_ms,
            "a primary that takes over hears the others before it judges them": (
                self.silence_ms >= 2 * self.heartbeat_ms
            ),
        }
        return tuple(name for name, holds in checks.items() if not holds)
