"""Events: what the host of a replica hands to `Replica.handle`."""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.commands import Command


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


class PreparationCompleted(msgspec.Struct, frozen=True):
    """What `Prepare` asked for was called, and has returned or failed."""

    token: int


class TimePassed(msgspec.Struct, frozen=True):
    """Nothing happened but time; due at least every 25 ms."""


class CommandSubmitted(msgspec.Struct, frozen=True):
    """An operator's command reached this replica."""

    token: int
    command: Command


class ReadSubmitted(msgspec.Struct, frozen=True):
    """The operator asks for the newest configuration."""

    token: int


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings file names other control planes now, by internal address."""

    seeds: tuple[str, ...]


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process is about to end: the primary's role is to be transferred where it is held."""


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
