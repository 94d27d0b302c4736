"""Tables, plots and comparisons of records, with confidence intervals over seeds."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from statistics import fmean
from typing import Any, TypeVar

from madderwind.testing.simulation.experiment import ExperimentError
from madderwind.testing.simulation.records import Record

K = TypeVar("K")
R = TypeVar("R")
Figure = Callable[[Record], float]
FIGURES: dict[str, Figure] = {
    "goodput": lambda r: r.goodput,
    "refused": lambda r: r.refused / max(1, r.wishes),
    "failed": lambda r: r.failed / max(1, r.wishes),
    "tries a wish": lambda r: r.tries / max(1, r.wishes),
    "p50 ms": lambda r: r.p50_ms,
    "p99 ms": lambda r: r.p99_ms,
}
RESAMPLES = 2000
# Up to this many pairs the permutation test is exact; above it, sign permutations are sampled.
EXACT_PAIRS = 14


def interval(values: Sequence[float], seed: int = 1) -> tuple[float, float, float]:
    """The mean and its 95 % bootstrap confidence interval over the seeds."""
    generator = random.Random(seed)
    means = sorted(fmean(generator.choices(values, k=len(values))) for _ in range(RESAMPLES))
    return fmean(values), means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES) - 1]


def chance_of(differences: Sequence[float], seed: int = 1) -> float:
    """The two-sided p-value of the mean difference under a sign permutation test.

    The test is exact for up to EXACT_PAIRS pairs and sampled above that.
    """
    if not any(differences):
        return 1.0
    observed = abs(sum(differences)) * (1 - 1e-12)
    sizes = [abs(d) for d in differences]
    if len(sizes) <= EXACT_PAIRS:
        permutations = itertools.product((-1, 1), repeat=len(sizes))
        sums = [abs(sum(s * d for s, d in zip(signs, sizes, strict=True))) for signs in permutations]
    else:
        generator = random.Random(seed)
        sums = [abs(sum(generator.choice((-1, 1)) * d for d in sizes)) for _ in range(20 * RESAMPLES)]
    return sum(s >= observed for s in sums) / len(sums)


def groups(records: Sequence[Record]) -> dict[tuple[str, str], list[Record]]:
    """Records by chosen values and policy."""
    return grouped(records, lambda record: record.chosen, lambda record: record.policy)


def grouped(
    records: Sequence[R], chosen: Callable[[R], dict[str, Any]], who: Callable[[R], str]
) -> dict[tuple[str, str], list[R]]:
    """Records by the text of their chosen values and by the result of `who`, such as the policy."""
    found: dict[tuple[str, str], list[R]] = {}
    for record in records:
        text = ", ".join(f"{name}={value}" for name, value in chosen(record).items()) or "-"
        found.setdefault((text, who(record)), []).append(record)
    return found


def table(records: Sequence[Record]) -> str:
    """A Markdown table with one row per group and each figure as its mean and interval over seeds."""
    lines = [
        "| chosen | policy | seeds | " + " | ".join(FIGURES) + " | rules broken |",
        "| --- | --- | --- |" + " --- |" * (len(FIGURES) + 1),
    ]
    for (chosen, policy), group in groups(records).items():
        cells = []
        for name, figure in FIGURES.items():
            mean, low, high = interval([figure(record) for record in group])
            digits = 0 if name.endswith("ms") else 3
            cells.append(f"{mean:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})")
        broken = sorted({b.rule for record in group for b in record.broken})
        runs = sum(bool(record.broken) for record in group)
        violations = f"{', '.join(map(str, broken))} in {runs} runs" if broken else "none"
        lines.append(f"| {chosen} | {policy} | {len(group)} | {' | '.join(cells)} | {violations} |")
    return "\n".join(lines) + "\n"


def breaks(records: Sequence[Record]) -> str:
    """The first rule violation of each run that has one, with its request, copy and time."""
    return "".join(
        f"{record.policy}, seed {record.seed}: rule {first.rule} at {first.at_ms:.0f} ms, copy {first.copy}, "
        f"request {first.request}: {first.text}\n"
        for record in records
        if record.broken and (first := record.broken[0])
    )


def compare(ours: Sequence[Record], theirs: Sequence[Record], name: str) -> str:
    """One line on the paired difference of a figure between two sets of runs, and its significance."""
    figure = FIGURES[name]
    by_seed = [{(str(r.chosen), r.seed): figure(r) for r in records} for records in (ours, theirs)]
    return compare_pairs(name, *by_seed)


def compare_pairs(name: str, ours: Mapping[K, float], theirs: Mapping[K, float]) -> str:
    """One line on the paired difference of a figure, given by chosen values and seed."""
    differences = [value - theirs[key] for key, value in ours.items() if key in theirs]
    if not differences:
        raise ExperimentError("compare: the two sets have no seed in common")
    mean, low, high = interval(differences)
    p_value = chance_of(differences)
    # Two of the 2**n sign permutations of n pairs always reach the observed difference.
    smallest_p_value = 2.0 ** (1 - len(differences))
    verdict = "more than chance" if p_value <= 0.05 else "within chance"
    if smallest_p_value > 0.05:
        verdict = "too few seeds to tell"
    return (
        f"{name}: {mean:+.4f} ({low:+.4f} to {high:+.4f}) over {len(differences)} pairs, "
        f"p = {p_value:.3f}: {verdict}"
    )


def plot(records: Sequence[Record], path: Path) -> None:
    """Plots goodput by second: one line per group, with the range over seeds as a band."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for (chosen, policy), group in groups(records).items():
        series = [[s.in_time / s.asked if s.asked else float("nan") for s in r.seconds] for r in group]
        by_second = list(zip(*series, strict=True))[:-1]
        at_s = range(len(by_second))
        axes.plot(at_s, [fmean(part) for part in by_second], label=f"{policy} {chosen}".rstrip(" -"))
        axes.fill_between(at_s, [min(p) for p in by_second], [max(p) for p in by_second], alpha=0.12)
    axes.set(
        xlabel="second asked", ylabel="part served in time", ylim=(-0.02, 1.02), title=records[0].experiment
    )
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
