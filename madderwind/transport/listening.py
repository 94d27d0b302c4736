"""Accepts callers' connections, on aiohttp's low-level server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from madderwind.eventlog import EventLog
from madderwind.transport.accepting import RETRY_INTERVAL_S, Acceptor
from madderwind.transport.lingering_close import LingeringConnections, LingeringTransport
from madderwind.transport.unread import has_unread

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# The server's own idle limit. The limits here are shorter; idle times are computed from this one.
SERVER_KEEPALIVE_S = 3600.0
# A connection without an open request may be closed after 2 s. Callers that send one request and stay would
# hold memory and descriptors indefinitely; callers that continue come back sooner than this limit.
IDLE_S = 5.0
# Callers send as soon as they are connected, and may take 2 s for a head. A connection that has sent nothing,
# or an incomplete head, is owed an error or a close within 3 s. When descriptors run short, a new connection
# is spared for the second, shorter time only.
FIRST_REQUEST_TIMEOUT_S, FIRST_REQUEST_GRACE_S = 2.5, 0.5
# How often connections are checked against both limits.
SWEEP_INTERVAL_S = 0.25
BACKLOG = 1024
# Callers may use their half of the descriptors, and of the other half what is left after a reserve for
# connections to upstreams: the open ones plus the first fraction, and never less than the second fraction.
UPSTREAM_GROWTH_FRACTION, MIN_UPSTREAM_FRACTION = 0.125, 0.25
# Default limit of a line in a request's head.
MAX_LINE_BYTES = 8190
# How many requests may be queued behind another one on a connection.
MAX_QUEUED_REQUESTS = 4
# Read-ahead of a long body: at most twice this.
READ_BUFFER = 64 * 1024
FIRST_REQUEST_WAIT_S = 0.05


class CallerTimes(NamedTuple):
    """How long callers' connections may be idle between requests, and before their first one."""

    idle_s: float = IDLE_S
    first_request_timeout_s: float = FIRST_REQUEST_TIMEOUT_S


class CallersRequest(web.BaseRequest):
    """A request that can tell whether its connection closes after the response.

    This is asked before a long response starts.
    """

    is_last: Callable[[], bool]


class _CallerConnection(RequestHandler):
    """A caller's connection, with the time when it was opened."""

    __slots__ = ("made_s",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.made_s = self._loop.time()
        assert isinstance(self._manager, _ConnectionServer)
        super().connection_made(LingeringTransport.wrap(transport, self, self._manager.lingering))

    @property
    def idle_since_s(self) -> float:
        """Since when the connection has been waiting for its next request, if it is waiting."""
        return self._next_keepalive_close_time - SERVER_KEEPALIVE_S if self._request_count else self.made_s


class _ConnectionServer(web.Server):
    """Closes the connections that are idle longest while more are open than the descriptors allow.

    Guards against requests that are lost because their connection cannot be accepted for lack of a
    descriptor. A client whose request crosses such a close sends it once more.
    """

    most = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.lingering: LingeringConnections = {}
        self.times = CallerTimes()

    def __call__(self) -> RequestHandler:
        return _CallerConnection(self, loop=self._loop, **self._kwargs)

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.free_descriptors(len(self._connections) - self.most)

    def excess(self) -> int:
        """How many connections exceed the descriptors, without those that can be closed at once.

        Called for every response, so it copies nothing.
        """
        return len(self._connections) - len(self.lingering) - self.most

    def free_descriptors(self, count: int) -> None:
        """Close up to `count` idle connections, longest idle first; new ones get a moment for a request.

        Guards against closing a connection as its first request arrives: clients resend a request that
        crosses a close only on a connection that has already served one.
        """
        if count <= 0:
            return
        for lingering in list(self.lingering)[:count]:
            lingering.abort()
            count -= 1
        opened_before_s = self._loop.time() - FIRST_REQUEST_GRACE_S
        candidates = (c for c in self._callers() if c._request_count or c.made_s <= opened_before_s)
        for connection in sorted(candidates, key=lambda c: (not c._request_count, c.idle_since_s)):
            if count <= 0:
                return
            if is_idle(connection) and (transport := connection.transport) is not None:
                connection.force_close()
                transport.abort()  # frees the descriptor at once
                count -= 1

    def close_timed_out(self) -> int:
        """Close connections that exceeded their idle limit; return how many of them never sent a request.

        Guards against callers that open hundreds of connections and send nothing: each holds a descriptor.
        """
        now_s, silent = self._loop.time(), 0
        for connection in list(self._callers()):
            limit_s = self.times.idle_s if connection._request_count else self.times.first_request_timeout_s
            if now_s - connection.idle_since_s >= limit_s and is_idle(connection):
                silent += not connection._request_count
                connection.force_close()
        return silent

    def _callers(self) -> Iterator[_CallerConnection]:
        return (c for c in self._connections if isinstance(c, _CallerConnection))


class Listener:
    """Accepts callers' connections. A client that disconnects cancels its handler."""

    def __init__(
        self,
        handler: Handler,
        most_connections: int,
        log: EventLog,
        count_upstream_connections: Callable[[], int] = lambda: 0,
        longest_line: int = MAX_LINE_BYTES,
    ) -> None:
        """`count_upstream_connections`: connections to upstreams get as many descriptors as callers.

        `longest_line` limits the lines of a request's head, in bytes.
        """
        self._handler, self._count_upstream_connections = handler, count_upstream_connections
        self._log = log
        self._open = 0
        self._is_stopping = False
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._web = _ConnectionServer(
            self._handle,
            request_factory=self._build_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=SERVER_KEEPALIVE_S,
            read_bufsize=READ_BUFFER,
            max_line_size=longest_line,
            max_field_size=longest_line,
            lingering_time=0,  # after an early response nothing more of the request is read
        )
        self._web.most = most_connections
        self._acceptor = Acceptor(self._web, self._on_descriptor_shortage, self._has_capacity)

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return CallersRequest(message, payload, protocol, writer, task, loop)

    async def start(
        self, host: str, port: int, listening: socket.socket | None = None, reuse_port: bool = False
    ) -> int:
        """Start listening; return the port, which is a free one if `port` is 0.

        `listening`: a socket that another process already listens on, to be used instead of a new one.
        """
        if listening is None:
            listening = socket.create_server((host, port), backlog=BACKLOG, reuse_port=reuse_port)
        self._acceptor.open(listening)
        self._sweep()
        return int(listening.getsockname()[1])

    @property
    def listening(self) -> socket.socket | None:
        return self._acceptor.listening

    def hand_on(self, handed_on: bool) -> None:
        """Set whether another process accepts from the same backlog in place of this one.

        Callers move there as their connections close after the next response. Without that process this one
        accepts again.
        """
        if handed_on:
            self._acceptor.pause()
        else:
            self._acceptor.resume()

    def share(self, most_connections: int) -> None:
        """Set how many connections the listener may hold from now on."""
        self._web.most = most_connections

    def tune(self, times: CallerTimes) -> None:
        """Set how long connections may be idle from now on."""
        self._web.times = times

    @property
    def open_requests(self) -> int:
        """How many requests are being handled."""
        return self._open

    def begin_ending(self) -> None:
        """Keep accepting, but close each connection after its next response, until `finish`."""
        self._is_stopping = True

    def _sweep(self) -> None:
        if silent := self._web.close_timed_out():
            self._log("silent_callers_closed", count=silent)
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _has_capacity(self, pending_setups: int) -> bool:
        """Whether accepting one more connection leaves the other users of descriptors what they need.

        Guards against callers that open hundreds of connections at once and send nothing: until their idle
        limit they would hold every descriptor, also those of the discovery watch and of upstreams.
        """
        most, callers = self._web.most, len(self._web.connections) + pending_setups
        spare = max(
            self._count_upstream_connections() + most * UPSTREAM_GROWTH_FRACTION, most * MIN_UPSTREAM_FRACTION
        )
        if callers < most or callers + spare < 2 * most:
            return True
        self._web.free_descriptors(1)
        return False

    def _on_descriptor_shortage(self) -> bool:
        """Close an idle connection; its descriptor becomes free a moment later."""
        self._log("no_descriptor_to_accept_with", connections=len(self._web.connections))
        self._web.free_descriptors(1)
        return False

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if len(request.protocol._messages) > MAX_QUEUED_REQUESTS:
            # Guards against hundreds of requests at once, which would take time from all others: the
            # connection gets one error and is closed.
            rejection = web.Response(status=400, text="too many requests at a time\n")
            rejection.force_close()
            return rejection
        self._open += 1
        try:
            assert isinstance(request, CallersRequest)
            request.is_last = self._is_last
            response = await self._handler(request)
        finally:
            self._open -= 1
        if self._is_last():
            response.force_close()
        return response

    def _is_last(self) -> bool:
        """Whether a connection closes after its next response."""
        return self._is_stopping or self._acceptor.paused or self._web.excess() > 0

    async def serve_on(self, until_s: float) -> None:
        """Stop accepting, and keep serving the open connections while there are any, until `until_s`.

        Guards against sending callers away while another balancer is down too. `until_s`: the loop's clock.
        """
        loop = asyncio.get_running_loop()
        if self._acceptor.listening is not None:
            self._acceptor.close(accept_pending=True)
            # connections accepted last get time for their first request
            await asyncio.sleep(FIRST_REQUEST_WAIT_S)
        while self._web.connections and loop.time() < until_s:
            await asyncio.sleep(RETRY_INTERVAL_S)

    def close_idle(self) -> None:
        """Close the connections that are waiting for their next request.

        Guards against requests lost at a restart: `RequestHandler.close` leaves the connection open without a
        reader, so that a request written to it would never be answered.
        """
        for connection in self._web.connections:
            if is_idle(connection):
                connection.force_close()

    async def finish(self, within_s: float) -> int:
        """Stop listening, close connections as they become idle, and wait for the open requests.

        Returns how many requests are still open after `within_s`.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        self._is_stopping = True  # responses from here on close their connection
        await self.serve_on(0.0)
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        while True:
            self.close_idle()
            if not self._web.connections or loop.time() >= until_s:
                return self._open
            await asyncio.sleep(RETRY_INTERVAL_S)


def is_idle(connection: RequestHandler) -> bool:
    """Whether the connection waits for its next request, with nothing queued and nothing unread."""
    waiter, transport = connection._waiter, connection.transport
    if waiter is None or waiter.done() or connection._messages or transport is None:
        return False
    return not has_unread(transport)
