"""Tests of the explorer: copies of machines, deduplication of worlds, and recovery that must fail."""

from __future__ import annotations

import unittest

from tests.explore.choices import Allowance, Wipe
from tests.explore.explorer import Explorer
from tests.explore.graph import clone, digest
from tests.explore.node import Output
from tests.explore.scenarios import stable
from tests.explore.steps import Violation
from tests.explore.tail import recover


class ExplorerTest(unittest.TestCase):
    def test_a_cloned_machine_has_the_same_state_and_changes_independently(self) -> None:
        scenario = stable(Allowance())
        node = scenario.rules.steps.node(scenario.first[0].nodes[0])
        other = clone(node)
        self.assertEqual(digest(node), digest(other))
        other.pass_time(100.0, Output())
        self.assertNotEqual(digest(node), digest(other))

    def test_duplicate_worlds_are_counted_once(self) -> None:
        scenario = stable(Allowance())
        explorer = Explorer(scenario.rules, scenario.first * 2)
        self.assertEqual(1, explorer.explore(0).worlds)

    def test_without_possible_choices_the_search_is_complete(self) -> None:
        scenario = stable(Allowance())
        self.assertTrue(Explorer(scenario.rules, scenario.first).explore(5).is_complete)

    def test_recovery_fails_after_all_machines_but_one_are_wiped(self) -> None:
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
