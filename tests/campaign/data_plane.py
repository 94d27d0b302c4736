"""One data plane: the real subscriber and upstream registry on simulated connections."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from madderwind.dataplane.subscriber_links import CONNECT_TIMEOUT_S, TICK_S
from madderwind.distribution.subscriber import Subscriber
from madderwind.distribution.subscriber_events import (
    Action,
    ApplyConfiguration,
    Connect,
    Deliver,
    Disconnect,
    Event,
    Identity,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    Send,
    TimePassed,
)
from madderwind.messages.distribution import (
    RegistryDelta,
    RegistrySnapshot,
    to_control_plane,
    to_data_plane,
)
from madderwind.registry.known_upstreams import KnownUpstreams
from tests.campaign.connections import Connection
from tests.campaign.control_machine import HEARTBEAT_MS, MS_PER_S, ControlMachine
from tests.campaign.dialling import Dial
from tests.campaign.links import Links
from tests.campaign.process import Process
from tests.fleet.clock import Clock

CONNECT_TIMEOUT_MS = 2 * CONNECT_TIMEOUT_S * MS_PER_S
TICK_MS = TICK_S * MS_PER_S


class DataPlaneObserver(Protocol):
    """Callbacks for what a data plane does."""

    def configuration_applied(self, data_plane: DataPlane, version_before: int) -> None:
        """A data plane applied another configuration."""

    def data_plane_ticked(self, data_plane: DataPlane) -> None:
        """A data plane ran its periodic tick."""


class DataPlane(Process):
    """Carries out a subscriber's actions as SubscriberLinks does."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        links: Links,
        seed: str,
        seeds: Callable[[], tuple[str, ...]],
        wanted_links: int,
        observer: DataPlaneObserver,
        find: Callable[[str], ControlMachine | None],
    ) -> None:
        super().__init__(address, clock)
        self._links, self._seeds, self._wanted_links = links, seeds, wanted_links
        self._observer, self._find = observer, find
        self._rng = random.Random(f"{seed} {address}")
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        now_ms = self.clock.now_ms
        identity = Identity(self.address, f"life-{self.incarnation}", self.address, "zone")
        rng = random.Random(self._rng.getrandbits(64))
        self.subscriber = Subscriber(now_ms, identity, self._seeds(), self._wanted_links, rng)
        self.upstreams = KnownUpstreams(HEARTBEAT_MS)
        self.started_ms = now_ms
        self.version = 0
        self._connections: dict[str, Connection] = {}
        self._attempts: dict[str, int] = {}

    def start(self) -> None:
        """Start the process without any stored state."""
        if self.is_up:
            return
        self.begin_incarnation()
        self._start_incarnation()
        self._tick(self.incarnation)

    def kill(self) -> None:
        """End the process."""
        if self.is_up:
            self.end_incarnation(has_power=True)

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if self.is_running:
            self._handle(TimePassed())
            self._observer.data_plane_ticked(self)
        self.clock.after(TICK_MS, lambda: self._tick(incarnation))

    def _handle(self, event: Event) -> None:
        for action in self.subscriber.handle(self.clock.now_ms, event):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Connect(address):
                self._end(address)
                self._connect(address)
            case Disconnect(address):
                self._end(address)
            case Send(address, message):
                if (connection := self._connections.get(address)) is not None:
                    connection.send(connection.client, to_control_plane.encode(message))
            case ApplyConfiguration(document):
                before, self.version = self.version, document.version
                self._observer.configuration_applied(self, before)
            case Deliver(message=RegistrySnapshot(records) | RegistryDelta(records)):
                self.upstreams.merge(self.clock.now_ms, records)

    def _end(self, address: str) -> None:
        """Close a connection or abandon its attempt, and ignore its later events."""
        self._attempts[address] = self._attempts.get(address, 0) + 1
        if (connection := self._connections.pop(address, None)) is not None:
            connection.close(connection.client)

    def _connect(self, address: str) -> None:
        attempt = self._attempts[address]
        server = self._find(address)

        def opened(connection: Connection) -> None:
            if self._attempts[address] != attempt:
                connection.close(connection.client)
                return
            self._connections[address] = connection
            self._handle(LinkOpened(address))

        def received(data: bytes) -> None:
            if self._attempts[address] == attempt:
                self._handle(MessageReceived(address, to_data_plane.decode(data)))

        def lost() -> None:
            if self._attempts[address] == attempt:
                self._connections.pop(address, None)
                self._handle(LinkClosed(address))

        accept = server.accept_data_plane if server is not None else lambda connection: None
        Dial(self._links, self, server, accept, received, lost, opened, lost).start(CONNECT_TIMEOUT_MS)
