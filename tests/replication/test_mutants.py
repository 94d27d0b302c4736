"""Mutation tests: the campaigns or the scenarios have to detect each fault injected into the code."""

from __future__ import annotations

import random
import unittest
from unittest.mock import PropertyMock, patch

from madderwind.replication.actions import ReadResolved
from madderwind.replication.membership import MembershipRules, PeerHealth
from madderwind.replication.peer import Peer
from madderwind.replication.primary import Primary
from madderwind.replication.role_machine import RoleMachine
from madderwind.replication.store import ReplicaStore
from madderwind.replication.view_planner import ViewPlanner
from madderwind.replication.witness import Witness
from tests.fleet.campaign import Campaign
from tests.fleet.disk import MemoryDisk
from tests.fleet.history import Violation
from tests.fleet.machine import Machine
from tests.replication import test_commands, test_failover, test_lost_disks, test_witness

MAX_CAMPAIGNS = 40


original_promotion = RoleMachine.promote_if_due


def read_without_confirmation(primary: Primary, now_ms: float, token: int) -> None:
    primary._outbox.add(ReadResolved(token, is_newest=True))


def append_without_a_sync(disk: MemoryDisk, name: str, data: bytes) -> None:
    disk._write(disk._files[name], data)


def rng_seeded_by_address(machine: Machine) -> random.Random:
    return random.Random(machine.address)


def health_without_log_check(planner: ViewPlanner, now_ms: float, peer: Peer) -> PeerHealth:
    is_healthy = peer.is_healthy(now_ms, planner._times)
    return PeerHealth(peer.member, is_healthy, not is_healthy, False)


def synced_index_of_the_primary(primary: Primary, incarnation: str) -> int:
    return primary._store.synced_index


def promote_after_a_restart(roles: RoleMachine, now_ms: float) -> None:
    original_promotion(roles, now_ms)
    view = roles._store.view
    if roles._won_epoch < 0:
        return
    if view is not None and view.primary == roles._store.me.incarnation and roles.primary is None:
        roles._won_epoch = -1  # only once per incarnation
        roles.primary = Primary(roles._context, view, roles._rules, now_ms)


class CampaignsFindMutants(unittest.TestCase):
    def assert_found(self, likely_seed: int = 1) -> None:
        """Check that one of a few campaigns detects the fault; `likely_seed` is only tried first."""
        for seed in (likely_seed, *range(1, MAX_CAMPAIGNS + 1)):
            try:
                Campaign(seed).run()
            except (Violation, ValueError):
                return
        self.fail(f"fault not detected in {MAX_CAMPAIGNS} campaigns")

    def test_a_read_without_confirmation(self) -> None:
        with patch.object(Primary, "read", read_without_confirmation):
            self.assert_found()

    def test_an_append_without_a_sync(self) -> None:
        with patch.object(MemoryDisk, "append", append_without_a_sync):
            self.assert_found()

    def test_a_wiped_machine_that_votes(self) -> None:
        with patch.object(Machine, "replica_rng", rng_seeded_by_address):
            self.assert_found(likely_seed=4)

    def test_a_learner_added_to_the_in_sync_set_without_the_log(self) -> None:
        with patch.object(ViewPlanner, "health_of", health_without_log_check):
            self.assert_found()

    def test_a_membership_that_never_shrinks(self) -> None:
        with patch("madderwind.replication.replica.membership_goal", return_value=9):
            self.assert_found(likely_seed=9)

    def test_an_in_sync_set_too_small_to_acknowledge(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", PropertyMock(return_value=1)):
            self.assert_found()

    def test_a_commit_that_does_not_wait_for_other_replicas(self) -> None:
        with patch.object(Primary, "_synced_by", synced_index_of_the_primary):
            self.assert_found()

    def test_a_takeover_by_a_replica_that_is_not_in_sync(self) -> None:
        with patch.object(ReplicaStore, "is_in_sync", PropertyMock(return_value=True)):
            self.assert_found(likely_seed=20)


class ScenariosFindMutants(unittest.TestCase):
    def test_a_lease_that_is_ignored(self) -> None:
        with patch.object(Witness, "_protects_primary", return_value=False):
            self.assert_found_by(
                test_failover.LinksAreCut(
                    "test_given_a_backup_that_stands_while_the_others_hear_the_primary_then_it_is_refused"
                )
            )

    def test_promises_that_are_not_recorded(self) -> None:
        with patch.object(ReplicaStore, "record_witness", lambda store: None):
            self.assert_found_by(
                test_witness.PromisesOutlastRestarts(
                    "test_given_a_promise_when_power_is_lost_then_no_lower_proposal_number_is_accepted"
                )
            )

    def test_a_read_without_confirmation(self) -> None:
        with patch.object(Primary, "read", read_without_confirmation):
            self.assert_found_by(
                test_commands.DeposedPrimary("test_when_it_is_read_then_the_read_is_not_confirmed")
            )

    def test_a_wiped_machine_that_votes(self) -> None:
        with patch.object(Machine, "replica_rng", rng_seeded_by_address):
            self.assert_found_by(
                test_lost_disks.DisksAreLost(
                    "test_given_a_wiped_machine_when_another_is_away_then_its_vote_does_not_count"
                )
            )

    def test_a_restarted_primary_that_continues_its_epoch(self) -> None:
        with patch.object(RoleMachine, "promote_if_due", promote_after_a_restart):
            self.assert_found_by(
                test_failover.ProcessesEnd(
                    "test_given_a_command_that_a_primary_sent_and_did_not_write_when_it_is_back_then_another_one_holds"
                )
            )

    def test_rejections_without_confirmation(self) -> None:
        with patch.object(Primary, "_round_from_now", return_value=0):
            self.assert_found_by(
                test_commands.DeposedPrimary(
                    "test_when_a_command_has_a_base_version_unknown_to_it_then_the_command_is_not_rejected"
                )
            )

    def assert_found_by(self, scenario: unittest.TestCase) -> None:
        """Check that the scenario fails."""
        result = unittest.TestResult()
        scenario.run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures)


if __name__ == "__main__":
    unittest.main()
