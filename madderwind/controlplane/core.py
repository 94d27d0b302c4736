"""The control plane's logic without I/O: combines replica, registry, publisher and the operator's calls.

Each method takes the monotonic clock's time in ms and returns the effects that the host carries out in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import Protocol

import msgspec

from madderwind.controlplane.effects import Effect, SendToPeer
from madderwind.controlplane.operator_call import (
    LocalCaller,
    NewestDocument,
    PeerCaller,
    forwarded_command,
)
from madderwind.controlplane.operator_calls import OperatorCalls, Output
from madderwind.controlplane.peers import Peers
from madderwind.controlplane.registry_service import RegistryService
from madderwind.distribution.deliveries import PublishedConfiguration, PublishedStatus
from madderwind.distribution.publisher import Publisher
from madderwind.log_events.control_plane import (
    CONFIGURATION_COMMITTED,
    DATA_PLANE_SUBSCRIBED,
    PRIMARY_CHANGED,
)
from madderwind.messages.distribution import Subscribe, ToControlPlane, UpstreamRecord
from madderwind.messages.peering import (
    CommandReply,
    ForwardCommand,
    ForwardRead,
    PeerFrame,
    PeeringMessage,
    PeeringMessageBase,
    ReadReply,
)
from madderwind.messages.status import ControlPlaneStatus, UpstreamStatus
from madderwind.replication.actions import Action, CommandResolved, Committed, ReadResolved, Send
from madderwind.replication.commands import Command
from madderwind.replication.events import (
    CommandSubmitted,
    Event,
    MessageReceived,
    PreparationCompleted,
    ReadSubmitted,
    SeedsChanged,
    ShutdownRequested,
    TimePassed,
    WriteCompleted,
    WriteFailed,
)
from madderwind.replication.status import ReplicaStatus

# Interval at which the host calls `tick`.
TICK_MS = 25.0
# The last known primary is still published while no primary has been known for at most this time.
PRIMARY_UNKNOWN_AFTER_MS = 300.0
# A control plane counts as connected if it reached a primary and its majority within this time.
CONNECTED_MS = 1_500.0

_TOKEN_BITS = 62


class Replica(Protocol):
    """The part of the interface of `replication.replica.Replica` that the core uses."""

    @property
    def committed(self) -> PublishedConfiguration:
        """The committed state."""

    def handle(self, now_ms: float, event: Event) -> Iterable[Action]:
        """Handle an event; returns the resulting actions."""

    def status(self, now_ms: float) -> ReplicaStatus:
        """The replica's current status."""


class CoreOptions(msgspec.Struct, frozen=True):
    """The start options of a control plane.

    Attributes:
        own_address: Its internal address, ip:port.
        seeds: Internal addresses of the control planes that the settings file names.
        heartbeat_ms: Interval between an upstream's heartbeats.
        tolerance: Number of control planes that may fail at the same time.
    """

    own_address: str
    seeds: tuple[str, ...]
    heartbeat_ms: float
    tolerance: int


class ControlPlaneCore:
    """Makes all decisions of a control plane."""

    def __init__(self, replica: Replica, options: CoreOptions, rng: Random) -> None:
        """Create the components; `rng` is the only source of randomness."""
        self._replica, self._own_address = replica, options.own_address
        self._publisher = Publisher(replica.committed, rng)
        self._peers = Peers(options.own_address, options.seeds)
        self._status = replica.status(0.0)
        self._registry = RegistryService(
            options.own_address,
            options.heartbeat_ms,
            options.tolerance,
            self._peers,
            self._publisher.publish_upstreams,
            self._is_connected,
        )
        self._last_primary = self._logged_primary = ""
        self._last_primary_ms = 0.0
        self._calls = OperatorCalls(
            rng.getrandbits(_TOKEN_BITS), lambda: self._status, self._publisher, self._newest_document
        )

    def handle_replica_event(
        self, now_ms: float, event: WriteCompleted | WriteFailed | PreparationCompleted | ShutdownRequested
    ) -> list[Effect]:
        """Handle an event that concerns only the replica."""
        return self._run(now_ms, self._handle_event(now_ms, event))

    def tick(self, now_ms: float) -> list[Effect]:
        """Handle the passing of time; called every TICK_MS."""
        outputs = self._handle_event(now_ms, TimePassed())
        self._peers.expire(now_ms)
        outputs += self._registry.tick(now_ms)
        effects = self._run(now_ms, outputs)
        effects += self._publisher.tick(now_ms)
        return effects

    @property
    def can_stop(self) -> bool:
        """Whether this process may exit.

        It may if it is not the primary, the in-sync set does not need it, and no caller waits for an answer.
        """
        is_needed = self._status.is_primary or self._status.is_needed
        return not is_needed and not self._calls and self._registry.is_idle

    def set_seeds(self, now_ms: float, seeds: tuple[str, ...]) -> list[Effect]:
        """Apply the seeds of a changed settings file."""
        self._peers.set_seeds(seeds)
        return self._run(now_ms, self._handle_event(now_ms, SeedsChanged(seeds)))

    def handle_peer_connected(self, now_ms: float, address: str) -> list[Effect]:
        """Handle a new connection to a peer: the registry is the first message on it."""
        return [self._registry.registry_message(now_ms, address)]

    def handle_peer_message(self, now_ms: float, sender: str, message: PeerFrame) -> list[Effect]:
        """Handle a message from the control plane at the internal address `sender`."""
        self._peers.record_message(now_ms, sender)
        if isinstance(message, PeeringMessageBase):
            outputs = self._refresh_status(now_ms)
            return self._run(now_ms, outputs + self._handle_peering_message(now_ms, sender, message))
        return self._run(now_ms, self._handle_event(now_ms, MessageReceived(sender, message)))

    def subscribe(self, now_ms: float, connection: int, message: Subscribe) -> list[Effect]:
        """Handle the subscription that a data plane sends at the start of a connection."""
        outputs = self._refresh_status(now_ms)
        outputs += self._publisher.subscribe(now_ms, connection, message, self._registry.snapshot(now_ms))
        outputs.append(DATA_PLANE_SUBSCRIBED.line(data_plane=message.node, version=message.version))
        return self._run(now_ms, outputs)

    def handle_data_plane_message(
        self, now_ms: float, connection: int, message: ToControlPlane
    ) -> list[Effect]:
        """Handle a message from a subscribed data plane."""
        effects: list[Effect] = [*self._publisher.receive(now_ms, connection, message)]
        return effects + self._advance_calls(now_ms)

    def handle_data_plane_closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Handle the end of a data plane's connection."""
        self._publisher.disconnect(now_ms, connection)
        return self._advance_calls(now_ms)

    def restore_upstreams(self, now_ms: float, records: Sequence[UpstreamRecord]) -> None:
        """Restore the upstreams from the checkpoint; called before any other event."""
        self._registry.restore(now_ms, records)

    def handle_checkpoint_saved(self, now_ms: float, records: Sequence[UpstreamRecord]) -> list[Effect]:
        """Handle that a checkpoint with these records is on disk."""
        return self._run(now_ms, [*self._registry.handle_saved(records)])

    def upstreams(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """The records of all known upstreams."""
        return self._registry.snapshot(now_ms)

    def handle_heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        """Handle an upstream's heartbeat; the answer carries the number `call`.

        Raises:
            HeartbeatError: The body is not a valid heartbeat.
        """
        return self._registry.handle_heartbeat(now_ms, call, instance, body)

    def deregister(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """Handle an upstream's deregistration; the answer carries the number `call`."""
        return self._registry.deregister(now_ms, call, instance)

    def status(self, now_ms: float, node: str, zone: str) -> ControlPlaneStatus:
        """The status of this control plane, with its node's name and zone."""
        status = self._replica.status(now_ms)
        return ControlPlaneStatus(
            node=node,
            address=self._own_address,
            zone=zone,
            is_primary=status.is_primary,
            primary=status.primary,
            epoch=status.epoch,
            committed_version=status.committed_version,
            members=status.members,
            in_sync=status.in_sync,
            fresh_age_ms=status.fresh_age_ms,
            data_planes=self._publisher.overview(),
            upstreams=tuple(_upstream_status(record) for record in self._registry.snapshot(now_ms)),
        )

    def submit(self, now_ms: float, call: int, command: Command | None) -> list[Effect]:
        """Start a command, or a read if `command` is None; the host assigns `call` and answers at its end."""
        outputs = self._refresh_status(now_ms)
        return self._run(now_ms, outputs + self._calls.submit(now_ms, LocalCaller(call), command))

    def _is_connected(self) -> bool:
        """Whether a round trip reached a primary with its majority within CONNECTED_MS.

        True before the first view (epoch 0): while the system starts there is no primary to reach.
        """
        age_ms = self._status.fresh_age_ms
        return self._status.epoch == 0 or (age_ms is not None and age_ms < CONNECTED_MS)

    def _newest_document(self) -> NewestDocument:
        committed = self._replica.committed
        return NewestDocument(committed.version, committed.document.raw if committed.document else b"")

    def _advance_calls(self, now_ms: float) -> list[Effect]:
        return self._run(now_ms, self._calls.advance(now_ms)) if self._calls else []

    def _handle_peering_message(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Output]:
        match message:
            case ForwardCommand(token):
                command = forwarded_command(message)
                return self._calls.submit(now_ms, PeerCaller(sender, token), command)
            case ForwardRead(token):
                return self._calls.submit(now_ms, PeerCaller(sender, token), None)
            case CommandReply():
                return self._calls.command_replied(now_ms, message)
            case ReadReply():
                return self._calls.read_replied(now_ms, message)
            case _:
                return [*self._registry.handle_peer_message(now_ms, sender, message)]

    def _handle_event(self, now_ms: float, event: Event) -> list[Output]:
        """Let the replica handle an event; returns its actions and what its new status causes."""
        outputs: list[Output] = []
        for action in self._replica.handle(now_ms, event):
            outputs += self._action_outputs(now_ms, action)
        return outputs + self._refresh_status(now_ms)

    def _action_outputs(self, now_ms: float, action: Action) -> list[Output]:
        match action:
            case Send(address, message):
                return [SendToPeer(address, message)]
            case CommandResolved(token, result):
                # Publish the version before the call starts to wait for the data planes' acknowledgements.
                published = self._refresh_status(now_ms)
                return published + self._calls.command_resolved(now_ms, token, result)
            case ReadResolved(token, is_newest):
                return self._calls.read_resolved(now_ms, token, is_newest)
            case Committed(version):
                return [CONFIGURATION_COMMITTED.line(version=version)]
            case _:
                return [action]

    def _refresh_status(self, now_ms: float) -> list[Output]:
        """Read the replica's status again and publish changes."""
        before, self._status = self._status, self._replica.status(now_ms)
        status = self._status
        self._peers.set_members(status.members)
        self._calls.record_primary(now_ms)
        primary = self._published_primary(now_ms)
        published = PublishedStatus(
            epoch=status.epoch,
            fresh_age_ms=status.fresh_age_ms,
            is_primary=status.is_primary,
            primary=primary,
            members=status.members,
        )
        outputs: list[Output] = [*self._publisher.update(now_ms, published, self._replica.committed)]
        if before.is_primary is not status.is_primary or self._logged_primary != primary:
            self._logged_primary = primary
            line = PRIMARY_CHANGED.line(is_primary=status.is_primary, primary=primary, epoch=status.epoch)
            outputs.append(line)
        return outputs

    def _published_primary(self, now_ms: float) -> str:
        """The primary to publish.

        While none is known, for example during a view change, this is the last known one, until
        PRIMARY_UNKNOWN_AFTER_MS have passed.
        """
        if self._status.primary:
            self._last_primary, self._last_primary_ms = self._status.primary, now_ms
        elif now_ms - self._last_primary_ms > PRIMARY_UNKNOWN_AFTER_MS:
            self._last_primary = ""
        return self._last_primary

    def _run(self, now_ms: float, outputs: list[Output]) -> list[Effect]:
        """Submit commands and reads to the replica and advance calls; returns the effects for the host."""
        effects: list[Effect] = []
        pending = deque(outputs)
        if self._calls:
            pending.extend(self._calls.advance(now_ms))
        while pending:
            output = pending.popleft()
            if isinstance(output, (CommandSubmitted, ReadSubmitted)):
                pending.extend(self._handle_event(now_ms, output))
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
        heartbeat_age_ms=record.heartbeat_age_ms,
    )
