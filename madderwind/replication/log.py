"""The in-memory replicated log: the recent entries after an anchor. Older ones exist only in the state."""

from __future__ import annotations

from madderwind.messages.replication import LogEntry

# Committed entries are retained for replicas that lag slightly; a replica that lags further gets a snapshot.
RETAINED_ENTRIES = 256
RETAINED_BYTES = 8 * 1024 * 1024
# While a replica catches up, the retention limits are multiplied by this factor.
CATCH_UP_RETENTION_FACTOR = 4
# Limits of one message; a single entry may exceed BATCH_BYTES.
BATCH_BYTES = 512 * 1024
BATCH_ENTRIES = 64


class ReplicatedLog:
    """Log entries by index, without gaps.

    Attributes:
        anchor_index: Index of the last entry that is no longer in memory.
        anchor_epoch: Epoch of that entry.
        generation: Incremented by each truncation and reset, which remove entries.
        needed_after: Entries after this index are retained for replicas that catch up; None without one.
    """

    def __init__(self) -> None:
        self.anchor_index = 0
        self.anchor_epoch = 0
        self.generation = 0
        self.needed_after: int | None = None
        self._entries: list[LogEntry] = []
        self._bytes = 0

    @property
    def last_index(self) -> int:
        """Index of the newest entry; 0 if the log never had one."""
        return self.anchor_index + len(self._entries)

    def epoch_at(self, index: int) -> int | None:
        """Return the epoch of an entry; None if the entry is not in memory."""
        if index == self.anchor_index:
            return self.anchor_epoch
        if not self.anchor_index < index <= self.last_index:
            return None
        return self.entry(index).epoch

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be in memory."""
        return self._entries[index - self.anchor_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Append the next entry.

        Raises:
            ValueError: The index of the entry does not follow the last index.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"log entry {entry.index} does not follow the last entry {self.last_index}")
        self._entries.append(entry)
        self._bytes += len(entry.body)

    def truncate(self, last_index: int) -> None:
        """Remove the entries after an index."""
        remaining = max(0, last_index - self.anchor_index)
        self._bytes -= sum(len(entry.body) for entry in self._entries[remaining:])
        del self._entries[remaining:]
        self.generation += 1

    def reset(self, index: int, epoch: int) -> None:
        """Remove all entries and continue after the last entry of a snapshot."""
        self.anchor_index, self.anchor_epoch = index, epoch
        self._entries.clear()
        self._bytes = 0
        self.generation += 1

    def trim(self, committed_index: int) -> None:
        """Remove the oldest committed entries that exceed the retention limits."""
        removed = 0
        removable = committed_index - self.anchor_index
        while removed < removable and self._exceeds_retention(removed):
            self._bytes -= len(self._entries[removed].body)
            removed += 1
        if removed:
            self.anchor_epoch = self._entries[removed - 1].epoch
            self.anchor_index += removed
            del self._entries[:removed]

    def batch(self, first_index: int) -> tuple[LogEntry, ...]:
        """Return the entries from an index on, as many as one message may carry."""
        entries: list[LogEntry] = []
        size = 0
        for index in range(first_index, min(self.last_index, first_index + BATCH_ENTRIES - 1) + 1):
            entry = self.entry(index)
            size += len(entry.body)
            if entries and size > BATCH_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    def _exceeds_retention(self, removed: int) -> bool:
        is_needed = self.needed_after is not None and self.anchor_index + removed >= self.needed_after
        factor = CATCH_UP_RETENTION_FACTOR if is_needed else 1
        remaining = len(self._entries) - removed
        return remaining > factor * RETAINED_ENTRIES or self._bytes > factor * RETAINED_BYTES
