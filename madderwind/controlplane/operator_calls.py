"""The operator's calls that are in progress at this control plane.

A call goes to the own replica where that is the primary, else to the primary's machine; where no primary is
known it waits for one, within its deadline. A command may be submitted more than once: what was committed is
recognized.
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

# After an unknown outcome the same call is tried again at the earliest after so long.
RESUBMIT_AFTER_MS = 50.0
# A committed command waits for the connected data planes no longer than this.
APPLY_TIMEOUT_MS = 400.0
# Where no primary was known for so long, this machine is likely cut off: calls wait for one only a little.
CUT_OFF_AFTER_MS = 1_500.0
CUT_OFF_WAIT_MS = 150.0
MAX_CALLS = 64


class AppliedVersions(Protocol):
    """Which versions the connected data planes have in force; `distribution.publisher` implements it."""

    def is_applied_by_all(self, version: int) -> bool:
        """Whether all that keep up have this version."""

    def stop_waiting_for(self, version: int) -> int:
        """Wait no more for those that lack it; how many they are."""


Output = Effect | CommandSubmitted | ReadSubmitted


class OperatorCalls:
    """Brings each call to its end."""

    def __init__(
        self,
        first_token: int,
        status: Callable[[], ReplicaStatus],
        data_planes: AppliedVersions,
        newest: Callable[[], NewestDocument],
    ) -> None:
        """Begin without calls.

        Args:
            first_token: Drawn at random at each start: a reply to an earlier process must not fit a call of
                this one.
            status: The own replica's status.
            data_planes: What the connected data planes have applied.
            newest: The configuration committed here.
        """
        self._last_token = first_token
        self._status = status
        self._data_planes = data_planes
        self._newest = newest
        self._calls: dict[int, OperatorCall] = {}
        self._primary_known_ms: float | None = None

    def __len__(self) -> int:
        return len(self._calls)

    def record_primary(self, now_ms: float) -> None:
        """Take note of whether a primary is known now."""
        if self._primary_known_ms is None or self._status().primary:
            self._primary_known_ms = now_ms

    # --- calls begin ---

    def submit(
        self, now_ms: float, caller: LocalCaller | PeerCaller, command: Command | None
    ) -> list[Output]:
        """Begin a call; a read where `command` is None."""
        if any(call.caller == caller for call in self._calls.values()):
            return []  # forwarded again while it is in progress
        deadline_ms = now_ms + (command.answer_timeout_ms if command else ANSWER_TIMEOUT_MS)
        self._last_token += 1
        call = OperatorCall(self._last_token, caller, command, now_ms, deadline_ms)
        self._calls[call.token] = call
        if len(self._calls) > MAX_CALLS:
            return self._end(call)
        return self._bring_to_primary(now_ms, call)

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
        call.wait_until_ms = min(now_ms + APPLY_TIMEOUT_MS, call.deadline_ms)
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

    def _advance(self, now_ms: float, call: OperatorCall) -> list[Output]:
        if call.state is CallState.WAITING_FOR_DATA_PLANES:
            return self._wait_for_data_planes(now_ms, call)
        if now_ms >= call.deadline_ms or self._is_cut_off(now_ms, call):
            return self._end(call)
        if call.state is CallState.FORWARDED and call.destination != self._destination():
            call.enter(CallState.WAITING_FOR_PRIMARY)
        if call.state is CallState.WAITING_FOR_PRIMARY and now_ms >= call.submit_at_ms:
            return self._bring_to_primary(now_ms, call)
        return []

    def _is_cut_off(self, now_ms: float, call: OperatorCall) -> bool:
        """Whether a call waits for a primary at a machine that is likely to find none."""
        if call.state is not CallState.WAITING_FOR_PRIMARY or self._primary_known_ms is None:
            return False
        is_alone = now_ms - self._primary_known_ms > CUT_OFF_AFTER_MS
        return is_alone and now_ms - call.submitted_ms > CUT_OFF_WAIT_MS

    def _bring_to_primary(self, now_ms: float, call: OperatorCall) -> list[Output]:
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
