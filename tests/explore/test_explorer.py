"""The explorer itself: copies of machines, worlds counted once, and a calm that may not help."""

from __future__ import annotations

import unittest

from tests.explore.choices import Allowance, Wipe
from tests.explore.explorer import Explorer
from tests.explore.graph import clone, digest
from tests.explore.node import Output
from tests.explore.scenarios import stable
from tests.explore.steps import Violation
from tests.explore.tail import recover


class TheExplorerItself(unittest.TestCase):
    def test_given_a_copy_of_a_machine_then_it_is_in_the_same_state_and_goes_its_own_way(self) -> None:
        scenario = stable(Allowance())
        node = scenario.rules.steps.node(scenario.first[0].nodes[0])
        other = clone(node)
        self.assertEqual(digest(node), digest(other))
        other.pass_time(100.0, Output())
        self.assertNotEqual(digest(node), digest(other))

    def test_given_the_same_world_twice_then_it_counts_once(self) -> None:
        scenario = stable(Allowance())
        explorer = Explorer(scenario.rules, scenario.first * 2)
        self.assertEqual(1, explorer.explore(0).worlds)

    def test_given_nothing_that_may_happen_then_that_is_all_there_is(self) -> None:
        scenario = stable(Allowance())
        self.assertTrue(Explorer(scenario.rules, scenario.first).explore(5).is_whole)

    def test_given_machines_that_are_all_gone_but_one_then_no_calm_helps(self) -> None:
        scenario = stable(Allowance())
        rules, world = scenario.rules, scenario.first[0]
        for node in (1, 2):
            wiped = rules.after(world, Wipe(node))
            assert wiped is not None
            world = wiped
        with self.assertRaises(Violation):
            recover(rules, world)


if __name__ == "__main__":
    unittest.main()
