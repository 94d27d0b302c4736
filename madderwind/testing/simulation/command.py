"""`madderwind lab`: runs experiments, reports on their records and compares two policies or versions."""

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


def lab(arguments: dict[str, Any]) -> int:
    """Runs the command in the arguments that docopt parsed. Returns the exit code."""
    try:
        if arguments["run"]:
            return _run(
                Path(arguments["FILE"]), arguments["--out"], int(arguments["--cores"] or os.cpu_count() or 1)
            )
        if arguments["words"] or arguments["outages"]:
            module = messages if arguments["words"] else outages
            return _print_table(
                module, Path(arguments["FILE"]), int(arguments["--cores"] or os.cpu_count() or 1)
            )
        if arguments["report"]:
            return show(report, read_records(Path(arguments["FOLDER"])), arguments["--plot"])
        return _compare(arguments)
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


def _print_table(module: Any, path: Path, cores: int) -> int:
    """Runs the experiment file and prints its table.

    `module` provides `read`, `play` and `table` for this kind of experiment.
    """
    with ProcessPoolExecutor(max_workers=cores) as pool:
        futures = [pool.submit(module.play, *run) for run in plays(module.read(path))]
        print(module.table([future.result() for future in futures]), end="")
    return 0


def show(module: Any, records: list[Any], plot_path: str | None) -> int:
    """Prints the table and the rule violations of the records, and plots them to `plot_path` if given.

    `module` provides `table`, `breaks` and `plot` for this kind of record.
    """
    print(module.table(records), end="")
    print(module.breaks(records), end="")
    if plot_path:
        module.plot(records, Path(plot_path))
    return 0


def _compare(arguments: dict[str, Any]) -> int:
    first = read_records(Path(arguments["FOLDER"]))
    second = read_records(Path(arguments["OTHER"])) if arguments["OTHER"] else first
    policy, other_policy = (
        arguments["--policy"] or "madderwind",
        arguments["--against"] or arguments["--policy"] or "madderwind",
    )
    if second is first and policy == other_policy:
        raise ExperimentError("compare: give a second folder, or another policy with --against")
    first = [record for record in first if record.policy == policy]
    second = [record for record in second if record.policy == other_policy]
    for name in FIGURES:
        print(compare(first, second, name))
    return 0
