"""Runs one drill: starts the rig and the copies, applies the scheduled faults, and collects the traces."""

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
from madderwind.testing.fault_tests.part import Clock, Go, RigProcess
from madderwind.testing.fault_tests.plan import Plan, take_net
from madderwind.testing.fault_tests.scenario import CopyFault, Scenario
from madderwind.testing.fault_tests.schedule import FaultOccurrence, draw
from madderwind.testing.fault_tests.traces import Traces

START_S = 30.0  # start timeout of a process of the rig
COPIES_PER_SHARD = 30
START_DELAY_S = 0.3  # between the start command and the warm-up
SETTLE_S = 0.5  # wait after the last answer, for bytes that would wrongly follow it
REPOSITORY = Path(__file__).parents[3]


class _Process:
    """A process of the rig, as opposed to one of the program under test."""

    def __init__(self, plan: Plan, kind: type[RigProcess], shard: int) -> None:
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
            cwd=REPOSITORY,
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

    def send_line(self, line: bytes) -> None:
        assert self._process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self._process.stdin.write(line + b"\n")

    async def finish(self) -> Traces:
        """The traces of the process. DrillError: it died early, so there can be no verdict."""
        self.send_line(b"end")
        code = await self._process.wait()
        if code or not self.seen.exists():
            raise DrillError(f"the rig's {self._name} ended with {code} before it wrote its traces")
        return traces.read(self.seen)

    def kill(self) -> None:
        if self._process.returncode is None:
            self._process.kill()


def make_plan(scenario: Scenario, seed: int, net: int, folder: Path) -> Plan:
    shards = -(-scenario.copies // COPIES_PER_SHARD)
    return Plan(scenario, draw(scenario, seed), net, shards, str(folder.resolve()))


async def run_drill(scenario: Scenario, seed: int, program: Program, folder: Path) -> tuple[Plan, Traces]:
    """Run one drill in an empty folder, which keeps its logs and traces. DrillError: the rig failed."""
    folder.mkdir(parents=True, exist_ok=True)
    try:
        net, lock = take_net(random.Random())
    except OSError as error:
        raise DrillError(str(error)) from None
    with lock:
        plan = make_plan(scenario, seed, net, folder)
        (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        async with _rig(plan) as rig:
            return plan, await _run_faults_and_load(plan, program, rig)


@contextlib.asynccontextmanager
async def _rig(plan: Plan) -> AsyncIterator[list[_Process]]:
    kinds: list[tuple[type[RigProcess], int]] = [(links.Links, shard) for shard in range(plan.shards)]
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


async def _run_faults_and_load(plan: Plan, program: Program, rig: list[_Process]) -> Traces:
    clock = Clock()
    fleet = Fleet(plan, program, lambda: clock.now_ms)
    fleet.measured |= {process.who: process.pid for process in rig}
    try:
        await fleet.start()
        begin_s = time.monotonic() + START_DELAY_S + plan.scenario.warm_up_s
        clock.go = Go(begin_s, (time.time() + begin_s - time.monotonic()) * 1000)
        for process in rig:
            process.send_line(msgspec.json.encode(clock.go))
        tasks = [asyncio.create_task(_sample(fleet))]
        tasks += [
            asyncio.create_task(_play_copy_fault(plan, fleet, clock, turn)) for turn in plan.schedule.turns
        ]
        try:
            await clock.until(plan.scenario.for_s * 1000)
            errors = [task.exception() for task in tasks if task.done() and not task.cancelled()]
            for error in filter(None, errors):
                raise DrillError(f"a fault could not be applied: {error!r}") from error
            *observers, client = rig
            seen = await client.finish()
            await asyncio.sleep(SETTLE_S)
            fleet.sample()
            for process in observers:
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


async def _play_copy_fault(plan: Plan, fleet: Fleet, clock: Clock, turn: FaultOccurrence) -> None:
    """Apply a fault to the copies' processes; the rig's other processes apply the other kinds of faults."""
    fault = plan.scenario.faults[turn.fault]
    if not isinstance(fault, CopyFault):
        return
    await clock.until(turn.begin_ms)
    await asyncio.gather(*(_apply_to_copy(fault, fleet.copies[copy], clock, turn) for copy in turn.copies))


async def _apply_to_copy(fault: CopyFault, copy: Copy, clock: Clock, turn: FaultOccurrence) -> None:
    if fault.kind == "pause":
        copy.signal(signal.SIGSTOP, "pause")
        await clock.until(turn.end_ms)
        copy.signal(signal.SIGCONT, "continue")
    elif fault.kind == "reload":
        copy.write(fault.file)
        copy.signal(signal.SIGHUP, "reload")
    elif fault.kind == "call":
        copy.record("call" if await copy.admin_acknowledges(fault.line) else "call refused")
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
