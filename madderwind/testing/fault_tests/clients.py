"""The process of the clients: open-loop load, with latencies counted from the intended send time."""

from __future__ import annotations

import asyncio
import re

from madderwind.testing.fault_tests.part import RigProcess, run_process
from madderwind.testing.fault_tests.schedule import Arrival, arrivals
from madderwind.testing.fault_tests.traces import ENDLESS_MS, RequestTrace
from madderwind.testing.fault_tests.wire import read_message

LATE_ANSWER_WAIT_MS = 1000.0  # wait after a request's deadline, so that a late answer is recorded as late
CONNECT_S = 1.0
RETRY_NUMBER_OFFSET = 10_000_000  # offset between the numbers of a request and of its retry
BODY = re.compile(rb'^\{"number":(\d+),"upstream":(\d+)\}$')
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class _Connection:
    """A keep-alive connection. Any byte received between two requests is recorded as extra."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.last: RequestTrace | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self.ended = False

    def watch_idle(self) -> None:
        self._watch_task = asyncio.create_task(self._read_until_closed())

    async def _read_until_closed(self) -> None:
        try:
            while extra := await self.reader.read(4096):
                if self.last is not None:
                    self.last.extra += len(extra)
        except ConnectionError:
            pass
        self.ended = True
        self.writer.close()

    async def stop_watching(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            await asyncio.wait([self._watch_task])
            self._watch_task = None


class Clients(RigProcess):
    async def start(self) -> None:
        self._arrivals = arrivals(self.plan.scenario, self.plan.schedule)
        self._idle: dict[int, list[_Connection]] = {n: [] for n in self.plan.copies()}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_attempt: dict[int, RequestTrace] = {}  # by request number: its last attempt

    def begin(self) -> None:
        self._sending = asyncio.create_task(self._send_arrivals())

    async def _send_arrivals(self) -> None:
        for arrival in self._arrivals:
            await self.clock.until(arrival.at_ms)
            task = asyncio.create_task(self._send_request(arrival))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        await self._sending
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _send_request(self, arrival: Arrival) -> None:
        request_class = self.plan.scenario.load.classes[arrival.class_index]
        trace = RequestTrace(arrival.number, arrival.copy, arrival.class_index, arrival.at_ms)
        trace.deadline_ms = arrival.at_ms + request_class.deadline_ms
        self.seen.asked.append(trace)
        self._last_attempt[trace.number] = trace
        left_s = (trace.deadline_ms + LATE_ANSWER_WAIT_MS - self.clock.now_ms) / 1000
        try:
            async with asyncio.timeout(left_s):
                await self._exchange(trace, request_class.name, request_class.effect)
        except TimeoutError:
            trace = self._last_attempt[arrival.number]
            trace.how = "none" if trace.written_ms > -ENDLESS_MS else "untaken"
        del self._last_attempt[arrival.number]

    async def _exchange(self, trace: RequestTrace, name: str, effect: str) -> None:
        """Send on an idle connection, and retry on another one if the copy closed it during the request. If
        a copy accepts no connection, use the next one, as a load balancer in front of the copies does."""
        first_copy = trace.copy
        for step in range(self.plan.scenario.copies):
            trace.copy = (first_copy + step) % self.plan.scenario.copies
            while (reused := await self._take_idle(trace.copy)) is not None:
                if await self._exchange_on(reused, trace, name, effect) or trace.how == "closed":
                    return
                trace = self._record_retry(trace)
            try:
                async with asyncio.timeout(CONNECT_S):
                    new_connection = _Connection(*await asyncio.open_connection(*self.plan.copy(trace.copy)))
            except (OSError, TimeoutError):
                continue
            if not await self._exchange_on(new_connection, trace, name, effect):
                trace.how = "closed"
            return
        trace.how = "untaken"

    def _record_retry(self, trace: RequestTrace) -> RequestTrace:
        """Record the retry under its own number, because the copy may have read the request although it
        closed the connection."""
        trace.how, trace.ended_ms = "crossed", self.clock.now_ms
        retry = RequestTrace(
            trace.number + RETRY_NUMBER_OFFSET, trace.copy, trace.class_index, trace.intended_ms
        )
        retry.deadline_ms = trace.deadline_ms
        self.seen.asked.append(retry)
        self._last_attempt[trace.number % RETRY_NUMBER_OFFSET] = retry
        return retry

    async def _take_idle(self, copy: int) -> _Connection | None:
        while self._idle[copy]:
            connection = self._idle[copy].pop()
            await connection.stop_watching()
            if not connection.ended:
                return connection
        return None

    async def _exchange_on(
        self, connection: _Connection, trace: RequestTrace, name: str, effect: str
    ) -> bool:
        """Whether an answer came. The caller retries if a reused connection ends before the first byte of the
        answer; if it ends in the middle of an answer, the request is recorded as `closed`."""
        writer, reused = connection.writer, connection.last is not None
        wait_ms = max(1, round(trace.deadline_ms - self.clock.now_ms))
        body = b"{}" if METHODS[effect] == "POST" else b""
        lines = [
            f"{METHODS[effect]} /{name} HTTP/1.1",
            "Host: app.svc",
            f"X-Trace-Id: {trace.number:016x}",
            "X-Customer: acme",
            f"X-Expires-In-Ms: {wait_ms}",
        ]
        if effect == "keyed":
            lines.append(f"Idempotency-Key: {trace.number:032x}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        connection.last = trace
        finished = False
        try:
            trace.write_began_ms = self.clock.now_ms
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            trace.written_ms = self.clock.now_ms
            message = await read_message(connection.reader)
            finished = True
        except asyncio.IncompleteReadError as error:
            if error.partial or not reused:
                trace.how, trace.ended_ms = "closed", self.clock.now_ms
            return False
        except (ConnectionError, ValueError):
            return False
        finally:
            if not finished:
                writer.transport.abort()
        trace.ended_ms, trace.how, trace.status = self.clock.now_ms, "answered", message.status
        if found := BODY.match(message.body):
            trace.told, trace.served_by = int(found[1]), int(found[2])
        if message.header("Connection") == "close":
            writer.close()
        else:
            connection.watch_idle()
            self._idle[trace.copy].append(connection)
        return True


if __name__ == "__main__":
    run_process(Clients)
