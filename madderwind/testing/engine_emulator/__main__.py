"""`python -m madderwind.testing.engine_emulator FILE...`: runs placement experiments and prints figures."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire

from madderwind.testing.engine_emulator.experiment import Experiment, read_experiment
from madderwind.testing.engine_emulator.fleet import Fleet, Served
from madderwind.testing.engine_emulator.report import Figures, figures, table


def run_experiments(*files: str, cores: int = 4, seeds: int = 0, policies: str | Sequence[str] = ()) -> None:
    """Run each file's experiment with each of its policies and seeds.

    `policies`: comma-separated names, which fire may pass as a tuple.
    """
    for file in files:
        experiment = read_experiment(Path(file))
        selected = policies.split(",") if isinstance(policies, str) and policies else policies
        names = list(selected or experiment.policies)
        runs = [(name, seed) for name in names for seed in range(seeds or experiment.seeds)]
        with ProcessPoolExecutor(cores) as pool:
            results = list(pool.map(_run, [experiment] * len(runs), *zip(*runs, strict=True)))
        print(f"{experiment.name}: {experiment.question}")
        print(table([_policy_figures(name, experiment, runs, results) for name in names]))


def _run(experiment: Experiment, policy: str, seed: int) -> list[Served]:
    return Fleet(experiment, policy, seed).run()


def _policy_figures(
    policy: str, experiment: Experiment, runs: list[tuple[str, int]], results: list[list[Served]]
) -> Figures:
    served = [
        request for (name, _), run in zip(runs, results, strict=True) if name == policy for request in run
    ]
    return figures(policy, experiment, served)


if __name__ == "__main__":
    fire.Fire(run_experiments)
