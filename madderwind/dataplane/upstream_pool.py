"""Connections to upstreams, by instance."""

from __future__ import annotations

import itertools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp.client_reqrep import ClientResponse

from madderwind.balancing.outcomes import Outcome
from madderwind.transport.connector import ConnectionOptions
from madderwind.transport.encoded_request import EncodedRequest
from madderwind.transport.upstreams import Upstreams

CONNECT_TIMEOUT_MS = 250.0
# The longest pause within the head of an answer.
HEAD_STALL_S = 1.0
# How long an idle connection is kept at most, and where the upstream does not tell.
MOST_IDLE_MS, UNTOLD_IDLE_S = 120_000.0, 4.0
# A peer that acknowledges nothing for so long is taken for gone: a machine without power says nothing.
USER_TIMEOUT_MS = 2_000
PROBE_IDLE_S, PROBE_INTERVAL_S, PROBES = 1, 1, 2

Received = TypeVar("Received")


class UpstreamPool:
    """Connections belong to an instance, not to its address, which may be another one's tomorrow."""

    def __init__(self, most_connections: int) -> None:
        options = ConnectionOptions(
            socket_factory=_open_socket,
            stall_s=HEAD_STALL_S,
            passing_stall_s=0.0,
            distrusts_resets=False,
            untold_idle_s=UNTOLD_IDLE_S,
            starts_when_whole=False,
        )
        self._upstreams = Upstreams(CONNECT_TIMEOUT_MS, MOST_IDLE_MS, most_connections, options)
        self._numbers: dict[str, int] = {}
        self._next_number = itertools.count(1)
        self._in_use: Counter[str] = Counter()

    def in_use(self, instance: str) -> int:
        """How many connections to it are in use, or coming up."""
        return self._in_use[instance]

    def keeps(self, instance: str) -> bool:
        """Whether a connection to it stands idle."""
        number = self._numbers.get(instance)
        return number is not None and self._upstreams.keeps(number)

    def held(self) -> int:
        """How many connections there are."""
        return self._upstreams.held()

    async def exchange(
        self,
        instance: str,
        address: str,
        encoded: EncodedRequest,
        until_s: float,
        receive: Callable[[ClientResponse], Awaitable[Received]],
    ) -> Received | Outcome:
        """One attempt; see `Upstreams.exchange`."""
        host, _, port = address.rpartition(":")
        number = self._numbers.get(instance)
        if number is None:
            number = self._numbers[instance] = next(self._next_number)
        self._in_use[instance] += 1
        try:
            return await self._upstreams.exchange(number, (host, int(port)), encoded, until_s, receive)
        finally:
            self._in_use[instance] -= 1
            if not self._in_use[instance]:
                del self._in_use[instance]

    def forget(self, instance: str) -> None:
        """It is gone for good, or takes nothing new: its idle connections are closed."""
        number = self._numbers.pop(instance, None)
        if number is not None:
            self._upstreams.close_idle(number)

    async def close(self) -> None:
        """Close all connections."""
        await self._upstreams.close()


def _open_socket(address_info: Any) -> socket.socket:
    """A socket that tells of a peer which vanished, also while only its bytes are waited for."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened
