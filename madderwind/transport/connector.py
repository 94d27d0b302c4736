"""Connections to upstreams, no more of them than this machine has descriptors for."""

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

from madderwind.transport.answering import PASSING_STALL_S, OneAnswer
from madderwind.transport.connection_trust import ConnectionTrust, UnconditionalTrust
from madderwind.transport.encoded_request import current_request
from madderwind.transport.gated_request import NotWrittenError

# Idle connections are given up this part of the upstream's idle time: one that it may be closing is not used.
IDLE_PART = 0.8


class ConnectionOptions(NamedTuple):
    """What differs between the programs.

    `stall_s`: the longest silence within an answer, None for the time in which a connection comes up;
    `passing_stall_s`: the same within one that passes on, 0 for no bound of its own;
    `untold_idle_s`: how long a connection is kept whose upstream did not tell, where that is less;
    `starts_when_whole`: whether upstreams start a request only once they have its last byte. Else its first
    byte may be enough, as they answer before they have read the body.
    """

    socket_factory: Callable[[Any], socket.socket] | None = None
    stall_s: float | None = None
    passing_stall_s: float = PASSING_STALL_S
    distrusts_resets: bool = True
    untold_idle_s: float = float("inf")
    starts_when_whole: bool = True


class BoundedConnector(aiohttp.TCPConnector):
    """Holds no more connections than its part of this machine's descriptors.

    Guards against callers' connections that cannot be accepted for want of a descriptor: their requests would
    be lost. An idle connection makes way for a new one; where none is idle the attempt is not written.
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
        factory = functools.partial(OneAnswer, loop, stall_s, options.passing_stall_s)
        self._factory = factory  # type: ignore[assignment]

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        self._drop_unclean(req.connection_key)
        if not self._conns.get(req.connection_key) and self.held() >= self.most and not self._drop_idle():
            raise NotWrittenError
        return await super().connect(req, traces, timeout)

    def _drop_unclean(self, key: ConnectionKey) -> None:
        """Until the next connection to be taken is one to trust, which is neither ended nor written to.

        Guards against an attempt on a connection that has ended unread: a reset that may have run.
        """
        idle = self._conns.get(key)
        may_reuse = self.trust.may_reuse(self._loop.time(), current_request.get().may_repeat)
        while idle:
            protocol, since_s = idle[0]
            if may_reuse and isinstance(protocol, OneAnswer) and self._is_kept(protocol, since_s):
                return
            idle.popleft()
            protocol.close()
        self._conns.pop(key, None)

    def _is_kept(self, protocol: OneAnswer, since_s: float) -> bool:
        """Whether it is clean, and its upstream still keeps it by what it told."""
        idle_s = self._loop.time() - since_s
        kept_s = self._options.untold_idle_s if protocol.kept_s is None else protocol.kept_s
        return protocol.clean() and idle_s <= kept_s * IDLE_PART

    def held(self) -> int:
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def _drop_idle(self) -> bool:
        """Close the connection that has been idle for longest; whether there was one."""
        if not self._conns:
            return False
        key = min(self._conns, key=lambda k: self._conns[k][0][1])
        protocol, _ = self._conns[key].popleft()
        protocol.close()
        if not self._conns[key]:
            del self._conns[key]
        return True
