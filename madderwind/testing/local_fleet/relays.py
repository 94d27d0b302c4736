"""TCP relays between the processes of a fleet, which apply cuts and delays between nodes."""

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

# Minimum interval between lookups of the connection owners while a condition is in force.
OWNER_REFRESH_INTERVAL_S = 0.1
CUT, SLOW = "cut", "slow"
SOCKET_LINK = "socket:["
# A line of /proc/net/tcp in state ESTABLISHED (01): local address, local port and inode.
CONNECTED_SOCKET = re.compile(
    rb"^ *\d+: ([0-9A-F]{8}):([0-9A-F]{4}) [0-9A-F:]+ 01 [0-9A-F:]+ [0-9A-F:]+ [0-9A-F]+ +\d+ +\d+ (\d+) ",
    re.MULTILINE,
)


class LinkCondition(msgspec.Struct, frozen=True):
    """A cut, or a delay of `late_ms`, between `nodes` and `between` (all other nodes if empty)."""

    kind: str
    nodes: tuple[str, ...]
    between: tuple[str, ...] = ()
    late_ms: float = 0.0

    def isolates(self, node: str) -> bool:
        """Whether the node is cut off from all other nodes."""
        return self.kind == CUT and not self.between and node in self.nodes

    def applies_between(self, source: str, target: str) -> bool:
        """Whether the condition applies between two nodes; a source outside the fleet has an empty name."""
        return self._applies_from(source, target) or self._applies_from(target, source)

    def _applies_from(self, source: str, target: str) -> bool:
        if source not in self.nodes or source == target:
            return False
        return target in self.between if self.between else bool(target)


class ConnectionOwners:
    """Maps the peer address of a connection to the node whose process owns the socket."""

    def __init__(self, pids: Callable[[], Mapping[str, int]]) -> None:
        self._pids = pids
        self._owners: dict[Address, str] = {}
        self._refreshed_s = float("-inf")

    def node_of(self, peer: Address) -> str:
        """The node that owned this address at the last lookup; empty for a process outside the fleet."""
        return self._owners.get(peer, "")

    def look_up_owner(self, peer: Address) -> float:
        """Look up the owner of a new connection.

        Returns 0 if the lookup is done, otherwise the seconds to wait before the next call.
        """
        since_s = time.monotonic() - self._refreshed_s
        if peer in self._owners:
            return 0.0
        if since_s < OWNER_REFRESH_INTERVAL_S:
            return OWNER_REFRESH_INTERVAL_S - since_s
        self.refresh()
        return 0.0

    def refresh(self) -> None:
        """Look up the owners of all connections."""
        node_by_inode = {inode: node for node, pid in self._pids().items() for inode in _socket_inodes(pid)}
        self._owners = {
            address: node_by_inode[inode] for address, inode in _tcp_sockets() if inode in node_by_inode
        }
        self._refreshed_s = time.monotonic()


def _socket_inodes(pid: int) -> Iterator[str]:
    """Yield the inode numbers of a process's sockets."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):  # the process has ended meanwhile
        for descriptor in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{descriptor}")
                if target.startswith(SOCKET_LINK):
                    yield target[len(SOCKET_LINK) : -1]


def _tcp_sockets() -> Iterator[tuple[Address, str]]:
    """Yield the local address and inode of every connected IPv4 TCP socket."""
    with open("/proc/net/tcp", "rb") as file:
        for ip, port, inode in CONNECTED_SOCKET.findall(file.read()):
            address = socket.inet_ntoa(struct.pack("<I", int(ip, 16)))
            yield (address, int(port, 16)), inode.decode()


class _FleetConnection(RelayedConnection):
    """A relayed connection between two nodes, or from outside the fleet."""

    def __init__(self, relay: FleetRelay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(relay, reader, writer)
        self.peer: Address = writer.get_extra_info("peername")[:2]
        self.may_pass = asyncio.Event()
        self.late_ms = 0.0
        relay.apply_conditions_once_owner_known(self)


class FleetRelay(Relay):
    """The relay in front of one address of a node."""

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

    def apply_conditions_once_owner_known(self, connection: _FleetConnection) -> None:
        """Apply the conditions to an accepted connection; hold its data back until its owner is known."""
        wait_s = self._relays.look_up_owner(connection.peer)
        if not wait_s:
            self.apply_conditions(connection)
            return
        connection.may_pass.clear()
        asyncio.get_running_loop().call_later(wait_s, self.apply_conditions_once_owner_known, connection)

    def apply_conditions(self, connection: _FleetConnection) -> None:
        """Block, delay or release a connection according to the conditions in force."""
        is_cut, connection.late_ms = self._relays.between(connection.peer, self.node)
        if is_cut:
            connection.may_pass.clear()
        else:
            connection.may_pass.set()

    def apply_conditions_to_all(self) -> None:
        """Apply changed conditions to all connections."""
        for connection in self.connections:
            assert isinstance(connection, _FleetConnection)
            self.apply_conditions(connection)


class FleetRelays:
    """All relays of a fleet. Requires a running event loop."""

    def __init__(self, layouts: Sequence[RelayLayout], pids: Callable[[], Mapping[str, int]]) -> None:
        self._owners = ConnectionOwners(pids)
        self._conditions: tuple[LinkCondition, ...] = ()
        self._relays = [FleetRelay(layout, self) for layout in layouts]

    def listen(self) -> None:
        """Accept connections on all addresses."""
        for relay in self._relays:
            relay.listen()

    async def end(self) -> None:
        """Stop accepting connections and close the open ones."""
        await asyncio.gather(*(relay.end() for relay in self._relays))

    def set_conditions(self, conditions: Sequence[LinkCondition]) -> None:
        """Replace the conditions in force.

        For a node that is cut off from all others, the relays do not even accept connections.
        """
        self._conditions = tuple(conditions)
        if self._conditions:
            self._owners.refresh()
        for relay in self._relays:
            isolated = any(condition.isolates(relay.node) for condition in self._conditions)
            relay.be("vanish" if isolated else "", 0.0)
            relay.apply_conditions_to_all()

    def look_up_owner(self, peer: Address) -> float:
        """Seconds to wait for the owner of a new connection; 0 if it is known or no condition is in force."""
        return self._owners.look_up_owner(peer) if self._conditions else 0.0

    def between(self, peer: Address, node: str) -> tuple[bool, float]:
        """Whether the link between a connection's peer and a node is cut, and its delay in milliseconds."""
        if not self._conditions:
            return False, 0.0
        source = self._owners.node_of(peer)
        matching = [condition for condition in self._conditions if condition.applies_between(source, node)]
        is_cut = any(condition.kind == CUT for condition in matching)
        return is_cut, max((condition.late_ms for condition in matching), default=0.0)


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return ip, int(port)
