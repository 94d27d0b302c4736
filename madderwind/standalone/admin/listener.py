"""The second address on its socket: one line to a connection, one answer, and a close."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from madderwind.eventlog import EventLog, Sparing
from madderwind.standalone.admin.commands import LONGEST_CALL
from madderwind.transport.accepting import Acceptor
from madderwind.transport.limits import OWN_LIMITS

Answerer = Callable[[bytes], bytes]
# Callers hold a connection for seconds and say nothing. So many are kept; one more ends the oldest of them.
MOST_CALLS = 64
# Who has made no whole call, or not taken its answer, by then is no longer waited for.
CALL_S = 10.0
# Descriptors held back for this address.
SPARES = 4
BACKLOG = 256


class _Call(asyncio.Protocol):
    """One connection. Bounded: what comes beyond the longest call ends it."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._line = b""
        self._answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._late = asyncio.get_running_loop().call_later(CALL_S, transport.abort)
        self._listener.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._line += data[: LONGEST_CALL + 2 - len(self._line)]
        line, end, _ = self._line.partition(b"\n")
        if not end and len(self._line) <= LONGEST_CALL:
            return
        self._answered = True
        assert self.transport is not None
        self.transport.write(self._listener.answer(line.removesuffix(b"\r")))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._late.cancel()
        self._listener.closed(self)


class AdminListener:
    """Stays reachable when callers have taken every descriptor, and beside callers that say nothing."""

    def __init__(self, answerer: Answerer, log: EventLog, now_ms: Callable[[], float]) -> None:
        self._answerer, self._log_sparingly = answerer, Sparing(log, now_ms)
        self._acceptor = Acceptor(lambda: _Call(self), self._no_descriptor)
        self._calls: dict[_Call, None] = {}  # open ones, the oldest first
        self._spares: list[int] = []

    async def start(self, host: str, port: int) -> int:
        """The port that is listened on: the one asked for, or a free one for 0."""
        listening = socket.create_server((host, port), backlog=BACKLOG)
        self._hold_back()
        self._acceptor.open(listening)
        return int(listening.getsockname()[1])

    def close(self) -> None:
        self._acceptor.close()
        for call in list(self._calls):
            if call.transport is not None:
                call.transport.abort()
        while self._spares:
            os.close(self._spares.pop())

    def answer(self, line: bytes) -> bytes:
        return self._answerer(line)

    def opened(self, call: _Call) -> None:
        self._calls[call] = None
        if len(self._calls) > MOST_CALLS:
            self._end_oldest()

    def closed(self, call: _Call) -> None:
        self._calls.pop(call, None)
        if self._acceptor.listening is not None:
            self._hold_back()

    def _end_oldest(self) -> None:
        oldest = next(iter(self._calls))
        del self._calls[oldest]
        if oldest.transport is not None:
            oldest.transport.abort()

    def _hold_back(self) -> None:
        """Guards against an address that nobody reaches because callers have taken all descriptors."""
        try:
            while len(self._spares) < SPARES:
                self._spares.append(os.open(os.devnull, os.O_RDONLY))
        except OSError as error:
            if error.errno not in OWN_LIMITS:
                raise

    def _no_descriptor(self) -> bool:
        """One of those held back, if any is left; else the oldest call makes way."""
        if self._spares:
            os.close(self._spares.pop())
            return True
        if self._calls:
            self._end_oldest()
        self._log_sparingly("no_descriptor_for_the_second_address")
        return False
