"""What the primary knows of another replica, and how far that one follows its log."""

from __future__ import annotations

from enum import Enum

from madderwind.messages.replication import Member
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.snapshot_transfer import WINDOW_BYTES, SnapshotSender
from madderwind.replication.times import ReplicationTimes

# A replica that fell out of the in-sync set has to keep up for a while to come back, longer each time.
FIRST_PROBATION_MS = 200.0
LONGEST_PROBATION_MS = 16_000.0
# A long message may take its share of the link, be decoded, and be written to the disk at this rate at least,
# before it counts as lost or its receiver as late. It is 80 Mbit/s.
SLOWEST_BYTES_PER_MS = 10_000.0
# A new primary takes over silence that lasted for more heartbeats than this.
SUSPECT_AFTER_HEARTBEATS = 3
# And leaves that replica the time of so many to be heard after all.
HEARTBEATS_TO_ANSWER = 2


class Progress(Enum):
    """How entries are sent to a replica."""

    PROBING = "probing"  # one message at a time, until its log is known to match
    STREAMING = "streaming"  # entries as they come


class Peer:
    """Another replica as the primary sees it in its epoch. Times are ms on the steady clock."""

    def __init__(self, member: Member, now_ms: float, next_index: int) -> None:
        self.member = member
        self.heard_ms = now_ms
        self.disk_in_trouble = False
        self.leaving = False
        self.progress = Progress.PROBING
        self.matched = 0
        self.answered_round = 0  # the newest round of heartbeats that it answered in this epoch
        self.is_in_epoch = False  # it has this epoch's view on disk
        self.next_index = next_index
        self.sent_ms = now_ms
        self.snapshot: SnapshotSender | None = None  # on its way
        self._entry_bytes = 0  # sent and not acknowledged
        self.waiting_since: float | None = None
        self._probation_ms = 0.0
        self._probation_until = now_ms

    def inherit(self, now_ms: float, known: KnownPeer, times: ReplicationTimes) -> None:
        """Begin with what was known of it before this primary took over. Who was silent towards the former
        primary still has the time of some heartbeats to answer this one."""
        self.leaving = known.leaving
        if now_ms - known.heard_ms < SUSPECT_AFTER_HEARTBEATS * times.heartbeat_ms:
            return
        given_ms = 0.0 if known.first_hand else HEARTBEATS_TO_ANSWER * times.heartbeat_ms
        self.heard_ms = max(known.heard_ms, now_ms - times.silence_ms + given_ms)

    def begin_epoch(self, now_ms: float, next_index: int) -> None:
        """What it acknowledged in an earlier epoch no longer counts."""
        self.progress = Progress.PROBING
        self.matched = 0
        self.answered_round = 0
        self.is_in_epoch = False
        self.next_index = next_index
        self.begin_again()
        self.sent_ms = now_ms
        if self.waiting_since is not None:
            self.waiting_since = now_ms

    def note_sent(self, now_ms: float, entry_bytes: int = 0) -> None:
        """Something that it has to acknowledge is on its way."""
        self.sent_ms = now_ms
        self._entry_bytes += entry_bytes

    def begin_again(self) -> None:
        """What is on its way no longer counts."""
        self._entry_bytes = 0
        if self.snapshot is not None:
            self.snapshot.rewind()

    @property
    def has_room(self) -> bool:
        """Whether more entries may be sent before others are acknowledged."""
        return self._entry_bytes < WINDOW_BYTES

    def allowance_ms(self) -> float:
        """How much longer than short ones an answer to what is on its way may take."""
        snapshot_bytes = 0 if self.snapshot is None else self.snapshot.unacknowledged_bytes
        return (self._entry_bytes + snapshot_bytes) / SLOWEST_BYTES_PER_MS

    def is_resend_due(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether what was sent is to be taken for lost."""
        return now_ms - self.sent_ms > times.resend_ms + self.allowance_ms()

    def note_waiting(self, now_ms: float, last_index: int) -> None:
        """There may be something that it has not acknowledged, sent or not."""
        if self.waiting_since is None and self.lags(last_index):
            self.waiting_since = now_ms

    def note_matched(self, now_ms: float, matched: int, last_index: int) -> None:
        """Its synced log is the primary's up to an index, under this epoch."""
        progressed = matched > self.matched or not self.is_in_epoch
        self.is_in_epoch = True
        self.matched = max(self.matched, matched)
        self.next_index = max(self.next_index, self.matched + 1)
        self.progress = Progress.STREAMING
        self._entry_bytes = 0
        if self.snapshot is not None and self.snapshot.index <= self.matched:
            self.snapshot = None
        if not self.lags(last_index):
            self.waiting_since = None
        elif progressed:
            self.waiting_since = now_ms

    def lags(self, last_index: int) -> bool:
        """Whether something is still to be acknowledged."""
        return not self.is_in_epoch or self.matched < last_index

    def is_overdue(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether it holds commits up for too long, or is silent."""
        most_ms = times.unacknowledged_ms + self.allowance_ms()
        is_late = self.waiting_since is not None and now_ms - self.waiting_since > most_ms
        return is_late or self.silent_ms(now_ms) > times.silence_ms

    def silent_ms(self, now_ms: float) -> float:
        """Since it last answered anything."""
        return now_ms - self.heard_ms

    def is_sound(self, now_ms: float, times: ReplicationTimes) -> bool:
        """Whether it may be part of the in-sync set."""
        return not (self.leaving or self.disk_in_trouble or self.is_overdue(now_ms, times))

    def put_on_probation(self, now_ms: float) -> None:
        """It left the in-sync set: it comes back when it has kept up for a while."""
        self._probation_ms = min(max(2 * self._probation_ms, FIRST_PROBATION_MS), LONGEST_PROBATION_MS)
        self._probation_until = now_ms + self._probation_ms

    def is_on_probation(self, now_ms: float) -> bool:
        """Whether it fell out of the in-sync set a short time ago."""
        return now_ms < self._probation_until

    def forgive(self, now_ms: float, gap_ms: float, times: ReplicationTimes) -> None:
        """The primary did not run for a while: what it did not hear in that time is no silence, and it has
        `grace_ms` at least to be heard again."""
        latest_ms = max(self.heard_ms, now_ms - times.silence_ms + times.grace_ms)
        self.heard_ms = min(self.heard_ms + gap_ms, latest_ms)
        self.sent_ms += gap_ms
        if self.waiting_since is not None:
            self.waiting_since += gap_ms
