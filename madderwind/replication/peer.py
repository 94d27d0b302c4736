"""What the primary knows of another replica, and how far that one follows its log."""

from __future__ import annotations

from enum import Enum

from madderwind.messages.replication import Member
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.snapshot_transfer import WINDOW_BYTES, SnapshotSender
from madderwind.replication.times import ReplicationTimes

# A replica that fell out of the in-sync set has to keep up for a while to come back, longer each time.
INITIAL_PROBATION_MS = 200.0
MAX_PROBATION_MS = 16_000.0
# A long message may take its share of the link, be decoded, and be written to the disk at this rate at least,
# before it counts as lost or its receiver as late. It is 80 Mbit/s.
MIN_TRANSFER_BYTES_PER_MS = 10_000.0
# A new primary takes over idle time that lasted for more heartbeats than this.
SUSPECT_AFTER_HEARTBEATS = 3
# And leaves that replica the time of so many to be heard from after all.
HEARTBEATS_TO_ANSWER = 2


class Progress(Enum):
    """How entries are sent to a replica."""

    PROBING = "probing"  # one message at a time, until its log is known to match
    STREAMING = "streaming"  # entries as they come


class Peer:
    """Another replica as the primary sees it in its epoch. Times are ms on the steady clock.

    Attributes:
        member: The replica.
        last_received_ms: When its last message came.
        disk_faulty: Whether it reported that its disk fails or is too slow.
        stopping: Whether its process is about to end.
        progress: How entries are sent to it.
        match_index: Up to where its synced log is known to be the primary's in this epoch.
        next_index: The next entry to send.
        acknowledged_round: The newest heartbeat round that it answered in this epoch.
        is_in_epoch: Whether it has this epoch's view on disk.
        sent_ms: When something was last sent that it has to acknowledge.
        snapshot: The snapshot that it is being sent.
        waiting_since_ms: Since when it has had something to acknowledge; None while it has nothing.
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

    def inherit(self, now_ms: float, known: KnownPeer, times: ReplicationTimes) -> None:
        """Begin with what was known of it before this primary took over.

        A replica that the former primary had not heard from still has the time of some heartbeats to answer
        this one.
        """
        self.stopping = known.stopping
        if now_ms - known.last_received_ms < SUSPECT_AFTER_HEARTBEATS * times.heartbeat_ms:
            return
        given_ms = 0.0 if known.is_direct else HEARTBEATS_TO_ANSWER * times.heartbeat_ms
        self.last_received_ms = max(known.last_received_ms, now_ms - times.replica_timeout_ms + given_ms)

    def begin_epoch(self, now_ms: float, next_index: int) -> None:
        """What it acknowledged in an earlier epoch no longer counts."""
        self.progress = Progress.PROBING
        self.match_index = 0
        self.acknowledged_round = 0
        self.is_in_epoch = False
        self.next_index = next_index
        self.discard_in_flight()
        self.sent_ms = now_ms
        if self.waiting_since_ms is not None:
            self.waiting_since_ms = now_ms

    # --- what is sent to it ---

    def record_sent(self, now_ms: float, entry_bytes: int = 0) -> None:
        """Something that it has to acknowledge was sent."""
        self.sent_ms = now_ms
        self._unacknowledged_bytes += entry_bytes

    def discard_in_flight(self) -> None:
        """What is in flight no longer counts."""
        self._unacknowledged_bytes = 0
        if self.snapshot is not None:
            self.snapshot.rewind()

    @property
    def has_open_window(self) -> bool:
        """Whether more entries may be sent before others are acknowledged."""
        return self._unacknowledged_bytes < WINDOW_BYTES

    def transfer_allowance_ms(self) -> float:
        """How much longer than a short one an answer to what is in flight may take."""
        snapshot_bytes = 0 if self.snapshot is None else self.snapshot.unacknowledged_bytes
        return (self._unacknowledged_bytes + snapshot_bytes) / MIN_TRANSFER_BYTES_PER_MS

    def is_resend_due(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether what was sent is to be taken for lost."""
        return now_ms - self.sent_ms > times.resend_ms + self.transfer_allowance_ms()

    # --- what it acknowledges ---

    def update_waiting(self, now_ms: float, last_index: int) -> None:
        """There may be something that it has not acknowledged, sent or not."""
        if self.waiting_since_ms is None and self.lags(last_index):
            self.waiting_since_ms = now_ms

    def record_match(self, now_ms: float, match_index: int, last_index: int) -> None:
        """Its synced log is the primary's up to an index, in this epoch."""
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
        """Whether something is still to be acknowledged."""
        return not self.is_in_epoch or self.match_index < last_index

    # --- its health ---

    def idle_ms(self, now_ms: float) -> float:
        """Time since its last message."""
        return now_ms - self.last_received_ms

    def is_timed_out(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether it holds commits up for too long, or nothing came from it."""
        max_wait_ms = times.unacknowledged_ms + self.transfer_allowance_ms()
        is_late = self.waiting_since_ms is not None and now_ms - self.waiting_since_ms > max_wait_ms
        return is_late or self.idle_ms(now_ms) > times.replica_timeout_ms

    def is_healthy(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether it may be part of the in-sync set."""
        return not (self.stopping or self.disk_faulty or self.is_timed_out(now_ms, times))

    def put_on_probation(self, now_ms: float) -> None:
        """It left the in-sync set: it comes back when it has kept up for a while."""
        self._probation_ms = min(max(2 * self._probation_ms, INITIAL_PROBATION_MS), MAX_PROBATION_MS)
        self._probation_until_ms = now_ms + self._probation_ms

    def is_on_probation(self, now_ms: float) -> bool:
        """Whether it fell out of the in-sync set a short time ago."""
        return now_ms < self._probation_until_ms

    def reset_timeouts(self, now_ms: float, stall_ms: float, times: ReplicationTimes) -> None:
        """The primary did not run for a while: what did not come in that time is no time-out.

        The replica has `grace_ms` at least to be heard from again.
        """
        latest_ms = max(self.last_received_ms, now_ms - times.replica_timeout_ms + times.grace_ms)
        self.last_received_ms = min(self.last_received_ms + stall_ms, latest_ms)
        self.sent_ms += stall_ms
        if self.waiting_since_ms is not None:
            self.waiting_since_ms += stall_ms
