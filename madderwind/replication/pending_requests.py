"""Commands and reads at the primary whose results wait for a commit or for a heartbeat round."""

from __future__ import annotations

import msgspec

from madderwind.replication.actions import Action, CommandResolved, ReadResolved
from madderwind.replication.commands import UNKNOWN_RESULT, CommandResult
from madderwind.replication.heartbeat_rounds import HeartbeatRounds

# Bounds memory, as each command may hold a body of several MiB; further ones are answered UNKNOWN.
MAX_PENDING_COMMANDS = 64


class Proof(msgspec.Struct, frozen=True):
    """Precondition of a result: a committed entry and a confirmed heartbeat round.

    Attributes:
        index: Index of the entry that must be committed.
        round: The heartbeat round that must be confirmed; 0 for none.
        deadline_ms: When to stop waiting, ms on the steady clock.
    """

    index: int
    round: int
    deadline_ms: float

    def is_given(self, committed_index: int, rounds: HeartbeatRounds) -> bool:
        """Whether the entry is committed and the round confirmed."""
        return self.index <= committed_index and self.round <= rounds.last_confirmed


class _PendingCommand(msgspec.Struct, frozen=True):
    token: int
    result: CommandResult
    proof: Proof


class _PendingRead(msgspec.Struct, frozen=True):
    token: int
    proof: Proof


class PendingRequests:
    """The waiting requests; each one gets exactly one result."""

    def __init__(self) -> None:
        self._commands: list[_PendingCommand] = []
        self._reads: list[_PendingRead] = []

    @property
    def is_full(self) -> bool:
        """Whether no further request is accepted."""
        return len(self._commands) >= MAX_PENDING_COMMANDS

    @property
    def needed_round(self) -> int:
        """The newest round that a request waits for."""
        of_commands = max((command.proof.round for command in self._commands), default=0)
        of_reads = max((read.proof.round for read in self._reads), default=0)
        return max(of_commands, of_reads)

    def add_command(self, token: int, result: CommandResult, proof: Proof) -> None:
        """Add a command whose result is valid once the proof holds."""
        self._commands.append(_PendingCommand(token, result, proof))

    def add_read(self, token: int, proof: Proof) -> None:
        """Add a read, whose state is confirmed as the newest once the proof holds."""
        self._reads.append(_PendingRead(token, proof))

    def resolve(self, now_ms: float, committed_index: int, rounds: HeartbeatRounds) -> list[Action]:
        """Remove requests whose proof holds or whose deadline has passed; return their results."""
        return [
            *self._resolve_commands(now_ms, committed_index, rounds),
            *self._resolve_reads(now_ms, committed_index, rounds),
        ]

    def abort_all(self) -> list[Action]:
        """Remove all requests, as the primary role has ended; return their UNKNOWN or unconfirmed results."""
        commands: list[Action] = [CommandResolved(each.token, UNKNOWN_RESULT) for each in self._commands]
        reads: list[Action] = [ReadResolved(read.token, is_newest=False) for read in self._reads]
        self._commands, self._reads = [], []
        return commands + reads

    def _resolve_commands(self, now_ms: float, committed_index: int, rounds: HeartbeatRounds) -> list[Action]:
        resolved: list[Action] = []
        pending: list[_PendingCommand] = []
        for command in self._commands:
            if command.proof.is_given(committed_index, rounds):
                resolved.append(CommandResolved(command.token, command.result))
            elif now_ms >= command.proof.deadline_ms:
                resolved.append(CommandResolved(command.token, UNKNOWN_RESULT))
            else:
                pending.append(command)
        self._commands = pending
        return resolved

    def _resolve_reads(self, now_ms: float, committed_index: int, rounds: HeartbeatRounds) -> list[Action]:
        resolved: list[Action] = []
        pending: list[_PendingRead] = []
        for read in self._reads:
            if read.proof.is_given(committed_index, rounds):
                resolved.append(ReadResolved(read.token, is_newest=True))
            elif now_ms >= read.proof.deadline_ms:
                resolved.append(ReadResolved(read.token, is_newest=False))
            else:
                pending.append(read)
        self._reads = pending
        return resolved
