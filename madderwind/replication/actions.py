"""Actions: what `Replica.handle` returns, for the host to carry out in order."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from madderwind.log_events.event import LogLine
from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.commands import CommandResult


class Send(msgspec.Struct, frozen=True):
    """Send to the replica at this internal address, best effort."""

    address: str
    message: ReplicationMessage


class Write(msgspec.Struct, frozen=True):
    """Append these records to the replica's file and sync; then WriteCompleted or WriteFailed.

    Writes are done in order; records asked for while a sync is running may share the next one.
    """

    token: int
    records: tuple[bytes, ...]


class Rewrite(msgspec.Struct, frozen=True):
    """Replace the replica's file by one with just these records, atomically.

    Then WriteCompleted or WriteFailed.

    Also the way back after a failed write.
    """

    token: int
    records: tuple[bytes, ...]


class Prepare(msgspec.Struct, frozen=True):
    """Call `preparation` beside the event loop, on any thread; then PreparationCompleted, however it ended.

    No answer is due within a time, and a preparation that never ends delays its command alone.
    """

    token: int
    preparation: Callable[[], None]


class CommandResolved(msgspec.Struct, frozen=True):
    """The end of a command that was submitted here."""

    token: int
    result: CommandResult


class ReadResolved(msgspec.Struct, frozen=True):
    """The end of a read: whether `Replica.committed` is the newest state, proven by a majority."""

    token: int
    is_newest: bool


class Committed(msgspec.Struct, frozen=True):
    """The committed configuration changed; it is `Replica.committed`."""

    version: int


Action = Send | Write | Rewrite | Prepare | CommandResolved | ReadResolved | Committed | LogLine
