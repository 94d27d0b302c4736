"""The control plane without input or output: replica, registry, publisher and the operator's calls together.

Each method takes the steady clock's milliseconds and returns what the host is to do, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import Protocol

from madderwind.controlplane.calls import (
    LocalCaller,
    NewestDocument,
    OperatorCalls,
    Output,
    PeerCaller,
    forwarded_command,
)
from madderwind.controlplane.effects import Effect, SendToPeer
from madderwind.controlplane.peers import Peers
from madderwind.controlplane.upstreams import Upstreams
from madderwind.distribution.publisher import PublishedConfiguration, PublishedStatus, Publisher
from madderwind.log_events.control_plane import (
    CONFIGURATION_COMMITTED,
    DATA_PLANE_SUBSCRIBED,
    PRIMARY_CHANGED,
)
from madderwind.log_events.event import LogLine
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
from madderwind.replication.actions import (
    Action,
    CommandResolved,
    Committed,
    ReadResolved,
    Rewrite,
    Send,
    Write,
)
from madderwind.replication.commands import Command
from madderwind.replication.events import (
    CommandSubmitted,
    Event,
    MessageReceived,
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
# A control plane that reached a primary and its majority so long ago reaches its peers.
IN_TOUCH_MS = 1_500.0


class Replica(Protocol):
    """What the core needs of madderwind.replication's replica."""

    @property
    def committed(self) -> PublishedConfiguration:
        """The committed state."""

    def handle(self, now_ms: float, event: Event) -> Iterable[Action]:
        """Take an event, return what is to be done."""

    def status(self, now_ms: float) -> ReplicaStatus:
        """How the replica stands."""


class ControlPlaneCore:
    """Everything that a control plane decides."""

    def __init__(
        self,
        replica: Replica,
        own_address: str,
        seeds: Iterable[str],
        heartbeat_ms: float,
        tolerance: int,
        rng: Random,
    ) -> None:
        self._replica, self._own_address = replica, own_address
        self._publisher = Publisher(replica.committed, rng)
        self._peers = Peers(own_address, seeds)
        self._status = replica.status(0.0)
        self._upstreams = Upstreams(
            own_address,
            heartbeat_ms,
            tolerance,
            self._peers,
            self._publisher.upstreams_changed,
            self._is_in_touch,
        )
        self._last_primary = self._logged_primary = ""
        self._last_primary_ms = 0.0
        self._calls = OperatorCalls(rng.getrandbits(62), lambda: self._status, self._publisher, self._newest)

    # --- the replica ---

    def replica_event(
        self, now_ms: float, event: WriteCompleted | WriteFailed | ShutdownRequested
    ) -> list[Effect]:
        """Something happened that concerns the replica alone."""
        return self._run(now_ms, self._handle(now_ms, event))

    def tick(self, now_ms: float) -> list[Effect]:
        """Let time pass."""
        outputs = self._handle(now_ms, TimePassed())
        self._peers.forget_silent(now_ms)
        outputs += self._upstreams.tick(now_ms)
        effects = self._run(now_ms, outputs)
        effects += self._publisher.tick(now_ms)
        return effects

    @property
    def is_at_rest(self) -> bool:
        """Whether this process may end: it is not the primary, the in-sync set does without it, and nobody
        waits for an answer."""
        is_needed = self._status.is_primary or self._status.is_needed
        return not is_needed and not self._calls and self._upstreams.is_at_rest

    def set_seeds(self, now_ms: float, seeds: tuple[str, ...]) -> list[Effect]:
        """The settings file names other seeds now."""
        self._peers.set_seeds(seeds)
        return self._run(now_ms, self._handle(now_ms, SeedsChanged(seeds)))

    # --- other control planes ---

    def peer_connected(self, now_ms: float, address: str) -> list[Effect]:
        """The connection to a peer is up, and empty so far."""
        return [self._upstreams.registry_for(now_ms, address)]

    def peer_message(self, now_ms: float, sender: str, message: PeerFrame) -> list[Effect]:
        """A message from the control plane at this internal address."""
        self._peers.spoke(now_ms, sender)
        if isinstance(message, PeeringMessageBase):
            outputs = self._refresh_status(now_ms)
            return self._run(now_ms, outputs + self._peering(now_ms, sender, message))
        return self._run(now_ms, self._handle(now_ms, MessageReceived(sender, message)))

    # --- data planes ---

    def subscribe(self, now_ms: float, connection: int, message: Subscribe) -> list[Effect]:
        """A data plane's connection begins."""
        outputs = self._refresh_status(now_ms)
        outputs += self._publisher.subscribe(now_ms, connection, message, self._upstreams.snapshot(now_ms))
        outputs.append(DATA_PLANE_SUBSCRIBED.line(data_plane=message.node, version=message.version))
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

    def restore_upstreams(self, now_ms: float, records: Sequence[UpstreamRecord]) -> None:
        """What the process before this one knew of upstreams, read before anything else happens."""
        self._upstreams.restore(now_ms, records)

    def registry_saved(self, now_ms: float, records: Sequence[UpstreamRecord]) -> list[Effect]:
        """The registry's copy with these records is on disk."""
        return self._run(now_ms, [*self._upstreams.saved(records)])

    def upstreams(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """All upstreams that are known."""
        return self._upstreams.snapshot(now_ms)

    def heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        """An upstream's heartbeat, answered when told under the number `call`; raises InvalidHeartbeat."""
        return self._upstreams.heartbeat(now_ms, call, instance, body)

    def deregister(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """An upstream says that it ends; answered as a heartbeat is."""
        return self._upstreams.deregister(now_ms, call, instance)

    # --- the operator ---

    def status(self, now_ms: float, node: str, zone: str) -> ControlPlaneStatus:
        """How this control plane stands, told under its node's name and zone."""
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
            upstreams=tuple(_upstream_status(record) for record in self._upstreams.snapshot(now_ms)),
        )

    def submit(self, now_ms: float, call: int, command: Command | None) -> list[Effect]:
        """A command, or a read where it is None; the host draws `call` and answers when the call ends."""
        outputs = self._refresh_status(now_ms)
        return self._run(now_ms, outputs + self._calls.submit(now_ms, LocalCaller(call), command))

    # --- parts ---

    def _is_in_touch(self) -> bool:
        """Whether a round trip reached a primary with its majority a moment ago. Before there is any view, as
        the whole system begins, nobody can be asked for that."""
        age_ms = self._status.fresh_age_ms
        return self._status.epoch == 0 or (age_ms is not None and age_ms < IN_TOUCH_MS)

    def _newest(self) -> NewestDocument:
        committed = self._replica.committed
        return NewestDocument(committed.version, committed.document.raw if committed.document else b"")

    def _peering(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Output]:
        if isinstance(message, ForwardCommand):
            return self._calls.submit(now_ms, PeerCaller(sender, message.token), forwarded_command(message))
        if isinstance(message, ForwardRead):
            return self._calls.submit(now_ms, PeerCaller(sender, message.token), None)
        if isinstance(message, CommandReply):
            return self._calls.command_replied(now_ms, message)
        if isinstance(message, ReadReply):
            return self._calls.read_replied(now_ms, message)
        return [*self._upstreams.peer_message(now_ms, sender, message)]

    def _handle(self, now_ms: float, event: Event) -> list[Output]:
        """Let the replica take an event; its actions, and what its new status leads to."""
        outputs: list[Output] = []
        for action in self._replica.handle(now_ms, event):
            outputs += self._act(now_ms, action)
        return outputs + self._refresh_status(now_ms)

    def _act(self, now_ms: float, action: Action) -> list[Output]:
        if isinstance(action, Send):
            return [SendToPeer(action.address, action.message)]
        if isinstance(action, (Write, Rewrite)):
            return [action]
        if isinstance(action, CommandResolved):
            # The data planes are told of the version before anybody waits for their acknowledgement.
            told: list[Output] = self._refresh_status(now_ms)
            return told + self._calls.command_resolved(now_ms, action.token, action.result)
        if isinstance(action, ReadResolved):
            return self._calls.read_resolved(now_ms, action.token, action.is_newest)
        if isinstance(action, Committed):
            return [CONFIGURATION_COMMITTED.line(version=action.version)]
        return [action]

    def _refresh_status(self, now_ms: float) -> list[Output]:
        before, self._status = self._status, self._replica.status(now_ms)
        status = self._status
        self._peers.set_members(status.members)
        self._calls.note_primary(now_ms)
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
            outputs.append(_primary_line(status, primary))
        return outputs

    def _published_primary(self, now_ms: float) -> str:
        """The primary as others are told: the former until a new view's primary is heard."""
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


def _primary_line(status: ReplicaStatus, primary: str) -> LogLine:
    return PRIMARY_CHANGED.line(is_primary=status.is_primary, primary=primary, epoch=status.epoch)
