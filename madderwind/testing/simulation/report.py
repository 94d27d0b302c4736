"""Tables, plots and comparisons of records, with intervals over seeds."""

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
# Up to so many pairs every flip of signs is counted; above, so many are drawn.
EXACT_PAIRS = 14


def interval(values: Sequence[float], seed: int = 1) -> tuple[float, float, float]:
    """The mean, and where 95 of 100 means of resampled seeds lie."""
    chance = random.Random(seed)
    means = sorted(fmean(chance.choices(values, k=len(values))) for _ in range(RESAMPLES))
    return fmean(values), means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES) - 1]


def chance_of(differences: Sequence[float], seed: int = 1) -> float:
    """How often signs by chance give a mean difference as large as this one: an exact permutation test where
    there are few pairs."""
    if not any(differences):
        return 1.0
    asked = abs(sum(differences)) * (1 - 1e-12)
    sizes = [abs(d) for d in differences]
    if len(sizes) <= EXACT_PAIRS:
        flips = itertools.product((-1, 1), repeat=len(sizes))
        sums = [abs(sum(s * d for s, d in zip(signs, sizes, strict=True))) for signs in flips]
    else:
        chance = random.Random(seed)
        sums = [abs(sum(chance.choice((-1, 1)) * d for d in sizes)) for _ in range(20 * RESAMPLES)]
    return sum(s >= asked for s in sums) / len(sums)


def groups(records: Sequence[Record]) -> dict[tuple[str, str], list[Record]]:
    """Records by what was chosen and by policy."""
    return grouped(records, lambda record: record.chosen, lambda record: record.policy)


def grouped(
    records: Sequence[R], chosen: Callable[[R], dict[str, Any]], who: Callable[[R], str]
) -> dict[tuple[str, str], list[R]]:
    """Records by what was chosen, as a text, and by whose they are."""
    found: dict[tuple[str, str], list[R]] = {}
    for record in records:
        text = ", ".join(f"{name}={value}" for name, value in chosen(record).items()) or "-"
        found.setdefault((text, who(record)), []).append(record)
    return found


def table(records: Sequence[Record]) -> str:
    """Markdown: a line a group, each figure as its mean and interval over seeds."""
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
        said = f"{', '.join(map(str, broken))} in {runs} runs" if broken else "none"
        lines.append(f"| {chosen} | {policy} | {len(group)} | {' | '.join(cells)} | {said} |")
    return "\n".join(lines) + "\n"


def breaks(records: Sequence[Record]) -> str:
    """The first break of each run that has one, with request, copy and time."""
    return "".join(
        f"{record.policy}, seed {record.seed}: rule {first.rule} at {first.at_ms:.0f} ms, copy {first.copy}, "
        f"request {first.request}: {first.text}\n"
        for record in records
        if record.broken and (first := record.broken[0])
    )


def compare(ours: Sequence[Record], theirs: Sequence[Record], name: str) -> str:
    """A line on two sets of runs of the same seeds: their difference, and whether it is more than chance."""
    figure = FIGURES[name]
    by_seed = [{(str(r.chosen), r.seed): figure(r) for r in records} for records in (ours, theirs)]
    return compare_pairs(name, *by_seed)


def compare_pairs(name: str, ours: Mapping[K, float], theirs: Mapping[K, float]) -> str:
    """The same of one figure by what was chosen and by seed."""
    differences = [value - theirs[key] for key, value in ours.items() if key in theirs]
    if not differences:
        raise ExperimentError("compare: no seed was played by both")
    mean, low, high = interval(differences)
    chance = chance_of(differences)
    least = 2.0 ** (1 - len(differences))
    verdict = "more than chance" if chance <= 0.05 else "within chance"
    if least > 0.05:
        verdict = "too few seeds to tell"
    return (
        f"{name}: {mean:+.4f} ({low:+.4f} to {high:+.4f}) over {len(differences)} pairs, "
        f"p = {chance:.3f}: {verdict}"
    )


def plot(records: Sequence[Record], path: Path) -> None:
    """Goodput by second, a line a group, with the seeds' spread."""
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
