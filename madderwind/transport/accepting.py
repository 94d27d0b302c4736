"""Taking in the connections that wait at a listening socket, also when descriptors run short."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from madderwind.transport.limits import OWN_LIMITS

# How often it is looked whether a descriptor has come free.
LOOK_S = 0.01
# Connections taken in one go, before others have their turn.
ACCEPTS = 64


class Acceptor:
    """Accepts for one listener.

    Guards against the loop's own server, which for want of a descriptor tries once for each place in its
    queue and then accepts nothing for a second, while requests on waiting connections run out of time.

    `no_descriptor` is asked then: whether it has let one go, so that it may be tried again at once.
    `has_room` is asked before each, with how many are being taken in: the rest waits in the system's queue.
    """

    def __init__(
        self,
        protocol: Callable[[], asyncio.BaseProtocol],
        no_descriptor: Callable[[], bool],
        has_room: Callable[[int], bool] = lambda _: True,
    ) -> None:
        self._protocol, self._no_descriptor, self._has_room = protocol, no_descriptor, has_room
        self.listening: socket.socket | None = None
        self.paused = False
        self._taking_in: set[asyncio.Task[None]] = set()

    def open(self, listening: socket.socket) -> None:
        self.listening = listening
        listening.setblocking(False)
        self.resume()

    def pause(self) -> None:
        """Leave what waits to another process, which accepts from the same queue."""
        self.paused = True
        if self.listening is not None:
            asyncio.get_running_loop().remove_reader(self.listening)

    def resume(self) -> None:
        self.paused = False
        self._listen()

    def close(self, take_what_waits: bool = False) -> None:
        """Listen no more; what waits by now may be taken, and is not reset."""
        if self.listening is None:
            return
        if take_what_waits and not self.paused:
            self._accept()
        asyncio.get_running_loop().remove_reader(self.listening)
        self.listening.close()
        self.listening = None

    def _listen(self) -> None:
        if self.listening is not None and not self.paused:
            asyncio.get_running_loop().add_reader(self.listening, self._accept)

    def _accept(self) -> None:
        assert self.listening is not None
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPTS):
            if not self._has_room(len(self._taking_in)):
                self._look_again()
                return
            try:
                accepted, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in OWN_LIMITS:
                    raise
                if self._no_descriptor():
                    continue
                self._look_again()
                return
            accepted.setblocking(False)
            task = loop.create_task(self._take_in(accepted))
            self._taking_in.add(task)
            task.add_done_callback(self._taking_in.discard)

    def _look_again(self) -> None:
        assert self.listening is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listening)
        loop.call_later(LOOK_S, self._listen)

    async def _take_in(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol, accepted)
        except OSError:  # it ended while it was taken in
            accepted.close()
