"""The server for other control planes and for data planes, each connected by a WebSocket."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from aiohttp import WSMsgType, web

from madderwind.controlplane.host import ControlPlaneHost
from madderwind.controlplane.sockets import set_options
from madderwind.errors import MessageError
from madderwind.log_events.control_plane import (
    DATA_PLANE_UNSUBSCRIBED,
    INVALID_CONTROL_PLANE_MESSAGE,
    INVALID_DATA_PLANE_MESSAGE,
)
from madderwind.messages.codec import WEBSOCKET_LIMIT_BYTES, Codec
from madderwind.messages.distribution import Subscribe, to_control_plane
from madderwind.messages.peering import Hello, peer_frames
from madderwind.structured_log import Log, write_line

FIRST_MESSAGE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.2

MessageType = TypeVar("MessageType")


class InternalServer:
    """Accepts connections of control planes at /replica and of data planes at /subscribe."""

    def __init__(self, host: ControlPlaneHost, log: Log) -> None:
        self._host, self._log = host, log
        self._peers: dict[str, asyncio.Transport] = {}

    def application(self) -> web.Application:
        """The aiohttp application with the server's routes."""
        application = web.Application()
        application.router.add_get("/replica", self._serve_peer_connection)
        application.router.add_get("/subscribe", self._serve_subscription)
        return application

    async def _serve_peer_connection(self, request: web.Request) -> web.WebSocketResponse:
        connection = await _accept_connection(request)
        try:
            hello = await _next_message(connection, peer_frames, FIRST_MESSAGE_TIMEOUT_S)
            if isinstance(hello, Hello):
                self._replace_connection(hello.sender, _transport(request))
                while (message := await _next_message(connection, peer_frames)) is not None:
                    self._host.handle_peer_message(hello.sender, message)
        except MessageError as error:
            line = INVALID_CONTROL_PLANE_MESSAGE.line(peer=request.remote, reason=str(error))
            write_line(self._log, line)
        finally:
            await connection.close()
        return connection

    def _replace_connection(self, sender: str, transport: asyncio.Transport) -> None:
        """Abort a peer's older connection: a peer has one, and no longer uses the older."""
        older = self._peers.get(sender)
        if older is not None:
            older.abort()
        self._peers[sender] = transport

    async def _serve_subscription(self, request: web.Request) -> web.WebSocketResponse:
        connection = await _accept_connection(request)
        try:
            first = await _next_message(connection, to_control_plane, FIRST_MESSAGE_TIMEOUT_S)
            if isinstance(first, Subscribe):
                await self._serve_data_plane(_transport(request), connection, first)
        except MessageError as error:
            line = INVALID_DATA_PLANE_MESSAGE.line(peer=request.remote, reason=str(error))
            write_line(self._log, line)
        finally:
            await connection.close()
        return connection

    async def _serve_data_plane(
        self, transport: asyncio.Transport, connection: web.WebSocketResponse, first: Subscribe
    ) -> None:
        streams = self._host.streams
        number = streams.open(transport)
        sending = asyncio.create_task(streams.send_queued(number, connection))
        try:
            self._host.subscribe(number, first)
            while (message := await _next_message(connection, to_control_plane)) is not None:
                self._host.handle_data_plane_message(number, message)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            streams.remove(number)
            self._host.handle_data_plane_closed(number)
            write_line(self._log, DATA_PLANE_UNSUBSCRIBED.line(data_plane=first.node))


async def _accept_connection(request: web.Request) -> web.WebSocketResponse:
    tcp_socket = _transport(request).get_extra_info("socket")
    if tcp_socket is not None:
        set_options(tcp_socket)
    connection = web.WebSocketResponse(
        compress=False, max_msg_size=WEBSOCKET_LIMIT_BYTES, timeout=CLOSE_TIMEOUT_S
    )
    await connection.prepare(request)
    return connection


def _transport(request: web.Request) -> asyncio.Transport:
    transport = request.transport
    if transport is None:
        raise web.HTTPBadRequest
    return transport


async def _next_message(
    connection: web.WebSocketResponse, codec: Codec[MessageType], timeout_s: float | None = None
) -> MessageType | None:
    """The next message, or None after a timeout or the connection's end; raises MessageError."""
    try:
        frame = await connection.receive(timeout_s)
    except TimeoutError:
        return None
    if frame.type is WSMsgType.BINARY:
        return codec.decode(frame.data)
    if frame.type is WSMsgType.TEXT:
        raise MessageError("expected a binary frame, got a text frame")
    return None
