"""Messages between copies as small UDP datagrams. They may be lost, so no rule depends on them."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

from madderwind.eventlog import Sparing

# A magic number that tells these messages from other datagrams, and the number of the sending copy.
HEAD = struct.Struct("<4sI")
MARK = b"mdw1"
MAX_MESSAGE_BYTES = 256

Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    """This copy's endpoint among the copies of its tier, which the configuration lists in order.

    A message is accepted only from the configured address of the copy that it names as its sender. Other or
    malformed datagrams are ignored, with rate-limited log lines.
    """

    def __init__(
        self, addresses: tuple[Address, ...], me: int, on_message: Callable[[int, bytes], None], log: Sparing
    ) -> None:
        self._addresses, self._me, self._on_message, self._log = addresses, me, on_message, log
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, shared: bool = False) -> None:
        """Listen on this copy's own address. `shared`: together with the other process of an upgrade."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, self._addresses[self._me], reuse_port=shared or None
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        mark, peer = HEAD.unpack_from(data) if len(data) >= HEAD.size else (b"", self._me)
        message = data[HEAD.size :]
        is_peer_message = mark == MARK and peer != self._me and peer < len(self._addresses)
        if is_peer_message and self._addresses[peer] == tuple(addr[:2]) and len(message) <= MAX_MESSAGE_BYTES:
            self._on_message(peer, message)
        else:
            self._log("odd_words", sender=list(addr[:2]), size=len(data))

    def error_received(self, exc: Exception) -> None:
        """Ignored: a copy may be down, and back up for the next message."""

    @property
    def closed(self) -> bool:
        return self._transport is None

    def tell(self, peer: int | None, message: bytes) -> None:
        """Send a message to one copy, or to every other one for None."""
        if self._transport is None or len(message) > MAX_MESSAGE_BYTES:
            return
        data = HEAD.pack(MARK, self._me) + message
        for number, address in enumerate(self._addresses):
            if number != self._me and peer in (None, number):
                self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None
