"""Shrinks a schedule that leads to a violation to a smaller one that still does."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from tests.campaign.campaign import Campaign, Schedule
from tests.campaign.faults import Fault
from tests.fleet.history import Violation

# Each run takes about a second.
MAX_RUNS = 60


def violation_of(schedule: Schedule) -> str:
    """Run a schedule and return its violation, or an empty string."""
    return violation_in(Campaign(schedule))


def violation_in(campaign: Campaign) -> str:
    """Run a new campaign and return its violation, or an empty string."""
    try:
        campaign.run()
    except Violation as violation:
        return str(violation)
    return ""


def shrink(
    schedule: Schedule, fails: Callable[[Schedule], object] = violation_of, max_runs: int = MAX_RUNS
) -> Schedule:
    """Remove rounds and faults from a schedule while it still fails, with the same failure or another."""
    runs = 0
    has_shrunk = True
    while has_shrunk:
        has_shrunk = False
        for smaller in _smaller_schedules(schedule):
            runs += 1
            if runs > max_runs:
                return schedule
            if fails(smaller):
                schedule, has_shrunk = smaller, True
                break
    return schedule


def _smaller_schedules(schedule: Schedule) -> Iterator[Schedule]:
    rounds = schedule.rounds
    for index in range(len(rounds)):
        if len(rounds) > 1:
            yield attrs.evolve(schedule, rounds=rounds[:index] + rounds[index + 1 :])
    for index, faults in enumerate(rounds):
        for fewer in _fault_subsets(faults):
            yield attrs.evolve(schedule, rounds=(*rounds[:index], fewer, *rounds[index + 1 :]))


def _fault_subsets(faults: tuple[Fault, ...]) -> Iterator[tuple[Fault, ...]]:
    """Yield the faults without a contiguous part, from all of them down to single faults."""
    length = len(faults)
    while length >= 1:
        for start in range(0, len(faults), length):
            yield faults[:start] + faults[start + length :]
        length //= 2
