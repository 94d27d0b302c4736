"""`python -m madderwind.testing.engine_emulator.compare FILE...`: policies compared, seed by seed.

Each row is the mean difference of a policy in net worth from the first on the same seeds, and half the width
of its 95% interval (Student's t).
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
STUDENT_T = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26}
NORMAL = 1.96


def compare(
    *files: str, seeds: int = 5, cores: int = 4, first: str = "placement", others: str | Sequence[str] = ()
) -> None:
    """Play each file with the first policy and the others on the same seeds.

    Args:
        files: experiments in YAML.
        seeds: how many runs of each, 2 at least.
        cores: how many runs at once.
        first: the policy that the others are compared with.
        others: with commas between them; the placement without each of its mechanisms if none is named.
    """
    named = others.split(",") if isinstance(others, str) and others else others
    policies = [first, *(named or ABLATIONS)]
    with ProcessPoolExecutor(cores) as pool:
        for file in files:
            experiment = read_experiment(Path(file))
            runs = [(policy, seed) for policy in policies for seed in range(seeds)]
            results = list(pool.map(_play, [experiment] * len(runs), *zip(*runs, strict=True)))
            by_policy = {policy: results[at * seeds : (at + 1) * seeds] for at, policy in enumerate(policies)}
            print(f"{experiment.name}: {seeds} seeds")
            for policy in policies:
                print(_row(policy, by_policy[first], by_policy[policy]), flush=True)


def _play(experiment: Experiment, policy: str, seed: int) -> Figures:
    return figures(policy, experiment, Fleet(experiment, policy, seed).run())


def _row(name: str, first: Sequence[Figures], other: Sequence[Figures]) -> str:
    differences = [ours.net - base.net for ours, base in zip(other, first, strict=True)]
    mean = statistics.mean(differences)
    degrees = len(differences) - 1
    error = statistics.stdev(differences) / len(differences) ** 0.5
    half_width = STUDENT_T.get(degrees, NORMAL) * error
    net = statistics.mean(run.net for run in other)
    late = statistics.mean(run.late for run in other)
    price = statistics.mean(run.price for run in other)
    return f"  {name:32} net {net:.4f}  {mean:+.4f} +-{half_width:.4f}  late {late:.3f}  price {price:.4f}"


if __name__ == "__main__":
    fire.Fire(compare)
