"""Plays a fixed number of scripts of broken responses, and checks that they find faults that are put in."""

from __future__ import annotations

import pytest

from tests.dataplane.answer_mutants import MUTANTS
from tests.dataplane.broken_responses import Broken, checker

EXAMPLES, SEED = 100, 1
# Enough scripts to find each of the faults below.
MUTANT_EXAMPLES = 500


def test_a_success_is_the_events_of_one_run_or_of_runs_that_go_on_at_their_last_event() -> None:
    # Guards against half an event joined to the next run, and against missing and repeated events.
    checker(EXAMPLES, SEED)()


@pytest.mark.parametrize(
    "mutant",
    [
        "a partial event is joined to the next response",
        "a partial event passes as the end of a stream",
        "a partial event passes as the end of a stream that ends in order",
        "a stream that broke off is ended cleanly",
        "an unsafe request is retried after a reset",
    ],
)
def test_scripts_find_a_fault(mutant: str) -> None:
    with MUTANTS[mutant](), pytest.raises(Broken):
        checker(MUTANT_EXAMPLES, SEED, is_shrinking=False)()
