"""Relays of connections, as a process: from some copies to all upstreams and to discovery's agents."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from contextlib import suppress

from madderwind.drill.part import Part, play
from madderwind.drill.plan import DISCOVERY, Address
from madderwind.drill.scenario import LinkFault
from madderwind.drill.traces import ENDLESS_MS, Sent

TRACE_ID = re.compile(rb"\r\nx-trace-id: ([0-9a-f]+)\r\n", re.IGNORECASE)
NEVER_RAN = re.compile(rb"\r\nx-never-ran: 1\r\n", re.IGNORECASE)
PIECE_BYTES = 1 << 16
MOST_HELD = 64  # pieces that a connection holds while nothing passes
RESETTING = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class _Connection:
    """One connection of a copy and, once that is up, its way on. Each way is a task; what a copy writes is
    read also while nothing passes, so that it is seen when it is sent and when it is given up."""

    def __init__(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._link, self._reader, self._writer = link, reader, writer
        self._held: asyncio.Queue[bytes] = asyncio.Queue(MOST_HELD)
        self._on: asyncio.StreamWriter | None = None
        self._attempt: Sent | None = None
        self._taken_ms = link.now_ms

    async def run(self) -> None:
        tasks = [asyncio.create_task(self._take()), asyncio.create_task(self._pass_on())]
        try:
            await asyncio.gather(*tasks)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            self._ended()
            for writer in (self._writer, self._on):
                if writer is not None:
                    writer.transport.abort()

    def reset(self) -> None:
        reset(self._writer)

    def _ended(self) -> None:
        if self._attempt is not None:
            self._attempt.ended_ms = self._link.now_ms
            self._attempt = None

    async def _take(self) -> None:
        """What the copy writes, as it comes."""
        while piece := await self._reader.read(PIECE_BYTES):
            if self._attempt is None and (found := TRACE_ID.search(piece)):
                self._attempt = self._link.saw(int(found[1], 16))
            if self._link.kind == "reset":
                self.reset()
                raise ConnectionResetError
            await self._held.put(piece)
        self._ended()  # given up, or over
        await self._held.put(b"")

    async def _pass_on(self) -> None:
        """What it wrote, on to the other end, once anything passes."""
        back: asyncio.Task[None] | None = None
        try:
            while piece := await self._held.get():
                await self._link.passes()
                if self._on is None:
                    if self._link.restarted_since(self._taken_ms):
                        self.reset()  # the process that would have known of this connection is gone
                        raise ConnectionResetError
                    reader, self._on = await asyncio.open_connection(
                        *self._link.target, local_addr=self._link.source
                    )
                    back = asyncio.create_task(self._pass_back(reader))
                self._on.write(piece)
            await self._link.passes()
        finally:
            if back is not None:
                back.cancel()
        raise ConnectionResetError  # the copy's side has ended

    async def _pass_back(self, reader: asyncio.StreamReader) -> None:
        try:
            while piece := await reader.read(PIECE_BYTES):
                await self._link.passes()
                if self._attempt is not None:
                    self._attempt.turned_away = NEVER_RAN.search(piece) is not None
                self._ended()
                self._writer.write(piece)
            await self._link.passes()
            self._writer.close()
        except ConnectionError:
            await self._link.passes()
            self.reset()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
    writer.transport.abort()


class Link:
    """The way from one copy to one upstream, or to its agent."""

    def __init__(self, part: Links, copy: int, upstream: int, target: Address) -> None:
        self._part, self._copy, self._upstream, self.target = part, copy, upstream, target
        self.source = part.plan.source(copy)
        self.kind, self._late_ms = "", 0.0
        self._open = asyncio.Event()
        self._open.set()
        self._socket: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._filler: socket.socket | None = None
        self._connections: dict[_Connection, asyncio.Task[None]] = {}

    @property
    def now_ms(self) -> float:
        return self._part.clock.now_ms

    def saw(self, number: int) -> Sent:
        """An attempt's beginning."""
        sent = Sent(self._copy, self._upstream, number, self.now_ms)
        self._part.seen.sent.append(sent)
        return sent

    def restarted_since(self, at_ms: float) -> bool:
        """Whether the upstream's process is another than the one of that time."""
        return any(at_ms < back_ms <= self.now_ms for back_ms in self._part.restarts.get(self._upstream, ()))

    async def passes(self) -> None:
        await self._open.wait()
        if self._late_ms:
            await asyncio.sleep(self._late_ms / 1000)
            await self._open.wait()

    def listen(self) -> None:
        host, port = self._part.plan.link(self._copy, self._upstream)
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(128)
        self._accepting = asyncio.create_task(self._accept(self._socket))

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                taken, _ = await loop.sock_accept(listening)
                reader, writer = await asyncio.open_connection(sock=taken)
            except OSError:
                continue  # it was gone before it was taken
            connection = _Connection(self, reader, writer)
            task = self._connections[connection] = asyncio.create_task(connection.run())
            task.add_done_callback(lambda _, c=connection: self._connections.pop(c, None))  # type: ignore[misc]

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
            self._close()
        elif kind == "vanish":
            self._never_come_up()

    def _close(self) -> None:
        assert self._socket is not None and self._accepting is not None
        self._accepting.cancel()
        self._socket.close()
        for connection in list(self._connections):
            connection.reset()

    def _never_come_up(self) -> None:
        """With its queue full, a listener drops what would connect: that goes unanswered."""
        assert self._socket is not None and self._accepting is not None
        self._accepting.cancel()
        self._socket.listen(0)
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


class Links(Part):
    """The links of the copies of one shard."""

    async def start(self) -> None:
        plan = self.plan
        self.restarts = plan.starts_ms()
        self._links: dict[tuple[int, int], Link] = {}
        for copy in range(self.shard, plan.scenario.copies, plan.shards):
            for upstream in plan.upstreams():
                self._links[copy, upstream] = Link(self, copy, upstream, plan.upstream(upstream))
            self._links[copy, DISCOVERY] = Link(self, copy, DISCOVERY, plan.agents)
        for link in self._links.values():
            link.listen()

    def begin(self) -> None:
        self._turns = self.turns(LinkFault)
        self.at_edges(self._turns, self._change)

    def _change(self) -> None:
        """Each link as the faults on it make it now; of several the last begun counts."""
        now_ms = self.clock.now_ms + 0.5  # a timer may be early by a hair
        states: dict[tuple[int, int], tuple[str, float]] = {}
        for turn in self._turns:
            fault = self.plan.scenario.faults[turn.fault]
            if not isinstance(fault, LinkFault) or not turn.on(now_ms):
                continue
            for copy in turn.copies:
                for end in (*turn.upstreams, *((DISCOVERY,) if fault.discovery else ())):
                    states[copy, end] = (fault.kind, fault.late_ms if fault.kind == "slow" else 0.0)
        for ends, link in self._links.items():
            link.be(*states.get(ends, ("", 0.0)))

    async def finish(self) -> None:
        """An attempt still open has no end that was seen."""
        for sent in self.seen.sent:
            if sent.ended_ms > self.clock.now_ms:
                sent.ended_ms = ENDLESS_MS


if __name__ == "__main__":
    play(Links)
