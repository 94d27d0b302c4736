"""The part of the exploration that runs in CI. Run `python -m tests.explore DEPTH` to search deeper."""

from __future__ import annotations

import unittest

from tests.explore.choices import Allowance
from tests.explore.explorer import Explorer
from tests.explore.plans import LATE_PLANS, REGISTER_PLANS, REPLICA_PLANS, Plan, run_plan
from tests.explore.scenarios import swap
from tests.explore.tail import has_lost_previous_majority, recover

LEAVES = 2


class InvariantsHold(unittest.TestCase):
    """No explored world violates the invariants of `tests.explore.history`."""

    def assert_holds(self, plans: tuple[Plan, ...]) -> None:
        """Check that no world violates an invariant and that enough worlds are visited."""
        for plan in plans:
            with self.subTest(plan=plan):
                outcome = run_plan(plan, leaves=LEAVES)
                self.assertGreaterEqual(outcome.explored.worlds, plan.min_worlds)
                self.assertEqual(LEAVES, outcome.recovered + outcome.beyond)
                self.assertGreater(outcome.recovered, 0)

    def test_in_the_view_register(self) -> None:
        self.assert_holds(REGISTER_PLANS)

    def test_in_the_complete_replica(self) -> None:
        self.assert_holds(REPLICA_PLANS)

    def test_with_late_copies_of_all_messages(self) -> None:
        self.assert_holds(LATE_PLANS)


class SecondDiskLost(unittest.TestCase):
    def test_during_a_swap_notification_the_system_recovers_if_messages_arrive(self) -> None:
        scenario = swap(Allowance(faults=1, wipes=1))
        rules, explorer = scenario.rules, Explorer(scenario.rules, scenario.first)
        explorer.explore(1)
        lost = [world for world in explorer.leaves if has_lost_previous_majority(rules, world)]
        self.assertGreater(len(lost), 20)
        for world in lost[::4]:
            recover(rules, world)


if __name__ == "__main__":
    unittest.main()
