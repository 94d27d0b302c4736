"""Summarizes the attempts in data planes' logs: late ones by cause, and the predictions made at placement."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from madderwind.placement.attempt_record import AttemptRecord

ATTEMPT_EVENT = "attempt"


class LateCause(Enum):
    """Why the first event of an attempt missed its latency objective."""

    OWN_PREFILL = "own prefill"  # late even on an idle upstream
    QUEUE = "queue"  # the prediction that includes the known queue was late
    NOT_FORESEEN = "not foreseen"  # predicted to be in time


class AttemptLine(AttemptRecord, frozen=True, kw_only=True):
    """A log line that describes one attempt."""

    event: str
    route: str
    result: str | None

    @property
    def late_cause(self) -> LateCause | None:
        """Why the first event was late; None if it was in time or never arrived."""
        if self.first_ms is None or self.first_ms <= self.aim_ms:
            return None
        if self.alone_first_ms > self.aim_ms:
            return LateCause.OWN_PREFILL
        return LateCause.QUEUE if self.predicted_first_ms > self.aim_ms else LateCause.NOT_FORESEEN


_decoder = msgspec.json.Decoder(AttemptLine)


def read_attempts(lines: Iterable[str]) -> list[AttemptLine]:
    """Parse the attempts in log lines; any text before a line's JSON object is ignored."""
    attempts = []
    for line in lines:
        json_start = line.find("{")
        if json_start < 0 or f'"event":"{ATTEMPT_EVENT}"' not in line:
            continue
        try:
            attempts.append(_decoder.decode(line[json_start:]))
        except msgspec.MsgspecError:
            continue  # truncated line
    return attempts


def attempt_table(attempts: Sequence[AttemptLine]) -> str:
    """Render a table with one row per route and one for all routes; times are in ms."""
    by_route: defaultdict[str, list[AttemptLine]] = defaultdict(list)
    for attempt in attempts:
        by_route[attempt.route].append(attempt)
    rows = [_table_row(route, by_route[route]) for route in sorted(by_route)]
    return "\n".join([_HEADER, *rows, _table_row("all", attempts)])


_HEADER = (
    f"{'route':16}{'attempts':>9}{'no event':>9}{'late':>7}{'own':>6}{'queue':>7}{'unseen':>7}"
    f"{'alone':>7}{'pred':>7}{'took':>7}{'error':>7}{'age':>6}{'kept':>7}{'home':>6}{'cached':>7}{'spill':>6}"
)


def _table_row(name: str, attempts: Sequence[AttemptLine]) -> str:
    """Render counts, late attempts by cause, medians, the share of shared tokens cached, and reasons."""
    with_event = [attempt for attempt in attempts if attempt.first_ms is not None]
    causes = Counter(attempt.late_cause for attempt in with_event)
    late_count = sum(count for cause, count in causes.items() if cause is not None)
    shared_total = sum(attempt.shared_tokens for attempt in attempts)
    cached_total = sum(min(attempt.cached_tokens, attempt.shared_tokens) for attempt in attempts)
    reasons = Counter(attempt.reason.value for attempt in attempts)
    first_event_ms = [attempt.first_ms for attempt in with_event if attempt.first_ms is not None]
    prediction_errors_ms = [
        attempt.first_ms - attempt.predicted_first_ms
        for attempt in with_event
        if attempt.first_ms is not None
    ]
    return (
        f"{name:16}{len(attempts):9d}{len(attempts) - len(with_event):9d}{late_count:7d}"
        f"{causes[LateCause.OWN_PREFILL]:6d}{causes[LateCause.QUEUE]:7d}{causes[LateCause.NOT_FORESEEN]:7d}"
        f"{_median([attempt.alone_first_ms for attempt in attempts]):7.0f}"
        f"{_median([attempt.predicted_first_ms for attempt in attempts]):7.0f}"
        f"{_median(first_event_ms):7.0f}{_median(prediction_errors_ms):7.0f}"
        f"{_median([attempt.peer_load_age_ms for attempt in attempts]):6.0f}"
        f"{cached_total / max(shared_total, 1):7.2f}"
        f"{_share(reasons, 'home'):6.2f}{_share(reasons, 'cached'):7.2f}{_share(reasons, 'spill'):6.2f}"
    )


def _median(values: Sequence[float]) -> float:
    return statistics.median(values) if values else 0.0


def _share(reasons: Counter[str], reason: str) -> float:
    return reasons[reason] / max(reasons.total(), 1)
