"""Which upstreams the design's idle-first pick draws from; a pure function, alike in both programs."""

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


def idle_first(
    candidates: Sequence[T], is_idle: Callable[[T], bool], load: Callable[[T], float | None]
) -> list[T]:
    """Those with nothing in flight, else those at or under the mean load; an unknown load (None) is at it."""
    if idle := [candidate for candidate in candidates if is_idle(candidate)]:
        return idle
    loads = [load(candidate) for candidate in candidates]
    known = [value for value in loads if value is not None]
    # Rounding must not leave equals above their mean.
    mean = max(sum(known) / len(known), min(known)) if known else 0.0
    rated = zip(candidates, loads, strict=True)
    return [candidate for candidate, value in rated if value is None or value <= mean]
