"""How the primary brings its log to other replicas: entries as they come, or the whole state before them."""

from __future__ import annotations

from collections.abc import Iterable

from madderwind.messages.replication import AppendEntries, InstallSnapshot, LogEntry, SnapshotAck
from madderwind.replication.core import ReplicaCore
from madderwind.replication.peers import Peer, Progress
from madderwind.replication.snapshot_transfer import SnapshotSender


class LogShipping:
    """Sends to one peer at a time; what is on its way is kept in the peer."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    def take_snapshot_received(self, now_ms: float, peer: Peer, message: SnapshotAck) -> None:
        """The replica has a part of the snapshot that it is sent."""
        if peer.snapshot is None or peer.snapshot.index != message.index:
            return
        if peer.snapshot.take_received(message.received):
            peer.note_sent(now_ms)
        self._send_chunks(now_ms, peer, peer.snapshot)

    def send_entries(self, now_ms: float, peer: Peer) -> None:
        """Send what a replica that keeps up does not have yet."""
        last_index = self._core.log.last_index
        while peer.progress is Progress.STREAMING and peer.next_index <= last_index and peer.has_room:
            if not self._send_batch(now_ms, peer):
                self.probe(now_ms, peer)
        peer.note_waiting(now_ms, last_index)

    def _send_batch(self, now_ms: float, peer: Peer) -> bool:
        """Send entries from the next on; False where the log no longer holds them."""
        previous_epoch = self._core.log.epoch_at(peer.next_index - 1)
        if previous_epoch is None:
            return False
        entries = self._core.log.batch(peer.next_index)
        self._core.send(peer.member.address, self._append_message(peer, previous_epoch, entries))
        peer.next_index += len(entries)
        peer.note_sent(now_ms, _bytes_of(entries))
        return True

    def probe(self, now_ms: float, peer: Peer) -> None:
        """Send what shows where the replica's log stands: the next entries, or a snapshot instead."""
        peer.progress = Progress.PROBING
        previous_epoch = self._core.log.epoch_at(peer.next_index - 1)
        peer.begin_again()
        if peer.snapshot is not None or previous_epoch is None:
            self._send_snapshot(now_ms, peer)
        else:
            entries = self._core.log.batch(peer.next_index)
            self._core.send(peer.member.address, self._append_message(peer, previous_epoch, entries))
            peer.note_sent(now_ms, _bytes_of(entries))
        peer.note_waiting(now_ms, self._core.log.last_index)

    def lags(self, peer: Peer) -> bool:
        """Whether the replica has still to acknowledge something."""
        return peer.lags(self._core.log.last_index)

    def may_probe(self, now_ms: float, peer: Peer) -> bool:
        """Whether nothing is under way that would show where the replica's log stands."""
        return peer.progress is Progress.STREAMING or peer.is_resend_due(now_ms, self._core.times)

    def probe_again(self, now_ms: float, peer: Peer) -> None:
        """Nothing came of what was sent: begin again after what is sure."""
        if peer.is_in_epoch:
            peer.next_index = peer.matched + 1
        self.probe(now_ms, peer)

    def _append_message(
        self, peer: Peer, previous_epoch: int, entries: tuple[LogEntry, ...]
    ) -> AppendEntries:
        return AppendEntries(
            self._core.me.incarnation,
            peer.member.incarnation,
            self._core.epoch,
            peer.next_index - 1,
            previous_epoch,
            entries,
            self._core.committed_index,
        )

    def _send_snapshot(self, now_ms: float, peer: Peer) -> None:
        """Begin to send the whole state, or go on with that. What is committed meanwhile follows by the log,
        which is kept for it. Who is silent gets it when it answers again."""
        if peer.silent_ms(now_ms) > self._core.times.silence_ms:
            peer.snapshot = None
            return
        if peer.snapshot is None:
            index = self._core.committed_index
            epoch = self._core.log.epoch_at(index)
            assert epoch is not None
            state = self._core.committed.snapshot()
            peer.snapshot = SnapshotSender(self._core.epoch, index, epoch, state)
            self._core.report("snapshot_sent", to=peer.member.address, index=index)
        peer.note_sent(now_ms)
        self._send_chunks(now_ms, peer, peer.snapshot)

    def _send_chunks(self, now_ms: float, peer: Peer, snapshot: SnapshotSender) -> None:
        while (chunk := snapshot.next_chunk()) is not None:
            message = InstallSnapshot(
                self._core.me.incarnation,
                peer.member.incarnation,
                self._core.epoch,
                snapshot.begun_epoch,
                snapshot.index,
                snapshot.entry_epoch,
                chunk.start,
                len(snapshot.state),
                snapshot.state[chunk],
            )
            self._core.send(peer.member.address, message)
            peer.note_sent(now_ms)

    def needed_after(self, now_ms: float, peers: Iterable[Peer]) -> int | None:
        """The last entry that all have who are on their way to the newest, those with a snapshot included."""
        held = [
            peer.matched if peer.snapshot is None else peer.snapshot.index
            for peer in peers
            if peer.silent_ms(now_ms) < self._core.times.silence_ms
            and (peer.is_in_epoch or peer.snapshot is not None)
        ]
        return min(held, default=None)


def _bytes_of(entries: tuple[LogEntry, ...]) -> int:
    return sum(len(entry.body) for entry in entries)
