"""A short drill, the same seeds each time."""

from __future__ import annotations

import asyncio

import pytest

from tests.shutdown_drill.control_drill import play_control_round
from tests.shutdown_drill.drill import play_round
from tests.shutdown_drill.judge import violations, waited_at_the_signal

CLIENTS = 40
# One of each grace period, and a signal that comes early, in the middle and late.
SEEDS = (2, 6, 9)
CONTROL_SEEDS = ((2, False), (4, True))


@pytest.mark.parametrize("seed", SEEDS)
def test_every_request_that_was_read_is_answered_before_the_process_ends(seed: int) -> None:
    # Guards against a wait that outlasts its process (review/5).
    played = asyncio.run(play_round(seed, CLIENTS))
    assert not list(violations(played))
    waiting = [sent for sent in played.sent if waited_at_the_signal(sent, played)]
    assert len(waiting) > CLIENTS / 4
    assert {sent.status for sent in waiting} >= {200, 503}


@pytest.mark.parametrize(("seed", "has_majority"), CONTROL_SEEDS)
def test_every_call_that_was_read_is_answered_before_a_control_plane_ends(
    seed: int, has_majority: bool
) -> None:
    # Guards against operators and upstreams whose connection closes without an answer.
    played = asyncio.run(play_control_round(seed))
    assert played.has_majority is has_majority
    assert not list(played.violations())
    # With a majority, calls are answered within milliseconds, so that few or none wait.
    assert has_majority or played.waiting()
