"""A process of the rig itself: told its plan, it says that it is ready, begins at a given moment, and at the
end writes what it saw. It ends with its parent, whose end is the end of its standard input."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from madderwind.testing.fault_tests import traces
from madderwind.testing.fault_tests.plan import Plan
from madderwind.testing.fault_tests.schedule import Turn


class Go(msgspec.Struct):
    """The moment of the drill's begin, on the machine's monotonic clock and in Unix time."""

    monotonic_s: float
    unix_ms: float


class Clock:
    """Milliseconds after the drill's begin; long before it, until that is known."""

    def __init__(self) -> None:
        self.go = Go(time.monotonic() + 3600, 0.0)

    @property
    def now_ms(self) -> float:
        return (time.monotonic() - self.go.monotonic_s) * 1000

    def after(self, after_ms: float, call: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(after_ms / 1000, call)

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Also of what is past: at once."""
        asyncio.get_running_loop().call_at(self.go.monotonic_s + at_ms / 1000, call)

    async def until(self, at_ms: float) -> None:
        await asyncio.sleep(max(0.0, at_ms - self.now_ms) / 1000)


class Part:
    """Base of the rig's processes. `start` before it is ready, `begin` at the drill's begin, `finish` before
    its traces are written."""

    def __init__(self, plan: Plan, shard: int) -> None:
        self.plan, self.shard = plan, shard
        self.clock = Clock()
        self.seen = traces.Traces()

    async def start(self) -> None:
        raise NotImplementedError

    def begin(self) -> None:
        """Ask the clock for what is to come."""

    async def finish(self) -> None:
        """The last that is to be seen."""

    def turns(self, *kinds: type) -> list[Turn]:
        faults = self.plan.scenario.faults
        return [t for t in self.plan.schedule.turns if isinstance(faults[t.fault], kinds)]

    def at_edges(self, turns: list[Turn], call: Callable[[], None]) -> None:
        """Call at each begin and end of these turns."""
        for edge_ms in sorted({edge for turn in turns for edge in (turn.begin_ms, turn.end_ms)}):
            self.clock.at(edge_ms, call)


def play(kind: type[Part]) -> None:
    """The main of such a process: `python -m madderwind.testing.fault_tests.KIND PLAN SHARD`."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    asyncio.run(_play(kind(plan, int(sys.argv[2])), Path(sys.argv[1]).parent))


async def _play(part: Part, folder: Path) -> None:
    loop = asyncio.get_running_loop()
    said = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(said), sys.stdin)
    await part.start()
    print("ready", flush=True)
    if not (line := await said.readline()):
        return
    part.clock.go = msgspec.json.decode(line, type=Go)
    part.begin()
    if not await said.readline():
        return  # the parent died: nobody reads what was seen
    await part.finish()
    name = type(part).__name__.lower()
    traces.write(folder / f"seen-{name}-{part.shard}.json", part.seen)
