"""The follower's role: appends the entries of the primary and acknowledges those that are durable."""

from __future__ import annotations

from madderwind.log_events.control_plane import SNAPSHOT_INSTALLED
from madderwind.messages.replication import (
    AppendAck,
    AppendEntries,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    InstallSnapshot,
    LogEntry,
    SnapshotAck,
)
from madderwind.replication.context import ReplicaContext
from madderwind.replication.known_peers import KnownPeers
from madderwind.replication.snapshot_transfer import SnapshotReceiver

# Heartbeat rounds whose answer times are remembered. A heartbeat that names an older round as acknowledged
# provides no information about the lease.
MAX_REMEMBERED_ANSWERS = 64


class Follower:
    """Follows the primary of the newest view.

    Attributes:
        known_peers: What is known about the other replicas.
        last_received_ms: When the last message of the newest view's primary arrived, ms on the steady clock;
            None before the first one and after the primary gave up its role.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._me, self._store, self._outbox = context.me, context.store, context.outbox
        self._snapshot = SnapshotReceiver()
        self._committed_target = 0  # highest index that the primary of this epoch reported as committed
        self._match_index = 0  # index up to which the log in memory is known to match the primary's
        self._acknowledged_index = 0
        self._is_ack_due = False
        self._answered_ms: dict[int, float] = {}  # answer times of this epoch's heartbeat rounds
        # Latest time at which a primary is known to have held its lease.
        self._last_fresh_ms: float | None = None
        self.known_peers = KnownPeers()
        self.last_received_ms: float | None = None

    def begin_epoch(self) -> None:
        """Reset what depends on the view: how far the log matches the new primary's is not known yet."""
        self._committed_target = 0
        self._match_index = 0
        self._acknowledged_index = 0
        self._is_ack_due = False
        self._answered_ms.clear()
        self.last_received_ms = None

    def has_recent_message(self, now_ms: float, within_ms: float) -> bool:
        """Whether a message of the newest view's primary arrived within the given time."""
        return self.last_received_ms is not None and now_ms - self.last_received_ms < within_ms

    def forget_primary(self) -> None:
        """Record that the primary gave up its role or is permanently lost."""
        self.last_received_ms = None

    def record_fresh(self, fresh_ms: float) -> None:
        """Record a time when a primary held its lease and all of its commits so far are committed here."""
        self._last_fresh_ms = fresh_ms if self._last_fresh_ms is None else max(fresh_ms, self._last_fresh_ms)

    def fresh_age_ms(self, now_ms: float) -> float | None:
        """Return the time since a primary is last known to have held its lease; None if never."""
        return now_ms - self._last_fresh_ms if self._last_fresh_ms is not None else None

    def handle_heartbeat(self, now_ms: float, message: Heartbeat, is_stopping: bool) -> None:
        """Handle a heartbeat of the primary: commit what it reports as committed, and answer."""
        self._record_received(now_ms)
        self.known_peers.handle_heartbeat(now_ms, message.peers)
        self._commit_to(message.committed_index)
        self._update_lease(message)
        self._answered_ms.setdefault(message.round, now_ms)
        if len(self._answered_ms) > MAX_REMEMBERED_ANSWERS:
            del self._answered_ms[next(iter(self._answered_ms))]
        self.send_heartbeat_ack(now_ms, message.round, is_stopping)

    def handle_append(self, now_ms: float, message: AppendEntries) -> None:
        """Append the primary's entries; they replace conflicting entries, which were never committed."""
        self._record_received(now_ms)
        entries = [entry for entry in message.entries if entry.index > self._store.committed_index]
        if not self._follows(message):
            self._reject(message)
            return
        for entry in entries:
            self._append(entry)
        self._record_match(message.previous_index + len(message.entries))
        self._commit_to(message.committed_index)
        self._store.prepare_next()

    def handle_snapshot(self, now_ms: float, message: InstallSnapshot) -> None:
        """Handle a chunk of a snapshot.

        The complete snapshot replaces the log, unless the log already contains the entry of the snapshot.
        """
        self._record_received(now_ms)
        store = self._store
        if message.index > store.committed_index:
            if store.log.epoch_at(message.index) == message.entry_epoch:
                store.commit_to(message.index)
            elif not self._install_if_complete(message):
                return
        self._snapshot.reset()
        self._record_match(message.index)

    def apply_prepared(self) -> None:
        """Apply the entries that waited for a command that is prepared now, and prepare the next one."""
        self._commit_to(self._committed_target)
        self._store.prepare_next()

    def send_heartbeat_ack(self, now_ms: float, heartbeat_round: int, is_stopping: bool) -> None:
        """Report this replica's status to the primary; `heartbeat_round` is 0 if it answers no heartbeat."""
        store, primary = self._store, self._store.primary
        if primary is None or primary == self._me:
            return
        message = HeartbeatAck(
            sender=self._me.incarnation,
            target=primary.incarnation,
            epoch=store.epoch,
            round=heartbeat_round,
            accepted_epoch=store.register.accepted_epoch,
            match_index=min(store.synced_index, self._match_index),
            disk_faulty=not store.is_disk_healthy(now_ms),
            stopping=is_stopping,
        )
        self._outbox.send(primary.address, message)

    def acknowledge_synced(self) -> None:
        """Acknowledge to the primary the entries that became durable in its epoch."""
        store = self._store
        if store.view is None or store.journal.durable.epoch != store.epoch:
            return
        synced = min(store.synced_index, self._match_index)
        is_complete = self._is_ack_due and synced == self._match_index
        if not is_complete and synced <= self._acknowledged_index:
            return
        primary = store.primary
        if primary is None or primary == self._me:
            return
        self._acknowledged_index = synced
        self._is_ack_due = not is_complete and self._is_ack_due
        ack = AppendAck(self._me.incarnation, primary.incarnation, store.epoch, synced)
        self._outbox.send(primary.address, ack)

    def _record_received(self, now_ms: float) -> None:
        self.last_received_ms = now_ms
        primary = self._store.primary
        if primary is not None:
            self.known_peers.handle_primary_message(now_ms, primary)

    def _update_lease(self, message: Heartbeat) -> None:
        """Derive from a heartbeat when the primary held its lease.

        A heartbeat may have been delayed on the network or in this process. It was sent no earlier than the
        answer to the round that it acknowledges, so the age of the lease counts from the time of that answer.
        """
        sent_after_ms = self._answered_ms.get(message.acknowledged_round)
        if message.fresh_age_ms is None or sent_after_ms is None:
            return
        if self._store.committed_index >= message.committed_index:
            self.record_fresh(sent_after_ms - message.fresh_age_ms)

    def _commit_to(self, index: int) -> None:
        """Commit entries up to an index that the primary committed, as far as the log matches."""
        self._committed_target = max(self._committed_target, index)
        self._store.commit_to(min(self._committed_target, self._match_index))

    def _follows(self, message: AppendEntries) -> bool:
        """Whether the log holds the entry before these; committed entries are the same at all replicas."""
        if message.previous_index <= self._store.committed_index:
            return True
        return self._store.log.epoch_at(message.previous_index) == message.previous_epoch

    def _reject(self, message: AppendEntries) -> None:
        store = self._store
        rejection = AppendRejected(
            sender=self._me.incarnation,
            target=message.sender,
            epoch=store.epoch,
            previous_index=message.previous_index,
            committed_index=store.committed_index,
        )
        self._send_to_primary(rejection)

    def _append(self, entry: LogEntry) -> None:
        log = self._store.log
        if log.epoch_at(entry.index) == entry.epoch:
            return
        if entry.index <= log.last_index:
            self._store.truncate(entry.index - 1)
        self._store.append(entry)

    def _record_match(self, index: int) -> None:
        self._match_index = max(self._match_index, index)
        self._is_ack_due = True

    def _install_if_complete(self, message: InstallSnapshot) -> bool:
        store = self._store
        state = self._snapshot.handle_chunk(message)
        if state is None:
            ack = SnapshotAck(
                sender=self._me.incarnation,
                target=message.sender,
                epoch=store.epoch,
                index=message.index,
                received=self._snapshot.received,
            )
            self._send_to_primary(ack)
            return False
        store.install(message.index, message.entry_epoch, state)
        self._outbox.log(SNAPSHOT_INSTALLED.line(index=message.index))
        return True

    def _send_to_primary(self, message: AppendRejected | SnapshotAck) -> None:
        primary = self._store.primary
        if primary is not None:
            self._outbox.send(primary.address, message)
