"""The operator's calls that are under way at this control plane.

A call goes to the own replica where that is the primary, else to the primary's machine; where no primary is
known it waits for one, within its deadline. A command may be submitted more than once: what was taken is
recognized.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs
import msgspec

from madderwind.controlplane.effects import CommandEnded, Effect, ReadEnded, SendToPeer
from madderwind.log_events.control_plane import DATA_PLANES_LAGGING
from madderwind.messages.peering import CommandReply, ForwardCommand, ForwardRead, ReadReply
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, CommandResult
from madderwind.replication.events import CommandSubmitted, ReadSubmitted
from madderwind.replication.status import ReplicaStatus

# The operator turns elsewhere after a second of silence, later with a large body.
CALL_DEADLINE_MS = 800.0
DEADLINE_BYTES_PER_MS = 2048
# After an unclear end the same call is tried again at the earliest after so long.
RESUBMIT_AFTER_MS = 50.0
# A command that was taken waits for the connected data planes no longer than this.
APPLY_WAIT_MS = 400.0
# Where no primary was known for so long, this machine is likely cut off: calls wait for one just a little.
CUT_OFF_AFTER_MS, WAIT_WHEN_CUT_OFF_MS = 1_500.0, 150.0
MOST_CALLS = 64

_UNCLEAR = CommandResult(CommandOutcome.UNKNOWN)


class CallState(Enum):
    """Where a call is."""

    WAITING_FOR_PRIMARY = "waiting for a primary"
    AT_REPLICA = "at the own replica"
    FORWARDED = "forwarded to the primary"
    WAITING_FOR_DATA_PLANES = "taken, waiting for data planes"
    ENDED = "ended"


_NEXT = {
    CallState.WAITING_FOR_PRIMARY: {CallState.AT_REPLICA, CallState.FORWARDED, CallState.ENDED},
    CallState.AT_REPLICA: {
        CallState.WAITING_FOR_PRIMARY,
        CallState.WAITING_FOR_DATA_PLANES,
        CallState.ENDED,
    },
    CallState.FORWARDED: {CallState.WAITING_FOR_PRIMARY, CallState.ENDED},
    CallState.WAITING_FOR_DATA_PLANES: {CallState.ENDED},
    CallState.ENDED: set(),
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
class _Destination:
    """The primary that a call was forwarded to, in that role's epoch."""

    address: str
    epoch: int


@attrs.define
class _Call:
    """`command` is None for a read."""

    token: int
    caller: LocalCaller | PeerCaller
    command: Command | None
    submitted_ms: float
    deadline_ms: float
    state: CallState = CallState.WAITING_FOR_PRIMARY
    submit_at_ms: float = 0.0
    wait_until_ms: float = 0.0
    destination: _Destination | None = None
    result: CommandResult = _UNCLEAR
    document: NewestDocument | None = None

    def enter(self, state: CallState) -> None:
        """The one place where a call changes state."""
        assert state in _NEXT[self.state], f"{self.state} to {state}"
        self.state = state


class AppliedVersions(Protocol):
    """Which versions the connected data planes have in force; distribution.publisher implements it."""

    def is_applied_by_all(self, version: int) -> bool:
        """Whether all that keep up have this version."""

    def stop_waiting_for(self, version: int) -> int:
        """Wait no more for those that lack it; how many they are."""


Output = Effect | CommandSubmitted | ReadSubmitted


class OperatorCalls:
    """Brings each call to its end. `first_token` is drawn at random at each start: a reply to a former life
    of this process must not fit a call of this one."""

    def __init__(
        self,
        first_token: int,
        status: Callable[[], ReplicaStatus],
        data_planes: AppliedVersions,
        newest: Callable[[], NewestDocument],
    ) -> None:
        self._last_token = first_token
        self._status = status
        self._data_planes = data_planes
        self._newest = newest
        self._calls: dict[int, _Call] = {}
        self._primary_known_ms: float | None = None

    def __len__(self) -> int:
        return len(self._calls)

    def note_primary(self, now_ms: float) -> None:
        """Take note of whether a primary is known now."""
        if self._primary_known_ms is None or self._status().primary:
            self._primary_known_ms = now_ms

    # --- calls begin ---

    def submit(
        self, now_ms: float, caller: LocalCaller | PeerCaller, command: Command | None
    ) -> list[Output]:
        """Take in a call; a read where `command` is None."""
        if any(call.caller == caller for call in self._calls.values()):
            return []  # forwarded again while it is under way
        allowed_ms = CALL_DEADLINE_MS + (len(command.body) / DEADLINE_BYTES_PER_MS if command else 0.0)
        self._last_token += 1
        call = _Call(self._last_token, caller, command, now_ms, now_ms + allowed_ms)
        self._calls[call.token] = call
        if len(self._calls) > MOST_CALLS:
            return self._end(call)
        return self._place(now_ms, call)

    # --- calls go on ---

    def command_resolved(self, now_ms: float, token: int, result: CommandResult) -> list[Output]:
        """The own replica ended a command."""
        call = self._calls.get(token)
        if call is None or call.state is not CallState.AT_REPLICA:
            return []
        if result.outcome is CommandOutcome.UNKNOWN:
            return self._wait_for_primary(now_ms, call)
        call.result = result
        if result.outcome is not CommandOutcome.COMMITTED:
            return self._end(call)
        call.wait_until_ms = min(now_ms + APPLY_WAIT_MS, call.deadline_ms)
        call.enter(CallState.WAITING_FOR_DATA_PLANES)
        return self._advance(now_ms, call)

    def read_resolved(self, now_ms: float, token: int, is_newest: bool) -> list[Output]:
        """The own replica ended a read."""
        call = self._calls.get(token)
        if call is None or call.state is not CallState.AT_REPLICA:
            return []
        if not is_newest:
            return self._wait_for_primary(now_ms, call)
        call.document = self._newest()
        return self._end(call)

    def command_replied(self, now_ms: float, reply: CommandReply) -> list[Output]:
        """The primary's machine ended a command that was forwarded to it."""
        call = self._calls.get(reply.token)
        if call is None or call.command is None or call.state is not CallState.FORWARDED:
            return []
        outcome = CommandOutcome(reply.outcome)
        if outcome is CommandOutcome.UNKNOWN:
            return self._wait_for_primary(now_ms, call)
        call.result = CommandResult(outcome, reply.version, reply.field, reply.reason)
        return self._end(call)

    def read_replied(self, now_ms: float, reply: ReadReply) -> list[Output]:
        """The primary's machine ended a read that was forwarded to it."""
        call = self._calls.get(reply.token)
        if call is None or call.command is not None or call.state is not CallState.FORWARDED:
            return []
        if not reply.is_newest:
            return self._wait_for_primary(now_ms, call)
        call.document = NewestDocument(reply.version, reply.document)
        return self._end(call)

    def advance(self, now_ms: float) -> list[Output]:
        """Time passed, or the primary or the data planes' versions changed."""
        outputs: list[Output] = []
        for call in list(self._calls.values()):
            outputs += self._advance(now_ms, call)
        return outputs

    # --- parts ---

    def _advance(self, now_ms: float, call: _Call) -> list[Output]:
        if call.state is CallState.WAITING_FOR_DATA_PLANES:
            return self._wait_for_data_planes(now_ms, call)
        if now_ms >= call.deadline_ms or self._is_cut_off(now_ms, call):
            return self._end(call)
        if call.state is CallState.FORWARDED and call.destination != self._destination():
            call.enter(CallState.WAITING_FOR_PRIMARY)
        if call.state is CallState.WAITING_FOR_PRIMARY and now_ms >= call.submit_at_ms:
            return self._place(now_ms, call)
        return []

    def _is_cut_off(self, now_ms: float, call: _Call) -> bool:
        """Whether a call waits for a primary at a machine that is likely to find none."""
        if call.state is not CallState.WAITING_FOR_PRIMARY or self._primary_known_ms is None:
            return False
        is_alone = now_ms - self._primary_known_ms > CUT_OFF_AFTER_MS
        return is_alone and now_ms - call.submitted_ms > WAIT_WHEN_CUT_OFF_MS

    def _place(self, now_ms: float, call: _Call) -> list[Output]:
        """Bring a call that waits for a primary to it, where one is known."""
        call.submit_at_ms = now_ms + RESUBMIT_AFTER_MS
        if self._status().is_primary:
            call.enter(CallState.AT_REPLICA)
            return [CommandSubmitted(call.token, call.command) if call.command else ReadSubmitted(call.token)]
        if isinstance(call.caller, PeerCaller):
            return self._end(call)
        destination = self._destination()
        if destination is None:
            return []
        call.destination = destination
        call.enter(CallState.FORWARDED)
        return [SendToPeer(destination.address, _forwarded(call))]

    def _destination(self) -> _Destination | None:
        status = self._status()
        if status.is_primary or not status.primary:
            return None
        return _Destination(status.primary, status.epoch)

    def _wait_for_primary(self, now_ms: float, call: _Call) -> list[Output]:
        call.enter(CallState.WAITING_FOR_PRIMARY)
        return self._advance(now_ms, call)

    def _wait_for_data_planes(self, now_ms: float, call: _Call) -> list[Output]:
        if self._data_planes.is_applied_by_all(call.result.version):
            return self._end(call)
        if now_ms < call.wait_until_ms:
            return []
        count = self._data_planes.stop_waiting_for(call.result.version)
        line = DATA_PLANES_LAGGING.line(version=call.result.version, count=count)
        return [line, *self._end(call)]

    def _end(self, call: _Call) -> list[Output]:
        call.enter(CallState.ENDED)
        del self._calls[call.token]
        return [_end_of(call)]


def _forwarded(call: _Call) -> ForwardCommand | ForwardRead:
    if call.command is None:
        return ForwardRead(call.token)
    return ForwardCommand(call.token, call.command.kind.value, call.command.base_version, call.command.body)


def _end_of(call: _Call) -> Effect:
    document = call.document or NewestDocument(0, b"")
    is_newest = call.document is not None
    if isinstance(call.caller, LocalCaller):
        if call.command is not None:
            return CommandEnded(call.caller.call, call.result)
        return ReadEnded(call.caller.call, document.version, document.raw if is_newest else None)
    if call.command is not None:
        result = call.result
        command_reply = CommandReply(
            call.caller.token, result.outcome.value, result.version, result.field, result.reason
        )
        return SendToPeer(call.caller.address, command_reply)
    read_reply = ReadReply(call.caller.token, is_newest, document.version, document.raw)
    return SendToPeer(call.caller.address, read_reply)


def forwarded_command(message: ForwardCommand) -> Command:
    """The command in a peer's message."""
    return Command(CommandKind(message.kind), message.base_version, message.body)
