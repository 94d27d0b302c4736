"""`madderwind lab`: play experiments, report on their records, compare two policies or versions."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from madderwind.testing.simulation import messages, outages, report
from madderwind.testing.simulation.experiment import ExperimentError, plays, read_experiment
from madderwind.testing.simulation.records import play_all, read_records
from madderwind.testing.simulation.report import FIGURES, compare


def lab(said: dict[str, Any]) -> int:
    """The command that docopt read; its exit code."""
    try:
        if said["run"]:
            return _run(Path(said["FILE"]), said["--out"], int(said["--cores"] or os.cpu_count() or 1))
        if said["words"] or said["outages"]:
            kind = messages if said["words"] else outages
            return _table(kind, Path(said["FILE"]), int(said["--cores"] or os.cpu_count() or 1))
        if said["report"]:
            return show(report, read_records(Path(said["FOLDER"])), said["--plot"])
        return _compare(said)
    except (ExperimentError, ValueError) as error:
        print(f"madderwind lab: {error}", file=sys.stderr)
        return 1


def _run(path: Path, out: str | None, cores: int) -> int:
    experiment = read_experiment(path)
    folder = Path(out or f"{path.stem}-records")
    for record in play_all(experiment, folder, cores):
        chosen = "".join(f" {name}={value}" for name, value in record.chosen.items())
        print(
            f"{record.policy}{chosen} seed {record.seed}: goodput {record.goodput:.3f}, "
            f"{record.events} events in {record.took_s:.1f} s, rules broken {len(record.broken)}",
            flush=True,
        )
    return show(report, read_records(folder), None)


def _table(kind: Any, path: Path, cores: int) -> int:
    """`kind`: a module that reads such a file, plays it, and makes a table of it."""
    with ProcessPoolExecutor(max_workers=cores) as pool:
        waits = [pool.submit(kind.play, *run) for run in plays(kind.read(path))]
        print(kind.table([wait.result() for wait in waits]), end="")
    return 0


def show(kind: Any, records: list[Any], picture: str | None) -> int:
    """`kind`: a module that makes a table of such records, words what broke, and plots them."""
    print(kind.table(records), end="")
    print(kind.breaks(records), end="")
    if picture:
        kind.plot(records, Path(picture))
    return 0


def _compare(said: dict[str, Any]) -> int:
    ours = read_records(Path(said["FOLDER"]))
    theirs = read_records(Path(said["OTHER"])) if said["OTHER"] else ours
    policy, other = said["--policy"] or "madderwind", said["--against"] or said["--policy"] or "madderwind"
    if theirs is ours and policy == other:
        raise ExperimentError("compare: name another folder, or --against another policy")
    ours = [record for record in ours if record.policy == policy]
    theirs = [record for record in theirs if record.policy == other]
    for name in FIGURES:
        print(compare(ours, theirs, name))
    return 0
