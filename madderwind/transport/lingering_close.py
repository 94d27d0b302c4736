"""A lingering close: how this side closes a connection to a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

# How long the peer may take to close its sending side, and how many bytes it may send until then; these are
# read and discarded.
LINGER_S, LINGER_BYTES = 1.0, 1024 * 1024


class LingeringTransport:
    """A transport whose `close` shuts down the sending side, discards what still arrives, and closes once the
    peer has closed too, within limits of time and bytes.

    Guards against closing a socket with unread bytes: this causes a reset, which discards the part of the
    last response that the system has not yet sent. Bytes that arrive after the shutdown cannot be answered.
    """

    def __init__(
        self, transport: asyncio.Transport, protocol: asyncio.Protocol, lingering: LingeringConnections
    ) -> None:
        self._transport, self._protocol, self._lingering = transport, protocol, lingering

    @classmethod
    def wrap(
        cls, transport: asyncio.BaseTransport, protocol: asyncio.Protocol, lingering: LingeringConnections
    ) -> asyncio.Transport:
        return cast(asyncio.Transport, cls(cast(asyncio.Transport, transport), protocol, lingering))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        return self in self._lingering or self._transport.is_closing()

    def close(self) -> None:
        if self.is_closing():
            return
        self._lingering[self] = None
        self._transport.set_protocol(_DrainProtocol(self._transport, self._ended))
        try:
            self._transport.write_eof()  # follows everything that is still buffered
            self._transport.resume_reading()
        except OSError:  # the peer has reset the connection
            self._transport.abort()

    def _ended(self, exc: Exception | None) -> None:
        del self._lingering[self]
        self._protocol.connection_lost(exc)


# Transports that wait for the peer's close, the oldest first; each still holds its descriptor.
LingeringConnections = dict[LingeringTransport, None]


class _DrainProtocol(asyncio.Protocol):
    """Discards what arrives after the sending side was shut down."""

    def __init__(self, transport: asyncio.Transport, on_end: Callable[[Exception | None], None]) -> None:
        self._transport, self._on_end = transport, on_end
        self._bytes_left = LINGER_BYTES
        self._abort_timer = asyncio.get_running_loop().call_later(LINGER_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._abort_timer.cancel()
        self._on_end(exc)
