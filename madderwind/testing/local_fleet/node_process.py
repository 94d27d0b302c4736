"""One node of a fleet on this machine: its settings file, its process, and what is done to it."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec
import psutil

from madderwind.errors import LocalFleetError
from madderwind.node_settings import SETTINGS_VARIABLE
from madderwind.testing.fault_tests.fleet import dies_with_parent
from madderwind.testing.local_fleet.layout import NodeKind, NodeLayout

# The platform starts a process that ended again after so long.
RESTART_DELAY_S = 0.3
MS_PER_S = 1000.0
ROOT = Path(__file__).parents[3]
NO_LIMIT = -1


class NodeState(Enum):
    """`HELD`: down until it is told to start; `RESTARTING`: it ended by itself, and starts again soon."""

    STOPPED = "held"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "ending"
    RESTARTING = "restarting"


class ProcessEvent(msgspec.Struct, frozen=True):
    """Something that befell a node's process. `code`: how it ended, where it did."""

    at_ms: float
    node: str
    what: str
    pid: int = 0
    code: int = 0


class NodeProcess:
    """The process of one node."""

    def __init__(self, layout: NodeLayout, on_event: Callable[[ProcessEvent], None]) -> None:
        self.layout, self._on_event = layout, on_event
        self.state = NodeState.STOPPED
        self._process: asyncio.subprocess.Process | None = None
        self._wait_task: asyncio.Task[None] | None = None
        self._was_started = False
        self.unexpected_exits = 0  # how many times its process ended without being told to

    @property
    def pid(self) -> int:
        """The process's number, 0 where none runs."""
        process = self._process
        return process.pid if process is not None and process.returncode is None else 0

    def write_settings(self) -> None:
        """Lay its settings file; after the first start of all, without `bootstrap`."""
        layout = self.layout
        Path(layout.folder).mkdir(parents=True, exist_ok=True)
        if layout.data_dir:
            Path(layout.data_dir).mkdir(exist_ok=True)
        settings = dict(layout.settings)
        if "bootstrap" in settings:
            settings["bootstrap"] = not self._was_started
        temporary_path = layout.settings_path.with_suffix(".new")
        temporary_path.write_bytes(msgspec.json.encode(settings))
        temporary_path.replace(layout.settings_path)

    async def start(self) -> None:
        """Start the process, where none runs."""
        if self.pid:
            return
        self.write_settings()
        self._was_started = True
        arguments = ["-m", self.layout.module]
        if self.layout.kind is NodeKind.UPSTREAM:
            arguments.append(str(self.layout.settings_path))
        with self.layout.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(self.layout.settings_path)},
                preexec_fn=dies_with_parent,
            )
        self._set_state(NodeState.RUNNING, "started")
        self._wait_task = asyncio.create_task(self._wait(self._process))

    async def kill(self) -> None:
        """SIGKILL; it stays down until it is started."""
        if self.pid:
            self._set_state(NodeState.STOPPED, "killed")
            self._send_signal(signal.SIGKILL)
            await self.wait_exited()
        else:
            self.state = NodeState.STOPPED

    async def terminate(self) -> None:
        """SIGTERM; it stays down once it has ended."""
        if self.pid:
            self._set_state(NodeState.STOPPING, "asked to end")
            self._send_signal(signal.SIGTERM)

    async def wait_exited(self) -> None:
        """Return once its process has ended."""
        if self._wait_task is not None:
            await self._wait_task

    async def wait_exited_if_stopping(self) -> None:
        """Return once a process that was asked to end has ended; at once for any other."""
        if self.state is NodeState.STOPPING:
            await self.wait_exited()

    def pause(self) -> None:
        """SIGSTOP."""
        if self.state is NodeState.RUNNING:
            self._set_state(NodeState.PAUSED, "paused")
            self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """SIGCONT."""
        if self.state is NodeState.PAUSED:
            self._set_state(NodeState.RUNNING, "resumed")
            self._send_signal(signal.SIGCONT)

    async def wipe(self) -> None:
        """SIGKILL, and its disk is empty."""
        await self.kill()
        if self.layout.data_dir:
            shutil.rmtree(self.layout.data_dir, ignore_errors=True)
            Path(self.layout.data_dir).mkdir()
        self._record_event("wiped")

    def refuse_writes(self, refused: bool) -> None:
        """Whether every write that would make a file longer fails, as on a full disk."""
        if not self.pid:
            return
        process = psutil.Process(self.pid)
        _, hard = process.rlimit(psutil.RLIMIT_FSIZE)
        process.rlimit(psutil.RLIMIT_FSIZE, (0 if refused else hard, hard))
        self._record_event("disk full" if refused else "disk has room")

    async def force_stop(self) -> None:
        """End it at once, for good."""
        self.state = NodeState.STOPPED
        if self.pid:
            self._send_signal(signal.SIGCONT)
            self._send_signal(signal.SIGKILL)
            await self.wait_exited()

    def log_tail(self, characters: int = 400) -> str:
        """The end of what it wrote."""
        try:
            return self.layout.log_path.read_text(errors="replace")[-characters:].strip()
        except OSError:
            return ""

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.state in (NodeState.STOPPED, NodeState.STOPPING):
            self._set_state(NodeState.STOPPED, "ended", code)
            return
        self.unexpected_exits += 1
        self._set_state(NodeState.RESTARTING, "ended by itself", code)
        asyncio.create_task(self._restart())  # noqa: RUF006 (it ends with the loop)

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        if self.state is NodeState.RESTARTING:
            await self.start()

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process is None or self._process.returncode is not None:
            raise LocalFleetError(f"{self.layout.name} does not run")
        self._process.send_signal(signal_number)

    def _set_state(self, state: NodeState, what: str, code: int = 0) -> None:
        """The one place where a running node's state changes."""
        self.state = state
        self._record_event(what, code)

    def _record_event(self, what: str, code: int = 0) -> None:
        pid = self._process.pid if self._process is not None else 0
        self._on_event(ProcessEvent(time.monotonic() * MS_PER_S, self.layout.name, what, pid, code))
