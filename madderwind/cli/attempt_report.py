"""Sums up the attempts in data planes' logs: the late ones, and what was known as they were placed."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from madderwind.placement.attempt_record import AttemptRecord

ATTEMPT = "attempt"


class LateCause(Enum):
    """Why a first event came after its objective."""

    OWN_PREFILL = "own prefill"  # it would have been late alone
    QUEUE = "queue"  # what was known to wait there made it late
    NOT_FORESEEN = "not foreseen"  # it was expected in time


class AttemptLine(AttemptRecord, frozen=True, kw_only=True):
    """A line of the log about one attempt."""

    event: str
    route: str
    result: str | None

    @property
    def late_cause(self) -> LateCause | None:
        """Why its first event was late; None where it was in time, or did not come."""
        if self.first_ms is None or self.first_ms <= self.aim_ms:
            return None
        if self.alone_first_ms > self.aim_ms:
            return LateCause.OWN_PREFILL
        return LateCause.QUEUE if self.predicted_first_ms > self.aim_ms else LateCause.NOT_FORESEEN


_decoder = msgspec.json.Decoder(AttemptLine)


def read_attempts(lines: Iterable[str]) -> list[AttemptLine]:
    """The attempts among the lines of logs; what stands before a line's object is passed over."""
    attempts = []
    for line in lines:
        start = line.find("{")
        if start < 0 or f'"event":"{ATTEMPT}"' not in line:
            continue
        try:
            attempts.append(_decoder.decode(line[start:]))
        except msgspec.MsgspecError:
            continue  # a line that was cut
    return attempts


def attempt_table(attempts: Sequence[AttemptLine]) -> str:
    """One row a route, and one for all; times in ms."""
    by_route: defaultdict[str, list[AttemptLine]] = defaultdict(list)
    for attempt in attempts:
        by_route[attempt.route].append(attempt)
    rows = [_row(route, by_route[route]) for route in sorted(by_route)]
    return "\n".join([_HEAD, *rows, _row("all", attempts)])


_HEAD = (
    f"{'route':16}{'attempts':>9}{'no event':>9}{'late':>7}{'own':>6}{'queue':>7}{'unseen':>7}"
    f"{'alone':>7}{'told':>7}{'took':>7}{'error':>7}{'age':>6}{'kept':>7}{'home':>6}{'cached':>7}{'spill':>6}"
)


def _row(name: str, attempts: Sequence[AttemptLine]) -> str:
    """Counts, the late ones by cause, medians, shares of tokens kept and of reasons."""
    with_event = [attempt for attempt in attempts if attempt.first_ms is not None]
    causes = Counter(attempt.late_cause for attempt in with_event)
    late = sum(count for cause, count in causes.items() if cause is not None)
    shared = sum(attempt.shared_tokens for attempt in attempts)
    cached = sum(min(attempt.cached_tokens, attempt.shared_tokens) for attempt in attempts)
    reasons = Counter(attempt.reason.value for attempt in attempts)
    took_ms = [attempt.first_ms for attempt in with_event if attempt.first_ms is not None]
    errors_ms = [
        attempt.first_ms - attempt.predicted_first_ms
        for attempt in with_event
        if attempt.first_ms is not None
    ]
    return (
        f"{name:16}{len(attempts):9d}{len(attempts) - len(with_event):9d}{late:7d}"
        f"{causes[LateCause.OWN_PREFILL]:6d}{causes[LateCause.QUEUE]:7d}{causes[LateCause.NOT_FORESEEN]:7d}"
        f"{_median([attempt.alone_first_ms for attempt in attempts]):7.0f}"
        f"{_median([attempt.predicted_first_ms for attempt in attempts]):7.0f}"
        f"{_median(took_ms):7.0f}{_median(errors_ms):7.0f}"
        f"{_median([attempt.peer_load_age_ms for attempt in attempts]):6.0f}"
        f"{cached / max(shared, 1):7.2f}"
        f"{_share(reasons, 'home'):6.2f}{_share(reasons, 'cached'):7.2f}{_share(reasons, 'spill'):6.2f}"
    )


def _median(values: Sequence[float]) -> float:
    return statistics.median(values) if values else 0.0


def _share(reasons: Counter[str], reason: str) -> float:
    return reasons[reason] / max(reasons.total(), 1)
