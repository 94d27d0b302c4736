"""What the host of a replica hands in and carries out. The replica itself does no input or output.

The host calls `Replica.handle(now_ms, event)` with the steady clock's milliseconds and carries out the
actions that come back, in order. `TimePassed` comes at least every 25 ms.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from madderwind.messages.replication import ReplicationMessage


class CommandKind(Enum):
    """How an operator's command changes the configuration."""

    REPLACE = "replace"
    UPDATE = "update"


class Command(msgspec.Struct, frozen=True):
    """One command of the operator, as it came."""

    kind: CommandKind
    base_version: int
    body: bytes


class CommandOutcome(Enum):
    """How a command ended."""

    TAKEN = "taken"  # acknowledged: it is on disk at as many machines as the promise needs
    STALE_BASE = "stale base"  # another version is current
    INVALID = "invalid"
    UNCLEAR = "unclear"  # this replica can't tell: the caller asks again elsewhere


class CommandResult(msgspec.Struct, frozen=True):
    """`version` is the current one; `field` and `reason` tell what is invalid."""

    outcome: CommandOutcome
    version: int = 0
    field: str = ""
    reason: str = ""


class ReplicatedState(Protocol):
    """The state machine that is replicated: madderwind.configuration.history implements it."""

    @property
    def version(self) -> int:
        """The current version; 0 before the first command."""

    def decide(self, command: Command) -> CommandResult | None:
        """None: the command is valid on top of the present state and is to be appended. Else its result:
        TAKEN where that very command was applied before, STALE_BASE or INVALID."""

    def apply(self, command: Command) -> None:
        """Change the state by a command that `decide` let pass on the same state."""

    def snapshot(self) -> bytes:
        """The whole state, history included."""

    def copy(self) -> ReplicatedState:
        """An independent copy (cheap: documents are never changed in place)."""


# --- events ---


class MessageReceived(msgspec.Struct, frozen=True):
    """A message of another replica; `sender` is its internal address."""

    sender: str
    message: ReplicationMessage


class WriteCompleted(msgspec.Struct, frozen=True):
    """What `Write` or `Rewrite` asked for is on disk, synced."""

    token: int


class WriteFailed(msgspec.Struct, frozen=True):
    """The disk refused it; nothing of it may be relied on."""

    token: int


class TimePassed(msgspec.Struct, frozen=True):
    """Nothing happened but time."""


class CommandSubmitted(msgspec.Struct, frozen=True):
    """An operator's command reached this replica."""

    token: int
    command: Command


class ReadSubmitted(msgspec.Struct, frozen=True):
    """The operator asks for the newest configuration."""

    token: int


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings file names other control planes now (internal addresses)."""

    seeds: tuple[str, ...]


class LeaveRequested(msgspec.Struct, frozen=True):
    """The process is about to end: hand the primary's role over where it is held."""


Event = (
    MessageReceived
    | WriteCompleted
    | WriteFailed
    | TimePassed
    | CommandSubmitted
    | ReadSubmitted
    | SeedsChanged
    | LeaveRequested
)

# --- actions ---


class Send(msgspec.Struct, frozen=True):
    """Send to the replica at this internal address, best effort."""

    address: str
    message: ReplicationMessage


class Write(msgspec.Struct, frozen=True):
    """AppendEntries these records to the replica's file and sync; then WriteCompleted or WriteFailed. Writes
    are done in order; records asked for while a sync is running may share the next one."""

    token: int
    records: tuple[bytes, ...]


class Rewrite(msgspec.Struct, frozen=True):
    """Replace the replica's file by one with just these records, atomically (new file, sync, rename, sync
    of the folder); then WriteCompleted or WriteFailed. Also the way back after a failed write."""

    token: int
    records: tuple[bytes, ...]


class CommandResolved(msgspec.Struct, frozen=True):
    """The end of a command submitted here."""

    token: int
    result: CommandResult


class ReadResolved(msgspec.Struct, frozen=True):
    """The end of a read: whether `Replica.committed` is the newest there is, proven by a majority."""

    token: int
    is_newest: bool


class Committed(msgspec.Struct, frozen=True):
    """The committed configuration changed; it is `Replica.committed`."""

    version: int


class Report(msgspec.Struct, frozen=True):
    """Something for the log."""

    event: str
    fields: dict[str, str | int | float | bool]


Action = Send | Write | Rewrite | CommandResolved | ReadResolved | Committed | Report


class ReplicaStatus(msgspec.Struct, frozen=True):
    """How a replica stands: `primary` is the internal address of the primary it follows, empty if unknown;
    `fresh_age_ms`: since a primary is known to have held its lease, with nothing acknowledged by then that is
    not committed here; `in_sync`: those whose word every commit needs; `is_needed`: it is the primary or one
    of these, so that its process should not end yet."""

    is_primary: bool
    primary: str
    epoch: int
    committed_version: int
    fresh_age_ms: float | None
    members: tuple[str, ...]  # internal addresses
    in_sync: tuple[str, ...] = ()  # internal addresses
    is_needed: bool = False
