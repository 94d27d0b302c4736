"""Acknowledgements of upstreams that drain or deregister.

They are delayed until enough control planes have the state on disk.

Once acknowledged, the state is binding for all data planes. A control plane confirms a state after it has
published it to its data planes and saved it to its disk. The required number of confirmations, its own
included, is one more than the number of machines that may be lost. Some control plane therefore knows the
state after any such loss, and also after all of them were killed or lost power.
"""

from __future__ import annotations

from collections.abc import Container

import attrs

from madderwind.controlplane.effects import RespondToUpstream
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import FinalStateNotice
from madderwind.registry.states import UpstreamState, furthest, state_named

# Less than the second after which an upstream calls another control plane.
CONFIRMATION_TIMEOUT_MS = 500.0
RESEND_INTERVAL_MS = 150.0


@attrs.define
class _Drain:
    """An instance's final state and its confirmations.

    Attributes:
        record: The instance's record with the state.
        resend_ms: When to notify the peers again, in ms on the monotonic clock.
        deadlines_ms: The deadline of each waiting call, by the call's number.
        confirmed_by: The control planes that confirmed the state.
    """

    record: UpstreamRecord
    resend_ms: float
    deadlines_ms: dict[int, float] = attrs.field(factory=dict)
    confirmed_by: set[str] = attrs.field(factory=set)

    @property
    def state(self) -> UpstreamState:
        """Draining or deregistered."""
        return state_named(self.record.state)


class DrainTracker:
    """Tracks draining and deregistered instances and the calls that wait for their confirmations."""

    def __init__(self, required_confirmations: int) -> None:
        """Create an empty tracker; a state is acknowledged after this number of confirmations."""
        self._required_confirmations = required_confirmations
        self._drains: dict[str, _Drain] = {}

    @property
    def has_waiting_calls(self) -> bool:
        """Whether a call waits for its acknowledgement."""
        return any(drain.deadlines_ms for drain in self._drains.values())

    def begin(self, now_ms: float, call: int, record: UpstreamRecord) -> FinalStateNotice | RespondToUpstream:
        """Handle an upstream's call.

        Returns the acknowledgement, or the notice that the peers must confirm first.
        """
        drain = self._drains.get(record.instance)
        if drain is None:
            drain = self._drains[record.instance] = _Drain(record, now_ms + RESEND_INTERVAL_MS)
        elif drain.state is not state_named(record.state):
            drain.record, drain.confirmed_by = record, set()
        if len(drain.confirmed_by) >= self._required_confirmations:
            return RespondToUpstream(call, is_accepted=True)
        drain.deadlines_ms[call] = now_ms + CONFIRMATION_TIMEOUT_MS
        drain.resend_ms = now_ms + RESEND_INTERVAL_MS
        return FinalStateNotice(record)

    def confirm(self, confirmer: str, instance: str, state: UpstreamState) -> list[RespondToUpstream]:
        """Record that a control plane has published the instance's state and has it on disk."""
        drain = self._drains.get(instance)
        if drain is None or furthest(state, drain.state) is not state:
            return []
        drain.confirmed_by.add(confirmer)
        if len(drain.confirmed_by) < self._required_confirmations:
            return []
        calls, drain.deadlines_ms = drain.deadlines_ms, {}
        return [RespondToUpstream(call, is_accepted=True) for call in calls]

    def reject_expired(self, now_ms: float) -> list[RespondToUpstream]:
        """Reject the calls whose deadline has passed, so that the upstream calls another control plane."""
        responses: list[RespondToUpstream] = []
        for drain in self._drains.values():
            expired = [call for call, deadline_ms in drain.deadlines_ms.items() if now_ms >= deadline_ms]
            responses += [RespondToUpstream(call, is_accepted=False) for call in expired]
            for call in expired:
                del drain.deadlines_ms[call]
        return responses

    def due_notices(self, now_ms: float) -> list[FinalStateNotice]:
        """The notices that are due to be sent to the peers again."""
        due = [drain for drain in self._drains.values() if drain.deadlines_ms and now_ms >= drain.resend_ms]
        for drain in due:
            drain.resend_ms = now_ms + RESEND_INTERVAL_MS
        return [FinalStateNotice(drain.record) for drain in due]

    def retain_only(self, instances: Container[str]) -> None:
        """Drop the confirmations of instances that the registry no longer knows."""
        unknown = [
            instance
            for instance, drain in self._drains.items()
            if instance not in instances and not drain.deadlines_ms
        ]
        for instance in unknown:
            del self._drains[instance]
