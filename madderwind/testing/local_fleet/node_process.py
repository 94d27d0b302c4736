"""One node of a local fleet: its settings file, its process, and the actions on it."""

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

# Delay before a process that exited unexpectedly is restarted, as a platform does.
RESTART_DELAY_S = 0.3
MS_PER_S = 1000.0
ROOT = Path(__file__).parents[3]
NO_LIMIT = -1


class NodeState(Enum):
    """State of a node's process.

    STOPPED: down until it is started by request. RESTARTING: exited unexpectedly, restarted after a delay.
    """

    STOPPED = "held"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "ending"
    RESTARTING = "restarting"


class ProcessEvent(msgspec.Struct, frozen=True):
    """A change in the state of a node's process. `code` is the exit code if the process has ended."""

    at_ms: float
    node: str
    what: str
    pid: int = 0
    code: int = 0


class NodeProcess:
    """The process of one node."""

    def __init__(
        self, layout: NodeLayout, on_event: Callable[[ProcessEvent], None], checkout: Path = ROOT
    ) -> None:
        """`checkout` is the root of the sources that the process runs."""
        self.layout, self._on_event, self._checkout = layout, on_event, checkout
        self.state = NodeState.STOPPED
        self._process: asyncio.subprocess.Process | None = None
        self._wait_task: asyncio.Task[None] | None = None
        self._was_started = False
        self.unexpected_exits = 0  # exits that were not requested

    @property
    def pid(self) -> int:
        """The process id, 0 if the process is not running."""
        process = self._process
        return process.pid if process is not None and process.returncode is None else 0

    def write_settings(self) -> None:
        """Write the settings file; `bootstrap` is true only before the first start."""
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
        """Start the process unless it is running."""
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
                cwd=self._checkout,
                env={**os.environ, SETTINGS_VARIABLE: str(self.layout.settings_path)},
                preexec_fn=dies_with_parent,
            )
        self._set_state(NodeState.RUNNING, "started")
        self._wait_task = asyncio.create_task(self._wait(self._process))

    async def kill(self) -> None:
        """Send SIGKILL. The node stays down until it is started."""
        if self.pid:
            self._set_state(NodeState.STOPPED, "killed")
            self._send_signal(signal.SIGKILL)
            await self.wait_exited()
        else:
            self.state = NodeState.STOPPED

    async def terminate(self) -> None:
        """Send SIGTERM. The node stays down once the process has exited."""
        if self.pid:
            self._set_state(NodeState.STOPPING, "asked to end")
            self._send_signal(signal.SIGTERM)

    async def wait_exited(self) -> None:
        """Wait for the process to exit."""
        if self._wait_task is not None:
            await self._wait_task

    async def wait_exited_if_stopping(self) -> None:
        """Wait for the process to exit if it was sent SIGTERM; return at once otherwise."""
        if self.state is NodeState.STOPPING:
            await self.wait_exited()

    def pause(self) -> None:
        """Send SIGSTOP to a running process."""
        if self.state is NodeState.RUNNING:
            self._set_state(NodeState.PAUSED, "paused")
            self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT to a paused process."""
        if self.state is NodeState.PAUSED:
            self._set_state(NodeState.RUNNING, "resumed")
            self._send_signal(signal.SIGCONT)

    async def wipe(self) -> None:
        """Send SIGKILL and empty the data directory."""
        await self.kill()
        if self.layout.data_dir:
            shutil.rmtree(self.layout.data_dir, ignore_errors=True)
            Path(self.layout.data_dir).mkdir()
        self._record_event("wiped")

    def refuse_writes(self, refused: bool) -> None:
        """Set whether every write that would extend a file fails, as on a full disk."""
        if not self.pid:
            return
        process = psutil.Process(self.pid)
        _, hard = process.rlimit(psutil.RLIMIT_FSIZE)
        process.rlimit(psutil.RLIMIT_FSIZE, (0 if refused else hard, hard))
        self._record_event("disk full" if refused else "disk has room")

    async def force_stop(self) -> None:
        """Kill the process, also while it is paused, without a restart."""
        self.state = NodeState.STOPPED
        if self.pid:
            self._send_signal(signal.SIGCONT)
            self._send_signal(signal.SIGKILL)
            await self.wait_exited()

    def log_tail(self, characters: int = 400) -> str:
        """Return the end of the process's log."""
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
        """Set the state and record it as an event; every state change of a running node goes through here."""
        self.state = state
        self._record_event(what, code)

    def _record_event(self, what: str, code: int = 0) -> None:
        pid = self._process.pid if self._process is not None else 0
        self._on_event(ProcessEvent(time.monotonic() * MS_PER_S, self.layout.name, what, pid, code))
