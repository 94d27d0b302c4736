"""`madderwind drill`: run drills, report on their records, compare two programs under the same schedules."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

from madderwind.testing.fault_tests import report
from madderwind.testing.fault_tests.fleet import DrillError, Program
from madderwind.testing.fault_tests.records import run_all
from madderwind.testing.fault_tests.report import compare, read_drills
from madderwind.testing.fault_tests.scenario import read_scenario
from madderwind.testing.simulation.command import show
from madderwind.testing.simulation.experiment import ExperimentError


def drill(arguments: dict[str, Any]) -> int:
    """Run the parsed command. Its exit code is 1 also for a broken rule or a missed bound."""
    try:
        if arguments["run"]:
            return _run(arguments)
        if arguments["report"]:
            return show(report, read_drills(Path(arguments["FOLDER"])), arguments["--plot"])
        print(compare(read_drills(Path(arguments["A"])), read_drills(Path(arguments["B"]))), end="")
        return 0
    except (ExperimentError, DrillError, ValueError) as error:
        print(f"madderwind drill: {error}", file=sys.stderr)
        return 1


def _run(arguments: dict[str, Any]) -> int:
    path = Path(arguments["FILE"])
    scenario = read_scenario(path)
    programs = [Program()] + [_checkout(argument) for argument in arguments["--beside"]]
    seeds = range(1, int(arguments["--seeds"] or scenario.seeds) + 1)
    out = Path(arguments["--out"] or f"{path.stem}-drills")
    passed = True
    for record in run_all(scenario, programs, out, seeds):
        passed = passed and record.held
        chosen = "".join(f" {name}={value}" for name, value in record.chosen.items())
        print(
            f"{record.program}{chosen} seed {record.seed}: {record.asked} asked, rules broken "
            f"{len(record.broken)}, bounds missed {len(record.missed)}, {record.took_s} s",
            flush=True,
        )
    show(report, read_drills(out), None)
    return 0 if passed else 1


def _checkout(argument: str) -> Program:
    """Parse NAME=FOLDER: another checkout of the program, run with the interpreter of this one."""
    name, equals, folder = argument.partition("=")
    if not equals or not name.isidentifier() or not (Path(folder) / "madderwind").is_dir():
        raise DrillError(f"--beside={argument}: expected NAME=FOLDER, a checkout of the program")
    version_check = subprocess.run(
        [sys.executable, "-m", "madderwind", "version"], cwd=folder, capture_output=True, check=False
    )
    if version_check.returncode:
        raise DrillError(f"--beside={argument}: the program there does not start")
    return Program(name, folder=str(Path(folder).resolve()))
