"""The record types of a replica's file, and the state restored from them."""

from __future__ import annotations

import msgspec

from madderwind.errors import MessageError
from madderwind.messages.codec import Codec
from madderwind.messages.replication import NO_PROPOSAL, LogEntry, ProposalNumber, View
from madderwind.replication.log import ReplicatedLog


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all records; each subclass states its tag in the file."""


class IdentityRecord(Record, frozen=True, tag="IdentityRecord"):
    """The replica that the file belongs to.

    Attributes:
        incarnation: Random identifier chosen when the file was created; it lasts as long as the disk.
        bootstrap: Whether the file was created at the first start of the whole system.
    """

    incarnation: str
    bootstrap: bool


class ViewRecord(Record, frozen=True, tag="ViewRecord"):
    """A decided view; promises made for its epoch are obsolete."""

    view: View


class WitnessRecord(Record, frozen=True, tag="WitnessRecord"):
    """What this witness promised and accepted for the epoch that follows the newest view."""

    promised: ProposalNumber
    accepted_number: ProposalNumber
    accepted_view: View | None


class EntryRecord(Record, frozen=True, tag="EntryRecord"):
    """The next log entry; `committed_index` is the last index known to be committed at that time."""

    entry: LogEntry
    committed_index: int


class TruncateRecord(Record, frozen=True, tag="TruncateRecord"):
    """Removal of the entries after `last_index`, which another primary appended and never committed."""

    last_index: int


class SnapshotRecord(Record, frozen=True, tag="SnapshotRecord"):
    """The state after the committed entry `index`; the log continues after it."""

    index: int
    epoch: int
    state: bytes


StoredRecord = IdentityRecord | ViewRecord | WitnessRecord | EntryRecord | TruncateRecord | SnapshotRecord

# Its compressed form fits into a record of a file (storage.records.MAX_RECORD_BYTES).
MAX_STORED_RECORD_BYTES = 60 * 1024 * 1024
stored_records: Codec[StoredRecord] = Codec(StoredRecord, MAX_STORED_RECORD_BYTES)


class StoredState:
    """The state restored from a replica's file; `snapshot` is the state at `snapshot_index`."""

    def __init__(self) -> None:
        self.identity: IdentityRecord | None = None
        self.view: View | None = None
        self.witness = WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None)
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None
        self.snapshot_index = 0
        self.committed_index = 0

    def apply(self, record: StoredRecord) -> None:
        """Apply the next record of the file."""
        match record:
            case IdentityRecord():
                self.identity = record
            case ViewRecord(view):
                self.view = view
                self.witness = WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None)
            case WitnessRecord():
                self.witness = record
            case EntryRecord(entry, committed_index):
                self.log.append(entry)
                self.committed_index = max(self.committed_index, committed_index)
            case TruncateRecord(last_index):
                self.log.truncate(last_index)
            case SnapshotRecord(index, epoch, state):
                self.log.reset(index, epoch)
                self.snapshot, self.snapshot_index = state, index
                self.committed_index = max(self.committed_index, index)


def stored_state(records: tuple[bytes, ...]) -> StoredState:
    """Restore the state from the records of a file.

    Raises:
        MessageError: A record has an unknown type, or the file has no identity record.
    """
    state = StoredState()
    for record in records:
        state.apply(stored_records.decode(record))
    if records and state.identity is None:
        raise MessageError("replica file has no identity record")
    return state
