"""Log shipping from the primary to other replicas: entries as they are appended, or a snapshot first."""

from __future__ import annotations

from collections.abc import Iterable

from madderwind.log_events.control_plane import SNAPSHOT_SENT
from madderwind.messages.replication import AppendEntries, InstallSnapshot, LogEntry, SnapshotAck
from madderwind.replication.context import ReplicaContext
from madderwind.replication.peer import Peer, Progress
from madderwind.replication.snapshot_transfer import SnapshotSender


class LogShipping:
    """Sends entries and snapshots to one peer per call; the peer tracks what is in flight to it."""

    def __init__(self, context: ReplicaContext) -> None:
        self._me, self._store = context.me, context.store
        self._outbox, self._times = context.outbox, context.times

    def handle_snapshot_ack(self, now_ms: float, peer: Peer, message: SnapshotAck) -> None:
        """Handle the acknowledgement of a part of the snapshot that is being sent to the replica."""
        if peer.snapshot is None or peer.snapshot.index != message.index:
            return
        if peer.snapshot.handle_ack(message.received):
            peer.record_sent(now_ms)
        self._send_chunks(now_ms, peer, peer.snapshot)

    def send_entries(self, now_ms: float, peer: Peer) -> None:
        """Send the entries that a streaming replica does not have yet, as far as its window allows."""
        last_index = self._store.log.last_index
        while peer.progress is Progress.STREAMING and peer.next_index <= last_index and peer.has_open_window:
            if not self._send_batch(now_ms, peer):
                self.probe(now_ms, peer)
        peer.update_waiting(now_ms, last_index)

    def probe(self, now_ms: float, peer: Peer) -> None:
        """Send the next entries, or a snapshot instead, to find out how far the replica's log matches."""
        peer.progress = Progress.PROBING
        previous_epoch = self._store.log.epoch_at(peer.next_index - 1)
        peer.discard_in_flight()
        if peer.snapshot is not None or previous_epoch is None:
            self._send_snapshot(now_ms, peer)
        else:
            entries = self._store.log.batch(peer.next_index)
            self._outbox.send(peer.member.address, self._append_message(peer, previous_epoch, entries))
            peer.record_sent(now_ms, _bytes_of(entries))
        peer.update_waiting(now_ms, self._store.log.last_index)

    def probe_from_match(self, now_ms: float, peer: Peer) -> None:
        """Probe again after the last entry known to match, as what was sent since had no effect."""
        if peer.is_in_epoch:
            peer.next_index = peer.match_index + 1
        self.probe(now_ms, peer)

    def lags(self, peer: Peer) -> bool:
        """Whether the replica has entries left to acknowledge."""
        return peer.lags(self._store.log.last_index)

    def may_probe(self, now_ms: float, peer: Peer) -> bool:
        """Whether no probe is in flight whose answer may still arrive."""
        return peer.progress is Progress.STREAMING or peer.is_resend_due(now_ms, self._times)

    def needed_after(self, now_ms: float, peers: Iterable[Peer]) -> int | None:
        """Return the last index that all replicas catching up have; None if none is catching up.

        For a replica that is being sent a snapshot, that is the index of the snapshot.
        """
        indexes = [
            peer.match_index if peer.snapshot is None else peer.snapshot.index
            for peer in peers
            if peer.idle_ms(now_ms) < self._times.replica_timeout_ms
            and (peer.is_in_epoch or peer.snapshot is not None)
        ]
        return min(indexes, default=None)

    def _send_batch(self, now_ms: float, peer: Peer) -> bool:
        """Send the entries from `next_index` on; return False if the log no longer holds them."""
        previous_epoch = self._store.log.epoch_at(peer.next_index - 1)
        if previous_epoch is None:
            return False
        entries = self._store.log.batch(peer.next_index)
        self._outbox.send(peer.member.address, self._append_message(peer, previous_epoch, entries))
        peer.next_index += len(entries)
        peer.record_sent(now_ms, _bytes_of(entries))
        return True

    def _append_message(
        self, peer: Peer, previous_epoch: int, entries: tuple[LogEntry, ...]
    ) -> AppendEntries:
        return AppendEntries(
            sender=self._me.incarnation,
            target=peer.member.incarnation,
            epoch=self._store.epoch,
            previous_index=peer.next_index - 1,
            previous_epoch=previous_epoch,
            entries=entries,
            committed_index=self._store.committed_index,
        )

    def _send_snapshot(self, now_ms: float, peer: Peer) -> None:
        """Start or continue to send a snapshot of the state.

        Entries committed during the transfer follow from the log, which is retained for that purpose. A
        replica that timed out gets a snapshot once it answers again.
        """
        if peer.idle_ms(now_ms) > self._times.replica_timeout_ms:
            peer.snapshot = None
            return
        if peer.snapshot is None:
            index = self._store.committed_index
            epoch = self._store.log.epoch_at(index)
            assert epoch is not None
            state = self._store.committed.snapshot()
            peer.snapshot = SnapshotSender(self._store.epoch, index, epoch, state)
            self._outbox.log(SNAPSHOT_SENT.line(to=peer.member.address, index=index))
        peer.record_sent(now_ms)
        self._send_chunks(now_ms, peer, peer.snapshot)

    def _send_chunks(self, now_ms: float, peer: Peer, snapshot: SnapshotSender) -> None:
        while (chunk := snapshot.next_chunk()) is not None:
            message = InstallSnapshot(
                sender=self._me.incarnation,
                target=peer.member.incarnation,
                epoch=self._store.epoch,
                begun_epoch=snapshot.begun_epoch,
                index=snapshot.index,
                entry_epoch=snapshot.entry_epoch,
                offset=chunk.start,
                size=len(snapshot.state),
                data=snapshot.state[chunk],
            )
            self._outbox.send(peer.member.address, message)
            peer.record_sent(now_ms)


def _bytes_of(entries: tuple[LogEntry, ...]) -> int:
    return sum(len(entry.body) for entry in entries)
