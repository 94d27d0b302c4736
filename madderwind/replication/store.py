"""The durable state of one replica: its log, its register of views, and what is committed.

Changes of the log and of the view go through here, so that each is both in memory and on its way to the disk.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from madderwind.messages.replication import JoinRequest, LogEntry, Member, ReplicationMessage, View
from madderwind.replication.actions import Committed, Send
from madderwind.replication.commands import Command, CommandKind, ReplicatedState
from madderwind.replication.journal import DiskState, DurablePosition, Journal
from madderwind.replication.outbox import Outbox
from madderwind.replication.preparation import CommandPreparer
from madderwind.replication.records import (
    EntryRecord,
    IdentityRecord,
    SnapshotRecord,
    StoredRecord,
    StoredState,
    TruncateRecord,
    ViewRecord,
)
from madderwind.replication.times import ReplicationTimes
from madderwind.replication.view_register import ViewRegister


class StateFactory(msgspec.Struct, frozen=True):
    """How the replicated state machine begins: with nothing, or from a snapshot."""

    empty: Callable[[], ReplicatedState]
    restore: Callable[[bytes], ReplicatedState]


class ReplicaStore:
    """What a replica keeps through a restart, and which messages wait until it is on disk.

    Attributes:
        me: This replica.
        bootstrap: Whether its file was created at the very first start of the system.
        log: The log, committed or not.
        register: The newest view, and what was promised about the next.
        journal: The pending writes.
        preparer: Has long commands prepared before they are applied.
        committed: The state after all entries that are known to be committed.
        committed_index: Index of the last of these entries.
    """

    def __init__(
        self,
        me: Member,
        bootstrap: bool,
        stored: StoredState,
        states: StateFactory,
        times: ReplicationTimes,
        outbox: Outbox,
    ) -> None:
        self.me, self.bootstrap = me, bootstrap
        self.log = stored.log
        self.register = ViewRegister(stored.view, stored.witness)
        self.journal = Journal(times)
        self.preparer = CommandPreparer(outbox)
        self._states, self._outbox = states, outbox
        self.committed = states.empty() if stored.snapshot is None else states.restore(stored.snapshot)
        self.committed_index = stored.snapshot_index
        self._apply_to(min(stored.committed_index, self.log.last_index))

    @property
    def view(self) -> View | None:
        """The newest view that is known to be decided."""
        return self.register.view

    @property
    def epoch(self) -> int:
        """Epoch of that view; 0 before the system was founded."""
        return self.register.epoch

    @property
    def primary(self) -> Member | None:
        """The primary of that view; None before the system was founded."""
        return None if self.view is None else self.view.member(self.view.primary)

    @property
    def is_member(self) -> bool:
        """Whether this replica has a vote."""
        return self.view is not None and self.epoch > 0 and self.view.has_member(self.me.incarnation)

    @property
    def is_in_sync(self) -> bool:
        """Whether this replica holds whatever is committed, as far as it knows."""
        return self.view is not None and self.me.incarnation in self.view.in_sync

    @property
    def synced_index(self) -> int:
        """Up to where the log is on disk; 0 while entries that were taken back may still be there."""
        durable = self.journal.durable
        return durable.last_index if durable.log_generation == self.log.generation else 0

    @property
    def join_request(self) -> JoinRequest:
        """Who this is, for replicas that may not know it."""
        return JoinRequest(self.me.incarnation, "", self.me, self.epoch, self.bootstrap)

    # --- the log ---

    def append(self, entry: LogEntry) -> None:
        """Add an entry, in memory and on its way to the disk."""
        self.log.append(entry)
        self.journal.add(EntryRecord(entry, self.committed_index))

    def truncate(self, last_index: int) -> None:
        """Take back entries that another primary appended and did not commit.

        Raises:
            ValueError: One of them is committed.
        """
        if last_index < self.committed_index:
            raise ValueError(f"entry {self.committed_index} is committed, {last_index} would be the last")
        self.log.truncate(last_index)
        self.journal.add(TruncateRecord(last_index))

    def install(self, index: int, epoch: int, state: bytes) -> None:
        """Begin anew from a snapshot of another replica."""
        self.committed = self._states.restore(state)
        self.committed_index = index
        self.log.reset(index, epoch)
        self.journal.add(SnapshotRecord(index, epoch, state))
        self._outbox.add(Committed(self.committed.version))

    def commit_to(self, index: int, prepared: ReplicatedState | None = None) -> None:
        """Entries up to an index are committed; `prepared` is the state after them where it is at hand.

        Else they are applied up to the first that has to be prepared; the caller commits again.
        """
        if prepared is not None and index > self.committed_index:
            self.committed, self.committed_index = prepared, index
        elif prepared is not None or not self._apply_ready(index):
            return
        self.log.trim(self.committed_index)
        self._outbox.add(Committed(self.committed.version))

    # --- the register of views ---

    def adopt(self, view: View) -> bool:
        """Take over a view that was decided; False where it is not newer."""
        if not self.register.adopt(view):
            return False
        self.journal.add(ViewRecord(view))
        return True

    def record_witness(self) -> None:
        """Have what this witness promised and accepted written."""
        self.journal.add(self.register.record())

    # --- the disk ---

    @property
    def has_identity_on_disk(self) -> bool:
        """Whether the file holds this replica's identity."""
        return self.journal.durable.log_generation >= 0

    def is_disk_healthy(self, now_ms: float) -> bool:
        """Whether writes go through in good time."""
        return self.journal.state is DiskState.READY and not self.journal.is_faulty(now_ms)

    def send_once_synced(self, address: str, message: ReplicationMessage) -> None:
        """Send when all that was recorded so far is on disk."""
        self.journal.send_once_synced(Send(address, message))

    def release(self, sends: list[Send]) -> None:
        """Send messages whose records are on disk now."""
        for send in sends:
            self._outbox.send(send.address, send.message)

    def flush(self, now_ms: float) -> None:
        """Ask the disk for what this event recorded."""
        position = DurablePosition(self.epoch, self.log.generation, self.log.last_index)
        for action in self.journal.flush(now_ms, position, self.all_records):
            if isinstance(action, Send):
                self._outbox.send(action.address, action.message)
            else:
                self._outbox.add(action)

    def all_records(self) -> list[StoredRecord]:
        """The records of a file that holds the whole state."""
        records: list[StoredRecord] = [IdentityRecord(self.me.incarnation, self.bootstrap)]
        if self.view is not None:
            records.append(ViewRecord(self.view))
        records.append(self.register.record())
        epoch = self.log.epoch_at(self.committed_index)
        if epoch is None:
            raise ValueError(f"the committed entry {self.committed_index} is not in the log")
        records.append(SnapshotRecord(self.committed_index, epoch, self.committed.snapshot()))
        for index in range(self.committed_index + 1, self.log.last_index + 1):
            records.append(EntryRecord(self.log.entry(index), self.committed_index))
        return records

    def prepare_next(self) -> None:
        """Have the first entry that is not committed here prepared, if it takes long to apply."""
        if self.committed_index < self.log.last_index:
            self._is_next_ready()

    def _is_next_ready(self) -> bool:
        return self.preparer.is_ready(self.committed, command_of(self.log.entry(self.committed_index + 1)))

    def _apply_ready(self, index: int) -> bool:
        """Apply entries up to an index, or to the first that is not ready; whether there was any."""
        first_index = self.committed_index
        while self.committed_index < index and self._is_next_ready():
            self._apply_to(self.committed_index + 1)
        return self.committed_index > first_index

    def _apply_to(self, index: int) -> None:
        while self.committed_index < index:
            self.committed_index += 1
            self.committed.apply(command_of(self.log.entry(self.committed_index)))


def command_of(entry: LogEntry) -> Command:
    """The command in a log entry."""
    return Command(CommandKind(entry.kind), entry.base_version, entry.body)
