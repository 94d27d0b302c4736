"""Accepts the connections pending on a listening socket, also when file descriptors run short."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from madderwind.transport.limits import OWN_LIMITS

# How long to wait before the next attempt to accept.
RETRY_INTERVAL_S = 0.01
# Connections accepted in one callback of the event loop, before other callbacks get their turn.
MAX_ACCEPTS_PER_CALLBACK = 64


class Acceptor:
    """Accepts connections for one listener.

    Guards against asyncio's own server: when file descriptors run out, it retries once for each place in its
    backlog and then accepts nothing for a second, while requests on pending connections time out.

    `on_descriptor_shortage` is called when no descriptor is free; it returns whether it has freed one, so
    that accepting can be retried at once. `has_capacity` is called before each accept with the number of
    connections still being set up; while it returns false, connections stay in the system's backlog.
    """

    def __init__(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        on_descriptor_shortage: Callable[[], bool],
        has_capacity: Callable[[int], bool] = lambda _: True,
    ) -> None:
        self._protocol_factory, self._on_descriptor_shortage, self._has_capacity = (
            protocol_factory,
            on_descriptor_shortage,
            has_capacity,
        )
        self.listening: socket.socket | None = None
        self.paused = False
        self._pending_setups: set[asyncio.Task[None]] = set()

    def open(self, listening: socket.socket) -> None:
        self.listening = listening
        listening.setblocking(False)
        self.resume()

    def pause(self) -> None:
        """Leave pending connections to another process, which accepts from the same backlog."""
        self.paused = True
        if self.listening is not None:
            asyncio.get_running_loop().remove_reader(self.listening)

    def resume(self) -> None:
        self.paused = False
        self._add_reader()

    def close(self, accept_pending: bool = False) -> None:
        """Stop listening; `accept_pending` first accepts connections in the backlog, which would be reset."""
        if self.listening is None:
            return
        if accept_pending and not self.paused:
            self._accept()
        asyncio.get_running_loop().remove_reader(self.listening)
        self.listening.close()
        self.listening = None

    def _add_reader(self) -> None:
        if self.listening is not None and not self.paused:
            asyncio.get_running_loop().add_reader(self.listening, self._accept)

    def _accept(self) -> None:
        assert self.listening is not None
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            if not self._has_capacity(len(self._pending_setups)):
                self._retry_later()
                return
            try:
                accepted, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in OWN_LIMITS:
                    raise
                if self._on_descriptor_shortage():
                    continue
                self._retry_later()
                return
            accepted.setblocking(False)
            task = loop.create_task(self._set_up_connection(accepted))
            self._pending_setups.add(task)
            task.add_done_callback(self._pending_setups.discard)

    def _retry_later(self) -> None:
        assert self.listening is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listening)
        loop.call_later(RETRY_INTERVAL_S, self._add_reader)

    async def _set_up_connection(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol_factory, accepted)
        except OSError:  # the connection was lost during its setup
            accepted.close()
