"""The report on a run of a local fleet: text tables and a chart over time."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from madderwind.testing.local_fleet.baselines import Baseline
from madderwind.testing.local_fleet.cache_figures import CacheFigures
from madderwind.testing.local_fleet.checker import Promise, Violation
from madderwind.testing.local_fleet.fault_player import InjectedFault
from madderwind.testing.local_fleet.load_figures import KindFigures, LatencyQuantiles
from madderwind.testing.local_fleet.outcomes import Outcome, OutcomeCategory

MS_PER_S = 1000.0
MAX_VIOLATIONS_SHOWN = 10
_CATEGORY_COLOURS = {
    OutcomeCategory.IN_TIME: "tab:green",
    OutcomeCategory.LATE: "tab:olive",
    OutcomeCategory.REFUSED: "tab:orange",
    OutcomeCategory.FAILED: "tab:red",
}


class RunReport(msgspec.Struct, frozen=True):
    """All results of a run. `violations` is None if nothing was checked."""

    name: str
    kinds: Sequence[KindFigures]
    load_delay: LatencyQuantiles
    cache: CacheFigures
    faults: Sequence[InjectedFault]
    baselines: Sequence[Baseline]
    acknowledged_commands: int
    sent_commands: int
    own_ends: int
    violations: Sequence[Violation] | None


def render_report(report: RunReport) -> str:
    """Render the report as text."""
    parts = [
        f"Fleet {report.name}: measured on this machine, over real sockets",
        _kind_table(report.kinds),
        f"Requests left the load tool late by {report.load_delay.p50_ms:.0f} ms (p50), "
        f"{report.load_delay.p99_ms:.0f} ms (p99): the times above include this delay",
        _cache_line(report.cache),
    ]
    if report.faults:
        parts.append(_faults(report))
    if report.baselines:
        parts.append(_baseline_table(report))
    if report.violations is not None:
        parts.append(_guarantee_results(report.violations))
    return "\n\n".join(parts) + "\n"


def _kind_table(kinds: Sequence[KindFigures]) -> str:
    head = (
        f"{'kind':12}{'requests':>9}{'in time':>9}{'late':>6}{'refused':>9}{'failed':>8}{'tries':>7}"
        f"{'first event ms':>22}{'between events ms':>22}"
    )
    quantile_head = f"{'':60}{'p50':>8}{'p95':>7}{'p99':>7}{'p50':>8}{'p95':>7}{'p99':>7}"
    return "\n".join([head, quantile_head, *(_kind_row(kind) for kind in kinds)])


def _kind_row(kind: KindFigures) -> str:
    first, between = kind.first, kind.between
    return (
        f"{kind.kind:12}{kind.requests:9d}{kind.in_time:9d}{kind.late:6d}{kind.refused:9d}{kind.failed:8d}"
        f"{kind.tries:7d}{first.p50_ms:8.0f}{first.p95_ms:7.0f}{first.p99_ms:7.0f}"
        f"{between.p50_ms:8.1f}{between.p95_ms:7.1f}{between.p99_ms:7.1f}"
    )


def _cache_line(cache: CacheFigures) -> str:
    return (
        f"Shared prompt tokens: {cache.requested_tokens}, of which {cache.hit_share:.1%} were found in an "
        f"upstream's cache; {cache.again_share:.1%} were prefilled again shortly after a previous prefill"
    )


def _faults(report: RunReport) -> str:
    begin_ms = min(fault.begin_ms for fault in report.faults)
    lines = ["Faults injected:"]
    for fault in sorted(report.faults, key=lambda fault: fault.begin_ms):
        after_s = (fault.begin_ms - begin_ms) / MS_PER_S
        for_s = (fault.end_ms - fault.begin_ms) / MS_PER_S
        outcome = f"not injected: {fault.not_played}" if fault.not_played else f"for {for_s:.1f} s"
        lines.append(f"  +{after_s:4.1f} s  {fault.what:9} {', '.join(fault.nodes)} {outcome}")
    lines.append(
        f"Operator's changes: {report.acknowledged_commands} of {report.sent_commands} acknowledged. "
        f"Processes that exited unexpectedly: {report.own_ends}"
    )
    return "\n".join(lines)


def _baseline_table(report: RunReport) -> str:
    lines = [
        "The same mix under other policies, simulated in memory without faults (not measured):",
        f"{'policy':24}{'served':>8}{'late':>8}{'first event ms: p50':>21}{'p95':>7}{'p99':>7}"
        f"{'prefilled again':>17}",
    ]
    for baseline in report.baselines:
        figures = baseline.figures
        lines.append(
            f"{baseline.name:24}{figures.served:8.1%}{figures.late:8.1%}{figures.first_p50_ms:21.0f}"
            f"{figures.first_p95_ms:7.0f}{figures.first_p99_ms:7.0f}{figures.reread:17.1%}"
        )
    return "\n".join(lines)


def _guarantee_results(violations: Sequence[Violation]) -> str:
    lines = ["Checked afterwards:"]
    for promise in Promise:
        broken = [violation for violation in violations if violation.promise is promise]
        lines.append(f"  {'BROKEN' if broken else 'holds ':7}{promise.value}")
        lines += [f"          {violation.text}" for violation in broken[:MAX_VIOLATIONS_SHOWN]]
        if len(broken) > MAX_VIOLATIONS_SHOWN:
            lines.append(f"          and {len(broken) - MAX_VIOLATIONS_SHOWN} more")
    return "\n".join(lines)


def draw_chart(path: Path, outcomes: Sequence[Outcome], faults: Sequence[InjectedFault]) -> None:
    """Draw a chart of the requests per second by category, the times to first event, and the faults."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    begin_ms = min(outcome.at_ms for outcome in outcomes)
    figure, (counts, times) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    stacked_counts = [0] * (1 + int(max(outcome.at_ms - begin_ms for outcome in outcomes) / MS_PER_S))
    for fate, colour in _CATEGORY_COLOURS.items():
        by_second = [0] * len(stacked_counts)
        for outcome in outcomes:
            by_second[int((outcome.at_ms - begin_ms) / MS_PER_S)] += outcome.fate is fate
        counts.bar(
            range(len(stacked_counts)),
            by_second,
            bottom=stacked_counts,
            color=colour,
            label=fate.value,
            align="edge",
        )
        stacked_counts = [low + more for low, more in zip(stacked_counts, by_second, strict=True)]
    for kind in sorted({outcome.kind for outcome in outcomes}):
        points = [
            ((outcome.at_ms - begin_ms) / MS_PER_S, outcome.first_ms)
            for outcome in outcomes
            if outcome.kind == kind and outcome.first_ms is not None
        ]
        times.plot([at_s for at_s, _ in points], [first for _, first in points], ".", label=kind)
    for axes in (counts, times):
        for fault in faults:
            span_s = ((fault.begin_ms - begin_ms) / MS_PER_S, (fault.end_ms - begin_ms) / MS_PER_S)
            axes.axvspan(*span_s, alpha=0.12, color="black")
        axes.legend(fontsize="small", loc="upper right")
    for fault in faults:
        at_s = (fault.begin_ms - begin_ms) / MS_PER_S
        counts.annotate(f"{fault.what} {', '.join(fault.nodes)}", (at_s, 0), rotation=90, fontsize=7)
    counts.set(ylabel="requests a second")
    times.set(ylabel="first event, ms", xlabel="second", yscale="log")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
