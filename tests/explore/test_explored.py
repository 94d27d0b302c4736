"""The share of the exploration that runs each time. Deeper by hand: `python -m tests.explore DEPTH`."""

from __future__ import annotations

import unittest

from tests.explore.choices import Allowance
from tests.explore.explorer import Explorer
from tests.explore.plans import LATE_PLANS, REGISTER_PLANS, REPLICA_PLANS, Plan, carry_out
from tests.explore.scenarios import swap
from tests.explore.tail import has_lost_the_former_majority, recover

LEAVES = 2


class TheRulesHold(unittest.TestCase):
    """The rules are those of `tests.explore.history`."""

    def assert_holds(self, plans: tuple[Plan, ...]) -> None:
        """No rule is broken in any world, and there are as many worlds as there should be."""
        for plan in plans:
            with self.subTest(plan=plan):
                outcome = carry_out(plan, leaves=LEAVES)
                self.assertGreaterEqual(outcome.explored.worlds, plan.least_worlds)
                self.assertEqual(LEAVES, outcome.recovered + outcome.beyond)
                self.assertGreater(outcome.recovered, 0)

    def test_in_the_register_of_views(self) -> None:
        self.assert_holds(REGISTER_PLANS)

    def test_in_the_whole_replica(self) -> None:
        self.assert_holds(REPLICA_PLANS)

    def test_with_late_copies_of_all_messages(self) -> None:
        self.assert_holds(LATE_PLANS)


class ASecondDiskIsLost(unittest.TestCase):
    def test_while_a_swap_is_notified_then_the_system_goes_on_where_the_messages_arrive(self) -> None:
        scenario = swap(Allowance(faults=1, wipes=1))
        rules, explorer = scenario.rules, Explorer(scenario.rules, scenario.first)
        explorer.explore(1)
        lost = [world for world in explorer.leaves if has_lost_the_former_majority(rules, world)]
        self.assertGreater(len(lost), 20)
        for world in lost[::4]:
            recover(rules, world)


if __name__ == "__main__":
    unittest.main()
