"""`madderwind drill`: play drills, report on their records, compare two programs under the same schedules."""

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


def drill(said: dict[str, Any]) -> int:
    """The command that docopt read; its exit code: 1 also where a rule was broken or a bound missed."""
    try:
        if said["run"]:
            return _run(said)
        if said["report"]:
            return show(report, read_drills(Path(said["FOLDER"])), said["--plot"])
        print(compare(read_drills(Path(said["A"])), read_drills(Path(said["B"]))), end="")
        return 0
    except (ExperimentError, DrillError, ValueError) as error:
        print(f"madderwind drill: {error}", file=sys.stderr)
        return 1


def _run(said: dict[str, Any]) -> int:
    path = Path(said["FILE"])
    scenario = read_scenario(path)
    programs = [Program()] + [_checkout(words) for words in said["--beside"]]
    seeds = range(1, int(said["--seeds"] or scenario.seeds) + 1)
    out = Path(said["--out"] or f"{path.stem}-drills")
    held = True
    for record in run_all(scenario, programs, out, seeds):
        held = held and record.held
        chosen = "".join(f" {name}={value}" for name, value in record.chosen.items())
        print(
            f"{record.program}{chosen} seed {record.seed}: {record.asked} asked, rules broken "
            f"{len(record.broken)}, bounds missed {len(record.missed)}, {record.took_s} s",
            flush=True,
        )
    show(report, read_drills(out), None)
    return 0 if held else 1


def _checkout(words: str) -> Program:
    """NAME=FOLDER: another checkout of the program, run by this one's interpreter."""
    name, equals, folder = words.partition("=")
    if not equals or not name.isidentifier() or not (Path(folder) / "madderwind").is_dir():
        raise DrillError(f"--beside={words}: say NAME=FOLDER, a checkout of the program")
    ran = subprocess.run(
        [sys.executable, "-m", "madderwind", "version"], cwd=folder, capture_output=True, check=False
    )
    if ran.returncode:
        raise DrillError(f"--beside={words}: the program there does not start")
    return Program(name, folder=str(Path(folder).resolve()))
