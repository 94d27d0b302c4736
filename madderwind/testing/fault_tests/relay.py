"""A relay of connections that can be made to refuse, reset, keep silent, vanish or be late."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

Address = tuple[str, int]
PIECE_BYTES = 1 << 16
MOST_HELD = 64  # pieces that a connection holds while nothing passes
RESETTING = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
MS_PER_S = 1000.0


class RelayedConnection:
    """One connection and, once that is up, its way on. Each way is a task; what the connecting side writes is
    read also while nothing passes, so that it is seen when it is sent and when it is given up."""

    def __init__(self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._relay, self._reader, self.writer = relay, reader, writer
        self._held: asyncio.Queue[bytes] = asyncio.Queue(MOST_HELD)
        self._on: asyncio.StreamWriter | None = None

    # --- what others may want to know ---

    def wrote(self, piece: bytes) -> None:
        """The connecting side wrote this."""

    def answered(self, piece: bytes) -> None:
        """The other side's bytes, as they pass back."""

    def ended(self) -> None:
        """The connecting side has ended, or given up."""

    def may_connect(self) -> bool:
        """Whether the other side is still the one that the connection was meant for."""
        return True

    # --- its life ---

    async def run(self) -> None:
        """Pass on until one side ends."""
        try:
            async with asyncio.TaskGroup() as ways:
                ways.create_task(self._take())
                ways.create_task(self._pass_on(ways))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended()
            for writer in (self.writer, self._on):
                if writer is not None:
                    writer.transport.abort()

    def reset(self) -> None:
        """End it as a process that died does."""
        reset(self.writer)

    async def _take(self) -> None:
        """What the connecting side writes, as it comes."""
        while piece := await self._reader.read(PIECE_BYTES):
            self.wrote(piece)
            if self._relay.kind == "reset":
                self.reset()
                raise ConnectionResetError
            await self._held.put(piece)
        self.ended()  # given up, or over
        await self._held.put(b"")

    async def _pass_on(self, ways: asyncio.TaskGroup) -> None:
        """What it wrote, on to the other end, once anything passes."""
        while piece := await self._held.get():
            await self._relay.passes(self)
            if self._on is None:
                if not self.may_connect():
                    self.reset()
                    raise ConnectionResetError
                reader, self._on = await self._relay.connect_on()
                ways.create_task(self._pass_back(reader))
            self._on.write(piece)
        await self._relay.passes(self)
        raise ConnectionResetError  # the connecting side has ended

    async def _pass_back(self, reader: asyncio.StreamReader) -> None:
        try:
            while piece := await reader.read(PIECE_BYTES):
                await self._relay.passes(self)
                self.answered(piece)
                self.writer.write(piece)
            await self._relay.passes(self)
            self.writer.close()
        except ConnectionError:
            await self._relay.passes(self)
            self.reset()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
    writer.transport.abort()


async def _readable(listening: socket.socket) -> None:
    """Return once a connection waits. The loop's own accept raises in the loop where it is cancelled late."""
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def tell() -> None:
        if not ready.done():
            ready.set_result(None)

    loop.add_reader(listening, tell)
    try:
        await ready
    finally:
        if listening.fileno() >= 0:
            loop.remove_reader(listening)


class Relay:
    """The way from `address` to `target`. `kind` is what a fault makes of it, empty for none."""

    def __init__(self, address: Address, target: Address, source: Address | None = None) -> None:
        self.address, self.target, self.source = address, target, source
        self.kind, self._late_ms = "", 0.0
        self._open = asyncio.Event()
        self._open.set()
        self._socket: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._filler: socket.socket | None = None
        self._connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> RelayedConnection:
        """The object for a connection that was accepted."""
        return RelayedConnection(self, reader, writer)

    @property
    def connections(self) -> list[RelayedConnection]:
        """Those that are open."""
        return list(self._connections)

    async def passes(self, connection: RelayedConnection) -> None:
        """Return once bytes of this connection may pass."""
        await self._open.wait()
        if self._late_ms:
            await asyncio.sleep(self._late_ms / MS_PER_S)
            await self._open.wait()

    async def connect_on(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A connection to the target."""
        return await asyncio.open_connection(*self.target, local_addr=self.source)

    def listen(self) -> None:
        """Take connections."""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        self._socket.listen(128)
        self._accepting = asyncio.create_task(self._accept(self._socket))

    def close(self) -> None:
        """Take no more connections and reset those that are open."""
        self._stop_accepting().close()
        for connection in list(self._connections):
            connection.reset()

    async def end(self) -> None:
        """Close for good, and return once nothing of it is left."""
        self.be("", 0.0)
        self.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _stop_accepting(self) -> socket.socket:
        """At once: the socket, which nothing waits on any more."""
        assert self._socket is not None and self._accepting is not None
        self._accepting.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        return self._socket

    async def _accept(self, listening: socket.socket) -> None:
        """Take connections until cancelled; one that is gone again already is passed over."""
        while True:
            await _readable(listening)
            with suppress(OSError):
                taken, _ = listening.accept()
                taken.setblocking(False)
                task = asyncio.create_task(self._serve(taken))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _serve(self, taken: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=taken)
        except OSError:
            return
        connection = self.connection(reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def be(self, kind: str, late_ms: float) -> None:
        """Change to what a fault makes of it; no kind is none."""
        if (kind, late_ms) == (self.kind, self._late_ms):
            return
        before, self.kind, self._late_ms = self.kind, kind, late_ms
        if before == "refuse":
            self.listen()
        elif before == "vanish":
            self._come_up()
        if kind in ("silent", "vanish"):
            self._open.clear()
        else:
            self._open.set()
        if kind == "refuse":
            self.close()
        elif kind == "vanish":
            self._never_come_up()

    def _never_come_up(self) -> None:
        """With its queue full, a listener drops what would connect: that goes unanswered."""
        self._stop_accepting().listen(0)
        assert self._socket is not None
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(self._socket.getsockname())

    def _come_up(self) -> None:
        assert self._socket is not None and self._filler is not None
        self._filler.close()
        # Guards against one that got into the queue before it was full: it would pass on what was given up
        # long ago as if it were sent now.
        with suppress(BlockingIOError):
            while True:
                taken, _ = self._socket.accept()
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
                taken.close()
        self._socket.listen(128)
        self._accepting = asyncio.create_task(self._accept(self._socket))
