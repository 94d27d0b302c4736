"""Control planes in memory: messages are carried by the test's own network, time is the test's."""

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
    """An upstream's heartbeat."""
    return (
        f'{{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":0,"sequence":{sequence}}}'
    ).encode()


class ControlPlaneInMemory:
    """One control plane, and what came out of it."""

    def __init__(self, address: str, members: tuple[str, ...], history: ConfigurationHistory) -> None:
        self.address = address
        self.replica = ScriptedReplica(address, members, history)
        self.core = ControlPlaneCore(
            self.replica, CoreOptions(address, members, HEARTBEAT_MS, TOLERANCE), random.Random(address)
        )
        self.commands: dict[int, RespondToCommand] = {}
        self.reads: dict[int, RespondToRead] = {}
        self.accepted: dict[int, bool] = {}  # upstreams' calls
        self.has_stalled_disk = False
        self.notified: dict[int, list[ToDataPlane]] = {}
        self.log: list[LogLine] = []


class FleetInMemory:
    """Control planes that share one configuration, as if replication took no time."""

    def __init__(self, count: int = 3) -> None:
        members = tuple(f"10.0.0.{number}:7500" for number in range(1, count + 1))
        history = ConfigurationHistory()
        self.now_ms = 0.0
        self.planes = [ControlPlaneInMemory(address, members, history) for address in members]
        self.cut: set[str] = set()
        self._by_address = {plane.address: plane for plane in self.planes}
        self._on_the_way: deque[tuple[str, str, bytes]] = deque()
        for plane in self.planes:
            for peer in members:
                if peer != plane.address:
                    self.carry_out(plane, plane.core.handle_peer_connected(self.now_ms, peer))
        self.deliver()

    def make_primary(self, plane: ControlPlaneInMemory | None, epoch: int = 2) -> None:
        """All take this one for the primary from now on, or know of none."""
        for other in self.planes:
            other.replica.primary = plane.address if plane is not None else ""
            other.replica.epoch = epoch

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for plane in self.planes:
                if plane.address not in self.cut:
                    self.carry_out(plane, plane.core.tick(self.now_ms))
            self.deliver()

    def submit(self, plane: ControlPlaneInMemory, call: int, command: Command | None) -> None:
        """The operator calls a control plane."""
        self.carry_out(plane, plane.core.submit(self.now_ms, call, command))
        self.deliver()

    def heartbeat(self, plane: ControlPlaneInMemory, sequence: int, state: str = "ready") -> None:
        """The upstream i-1 calls a control plane; its sequence is the number of the call."""
        body = heartbeat(sequence, state)
        self.carry_out(plane, plane.core.handle_heartbeat(self.now_ms, sequence, "i-1", body))
        self.deliver()

    def deregister(self, plane: ControlPlaneInMemory, call: int) -> None:
        """The upstream i-1 ends."""
        self.carry_out(plane, plane.core.deregister(self.now_ms, call, "i-1"))
        self.deliver()

    def subscribe(self, plane: ControlPlaneInMemory, connection: int, node: str, version: int = 0) -> None:
        """A data plane connects."""
        plane.notified[connection] = []
        message = Subscribe(node, "1", f"{node}:7501", "z", version)
        self.carry_out(plane, plane.core.subscribe(self.now_ms, connection, message))

    def say(self, plane: ControlPlaneInMemory, connection: int, message: ToControlPlane) -> None:
        """A data plane sends a message."""
        self.carry_out(plane, plane.core.handle_data_plane_message(self.now_ms, connection, message))
        self.deliver()

    def save_registry(self, plane: ControlPlaneInMemory) -> None:
        """Have the registry's copy on disk, unless that stalls."""
        if not plane.has_stalled_disk:
            upstreams = plane.core.upstreams(self.now_ms)
            self.carry_out(plane, plane.core.handle_checkpoint_saved(self.now_ms, upstreams))

    def deliver(self) -> None:
        """Carry all messages between control planes, those they cause included."""
        while self._on_the_way:
            sender, receiver, frame = self._on_the_way.popleft()
            plane = self._by_address.get(receiver)
            if plane is None or sender in self.cut or receiver in self.cut:
                continue
            message: PeerFrame = peer_frames.decode(frame)
            self.carry_out(plane, plane.core.handle_peer_message(self.now_ms, sender, message))

    def carry_out(self, plane: ControlPlaneInMemory, effects: list[Effect]) -> None:
        """Be the host of a control plane."""
        for effect in effects:
            if isinstance(effect, SendToPeer):
                frame = peer_frames.encode(effect.message)
                self._on_the_way.append((plane.address, effect.address, frame))
            elif isinstance(effect, SendTo):
                plane.notified[effect.connection].append(effect.message)
            elif isinstance(effect, SendToAll):
                for notified in plane.notified.values():
                    notified.append(effect.message)
            elif isinstance(effect, Close):
                del plane.notified[effect.connection]
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
