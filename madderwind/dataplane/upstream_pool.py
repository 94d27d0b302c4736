"""Connections to upstreams, pooled by instance."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

from aiohttp.client_reqrep import ClientResponse

from madderwind.balancing.outcomes import Outcome
from madderwind.transport.connector import ConnectionOptions
from madderwind.transport.encoded_request import EncodedRequest
from madderwind.transport.upstreams import Upstreams

CONNECT_TIMEOUT_MS = 250.0
# The longest pause within the head of a response.
HEAD_STALL_S = 1.0
# The longest time that an idle connection is kept, and the time if the upstream announces none.
MAX_IDLE_MS, DEFAULT_IDLE_S = 120_000.0, 4.0
# A peer that acknowledges nothing for this long is considered gone: a machine without power sends no reset.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 1, 1, 2

Received = TypeVar("Received")


class UpstreamPool:
    """Pools connections by instance, because its address may later belong to another instance."""

    def __init__(self, max_connections: int) -> None:
        options = ConnectionOptions(
            socket_factory=_open_socket,
            stall_s=HEAD_STALL_S,
            passing_stall_s=0.0,
            distrusts_resets=False,
            untold_idle_s=DEFAULT_IDLE_S,
            starts_when_complete=False,
        )
        self._upstreams = Upstreams(CONNECT_TIMEOUT_MS, MAX_IDLE_MS, max_connections, options)
        self._instance_numbers: dict[str, int] = {}
        self._next_number = itertools.count(1)
        self._in_use: Counter[str] = Counter()

    def in_use(self, instance: str) -> int:
        """The number of connections to the instance that are in use or being established."""
        return self._in_use[instance]

    def keeps(self, instance: str) -> bool:
        """Whether an idle connection to the instance is open."""
        number = self._instance_numbers.get(instance)
        return number is not None and self._upstreams.keeps(number)

    def open_connections(self) -> int:
        """The number of open connections."""
        return self._upstreams.open_connections()

    async def exchange(
        self,
        instance: str,
        address: str,
        encoded: EncodedRequest,
        limit: AbstractAsyncContextManager[asyncio.Timeout],
        receive: Callable[[ClientResponse], Awaitable[Received]],
    ) -> Received | Outcome:
        """Make one attempt; see `Upstreams.exchange`."""
        host, _, port = address.rpartition(":")
        number = self._instance_numbers.get(instance)
        if number is None:
            number = self._instance_numbers[instance] = next(self._next_number)
        self._in_use[instance] += 1
        try:
            return await self._upstreams.exchange(number, (host, int(port)), encoded, limit, receive)
        finally:
            self._in_use[instance] -= 1
            if not self._in_use[instance]:
                del self._in_use[instance]

    def forget(self, instance: str) -> None:
        """Close the idle connections to an instance that was removed or accepts no new requests."""
        number = self._instance_numbers.pop(instance, None)
        if number is not None:
            self._upstreams.close_idle(number)

    async def close(self) -> None:
        """Close all connections."""
        await self._upstreams.close()


def _open_socket(address_info: Any) -> socket.socket:
    """A socket that detects a vanished peer, even while it only waits for data."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened
