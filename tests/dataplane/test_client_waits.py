"""The time that a client has waited is estimated from its remaining deadline."""

from __future__ import annotations

import random

from madderwind.dataplane.client_waits import MAX_ROUTES, ClientWaits


def test_a_shorter_deadline_counts_as_time_waited() -> None:
    waits = ClientWaits()
    for _ in range(10):
        assert waits.waited_ms("r", 8_000.0) == 0.0
    assert waits.waited_ms("r", 6_500.0) == 1_500.0


def test_retries_and_a_few_long_deadlines_do_not_change_the_usual_deadline() -> None:
    waits, rng = ClientWaits(), random.Random(7)
    for _ in range(100):
        waits.waited_ms("r", 60_000.0 if rng.random() < 0.04 else 8_000.0)
        waits.waited_ms("r", rng.uniform(5_000.0, 7_000.0))
    assert waits.waited_ms("r", 8_000.0) == 0.0
    assert waits.waited_ms("r", 6_000.0) == 2_000.0


def test_routes_are_independent_and_the_oldest_are_evicted() -> None:
    waits = ClientWaits()
    waits.waited_ms("first", 9_000.0)
    assert waits.waited_ms("second", 1_000.0) == 0.0
    for number in range(MAX_ROUTES):
        waits.waited_ms(f"r-{number}", 1_000.0)
    assert waits.waited_ms("first", 1_000.0) == 0.0
