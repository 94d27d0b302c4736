"""Control planes in memory: the test delivers their messages and advances their clock."""

from __future__ import annotations

import random
from collections import deque

from madderwind.configuration.history import ConfigurationHistory
from madderwind.controlplane.core import TICK_MS, ControlPlaneCore, CoreOptions
from madderwind.controlplane.effects import (
    Effect,
    RespondToCommand,
    RespondToRead,
    RespondToUpstream,
    SaveCheckpoint,
    SendToPeer,
)
from madderwind.distribution.deliveries import Close, SendTo, SendToAll
from madderwind.log_events.event import LogLine
from madderwind.messages.distribution import Subscribe, ToControlPlane, ToDataPlane
from madderwind.messages.peering import PeerFrame, peer_frames
from madderwind.replication.commands import Command
from tests.controlplane.scripted_replica import ScriptedReplica

HEARTBEAT_MS = 1000.0
TOLERANCE = 1


def heartbeat(sequence: int, state: str = "ready") -> bytes:
    """The body of an upstream's heartbeat."""
    return (
        f'{{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":0,"sequence":{sequence}}}'
    ).encode()


class ControlPlaneInMemory:
    """One control plane and its recorded effects."""

    def __init__(self, address: str, members: tuple[str, ...], history: ConfigurationHistory) -> None:
        self.address = address
        self.replica = ScriptedReplica(address, members, history)
        self.core = ControlPlaneCore(
            self.replica, CoreOptions(address, members, HEARTBEAT_MS, TOLERANCE), random.Random(address)
        )
        self.commands: dict[int, RespondToCommand] = {}
        self.reads: dict[int, RespondToRead] = {}
        self.accepted: dict[int, bool] = {}  # responses to upstreams, by call
        self.has_stalled_disk = False
        self.sent_messages: dict[int, list[ToDataPlane]] = {}
        self.log: list[LogLine] = []


class FleetInMemory:
    """Control planes that share one configuration, so that replication is instantaneous."""

    def __init__(self, count: int = 3) -> None:
        members = tuple(f"10.0.0.{number}:7500" for number in range(1, count + 1))
        history = ConfigurationHistory()
        self.now_ms = 0.0
        self.planes = [ControlPlaneInMemory(address, members, history) for address in members]
        self.partitioned: set[str] = set()
        self._by_address = {plane.address: plane for plane in self.planes}
        self._in_flight: deque[tuple[str, str, bytes]] = deque()
        for plane in self.planes:
            for peer in members:
                if peer != plane.address:
                    self.carry_out(plane, plane.core.handle_peer_connected(self.now_ms, peer))
        self.deliver()

    def make_primary(self, plane: ControlPlaneInMemory | None, epoch: int = 2) -> None:
        """Let all replicas report this control plane as the primary, or none."""
        for each in self.planes:
            each.replica.primary = plane.address if plane is not None else ""
            each.replica.epoch = epoch

    def run(self, duration_ms: float) -> None:
        """Advance the clock tick by tick and deliver messages; partitioned control planes do not tick."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for plane in self.planes:
                if plane.address not in self.partitioned:
                    self.carry_out(plane, plane.core.tick(self.now_ms))
            self.deliver()

    def submit(self, plane: ControlPlaneInMemory, call: int, command: Command | None) -> None:
        """Submit an operator's command, or a read if it is None, to a control plane."""
        self.carry_out(plane, plane.core.submit(self.now_ms, call, command))
        self.deliver()

    def heartbeat(self, plane: ControlPlaneInMemory, sequence: int, state: str = "ready") -> None:
        """Send a heartbeat of upstream i-1 to a control plane; `sequence` is also the call's number."""
        body = heartbeat(sequence, state)
        self.carry_out(plane, plane.core.handle_heartbeat(self.now_ms, sequence, "i-1", body))
        self.deliver()

    def deregister(self, plane: ControlPlaneInMemory, call: int) -> None:
        """Send the deregistration of upstream i-1 to a control plane."""
        self.carry_out(plane, plane.core.deregister(self.now_ms, call, "i-1"))
        self.deliver()

    def subscribe(self, plane: ControlPlaneInMemory, connection: int, node: str, version: int = 0) -> None:
        """Subscribe a data plane to a control plane."""
        plane.sent_messages[connection] = []
        message = Subscribe(node, "1", f"{node}:7501", "z", version)
        self.carry_out(plane, plane.core.subscribe(self.now_ms, connection, message))

    def send(self, plane: ControlPlaneInMemory, connection: int, message: ToControlPlane) -> None:
        """Send a message from a data plane to a control plane."""
        self.carry_out(plane, plane.core.handle_data_plane_message(self.now_ms, connection, message))
        self.deliver()

    def save_registry(self, plane: ControlPlaneInMemory) -> None:
        """Save the registry's checkpoint, unless the disk is stalled."""
        if not plane.has_stalled_disk:
            upstreams = plane.core.upstreams(self.now_ms)
            self.carry_out(plane, plane.core.handle_checkpoint_saved(self.now_ms, upstreams))

    def deliver(self) -> None:
        """Deliver all messages between control planes, including those that are sent in response."""
        while self._in_flight:
            sender, receiver, frame = self._in_flight.popleft()
            plane = self._by_address.get(receiver)
            if plane is None or sender in self.partitioned or receiver in self.partitioned:
                continue
            message: PeerFrame = peer_frames.decode(frame)
            self.carry_out(plane, plane.core.handle_peer_message(self.now_ms, sender, message))

    def carry_out(self, plane: ControlPlaneInMemory, effects: list[Effect]) -> None:
        """Carry out effects in place of the control plane's host."""
        for effect in effects:
            if isinstance(effect, SendToPeer):
                frame = peer_frames.encode(effect.message)
                self._in_flight.append((plane.address, effect.address, frame))
            elif isinstance(effect, SendTo):
                plane.sent_messages[effect.connection].append(effect.message)
            elif isinstance(effect, SendToAll):
                for messages in plane.sent_messages.values():
                    messages.append(effect.message)
            elif isinstance(effect, Close):
                del plane.sent_messages[effect.connection]
            elif isinstance(effect, RespondToCommand):
                plane.commands[effect.call] = effect
            elif isinstance(effect, RespondToRead):
                plane.reads[effect.call] = effect
            elif isinstance(effect, RespondToUpstream):
                plane.accepted[effect.call] = effect.is_accepted
            elif isinstance(effect, SaveCheckpoint):
                self.save_registry(plane)
            elif isinstance(effect, LogLine):
                plane.log.append(effect)
