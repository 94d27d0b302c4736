"""Commands and reads that wait at the primary for a proof."""

from __future__ import annotations

import msgspec

from madderwind.replication.api import Action, CommandOutcome, CommandResolved, CommandResult, ReadResolved
from madderwind.replication.rounds import HeartbeatRounds

UNCLEAR = CommandResult(CommandOutcome.UNCLEAR)
# More at once are answered UNCLEAR: every one may hold a body of several MiB.
MOST_WAITING = 64


class _PendingCommand(msgspec.Struct, frozen=True):
    """`index`: what must be committed first; `round`: what must be confirmed first (0: nothing)."""

    token: int
    result: CommandResult
    index: int
    round: int
    deadline_ms: float


class _WaitingRead(msgspec.Struct, frozen=True):
    token: int
    index: int
    round: int
    deadline_ms: float


class WaitingRequests:
    """Every request gets exactly one end."""

    def __init__(self) -> None:
        self._commands: list[_PendingCommand] = []
        self._reads: list[_WaitingRead] = []

    @property
    def is_full(self) -> bool:
        """Whether no further command may wait."""
        return len(self._commands) >= MOST_WAITING

    @property
    def needed_round(self) -> int:
        """The newest round that anything waits for."""
        of_commands = max((command.round for command in self._commands), default=0)
        of_reads = max((read.round for read in self._reads), default=0)
        return max(of_commands, of_reads)

    def add_command(
        self, token: int, result: CommandResult, index: int, needed_round: int, deadline_ms: float
    ) -> None:
        """A command whose result holds once an entry is committed and a round confirmed."""
        self._commands.append(_PendingCommand(token, result, index, needed_round, deadline_ms))

    def add_read(self, token: int, index: int, needed_round: int, deadline_ms: float) -> None:
        """A read that is the newest once an entry is committed and a round confirmed."""
        self._reads.append(_WaitingRead(token, index, needed_round, deadline_ms))

    def resolve(self, now_ms: float, committed_index: int, rounds: HeartbeatRounds) -> list[Action]:
        """The ends of those that are proven or have waited for too long."""
        actions: list[Action] = []
        open_commands, open_reads = [], []
        for command in self._commands:
            if command.index <= committed_index and command.round <= rounds.last_confirmed:
                actions.append(CommandResolved(command.token, command.result))
            elif now_ms >= command.deadline_ms:
                actions.append(CommandResolved(command.token, UNCLEAR))
            else:
                open_commands.append(command)
        for read in self._reads:
            if read.index <= committed_index and read.round <= rounds.last_confirmed:
                actions.append(ReadResolved(read.token, is_newest=True))
            elif now_ms >= read.deadline_ms:
                actions.append(ReadResolved(read.token, is_newest=False))
            else:
                open_reads.append(read)
        self._commands, self._reads = open_commands, open_reads
        return actions

    def give_up(self) -> list[Action]:
        """The role is lost: nothing can be told any more."""
        commands: list[Action] = [CommandResolved(command.token, UNCLEAR) for command in self._commands]
        reads: list[Action] = [ReadResolved(read.token, is_newest=False) for read in self._reads]
        self._commands, self._reads = [], []
        return commands + reads
