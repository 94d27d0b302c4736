"""The candidates of the idle-first selection, as a pure function that both programs use."""

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


def idle_first(
    candidates: Sequence[T], is_idle: Callable[[T], bool], load: Callable[[T], float | None]
) -> list[T]:
    """The idle candidates, else those of at most mean load; an unknown load (None) counts as the mean."""
    if idle := [candidate for candidate in candidates if is_idle(candidate)]:
        return idle
    loads = [load(candidate) for candidate in candidates]
    known = [value for value in loads if value is not None]
    # Rounding must not put equal loads above their mean.
    mean = max(sum(known) / len(known), min(known)) if known else 0.0
    loads_by_candidate = zip(candidates, loads, strict=True)
    return [candidate for candidate, value in loads_by_candidate if value is None or value <= mean]
