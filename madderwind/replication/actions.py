"""Actions that `Replica.handle` returns and the host executes in order."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from madderwind.log_events.event import LogLine
from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.commands import CommandResult


class Send(msgspec.Struct, frozen=True):
    """Send a message to the replica at this internal address, without guaranteed delivery."""

    address: str
    message: ReplicationMessage


class Write(msgspec.Struct, frozen=True):
    """Append records to the replica's file and sync it; completes with WriteCompleted or WriteFailed.

    Writes are executed in order. Writes requested during a sync may share the next sync.
    """

    token: int
    records: tuple[bytes, ...]


class Rewrite(msgspec.Struct, frozen=True):
    """Atomically replace the replica's file by one with only these records.

    Completes with WriteCompleted or WriteFailed. Also used to recover from a failed write.
    """

    token: int
    records: tuple[bytes, ...]


class Prepare(msgspec.Struct, frozen=True):
    """Call `preparation` on any thread outside the event loop; completes with PreparationCompleted.

    PreparationCompleted is also due if the call fails. There is no time limit, and a preparation that never
    ends delays only its own command.
    """

    token: int
    preparation: Callable[[], None]


class CommandResolved(msgspec.Struct, frozen=True):
    """The result of a command that was submitted to this replica."""

    token: int
    result: CommandResult


class ReadResolved(msgspec.Struct, frozen=True):
    """The result of a read: whether a majority confirmed that `Replica.committed` is the newest state."""

    token: int
    is_newest: bool


class Committed(msgspec.Struct, frozen=True):
    """The committed configuration, `Replica.committed`, changed to this version."""

    version: int


Action = Send | Write | Rewrite | Prepare | CommandResolved | ReadResolved | Committed | LogLine
