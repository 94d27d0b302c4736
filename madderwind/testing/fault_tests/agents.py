"""The process of the discovery agents: one per copy, which may be late, silent, or hold an older list."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from madderwind.testing.fault_tests.part import RigProcess, run_process
from madderwind.testing.fault_tests.plan import FIRST_REVISION, copy_of, member
from madderwind.testing.fault_tests.scenario import ListFault, UpstreamFault
from madderwind.testing.fault_tests.traces import ListUpdateTrace
from madderwind.testing.fault_tests.wire import chunk, read_message

KEEPALIVE_S = 2.0


class Agents(RigProcess):
    async def start(self) -> None:
        # The changes of the discovery list in the schedule: time, upstream, phase, and start of its process.
        changes: list[tuple[float, int, str, float]] = []
        for turn in self.turns(UpstreamFault):
            fault = self.plan.scenario.faults[turn.fault]
            assert isinstance(fault, UpstreamFault)
            for upstream in turn.upstreams:
                if fault.kind == "restart":
                    announced_ms = turn.end_ms + fault.told_after_s * 1000
                    changes.append((announced_ms, upstream, "Ready", turn.end_ms))
                elif fault.kind == "drain":
                    changes.append((turn.begin_ms, upstream, "Terminating", 0.0))
                    changes.append((turn.end_ms, upstream, "Gone", 0.0))
        self._changes = sorted(changes)
        self._faults = self.turns(ListFault)
        edges = {at for turn in self._faults for at in (turn.begin_ms, turn.end_ms)} | {n[0] for n in changes}
        edges |= {
            at + f.late_ms for at in edges for f in self.plan.scenario.faults if isinstance(f, ListFault)
        }
        self._edges = sorted(edges)
        self._state_changed = asyncio.Condition()
        await asyncio.start_server(self._serve, *self.plan.agents)

    def begin(self) -> None:
        for edge_ms in self._edges:
            self.clock.at(edge_ms + 1, self._notify_watches)

    def _notify_watches(self) -> None:
        async def notify() -> None:
            async with self._state_changed:
                self._state_changed.notify_all()

        asyncio.get_running_loop().create_task(notify())

    def _visible_changes(self, copy: int) -> tuple[int, bool]:
        """The number of list changes that this copy's agent has now, and whether it sends at all."""
        now_ms, late_ms, until_ms, sending = self.clock.now_ms, 0.0, float("inf"), True
        for turn in self._faults:
            fault = self.plan.scenario.faults[turn.fault]
            if not isinstance(fault, ListFault) or copy not in turn.copies or not turn.on(now_ms):
                continue
            if fault.kind == "silent":
                sending = False
            elif fault.kind == "late":
                late_ms += fault.late_ms
            else:
                until_ms = min(until_ms, turn.begin_ms)
        return sum(at_ms <= min(now_ms - late_ms, until_ms) for at_ms, *_ in self._changes), sending

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy = copy_of(writer.get_extra_info("peername"))
        try:
            message = await read_message(reader)
            query = parse_qs(urlsplit(message.start.split(" ")[1]).query)
            ended = asyncio.create_task(reader.read())
            watching = asyncio.create_task(self._watch(copy, writer, int(query.get("from", ["0"])[0])))
            await asyncio.wait((ended, watching), return_when=asyncio.FIRST_COMPLETED)
            watching.cancel()
            ended.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _watch(self, copy: int, writer: asyncio.StreamWriter, known: int) -> None:
        """Serve a watch: the changes after the known revision, or the complete list if the watcher's revision
        is newer than this agent's."""
        await self._wait_until_sending(copy)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent_count = known - FIRST_REVISION
        if not 0 <= sent_count <= self._visible_changes(copy)[0]:
            sent_count = self._visible_changes(copy)[0]
            self._write_update(writer, copy, sent_count, self._full_list(sent_count), True)
        else:
            self._write_update(writer, copy, sent_count, {}, False)
        while True:
            await self._wait_until_sending(copy)
            visible_count, _ = self._visible_changes(copy)
            if visible_count > sent_count:
                latest = {change[1]: change for change in self._changes[sent_count:visible_count]}
                sent_count = visible_count
                self._write_update(writer, copy, sent_count, latest, False)
            try:
                async with asyncio.timeout(KEEPALIVE_S), self._state_changed:
                    await self._state_changed.wait()
            except TimeoutError:
                if self._visible_changes(copy)[1]:
                    writer.write(chunk(b"\n"))

    async def _wait_until_sending(self, copy: int) -> None:
        while not self._visible_changes(copy)[1]:
            async with self._state_changed:
                await self._state_changed.wait()

    def _full_list(self, visible_count: int) -> dict[int, tuple[float, int, str, float]]:
        known = {u: (0.0, u, "Ready", 0.0) for u in self.plan.upstreams()}
        known |= {change[1]: change for change in self._changes[:visible_count]}
        return {u: change for u, change in known.items() if change[2] != "Gone"}

    def _write_update(
        self,
        writer: asyncio.StreamWriter,
        copy: int,
        sent_count: int,
        entries: dict[int, tuple[float, int, str, float]],
        complete: bool,
    ) -> None:
        unix_ms = self.clock.go.unix_ms
        members = [
            member(self.plan, copy, upstream, phase, unix_ms + up_ms if up_ms > 0 else 0.0)
            for _, upstream, phase, up_ms in entries.values()
        ]
        line = {"revision": FIRST_REVISION + sent_count, "complete": complete, "members": members}
        writer.write(chunk(json.dumps(line).encode() + b"\n"))
        now_ms = self.clock.now_ms
        self.seen.told += [ListUpdateTrace(copy, now_ms, change[1], change[2]) for change in entries.values()]


if __name__ == "__main__":
    run_process(Agents)
