"""A few seeds of the chaos test, and mutants of the data plane that it must detect."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from madderwind.dataplane.attempt_exchange import AttemptExchange
from madderwind.dataplane.headers import deadline_header
from madderwind.dataplane.shutdown_deadline import ShutdownDeadline
from tests.dataplane.chaos import RuleViolation, run_seeds
from tests.dataplane.forwarder import VirtualClockLoop

# Less than the rule allows, more than a timer fires early or late.
EXCESS_MS = 20.0


class ChaosRuns(unittest.TestCase):
    def test_violate_no_rule(self) -> None:
        run_seeds(range(1, 4))


class WaitsOutlastTheProcess(unittest.TestCase):
    def test_is_detected(self) -> None:
        ignored = mock.patch.object(ShutdownDeadline, "begin", lambda *_: None)
        with ignored, self.assertRaisesRegex(RuleViolation, "LOST: .* open as the process ends"):
            run_seeds(range(1, 13))


class MutantsAreDetected(unittest.TestCase):
    """Each mutant violates a rule within the first seeds, so the result is the same in each run."""

    def assert_detected(self, mutant: Callable[[AttemptExchange], dict[str, str]]) -> None:
        mutated = mock.patch.object(AttemptExchange, "_deadline_header", mutant)
        with mutated, self.assertRaisesRegex(RuleViolation, "BUDGET"):
            run_seeds(range(1, 4))

    def test_a_deadline_other_than_the_clients(self) -> None:
        self.assert_detected(lambda _: {"X-Deadline-Ms": "5000"})

    def test_a_deadline_slightly_beyond_the_clients(self) -> None:
        def slightly_too_long(exchange: AttemptExchange) -> dict[str, str]:
            return deadline_header(exchange._admitted.until_ms - exchange._now_ms() + EXCESS_MS)

        self.assert_detected(slightly_too_long)


class VirtualClock(unittest.TestCase):
    def test_does_not_advance_while_code_runs(self) -> None:
        loop = VirtualClockLoop()
        self.addCleanup(loop.close)

        async def compute() -> float:
            started_s = loop.time()
            sum(range(300_000))
            return loop.time() - started_s

        self.assertEqual(loop.run_until_complete(compute()), 0.0)


if __name__ == "__main__":
    unittest.main()
