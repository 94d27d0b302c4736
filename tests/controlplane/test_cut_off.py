"""Tests of control machines that are cut off: a selection of the scenarios in `cut_scenarios`."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication.commands import CommandResult
from madderwind.replication.pending_requests import PendingRequests, Proof
from tests.controlplane.cut_scenarios import Cut, CutKind, CutScenario, Role
from tests.fleet.history import Violation


def paused_primary_scenario() -> CutScenario:
    return CutScenario(Cut(Role.PRIMARY, CutKind.PAUSED, 5_000.0))


class TemporaryCutTest(unittest.TestCase):
    """Runs scenarios, each of which checks the following invariants.

    No outdated version is reported as fresh, no valid command is rejected, no acknowledged command is lost,
    and the system recovers within the time limit.
    """

    def assert_holds(self, role: Role, kind: CutKind, duration_ms: float) -> None:
        CutScenario(Cut(role, kind, duration_ms)).run()

    def test_primary_cut_off_from_its_peers_for_twenty_seconds(self) -> None:
        self.assert_holds(Role.PRIMARY, CutKind.PEERS, 20_000.0)

    def test_primary_whose_connections_are_reset_and_cut(self) -> None:
        self.assert_holds(Role.PRIMARY, CutKind.RESET, 5_000.0)

    def test_primary_that_can_send_but_not_receive(self) -> None:
        self.assert_holds(Role.PRIMARY, CutKind.CANNOT_RECEIVE, 5_000.0)

    def test_primary_cut_off_together_with_a_data_plane_and_its_callers(self) -> None:
        self.assert_holds(Role.PRIMARY, CutKind.WITH_DATA_PLANE, 5_000.0)

    def test_primary_that_resumes_from_a_pause_during_the_cut(self) -> None:
        self.assert_holds(Role.PRIMARY, CutKind.PAUSED, 5_000.0)

    def test_primary_that_resumes_and_gets_a_command_based_on_an_unknown_version(self) -> None:
        paused_primary_scenario().run_paused_primary()

    def test_backup_that_can_receive_but_not_send(self) -> None:
        self.assert_holds(Role.BACKUP, CutKind.CANNOT_SEND, 5_000.0)

    def test_backup_restarted_with_other_seeds_during_the_cut(self) -> None:
        self.assert_holds(Role.BACKUP, CutKind.RESTART_WITH_OTHER_SEEDS, 5_000.0)

    def test_all_machines_restarted_while_a_backup_is_cut_off(self) -> None:
        self.assert_holds(Role.BACKUP, CutKind.RESTART_ALL, 5_000.0)

    def test_backup_that_upstreams_report_to_first(self) -> None:
        self.assert_holds(Role.BACKUP, CutKind.UPSTREAMS_REPORT_TO_VICTIM, 5_000.0)

    def test_primary_and_backup_of_five_cut_off_together(self) -> None:
        self.assert_holds(Role.PRIMARY_AND_BACKUP, CutKind.PEERS, 5_000.0)

    def test_learner_cut_off_from_all_machines(self) -> None:
        self.assert_holds(Role.LEARNER, CutKind.PEERS_AND_DATA_PLANES, 5_000.0)


add_command, add_read = PendingRequests.add_command, PendingRequests.add_read


def add_command_without_fencing(
    requests: PendingRequests, token: int, result: CommandResult, proof: Proof
) -> None:
    add_command(requests, token, result, Proof(proof.index, 0, proof.deadline_ms))


def add_read_without_fencing(requests: PendingRequests, token: int, proof: Proof) -> None:
    add_read(requests, token, Proof(proof.index, 0, proof.deadline_ms))


class Mutants(unittest.TestCase):
    """Each mutant removes a mechanism and must violate an invariant in some scenario."""

    def assert_caught(self, *cuts: Cut) -> None:
        for cut in cuts:
            try:
                CutScenario(cut).run()
            except Violation:
                return
        self.fail("no scenario detected the mutant")

    def test_command_resolved_without_fencing(self) -> None:
        mutant = patch.object(PendingRequests, "add_command", add_command_without_fencing)
        with mutant, self.assertRaises(Violation):
            paused_primary_scenario().run_paused_primary()

    def test_read_resolved_without_fencing(self) -> None:
        with patch.object(PendingRequests, "add_read", add_read_without_fencing):
            self.assert_caught(*(Cut(Role.PRIMARY, CutKind.PAUSED, 5_000.0, seed) for seed in range(1, 13)))


if __name__ == "__main__":
    unittest.main()
