"""Sender and receiver of a snapshot transfer: chunks that are acknowledged one by one.

Chunks are short and only a window of them is in flight, so that a long state does not delay heartbeats on the
same connection. After a loss the sender resumes at the receiver's position.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import InstallSnapshot

CHUNK_BYTES = 128 * 1024
# Bytes in flight without acknowledgement: 20 ms on a 210 Mbit/s link, 130 ms on a 32 Mbit/s link.
WINDOW_BYTES = 512 * 1024


class SnapshotSender:
    """The primary's side: sends the state after the entry `index` to one replica.

    The transfer continues in later epochs of the primary that started it in `begun_epoch`.
    """

    def __init__(self, begun_epoch: int, index: int, entry_epoch: int, state: bytes) -> None:
        self.begun_epoch, self.index, self.entry_epoch, self.state = begun_epoch, index, entry_epoch, state
        self._received = 0  # position in the last acknowledgement
        self._sent = 0

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of bytes sent and not acknowledged.

        Once everything was sent, that is the length of the whole state: the final acknowledgement follows
        only after the receiver has read, installed and written it.
        """
        return len(self.state) if self._sent == len(self.state) else self._sent - self._received

    def handle_ack(self, received: int) -> bool:
        """Record how many bytes the receiver holds; return whether that is progress.

        Fewer than before mean that the receiver started over.
        """
        has_progressed = received > self._received
        if received < self._received:
            self._sent = received
        self._received = received
        self._sent = max(self._sent, received)
        return has_progressed

    def rewind(self) -> None:
        """Resume at the receiver's position, as the chunks sent since are considered lost."""
        self._sent = min(self._sent, self._received)

    def next_chunk(self) -> slice | None:
        """Return the next chunk to send and count it as sent.

        Returns None if the window is full or the whole state was sent.
        """
        if self._sent == len(self.state) or self._sent - self._received >= WINDOW_BYTES:
            return None
        chunk = slice(self._sent, min(self._sent + CHUNK_BYTES, len(self.state)))
        self._sent = chunk.stop
        return chunk


class _SnapshotId(msgspec.Struct, frozen=True):
    """Identifies one snapshot of one process, as only one process incarnation wins an epoch."""

    sender: str
    begun_epoch: int
    index: int


class SnapshotReceiver:
    """The receiver's side: assembles the chunks of one snapshot."""

    def __init__(self) -> None:
        self._snapshot_id: _SnapshotId | None = None
        self._state = bytearray()

    @property
    def received(self) -> int:
        """Number of bytes received of the snapshot in progress."""
        return len(self._state)

    def reset(self) -> None:
        """Discard the snapshot in progress; the next chunk starts a new one."""
        self._snapshot_id = None
        self._state.clear()

    def handle_chunk(self, chunk: InstallSnapshot) -> bytes | None:
        """Add a chunk.

        A chunk that does not continue the received bytes is dropped. A chunk of another snapshot discards the
        one in progress.

        Returns:
            The complete state if this was the last chunk, else None.
        """
        snapshot_id = _SnapshotId(chunk.sender, chunk.begun_epoch, chunk.index)
        if snapshot_id != self._snapshot_id:
            self.reset()
            self._snapshot_id = snapshot_id
        if chunk.offset == len(self._state):
            self._state += chunk.data
        if len(self._state) < chunk.size:
            return None
        state = bytes(self._state)
        self.reset()
        return state
