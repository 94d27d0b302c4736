"""The records in a replica's file, and the state that they add up to."""

from __future__ import annotations

import msgspec

from madderwind.errors import MessageError
from madderwind.messages.codec import Codec
from madderwind.messages.replication import NO_PROPOSAL, LogEntry, ProposalNumber, View
from madderwind.replication.log import ReplicatedLog


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The base of all records; each names its tag in the file."""


class IdentityRecord(Record, frozen=True, tag="IdentityRecord"):
    """Who the file belongs to.

    Attributes:
        incarnation: Drawn when the file was created; lasts as long as the disk.
        bootstrap: Whether that was at the very first start of the system.
    """

    incarnation: str
    bootstrap: bool


class ViewRecord(Record, frozen=True, tag="ViewRecord"):
    """A view that was decided. What was promised about its epoch no longer matters."""

    view: View


class WitnessRecord(Record, frozen=True, tag="WitnessRecord"):
    """What this witness promised and accepted for the epoch that follows the newest view."""

    promised: ProposalNumber
    accepted_number: ProposalNumber
    accepted_view: View | None


class EntryRecord(Record, frozen=True, tag="EntryRecord"):
    """The next entry of the log; `committed_index`: how far the log was known to be committed then."""

    entry: LogEntry
    committed_index: int


class TruncateRecord(Record, frozen=True, tag="TruncateRecord"):
    """The entries after `last_index` were another primary's, and never committed."""

    last_index: int


class SnapshotRecord(Record, frozen=True, tag="SnapshotRecord"):
    """The state after the committed entry `index`; the log goes on from here."""

    index: int
    epoch: int
    state: bytes


StoredRecord = IdentityRecord | ViewRecord | WitnessRecord | EntryRecord | TruncateRecord | SnapshotRecord

stored_records: Codec[StoredRecord] = Codec(StoredRecord)


class StoredState:
    """Everything that a replica's file tells; `snapshot` is the state at `snapshot_index`."""

    def __init__(self) -> None:
        self.identity: IdentityRecord | None = None
        self.view: View | None = None
        self.witness = WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None)
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None
        self.snapshot_index = 0
        self.committed_index = 0

    def apply(self, record: StoredRecord) -> None:
        """Add the next record of the file."""
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
    """The state in a file's records.

    Raises:
        MessageError: A record is of an unknown kind, or the file does not name its owner.
    """
    state = StoredState()
    for record in records:
        state.apply(stored_records.decode(record))
    if records and state.identity is None:
        raise MessageError("the file has no identity record")
    return state
