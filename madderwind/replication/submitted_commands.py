"""Commands that wait for the primary's decision while they or earlier commands are being prepared."""

from __future__ import annotations

from collections import deque

import msgspec

from madderwind.replication.actions import Action, CommandResolved
from madderwind.replication.commands import UNKNOWN_RESULT, Command

# Bounds memory, as each command may hold a body of several MiB; further ones are answered UNKNOWN.
MAX_SUBMITTED_COMMANDS = 64


class SubmittedCommand(msgspec.Struct, frozen=True):
    """A command that has not been decided on yet.

    Attributes:
        token: Identifies the call.
        command: The command to decide on.
        deadline_ms: When the command is dropped and answered UNKNOWN, ms on the steady clock.
    """

    token: int
    command: Command
    deadline_ms: float


class SubmittedCommands:
    """A FIFO queue: a long command is decided on before a short one submitted after it."""

    def __init__(self) -> None:
        self._commands: deque[SubmittedCommand] = deque()

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no further command."""
        return len(self._commands) >= MAX_SUBMITTED_COMMANDS

    @property
    def first(self) -> SubmittedCommand | None:
        """The command to decide on next; None if the queue is empty."""
        return self._commands[0] if self._commands else None

    def add(self, now_ms: float, token: int, command: Command) -> None:
        """Append a command to the queue."""
        self._commands.append(SubmittedCommand(token, command, now_ms + command.answer_timeout_ms))

    def remove_first(self) -> None:
        """Remove the first command, which has been decided on."""
        self._commands.popleft()

    def expire(self, now_ms: float) -> list[Action]:
        """Remove commands past their deadline, which take no effect; return their UNKNOWN results."""
        expired = [command for command in self._commands if now_ms >= command.deadline_ms]
        if expired:
            self._commands = deque(command for command in self._commands if now_ms < command.deadline_ms)
        return _unknown(expired)

    def abort_all(self) -> list[Action]:
        """Remove all commands, as this replica is no longer primary; return their UNKNOWN results."""
        aborted = list(self._commands)
        self._commands.clear()
        return _unknown(aborted)


def _unknown(commands: list[SubmittedCommand]) -> list[Action]:
    return [CommandResolved(command.token, UNKNOWN_RESULT) for command in commands]
