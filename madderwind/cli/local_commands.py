"""Commands for fleets on this machine."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from madderwind.errors import LocalFleetError
from madderwind.testing.local_fleet.checker import Violation
from madderwind.testing.local_fleet.fault_player import read_faults
from madderwind.testing.local_fleet.fleet_file import FleetFile, read_fleet_file
from madderwind.testing.local_fleet.layout import STATE_FILE, FleetLayout, NodeKind
from madderwind.testing.local_fleet.load import run_load, traffic_of
from madderwind.testing.local_fleet.outcomes import OUTCOMES_FILE, read_outcomes
from madderwind.testing.local_fleet.run import (
    PICTURE_FILE,
    REPORT_FILE,
    check_run,
    load_and_break,
    make_report,
    play_faults,
    read_back,
    running_fleet,
    start_fleet,
)
from madderwind.testing.local_fleet.supervisor import Supervisor

INTERRUPTED_EXIT_CODE = 130


def up(file: str, folder: str) -> None:
    """Start a fleet and keep it running until interrupted."""
    fleet = read_fleet_file(Path(file))
    asyncio.run(_until_interrupted(_up(fleet, Path(file), _emptied_folder(Path(folder)))))


async def _until_interrupted(coroutine: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine; the first SIGINT or SIGTERM cancels it, later ones don't interrupt its cleanup."""
    task = asyncio.ensure_future(coroutine)
    interrupted = asyncio.Event()

    def interrupt() -> None:
        if not interrupted.is_set():
            interrupted.set()
            task.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, interrupt)
    try:
        return await task
    except asyncio.CancelledError:
        if not interrupted.is_set():
            raise
        return INTERRUPTED_EXIT_CODE


async def _up(fleet: FleetFile, file: Path, folder: Path) -> int:
    async with Supervisor(fleet, file, folder) as supervisor:
        await start_fleet(supervisor, fleet)
        print(_fleet_summary(supervisor.layout))
        print("Press Ctrl-C to stop it.", flush=True)
        await asyncio.Event().wait()
    return 0


def _fleet_summary(layout: FleetLayout) -> str:
    lines = [f"Fleet {layout.name} is up; its files are in {layout.folder}"]
    for node in layout.nodes:
        detail = {
            NodeKind.CONTROL_PLANE: f"status at {node.status}",
            NodeKind.DATA_PLANE: f"clients at {node.front}",
            NodeKind.UPSTREAM: f"service {node.settings.get('service')}",
        }[node.kind]
        lines.append(f"  {node.name:16}{node.kind.value:15}{node.zone:10}{detail}")
    lines.append(f"Operators call {', '.join(layout.control)}")
    return "\n".join(lines)


def demo(file: str, folder: str, baselines: bool) -> int:
    """Start a fleet, apply load and faults, check and report; return 1 if a guarantee was violated."""
    fleet = read_fleet_file(Path(file))
    traffic_of(fleet)
    return asyncio.run(_until_interrupted(_demo(fleet, Path(file), _emptied_folder(Path(folder)), baselines)))


async def _demo(fleet: FleetFile, file: Path, folder: Path, with_baselines: bool) -> int:
    started_s = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"[{time.monotonic() - started_s:5.1f} s] {text}", flush=True)

    print_progress(f"starting fleet {fleet.name}")
    async with Supervisor(fleet, file, folder) as supervisor:
        layout = supervisor.layout
        await start_fleet(supervisor, fleet)
        print_progress(
            f"{len(layout.nodes)} processes are up, the configuration is in force; starting load and faults"
        )
        outcomes, injected_faults, operator = await load_and_break(fleet, layout)
        print_progress("all requests have ended; reading the configuration back")
        reads = await read_back(operator)
    violations = check_run(fleet, layout, outcomes, operator.commands, reads)
    print_progress("writing the report" + (" and simulating other policies" if with_baselines else ""))
    text = make_report(fleet, layout, outcomes, injected_faults, operator, violations, with_baselines)
    print(f"\n{text}")
    print_progress(f"report written to {folder / REPORT_FILE}, chart over time to {folder / PICTURE_FILE}")
    return int(bool(violations))


def check_file(file: str) -> None:
    """Print a summary of a valid fleet file; FileFormatError if it is not valid."""
    fleet = read_fleet_file(Path(file))
    upstreams = sum(group.count for group in fleet.upstreams)
    print(
        f"{file}: {fleet.control_planes} control planes, {fleet.data_planes} data planes, {upstreams} "
        f"upstreams, {len(fleet.faults)} faults"
    )


def load(folder: str, baselines: bool) -> None:
    """Send the traffic and print a report."""
    fleet, layout = running_fleet(Path(folder))
    traffic_of(fleet)
    outcomes = asyncio.run(run_load(fleet, layout))
    injected_faults = [fault for fault in read_faults(Path(folder)) if fault.end_ms >= outcomes[0].at_ms]
    print(make_report(fleet, layout, outcomes, injected_faults, None, None, baselines))


def faults(folder: str) -> int:
    """Inject the faults and check the fleet; return 1 if a guarantee was violated."""
    fleet, layout = running_fleet(Path(folder))
    return asyncio.run(_faults(fleet, layout, Path(folder)))


async def _faults(fleet: FleetFile, layout: FleetLayout, folder: Path) -> int:
    injected_faults, operator = await play_faults(fleet, layout)
    for fault in injected_faults:
        duration = f"{(fault.end_ms - fault.begin_ms) / 1000.0:.1f} s"
        print(f"{fault.what}: {', '.join(fault.nodes)}: {fault.not_played or duration}")
    reads = await read_back(operator)
    path = folder / OUTCOMES_FILE
    outcomes = read_outcomes(path) if path.exists() else []
    violations = check_run(fleet, layout, outcomes, operator.commands, reads)
    _print_violations(violations)
    return int(bool(violations))


def _print_violations(violations: list[Violation]) -> None:
    for violation in violations:
        print(f"VIOLATED: {violation.promise.value}: {violation.text}")
    if not violations:
        print("all checked guarantees hold")


def _emptied_folder(folder: Path) -> Path:
    """Create the folder for a new fleet; files that an earlier fleet left there are deleted."""
    if folder.exists():
        if not (folder / STATE_FILE).exists() and not _contains_fleet_files(folder):
            raise LocalFleetError(f"{folder} contains files that don't belong to a fleet")
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    return folder


def _contains_fleet_files(folder: Path) -> bool:
    return not any(folder.iterdir()) or any(folder.glob("*/settings.json"))
