"""Figures of a load: request counts by category, time to first event, and gaps between events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from madderwind.testing.local_fleet.outcomes import Outcome, OutcomeCategory

HISTOGRAM_MAX_US, HISTOGRAM_DIGITS, US_PER_MS = 120_000_000, 3, 1000.0


class LatencyQuantiles(msgspec.Struct, frozen=True):
    """Latency quantiles in milliseconds; all 0 if there were no values."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    longest_ms: float


class KindFigures(msgspec.Struct, frozen=True):
    """Figures of one kind of request, or of all kinds."""

    kind: str
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    tries: int
    first: LatencyQuantiles
    between: LatencyQuantiles


def latency_quantiles(values_ms: Iterable[float]) -> LatencyQuantiles:
    """Compute the quantiles of some times with a histogram in microseconds."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(min(max(1, round(value_ms * US_PER_MS)), HISTOGRAM_MAX_US))
    count = histogram.get_total_count()
    if not count:
        return LatencyQuantiles(0, 0.0, 0.0, 0.0, 0.0)
    p50, p95, p99, longest = (
        histogram.get_value_at_percentile(percentile) / US_PER_MS for percentile in (50, 95, 99, 100)
    )
    return LatencyQuantiles(count, p50, p95, p99, longest)


def kind_figures(kind: str, outcomes: Sequence[Outcome]) -> KindFigures:
    """Compute the figures of these outcomes under the name `kind`."""
    counts = Counter(outcome.fate for outcome in outcomes)
    return KindFigures(
        kind=kind,
        requests=len(outcomes),
        in_time=counts[OutcomeCategory.IN_TIME],
        late=counts[OutcomeCategory.LATE],
        refused=counts[OutcomeCategory.REFUSED],
        failed=counts[OutcomeCategory.FAILED],
        tries=sum(len(outcome.tries) for outcome in outcomes),
        first=latency_quantiles(outcome.first_ms for outcome in outcomes if outcome.first_ms is not None),
        between=latency_quantiles(gap_ms for outcome in outcomes for gap_ms in outcome.gaps_ms),
    )


def load_delay(outcomes: Sequence[Outcome]) -> LatencyQuantiles:
    """The send delay of the load generator itself: a busy machine delays its clients too."""
    return latency_quantiles(
        outcome.tries[0].sent_ms - outcome.at_ms for outcome in outcomes if outcome.tries
    )


def all_figures(outcomes: Sequence[Outcome]) -> list[KindFigures]:
    """Compute the figures of each kind, followed by those of all kinds together."""
    kinds = sorted({outcome.kind for outcome in outcomes})
    by_kind = [kind_figures(kind, [o for o in outcomes if o.kind == kind]) for kind in kinds]
    return [*by_kind, kind_figures("all", outcomes)]
