"""`python -m madderwind.testing.engine_emulator.compare FILE...`: compares policies on the same seeds.

Each row has the mean difference in net worth between a policy and the first one on the same seeds, and the
half-width of its 95% confidence interval (Student's t).
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire

from madderwind.placement.ablation import Ablation
from madderwind.testing.engine_emulator.experiment import Experiment, read_experiment
from madderwind.testing.engine_emulator.fleet import Fleet
from madderwind.testing.engine_emulator.report import Figures, figures

ABLATIONS = tuple(f"without-{name}" for name in Ablation.__struct_fields__)
# Two-sided 95% quantiles of Student's t, by degrees of freedom.
STUDENT_T_QUANTILES = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26}
NORMAL_QUANTILE = 1.96


def compare(
    *files: str, seeds: int = 5, cores: int = 4, first: str = "placement", others: str | Sequence[str] = ()
) -> None:
    """Run each experiment with the first policy and the others on the same seeds.

    Args:
        files: YAML files of experiments.
        seeds: number of runs of each policy, at least 2.
        cores: number of parallel runs.
        first: the baseline policy.
        others: comma-separated policies; by default the placement without each of its mechanisms.
    """
    selected = others.split(",") if isinstance(others, str) and others else others
    policies = [first, *(selected or ABLATIONS)]
    with ProcessPoolExecutor(cores) as pool:
        for file in files:
            experiment = read_experiment(Path(file))
            runs = [(policy, seed) for policy in policies for seed in range(seeds)]
            results = list(pool.map(_run, [experiment] * len(runs), *zip(*runs, strict=True)))
            by_policy = {
                policy: results[index * seeds : (index + 1) * seeds] for index, policy in enumerate(policies)
            }
            print(f"{experiment.name}: {seeds} seeds")
            for policy in policies:
                print(_row(policy, by_policy[first], by_policy[policy]), flush=True)


def _run(experiment: Experiment, policy: str, seed: int) -> Figures:
    return figures(policy, experiment, Fleet(experiment, policy, seed).run())


def _row(name: str, first: Sequence[Figures], other: Sequence[Figures]) -> str:
    differences = [policy_run.net - baseline.net for policy_run, baseline in zip(other, first, strict=True)]
    mean = statistics.mean(differences)
    degrees_of_freedom = len(differences) - 1
    standard_error = statistics.stdev(differences) / len(differences) ** 0.5
    half_width = STUDENT_T_QUANTILES.get(degrees_of_freedom, NORMAL_QUANTILE) * standard_error
    net = statistics.mean(run.net for run in other)
    late = statistics.mean(run.late for run in other)
    price = statistics.mean(run.price for run in other)
    return f"  {name:32} net {net:.4f}  {mean:+.4f} +-{half_width:.4f}  late {late:.3f}  price {price:.4f}"


if __name__ == "__main__":
    fire.Fire(compare)
