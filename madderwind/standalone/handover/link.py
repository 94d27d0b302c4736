"""The Unix socket between two processes of one balancer.

The successor connects and receives a length and a message, together with a descriptor of the listening
socket. From then on either side writes lines of JSON: the successor once writes `{"serving":true}`, and both
forward an operator's bans and their removal. The end of the connection means the end of the other process.
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

from madderwind.standalone.handover.message import MAX_MESSAGE_BYTES

HEAD = struct.Struct("!I")
# Time limit of a handover. A live process answers at once; after this time the successor starts on its own.
ANSWER_S = 1.0
MAX_LINE_BYTES = 4096


class LinkMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line on the link: the sender serves, or an upstream's name to suspend or restore."""

    serving: bool = False
    suspend: str = ""
    restore: str = ""


class ReceivedHandover(NamedTuple):
    """The result of a handover: the listening socket, the encoded message and the link, which stays open."""

    listening: socket.socket
    raw: bytes
    link: Link


class Link:
    """The connection to the other process while both run."""

    def __init__(self, connection: socket.socket, on_message: Callable[[LinkMessage], None]) -> None:
        self._socket, self._on_message = connection, on_message
        self._unsent: list[bytes] = []
        self._stream: asyncio.StreamWriter | None = None

    async def follow(self) -> None:
        """Handle messages until the other process ends or sends a malformed line, which no version does."""
        reader, self._stream = await asyncio.open_unix_connection(sock=self._socket, limit=MAX_LINE_BYTES)
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

    def send(self, message: LinkMessage) -> None:
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
    """The serving process's side: accepts one successor at a time."""

    def __init__(
        self,
        path: Path,
        prepare_handover: Callable[[], tuple[socket.socket, bytes] | None],
        on_link: Callable[[socket.socket | None], None],
    ) -> None:
        self._path, self._prepare_handover, self._on_link = path, prepare_handover, on_link
        self._listening: socket.socket | None = None
        self._send_tasks: set[asyncio.Task[None]] = set()

    def open(self) -> str:
        """Listen at the path in place of any earlier listener; returns an error message or ""."""
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
        """Stop listening. The path stays, as a successor may already listen there."""
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def _accept(self) -> None:
        assert self._listening is not None
        try:
            connection, _ = self._listening.accept()
        except OSError:
            return  # the successor is gone or no descriptor is left; it starts on its own
        connection.setblocking(False)
        handover = self._prepare_handover()
        if handover is None:  # another successor is already connected
            connection.close()
            return
        task = asyncio.get_running_loop().create_task(self._send_handover(connection, *handover))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _send_handover(self, connection: socket.socket, listening: socket.socket, raw: bytes) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                socket.send_fds(connection, [HEAD.pack(len(raw))], [listening.fileno()])
                await asyncio.get_running_loop().sock_sendall(connection, raw)
        except (OSError, TimeoutError):  # the successor ended or does not read
            connection.close()
            self._on_link(None)
        else:
            self._on_link(connection)


async def take_over(path: Path, on_message: Callable[[LinkMessage], None]) -> ReceivedHandover | None:
    """Receive the handover from the serving process at this path; None if no process answers or it fails."""
    loop = asyncio.get_running_loop()
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.setblocking(False)
    listening: socket.socket | None = None
    try:
        async with asyncio.timeout(ANSWER_S):
            await loop.sock_connect(connection, str(path))
            header, descriptors = await _receive_header(loop, connection)
            if descriptors:
                listening = socket.socket(fileno=descriptors[0])
                listening.setblocking(False)
            (size,) = HEAD.unpack(header)
            if listening is None or size > MAX_MESSAGE_BYTES:
                raise ValueError("no descriptor, or message too long")
            raw = b""
            while len(raw) < size:
                chunk = await loop.sock_recv(connection, min(size - len(raw), 65536))
                if not chunk:
                    raise ValueError("truncated message")
                raw += chunk
        return ReceivedHandover(listening, raw, Link(connection, on_message))
    except (OSError, ValueError, struct.error, TimeoutError):
        connection.close()
        if listening is not None:
            listening.close()
        return None


async def _receive_header(
    loop: asyncio.AbstractEventLoop, connection: socket.socket
) -> tuple[bytes, list[int]]:
    """Receive the length header and the descriptors sent with it."""
    readable = asyncio.Event()
    loop.add_reader(connection, readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(connection)
    header, descriptors, _, _ = socket.recv_fds(connection, HEAD.size, 1)
    for descriptor in descriptors:
        os.set_inheritable(descriptor, False)
    return header, descriptors
