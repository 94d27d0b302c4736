"""The copies' processes: the program under its real command line, and what a drill does to them."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from madderwind.testing.fault_tests.plan import Plan, file_of
from madderwind.testing.fault_tests.traces import Life, Sample
from madderwind.testing.fault_tests.wire import read_message

READY_S = 60.0  # for a copy to serve; a busy machine starts many at once
END_S = 8.0  # for a copy to end after SIGTERM
AT_ONCE = 8  # copies that start at the same time
LOOK_S = 0.02
# So that a process ends with its parent, whatever ends that. Linux alone has it.
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


class DrillError(Exception):
    """The rig could not play; the text is one plain line."""


def dies_with_parent() -> None:
    if sys.platform == "linux":
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Program(msgspec.Struct, frozen=True):
    """What is played: its command line before `serve`, and where it runs."""

    name: str = "now"
    words: tuple[str, ...] = (sys.executable, "-O", "-B", "-m", "madderwind")
    folder: str = str(Path(__file__).parents[3])


class Copy:
    """One copy: its file, its folder, and its process, or two of them in an upgrade."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self.number = fleet, number
        self.folder = Path(fleet.plan.folder) / f"copy-{number}"
        self.folder.mkdir(parents=True, exist_ok=True)
        self._changes = dict(fleet.plan.scenario.file)
        self._second = False
        self.process: asyncio.subprocess.Process | None = None
        self._ends: set[asyncio.Task[None]] = set()

    def write(self, changes: dict[str, Any]) -> None:
        """The file, with these put into it as well; whole at any time."""
        self._changes |= changes
        path = self.folder / "config.json"
        beside = path.with_suffix(".new")
        beside.write_bytes(msgspec.json.encode(file_of(self._fleet.plan, self.number, self._changes)))
        beside.replace(path)

    def note(self, what: str, code: int = 0) -> None:
        self._fleet.lives.append(Life(self.number, self._fleet.now_ms(), what, code))

    async def start(self) -> None:
        """A process of this copy, which serves. DrillError where it does not come up."""
        self.note("start")
        host, port = self._fleet.plan.admin(self.number, self._second)
        environment = {
            **os.environ,
            "TMPDIR": str(self.folder),
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_ADMIN_ADDR": f"{host}:{port}",
        }
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self._fleet.program.words,
                "serve",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self._fleet.program.folder,
                env=environment,
                preexec_fn=dies_with_parent,
            )
        self.process = process
        self._fleet.measured[f"copy-{self.number}.{process.pid}"] = process.pid
        ending = asyncio.create_task(self._wait(process))
        self._ends.add(ending)
        ending.add_done_callback(self._ends.discard)
        async with asyncio.timeout(READY_S):
            while not await self._serves():
                if process.returncode is not None:
                    break
                await asyncio.sleep(LOOK_S)
        if process.returncode is not None:
            return  # its end is noted; a drill may have killed it meanwhile
        self.note("up")

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.note("ended", code)

    async def _serves(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._fleet.plan.copy(self.number))
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            return (await read_message(reader)).status == 200
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals, what: str) -> None:
        if self.process is not None and self.process.returncode is None:
            self.note(what)
            self.process.send_signal(number)

    async def upgrade(self) -> None:
        """A successor, and the end of the old process once that serves."""
        old = self.process
        self._second = not self._second
        await self.start()
        # Either answers for the balancer: the file that a successor hands over by is at the new one once
        # it says so at its own second address.
        async with asyncio.timeout(READY_S):
            while not await self._says_ready():
                await asyncio.sleep(LOOK_S)
        if old is not None and old.returncode is None:
            self.note("term")
            old.send_signal(signal.SIGTERM)

    async def _says_ready(self) -> bool:
        try:
            return await self.says_yes("STATUS")
        except OSError:
            return self.process is None or self.process.returncode is not None

    async def says_yes(self, line: str) -> bool:
        """Whether the second address agrees. OSError: nobody listens there."""
        reader, writer = await asyncio.open_connection(*self._fleet.plan.admin(self.number, self._second))
        writer.write(f"{line}\n".encode())
        said = await reader.read()
        writer.close()
        return said.startswith(b"ACK")

    async def end(self) -> None:
        """At once: how a copy ends in order is what `term` is for, in the middle of a drill."""
        self.signal(signal.SIGKILL, "kill")
        if self._ends:  # the old process of an upgrade may be ending still
            _, left = await asyncio.wait(self._ends, timeout=END_S)
            if left:
                raise DrillError(f"copy {self.number} has a process that does not end")


class Fleet:
    """All copies, and the figures of their processes."""

    def __init__(self, plan: Plan, program: Program, now_ms: Callable[[], float]) -> None:
        self.plan, self.program, self.now_ms = plan, program, now_ms
        self.lives: list[Life] = []
        self.samples: list[Sample] = []
        self.measured: dict[str, int] = {}
        self.copies = [Copy(self, number) for number in plan.copies()]

    async def start(self) -> None:
        turns = asyncio.Semaphore(AT_ONCE)

        async def start(copy: Copy) -> None:
            async with turns:
                copy.write({})
                await copy.start()

        await asyncio.gather(*(start(copy) for copy in self.copies))
        down = [copy.number for copy in self.copies if copy.process is None or copy.process.returncode]
        if down:
            log = (self.copies[down[0]].folder / "log").read_text(errors="replace").strip()
            raise DrillError(f"copy {down[0]} of {self.program.name} did not start: {log[-300:]}")

    def sample(self) -> None:
        """What each process has used, and holds."""
        now_ms = self.now_ms()
        for who, pid in list(self.measured.items()):
            try:
                process = psutil.Process(pid)
                with process.oneshot():
                    times, memory = process.cpu_times(), process.memory_info()
            except psutil.Error:
                del self.measured[who]
                continue
            cpu_ms = (times.user + times.system) * 1000
            self.samples.append(Sample(who, now_ms, cpu_ms, memory.rss / 2**20))

    async def end(self) -> None:
        await asyncio.gather(*(copy.end() for copy in self.copies))
