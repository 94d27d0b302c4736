"""Which upstreams the design's idle-first pick draws from; a pure function, alike in both programs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

Candidate = TypeVar("Candidate")


def idle_first(
    candidates: Sequence[Candidate],
    in_flight: Callable[[Candidate], int],
    load: Callable[[Candidate], float | None],
) -> list[Candidate]:
    """Those with nothing in flight; failing that, those at or under the mean load.

    A load of None is not known yet and counts as at the mean."""
    if idle := [candidate for candidate in candidates if not in_flight(candidate)]:
        return idle
    loads = [load(candidate) for candidate in candidates]
    known = [value for value in loads if value is not None]
    # Rounding must not leave equals above their mean.
    mean = max(sum(known) / len(known), min(known)) if known else 0.0
    rated = zip(candidates, loads, strict=True)
    return [candidate for candidate, value in rated if value is None or value <= mean]
