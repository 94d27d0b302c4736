"""What all parts of a replica share: who it is, its log, its states, its disk, and the way out."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec

from madderwind.messages.replication import (
    JoinRequest,
    LogEntry,
    Member,
    Message,
    ReplicationMessage,
    View,
    ViewNotice,
)
from madderwind.replication.api import (
    Action,
    Command,
    CommandKind,
    Committed,
    ReplicatedState,
    Report,
    Send,
)
from madderwind.replication.journal import DiskState, DurableMark, Journal
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
from madderwind.replication.witness import Witness


class StateFactory(msgspec.Struct, frozen=True):
    """How the replicated state machine begins: with nothing, or from a snapshot."""

    empty: Callable[[], ReplicatedState]
    restore: Callable[[bytes], ReplicatedState]


class ReplicaCore:
    """Durable state and outgoing actions of one replica. Changes of the log and of the view go through here,
    so that each is both in memory and on its way to the disk."""

    def __init__(
        self,
        me: Member,
        bootstrap: bool,
        tolerance: int,
        stored: StoredState,
        states: StateFactory,
        rng: random.Random,
        times: ReplicationTimes,
    ) -> None:
        self.me, self.bootstrap, self.tolerance = me, bootstrap, tolerance
        self.rng, self.times = rng, times
        self.log = stored.log
        self.witness = Witness(stored.view, stored.witness)
        self.journal = Journal(times)
        self.actions: list[Action] = []
        self.loopback: deque[ReplicationMessage] = deque()
        self._states = states
        self.committed = states.empty() if stored.snapshot is None else states.restore(stored.snapshot)
        self.committed_index = stored.snapshot_index
        self._apply_to(min(stored.committed_index, self.log.last_index))

    @property
    def view(self) -> View | None:
        """The newest view that is known to be decided."""
        return self.witness.view

    @property
    def epoch(self) -> int:
        """Of that view; 0 before the system was founded."""
        return self.witness.epoch

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

    # --- the way out ---

    def send(self, address: str, message: ReplicationMessage) -> None:
        """Send at once; a message to itself is taken within the same event."""
        if address == self.me.address:
            self.loopback.append(message)
        else:
            self.actions.append(Send(address, message))

    def send_once_synced(self, address: str, message: ReplicationMessage) -> None:
        """Send when all that was recorded so far is on disk."""
        self.journal.send_once_synced(Send(address, message))

    def notify_view(self, address: str, target: str) -> None:
        """Tell the newest view to a replica that does not know it."""
        if self.view is not None and self.epoch > 0:
            self.send(address, ViewNotice(self.me.incarnation, target, self.view))

    def join_request(self) -> JoinRequest:
        """Who this is, for replicas that may not know it."""
        return JoinRequest(self.me.incarnation, "", self.me, self.epoch, self.bootstrap)

    def report(self, event: str, **fields: str | int | float | bool) -> None:
        """Something for the log."""
        self.actions.append(Report(event, fields))

    def is_for_me(self, message: Message) -> bool:
        """Whether it is not meant for another incarnation at this address."""
        return message.target in ("", self.me.incarnation)

    # --- the log ---

    def append(self, entry: LogEntry) -> None:
        """Add an entry, in memory and on its way to the disk."""
        self.log.append(entry)
        self.journal.add(EntryRecord(entry, self.committed_index))

    def truncate(self, last_index: int) -> None:
        """Take back entries that another primary appended and did not commit."""
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
        self.actions.append(Committed(self.committed.version))

    def commit_to(self, index: int, prepared: ReplicatedState | None = None) -> None:
        """Entries up to an index are committed; `prepared` is the state after them where it is at hand."""
        if index <= self.committed_index:
            return
        if prepared is None:
            self._apply_to(index)
        else:
            self.committed, self.committed_index = prepared, index
        self.log.trim(self.committed_index)
        self.actions.append(Committed(self.committed.version))

    # --- the register ---

    def adopt(self, view: View) -> bool:
        """Take over a view that was decided; False where it is not newer."""
        if not self.witness.adopt(view):
            return False
        self.journal.add(ViewRecord(view))
        return True

    def record_witness(self) -> None:
        """Have what this witness promised and accepted written."""
        self.journal.add(self.witness.record())

    # --- the disk ---

    def flush(self, now_ms: float) -> None:
        """Ask the disk for what this event recorded."""
        mark = DurableMark(self.epoch, self.log.generation, self.log.last_index)
        for action in self.journal.flush(now_ms, mark, self._whole_file):
            if isinstance(action, Send):
                self.send(action.address, action.message)
            else:
                self.actions.append(action)

    def release(self, sends: list[Send]) -> None:
        """Messages whose records are on disk now."""
        for send in sends:
            self.send(send.address, send.message)

    @property
    def is_founded_on_disk(self) -> bool:
        """Whether the file holds this replica's identity."""
        return self.journal.durable.log_generation >= 0

    def has_sound_disk(self, now_ms: float) -> bool:
        """Whether writes go through in good time."""
        return self.journal.state is DiskState.READY and not self.journal.is_in_trouble(now_ms)

    def _whole_file(self) -> list[StoredRecord]:
        records: list[StoredRecord] = [IdentityRecord(self.me.incarnation, self.bootstrap)]
        if self.view is not None:
            records.append(ViewRecord(self.view))
        records.append(self.witness.record())
        epoch = self.log.epoch_at(self.committed_index)
        if epoch is None:
            raise ValueError(f"the committed entry {self.committed_index} is not in the log")
        records.append(SnapshotRecord(self.committed_index, epoch, self.committed.snapshot()))
        for index in range(self.committed_index + 1, self.log.last_index + 1):
            records.append(EntryRecord(self.log.entry(index), self.committed_index))
        return records

    def _apply_to(self, index: int) -> None:
        while self.committed_index < index:
            self.committed_index += 1
            self.committed.apply(command_of(self.log.entry(self.committed_index)))


def command_of(entry: LogEntry) -> Command:
    """The command in an entry."""
    return Command(CommandKind(entry.kind), entry.base_version, entry.body)
