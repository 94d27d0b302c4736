"""Commands on fleets of this machine."""

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

INTERRUPTED = 130


def up(file: str, folder: str) -> None:
    """Keep a fleet running until interrupted."""
    fleet = read_fleet_file(Path(file))
    asyncio.run(_until_interrupted(_up(fleet, Path(file), _empty(Path(folder)))))


async def _until_interrupted(work: Coroutine[Any, Any, int]) -> int:
    """Carry work out; SIGINT or SIGTERM cancels it, once: what it then does to end is not cut short."""
    task = asyncio.ensure_future(work)
    interrupted = asyncio.Event()

    def interrupt() -> None:
        if not interrupted.is_set():
            interrupted.set()
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, interrupt)
    try:
        return await task
    except asyncio.CancelledError:
        if not interrupted.is_set():
            raise
        return INTERRUPTED


async def _up(fleet: FleetFile, file: Path, folder: Path) -> int:
    async with Supervisor(fleet, file, folder) as supervisor:
        await start_fleet(supervisor, fleet)
        print(_described(supervisor.layout))
        print("Ctrl-C ends it.", flush=True)
        await asyncio.Event().wait()
    return 0


def _described(layout: FleetLayout) -> str:
    lines = [f"Fleet {layout.name} is up; its files are in {layout.folder}"]
    for node in layout.nodes:
        where = {
            NodeKind.CONTROL_PLANE: f"status at {node.status}",
            NodeKind.DATA_PLANE: f"clients at {node.front}",
            NodeKind.UPSTREAM: f"service {node.settings.get('service')}",
        }[node.kind]
        lines.append(f"  {node.name:16}{node.kind.value:15}{node.zone:10}{where}")
    lines.append(f"Operators call {', '.join(layout.control)}")
    return "\n".join(lines)


def demo(file: str, folder: str, baselines: bool) -> int:
    """Start, load, break, check, report; 1 where a promise was broken."""
    fleet = read_fleet_file(Path(file))
    traffic_of(fleet)
    return asyncio.run(_until_interrupted(_demo(fleet, Path(file), _empty(Path(folder)), baselines)))


async def _demo(fleet: FleetFile, file: Path, folder: Path, with_baselines: bool) -> int:
    began_s = time.monotonic()

    def say(text: str) -> None:
        print(f"[{time.monotonic() - began_s:5.1f} s] {text}", flush=True)

    say(f"starting fleet {fleet.name}")
    async with Supervisor(fleet, file, folder) as supervisor:
        layout = supervisor.layout
        await start_fleet(supervisor, fleet)
        say(f"{len(layout.nodes)} processes are up, the configuration is in force; traffic and faults begin")
        outcomes, played, operator = await load_and_break(fleet, layout)
        say("all requests are over; reading the configuration back")
        reads = await read_back(operator)
    violations = check_run(fleet, layout, outcomes, operator.commands, reads)
    say("making the report" + (", other policies are simulated" if with_baselines else ""))
    text = make_report(fleet, layout, outcomes, played, operator, violations, with_baselines)
    print(f"\n{text}")
    say(f"kept in {folder / REPORT_FILE}; a picture over time is {folder / PICTURE_FILE}")
    return int(bool(violations))


def check_file(file: str) -> None:
    """Say that a fleet file can be used; FileFormatError where it can't."""
    fleet = read_fleet_file(Path(file))
    upstreams = sum(group.count for group in fleet.upstreams)
    print(
        f"{file}: {fleet.control_planes} control planes, {fleet.data_planes} data planes, {upstreams} "
        f"upstreams, {len(fleet.faults)} faults"
    )


def load(folder: str, baselines: bool) -> None:
    """Send the traffic and report."""
    fleet, layout = running_fleet(Path(folder))
    traffic_of(fleet)
    outcomes = asyncio.run(run_load(fleet, layout))
    played = [fault for fault in read_faults(Path(folder)) if fault.end_ms >= outcomes[0].at_ms]
    print(make_report(fleet, layout, outcomes, played, None, None, baselines))


def faults(folder: str) -> int:
    """Play the faults and check what is left; 1 where a promise was broken."""
    fleet, layout = running_fleet(Path(folder))
    return asyncio.run(_faults(fleet, layout, Path(folder)))


async def _faults(fleet: FleetFile, layout: FleetLayout, folder: Path) -> int:
    played, operator = await play_faults(fleet, layout)
    for fault in played:
        took = f"{(fault.end_ms - fault.begin_ms) / 1000.0:.1f} s"
        print(f"{fault.what}: {', '.join(fault.nodes)}: {fault.not_played or took}")
    reads = await read_back(operator)
    path = folder / OUTCOMES_FILE
    outcomes = read_outcomes(path) if path.exists() else []
    violations = check_run(fleet, layout, outcomes, operator.commands, reads)
    _print_violations(violations)
    return int(bool(violations))


def _print_violations(violations: list[Violation]) -> None:
    for violation in violations:
        print(f"BROKEN: {violation.promise.value}: {violation.text}")
    if not violations:
        print("every promise that is checked holds")


def _empty(folder: Path) -> Path:
    """The folder for a new fleet; what an earlier fleet left there goes."""
    if folder.exists():
        if not (folder / STATE_FILE).exists() and not _is_left_by_fleet(folder):
            raise LocalFleetError(f"{folder} holds something else than a fleet")
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    return folder


def _is_left_by_fleet(folder: Path) -> bool:
    return not any(folder.iterdir()) or any(folder.glob("*/settings.json"))
