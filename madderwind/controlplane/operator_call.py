"""One operator call in progress: its caller, its state and the allowed state transitions."""

from __future__ import annotations

from enum import Enum

import attrs
import msgspec

from madderwind.controlplane.effects import Effect, RespondToCommand, RespondToRead, SendToPeer
from madderwind.messages.peering import CommandReply, ForwardCommand, ForwardRead, ReadReply
from madderwind.replication.commands import UNKNOWN_RESULT, Command, CommandKind, CommandResult


class CallState(Enum):
    """The state of a call."""

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
    """A complete configuration as JSON; version 0 and no bytes if there is none yet."""

    version: int
    raw: bytes


@attrs.frozen
class LocalCaller:
    """An operator that is connected to this machine."""

    call: int


@attrs.frozen
class PeerCaller:
    """A control plane that forwarded the call, with the token that it assigned."""

    address: str
    token: int


@attrs.frozen
class Destination:
    """The primary that a call was forwarded to, and its epoch as primary."""

    address: str
    epoch: int


@attrs.define
class OperatorCall:
    """An operator's command or read.

    Attributes:
        token: Identifies the call at the own replica and at the primary's machine.
        caller: The caller that waits for the answer.
        command: The command; None for a read.
        submitted_ms: When the call was received, in ms on the monotonic clock.
        deadline_ms: When the call ends with an unknown outcome.
        state: The call's state.
        submit_at_ms: The earliest time of the next attempt to submit it to a primary.
        wait_until_ms: Until when it waits for data planes.
        destination: The primary that it was forwarded to.
        result: The command's result so far.
        document: The configuration that was read.
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
        """Change the state; all state changes go through this method."""
        assert state in CALL_TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    def forward_message(self) -> ForwardCommand | ForwardRead:
        """The message that forwards the call to the primary's machine."""
        command = self.command
        if command is None:
            return ForwardRead(self.token)
        return ForwardCommand(self.token, command.kind.value, command.base_version, command.body)

    def response(self) -> Effect:
        """The effect that answers the caller."""
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
    """The command in a message that was forwarded by a peer."""
    return Command(CommandKind(message.kind), message.base_version, message.body)
