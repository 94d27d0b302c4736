"""Listening for callers, on aiohttp's low-level server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.web_protocol import RequestHandler

from madderwind.eventlog import EventLog
from madderwind.transport.limits import OWN_LIMITS
from madderwind.transport.unread import has_unread

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Callers keep connections; one that stands idle for longer than this is forgotten by its caller.
IDLE_S = 75.0
BACKLOG = 1024
# How long a caller has for the rest of a request that was answered before it was whole.
LINGER_S = 1.0
# How often it is looked whether connections or descriptors have come free.
LOOK_S = 0.01
FIRST_LOOK_S = 0.05
# Connections taken in one go, before others have their turn.
ACCEPTS = 64


class _Connections(web.Server):
    """Closes the connections idle for longest while more are open than there are descriptors for.

    Guards against requests lost because their connection waits to be accepted for want of a descriptor. A
    client whose request crosses such a close sends it once more.
    """

    most = 0

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.make_room(self.over())

    def over(self) -> int:
        """How many more are open than there are descriptors for. Asked at every answer: copies nothing."""
        return len(self._connections) - self.most

    def make_room(self, count: int) -> None:
        """Close so many of those that are idle, the longest first, and none that has had no request yet.

        Guards against closing a connection as its first request comes: only between requests do clients send
        again what crosses a close.
        """
        if count <= 0:
            return
        used = (c for c in self._connections if c._request_count)
        for connection in sorted(used, key=lambda c: c._next_keepalive_close_time):
            if is_idle(connection):
                connection.force_close()
                count -= 1
                if not count:
                    return


class Listener:
    """Accepts callers' connections. A client that goes away cancels its handler."""

    def __init__(self, handler: Handler, longest_body: int, most_connections: int, log: EventLog) -> None:
        self._handler = handler
        self._longest_body = longest_body
        self._log = log
        self._socket: socket.socket | None = None
        self._taking_in: set[asyncio.Task[None]] = set()
        self._open = 0
        self._ending = False
        self._web = _Connections(
            self._handle,
            request_factory=self._request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_S,
            lingering_time=LINGER_S,
        )
        self._web.most = most_connections

    def _request(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=self._longest_body
        )

    async def start(self, host: str, port: int) -> int:
        """The port that is listened on: the one asked for, or a free one for 0."""
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._listen()
        return int(self._socket.getsockname()[1])

    def _listen(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Take the connections that wait.

        Guards against the loop's own server, which for want of a descriptor tries once for each place in its
        queue and then accepts nothing for a second, while requests on waiting connections run out of time.
        """
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPTS):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in OWN_LIMITS:
                    raise
                loop.remove_reader(self._socket)
                loop.call_later(LOOK_S, self._listen)
                self._log("no_descriptor_to_accept_with", connections=len(self._web.connections))
                self._web.make_room(1)
                return
            accepted.setblocking(False)
            task = loop.create_task(self._take_in(accepted))
            self._taking_in.add(task)
            task.add_done_callback(self._taking_in.discard)

    async def _take_in(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self._web, accepted)
        except OSError:  # it ended while it was taken in
            accepted.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._open += 1
        try:
            response = await self._handler(request)
        finally:
            self._open -= 1
        if self._ending or self._web.over() > 0:
            response.force_close()
        return response

    def announce_end(self) -> None:
        """Answers from here on close their connection; new connections are still taken."""
        self._ending = True

    def close_idle(self) -> None:
        """Close the connections that stand between requests.

        Guards against requests lost at a restart: `RequestHandler.close` leaves the connection open with
        nobody to read it, so a request written to it would never be answered.
        """
        for connection in self._web.connections:
            if is_idle(connection):
                connection.force_close()

    async def finish(self, within_s: float) -> int:
        """Stop listening, close connections as they come free, and wait for those still open.

        How many requests are open after this time.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        if self._socket is not None:
            self._accept()  # what waits by now is taken, not reset
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
            await asyncio.sleep(FIRST_LOOK_S)  # what was just taken has time for its first request
        while True:
            self.close_idle()
            if not self._web.connections or loop.time() >= until_s:
                return self._open
            await asyncio.sleep(LOOK_S)


class BadBody(ValueError):
    """A body that is too long, broken, or never whole, with the status that says so."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


async def whole_body(request: web.BaseRequest, within_s: float) -> bytes:
    """The body as it came. Callers that ask first are told to go on."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0  # or the answer's own headers would count as sent
    if not request.body_exists:
        return b""
    try:
        async with asyncio.timeout(within_s):
            return await request.read()
    except TimeoutError:
        raise BadBody(408, "the body never came whole") from None
    except web.HTTPRequestEntityTooLarge:
        raise BadBody(413, "the body is too long") from None
    except (web.RequestPayloadError, BadHttpMessage) as error:
        raise BadBody(400, f"the body cannot be read: {type(error).__name__}") from None


def is_idle(connection: RequestHandler) -> bool:
    """Whether it waits for its next request, with nothing unhandled and nothing to be read."""
    waiter, transport = connection._waiter, connection.transport
    if waiter is None or waiter.done() or connection._messages or transport is None:
        return False
    return not has_unread(transport)
