"""Disk writes of a replica, and the messages that may be sent only once these writes are durable.

Writes complete in order. After a failed write nothing counts as durable until the whole file has been
rewritten from memory. A replica starts the same way, as what it recovered may never have been synced.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

import msgspec

from madderwind.replication.actions import Action, Rewrite, Send, Write
from madderwind.replication.records import StoredRecord, stored_records
from madderwind.replication.times import ReplicationTimes

# The file is rewritten once it is longer than this and more than twice as long as after the last rewrite.
REWRITE_FROM_BYTES = 8 * 1024 * 1024
# Messages that wait for a faulty disk; beyond this the oldest are dropped, as they are obsolete.
MAX_WAITING_MESSAGES = 256


class DiskState(Enum):
    """Whether records can be appended to the file."""

    NEEDS_REWRITE = "needs rewrite"
    REWRITING = "rewriting"  # nothing counts as durable before it completes
    READY = "ready"


DISK_TRANSITIONS = {
    DiskState.NEEDS_REWRITE: {DiskState.REWRITING},
    DiskState.REWRITING: {DiskState.READY, DiskState.NEEDS_REWRITE},
    DiskState.READY: {DiskState.NEEDS_REWRITE},
}


class DurablePosition(msgspec.Struct, frozen=True):
    """What is durable once a write has completed.

    Attributes:
        epoch: Epoch of the newest view.
        log_generation: Generation of the log; -1 before the file holds this replica's identity.
        last_index: Index of the last log entry.
    """

    epoch: int = 0
    log_generation: int = -1
    last_index: int = 0


class _PendingWrite(msgspec.Struct):
    token: int
    issued_ms: float
    position: DurablePosition
    sends: list[Send]
    is_rewrite: bool


class Journal:
    """Collects the records of an event and the messages that depend on them, and tracks pending writes."""

    def __init__(self, times: ReplicationTimes) -> None:
        self.state = DiskState.NEEDS_REWRITE
        self.durable = DurablePosition()
        self._times = times
        self._records: list[bytes] = []
        self._sends: list[Send] = []
        self._pending: deque[_PendingWrite] = deque()
        self._last_token = 0
        self._retry_ms = 0.0
        self._retry_backoff_ms = times.initial_rewrite_backoff_ms
        self._faulty_since_ms: float | None = None
        self._file_bytes = 0
        self._rewritten_bytes = 0

    def add(self, record: StoredRecord) -> None:
        """Add a record to the next flush."""
        self._records.append(stored_records.encode(record))

    def send_once_synced(self, send: Send) -> None:
        """Hold a message back until everything added so far is durable."""
        self._sends.append(send)
        del self._sends[:-MAX_WAITING_MESSAGES]

    def flush(
        self, now_ms: float, position: DurablePosition, all_records: Callable[[], list[StoredRecord]]
    ) -> list[Action]:
        """Return the actions at the end of an event.

        Args:
            now_ms: Steady clock, ms.
            position: What is durable once everything added so far is.
            all_records: Returns the records of a rewritten file.

        Returns:
            A write or a rewrite, or the messages that need to wait for neither.
        """
        if self.state is DiskState.NEEDS_REWRITE:
            self._records.clear()
            return [self._rewrite(now_ms, position, all_records())] if now_ms >= self._retry_ms else []
        if self.state is DiskState.REWRITING and self._records:
            # The records follow the rewrite, which was issued without them.
            return [self._write(now_ms, position)]
        if self._exceeds_rewrite_limit():
            self._records.clear()
            return [self._rewrite(now_ms, position, all_records())]
        if self._records:
            return [self._write(now_ms, position)]
        return list(self._release_unwritten())

    def completed(self, token: int) -> list[Send]:
        """Record that a write and all earlier ones are durable; return the messages that waited for them."""
        released: list[Send] = []
        while self._pending and self._pending[0].token <= token:
            pending = self._pending.popleft()
            released += pending.sends
            self.durable = pending.position
            if pending.is_rewrite:
                self._enter(DiskState.READY)
                self._retry_backoff_ms = self._times.initial_rewrite_backoff_ms
        if self.state is DiskState.READY:
            self._faulty_since_ms = None
        return released

    def failed(self, token: int, now_ms: float) -> None:
        """Record that a write failed; only a rewritten file is reliable after that."""
        if not any(pending.token == token for pending in self._pending):
            return
        # Messages that waited for any of the pending writes now wait for the rewrite.
        waiting = [send for pending in self._pending for send in pending.sends]
        self._pending.clear()
        self._sends = waiting + self._sends
        if self.state is not DiskState.NEEDS_REWRITE:
            self._retry_ms = now_ms + self._retry_backoff_ms
            self._retry_backoff_ms = min(2 * self._retry_backoff_ms, self._times.max_rewrite_backoff_ms)
        self._faulty_since_ms = now_ms if self._faulty_since_ms is None else self._faulty_since_ms
        self._enter(DiskState.NEEDS_REWRITE)

    def pending_ms(self, now_ms: float) -> float:
        """Return how long the oldest write has been pending."""
        return now_ms - self._pending[0].issued_ms if self._pending else 0.0

    def is_faulty(self, now_ms: float) -> bool:
        """Whether a write failed and the file has not been rewritten since, or a write takes too long."""
        return self._faulty_since_ms is not None or self.pending_ms(now_ms) > self._times.slow_write_ms

    def reset_timeouts(self, stall_ms: float) -> None:
        """Exclude a stall of the process from the age of pending writes, as the disk did not cause it."""
        for pending in self._pending:
            pending.issued_ms += stall_ms

    def _enter(self, state: DiskState) -> None:
        """Change the state; the only place that does."""
        assert state is self.state or state in DISK_TRANSITIONS[self.state], (
            f"invalid disk state transition: {self.state} to {state}"
        )
        self.state = state

    def _write(self, now_ms: float, position: DurablePosition) -> Write:
        records = tuple(self._records)
        self._records.clear()
        self._file_bytes += sum(len(record) for record in records)
        return Write(self._begin(now_ms, position, is_rewrite=False), records)

    def _rewrite(self, now_ms: float, position: DurablePosition, all_records: list[StoredRecord]) -> Rewrite:
        records = tuple(stored_records.encode(record) for record in all_records)
        self._file_bytes = self._rewritten_bytes = sum(len(record) for record in records)
        if self.state is DiskState.NEEDS_REWRITE:
            self._enter(DiskState.REWRITING)
        return Rewrite(self._begin(now_ms, position, is_rewrite=True), records)

    def _begin(self, now_ms: float, position: DurablePosition, is_rewrite: bool) -> int:
        self._last_token += 1
        self._pending.append(_PendingWrite(self._last_token, now_ms, position, self._sends, is_rewrite))
        self._sends = []
        return self._last_token

    def _release_unwritten(self) -> list[Send]:
        """Return the messages if no write is pending; else let them wait for the last pending write.

        They depend on no record of this event.
        """
        sends, self._sends = self._sends, []
        if not self._pending:
            return sends
        self._pending[-1].sends += sends
        return []

    def _exceeds_rewrite_limit(self) -> bool:
        limit_bytes = max(REWRITE_FROM_BYTES, 2 * self._rewritten_bytes)
        return self._file_bytes > limit_bytes and self.state is DiskState.READY
