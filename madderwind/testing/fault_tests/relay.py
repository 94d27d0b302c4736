"""A TCP relay that can refuse, reset, stall, drop or delay connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

Address = tuple[str, int]
CHUNK_BYTES = 1 << 16
MAX_BUFFERED_CHUNKS = 64  # limit on chunks that a connection buffers while nothing is forwarded
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0: close sends a reset
MS_PER_S = 1000.0


class RelayedConnection:
    """An accepted connection and, once established, the connection to the target. Each direction is a task.
    The client's bytes are read also while nothing is forwarded, so that the times at which the client sends
    or closes are observed."""

    def __init__(self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._relay, self._reader, self.writer = relay, reader, writer
        self._buffered: asyncio.Queue[bytes] = asyncio.Queue(MAX_BUFFERED_CHUNKS)
        self._on: asyncio.StreamWriter | None = None

    def wrote(self, piece: bytes) -> None:
        """Called with bytes that the client wrote."""

    def answered(self, piece: bytes) -> None:
        """Called with the target's bytes when they are forwarded to the client."""

    def ended(self) -> None:
        """Called when the client has closed or aborted the connection."""

    def may_connect(self) -> bool:
        """Whether the target is still the process that the connection was meant for."""
        return True

    async def run(self) -> None:
        """Forward in both directions until one side ends."""
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._read_client())
                directions.create_task(self._forward(directions))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended()
            for writer in (self.writer, self._on):
                if writer is not None:
                    writer.transport.abort()

    def reset(self) -> None:
        """Reset the connection, as the death of a process does."""
        reset(self.writer)

    async def _read_client(self) -> None:
        """Read the client's bytes as they arrive."""
        while piece := await self._reader.read(CHUNK_BYTES):
            self.wrote(piece)
            if self._relay.kind == "reset":
                self.reset()
                raise ConnectionResetError
            await self._buffered.put(piece)
        self.ended()  # the client closed or aborted
        await self._buffered.put(b"")

    async def _forward(self, directions: asyncio.TaskGroup) -> None:
        """Forward the client's bytes to the target once forwarding is possible."""
        while piece := await self._buffered.get():
            await self._relay.passes(self)
            if self._on is None:
                if not self.may_connect():
                    self.reset()
                    raise ConnectionResetError
                reader, self._on = await self._relay.connect_on()
                directions.create_task(self._forward_answers(reader))
            self._on.write(piece)
        await self._relay.passes(self)
        raise ConnectionResetError  # the client has ended

    async def _forward_answers(self, reader: asyncio.StreamReader) -> None:
        try:
            while piece := await reader.read(CHUNK_BYTES):
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
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _readable(listening: socket.socket) -> None:
    """Return once a connection can be accepted. The event loop's own accept raises in the loop if cancelled
    late."""
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def notify() -> None:
        if not ready.done():
            ready.set_result(None)

    loop.add_reader(listening, notify)
    try:
        await ready
    finally:
        if listening.fileno() >= 0:
            loop.remove_reader(listening)


class Relay:
    """Relays from `address` to `target`. `kind` is the kind of the active fault, empty for none."""

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
        """Create the object for an accepted connection."""
        return RelayedConnection(self, reader, writer)

    @property
    def connections(self) -> list[RelayedConnection]:
        """The open connections."""
        return list(self._connections)

    async def passes(self, connection: RelayedConnection) -> None:
        """Return once bytes of this connection may be forwarded."""
        await self._open.wait()
        if self._late_ms:
            await asyncio.sleep(self._late_ms / MS_PER_S)
            await self._open.wait()

    async def connect_on(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the target."""
        return await asyncio.open_connection(*self.target, local_addr=self.source)

    def listen(self) -> None:
        """Accept connections."""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        self._socket.listen(128)
        self._accepting = asyncio.create_task(self._accept(self._socket))

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._stop_accepting().close()
        for connection in list(self._connections):
            connection.reset()

    async def end(self) -> None:
        """Close for good, and return once all tasks have ended."""
        self.be("", 0.0)
        self.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _stop_accepting(self) -> socket.socket:
        """Stop accepting at once and return the listening socket, which no task waits on any more."""
        assert self._socket is not None and self._accepting is not None
        self._accepting.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        return self._socket

    async def _accept(self, listening: socket.socket) -> None:
        """Accept connections until cancelled; skip one that the client has already closed."""
        while True:
            await _readable(listening)
            with suppress(OSError):
                accepted, _ = listening.accept()
                accepted.setblocking(False)
                task = asyncio.create_task(self._serve(accepted))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=accepted)
        except OSError:
            return
        connection = self.connection(reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def be(self, kind: str, late_ms: float) -> None:
        """Apply a fault of this kind; an empty kind ends the fault."""
        if (kind, late_ms) == (self.kind, self._late_ms):
            return
        previous, self.kind, self._late_ms = self.kind, kind, late_ms
        if previous == "refuse":
            self.listen()
        elif previous == "vanish":
            self._resume_listening()
        if kind in ("silent", "vanish"):
            self._open.clear()
        else:
            self._open.set()
        if kind == "refuse":
            self.close()
        elif kind == "vanish":
            self._fill_listen_queue()

    def _fill_listen_queue(self) -> None:
        """Fill the listen queue, so that the kernel drops connection attempts without an answer."""
        self._stop_accepting().listen(0)
        assert self._socket is not None
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(self._socket.getsockname())

    def _resume_listening(self) -> None:
        assert self._socket is not None and self._filler is not None
        self._filler.close()
        # Resets connections that entered the queue before it was full: their bytes, which the client gave up
        # long ago, would be forwarded as if sent now.
        with suppress(BlockingIOError):
            while True:
                accepted, _ = self._socket.accept()
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                accepted.close()
        self._socket.listen(128)
        self._accepting = asyncio.create_task(self._accept(self._socket))
