"""Runs of scripts that Hypothesis draws: their settings, and their command line."""

from __future__ import annotations

import sys
from collections.abc import Callable

from hypothesis import HealthCheck, Phase, settings

DEFAULT_EXAMPLES, DEFAULT_SEED = 2000, 1

# Makes a function that plays so many scripts, drawn by a seed, and raises for one that breaks a rule.
Checker = Callable[[int, int], Callable[[], None]]


def script_settings(examples: int, is_shrinking: bool, is_derandomized: bool = False) -> settings:
    """Settings to play this many scripts, none of which is limited in time or stored.

    `is_shrinking`: look for the shortest failing script. `is_derandomized`: draw the same scripts each time,
    without a seed.
    """
    phases = (Phase.generate, Phase.shrink, Phase.explain) if is_shrinking else (Phase.generate,)
    return settings(
        phases=phases,
        max_examples=examples,
        derandomize=is_derandomized,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def run_command_line(checker: Checker) -> None:
    """Play the scripts that the command line asks for: their number and their seed."""
    numbers = [int(argument) for argument in sys.argv[1:]]
    examples = numbers[0] if numbers else DEFAULT_EXAMPLES
    seed_value = numbers[1] if len(numbers) > 1 else DEFAULT_SEED
    checker(examples, seed_value)()
    print(f"{examples} scripts, seed {seed_value}: no rule broken")
