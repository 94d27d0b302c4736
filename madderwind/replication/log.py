"""The replicated log in memory: recent entries after an anchor. What is older is in the state alone."""

from __future__ import annotations

from madderwind.messages.replication import LogEntry

# Committed entries are retained for replicas that lag a little; one that lags more gets a snapshot.
RETAINED_ENTRIES = 256
RETAINED_BYTES = 8 * 1024 * 1024
# While a replica catches up, up to so many times as much is retained for it.
CATCH_UP_RETENTION_FACTOR = 4
# One message carries at most this much, or a single entry.
BATCH_BYTES = 512 * 1024
BATCH_ENTRIES = 64


class ReplicatedLog:
    """Entries by index without gaps. `generation` changes whenever entries are taken back.

    Attributes:
        anchor_index: Index of the last entry that is no longer in memory.
        anchor_epoch: Epoch of that entry.
        generation: Rises with each truncation and reset.
        needed_after: Entries after this index are retained for replicas that catch up; None where none does.
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
        """Index of the newest entry; 0 if there never was one."""
        return self.anchor_index + len(self._entries)

    def epoch_at(self, index: int) -> int | None:
        """The epoch of an entry; None where it is not in memory (any more)."""
        if index == self.anchor_index:
            return self.anchor_epoch
        if not self.anchor_index < index <= self.last_index:
            return None
        return self.entry(index).epoch

    def entry(self, index: int) -> LogEntry:
        """The entry of an index that is in memory."""
        return self._entries[index - self.anchor_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry.

        Raises:
            ValueError: Its index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        self._bytes += len(entry.body)

    def truncate(self, last_index: int) -> None:
        """Drop the entries after an index."""
        remaining = max(0, last_index - self.anchor_index)
        self._bytes -= sum(len(entry.body) for entry in self._entries[remaining:])
        del self._entries[remaining:]
        self.generation += 1

    def reset(self, index: int, epoch: int) -> None:
        """Begin anew after a snapshot."""
        self.anchor_index, self.anchor_epoch = index, epoch
        self._entries.clear()
        self._bytes = 0
        self.generation += 1

    def trim(self, committed_index: int) -> None:
        """Drop old committed entries beyond what is retained for others."""
        dropped = 0
        droppable = committed_index - self.anchor_index
        while dropped < droppable and self._exceeds_retention(dropped):
            self._bytes -= len(self._entries[dropped].body)
            dropped += 1
        if dropped:
            self.anchor_epoch = self._entries[dropped - 1].epoch
            self.anchor_index += dropped
            del self._entries[:dropped]

    def batch(self, first_index: int) -> tuple[LogEntry, ...]:
        """Entries from an index on, as many as one message may carry."""
        entries: list[LogEntry] = []
        size = 0
        for index in range(first_index, min(self.last_index, first_index + BATCH_ENTRIES - 1) + 1):
            entry = self.entry(index)
            size += len(entry.body)
            if entries and size > BATCH_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    def _exceeds_retention(self, dropped: int) -> bool:
        is_needed = self.needed_after is not None and self.anchor_index + dropped >= self.needed_after
        factor = CATCH_UP_RETENTION_FACTOR if is_needed else 1
        remaining = len(self._entries) - dropped
        return remaining > factor * RETAINED_ENTRIES or self._bytes > factor * RETAINED_BYTES
