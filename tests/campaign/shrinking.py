"""Makes a schedule that leads to a violation as short as it gets while it still does."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from tests.campaign.campaign import Campaign, Schedule
from tests.campaign.faults import Fault
from tests.fleet.history import Violation

# Each run takes about a second.
MOST_RUNS = 60


def violation_of(schedule: Schedule) -> str:
    """What happens that must not; empty where nothing does."""
    return violation_in(Campaign(schedule))


def violation_in(campaign: Campaign) -> str:
    """The same of a campaign that has not run yet."""
    try:
        campaign.run()
    except Violation as violation:
        return str(violation)
    return ""


def shrink(
    schedule: Schedule, fails: Callable[[Schedule], object] = violation_of, most_runs: int = MOST_RUNS
) -> Schedule:
    """The schedule without rounds and faults that a failure, whichever, can do without."""
    runs = 0
    has_shrunk = True
    while has_shrunk:
        has_shrunk = False
        for smaller in _smaller(schedule):
            runs += 1
            if runs > most_runs:
                return schedule
            if fails(smaller):
                schedule, has_shrunk = smaller, True
                break
    return schedule


def _smaller(schedule: Schedule) -> Iterator[Schedule]:
    rounds = schedule.rounds
    for index in range(len(rounds)):
        if len(rounds) > 1:
            yield attrs.evolve(schedule, rounds=rounds[:index] + rounds[index + 1 :])
    for index, faults in enumerate(rounds):
        for fewer in _fewer(faults):
            yield attrs.evolve(schedule, rounds=(*rounds[:index], fewer, *rounds[index + 1 :]))


def _fewer(faults: tuple[Fault, ...]) -> Iterator[tuple[Fault, ...]]:
    """Without a long run of them first, then without a single one."""
    length = len(faults)
    while length >= 1:
        for start in range(0, len(faults), length):
            yield faults[:start] + faults[start + length :]
        length //= 2
