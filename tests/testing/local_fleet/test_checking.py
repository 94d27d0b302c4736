"""Tests for fault planning, cache figures, and the checker, which reports only the violated guarantee."""

from __future__ import annotations

import random
import unittest
from typing import Any

from madderwind.errors import LocalFleetError
from madderwind.testing.engine_emulator.records import PrefilledPart, Ran
from madderwind.testing.local_fleet.cache_figures import cache_figures
from madderwind.testing.local_fleet.checker import CommandSent, ConfigurationRead, Evidence, Promise, check
from madderwind.testing.local_fleet.fault_file import Fault
from madderwind.testing.local_fleet.fault_schedule import Action, plan_fault
from madderwind.testing.local_fleet.outcomes import AttemptOutcome, Outcome, OutcomeCategory
from madderwind.testing.local_fleet.relays import LinkCondition

NODES = ("control-1", "control-2", "data-1", "model-1", "model-2")


def ran(request: str, instance: str = "i-1") -> Ran:
    return Ran(1.0, instance, request, "acme", "/x")


def outcome(*tries: AttemptOutcome, kind: str = "unsafe", fault: str = "") -> Outcome:
    return Outcome(1, kind, "acme", 0.0, 0, OutcomeCategory.IN_TIME, tries=list(tries), fault=fault)


def attempt(request: str = "r", status: int = 200, signature: str = "s") -> AttemptOutcome:
    return AttemptOutcome(request, "data-1", 0.0, 1.0, status, "whole", signature)


def violated(**changes: Any) -> list[Promise]:
    """Return the guarantees that the checker reports as violated for this evidence."""
    evidence: dict[str, Any] = {"outcomes": [], "records": [], "commands": [], "reads": []}
    evidence |= {"idempotent_kinds": frozenset({"safe"}), **changes}
    return [violation.promise for violation in check(Evidence(**evidence))]


class CheckerTest(unittest.TestCase):
    def test_valid_run_has_no_violations(self) -> None:
        violations = violated(
            outcomes=[outcome(attempt("a", 503, ""), attempt("b"))],
            records=[ran("b")],
            commands=[CommandSent(3, True), CommandSent(5, False)],
            reads=[ConfigurationRead("control-1", 3), ConfigurationRead("control-2", 5)],
        )
        self.assertEqual(violations, [])

    def test_request_that_ran_twice_is_a_violation_unless_idempotent(self) -> None:
        records = [ran("r", "i-1"), ran("r", "i-2")]
        self.assertEqual(violated(outcomes=[outcome(attempt())], records=records), [Promise.RUN_ONCE])
        self.assertEqual(violated(outcomes=[outcome(attempt(), kind="safe")], records=records), [])

    def test_refused_request_that_ran_is_a_violation(self) -> None:
        violations = violated(outcomes=[outcome(attempt(status=503, signature=""))], records=[ran("r")])
        self.assertEqual(violations, [Promise.REFUSAL])

    def test_stream_with_a_gap_is_a_violation(self) -> None:
        violations = violated(outcomes=[outcome(attempt(), fault="a gap: event 3 after event 1")])
        self.assertEqual(violations, [Promise.STREAM])

    def test_success_without_upstream_signature_is_a_violation(self) -> None:
        self.assertEqual(violated(outcomes=[outcome(attempt(signature=""))]), [Promise.ANSWER])

    def test_lost_acknowledged_configuration_is_a_violation(self) -> None:
        commands = [CommandSent(3, True), CommandSent(5, True)]
        older = [ConfigurationRead("control-1", 3)]
        self.assertEqual(set(violated(commands=commands, reads=older)), {Promise.CONFIGURATION})
        no_answer = [ConfigurationRead("control-1", 0)]
        self.assertEqual(violated(commands=commands, reads=no_answer), [Promise.CONFIGURATION])
        other = [ConfigurationRead("control-1", 5, matches_sent=False)]
        self.assertEqual(violated(commands=commands, reads=other), [Promise.CONFIGURATION])
        one_no_answer = [ConfigurationRead("control-1", 0), ConfigurationRead("control-2", 5)]
        self.assertEqual(violated(commands=commands, reads=one_no_answer), [])


class FaultPlanTest(unittest.TestCase):
    def plan(self, **changes: Any) -> Any:
        fault = Fault(**{"what": "kill", "nodes": ("model-*",), "at_s": 1.0, "for_s": 2.0, **changes})
        return plan_fault(fault, NODES, "control-2", random.Random(1))

    def test_pattern_selects_all_matching_nodes(self) -> None:
        planned = self.plan()
        self.assertEqual(planned.nodes, ("model-1", "model-2"))
        self.assertEqual(planned.actions, (Action.KILL, Action.START))
        self.assertEqual((planned.begin_s, planned.end_s), (1.0, 3.0))

    def test_count_limits_the_selected_nodes(self) -> None:
        self.assertEqual(len(self.plan(count=1).nodes), 1)

    def test_primary_selects_the_current_primary(self) -> None:
        self.assertEqual(self.plan(nodes=("primary",)).nodes, ("control-2",))

    def test_unknown_nodes_are_rejected(self) -> None:
        with self.assertRaises(LocalFleetError):
            self.plan(nodes=("modle-1",))
        with self.assertRaises(LocalFleetError):
            plan_fault(Fault("kill", ("primary",), 0.0), NODES, "", random.Random(1))

    def test_cut_without_between_isolates_its_nodes(self) -> None:
        condition = self.plan(what="cut", nodes=("control-1",)).condition
        self.assertTrue(condition.isolates("control-1"))
        self.assertTrue(condition.applies_between("control-1", "data-1"))
        self.assertTrue(condition.applies_between("data-1", "control-1"))
        self.assertFalse(condition.applies_between("data-1", "control-2"))
        self.assertFalse(condition.applies_between("", "control-2"))

    def test_cut_between_two_groups_does_not_affect_other_nodes(self) -> None:
        condition = LinkCondition("cut", ("data-1",), ("model-1",))
        self.assertTrue(condition.applies_between("data-1", "model-1"))
        self.assertFalse(condition.applies_between("data-1", "model-2"))
        self.assertFalse(condition.isolates("data-1"))


class CacheFiguresTest(unittest.TestCase):
    def test_repeated_prefill_within_the_window_is_counted_separately(self) -> None:
        reads = [
            PrefilledPart(0.0, "i-1", "a", 100, True),
            PrefilledPart(5_000.0, "i-2", "a", 100, True),
            PrefilledPart(40_000.0, "i-1", "a", 100, True),
            PrefilledPart(0.0, "i-1", "own", 50, False),
        ]
        figures = cache_figures(reads, 1000, again_s=10.0)
        self.assertEqual((figures.prefilled_tokens, figures.prefilled_again_tokens), (300, 100))
        self.assertAlmostEqual(figures.hit_share, 0.7)


if __name__ == "__main__":
    unittest.main()
