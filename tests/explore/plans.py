"""The scenarios that are explored, the depth of each, and the minimum number of worlds to visit."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tests.explore import scenarios
from tests.explore.choices import Allowance
from tests.explore.explorer import Explorer, SearchResult
from tests.explore.scenarios import Scenario, late_copies
from tests.explore.steps import Violation
from tests.explore.tail import is_within_tolerance, recover


class Plan(msgspec.Struct, frozen=True):
    """One exploration. `min_worlds` applies at the depth used in CI: fewer worlds mean that the
    scenario no longer reaches the states that it is meant to cover."""

    scenario: Callable[[Allowance], Scenario]
    allowance: Allowance
    depth: int
    min_worlds: int
    has_late_copies: bool = False

    def begin(self) -> Scenario:
        """Build the scenario with its initial worlds."""
        scenario = self.scenario(self.allowance)
        return late_copies(scenario) if self.has_late_copies else scenario


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one plan. `recovered`: number of sampled leaves that recovered; `slowest_ms`: the
    longest time until the in-sync set was full; `beyond`: leaves beyond the tolerance, which are not run."""

    name: str
    explored: SearchResult
    recovered: int = 0
    beyond: int = 0
    slowest_ms: float = 0.0

    def __str__(self) -> str:
        tails = f"{self.recovered} leaves recover, the slowest after {self.slowest_ms:g} ms without faults"
        return f"{self.name}: {self.explored}; {tails}, {self.beyond} beyond tolerance"


def run_plan(plan: Plan, further_depth: int = 0, leaves: int = 0) -> Outcome:
    """Explore, then run some of the leaves on without faults; every second one loses its messages in flight.
    Raises BrokenRule or Violation."""
    scenario = plan.begin()
    rules = scenario.rules
    explorer = Explorer(rules, scenario.first)
    explored = explorer.explore(plan.depth + further_depth)
    sample = explorer.sample(leaves)
    within = [world for world in sample if is_within_tolerance(rules, world)]
    durations_ms = [0.0]
    for index, world in enumerate(within):
        try:
            durations_ms.append(recover(rules, world, loses_messages=index % 2 == 1))
        except Violation as violation:
            lines = "\n".join(rules.describe(choice) for choice in explorer.path(world))
            raise Violation(f"{scenario.name}: {violation}\nafter:\n{lines}") from None
    beyond = len(sample) - len(within)
    return Outcome(scenario.name, explored, len(within), beyond, max(durations_ms))


REGISTER_PLANS = (
    Plan(scenarios.two_candidates, Allowance(times=4), 8, 3_000),
    Plan(scenarios.two_candidates, Allowance(times=3, faults=1), 6, 2_000),
    Plan(scenarios.three_candidates, Allowance(times=3, faults=1, wipes=1), 4, 2_000),
    Plan(scenarios.lagging_candidate, Allowance(times=3), 6, 2_500),
    Plan(scenarios.swap_and_candidate, Allowance(times=2, faults=1, wipes=1), 2, 3_000),
)
REPLICA_PLANS = (
    Plan(scenarios.stable, Allowance(times=1, commands=2, reads=1), 4, 1_500),
    Plan(scenarios.cut_off, Allowance(times=1, commands=1, reads=1), 4, 1_200),
    Plan(scenarios.takeover, Allowance(faults=1), 2, 3_000),
    Plan(scenarios.swap, Allowance(commands=1), 3, 2_000),
    Plan(scenarios.swap, Allowance(times=1, faults=1, wipes=1), 1, 800),
    Plan(scenarios.replacement, Allowance(commands=1), 2, 600),
    Plan(scenarios.transfer_leadership, Allowance(times=1, faults=1, wipes=1), 1, 800),
)
LATE_PLANS = (
    Plan(scenarios.learner, Allowance(), 1, 800, has_late_copies=True),
    Plan(scenarios.takeover, Allowance(commands=1), 1, 500, has_late_copies=True),
    Plan(scenarios.transfer_leadership, Allowance(commands=1), 1, 600, has_late_copies=True),
)
ALL_PLANS = (*REGISTER_PLANS, *REPLICA_PLANS, *LATE_PLANS)
