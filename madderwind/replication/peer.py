"""The state that a primary keeps for another replica, including its replication progress."""

from __future__ import annotations

from enum import Enum

from madderwind.messages.replication import Member
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.snapshot_transfer import WINDOW_BYTES, SnapshotSender
from madderwind.replication.times import ReplicationTimes

# Time that a replica removed from the in-sync set has to keep up before it may rejoin. Doubles each time.
INITIAL_PROBATION_MS = 200.0
MAX_PROBATION_MS = 16_000.0
# Minimum rate at which a long message is expected to be sent over a shared link, decoded and written to disk
# before it counts as lost or its receiver as late. Equals 80 Mbit/s.
MIN_TRANSFER_BYTES_PER_MS = 10_000.0
# A new primary keeps the known idle time of a peer if it is longer than this many heartbeats.
SUSPECT_AFTER_HEARTBEATS = 3
# Heartbeats for which such a peer may still respond, if only the former primary reported it as silent.
RESPONSE_ALLOWANCE_HEARTBEATS = 2


class Progress(Enum):
    """The mode in which entries are sent to a replica."""

    PROBING = "probing"  # one message at a time, until the logs are known to match
    STREAMING = "streaming"  # entries as they are appended


class Peer:
    """Another replica as seen by the primary in its epoch. Times are monotonic, in ms.

    Attributes:
        member: The replica.
        last_received_ms: When its last message was received.
        disk_faulty: Whether it reported that its disk is failing or too slow.
        stopping: Whether its process is about to end.
        progress: The mode in which entries are sent to it.
        match_index: Last index up to which its synced log is known to match the primary's in this epoch.
        next_index: Index of the next entry to send.
        acknowledged_round: The newest heartbeat round that it acknowledged in this epoch.
        is_in_epoch: Whether it has this epoch's view on disk.
        sent_ms: When a message that it has to acknowledge was last sent.
        snapshot: The snapshot being sent to it, if any.
        waiting_since_ms: Since when an acknowledgement is due from it; None while none is.
    """

    def __init__(self, member: Member, now_ms: float, next_index: int) -> None:
        self.member = member
        self.last_received_ms = now_ms
        self.disk_faulty = False
        self.stopping = False
        self.progress = Progress.PROBING
        self.match_index = 0
        self.next_index = next_index
        self.acknowledged_round = 0
        self.is_in_epoch = False
        self.sent_ms = now_ms
        self.snapshot: SnapshotSender | None = None
        self.waiting_since_ms: float | None = None
        self._unacknowledged_bytes = 0
        self._probation_ms = 0.0
        self._probation_until_ms = now_ms

    def initialize_from(self, now_ms: float, known: KnownPeer, times: ReplicationTimes) -> None:
        """Initialize from what was known about this replica before this primary took over.

        A replica that only the former primary reported as silent still gets the time of a few heartbeats to
        respond to this primary.
        """
        self.stopping = known.stopping
        if now_ms - known.last_received_ms < SUSPECT_AFTER_HEARTBEATS * times.heartbeat_ms:
            return
        allowance_ms = 0.0 if known.is_direct else RESPONSE_ALLOWANCE_HEARTBEATS * times.heartbeat_ms
        self.last_received_ms = max(known.last_received_ms, now_ms - times.replica_timeout_ms + allowance_ms)

    def begin_epoch(self, now_ms: float, next_index: int) -> None:
        """Reset the progress, as acknowledgements of an earlier epoch no longer count."""
        self.progress = Progress.PROBING
        self.match_index = 0
        self.acknowledged_round = 0
        self.is_in_epoch = False
        self.next_index = next_index
        self.discard_in_flight()
        self.sent_ms = now_ms
        if self.waiting_since_ms is not None:
            self.waiting_since_ms = now_ms

    def record_sent(self, now_ms: float, entry_bytes: int = 0) -> None:
        """Record that a message that it has to acknowledge was sent."""
        self.sent_ms = now_ms
        self._unacknowledged_bytes += entry_bytes

    def discard_in_flight(self) -> None:
        """Stop counting the entries and snapshot chunks in flight."""
        self._unacknowledged_bytes = 0
        if self.snapshot is not None:
            self.snapshot.rewind()

    @property
    def has_open_window(self) -> bool:
        """Whether more entries may be sent before earlier ones are acknowledged."""
        return self._unacknowledged_bytes < WINDOW_BYTES

    def transfer_allowance_ms(self) -> float:
        """Additional time that an acknowledgement may take because of the size of the data in flight."""
        snapshot_bytes = 0 if self.snapshot is None else self.snapshot.unacknowledged_bytes
        return (self._unacknowledged_bytes + snapshot_bytes) / MIN_TRANSFER_BYTES_PER_MS

    def is_resend_due(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether the data in flight should be considered lost and sent again."""
        return now_ms - self.sent_ms > times.resend_ms + self.transfer_allowance_ms()

    def update_waiting(self, now_ms: float, last_index: int) -> None:
        """Start the wait for an acknowledgement if the log has entries it lacks, whether sent or not."""
        if self.waiting_since_ms is None and self.lags(last_index):
            self.waiting_since_ms = now_ms

    def record_match(self, now_ms: float, match_index: int, last_index: int) -> None:
        """Record that its synced log matches the primary's up to an index in this epoch."""
        progressed = match_index > self.match_index or not self.is_in_epoch
        self.is_in_epoch = True
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.progress = Progress.STREAMING
        self._unacknowledged_bytes = 0
        if self.snapshot is not None and self.snapshot.index <= self.match_index:
            self.snapshot = None
        if not self.lags(last_index):
            self.waiting_since_ms = None
        elif progressed:
            self.waiting_since_ms = now_ms

    def lags(self, last_index: int) -> bool:
        """Whether it still has to acknowledge the view or an entry up to `last_index`."""
        return not self.is_in_epoch or self.match_index < last_index

    def idle_ms(self, now_ms: float) -> float:
        """Time since its last message."""
        return now_ms - self.last_received_ms

    def is_timed_out(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether its acknowledgement is overdue, or no message came for the replica timeout."""
        max_wait_ms = times.unacknowledged_ms + self.transfer_allowance_ms()
        is_late = self.waiting_since_ms is not None and now_ms - self.waiting_since_ms > max_wait_ms
        return is_late or self.idle_ms(now_ms) > times.replica_timeout_ms

    def is_healthy(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether it is healthy enough to be in the in-sync set."""
        return not (self.stopping or self.disk_faulty or self.is_timed_out(now_ms, times))

    def put_on_probation(self, now_ms: float) -> None:
        """Start a probation after removal from the in-sync set, twice as long as the last one."""
        self._probation_ms = min(max(2 * self._probation_ms, INITIAL_PROBATION_MS), MAX_PROBATION_MS)
        self._probation_until_ms = now_ms + self._probation_ms

    def is_on_probation(self, now_ms: float) -> bool:
        """Whether its probation after removal from the in-sync set has not ended."""
        return now_ms < self._probation_until_ms

    def reset_timeouts(self, now_ms: float, stall_ms: float, times: ReplicationTimes) -> None:
        """Exclude a stall of the primary's own process from the timeouts of this replica.

        The replica gets at least `grace_ms` to send its next message.
        """
        latest_ms = max(self.last_received_ms, now_ms - times.replica_timeout_ms + times.grace_ms)
        self.last_received_ms = min(self.last_received_ms + stall_ms, latest_ms)
        self.sent_ms += stall_ms
        if self.waiting_since_ms is not None:
            self.waiting_since_ms += stall_ms
