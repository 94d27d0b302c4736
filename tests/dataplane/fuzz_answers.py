"""Fuzzes the responses that pass through a data plane.

By hand: `python -m tests.dataplane.fuzz_answers [EXAMPLES [SEED]]`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hypothesis import given, seed

from tests.dataplane.answer_player import Player
from tests.dataplane.answer_scripts import Script, scripts
from tests.dataplane.drawn_scripts import run_command_line, script_settings
from tests.dataplane.forwarder import JumpingLoop


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
    bounds = script_settings(examples, is_shrinking, is_derandomized=seed_value is None)
    checked = bounds(given(scripts)(play))
    return checked if seed_value is None else seed(seed_value)(checked)


if __name__ == "__main__":
    run_command_line(fuzzer)
