"""A control machine is cut off: stories over the whole control side, a few of all that are played by hand."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication.commands import CommandResult
from madderwind.replication.pending_requests import PendingRequests, Proof
from tests.controlplane.cut_scenarios import Cut, CutScenario, Role, Shape
from tests.fleet.history import Violation


def woken_primary() -> CutScenario:
    return CutScenario(Cut(Role.PRIMARY, Shape.FROZEN, 5_000.0))


class CutOffForAWhile(unittest.TestCase):
    """When it ends, no old version was called fresh, no command was refused that was right, none is lost that
    was confirmed, and full service is back within the bounds."""

    def assert_holds(self, role: Role, shape: Shape, duration_ms: float) -> None:
        CutScenario(Cut(role, shape, duration_ms)).run()

    def test_given_a_primary_when_it_hears_no_other_machine_for_twenty_seconds(self) -> None:
        self.assert_holds(Role.PRIMARY, Shape.NEAR, 20_000.0)

    def test_given_a_primary_when_its_connections_are_reset_and_cut(self) -> None:
        self.assert_holds(Role.PRIMARY, Shape.RESET, 5_000.0)

    def test_given_a_primary_when_it_is_received_but_does_not_hear(self) -> None:
        self.assert_holds(Role.PRIMARY, Shape.CANNOT_HEAR, 5_000.0)

    def test_given_a_primary_when_it_is_cut_off_with_a_data_plane_and_callers(self) -> None:
        self.assert_holds(Role.PRIMARY, Shape.SIDE, 5_000.0)

    def test_given_a_primary_when_it_wakes_inside_the_cut(self) -> None:
        self.assert_holds(Role.PRIMARY, Shape.FROZEN, 5_000.0)

    def test_given_a_primary_when_it_wakes_and_is_requested_for_what_it_does_not_know(self) -> None:
        woken_primary().run_woken_primary()

    def test_given_a_backup_when_it_hears_but_is_not_heard(self) -> None:
        self.assert_holds(Role.BACKUP, Shape.CANNOT_SEND, 5_000.0)

    def test_given_a_backup_when_it_is_restarted_inside_the_cut_with_other_seeds(self) -> None:
        self.assert_holds(Role.BACKUP, Shape.SEEDS, 5_000.0)

    def test_given_a_backup_when_all_are_restarted_inside_the_cut(self) -> None:
        self.assert_holds(Role.BACKUP, Shape.BOTH, 5_000.0)

    def test_given_a_backup_when_upstreams_report_there_first(self) -> None:
        self.assert_holds(Role.BACKUP, Shape.LURE, 5_000.0)

    def test_given_a_primary_and_a_backup_of_five_when_they_are_cut_off_together(self) -> None:
        self.assert_holds(Role.PRIMARY_AND_BACKUP, Shape.NEAR, 5_000.0)

    def test_given_a_learner_when_it_is_cut_off_from_all(self) -> None:
        self.assert_holds(Role.LEARNER, Shape.ALL, 5_000.0)


add_command, add_read = PendingRequests.add_command, PendingRequests.add_read


def add_command_without_a_fence(
    requests: PendingRequests, token: int, result: CommandResult, proof: Proof
) -> None:
    add_command(requests, token, result, Proof(proof.index, 0, proof.deadline_ms))


def add_read_without_a_fence(requests: PendingRequests, token: int, proof: Proof) -> None:
    add_read(requests, token, Proof(proof.index, 0, proof.deadline_ms))


class Mutants(unittest.TestCase):
    """Without its mechanism some cut breaks a promise."""

    def assert_caught(self, *cuts: Cut) -> None:
        for cut in cuts:
            try:
                CutScenario(cut).run()
            except Violation:
                return
        self.fail("no cut finds it")

    def test_a_refusal_without_a_fence(self) -> None:
        mutant = patch.object(PendingRequests, "add_command", add_command_without_a_fence)
        with mutant, self.assertRaises(Violation):
            woken_primary().run_woken_primary()

    def test_a_read_without_a_fence(self) -> None:
        with patch.object(PendingRequests, "add_read", add_read_without_a_fence):
            self.assert_caught(*(Cut(Role.PRIMARY, Shape.FROZEN, 5_000.0, seed) for seed in range(1, 13)))


if __name__ == "__main__":
    unittest.main()
