"""The socket of the admin address: each connection sends one line, gets one answer and is closed."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from madderwind.eventlog import EventLog, Sparing
from madderwind.standalone.admin.commands import MAX_COMMAND_BYTES
from madderwind.transport.accepting import Acceptor
from madderwind.transport.limits import OWN_LIMITS

LineHandler = Callable[[bytes], bytes]
# Clients may hold a connection for seconds without sending. Above this number the oldest is closed.
MOST_CALLS = 64
# Limit for a connection to send a whole command and to read its answer.
CONNECTION_TIMEOUT_S = 10.0
# File descriptors reserved for this address.
SPARES = 4
BACKLOG = 256


class _Connection(asyncio.Protocol):
    """One connection. A line longer than the longest command ends it."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._line = b""
        self._answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._timeout = asyncio.get_running_loop().call_later(CONNECTION_TIMEOUT_S, transport.abort)
        self._listener.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._line += data[: MAX_COMMAND_BYTES + 2 - len(self._line)]
        line, end, _ = self._line.partition(b"\n")
        if not end and len(self._line) <= MAX_COMMAND_BYTES:
            return
        self._answered = True
        assert self.transport is not None
        self.transport.write(self._listener.answer(line.removesuffix(b"\r")))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._timeout.cancel()
        self._listener.closed(self)


class AdminListener:
    """Stays reachable when clients hold all file descriptors, and beside clients that send nothing."""

    def __init__(self, answer_line: LineHandler, log: EventLog, now_ms: Callable[[], float]) -> None:
        self._answer_line, self._log_sparingly = answer_line, Sparing(log, now_ms)
        self._acceptor = Acceptor(lambda: _Connection(self), self._free_descriptor)
        self._connections: dict[_Connection, None] = {}  # open connections, the oldest first
        self._reserved: list[int] = []

    async def start(self, host: str, port: int) -> int:
        """Start listening, and return the port: the requested one, or a free one for 0."""
        listening = socket.create_server((host, port), backlog=BACKLOG)
        self._reserve_descriptors()
        self._acceptor.open(listening)
        return int(listening.getsockname()[1])

    def close(self) -> None:
        self._acceptor.close()
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()
        while self._reserved:
            os.close(self._reserved.pop())

    def answer(self, line: bytes) -> bytes:
        return self._answer_line(line)

    def opened(self, connection: _Connection) -> None:
        self._connections[connection] = None
        if len(self._connections) > MOST_CALLS:
            self._close_oldest()

    def closed(self, connection: _Connection) -> None:
        self._connections.pop(connection, None)
        if self._acceptor.listening is not None:
            self._reserve_descriptors()

    def _close_oldest(self) -> None:
        oldest = next(iter(self._connections))
        del self._connections[oldest]
        if oldest.transport is not None:
            oldest.transport.abort()

    def _reserve_descriptors(self) -> None:
        """Reserve descriptors, so that the address stays reachable when clients hold all others."""
        try:
            while len(self._reserved) < SPARES:
                self._reserved.append(os.open(os.devnull, os.O_RDONLY))
        except OSError as error:
            if error.errno not in OWN_LIMITS:
                raise

    def _free_descriptor(self) -> bool:
        """Free a reserved descriptor and return True; without one, close the oldest connection instead."""
        if self._reserved:
            os.close(self._reserved.pop())
            return True
        if self._connections:
            self._close_oldest()
        self._log_sparingly("no_descriptor_for_the_second_address")
        return False
