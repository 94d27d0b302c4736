"""One call of the operator that is in progress: who made it, where it is, and how it may go on."""

from __future__ import annotations

from enum import Enum

import attrs
import msgspec

from madderwind.controlplane.effects import Effect, RespondToCommand, RespondToRead, SendToPeer
from madderwind.messages.peering import CommandReply, ForwardCommand, ForwardRead, ReadReply
from madderwind.replication.commands import UNKNOWN_RESULT, Command, CommandKind, CommandResult


class CallState(Enum):
    """Where a call is."""

    WAITING_FOR_PRIMARY = "waiting for a primary"
    AT_REPLICA = "at the own replica"
    FORWARDED = "forwarded to the primary"
    WAITING_FOR_DATA_PLANES = "committed, waiting for data planes"
    ENDED = "ended"


CALL_TRANSITIONS = {
    CallState.WAITING_FOR_PRIMARY: {CallState.AT_REPLICA, CallState.FORWARDED, CallState.ENDED},
    CallState.AT_REPLICA: {
        CallState.WAITING_FOR_PRIMARY,
        CallState.WAITING_FOR_DATA_PLANES,
        CallState.ENDED,
    },
    CallState.FORWARDED: {CallState.WAITING_FOR_PRIMARY, CallState.ENDED},
    CallState.WAITING_FOR_DATA_PLANES: {CallState.ENDED},
    CallState.ENDED: set[CallState](),
}


class NewestDocument(msgspec.Struct, frozen=True):
    """A whole configuration as JSON; version 0 and no bytes before the first."""

    version: int
    raw: bytes


@attrs.frozen
class LocalCaller:
    """The operator's own connection to this machine."""

    call: int


@attrs.frozen
class PeerCaller:
    """A control plane that forwarded the call under its own token."""

    address: str
    token: int


@attrs.frozen
class Destination:
    """The primary that a call was forwarded to, in that role's epoch."""

    address: str
    epoch: int


@attrs.define
class OperatorCall:
    """A command or a read.

    Attributes:
        token: Names the call at the own replica and at the primary's machine.
        caller: Who waits for the answer.
        command: None for a read.
        submitted_ms: When it came, ms on the steady clock.
        deadline_ms: When it ends without a known outcome.
        state: Where it is.
        submit_at_ms: When it may be brought to a primary again.
        wait_until_ms: Until when it waits for data planes.
        destination: Where it was forwarded to.
        result: The command's result so far.
        document: What the read found.
    """

    token: int
    caller: LocalCaller | PeerCaller
    command: Command | None
    submitted_ms: float
    deadline_ms: float
    state: CallState = CallState.WAITING_FOR_PRIMARY
    submit_at_ms: float = 0.0
    wait_until_ms: float = 0.0
    destination: Destination | None = None
    result: CommandResult = UNKNOWN_RESULT
    document: NewestDocument | None = None

    def enter(self, state: CallState) -> None:
        """The one place where a call changes state."""
        assert state in CALL_TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    def forward_message(self) -> ForwardCommand | ForwardRead:
        """What the primary's machine is sent."""
        command = self.command
        if command is None:
            return ForwardRead(self.token)
        return ForwardCommand(self.token, command.kind.value, command.base_version, command.body)

    def response(self) -> Effect:
        """The answer to the caller."""
        if isinstance(self.caller, PeerCaller):
            return SendToPeer(self.caller.address, self._reply(self.caller.token))
        if self.command is not None:
            return RespondToCommand(self.caller.call, self.result)
        if self.document is None:
            return RespondToRead(self.caller.call, 0, None)
        return RespondToRead(self.caller.call, self.document.version, self.document.raw)

    def _reply(self, token: int) -> CommandReply | ReadReply:
        if self.command is None:
            document = self.document or NewestDocument(0, b"")
            return ReadReply(token, self.document is not None, document.version, document.raw)
        result = self.result
        return CommandReply(token, result.outcome.value, result.version, result.field, result.reason)


def forwarded_command(message: ForwardCommand) -> Command:
    """The command in a peer's message."""
    return Command(CommandKind(message.kind), message.base_version, message.body)
