"""The operator's calls that are in progress at this control plane.

A call is submitted to the own replica if that is the primary, and otherwise forwarded to the primary's
machine. If no primary is known, the call waits for one until its deadline. A command may be submitted more
than once: the replica recognizes a command that is already committed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from madderwind.controlplane.effects import Effect, SendToPeer
from madderwind.controlplane.operator_call import (
    CallState,
    Destination,
    LocalCaller,
    NewestDocument,
    OperatorCall,
    PeerCaller,
)
from madderwind.log_events.control_plane import DATA_PLANES_LAGGING
from madderwind.messages.peering import CommandReply, ReadReply
from madderwind.replication.commands import ANSWER_TIMEOUT_MS, Command, CommandOutcome, CommandResult
from madderwind.replication.events import CommandSubmitted, ReadSubmitted
from madderwind.replication.status import ReplicaStatus

# Minimum interval between two attempts to submit the same call, for example after an unknown outcome.
RESUBMIT_AFTER_MS = 50.0
# Maximum time that a committed command waits for the connected data planes.
APPLY_TIMEOUT_MS = 400.0
# If no primary has been known for this long, the machine is probably partitioned: calls wait only briefly.
PARTITIONED_AFTER_MS = 1_500.0
PARTITIONED_WAIT_MS = 150.0
MAX_CALLS = 64


class AppliedVersions(Protocol):
    """The versions that the connected data planes have applied; `distribution.publisher` implements it."""

    def is_applied_by_all(self, version: int) -> bool:
        """Whether all data planes that are not lagging have applied this version."""

    def stop_waiting_for(self, version: int) -> int:
        """Stop waiting for the data planes without this version; returns their number."""


Output = Effect | CommandSubmitted | ReadSubmitted


class OperatorCalls:
    """Submits each call to the primary and answers its caller."""

    def __init__(
        self,
        first_token: int,
        status: Callable[[], ReplicaStatus],
        data_planes: AppliedVersions,
        newest_document: Callable[[], NewestDocument],
    ) -> None:
        """Create an instance without calls.

        Args:
            first_token: Drawn at random at each start, so that a reply to an earlier process does not match a
                call of this one.
            status: Returns the own replica's status.
            data_planes: The versions that the connected data planes have applied.
            newest_document: Returns the newest configuration committed at this machine.
        """
        self._last_token = first_token
        self._status = status
        self._data_planes = data_planes
        self._newest_document = newest_document
        self._calls: dict[int, OperatorCall] = {}
        self._primary_known_ms: float | None = None

    def __len__(self) -> int:
        return len(self._calls)

    def record_primary(self, now_ms: float) -> None:
        """Record the time if a primary is known now."""
        if self._primary_known_ms is None or self._status().primary:
            self._primary_known_ms = now_ms

    def submit(
        self, now_ms: float, caller: LocalCaller | PeerCaller, command: Command | None
    ) -> list[Output]:
        """Start a call: a read if `command` is None."""
        if any(call.caller == caller for call in self._calls.values()):
            return []  # the peer forwarded it again while it is in progress
        deadline_ms = now_ms + (command.answer_timeout_ms if command else ANSWER_TIMEOUT_MS)
        self._last_token += 1
        call = OperatorCall(self._last_token, caller, command, now_ms, deadline_ms)
        self._calls[call.token] = call
        if len(self._calls) > MAX_CALLS:
            return self._end(call)
        return self._submit_to_primary(now_ms, call)

    def command_resolved(self, now_ms: float, token: int, result: CommandResult) -> list[Output]:
        """Handle the result of a command from the own replica."""
        call = self._calls.get(token)
        if call is None or call.state is not CallState.AT_REPLICA:
            return []
        if result.outcome is CommandOutcome.UNKNOWN:
            return self._wait_for_primary(now_ms, call)
        call.result = result
        if result.outcome is not CommandOutcome.COMMITTED:
            return self._end(call)
        call.wait_until_ms = min(now_ms + APPLY_TIMEOUT_MS, call.deadline_ms)
        call.enter(CallState.WAITING_FOR_DATA_PLANES)
        return self._advance(now_ms, call)

    def read_resolved(self, now_ms: float, token: int, is_newest: bool) -> list[Output]:
        """Handle the result of a read from the own replica."""
        call = self._calls.get(token)
        if call is None or call.state is not CallState.AT_REPLICA:
            return []
        if not is_newest:
            return self._wait_for_primary(now_ms, call)
        call.document = self._newest_document()
        return self._end(call)

    def command_replied(self, now_ms: float, reply: CommandReply) -> list[Output]:
        """Handle the primary's reply to a forwarded command."""
        call = self._calls.get(reply.token)
        if call is None or call.command is None or call.state is not CallState.FORWARDED:
            return []
        outcome = CommandOutcome(reply.outcome)
        if outcome is CommandOutcome.UNKNOWN:
            return self._wait_for_primary(now_ms, call)
        call.result = CommandResult(outcome, reply.version, reply.field, reply.reason)
        return self._end(call)

    def read_replied(self, now_ms: float, reply: ReadReply) -> list[Output]:
        """Handle the primary's reply to a forwarded read."""
        call = self._calls.get(reply.token)
        if call is None or call.command is not None or call.state is not CallState.FORWARDED:
            return []
        if not reply.is_newest:
            return self._wait_for_primary(now_ms, call)
        call.document = NewestDocument(reply.version, reply.document)
        return self._end(call)

    def advance(self, now_ms: float) -> list[Output]:
        """Advance all calls after time passed, or the primary or the data planes' versions changed."""
        outputs: list[Output] = []
        for call in list(self._calls.values()):
            outputs += self._advance(now_ms, call)
        return outputs

    def _advance(self, now_ms: float, call: OperatorCall) -> list[Output]:
        if call.state is CallState.WAITING_FOR_DATA_PLANES:
            return self._wait_for_data_planes(now_ms, call)
        if now_ms >= call.deadline_ms or self._is_partitioned(now_ms, call):
            return self._end(call)
        if call.state is CallState.FORWARDED and call.destination != self._destination():
            call.enter(CallState.WAITING_FOR_PRIMARY)
        if call.state is CallState.WAITING_FOR_PRIMARY and now_ms >= call.submit_at_ms:
            return self._submit_to_primary(now_ms, call)
        return []

    def _is_partitioned(self, now_ms: float, call: OperatorCall) -> bool:
        """Whether the call waits for a primary and this machine is probably partitioned."""
        if call.state is not CallState.WAITING_FOR_PRIMARY or self._primary_known_ms is None:
            return False
        is_partitioned = now_ms - self._primary_known_ms > PARTITIONED_AFTER_MS
        return is_partitioned and now_ms - call.submitted_ms > PARTITIONED_WAIT_MS

    def _submit_to_primary(self, now_ms: float, call: OperatorCall) -> list[Output]:
        """Submit a call that waits for a primary, if one is known."""
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
        return [SendToPeer(destination.address, call.forward_message())]

    def _destination(self) -> Destination | None:
        status = self._status()
        if status.is_primary or not status.primary:
            return None
        return Destination(status.primary, status.epoch)

    def _wait_for_primary(self, now_ms: float, call: OperatorCall) -> list[Output]:
        call.enter(CallState.WAITING_FOR_PRIMARY)
        return self._advance(now_ms, call)

    def _wait_for_data_planes(self, now_ms: float, call: OperatorCall) -> list[Output]:
        version = call.result.version
        if self._data_planes.is_applied_by_all(version):
            return self._end(call)
        if now_ms < call.wait_until_ms:
            return []
        count = self._data_planes.stop_waiting_for(version)
        return [DATA_PLANES_LAGGING.line(version=version, count=count), *self._end(call)]

    def _end(self, call: OperatorCall) -> list[Output]:
        call.enter(CallState.ENDED)
        del self._calls[call.token]
        return [call.response()]
