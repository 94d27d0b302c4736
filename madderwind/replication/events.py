"""Events that the host of a replica passes to `Replica.handle`."""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.commands import Command


class MessageReceived(msgspec.Struct, frozen=True):
    """A message from another replica; `sender` is its internal address."""

    sender: str
    message: ReplicationMessage


class WriteCompleted(msgspec.Struct, frozen=True):
    """The records of a `Write` or `Rewrite` are on disk and synced."""

    token: int


class WriteFailed(msgspec.Struct, frozen=True):
    """A `Write` or `Rewrite` failed; none of its records may be relied on."""

    token: int


class PreparationCompleted(msgspec.Struct, frozen=True):
    """The preparation of a `Prepare` has returned or failed."""

    token: int


class TimePassed(msgspec.Struct, frozen=True):
    """Time has passed without another event; the host sends this at least every 25 ms."""


class CommandSubmitted(msgspec.Struct, frozen=True):
    """An operator's command was received by this replica."""

    token: int
    command: Command


class ReadSubmitted(msgspec.Struct, frozen=True):
    """An operator's read of the newest configuration was received."""

    token: int


class SeedsChanged(msgspec.Struct, frozen=True):
    """The list of seeds in the settings file changed; `seeds` are internal addresses."""

    seeds: tuple[str, ...]


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process is about to exit; a primary should transfer leadership first."""


Event = (
    MessageReceived
    | WriteCompleted
    | WriteFailed
    | PreparationCompleted
    | TimePassed
    | CommandSubmitted
    | ReadSubmitted
    | SeedsChanged
    | ShutdownRequested
)
