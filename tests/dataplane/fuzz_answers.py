"""Fuzzes the responses that pass through a data plane.

By hand: `python -m tests.dataplane.fuzz_answers [EXAMPLES [SEED]]`.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed, settings

from tests.dataplane.answer_player import Player
from tests.dataplane.answer_scripts import Script, scripts
from tests.dataplane.forwarder import JumpingLoop

DEFAULT_EXAMPLES, DEFAULT_SEED = 2000, 1


# Without a seed, Hypothesis derives the scripts from the source of this function, including its docstring:
# any change to it changes which scripts are run.
def play(script: Script) -> None:
    """Play one script; raises Broken."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        runner.run(Player(script).play())


def fuzzer(examples: int, seed_value: int | None = None, is_shrinking: bool = True) -> Callable[[], None]:
    """A function that runs this many scripts and raises for one that breaks a rule.

    Without a seed it runs the same scripts at each call. `is_shrinking`: look for the shortest failing
    script.
    """
    phases = (Phase.generate, Phase.shrink, Phase.explain) if is_shrinking else (Phase.generate,)
    bounds = settings(
        phases=phases,
        max_examples=examples,
        derandomize=seed_value is None,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )

    checked = bounds(given(scripts)(play))
    return checked if seed_value is None else seed(seed_value)(checked)


def main() -> None:
    """Run the scripts given by the command line."""
    numbers = [int(argument) for argument in sys.argv[1:]]
    examples = numbers[0] if numbers else DEFAULT_EXAMPLES
    seed_value = numbers[1] if len(numbers) > 1 else DEFAULT_SEED
    fuzzer(examples, seed_value)()
    print(f"{examples} scripts, seed {seed_value}: no rule broken")


if __name__ == "__main__":
    main()
