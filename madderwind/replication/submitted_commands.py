"""Commands that wait at the primary for its decision, while they or others before them are prepared."""

from __future__ import annotations

from collections import deque

import msgspec

from madderwind.replication.actions import Action, CommandResolved
from madderwind.replication.commands import UNKNOWN_RESULT, Command

# More at once are answered UNKNOWN: every one may hold a body of several MiB.
MAX_SUBMITTED_COMMANDS = 64


class SubmittedCommand(msgspec.Struct, frozen=True):
    """A command on which nothing is decided yet.

    Attributes:
        token: Names the call.
        command: What is to be decided on.
        deadline_ms: When the caller gets no clear answer and the command is dropped, ms on the steady clock.
    """

    token: int
    command: Command
    deadline_ms: float


class SubmittedCommands:
    """In the order in which they came: a long command does not lose its turn to a short one behind it."""

    def __init__(self) -> None:
        self._commands: deque[SubmittedCommand] = deque()

    @property
    def is_full(self) -> bool:
        """Whether no further command may wait."""
        return len(self._commands) >= MAX_SUBMITTED_COMMANDS

    @property
    def first(self) -> SubmittedCommand | None:
        """The command whose turn it is; None where none waits."""
        return self._commands[0] if self._commands else None

    def add(self, now_ms: float, token: int, command: Command) -> None:
        """A command comes in."""
        self._commands.append(SubmittedCommand(token, command, now_ms + command.answer_timeout_ms))

    def remove_first(self) -> None:
        """The command whose turn it is is decided on."""
        self._commands.popleft()

    def expire(self, now_ms: float) -> list[Action]:
        """The ends of commands that waited for too long; nothing of them takes effect any more."""
        expired = [command for command in self._commands if now_ms >= command.deadline_ms]
        if expired:
            self._commands = deque(command for command in self._commands if now_ms < command.deadline_ms)
        return _unknown(expired)

    def give_up(self) -> list[Action]:
        """The role is lost: nothing is decided here any more."""
        given_up = list(self._commands)
        self._commands.clear()
        return _unknown(given_up)


def _unknown(commands: list[SubmittedCommand]) -> list[Action]:
    return [CommandResolved(command.token, UNKNOWN_RESULT) for command in commands]
