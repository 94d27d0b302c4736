"""The control plane without input or output: replica, registry, publisher and the operator's calls together.

Each method takes the steady clock's milliseconds and returns what the host is to do, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random
from typing import Protocol

from madderwind.controlplane.calls import (
    LocalCaller,
    NewestDocument,
    OperatorCalls,
    Output,
    PeerCaller,
    forwarded_order,
)
from madderwind.controlplane.effects import Effect, LogLine, SendToPeer
from madderwind.controlplane.peers import Peers
from madderwind.distribution.publisher import PublishedConfiguration, PublishedStanding, Publisher
from madderwind.messages.distribution import Subscribe, ToControlPlane, UpstreamRecord
from madderwind.messages.peering import (
    ForwardOrder,
    ForwardRead,
    Hello,
    LivenessReport,
    OrderReply,
    PeerFrame,
    PeeringBase,
    PeeringMessage,
    ReadReply,
    RegistryGossip,
    RegistryRequested,
)
from madderwind.messages.status import ControlPlaneStatus, UpstreamStatus
from madderwind.registry.heartbeats import read_heartbeat
from madderwind.registry.registry import Registry
from madderwind.replication.api import (
    Action,
    Committed,
    Event,
    LeaveRequested,
    MessageReceived,
    Order,
    OrderResolved,
    OrderSubmitted,
    ReadResolved,
    ReadSubmitted,
    Report,
    Rewrite,
    SeedsChanged,
    Send,
    Standing,
    TimePassed,
    Write,
    WriteCompleted,
    WriteFailed,
)

# How often the host calls `tick`.
TICK_MS = 25.0
LIVENESS_INTERVAL_MS = 1_000.0
SILENCE_CHECK_INTERVAL_MS = 250.0
# All upstreams are told to a peer that lacks some, at most so often.
SNAPSHOT_INTERVAL_MS = 500.0


class Replica(Protocol):
    """What the core needs of madderwind.replication's replica."""

    @property
    def committed(self) -> PublishedConfiguration:
        """The committed state."""

    def handle(self, now_ms: float, event: Event) -> Iterable[Action]:
        """Take an event, return what is to be done."""

    def standing(self, now_ms: float) -> Standing:
        """How the replica stands."""


class ControlPlaneCore:
    """Everything that a control plane decides."""

    def __init__(
        self, replica: Replica, own_address: str, seeds: Iterable[str], heartbeat_ms: float, rng: Random
    ) -> None:
        self._replica, self._own_address = replica, own_address
        self._registry = Registry(heartbeat_ms)
        self._publisher = Publisher(replica.committed, rng)
        self._peers = Peers(own_address, seeds)
        self._standing = replica.standing(0.0)
        self._calls = OperatorCalls(
            rng.getrandbits(62), lambda: self._standing, self._publisher, self._newest
        )
        self._liveness_due_ms = self._silence_due_ms = 0.0
        self._snapshot_told_ms: dict[str, float] = {}

    # --- the replica ---

    def replica_event(
        self, now_ms: float, event: WriteCompleted | WriteFailed | LeaveRequested
    ) -> list[Effect]:
        """Something happened that concerns the replica alone."""
        return self._run(now_ms, self._handle(now_ms, event))

    def tick(self, now_ms: float) -> list[Effect]:
        """Let time pass."""
        outputs = self._handle(now_ms, TimePassed())
        if now_ms >= self._silence_due_ms:
            self._silence_due_ms = now_ms + SILENCE_CHECK_INTERVAL_MS
            changed = self._registry.tick(now_ms, self._peers.all_reported(now_ms))
            outputs += self._publisher.upstreams_changed(changed)
        if now_ms >= self._liveness_due_ms:
            self._liveness_due_ms = now_ms + LIVENESS_INTERVAL_MS
            self._peers.forget_silent(now_ms)
            outputs += self._to_peers(LivenessReport(self._registry.liveness(now_ms)))
        effects = self._run(now_ms, outputs)
        effects += self._publisher.tick(now_ms)
        return effects

    @property
    def is_at_rest(self) -> bool:
        """Whether this process may end: it is not the primary, and nobody waits for an answer."""
        return not self._standing.is_primary and not self._calls

    def set_seeds(self, now_ms: float, seeds: tuple[str, ...]) -> list[Effect]:
        """The settings file names other seeds now."""
        self._peers.set_seeds(seeds)
        return self._run(now_ms, self._handle(now_ms, SeedsChanged(seeds)))

    # --- other control planes ---

    def peer_connected(self, now_ms: float, address: str) -> list[Effect]:
        """The connection to a peer is up, and empty so far."""
        return [self._registry_for(now_ms, address)]

    def peer_message(self, now_ms: float, sender: str, message: PeerFrame) -> list[Effect]:
        """A message from the control plane at this internal address."""
        self._peers.spoke(now_ms, sender)
        if isinstance(message, PeeringBase):
            outputs = self._refresh_standing(now_ms)
            return self._run(now_ms, outputs + self._peering(now_ms, sender, message))
        return self._run(now_ms, self._handle(now_ms, MessageReceived(sender, message)))

    # --- data planes ---

    def subscribe(self, now_ms: float, connection: int, message: Subscribe) -> list[Effect]:
        """A data plane's connection begins."""
        outputs = self._refresh_standing(now_ms)
        outputs += self._publisher.subscribe(now_ms, connection, message, self._registry.snapshot(now_ms))
        outputs.append(LogLine("data plane subscribed", {"node": message.node, "version": message.version}))
        return self._run(now_ms, outputs)

    def data_plane_message(self, now_ms: float, connection: int, message: ToControlPlane) -> list[Effect]:
        """A message of a subscribed data plane."""
        effects: list[Effect] = [*self._publisher.receive(now_ms, connection, message)]
        return effects + (self._run(now_ms, self._calls.advance(now_ms)) if self._calls else [])

    def data_plane_closed(self, now_ms: float, connection: int) -> list[Effect]:
        """A data plane's connection ended."""
        self._publisher.disconnect(now_ms, connection)
        return self._run(now_ms, self._calls.advance(now_ms)) if self._calls else []

    # --- upstreams ---

    def heartbeat(self, now_ms: float, instance: str, body: bytes) -> list[Effect]:
        """An upstream's heartbeat, to be acknowledged once the effects are carried out; raises
        InvalidHeartbeat."""
        return self._upstream_changed(
            self._registry.heartbeat(now_ms, instance, read_heartbeat(instance, body))
        )

    def deregister(self, now_ms: float, instance: str) -> list[Effect]:
        """An upstream says that it ends."""
        return self._upstream_changed(self._registry.deregister(now_ms, instance))

    # --- the operator ---

    def status(self, now_ms: float, node: str, zone: str) -> ControlPlaneStatus:
        """How this control plane stands, told under its node's name and zone."""
        standing = self._replica.standing(now_ms)
        return ControlPlaneStatus(
            node=node,
            address=self._own_address,
            zone=zone,
            is_primary=standing.is_primary,
            primary=standing.primary,
            epoch=standing.epoch,
            committed_version=standing.committed_version,
            members=standing.members,
            in_sync=standing.in_sync,
            fresh_age_ms=standing.fresh_age_ms,
            data_planes=self._publisher.overview(),
            upstreams=tuple(_upstream_status(record) for record in self._registry.snapshot(now_ms)),
        )

    def submit(self, now_ms: float, call: int, order: Order | None) -> list[Effect]:
        """An order, or a read where it is None; the host draws `call` and answers when the call ends."""
        outputs = self._refresh_standing(now_ms)
        return self._run(now_ms, outputs + self._calls.submit(now_ms, LocalCaller(call), order))

    # --- parts ---

    def _newest(self) -> NewestDocument:
        committed = self._replica.committed
        return NewestDocument(committed.version, committed.document.raw if committed.document else b"")

    def _peering(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Output]:
        if isinstance(message, LivenessReport):
            self._peers.reported(now_ms, sender)
            if self._registry.merge_liveness(now_ms, message.heard):
                return []
            return [SendToPeer(sender, RegistryRequested())]
        if isinstance(message, RegistryGossip):
            return [*self._publisher.upstreams_changed(self._registry.merge(now_ms, message.upstreams))]
        if isinstance(message, RegistryRequested):
            return self._tell_registry_again(now_ms, sender)
        if isinstance(message, ForwardOrder):
            return self._calls.submit(now_ms, PeerCaller(sender, message.token), forwarded_order(message))
        if isinstance(message, ForwardRead):
            return self._calls.submit(now_ms, PeerCaller(sender, message.token), None)
        if isinstance(message, OrderReply):
            return self._calls.order_replied(now_ms, message)
        if isinstance(message, ReadReply):
            return self._calls.read_replied(now_ms, message)
        assert isinstance(message, Hello)
        return []

    def _tell_registry_again(self, now_ms: float, address: str) -> list[Output]:
        if now_ms - self._snapshot_told_ms.get(address, -SNAPSHOT_INTERVAL_MS) < SNAPSHOT_INTERVAL_MS:
            return []
        return [self._registry_for(now_ms, address)]

    def _registry_for(self, now_ms: float, address: str) -> SendToPeer:
        self._snapshot_told_ms[address] = now_ms
        return SendToPeer(address, RegistryGossip(self._registry.snapshot(now_ms)))

    def _upstream_changed(self, record: UpstreamRecord | None) -> list[Effect]:
        if record is None:
            return []
        fields: dict[str, str | int | float | bool] = {
            "instance": record.instance,
            "service": record.service,
            "state": record.state,
        }
        told: list[Effect] = [*self._publisher.upstreams_changed((record,))]
        return [*told, *self._to_peers(RegistryGossip((record,))), LogLine("upstream changed", fields)]

    def _to_peers(self, message: PeeringMessage) -> list[SendToPeer]:
        return [SendToPeer(address, message) for address in self._peers.addresses()]

    def _handle(self, now_ms: float, event: Event) -> list[Output]:
        """Let the replica take an event; its actions, and what its new standing leads to."""
        outputs: list[Output] = []
        for action in self._replica.handle(now_ms, event):
            outputs += self._act(now_ms, action)
        return outputs + self._refresh_standing(now_ms)

    def _act(self, now_ms: float, action: Action) -> list[Output]:
        if isinstance(action, Send):
            return [SendToPeer(action.address, action.message)]
        if isinstance(action, (Write, Rewrite)):
            return [action]
        if isinstance(action, OrderResolved):
            # The data planes are told of the version before anybody waits for their acknowledgement.
            told: list[Output] = self._refresh_standing(now_ms)
            return told + self._calls.order_resolved(now_ms, action.token, action.result)
        if isinstance(action, ReadResolved):
            return self._calls.read_resolved(now_ms, action.token, action.is_newest)
        if isinstance(action, Committed):
            return [LogLine("configuration committed", {"version": action.version})]
        assert isinstance(action, Report)
        return [LogLine(action.event, action.fields)]

    def _refresh_standing(self, now_ms: float) -> list[Output]:
        before, self._standing = self._standing, self._replica.standing(now_ms)
        standing = self._standing
        self._peers.set_members(standing.members)
        published = PublishedStanding(
            epoch=standing.epoch,
            fresh_age_ms=standing.fresh_age_ms,
            is_primary=standing.is_primary,
            primary=standing.primary,
            members=standing.members,
        )
        outputs: list[Output] = [*self._publisher.update(now_ms, published, self._replica.committed)]
        if (before.primary, before.epoch, before.is_primary) != (
            standing.primary,
            standing.epoch,
            standing.is_primary,
        ):
            outputs.append(_standing_line(standing))
        return outputs

    def _run(self, now_ms: float, outputs: list[Output]) -> list[Effect]:
        """Carry out what concerns the replica or the calls here; the rest is the host's."""
        effects: list[Effect] = []
        pending = deque(outputs)
        if self._calls:
            pending.extend(self._calls.advance(now_ms))
        while pending:
            output = pending.popleft()
            if isinstance(output, (OrderSubmitted, ReadSubmitted)):
                pending.extend(self._handle(now_ms, output))
            else:
                effects.append(output)
        return effects


def _upstream_status(record: UpstreamRecord) -> UpstreamStatus:
    return UpstreamStatus(
        instance=record.instance,
        service=record.service,
        address=record.address,
        zone=record.zone,
        state=record.state,
        silent_ms=record.silent_ms,
    )


def _standing_line(standing: Standing) -> LogLine:
    return LogLine(
        "standing changed",
        {"is_primary": standing.is_primary, "primary": standing.primary, "epoch": standing.epoch},
    )
