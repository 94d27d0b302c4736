"""The Unix socket between two processes of one balancer.

The successor connects and gets, with a descriptor of the listening socket, a length and a message. From then
on either side writes lines of JSON: `{"serving":true}` from the successor, once, and bans and calls back as
they come. The end of the connection is the end of the other process.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from madderwind.standalone.handover.message import LONGEST_MESSAGE

HEAD = struct.Struct("!I")
# A process that is alive answers at once. Whoever waits longer starts by itself.
ANSWER_S = 1.0
LONGEST_LINE = 4096


class LinkMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line from the other process."""

    serving: bool = False
    suspend: str = ""
    restore: str = ""


class Taken(NamedTuple):
    """What the successor got: the listening socket, the message's bytes, and the link that stays."""

    listening: socket.socket
    raw: bytes
    link: Link


class Link:
    """A connection to the other process, for the overlap."""

    def __init__(self, connected: socket.socket, on_message: Callable[[LinkMessage], None]) -> None:
        self._socket, self._on_message = connected, on_message
        self._unsent: list[bytes] = []
        self._stream: asyncio.StreamWriter | None = None

    async def follow(self) -> None:
        """Hear the other process until it ends, or says what cannot be read: no version of ours does."""
        reader, self._stream = await asyncio.open_unix_connection(sock=self._socket, limit=LONGEST_LINE)
        for raw in self._unsent:
            self._stream.write(raw)
        self._unsent.clear()
        try:
            while line := await reader.readline():
                self._on_message(msgspec.json.decode(line, type=LinkMessage))
        except (OSError, ValueError, msgspec.DecodeError):
            pass
        finally:
            self._stream.close()

    def tell(self, message: LinkMessage) -> None:
        raw = msgspec.json.encode(message) + b"\n"
        if self._stream is None:
            self._unsent.append(raw)
        elif not self._stream.is_closing():
            self._stream.write(raw)

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()
        else:
            self._socket.close()


class Offer:
    """The serving process's side: waits for one successor at a time."""

    def __init__(
        self,
        path: Path,
        handed: Callable[[], tuple[socket.socket, bytes] | None],
        on_link: Callable[[socket.socket | None], None],
    ) -> None:
        self._path, self._handed, self._on_link = path, handed, on_link
        self._listening: socket.socket | None = None
        self._giving: set[asyncio.Task[None]] = set()

    def open(self) -> str:
        """Wait at the path, in the place of whoever waited there before; what went wrong, if anything."""
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            listening.setblocking(False)
            self._path.unlink(missing_ok=True)
            listening.bind(str(self._path))
            listening.listen(4)
            asyncio.get_running_loop().add_reader(listening, self._accept)
        except OSError as error:
            listening.close()
            return str(error)
        self._listening = listening
        return ""

    def close(self) -> None:
        """Wait no longer. The path is left: a successor may wait there by now."""
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def _accept(self) -> None:
        assert self._listening is not None
        try:
            connected, _ = self._listening.accept()
        except OSError:
            return  # it left, or there is no descriptor: it starts by itself
        connected.setblocking(False)
        handed = self._handed()
        if handed is None:  # another successor is there already
            connected.close()
            return
        task = asyncio.get_running_loop().create_task(self._give(connected, *handed))
        self._giving.add(task)
        task.add_done_callback(self._giving.discard)

    async def _give(self, connected: socket.socket, listening: socket.socket, raw: bytes) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                socket.send_fds(connected, [HEAD.pack(len(raw))], [listening.fileno()])
                await asyncio.get_running_loop().sock_sendall(connected, raw)
        except (OSError, TimeoutError):  # it ended, or takes nothing
            connected.close()
            self._on_link(None)
        else:
            self._on_link(connected)


async def take_over(path: Path, on_message: Callable[[LinkMessage], None]) -> Taken | None:
    """What the serving process at this path hands over; None where there is none, or it says nothing."""
    loop = asyncio.get_running_loop()
    connected = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connected.setblocking(False)
    listening: socket.socket | None = None
    try:
        async with asyncio.timeout(ANSWER_S):
            await loop.sock_connect(connected, str(path))
            head, descriptors = await _head(loop, connected)
            if descriptors:
                listening = socket.socket(fileno=descriptors[0])
                listening.setblocking(False)
            (size,) = HEAD.unpack(head)
            if listening is None or size > LONGEST_MESSAGE:
                raise ValueError("no descriptor, or too long")
            raw = b""
            while len(raw) < size:
                part = await loop.sock_recv(connected, min(size - len(raw), 65536))
                if not part:
                    raise ValueError("cut short")
                raw += part
        return Taken(listening, raw, Link(connected, on_message))
    except (OSError, ValueError, struct.error, TimeoutError):
        connected.close()
        if listening is not None:
            listening.close()
        return None


async def _head(loop: asyncio.AbstractEventLoop, connected: socket.socket) -> tuple[bytes, list[int]]:
    """The first bytes, and the descriptors that come with them."""
    readable = asyncio.Event()
    loop.add_reader(connected, readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(connected)
    head, descriptors, _, _ = socket.recv_fds(connected, HEAD.size, 1)
    for descriptor in descriptors:
        os.set_inheritable(descriptor, False)
    return head, descriptors
