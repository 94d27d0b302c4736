"""The control plane without input or output: replica, registry, publisher and the operator's calls together.

Each method takes the steady clock's milliseconds and returns what the host is to do, in order.
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

# How often the host calls `tick`.
TICK_MS = 25.0
# A primary that is unknown for no longer is still named to others.
PRIMARY_UNKNOWN_AFTER_MS = 300.0
# A control plane that reached a primary and its majority so long ago is connected to its peers.
CONNECTED_MS = 1_500.0

_TOKEN_BITS = 62


class Replica(Protocol):
    """What the core needs of madderwind.replication's replica."""

    @property
    def committed(self) -> PublishedConfiguration:
        """The committed state."""

    def handle(self, now_ms: float, event: Event) -> Iterable[Action]:
        """Handle an event; what is to be done."""

    def status(self, now_ms: float) -> ReplicaStatus:
        """How the replica stands."""


class CoreOptions(msgspec.Struct, frozen=True):
    """The options of a control plane at its start.

    Attributes:
        own_address: Its internal address, ip:port.
        seeds: Internal addresses of the control planes that the settings file names.
        heartbeat_ms: The interval at which upstreams call.
        tolerance: How many control planes may be lost at once.
    """

    own_address: str
    seeds: tuple[str, ...]
    heartbeat_ms: float
    tolerance: int


class ControlPlaneCore:
    """Everything that a control plane decides."""

    def __init__(self, replica: Replica, options: CoreOptions, rng: Random) -> None:
        """Put the parts together; `rng` is the only source of chance."""
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
            rng.getrandbits(_TOKEN_BITS), lambda: self._status, self._publisher, self._newest
        )

    # --- the replica ---

    def handle_replica_event(
        self, now_ms: float, event: WriteCompleted | WriteFailed | PreparationCompleted | ShutdownRequested
    ) -> list[Effect]:
        """Something happened that concerns the replica alone."""
        return self._run(now_ms, self._handle(now_ms, event))

    def tick(self, now_ms: float) -> list[Effect]:
        """Let time pass."""
        outputs = self._handle(now_ms, TimePassed())
        self._peers.expire(now_ms)
        outputs += self._registry.tick(now_ms)
        effects = self._run(now_ms, outputs)
        effects += self._publisher.tick(now_ms)
        return effects

    @property
    def can_stop(self) -> bool:
        """Whether this process may end.

        It is not the primary, the in-sync set does without it, and nobody waits for an answer.
        """
        is_needed = self._status.is_primary or self._status.is_needed
        return not is_needed and not self._calls and self._registry.is_idle

    def set_seeds(self, now_ms: float, seeds: tuple[str, ...]) -> list[Effect]:
        """The settings file names other seeds now."""
        self._peers.set_seeds(seeds)
        return self._run(now_ms, self._handle(now_ms, SeedsChanged(seeds)))

    # --- other control planes ---

    def handle_peer_connected(self, now_ms: float, address: str) -> list[Effect]:
        """The connection to a peer is up, and empty so far."""
        return [self._registry.registry_for(now_ms, address)]

    def handle_peer_message(self, now_ms: float, sender: str, message: PeerFrame) -> list[Effect]:
        """A message from the control plane at this internal address."""
        self._peers.record_message(now_ms, sender)
        if isinstance(message, PeeringMessageBase):
            outputs = self._refresh_status(now_ms)
            return self._run(now_ms, outputs + self._handle_peering(now_ms, sender, message))
        return self._run(now_ms, self._handle(now_ms, MessageReceived(sender, message)))

    # --- data planes ---

    def subscribe(self, now_ms: float, connection: int, message: Subscribe) -> list[Effect]:
        """A data plane's connection begins."""
        outputs = self._refresh_status(now_ms)
        outputs += self._publisher.subscribe(now_ms, connection, message, self._registry.snapshot(now_ms))
        outputs.append(DATA_PLANE_SUBSCRIBED.line(data_plane=message.node, version=message.version))
        return self._run(now_ms, outputs)

    def handle_data_plane_message(
        self, now_ms: float, connection: int, message: ToControlPlane
    ) -> list[Effect]:
        """A message of a subscribed data plane."""
        effects: list[Effect] = [*self._publisher.receive(now_ms, connection, message)]
        return effects + self._advance_calls(now_ms)

    def handle_data_plane_closed(self, now_ms: float, connection: int) -> list[Effect]:
        """A data plane's connection ended."""
        self._publisher.disconnect(now_ms, connection)
        return self._advance_calls(now_ms)

    # --- upstreams ---

    def restore_upstreams(self, now_ms: float, records: Sequence[UpstreamRecord]) -> None:
        """What the checkpoint knows of upstreams, read before anything else happens."""
        self._registry.restore(now_ms, records)

    def handle_checkpoint_saved(self, now_ms: float, records: Sequence[UpstreamRecord]) -> list[Effect]:
        """The registry with these records is on disk."""
        return self._run(now_ms, [*self._registry.handle_saved(records)])

    def upstreams(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """All upstreams that are known."""
        return self._registry.snapshot(now_ms)

    def handle_heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        """An upstream's heartbeat, answered under the number `call`.

        Raises:
            HeartbeatError: The body is none.
        """
        return self._registry.handle_heartbeat(now_ms, call, instance, body)

    def deregister(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """An upstream says that it ends; answered as a heartbeat is."""
        return self._registry.deregister(now_ms, call, instance)

    # --- the operator ---

    def status(self, now_ms: float, node: str, zone: str) -> ControlPlaneStatus:
        """How this control plane stands, under its node's name and zone."""
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
        """A command, or a read where it is None; the host draws `call` and answers when the call ends."""
        outputs = self._refresh_status(now_ms)
        return self._run(now_ms, outputs + self._calls.submit(now_ms, LocalCaller(call), command))

    # --- parts ---

    def _is_connected(self) -> bool:
        """Whether a round trip reached a primary with its majority a moment ago.

        Before there is any view, as the whole system begins, nobody can be asked for that.
        """
        age_ms = self._status.fresh_age_ms
        return self._status.epoch == 0 or (age_ms is not None and age_ms < CONNECTED_MS)

    def _newest(self) -> NewestDocument:
        committed = self._replica.committed
        return NewestDocument(committed.version, committed.document.raw if committed.document else b"")

    def _advance_calls(self, now_ms: float) -> list[Effect]:
        return self._run(now_ms, self._calls.advance(now_ms)) if self._calls else []

    def _handle_peering(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Output]:
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

    def _handle(self, now_ms: float, event: Event) -> list[Output]:
        """Let the replica handle an event; its actions, and what its new status leads to."""
        outputs: list[Output] = []
        for action in self._replica.handle(now_ms, event):
            outputs += self._outputs_of(now_ms, action)
        return outputs + self._refresh_status(now_ms)

    def _outputs_of(self, now_ms: float, action: Action) -> list[Output]:
        match action:
            case Send(address, message):
                return [SendToPeer(address, message)]
            case CommandResolved(token, result):
                # The version is published before anybody waits for the data planes' acknowledgement.
                published = self._refresh_status(now_ms)
                return published + self._calls.command_resolved(now_ms, token, result)
            case ReadResolved(token, is_newest):
                return self._calls.read_resolved(now_ms, token, is_newest)
            case Committed(version):
                return [CONFIGURATION_COMMITTED.line(version=version)]
            case _:
                return [action]

    def _refresh_status(self, now_ms: float) -> list[Output]:
        """Read the replica's status anew, and publish what changed."""
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
        """The primary as others see it: the former until a message of a new view's primary comes."""
        if self._status.primary:
            self._last_primary, self._last_primary_ms = self._status.primary, now_ms
        elif now_ms - self._last_primary_ms > PRIMARY_UNKNOWN_AFTER_MS:
            self._last_primary = ""
        return self._last_primary

    def _run(self, now_ms: float, outputs: list[Output]) -> list[Effect]:
        """Carry out what concerns the replica or the calls here; the rest is the host's."""
        effects: list[Effect] = []
        pending = deque(outputs)
        if self._calls:
            pending.extend(self._calls.advance(now_ms))
        while pending:
            output = pending.popleft()
            if isinstance(output, (CommandSubmitted, ReadSubmitted)):
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
        heartbeat_age_ms=record.heartbeat_age_ms,
    )
