"""The connections of subscribed data planes, each with a bounded queue; one that does not read is dropped."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from madderwind.controlplane.frames import FrameQueue
from madderwind.distribution.publisher import Close, SendTo, SendToAll
from madderwind.messages.distribution import to_data_plane

# A whole configuration and what comes beside it.
MOST_QUEUED_BYTES = 12 * 1024 * 1024


@attrs.define
class _Stream:
    transport: asyncio.BaseTransport
    queue: FrameQueue


class SubscriberStreams:
    """Queues frames for data planes by connection."""

    def __init__(self) -> None:
        self._streams: dict[int, _Stream] = {}
        self._last_connection = 0

    def open(self, transport: asyncio.BaseTransport) -> int:
        """A new connection's number."""
        self._last_connection += 1
        self._streams[self._last_connection] = _Stream(transport, FrameQueue(MOST_QUEUED_BYTES))
        return self._last_connection

    def forget(self, connection: int) -> None:
        """The connection ended."""
        self._streams.pop(connection, None)

    async def send_queued(self, connection: int, socket: web.WebSocketResponse) -> None:
        """Send what is queued for a connection, until cancelled."""
        await self._streams[connection].queue.send_all(socket.send_bytes)

    def send_to(self, effect: SendTo) -> None:
        """Queue a message for one."""
        if (stream := self._streams.get(effect.connection)) is not None:
            self._offer(stream, to_data_plane.encode(effect.message))

    def send_to_all(self, effect: SendToAll) -> None:
        """Queue a message for all, encoded once."""
        frame = to_data_plane.encode(effect.message)
        for stream in self._streams.values():
            self._offer(stream, frame)

    def close(self, effect: Close) -> None:
        """End a connection."""
        if (stream := self._streams.get(effect.connection)) is not None:
            _abort(stream.transport)

    def close_all(self) -> None:
        """End all connections."""
        for stream in self._streams.values():
            stream.transport.close()

    def _offer(self, stream: _Stream, frame: bytes) -> None:
        if not stream.queue.offer(asyncio.get_running_loop().time(), frame):
            _abort(stream.transport)


def _abort(transport: asyncio.BaseTransport) -> None:
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
    else:
        transport.close()
