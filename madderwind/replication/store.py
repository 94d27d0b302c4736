"""The durable state of one replica: its log, its view register and the committed state.

All changes of the log and of the view go through this module, which applies them in memory and records them
in the journal.
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
    """Constructors of the replicated state machine: empty, or from a snapshot."""

    empty: Callable[[], ReplicatedState]
    restore: Callable[[bytes], ReplicatedState]


class ReplicaStore:
    """What a replica retains across restarts, and the messages that wait until it is durable.

    Attributes:
        me: This replica.
        bootstrap: Whether its file was created at the first start of the whole system.
        log: The log, including uncommitted entries.
        register: The newest view, and the promises made for the next one.
        journal: The pending writes.
        preparer: Requests the preparation of long commands before they are applied.
        committed: The state after all entries known to be committed.
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
        """The newest view known to be decided."""
        return self.register.view

    @property
    def epoch(self) -> int:
        """Epoch of that view; 0 before the system was bootstrapped."""
        return self.register.epoch

    @property
    def primary(self) -> Member | None:
        """The primary of that view; None before the system was bootstrapped."""
        return None if self.view is None else self.view.member(self.view.primary)

    @property
    def is_member(self) -> bool:
        """Whether this replica has a vote."""
        return self.view is not None and self.epoch > 0 and self.view.has_member(self.me.incarnation)

    @property
    def is_in_sync(self) -> bool:
        """Whether this replica holds all committed entries, as far as it knows: it is in the in-sync set."""
        return self.view is not None and self.me.incarnation in self.view.in_sync

    @property
    def synced_index(self) -> int:
        """Index up to which the log is durable; 0 while truncated entries may still be on disk."""
        durable = self.journal.durable
        return durable.last_index if durable.log_generation == self.log.generation else 0

    @property
    def join_request(self) -> JoinRequest:
        """A join request that introduces this replica to others that may not know it."""
        return JoinRequest(self.me.incarnation, "", self.me, self.epoch, self.bootstrap)

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and record it in the journal."""
        self.log.append(entry)
        self.journal.add(EntryRecord(entry, self.committed_index))

    def truncate(self, last_index: int) -> None:
        """Remove the entries after an index, which another primary appended and did not commit.

        Raises:
            ValueError: One of these entries is committed.
        """
        if last_index < self.committed_index:
            raise ValueError(
                f"entry {self.committed_index} is committed; can't truncate the log after entry {last_index}"
            )
        self.log.truncate(last_index)
        self.journal.add(TruncateRecord(last_index))

    def install(self, index: int, epoch: int, state: bytes) -> None:
        """Replace the state and the log by a snapshot from another replica."""
        self.committed = self._states.restore(state)
        self.committed_index = index
        self.log.reset(index, epoch)
        self.journal.add(SnapshotRecord(index, epoch, state))
        self._outbox.add(Committed(self.committed.version))

    def commit_to(self, index: int, prepared: ReplicatedState | None = None) -> None:
        """Commit the entries up to an index; `prepared` is the state after them, if available.

        Without it the entries are applied up to the first that has to be prepared; once it is, the caller
        commits again.
        """
        if prepared is not None and index > self.committed_index:
            self.committed, self.committed_index = prepared, index
        elif prepared is not None or not self._apply_ready(index):
            return
        self.log.trim(self.committed_index)
        self._outbox.add(Committed(self.committed.version))

    def adopt(self, view: View) -> bool:
        """Adopt a decided view; return False if it is not newer than the present one."""
        if not self.register.adopt(view):
            return False
        self.journal.add(ViewRecord(view))
        return True

    def record_witness(self) -> None:
        """Record in the journal what this witness promised and accepted."""
        self.journal.add(self.register.record())

    @property
    def has_identity_on_disk(self) -> bool:
        """Whether the file holds this replica's identity."""
        return self.journal.durable.log_generation >= 0

    def is_disk_healthy(self, now_ms: float) -> bool:
        """Whether writes succeed in time."""
        return self.journal.state is DiskState.READY and not self.journal.is_faulty(now_ms)

    def send_once_synced(self, address: str, message: ReplicationMessage) -> None:
        """Send a message once everything recorded so far is durable."""
        self.journal.send_once_synced(Send(address, message))

    def release(self, sends: list[Send]) -> None:
        """Send messages whose records are durable now."""
        for send in sends:
            self._outbox.send(send.address, send.message)

    def flush(self, now_ms: float) -> None:
        """Issue the write for the records of this event, or the messages that need none."""
        position = DurablePosition(self.epoch, self.log.generation, self.log.last_index)
        for action in self.journal.flush(now_ms, position, self.all_records):
            if isinstance(action, Send):
                self._outbox.send(action.address, action.message)
            else:
                self._outbox.add(action)

    def all_records(self) -> list[StoredRecord]:
        """Return the records of a rewritten file, which holds the whole state."""
        records: list[StoredRecord] = [IdentityRecord(self.me.incarnation, self.bootstrap)]
        if self.view is not None:
            records.append(ViewRecord(self.view))
        records.append(self.register.record())
        epoch = self.log.epoch_at(self.committed_index)
        if epoch is None:
            raise ValueError(f"committed entry {self.committed_index} is not in the log")
        records.append(SnapshotRecord(self.committed_index, epoch, self.committed.snapshot()))
        for index in range(self.committed_index + 1, self.log.last_index + 1):
            records.append(EntryRecord(self.log.entry(index), self.committed_index))
        return records

    def prepare_next(self) -> None:
        """Request the preparation of the first entry not committed here, if it takes long to apply."""
        if self.committed_index < self.log.last_index:
            self._is_next_ready()

    def _is_next_ready(self) -> bool:
        return self.preparer.is_ready(self.committed, command_of(self.log.entry(self.committed_index + 1)))

    def _apply_ready(self, index: int) -> bool:
        """Apply entries up to an index or the first that is not ready; return whether any was applied."""
        first_index = self.committed_index
        while self.committed_index < index and self._is_next_ready():
            self._apply_to(self.committed_index + 1)
        return self.committed_index > first_index

    def _apply_to(self, index: int) -> None:
        while self.committed_index < index:
            self.committed_index += 1
            self.committed.apply(command_of(self.log.entry(self.committed_index)))


def command_of(entry: LogEntry) -> Command:
    """Return the command in a log entry."""
    return Command(CommandKind(entry.kind), entry.base_version, entry.body)
