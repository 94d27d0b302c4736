"""What a replica does under another's primacy: takes entries, and acknowledges what is on its disk."""

from __future__ import annotations

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
from madderwind.replication.core import ReplicaCore
from madderwind.replication.known_peers import KnownPeers
from madderwind.replication.snapshot_transfer import SnapshotReceiver

# Rounds whose answers' times are kept: a heartbeat that names an older one tells nothing about the lease.
KEPT_ANSWERS = 64


class Follower:
    """Follows the primary of the newest view."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._incoming = SnapshotReceiver()
        self._matched = 0  # up to where the log, in memory, is known to be the primary's
        self._acknowledged = 0
        self._is_acknowledgement_due = False
        self.known_peers = KnownPeers()
        self.heard_ms: float | None = None  # the primary of the newest view
        self._answered_ms: dict[int, float] = {}  # when rounds of this epoch's heartbeats were answered
        self._fresh_ms: float | None = None  # when that primary is known to have held its lease

    def begin_epoch(self) -> None:
        """Another view: what the log has in common with its primary's is not known yet."""
        self._matched = 0
        self._acknowledged = 0
        self._is_acknowledgement_due = False
        self._answered_ms.clear()
        self.heard_ms = None

    def hears_primary(self, now_ms: float, within_ms: float) -> bool:
        """Whether the primary of the newest view was heard lately."""
        return self.heard_ms is not None and now_ms - self.heard_ms < within_ms

    def forget_primary(self) -> None:
        """The primary gave its role up, or is gone for good."""
        self.heard_ms = None

    def note_fresh(self, fresh_ms: float) -> None:
        """At this time a primary held its lease, and all that it had committed is committed here."""
        self._fresh_ms = fresh_ms if self._fresh_ms is None else max(fresh_ms, self._fresh_ms)

    def fresh_age_ms(self, now_ms: float) -> float | None:
        """Since a primary is known to have held its lease."""
        return now_ms - self._fresh_ms if self._fresh_ms is not None else None

    def take_heartbeat(self, now_ms: float, message: Heartbeat, leaving: bool) -> None:
        """The primary is at work, and tells what is committed."""
        self._hear(now_ms)
        self.known_peers.take(now_ms, message.peers)
        self._core.commit_to(min(message.committed_index, self._matched))
        self._note_lease(message)
        self._answered_ms.setdefault(message.round, now_ms)
        if len(self._answered_ms) > KEPT_ANSWERS:
            del self._answered_ms[next(iter(self._answered_ms))]
        self.answer(now_ms, message.round, leaving)

    def _note_lease(self, message: Heartbeat) -> None:
        """A heartbeat may have been held up on its way, or have waited here: it was sent no earlier than the
        answer that it names, and its age counts from there."""
        sent_after_ms = self._answered_ms.get(message.acknowledged_round)
        if message.fresh_age_ms is None or sent_after_ms is None:
            return
        if self._core.committed_index >= message.committed_index:
            self.note_fresh(sent_after_ms - message.fresh_age_ms)

    def answer(self, now_ms: float, heartbeat_round: int, leaving: bool) -> None:
        """Tell the primary how this replica stands."""
        core, view = self._core, self._core.view
        primary = view.member(view.primary) if view is not None else None
        if primary is None or primary == core.me:
            return
        message = HeartbeatAck(
            core.me.incarnation,
            primary.incarnation,
            core.epoch,
            heartbeat_round,
            core.witness.accepted_epoch,
            min(core.synced_index, self._matched),
            not core.has_sound_disk(now_ms),
            leaving,
        )
        core.send(primary.address, message)

    def take_append(self, now_ms: float, message: AppendEntries) -> None:
        """Entries of the primary; what the log holds otherwise in their place was never committed."""
        self._hear(now_ms)
        entries = tuple(entry for entry in message.entries if entry.index > self._core.committed_index)
        if not self._follows(message):
            self._refuse(message)
            return
        for entry in entries:
            self._take_entry(entry)
        self._match(message.previous_index + len(message.entries))
        self._core.commit_to(min(message.committed_index, self._matched))

    def take_snapshot(self, now_ms: float, message: InstallSnapshot) -> None:
        """A part of the whole state: once it is whole, the log begins anew after it, unless it leads there
        already."""
        self._hear(now_ms)
        core = self._core
        if message.index > core.committed_index:
            if core.log.epoch_at(message.index) == message.entry_epoch:
                core.commit_to(message.index)
            elif not self._install_if_whole(message):
                return
        self._incoming.forget()
        self._match(message.index)

    def _install_if_whole(self, message: InstallSnapshot) -> bool:
        core = self._core
        state = self._incoming.take(message)
        if state is None:
            self._tell_primary(
                SnapshotAck(
                    core.me.incarnation, message.sender, core.epoch, message.index, self._incoming.received
                )
            )
            return False
        core.install(message.index, message.entry_epoch, state)
        core.report("snapshot_installed", index=message.index)
        return True

    def acknowledge(self) -> None:
        """Tell the primary what came onto the disk under its epoch."""
        core, view = self._core, self._core.view
        if view is None or core.journal.durable.epoch != core.epoch:
            return
        synced = min(core.synced_index, self._matched)
        is_whole = self._is_acknowledgement_due and synced == self._matched
        if not is_whole and synced <= self._acknowledged:
            return
        primary = view.member(view.primary)
        if primary is None or primary == core.me:
            return
        self._acknowledged = synced
        self._is_acknowledgement_due = not is_whole and self._is_acknowledgement_due
        core.send(primary.address, AppendAck(core.me.incarnation, primary.incarnation, core.epoch, synced))

    def _hear(self, now_ms: float) -> None:
        self.heard_ms = now_ms
        view = self._core.view
        primary = view.member(view.primary) if view is not None else None
        if primary is not None:
            self.known_peers.hear(now_ms, primary)

    def _follows(self, message: AppendEntries) -> bool:
        """Whether the log holds the entry before these. What is committed is the same everywhere."""
        if message.previous_index <= self._core.committed_index:
            return True
        return self._core.log.epoch_at(message.previous_index) == message.previous_epoch

    def _refuse(self, message: AppendEntries) -> None:
        core = self._core
        refusal = AppendRejected(
            core.me.incarnation, message.sender, core.epoch, message.previous_index, core.committed_index
        )
        self._tell_primary(refusal)

    def _tell_primary(self, message: AppendRejected | SnapshotAck) -> None:
        view = self._core.view
        primary = view.member(view.primary) if view is not None else None
        if primary is not None:
            self._core.send(primary.address, message)

    def _take_entry(self, entry: LogEntry) -> None:
        log = self._core.log
        if log.epoch_at(entry.index) == entry.epoch:
            return
        if entry.index <= log.last_index:
            self._core.truncate(entry.index - 1)
        self._core.append(entry)

    def _match(self, index: int) -> None:
        self._matched = max(self._matched, index)
        self._is_acknowledgement_due = True
