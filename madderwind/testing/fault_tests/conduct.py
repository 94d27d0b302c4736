"""One drill played: the rig's processes and the copies', the schedule's faults, and what all of them saw."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from madderwind.testing.fault_tests import agents, clients, links, message_relay, traces, upstreams
from madderwind.testing.fault_tests.fleet import Copy, DrillError, Fleet, Program, dies_with_parent
from madderwind.testing.fault_tests.part import Clock, Go, Part
from madderwind.testing.fault_tests.plan import Plan, take_net
from madderwind.testing.fault_tests.scenario import CopyFault, Scenario
from madderwind.testing.fault_tests.schedule import Turn, draw
from madderwind.testing.fault_tests.traces import Traces

START_S = 30.0  # for a process of the rig
COPIES_A_SHARD = 30
HEAD_START_S = 0.3  # between the word to begin and the warm-up
SETTLE_S = 0.5  # after the last answer, for what would come after it
HERE = Path(__file__).parents[3]


class _Process:
    """A process of the rig itself."""

    def __init__(self, plan: Plan, kind: type[Part], shard: int) -> None:
        self._name, self._shard, self._plan = kind.__module__.rpartition(".")[2], shard, plan
        self.seen = Path(plan.folder) / f"seen-{kind.__name__.lower()}-{shard}.json"

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"madderwind.testing.fault_tests.{self._name}",
            str(Path(self._plan.folder) / "plan.json"),
            str(self._shard),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=HERE,
            preexec_fn=dies_with_parent,
        )
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(START_S):
                line = await self._process.stdout.readline()
        except TimeoutError:
            line = b""
        if line != b"ready\n":
            raise DrillError(f"the rig's {self._name} did not start")

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def who(self) -> str:
        return f"rig-{self._name}-{self._shard}"

    def say(self, line: bytes) -> None:
        assert self._process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self._process.stdin.write(line + b"\n")

    async def finish(self) -> Traces:
        """What it saw. DrillError where it died before: a verdict without it would be none."""
        self.say(b"end")
        code = await self._process.wait()
        if code or not self.seen.exists():
            raise DrillError(f"the rig's {self._name} ended with {code} before it told what it saw")
        return traces.read(self.seen)

    def kill(self) -> None:
        if self._process.returncode is None:
            self._process.kill()


def plan_of(scenario: Scenario, seed: int, net: int, folder: Path) -> Plan:
    shards = -(-scenario.copies // COPIES_A_SHARD)
    return Plan(scenario, draw(scenario, seed), net, shards, str(folder.resolve()))


async def play(scenario: Scenario, seed: int, program: Program, folder: Path) -> tuple[Plan, Traces]:
    """Play one drill in an empty folder, where logs and traces stay. DrillError: the rig could not."""
    folder.mkdir(parents=True, exist_ok=True)
    try:
        net, lock = take_net(random.Random())
    except OSError as error:
        raise DrillError(str(error)) from None
    with lock:
        plan = plan_of(scenario, seed, net, folder)
        (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        async with _rig(plan) as rig:
            return plan, await _play(plan, program, rig)


@contextlib.asynccontextmanager
async def _rig(plan: Plan) -> AsyncIterator[list[_Process]]:
    kinds: list[tuple[type[Part], int]] = [(links.Links, shard) for shard in range(plan.shards)]
    kinds += [
        (upstreams.UpstreamStandIns, 0),
        (agents.Agents, 0),
        (message_relay.MessageRelay, 0),
        (clients.Clients, 0),
    ]
    rig = [_Process(plan, kind, shard) for kind, shard in kinds]
    started: list[_Process] = []
    try:
        for process in rig:
            started.append(process)
            await process.start()
        yield rig
    finally:
        for process in started:
            process.kill()


async def _play(plan: Plan, program: Program, rig: list[_Process]) -> Traces:
    clock = Clock()
    fleet = Fleet(plan, program, lambda: clock.now_ms)
    fleet.measured |= {process.who: process.pid for process in rig}
    try:
        await fleet.start()
        begin_s = time.monotonic() + HEAD_START_S + plan.scenario.warm_up_s
        clock.go = Go(begin_s, (time.time() + begin_s - time.monotonic()) * 1000)
        for process in rig:
            process.say(msgspec.json.encode(clock.go))
        tasks = [asyncio.create_task(_sample(fleet))]
        tasks += [asyncio.create_task(_strike(plan, fleet, clock, turn)) for turn in plan.schedule.turns]
        try:
            await clock.until(plan.scenario.for_s * 1000)
            broke = [task.exception() for task in tasks if task.done() and not task.cancelled()]
            for error in filter(None, broke):
                raise DrillError(f"a fault could not be played: {error!r}") from error
            *others, client = rig
            seen = await client.finish()
            await asyncio.sleep(SETTLE_S)
            fleet.sample()
            for process in others:
                seen.add(await process.finish())
        finally:
            for task in tasks:
                task.cancel()
    finally:
        await fleet.end()
    seen.lives, seen.samples = fleet.lives, fleet.samples
    traces.write(Path(plan.folder) / "traces.json", seen)
    return seen


async def _sample(fleet: Fleet) -> None:
    while True:
        fleet.sample()
        await asyncio.sleep(1.0)


async def _strike(plan: Plan, fleet: Fleet, clock: Clock, turn: Turn) -> None:
    """What a turn does to copies; the rig's other parts see to the rest themselves."""
    fault = plan.scenario.faults[turn.fault]
    if not isinstance(fault, CopyFault):
        return
    await clock.until(turn.begin_ms)
    await asyncio.gather(*(_do(fault, fleet.copies[copy], clock, turn) for copy in turn.copies))


async def _do(fault: CopyFault, copy: Copy, clock: Clock, turn: Turn) -> None:
    if fault.kind == "pause":
        copy.signal(signal.SIGSTOP, "pause")
        await clock.until(turn.end_ms)
        copy.signal(signal.SIGCONT, "continue")
    elif fault.kind == "reload":
        copy.write(fault.file)
        copy.signal(signal.SIGHUP, "reload")
    elif fault.kind == "call":
        copy.note("call" if await copy.says_yes(fault.line) else "call refused")
    elif fault.kind == "upgrade":
        copy.write(fault.file)
        await copy.upgrade()
    else:
        how, what = (signal.SIGKILL, "kill") if fault.kind == "kill" else (signal.SIGTERM, "term")
        copy.signal(how, what)
        if turn.end_ms > turn.begin_ms:
            await clock.until(turn.end_ms)
            copy.write(fault.file)
            await copy.start()
