"""Summary figures of runs, and their table."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from madderwind.testing.engine_emulator.experiment import Experiment
from madderwind.testing.engine_emulator.fleet import Served


class Figures(msgspec.Struct, frozen=True):
    """One policy's figures over its runs.

    Shares are fractions of 1, times in ms. `served` is a share of the requests, `late` of the complete ones,
    `reread` of the tokens in shared parts. `price` and `earned` are shares of the requests' total worth;
    `worst_kind` is the lowest share earned by a kind.
    """

    policy: str
    requests: int
    served: float
    late: float
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    reread: float
    price: float
    earned: float
    worst_kind: float

    @property
    def net(self) -> float:
        """Worth earned minus the price of repeated prefills."""
        return self.earned - self.price


def figures(policy: str, experiment: Experiment, served: Sequence[Served]) -> Figures:
    """Summarize the requests of one or more runs."""
    total_worth = sum(request.arrival.kind.worth * request.arrival.size for request in served)
    complete = [request for request in served if request.complete]
    first_event_times_ms = sorted(request.first_ms for request in served if request.first_ms is not None) or [
        0.0
    ]
    shared = sum(part.tokens for request in served for part in request.arrival.generation.shared_parts)
    repeated = sum(request.priced_tokens for request in served)
    kinds = {request.arrival.kind.name for request in served}
    return Figures(
        policy=policy,
        requests=len(served),
        served=len(complete) / len(served),
        late=sum(not request.in_time for request in complete) / max(len(complete), 1),
        first_p50_ms=_percentile(first_event_times_ms, 0.5),
        first_p95_ms=_percentile(first_event_times_ms, 0.95),
        first_p99_ms=_percentile(first_event_times_ms, 0.99),
        reread=repeated / shared if shared else 0.0,
        price=repeated / 1000.0 * experiment.reread_price_per_k / total_worth,
        earned=_earned_worth(served) / total_worth,
        worst_kind=min(_earned_fraction(served, kind) for kind in kinds),
    )


def table(rows: Sequence[Figures]) -> str:
    """Format the figures as a text table."""
    header = (
        f"{'policy':14}{'requests':>9}{'served':>8}{'late':>7}{'p50':>7}{'p95':>7}{'p99':>7}"
        f"{'reread':>8}{'price':>7}{'earned':>8}{'net':>7}{'worst':>7}"
    )
    lines = [header]
    for row in rows:
        lines.append(
            f"{row.policy:14}{row.requests:9d}{row.served:8.3f}{row.late:7.3f}{row.first_p50_ms:7.0f}"
            f"{row.first_p95_ms:7.0f}{row.first_p99_ms:7.0f}{row.reread:8.3f}{row.price:7.3f}"
            f"{row.earned:8.3f}{row.net:7.3f}{row.worst_kind:7.3f}"
        )
    return "\n".join(lines)


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _earned_worth(served: Sequence[Served]) -> float:
    total = 0.0
    for request in served:
        if request.complete:
            kind = request.arrival.kind
            total += request.arrival.size * (kind.worth if request.in_time else kind.late_worth)
    return total


def _earned_fraction(served: Sequence[Served], kind: str) -> float:
    of_kind = [request for request in served if request.arrival.kind.name == kind]
    return _earned_worth(of_kind) / sum(
        request.arrival.kind.worth * request.arrival.size for request in of_kind
    )
