"""Tables, plots over time and comparisons of drill records."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

from hdrh.histogram import HdrHistogram

from madderwind.testing.fault_tests.figures import MAX_LATENCY_US
from madderwind.testing.fault_tests.records import DrillRecord
from madderwind.testing.simulation.experiment import ExperimentError
from madderwind.testing.simulation.records import read_all
from madderwind.testing.simulation.report import compare_pairs, grouped, interval


def read_drills(folder: Path) -> list[DrillRecord]:
    """The records of a folder, or of the programs' folders in it. ExperimentError: there is none, or one is
    unreadable."""
    inner = sorted(
        {path.parent for path in folder.glob("*/*.json") if not path.parent.name.startswith("traces-")}
    )
    return [
        r
        for f in ([folder] if any(folder.glob("*.json")) else inner or [folder])
        for r in read_all(f, DrillRecord)
    ]


def groups(records: Sequence[DrillRecord]) -> dict[tuple[str, str], list[DrillRecord]]:
    """The records by chosen variant and program."""
    found = grouped(records, lambda record: record.chosen, lambda record: record.program)
    return dict(sorted(found.items(), key=lambda item: item[0]))


def table(records: Sequence[DrillRecord]) -> str:
    """A Markdown table with a column per group: the mean and interval over seeds of every figure."""
    by_group = groups(records)
    lines = [
        f"| {records[0].scenario} | "
        + " | ".join(f"{c}, {p}".removeprefix("-, ") for c, p in by_group)
        + " |",
        "| --- |" + " --- |" * len(by_group),
        "| seeds | " + " | ".join(str(len(group)) for group in by_group.values()) + " |",
    ]
    for name in records[0].figures:
        cells = []
        for group in by_group.values():
            mean, low, high = interval([r.figures[name] for r in group if name in r.figures])
            missed = sum(any(m.name == name for m in r.missed) for r in group)
            digits = 0 if abs(mean) >= 100 else 1 if abs(mean) >= 10 else 3
            cell = f"{mean:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"
            cells.append(cell + (f", missed in {missed}" if missed else ""))
        lines.append(f"| {name} | {' | '.join(cells)} |")
    rules = []
    for group in by_group.values():
        numbers = sorted({b.rule for r in group for b in r.broken})
        cell = ", ".join(map(str, numbers))
        rules.append(f"{cell} in {sum(bool(r.broken) for r in group)} runs" if numbers else "none")
    lines.append(f"| rules broken | {' | '.join(rules)} |")
    lines.append("| p50 / p99 ms | " + " | ".join(_times(group) for group in by_group.values()) + " |")
    return "\n".join(lines) + "\n"


def _times(group: Sequence[DrillRecord]) -> str:
    """The latency percentiles of all served requests of a group."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for record in group:
        histogram.decode_and_add(record.times.encode())
    return " / ".join(f"{histogram.get_value_at_percentile(p) / 1000:.0f}" for p in (50, 99))


def breaks(records: Sequence[DrillRecord], most: int = 3) -> str:
    """The first rule violations and the missed bounds of each run that has any."""
    lines = []
    for record in records:
        who = f"{record.program}, seed {record.seed}"
        lines += [
            f"{who}: rule {b.rule} at {b.at_ms:.0f} ms, copy {b.copy}, request {b.request}: {b.text}"
            for b in record.broken[:most]
        ]
        lines += [
            f"{who}: {m.name} is {m.value:g}, at {'most' if m.most is not None else 'least'} "
            f"{m.most if m.most is not None else m.least:g} was required"
            for m in record.missed
        ]
    return "".join(f"{line}\n" for line in lines)


def compare(ours: Sequence[DrillRecord], theirs: Sequence[DrillRecord]) -> str:
    """One line per figure on two sets of drills under the same schedules. ExperimentError: the schedules
    differ."""
    schedules = [{(str(r.chosen), r.seed): r.schedule for r in records} for records in (ours, theirs)]
    for key in schedules[0].keys() & schedules[1].keys():
        if schedules[0][key] != schedules[1][key]:
            raise ExperimentError(f"compare: seed {key[1]} drew another schedule: the scenarios differ")
    lines = []
    for name in ours[0].figures:
        values = [
            {(str(r.chosen), r.seed): r.figures[name] for r in records if name in r.figures}
            for records in (ours, theirs)
        ]
        lines.append(compare_pairs(name, *values))
    return "\n".join(lines) + "\n"


def plot(records: Sequence[DrillRecord], path: Path) -> None:
    """Plot by second the served fraction of the achievable load, and the attempts under a fault; shade the
    faults."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (served, dark) = pyplot.subplots(2, 1, figsize=(10, 7), sharex=True, height_ratios=(2, 1))
    for number, ((chosen, program), group) in enumerate(groups(records).items()):
        by_second = list(zip(*(r.seconds for r in group), strict=True))
        at_s, colour, name = range(len(by_second)), f"C{number % 10}", f"{program} {chosen}".rstrip(" -")
        parts = [fmean(s.in_time / max(1.0, s.could) for s in second) for second in by_second]
        served.plot(at_s, parts, color=colour, label=name)
        dark.plot(at_s, [fmean(s.dark for s in second) for second in by_second], color=colour, label=name)
    for mark in records[0].marks:
        for axes in (served, dark):
            axes.axvspan(mark.begin_s, max(mark.end_s, mark.begin_s + 0.1), color="0.85", zorder=0)
        served.text(mark.begin_s, 1.09, mark.text, fontsize="x-small", rotation=20)
    served.set(ylabel="served in time, of the achievable load", ylim=(-0.02, 1.25))
    served.set_title(records[0].scenario, loc="right")
    dark.set(xlabel="second", ylabel="attempts per second\nunder a fault")
    served.legend(fontsize="small", loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
