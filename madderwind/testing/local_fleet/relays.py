"""The relays between the processes of a fleet, and the cuts that are in force between nodes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import socket
import struct
import time
from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from madderwind.testing.fault_tests.relay import MS_PER_S, Address, Relay, RelayedConnection
from madderwind.testing.local_fleet.layout import RelayLayout

# Who has which connection is looked up at most so often while a cut is in force.
OWNER_REFRESH_INTERVAL_S = 0.1
CUT, SLOW = "cut", "slow"
SOCKET_LINK = "socket:["
# A line of /proc/net/tcp in the state ESTABLISHED: own address and port, and the inode.
CONNECTED_SOCKET = re.compile(
    rb"^ *\d+: ([0-9A-F]{8}):([0-9A-F]{4}) [0-9A-F:]+ 01 [0-9A-F:]+ [0-9A-F:]+ [0-9A-F]+ +\d+ +\d+ (\d+) ",
    re.MULTILINE,
)


class LinkCondition(msgspec.Struct, frozen=True):
    """Between `nodes` and `between` (all others where empty) nothing passes, or late by `late_ms`."""

    kind: str
    nodes: tuple[str, ...]
    between: tuple[str, ...] = ()
    late_ms: float = 0.0

    def isolates(self, node: str) -> bool:
        """Whether the node is cut from all others."""
        return self.kind == CUT and not self.between and node in self.nodes

    def applies_between(self, source: str, target: str) -> bool:
        """Whether it lies between these two; a source outside of the fleet has no name."""
        return self._applies_from(source, target) or self._applies_from(target, source)

    def _applies_from(self, source: str, target: str) -> bool:
        if source not in self.nodes or source == target:
            return False
        return target in self.between if self.between else bool(target)


class ConnectionOwners:
    """Which node a connection comes from, by the sockets that its process has open."""

    def __init__(self, pids: Callable[[], Mapping[str, int]]) -> None:
        self._pids = pids
        self._owners: dict[Address, str] = {}
        self._refreshed_s = float("-inf")

    def node_of(self, peer: Address) -> str:
        """The node whose process had this end when looked up; empty where it is none of the fleet's."""
        return self._owners.get(peer, "")

    def lookup_delay_s(self, peer: Address) -> float:
        """Look up a new connection's end; 0 where that is done, else how many seconds to wait for it."""
        since_s = time.monotonic() - self._refreshed_s
        if peer in self._owners:
            return 0.0
        if since_s < OWNER_REFRESH_INTERVAL_S:
            return OWNER_REFRESH_INTERVAL_S - since_s
        self.refresh()
        return 0.0

    def refresh(self) -> None:
        """Look up all ends."""
        node_by_inode = {inode: node for node, pid in self._pids().items() for inode in _socket_inodes(pid)}
        self._owners = {
            address: node_by_inode[inode] for address, inode in _tcp_sockets() if inode in node_by_inode
        }
        self._refreshed_s = time.monotonic()


def _socket_inodes(pid: int) -> Iterator[str]:
    """The sockets of a process, as the kernel numbers them."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):  # it ended meanwhile
        for descriptor in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{descriptor}")
                if target.startswith(SOCKET_LINK):
                    yield target[len(SOCKET_LINK) : -1]


def _tcp_sockets() -> Iterator[tuple[Address, str]]:
    """Own address and inode of every TCP socket over IPv4 that is connected."""
    with open("/proc/net/tcp", "rb") as file:
        for ip, port, inode in CONNECTED_SOCKET.findall(file.read()):
            address = socket.inet_ntoa(struct.pack("<I", int(ip, 16)))
            yield (address, int(port, 16)), inode.decode()


class _FleetConnection(RelayedConnection):
    """A connection between two nodes, or from outside of the fleet."""

    def __init__(self, relay: FleetRelay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(relay, reader, writer)
        self.peer: Address = writer.get_extra_info("peername")[:2]
        self.may_pass = asyncio.Event()
        self.late_ms = 0.0
        relay.apply_conditions_once_owned(self)


class FleetRelay(Relay):
    """The relay before one address of a node."""

    def __init__(self, layout: RelayLayout, relays: FleetRelays) -> None:
        super().__init__(_parse_address(layout.address), _parse_address(layout.target))
        self.node, self._relays = layout.node, relays

    def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> RelayedConnection:
        return _FleetConnection(self, reader, writer)

    async def passes(self, connection: RelayedConnection) -> None:
        assert isinstance(connection, _FleetConnection)
        await super().passes(connection)
        await connection.may_pass.wait()
        if connection.late_ms:
            await asyncio.sleep(connection.late_ms / MS_PER_S)
            await connection.may_pass.wait()

    def apply_conditions_once_owned(self, connection: _FleetConnection) -> None:
        """A connection was accepted: nothing passes on it before it is known whose it is."""
        wait_s = self._relays.lookup_delay_s(connection.peer)
        if not wait_s:
            self.apply_conditions(connection)
            return
        connection.may_pass.clear()
        asyncio.get_running_loop().call_later(wait_s, self.apply_conditions_once_owned, connection)

    def apply_conditions(self, connection: _FleetConnection) -> None:
        """Give a connection what the conditions in force make of it."""
        is_cut, connection.late_ms = self._relays.between(connection.peer, self.node)
        if is_cut:
            connection.may_pass.clear()
        else:
            connection.may_pass.set()

    def apply_conditions_to_all(self) -> None:
        """After the conditions changed."""
        for connection in self.connections:
            assert isinstance(connection, _FleetConnection)
            self.apply_conditions(connection)


class FleetRelays:
    """All relays of a fleet. Needs a running loop."""

    def __init__(self, layouts: Sequence[RelayLayout], pids: Callable[[], Mapping[str, int]]) -> None:
        self._owners = ConnectionOwners(pids)
        self._conditions: tuple[LinkCondition, ...] = ()
        self._relays = [FleetRelay(layout, self) for layout in layouts]

    def listen(self) -> None:
        """Take connections at all addresses."""
        for relay in self._relays:
            relay.listen()

    async def end(self) -> None:
        """Take no more connections and end those that are open."""
        await asyncio.gather(*(relay.end() for relay in self._relays))

    def set_conditions(self, conditions: Sequence[LinkCondition]) -> None:
        """These hold from now on, and no others. A node cut from all others is not even connected to."""
        self._conditions = tuple(conditions)
        if self._conditions:
            self._owners.refresh()
        for relay in self._relays:
            isolated = any(condition.isolates(relay.node) for condition in self._conditions)
            relay.be("vanish" if isolated else "", 0.0)
            relay.apply_conditions_to_all()

    def lookup_delay_s(self, peer: Address) -> float:
        """0 once it is known whose a new connection is, or that does not matter; else when to ask again."""
        return self._owners.lookup_delay_s(peer) if self._conditions else 0.0

    def between(self, peer: Address, node: str) -> tuple[bool, float]:
        """Whether nothing passes between a connection's end and a node, and how late what passes is."""
        if not self._conditions:
            return False, 0.0
        source = self._owners.node_of(peer)
        matching = [condition for condition in self._conditions if condition.applies_between(source, node)]
        is_cut = any(condition.kind == CUT for condition in matching)
        return is_cut, max((condition.late_ms for condition in matching), default=0.0)


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return ip, int(port)
