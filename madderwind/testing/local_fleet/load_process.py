"""Runs the load in its own process, so that other work of the calling program does not delay its clients."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from madderwind.errors import LocalFleetError
from madderwind.testing.fault_tests.fleet import dies_with_parent
from madderwind.testing.local_fleet.fleet_file import read_fleet_file
from madderwind.testing.local_fleet.layout import FleetLayout, read_layout
from madderwind.testing.local_fleet.load import run_load
from madderwind.testing.local_fleet.node_process import ROOT
from madderwind.testing.local_fleet.outcomes import OUTCOMES_FILE, Outcome, read_outcomes

SENDING = b"sending\n"
START_TIMEOUT_S = 30.0


class LoadProcess:
    """Sends the traffic of a running fleet. Use as an async context manager, which ends the process."""

    def __init__(self, layout: FleetLayout) -> None:
        self._layout = layout

    async def __aenter__(self) -> LoadProcess:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderwind.testing.local_fleet.load_process",
            self._layout.folder,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            preexec_fn=dies_with_parent,
        )
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await self._process.stdout.readline()
        except TimeoutError:
            line = b""
        if line != SENDING:
            raise LocalFleetError("the load process did not start")
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def wait(self) -> list[Outcome]:
        """Wait for all requests to finish and return their outcomes."""
        if await self._process.wait():
            raise LocalFleetError("the load process failed before all requests had finished")
        return read_outcomes(Path(self._layout.folder) / OUTCOMES_FILE)


async def _send(folder: Path) -> None:
    layout = read_layout(folder)
    fleet = read_fleet_file(Path(layout.file))
    print(SENDING.decode(), end="", flush=True)
    await run_load(fleet, layout)


if __name__ == "__main__":
    asyncio.run(_send(Path(sys.argv[1])))
