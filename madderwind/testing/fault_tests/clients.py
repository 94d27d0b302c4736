"""Clients, as a process: an open loop, in which every time counts from the moment that was meant."""

from __future__ import annotations

import asyncio
import re

from madderwind.testing.fault_tests.part import Part, play
from madderwind.testing.fault_tests.schedule import Arrival, arrivals
from madderwind.testing.fault_tests.traces import ENDLESS_MS, Asked
from madderwind.testing.fault_tests.wire import read_message

WAITS_ON_MS = 1000.0  # beyond a request's time, so that a late answer is seen as late
CONNECT_S = 1.0
CROSSED = 10_000_000  # between the numbers of one request's tries
BODY = re.compile(rb'^\{"number":(\d+),"upstream":(\d+)\}$')
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class _Connection:
    """A connection that is kept. Between requests nothing may come on it but its end."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.last: Asked | None = None
        self._watch: asyncio.Task[None] | None = None
        self.ended = False

    def rest(self) -> None:
        self._watch = asyncio.create_task(self._resting())

    async def _resting(self) -> None:
        try:
            while extra := await self.reader.read(4096):
                if self.last is not None:
                    self.last.extra += len(extra)
        except ConnectionError:
            pass
        self.ended = True
        self.writer.close()

    async def wake(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            await asyncio.wait([self._watch])
            self._watch = None


class Clients(Part):
    async def start(self) -> None:
        self._arrivals = arrivals(self.plan.scenario, self.plan.schedule)
        self._idle: dict[int, list[_Connection]] = {n: [] for n in self.plan.copies()}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last: dict[int, Asked] = {}  # by request: its last try

    def begin(self) -> None:
        self._playing = asyncio.create_task(self._play())

    async def _play(self) -> None:
        for arrival in self._arrivals:
            await self.clock.until(arrival.at_ms)
            task = asyncio.create_task(self._ask(arrival))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        await self._playing
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _ask(self, arrival: Arrival) -> None:
        klass = self.plan.scenario.load.classes[arrival.class_index]
        asked = Asked(arrival.number, arrival.copy, arrival.class_index, arrival.at_ms)
        asked.deadline_ms = arrival.at_ms + klass.deadline_ms
        self.seen.asked.append(asked)
        self._last[asked.number] = asked
        left_s = (asked.deadline_ms + WAITS_ON_MS - self.clock.now_ms) / 1000
        try:
            async with asyncio.timeout(left_s):
                await self._exchange(asked, klass.name, klass.effect)
        except TimeoutError:
            asked = self._last[arrival.number]
            asked.how = "none" if asked.written_ms > -ENDLESS_MS else "untaken"
        del self._last[arrival.number]

    async def _exchange(self, asked: Asked, name: str, effect: str) -> None:
        """On a kept connection, once more on a new one where that ended under the request; and at the next
        copy, as by a front, where this one takes none."""
        first = asked.copy
        for step in range(self.plan.scenario.copies):
            asked.copy = (first + step) % self.plan.scenario.copies
            while (kept := await self._kept(asked.copy)) is not None:
                if await self._on(kept, asked, name, effect) or asked.how == "closed":
                    return
                asked = self._once_more(asked)
            try:
                async with asyncio.timeout(CONNECT_S):
                    fresh = _Connection(*await asyncio.open_connection(*self.plan.copy(asked.copy)))
            except (OSError, TimeoutError):
                continue
            if not await self._on(fresh, asked, name, effect):
                asked.how = "closed"
            return
        asked.how = "untaken"

    def _once_more(self, asked: Asked) -> Asked:
        """Under a number of its own: the copy may have read what its connection's end crossed."""
        asked.how, asked.ended_ms = "crossed", self.clock.now_ms
        again = Asked(asked.number + CROSSED, asked.copy, asked.class_index, asked.intended_ms)
        again.deadline_ms = asked.deadline_ms
        self.seen.asked.append(again)
        self._last[asked.number % CROSSED] = again
        return again

    async def _kept(self, copy: int) -> _Connection | None:
        while self._idle[copy]:
            connection = self._idle[copy].pop()
            await connection.wake()
            if not connection.ended:
                return connection
        return None

    async def _on(self, connection: _Connection, asked: Asked, name: str, effect: str) -> bool:
        """Whether an answer came. A kept connection that ends with no byte of one is tried anew by the
        caller; one that ends in the middle of an answer has `closed` it."""
        writer, kept = connection.writer, connection.last is not None
        wait_ms = max(1, round(asked.deadline_ms - self.clock.now_ms))
        body = b"{}" if METHODS[effect] == "POST" else b""
        lines = [
            f"{METHODS[effect]} /{name} HTTP/1.1",
            "Host: app.svc",
            f"X-Trace-Id: {asked.number:016x}",
            "X-Customer: acme",
            f"X-Expires-In-Ms: {wait_ms}",
        ]
        if effect == "keyed":
            lines.append(f"Idempotency-Key: {asked.number:032x}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        connection.last = asked
        finished = False
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            asked.written_ms = self.clock.now_ms
            message = await read_message(connection.reader)
            finished = True
        except asyncio.IncompleteReadError as error:
            if error.partial or not kept:
                asked.how, asked.ended_ms = "closed", self.clock.now_ms
            return False
        except (ConnectionError, ValueError):
            return False
        finally:
            if not finished:
                writer.transport.abort()
        asked.ended_ms, asked.how, asked.status = self.clock.now_ms, "answered", message.status
        if found := BODY.match(message.body):
            asked.told, asked.served_by = int(found[1]), int(found[2])
        if message.header("Connection") == "close":
            writer.close()
        else:
            connection.rest()
            self._idle[asked.copy].append(connection)
        return True


if __name__ == "__main__":
    play(Clients)
