"""Breadth-first search over all possible events, to a bounded depth. The first violation found has a path of
minimal length."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator, Sequence

import msgspec

from tests.explore.choices import Choice
from tests.explore.steps import Violation
from tests.explore.world import BrokenRule, Rules, World


class SearchResult(msgspec.Struct, frozen=True):
    """Statistics of a search. `depth`: all worlds within this number of choices were visited; `is_complete`:
    no further worlds are reachable."""

    worlds: int
    depth: int
    is_complete: bool
    machine_states: int
    machine_steps: int
    seconds: float

    def __str__(self) -> str:
        completeness = ", the whole state space" if self.is_complete else ""
        return (
            f"{self.worlds} worlds to depth {self.depth}{completeness}; "
            f"{self.machine_states} machine states, "
            f"{self.machine_steps} replica steps; {self.seconds:.1f} s"
        )


class _Origin(msgspec.Struct, frozen=True):
    """The predecessor and the choice by which a world was first reached."""

    world: World
    choice: Choice


class Explorer:
    """Searches from one or more initial worlds. `leaves` are the worlds at the last depth."""

    def __init__(self, rules: Rules, first: Sequence[World]) -> None:
        self.rules = rules
        self._origins: dict[World, _Origin | None] = dict.fromkeys(first)
        self.leaves: list[World] = list(self._origins)

    def explore(self, max_depth: int, max_worlds: int = 100_000_000) -> SearchResult:
        """Search up to `max_depth` choices or `max_worlds` worlds. Raises BrokenRule."""
        began = time.perf_counter()
        for depth in range(max_depth):
            following: list[World] = []
            for world in self.leaves:
                if len(self._origins) >= max_worlds:
                    return self._result(depth, False, began)
                following += self._new_worlds(world)
            if not following:
                return self._result(depth, True, began)
            self.leaves = following
        return self._result(max_depth, False, began)

    def path(self, world: World) -> tuple[Choice, ...]:
        """The choices that lead from an initial world to the given one."""
        choices: list[Choice] = []
        origin = self._origins[world]
        while origin is not None:
            choices.append(origin.choice)
            origin = self._origins[origin.world]
        return tuple(reversed(choices))

    def sample(self, count: int) -> list[World]:
        """A sample of the leaves, the same on every run."""
        return random.Random(count).sample(self.leaves, min(count, len(self.leaves)))

    def _new_worlds(self, world: World) -> Iterator[World]:
        for choice in self.rules.choices(world):
            try:
                following = self.rules.after(world, choice)
            except Violation as violation:
                choices = (*self.path(world), choice)
                raise BrokenRule(str(violation), [self.rules.describe(each) for each in choices]) from None
            if following is not None and following not in self._origins:
                self._origins[following] = _Origin(world, choice)
                yield following

    def _result(self, depth: int, is_complete: bool, began: float) -> SearchResult:
        steps = self.rules.steps
        seconds = time.perf_counter() - began
        return SearchResult(
            len(self._origins), depth, is_complete, steps.state_count, steps.step_count, seconds
        )
