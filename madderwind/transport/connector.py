"""Connections to upstreams, limited to the file descriptors of this machine."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from madderwind.transport.answering import PASSING_STALL_S, SingleResponseHandler
from madderwind.transport.connection_trust import ConnectionTrust, UnconditionalTrust
from madderwind.transport.encoded_request import current_request
from madderwind.transport.gated_request import NotWrittenError

# Connections are reused for this fraction of the upstream's idle timeout: near its end the upstream may
# already be closing them.
IDLE_FRACTION = 0.8


class ConnectionOptions(NamedTuple):
    """Options that differ between the programs.

    `stall_s`: longest pause within a response; None uses the connect timeout.
    `passing_stall_s`: the same within a streamed response; 0 disables the limit.
    `untold_idle_s`: how long to keep an idle connection whose upstream stated no timeout, if that is less
    than the pool's own limit.
    `starts_when_complete`: whether upstreams start a request only once they have its last byte. If not, its
    first byte may be enough, as such upstreams respond before they have read the body.
    """

    socket_factory: Callable[[Any], socket.socket] | None = None
    stall_s: float | None = None
    passing_stall_s: float = PASSING_STALL_S
    distrusts_resets: bool = True
    untold_idle_s: float = float("inf")
    starts_when_complete: bool = True


class BoundedConnector(aiohttp.TCPConnector):
    """Holds no more connections than its share of this machine's file descriptors.

    Guards against callers' connections that cannot be accepted for lack of a descriptor: their requests would
    be lost. At the limit an idle connection is closed for a new one; if none is idle, the attempt fails
    unsent.
    """

    def __init__(self, most: int, options: ConnectionOptions) -> None:
        super().__init__(limit=0, use_dns_cache=False, socket_factory=options.socket_factory)
        self.most = most
        self.trust = ConnectionTrust() if options.distrusts_resets else UnconditionalTrust()
        self._options = options

    def tune(self, idle_s: float, stall_s: float) -> None:
        self._keepalive_timeout = idle_s
        loop, options = asyncio.get_running_loop(), self._options
        stall_s = stall_s if options.stall_s is None else options.stall_s
        factory = functools.partial(SingleResponseHandler, loop, stall_s, options.passing_stall_s)
        self._factory = factory  # type: ignore[assignment]

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        self._drop_unusable(req.connection_key)
        if (
            not self._conns.get(req.connection_key)
            and self.open_connections() >= self.most
            and not self._drop_idle()
        ):
            raise NotWrittenError
        return await super().connect(req, traces, timeout)

    def _drop_unusable(self, key: ConnectionKey) -> None:
        """Close idle connections until the next one to be used is reusable for the current request.

        Guards against an attempt on a connection whose close has not been read yet: it ends in a reset and
        may have run. Guards also against a late repetition of a response to the same id.
        """
        idle = self._conns.get(key)
        encoded = current_request.get()
        may_reuse = self.trust.may_reuse(self._loop.time(), encoded.may_repeat)
        while idle:
            protocol, idle_since_s = idle[0]
            if (
                may_reuse
                and isinstance(protocol, SingleResponseHandler)
                and self._is_reusable(protocol, idle_since_s)
                and protocol.exchange_ids.may_carry(encoded.exchange_id)
            ):
                return
            idle.popleft()
            protocol.close()
        self._conns.pop(key, None)

    def _is_reusable(self, protocol: SingleResponseHandler, idle_since_s: float) -> bool:
        """Whether the connection is clean and safely within the upstream's idle timeout."""
        idle_s = self._loop.time() - idle_since_s
        keep_alive_s = self._options.untold_idle_s if protocol.keep_alive_s is None else protocol.keep_alive_s
        return protocol.is_reusable() and idle_s <= keep_alive_s * IDLE_FRACTION

    def open_connections(self) -> int:
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def _drop_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        if not self._conns:
            return False
        key = min(self._conns, key=lambda k: self._conns[k][0][1])
        protocol, _ = self._conns[key].popleft()
        protocol.close()
        if not self._conns[key]:
            del self._conns[key]
        return True
