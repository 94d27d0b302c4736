"""The processes of the copies: the program under its real command line, and the faults applied to it."""

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

from madderwind.testing.fault_tests.plan import Plan, copy_configuration
from madderwind.testing.fault_tests.traces import ProcessEvent, Sample
from madderwind.testing.fault_tests.wire import read_message

READY_TIMEOUT_S = 60.0  # until a copy serves; many start at once on a busy machine
EXIT_TIMEOUT_S = 8.0  # until a copy exits after a signal
PARALLEL_STARTS = 8  # limit on copies that start at the same time
POLL_S = 0.02
# Makes the kernel kill a process when its parent dies for any reason. Linux only.
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


class DrillError(Exception):
    """The rig could not run the drill; the message is a single line."""


def dies_with_parent() -> None:
    if sys.platform == "linux":
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Program(msgspec.Struct, frozen=True):
    """The program under test: its command line before `serve`, and its working directory."""

    name: str = "now"
    command: tuple[str, ...] = (sys.executable, "-O", "-B", "-m", "madderwind")
    folder: str = str(Path(__file__).parents[3])


class Copy:
    """One copy: its configuration file, its folder, and its process, or two processes during an upgrade."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self.number = fleet, number
        self.folder = Path(fleet.plan.folder) / f"copy-{number}"
        self.folder.mkdir(parents=True, exist_ok=True)
        self._changes = dict(fleet.plan.scenario.file)
        self._second = False
        self.process: asyncio.subprocess.Process | None = None
        self._endings: set[asyncio.Task[None]] = set()

    def write(self, changes: dict[str, Any]) -> None:
        """Merge these changes into the configuration file and replace it atomically."""
        self._changes |= changes
        path = self.folder / "config.json"
        temporary = path.with_suffix(".new")
        temporary.write_bytes(
            msgspec.json.encode(copy_configuration(self._fleet.plan, self.number, self._changes))
        )
        temporary.replace(path)

    def record(self, what: str, code: int = 0) -> None:
        self._fleet.lives.append(ProcessEvent(self.number, self._fleet.now_ms(), what, code))

    async def start(self) -> None:
        """Start a process of this copy and wait until it serves or exits, for `READY_TIMEOUT_S` at most."""
        self.record("start")
        host, port = self._fleet.plan.admin(self.number, self._second)
        environment = {
            **os.environ,
            "TMPDIR": str(self.folder),
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_ADMIN_ADDR": f"{host}:{port}",
        }
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self._fleet.program.command,
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
        self._endings.add(ending)
        ending.add_done_callback(self._endings.discard)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_healthy():
                if process.returncode is not None:
                    break
                await asyncio.sleep(POLL_S)
        if process.returncode is not None:
            return  # its exit is recorded by `_wait`; the drill may have killed it during its start
        self.record("up")

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.record("ended", code)

    async def _is_healthy(self) -> bool:
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
            self.record(what)
            self.process.send_signal(number)

    async def upgrade(self) -> None:
        """Start a successor, and terminate the old process once the successor serves."""
        old = self.process
        self._second = not self._second
        await self.start()
        # Both processes answer the health check. The successor has taken over the handover file once it
        # reports ready at its own admin address.
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._reports_ready():
                await asyncio.sleep(POLL_S)
        if old is not None and old.returncode is None:
            self.record("term")
            old.send_signal(signal.SIGTERM)

    async def _reports_ready(self) -> bool:
        try:
            return await self.admin_acknowledges("STATUS")
        except OSError:
            return self.process is None or self.process.returncode is not None

    async def admin_acknowledges(self, line: str) -> bool:
        """Whether the admin address answers the line with ACK. Raises OSError if nothing listens there."""
        reader, writer = await asyncio.open_connection(*self._fleet.plan.admin(self.number, self._second))
        writer.write(f"{line}\n".encode())
        answer = await reader.read()
        writer.close()
        return answer.startswith(b"ACK")

    async def end(self) -> None:
        """Kill the copy at once; a drill tests the orderly shutdown by a `term` fault while it runs."""
        self.signal(signal.SIGKILL, "kill")
        if self._endings:  # the old process of an upgrade may still be shutting down
            _, left = await asyncio.wait(self._endings, timeout=EXIT_TIMEOUT_S)
            if left:
                raise DrillError(f"copy {self.number} has a process that does not end")


class Fleet:
    """All copies, and the resource usage of their processes."""

    def __init__(self, plan: Plan, program: Program, now_ms: Callable[[], float]) -> None:
        self.plan, self.program, self.now_ms = plan, program, now_ms
        self.lives: list[ProcessEvent] = []
        self.samples: list[Sample] = []
        self.measured: dict[str, int] = {}
        self.copies = [Copy(self, number) for number in plan.copies()]

    async def start(self) -> None:
        start_slots = asyncio.Semaphore(PARALLEL_STARTS)

        async def start(copy: Copy) -> None:
            async with start_slots:
                copy.write({})
                await copy.start()

        await asyncio.gather(*(start(copy) for copy in self.copies))
        down = [copy.number for copy in self.copies if copy.process is None or copy.process.returncode]
        if down:
            log = (self.copies[down[0]].folder / "log").read_text(errors="replace").strip()
            raise DrillError(f"copy {down[0]} of {self.program.name} did not start: {log[-300:]}")

    def sample(self) -> None:
        """Record the CPU time used and the memory held by each process."""
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
