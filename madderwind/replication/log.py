"""The log of commands in memory: recent entries after an anchor, the rest is in the state alone."""

from __future__ import annotations

from madderwind.messages.replication import LogEntry

# Committed entries are kept for replicas that lag a little; one that lags more gets a snapshot.
KEPT_ENTRIES = 256
KEPT_BYTES = 8 * 1024 * 1024
# For replicas that are on their way to the newest entry, more is kept: up to so many times as much.
KEPT_LONGER = 4
# One message carries at most this much, or a single entry.
BATCH_BYTES = 512 * 1024
BATCH_ENTRIES = 64


class ReplicatedLog:
    """Entries by index without gaps. `generation` changes whenever entries are taken back."""

    def __init__(self) -> None:
        self.anchor_index = 0
        self.anchor_epoch = 0
        self.generation = 0
        self.needed_after: int | None = None  # entries after this one are kept for those on their way
        self._entries: list[LogEntry] = []
        self._bytes = 0

    @property
    def last_index(self) -> int:
        """Index of the newest entry; 0 if there never was one."""
        return self.anchor_index + len(self._entries)

    def epoch_at(self, index: int) -> int | None:
        """The epoch of an entry; None where it is not held (any more)."""
        if index == self.anchor_index:
            return self.anchor_epoch
        if not self.anchor_index < index <= self.last_index:
            return None
        return self.entry(index).epoch

    def entry(self, index: int) -> LogEntry:
        """The entry of an index that is held."""
        return self._entries[index - self.anchor_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        self._bytes += len(entry.body)

    def truncate(self, last_index: int) -> None:
        """Drop the entries after an index."""
        kept = max(0, last_index - self.anchor_index)
        self._bytes -= sum(len(entry.body) for entry in self._entries[kept:])
        del self._entries[kept:]
        self.generation += 1

    def reset(self, index: int, epoch: int) -> None:
        """Begin anew after a snapshot."""
        self.anchor_index, self.anchor_epoch = index, epoch
        self._entries.clear()
        self._bytes = 0
        self.generation += 1

    def trim(self, committed_index: int) -> None:
        """Let go of old committed entries beyond what is kept for others."""
        dropped = 0
        droppable = committed_index - self.anchor_index
        while dropped < droppable and self._is_long(dropped):
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

    def _is_long(self, dropped: int) -> bool:
        is_needed = self.needed_after is not None and self.anchor_index + dropped >= self.needed_after
        times = KEPT_LONGER if is_needed else 1
        return len(self._entries) - dropped > times * KEPT_ENTRIES or self._bytes > times * KEPT_BYTES
