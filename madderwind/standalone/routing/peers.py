"""Words between copies: small datagrams, which may be lost. No rule rests on them."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

from madderwind.eventlog import Sparing

# A mark that tells our words from whatever else comes to a port, and the number of the copy that speaks.
HEAD = struct.Struct("<4sI")
MARK = b"mdw1"
LONGEST_WORDS = 256

Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    """This copy's place among the copies of its tier, which the configuration names in order.

    Guards against words from elsewhere: only what comes from the very address of the copy that it names is
    handed on. What cannot be read is passed over, and logged sparingly.
    """

    def __init__(
        self, addresses: tuple[Address, ...], me: int, heard: Callable[[int, bytes], None], log: Sparing
    ) -> None:
        self._addresses, self._me, self._heard, self._log = addresses, me, heard, log
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, shared: bool = False) -> None:
        """Listen where this copy's own address says. `shared`: beside the other process of an upgrade."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, self._addresses[self._me], reuse_port=shared or None
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        mark, peer = HEAD.unpack_from(data) if len(data) >= HEAD.size else (b"", self._me)
        words = data[HEAD.size :]
        another = mark == MARK and peer != self._me and peer < len(self._addresses)
        if another and self._addresses[peer] == tuple(addr[:2]) and len(words) <= LONGEST_WORDS:
            self._heard(peer, words)
        else:
            self._log("odd_words", sender=list(addr[:2]), size=len(data))

    def error_received(self, exc: Exception) -> None:
        """A copy that is down: the next words may find it up."""

    @property
    def closed(self) -> bool:
        return self._transport is None

    def tell(self, peer: int | None, words: bytes) -> None:
        """To one copy, or to every other one."""
        if self._transport is None or len(words) > LONGEST_WORDS:
            return
        data = HEAD.pack(MARK, self._me) + words
        for number, address in enumerate(self._addresses):
            if number != self._me and peer in (None, number):
                self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None
