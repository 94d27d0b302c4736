"""Manages the upstreams of a control plane: handles their calls and exchanges their states with peers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from madderwind.controlplane.drain_tracker import DrainTracker
from madderwind.controlplane.effects import Effect, RespondToUpstream, SaveCheckpoint, SendToPeer
from madderwind.controlplane.peers import Peers
from madderwind.distribution.deliveries import Delivery
from madderwind.log_events.control_plane import UPSTREAM_CHANGED
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import (
    FinalStateConfirmed,
    FinalStateNotice,
    LivenessReport,
    PeeringMessage,
    RegistryGossip,
    RegistryRequest,
)
from madderwind.registry.heartbeats import read_heartbeat
from madderwind.registry.registry import Registry
from madderwind.registry.states import UpstreamState, furthest, state_named

LIVENESS_INTERVAL_MS = 1_000.0
TIMEOUT_CHECK_INTERVAL_MS = 250.0
# Minimum interval between two complete snapshots for a peer that lacks upstreams.
SNAPSHOT_INTERVAL_MS = 500.0

PublishUpstreams = Callable[[Sequence[UpstreamRecord]], list[Delivery]]


class RegistryService:
    """Combines the registry, the drain tracker and the exchange with the peers."""

    def __init__(
        self,
        own_address: str,
        heartbeat_ms: float,
        tolerance: int,
        peers: Peers,
        publish: PublishUpstreams,
        is_connected: Callable[[], bool],
    ) -> None:
        """Create a service with an empty registry.

        Args:
            own_address: This control plane's internal address.
            heartbeat_ms: Interval between an upstream's heartbeats.
            tolerance: Number of control planes that may fail at the same time.
            peers: The other control planes.
            publish: Publishes records to the data planes.
            is_connected: Returns whether a majority was reached recently, so that peers can be notified.
        """
        self._registry = Registry(heartbeat_ms)
        self._drains = DrainTracker(tolerance + 1)
        self._own_address = own_address
        self._saved_states: dict[str, UpstreamState] = {}  # final states, as last saved
        self._unconfirmed: set[tuple[str, str]] = set()  # (peer, instance) pairs to confirm after a save
        self._tolerance = tolerance
        self._peers = peers
        self._publish = publish
        self._is_connected = is_connected
        self._liveness_due_ms = self._timeout_check_due_ms = 0.0
        self._snapshot_sent_ms: dict[str, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no upstream waits for an acknowledgement."""
        return not self._drains.has_waiting_calls

    def snapshot(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """The records of all known upstreams."""
        return self._registry.snapshot(now_ms)

    def restore(self, now_ms: float, records: Sequence[UpstreamRecord]) -> None:
        """Restore the records from before the start, dated now; a hint until the upstreams call again."""
        self._registry.restore(now_ms, records)

    def handle_saved(self, records: Sequence[UpstreamRecord]) -> list[Effect]:
        """Handle that a checkpoint with these records is on disk: confirm the states that waited for it."""
        states = {record.instance: state_named(record.state) for record in records}
        self._saved_states = {
            name: state for name, state in states.items() if state is not UpstreamState.READY
        }
        effects: list[Effect] = []
        for instance, state in self._saved_states.items():
            effects += self._drains.confirm(self._own_address, instance, state)
        for peer, instance in [pair for pair in self._unconfirmed if pair[1] in self._saved_states]:
            self._unconfirmed.discard((peer, instance))
            effects.append(SendToPeer(peer, _confirmation(instance, self._saved_states[instance])))
        return effects

    def handle_heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        """Handle an upstream's heartbeat.

        Raises:
            HeartbeatError: The body is not a valid heartbeat.
        """
        heartbeat = read_heartbeat(instance, body)
        changed = self._registry.handle_heartbeat(now_ms, instance, heartbeat)
        return [*self._publish_change(changed), *self._respond(now_ms, call, instance)]

    def deregister(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """Handle an upstream's deregistration."""
        changed = self._registry.deregister(now_ms, instance)
        return [*self._publish_change(changed), *self._respond(now_ms, call, instance)]

    def registry_message(self, now_ms: float, address: str) -> SendToPeer:
        """The message that sends the complete registry to a peer."""
        self._snapshot_sent_ms[address] = now_ms
        return SendToPeer(address, RegistryGossip(self._registry.snapshot(now_ms)))

    def handle_peer_message(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Effect]:
        """Handle a peer's message about upstreams; others have no effect."""
        match message:
            case LivenessReport():
                return self._handle_liveness(now_ms, sender, message)
            case RegistryGossip(upstreams):
                return [*self._publish(self._registry.merge(now_ms, upstreams))]
            case FinalStateNotice(upstream):
                return self._handle_final_state(now_ms, sender, upstream)
            case FinalStateConfirmed(instance, state):
                return [*self._drains.confirm(sender, instance, state_named(state))]
            case RegistryRequest():
                return self._send_registry_again(now_ms, sender)
            case _:
                return []

    def tick(self, now_ms: float) -> list[Effect]:
        """Check timeouts, and send what is due to the peers."""
        effects: list[Effect] = []
        if now_ms >= self._timeout_check_due_ms:
            self._timeout_check_due_ms = now_ms + TIMEOUT_CHECK_INTERVAL_MS
            changed = self._registry.tick(now_ms, self._peers.have_all_reported(now_ms))
            effects += self._publish(changed)
        if now_ms >= self._liveness_due_ms:
            self._liveness_due_ms = now_ms + LIVENESS_INTERVAL_MS
            effects += self._to_peers(LivenessReport(self._registry.take_liveness(now_ms)))
            self._drop_unknown()
        effects += self._drains.reject_expired(now_ms)
        for notice in self._drains.due_notices(now_ms):
            effects += self._to_peers(notice)
        return effects

    def _drop_unknown(self) -> None:
        """Drop the state of instances that the registry has dropped or had no capacity for."""
        self._drains.retain_only(self._registry)
        self._unconfirmed = {pair for pair in self._unconfirmed if pair[1] in self._registry}

    def _publish_change(self, changed: UpstreamRecord | None) -> list[Effect]:
        """Notify data planes and peers of a change that an upstream reported to this control plane."""
        if changed is None:
            return []
        line = UPSTREAM_CHANGED.line(instance=changed.instance, service=changed.service, state=changed.state)
        return [*self._publish((changed,)), *self._to_peers(RegistryGossip((changed,))), line]

    def _respond(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """Acknowledge a call: at once, or for a final state once enough control planes have it on disk."""
        if instance not in self._registry:  # the registry is full
            return [RespondToUpstream(call, is_accepted=False)]
        record = self._registry.final_record(now_ms, instance)
        if record is None:
            return [RespondToUpstream(call, is_accepted=self._is_known_to_peers(instance))]
        outcome = self._drains.begin(now_ms, call, record)
        if isinstance(outcome, RespondToUpstream):
            return [outcome]
        effects: list[Effect] = [*self._to_peers(outcome)]
        if not self._is_saved(record):
            return [*effects, SaveCheckpoint()]
        state = state_named(record.state)
        return [*effects, *self._drains.confirm(self._own_address, instance, state)]

    def _is_saved(self, record: UpstreamRecord) -> bool:
        """Whether the saved checkpoint contains the record's state or a later one."""
        saved = self._saved_states.get(record.instance, UpstreamState.READY)
        return furthest(saved, state_named(record.state)) is saved

    def _is_known_to_peers(self, instance: str) -> bool:
        """Whether a ready instance is known to a peer, or peers can be reached and will learn of it.

        Otherwise it must call another control plane, although its state is stored here as well.
        """
        if not self._tolerance or self._registry.is_known_elsewhere(instance):
            return True
        if not self._is_connected():
            return False
        self._registry.mark_known_elsewhere(instance)
        return True

    def _handle_liveness(self, now_ms: float, sender: str, message: LivenessReport) -> list[Effect]:
        self._peers.record_report(now_ms, sender)
        if self._registry.merge_liveness(now_ms, message.observed):
            return []
        return [SendToPeer(sender, RegistryRequest())]

    def _handle_final_state(self, now_ms: float, sender: str, record: UpstreamRecord) -> list[Effect]:
        """Publish the state, and confirm it to the sender once it is on the own disk."""
        published = self._publish(self._registry.merge(now_ms, (record,)))
        if state_named(record.state) is UpstreamState.READY:
            return [*published]
        if self._is_saved(record):
            confirmation = _confirmation(record.instance, state_named(record.state))
            return [*published, SendToPeer(sender, confirmation)]
        self._unconfirmed.add((sender, record.instance))
        return [*published, SaveCheckpoint()]

    def _send_registry_again(self, now_ms: float, address: str) -> list[Effect]:
        last_ms = self._snapshot_sent_ms.get(address, -SNAPSHOT_INTERVAL_MS)
        if now_ms - last_ms < SNAPSHOT_INTERVAL_MS:
            return []
        return [self.registry_message(now_ms, address)]

    def _to_peers(self, message: PeeringMessage) -> list[SendToPeer]:
        return [SendToPeer(address, message) for address in self._peers.addresses()]


def _confirmation(instance: str, state: UpstreamState) -> FinalStateConfirmed:
    return FinalStateConfirmed(instance, "gone" if state is UpstreamState.DEREGISTERED else "draining")
