"""Base of the rig's processes. A process reads its plan, reports that it is ready, begins at a given time,
and writes its traces at the end. It exits with its parent, when its standard input is closed."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from madderwind.testing.fault_tests import traces
from madderwind.testing.fault_tests.plan import Plan
from madderwind.testing.fault_tests.schedule import FaultOccurrence


class Go(msgspec.Struct):
    """The start time of the drill, on the machine's monotonic clock and in Unix time."""

    monotonic_s: float
    unix_ms: float


class Clock:
    """Milliseconds since the start of the drill; a large negative value until the start time is known."""

    def __init__(self) -> None:
        self.go = Go(time.monotonic() + 3600, 0.0)

    @property
    def now_ms(self) -> float:
        return (time.monotonic() - self.go.monotonic_s) * 1000

    def after(self, after_ms: float, call: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(after_ms / 1000, call)

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Call at this time, or at once if it has passed."""
        asyncio.get_running_loop().call_at(self.go.monotonic_s + at_ms / 1000, call)

    async def until(self, at_ms: float) -> None:
        await asyncio.sleep(max(0.0, at_ms - self.now_ms) / 1000)


class RigProcess:
    """Base class of the rig's processes. `start` runs before the process reports ready, `begin` once
    the start time is known, `finish` before its traces are written."""

    def __init__(self, plan: Plan, shard: int) -> None:
        self.plan, self.shard = plan, shard
        self.clock = Clock()
        self.seen = traces.Traces()

    async def start(self) -> None:
        raise NotImplementedError

    def begin(self) -> None:
        """Schedule the calls for the coming faults."""

    async def finish(self) -> None:
        """Complete the traces."""

    def turns(self, *kinds: type) -> list[FaultOccurrence]:
        faults = self.plan.scenario.faults
        return [t for t in self.plan.schedule.turns if isinstance(faults[t.fault], kinds)]

    def at_edges(self, turns: list[FaultOccurrence], call: Callable[[], None]) -> None:
        """Call at the begin and end of each of these fault occurrences."""
        for edge_ms in sorted({edge for turn in turns for edge in (turn.begin_ms, turn.end_ms)}):
            self.clock.at(edge_ms, call)


def run_process(kind: type[RigProcess]) -> None:
    """The entry point of such a process: `python -m madderwind.testing.fault_tests.KIND PLAN SHARD`."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    asyncio.run(_run_process(kind(plan, int(sys.argv[2])), Path(sys.argv[1]).parent))


async def _run_process(part: RigProcess, folder: Path) -> None:
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    await part.start()
    print("ready", flush=True)
    if not (line := await commands.readline()):
        return
    part.clock.go = msgspec.json.decode(line, type=Go)
    part.begin()
    if not await commands.readline():
        return  # the parent died: nobody reads the traces
    await part.finish()
    name = type(part).__name__.lower()
    traces.write(folder / f"seen-{name}-{part.shard}.json", part.seen)
