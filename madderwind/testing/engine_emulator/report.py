"""The figures of a run, and a table of them."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from madderwind.testing.engine_emulator.experiment import Experiment
from madderwind.testing.engine_emulator.fleet import Served


class Figures(msgspec.Struct, frozen=True):
    """One policy's figures over its runs: shares of 1, times in ms, worth as a share of what is owed."""

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
        """Worth earned less the price of prompts read again."""
        return self.earned - self.price


def figures(policy: str, experiment: Experiment, served: Sequence[Served]) -> Figures:
    """Sum up the requests of one or more runs."""
    owed = sum(one.arrival.kind.worth * one.arrival.size for one in served)
    complete = [one for one in served if one.complete]
    firsts = sorted(one.first_ms for one in served if one.first_ms is not None) or [0.0]
    shared = sum(part.tokens for one in served for part in one.arrival.generation.shared_parts)
    priced = sum(one.priced_tokens for one in served)
    kinds = {one.arrival.kind.name for one in served}
    return Figures(
        policy=policy,
        requests=len(served),
        served=len(complete) / len(served),
        late=sum(not one.in_time for one in complete) / max(len(complete), 1),
        first_p50_ms=_percentile(firsts, 0.5),
        first_p95_ms=_percentile(firsts, 0.95),
        first_p99_ms=_percentile(firsts, 0.99),
        reread=priced / shared if shared else 0.0,
        price=priced / 1000.0 * experiment.reread_price_per_k / owed,
        earned=_earned(served) / owed,
        worst_kind=min(_share_earned(served, kind) for kind in kinds),
    )


def table(rows: Sequence[Figures]) -> str:
    """The figures as lines of text."""
    head = (
        f"{'policy':14}{'requests':>9}{'served':>8}{'late':>7}{'p50':>7}{'p95':>7}{'p99':>7}"
        f"{'reread':>8}{'price':>7}{'earned':>8}{'net':>7}{'worst':>7}"
    )
    lines = [head]
    for row in rows:
        lines.append(
            f"{row.policy:14}{row.requests:9d}{row.served:8.3f}{row.late:7.3f}{row.first_p50_ms:7.0f}"
            f"{row.first_p95_ms:7.0f}{row.first_p99_ms:7.0f}{row.reread:8.3f}{row.price:7.3f}"
            f"{row.earned:8.3f}{row.net:7.3f}{row.worst_kind:7.3f}"
        )
    return "\n".join(lines)


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _earned(served: Sequence[Served]) -> float:
    total = 0.0
    for one in served:
        if one.complete:
            kind = one.arrival.kind
            total += one.arrival.size * (kind.worth if one.in_time else kind.late_worth)
    return total


def _share_earned(served: Sequence[Served], kind: str) -> float:
    of_kind = [one for one in served if one.arrival.kind.name == kind]
    return _earned(of_kind) / sum(one.arrival.kind.worth * one.arrival.size for one in of_kind)
