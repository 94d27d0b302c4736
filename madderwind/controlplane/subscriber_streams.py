"""The connections of subscribed data planes, each with a bounded queue; a slow reader is disconnected."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from madderwind.controlplane.frames import ByteBudget, FrameQueue
from madderwind.distribution.deliveries import Close, SendTo, SendToAll
from madderwind.messages.distribution import ToDataPlane, to_data_plane

# Fits a complete configuration and the messages sent along with it.
MAX_QUEUED_BYTES = 12 * 1024 * 1024
# Frames of at least this length are copied into socket buffers only within a budget of all connections.
LARGE_FRAME_BYTES = 64 * 1024
MAX_LARGE_BYTES_IN_FLIGHT = 64 * 1024 * 1024


@attrs.define
class _Stream:
    transport: asyncio.BaseTransport
    queue: FrameQueue


class SubscriberStreams:
    """Queues frames for data planes, with one queue per connection."""

    def __init__(self) -> None:
        self._streams: dict[int, _Stream] = {}
        self._last_connection = 0
        self._encoded_message: ToDataPlane | None = None
        self._encoded_frame = b""
        self._large_frames = ByteBudget(MAX_LARGE_BYTES_IN_FLIGHT)

    def open(self, transport: asyncio.BaseTransport) -> int:
        """Register a connection and return its number."""
        self._last_connection += 1
        self._streams[self._last_connection] = _Stream(transport, FrameQueue(MAX_QUEUED_BYTES))
        return self._last_connection

    def remove(self, connection: int) -> None:
        """Remove a closed connection."""
        self._streams.pop(connection, None)

    async def send_queued(self, connection: int, socket: web.WebSocketResponse) -> None:
        """Send the frames queued for a connection, until cancelled."""

        async def send(frame: bytes) -> None:
            if len(frame) < LARGE_FRAME_BYTES:
                await socket.send_bytes(frame)
                return
            async with self._large_frames.reserved(len(frame)):
                await socket.send_bytes(frame)

        await self._streams[connection].queue.send_all(send)

    def send_to(self, delivery: SendTo) -> None:
        """Queue a message for one connection."""
        if (stream := self._streams.get(delivery.connection)) is not None:
            self._offer(stream, self._frame(delivery.message))

    def send_to_all(self, delivery: SendToAll) -> None:
        """Queue a message for all connections; it is encoded once."""
        frame = self._frame(delivery.message)
        for stream in self._streams.values():
            self._offer(stream, frame)

    def close(self, delivery: Close) -> None:
        """Abort a connection."""
        if (stream := self._streams.get(delivery.connection)) is not None:
            _abort(stream.transport)

    def close_all(self) -> None:
        """Close all connections."""
        for stream in self._streams.values():
            stream.transport.close()

    def _frame(self, message: ToDataPlane) -> bytes:
        """Encode a message, or return the cached frame if it is the one encoded last."""
        if message is not self._encoded_message:
            self._encoded_message, self._encoded_frame = message, to_data_plane.encode(message)
        return self._encoded_frame

    def _offer(self, stream: _Stream, frame: bytes) -> None:
        if not stream.queue.offer(asyncio.get_running_loop().time(), frame):
            _abort(stream.transport)


def _abort(transport: asyncio.BaseTransport) -> None:
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
    else:
        transport.close()
