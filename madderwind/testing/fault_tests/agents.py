"""Discovery's agents, as a process: one a copy, each of which may be late, silent, or hold an older list."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from madderwind.testing.fault_tests.part import Part, play
from madderwind.testing.fault_tests.plan import FIRST_REVISION, copy_of, member
from madderwind.testing.fault_tests.scenario import ListFault, UpstreamFault
from madderwind.testing.fault_tests.traces import Told
from madderwind.testing.fault_tests.wire import chunk, read_message

KEEPALIVE_S = 2.0


class Agents(Part):
    async def start(self) -> None:
        # What discovery has to say, from the drill's schedule: when, of which upstream, its phase and start.
        news: list[tuple[float, int, str, float]] = []
        for turn in self.turns(UpstreamFault):
            fault = self.plan.scenario.faults[turn.fault]
            assert isinstance(fault, UpstreamFault)
            for upstream in turn.upstreams:
                if fault.kind == "restart":
                    told_ms = turn.end_ms + fault.told_after_s * 1000
                    news.append((told_ms, upstream, "Ready", turn.end_ms))
                elif fault.kind == "drain":
                    news.append((turn.begin_ms, upstream, "Terminating", 0.0))
                    news.append((turn.end_ms, upstream, "Gone", 0.0))
        self._news = sorted(news)
        self._faults = self.turns(ListFault)
        edges = {at for turn in self._faults for at in (turn.begin_ms, turn.end_ms)} | {n[0] for n in news}
        edges |= {
            at + f.late_ms for at in edges for f in self.plan.scenario.faults if isinstance(f, ListFault)
        }
        self._edges = sorted(edges)
        self._moved = asyncio.Condition()
        await asyncio.start_server(self._serve, *self.plan.agents)

    def begin(self) -> None:
        for edge_ms in self._edges:
            self.clock.at(edge_ms + 1, self._wake)

    def _wake(self) -> None:
        async def wake() -> None:
            async with self._moved:
                self._moved.notify_all()

        asyncio.get_running_loop().create_task(wake())

    def _has(self, copy: int) -> tuple[int, bool]:
        """How many of the news this copy's agent has now, and whether it speaks."""
        now_ms, late_ms, until_ms, speaks = self.clock.now_ms, 0.0, float("inf"), True
        for turn in self._faults:
            fault = self.plan.scenario.faults[turn.fault]
            if not isinstance(fault, ListFault) or copy not in turn.copies or not turn.on(now_ms):
                continue
            if fault.kind == "silent":
                speaks = False
            elif fault.kind == "late":
                late_ms += fault.late_ms
            else:
                until_ms = min(until_ms, turn.begin_ms)
        return sum(at_ms <= min(now_ms - late_ms, until_ms) for at_ms, *_ in self._news), speaks

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy = copy_of(writer.get_extra_info("peername"))
        try:
            message = await read_message(reader)
            asked = parse_qs(urlsplit(message.start.split(" ")[1]).query)
            ended = asyncio.create_task(reader.read())
            telling = asyncio.create_task(self._watch(copy, writer, int(asked.get("from", ["0"])[0])))
            await asyncio.wait((ended, telling), return_when=asyncio.FIRST_COMPLETED)
            telling.cancel()
            ended.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _watch(self, copy: int, writer: asyncio.StreamWriter, known: int) -> None:
        """A watch: what it lacks as changes, or the whole list to one that says that it knows more than
        this agent has."""
        await self._until_speaks(copy)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = known - FIRST_REVISION
        if not 0 <= told <= self._has(copy)[0]:
            told = self._has(copy)[0]
            self._tell(writer, copy, told, self._whole(told), True)
        else:
            self._tell(writer, copy, told, {}, False)
        while True:
            await self._until_speaks(copy)
            has, _ = self._has(copy)
            if has > told:
                fresh = {news[1]: news for news in self._news[told:has]}
                told = has
                self._tell(writer, copy, told, fresh, False)
            try:
                async with asyncio.timeout(KEEPALIVE_S), self._moved:
                    await self._moved.wait()
            except TimeoutError:
                if self._has(copy)[1]:
                    writer.write(chunk(b"\n"))

    async def _until_speaks(self, copy: int) -> None:
        while not self._has(copy)[1]:
            async with self._moved:
                await self._moved.wait()

    def _whole(self, has: int) -> dict[int, tuple[float, int, str, float]]:
        known = {u: (0.0, u, "Ready", 0.0) for u in self.plan.upstreams()}
        known |= {news[1]: news for news in self._news[:has]}
        return {u: news for u, news in known.items() if news[2] != "Gone"}

    def _tell(
        self,
        writer: asyncio.StreamWriter,
        copy: int,
        told: int,
        entries: dict[int, tuple[float, int, str, float]],
        complete: bool,
    ) -> None:
        unix_ms = self.clock.go.unix_ms
        members = [
            member(self.plan, copy, upstream, phase, unix_ms + up_ms if up_ms > 0 else 0.0)
            for _, upstream, phase, up_ms in entries.values()
        ]
        line = {"revision": FIRST_REVISION + told, "complete": complete, "members": members}
        writer.write(chunk(json.dumps(line).encode() + b"\n"))
        now_ms = self.clock.now_ms
        self.seen.told += [Told(copy, now_ms, news[1], news[2]) for news in entries.values()]


if __name__ == "__main__":
    play(Agents)
