"""A small replicated state machine with the rules for operators: one command may follow each version."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from madderwind.replication.commands import Command, CommandKind, CommandOutcome, CommandResult


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A command's body: the version that it produces, and a name that identifies the sender."""

    version: int
    name: str
    padding: str = ""


def command(base_version: int, version: int, name: str, padding: str = "") -> Command:
    """A command that leads from one version to another."""
    body = msgspec.msgpack.encode(Change(version, name, padding))
    return Command(CommandKind.REPLACE, base_version, body)


def change_of(body: bytes) -> Change:
    """The decoded body of a command."""
    return msgspec.msgpack.decode(body, type=Change)


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    bodies: tuple[tuple[int, bytes], ...]


class Register:
    """Implements madderwind.replication.commands.ReplicatedState. `taken`: base version and body of all
    commands."""

    def __init__(self) -> None:
        self.taken: list[tuple[int, bytes]] = []

    @property
    def version(self) -> int:
        return change_of(self.taken[-1][1]).version if self.taken else 0

    def preparation(self, command: Command) -> Callable[[], None] | None:
        return None

    def validate(self, command: Command) -> CommandResult | None:
        if (command.base_version, command.body) in self.taken:
            return CommandResult(CommandOutcome.COMMITTED, self.version)
        if command.base_version != self.version:
            return CommandResult(CommandOutcome.STALE_BASE, self.version)
        if change_of(command.body).version <= self.version:
            return CommandResult(CommandOutcome.INVALID, self.version, "version", "not above the current one")
        return None

    def apply(self, command: Command) -> None:
        if self.validate(command) is not None:
            raise ValueError(f"{command} does not follow version {self.version}")
        self.taken.append((command.base_version, command.body))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(_Snapshot(tuple(self.taken)))

    @classmethod
    def restore(cls, data: bytes) -> Register:
        register = cls()
        register.taken = list(msgspec.msgpack.decode(data, type=_Snapshot).bodies)
        return register

    def copy(self) -> Register:
        register = Register()
        register.taken = self.taken.copy()
        return register
