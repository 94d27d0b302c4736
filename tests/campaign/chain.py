"""The configuration with its whole command history, to compare committed state command by command."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import attrs

from madderwind.configuration.history import ConfigurationHistory
from madderwind.configuration.reading import Document
from madderwind.messages.distribution import CommandRecord
from madderwind.replication.commands import Command, CommandResult


@attrs.frozen(eq=False)
class Link:
    """One command in the chain that led to a state. `position` counts from 1."""

    parent: Link | None
    position: int
    command: Command
    version: int


class Snapshots:
    """Maps each snapshot to the last link of the chain that it contains."""

    def __init__(self) -> None:
        self._links: dict[bytes, Link | None] = {}

    def remember(self, data: bytes, newest: Link | None) -> None:
        """Record the last command of a snapshot that was taken."""
        self._links[hashlib.blake2b(data).digest()] = newest

    def newest(self, data: bytes) -> Link | None:
        """Return the last command in a snapshot."""
        return self._links[hashlib.blake2b(data).digest()]


class ChainedHistory:
    """A ConfigurationHistory together with the chain of commands that led to it."""

    def __init__(
        self, snapshots: Snapshots, inner: ConfigurationHistory | None = None, newest: Link | None = None
    ) -> None:
        self.inner = inner if inner is not None else ConfigurationHistory()
        self.newest = newest
        self._snapshots = snapshots

    @property
    def version(self) -> int:
        return self.inner.version

    @property
    def document(self) -> Document | None:
        return self.inner.document

    def commands_since(self, version: int) -> tuple[CommandRecord, ...] | None:
        return self.inner.commands_since(version)

    def preparation(self, command: Command) -> Callable[[], None] | None:
        return self.inner.preparation(command)

    def validate(self, command: Command) -> CommandResult | None:
        return self.inner.validate(command)

    def apply(self, command: Command) -> None:
        self.inner.apply(command)
        position = self.newest.position + 1 if self.newest is not None else 1
        self.newest = Link(self.newest, position, command, self.inner.version)

    def snapshot(self) -> bytes:
        data = self.inner.snapshot()
        self._snapshots.remember(data, self.newest)
        return data

    def copy(self) -> ChainedHistory:
        return ChainedHistory(self._snapshots, self.inner.copy(), self.newest)

    @classmethod
    def restore(cls, snapshots: Snapshots, data: bytes) -> ChainedHistory:
        """Restore the state from a snapshot that any replica of this fleet took."""
        return cls(snapshots, ConfigurationHistory.restore(data), snapshots.newest(data))
