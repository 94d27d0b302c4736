"""Mutation tests of the handling of losses: a named test must fail with each injected fault."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from msgspec import structs

from madderwind.messages.replication import HeartbeatAck, View
from madderwind.replication.decision_learner import DecisionLearner
from madderwind.replication.election import Election
from madderwind.replication.known_peers import KnownPeers
from madderwind.replication.membership import MembershipRules
from madderwind.replication.primary import Primary
from madderwind.replication.replica import Replica
from madderwind.replication.times import ReplicationTimes
from madderwind.replication.view_proposals import ViewProposals
from tests.replication import test_decisions, test_second_losses, test_times

original_status = Replica.status
original_ack = Primary.handle_heartbeat_ack


def status_needed_only_as_primary(replica: Replica, now_ms: float) -> object:
    status = original_status(replica, now_ms)
    return structs.replace(status, is_needed=status.is_primary)


def ignore_stopping(primary: Primary, now_ms: float, ack: HeartbeatAck) -> None:
    original_ack(primary, now_ms, structs.replace(ack, stopping=False))


class LossMutantTests(unittest.TestCase):
    def test_peer_timeout_not_carried_over_is_detected(self) -> None:
        with patch.object(KnownPeers, "all", return_value=()):
            self.assert_detected_by(
                test_second_losses.LossAfterReplacementTests(
                    "test_given_a_lost_backup_then_a_lost_primary_then_the_timeout_of_the_backup_does_not_restart"
                )
            )

    def test_decision_announced_only_by_the_proposer_is_detected(self) -> None:
        with patch.object(DecisionLearner, "handle_broadcast", return_value=False):
            self.assert_detected_by(
                test_decisions.ProposerLossTests(
                    "test_given_a_replacement_when_its_proposer_is_lost_before_the_notice_then_all_learn_the_decision"
                )
            )

    def test_decision_by_a_single_acceptor_is_detected(self) -> None:
        with patch.object(View, "majority", lambda view: 1):
            self.assert_detected_by(
                test_decisions.DecisionLearnerTests(
                    "test_given_broadcasts_then_only_a_majority_under_one_proposal_number_is_a_decision"
                )
            )

    def test_early_release_of_a_stopping_member_is_detected(self) -> None:
        with patch.object(Replica, "status", status_needed_only_as_primary):
            self.assert_detected_by(
                test_second_losses.MemberShutdownTests(
                    "test_given_a_member_that_holds_one_of_two_copies_then_it_stays_until_there_is_a_third"
                )
            )

    def test_in_sync_set_of_one_is_detected(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", 1):
            self.assert_detected_by(
                test_second_losses.MemberShutdownTests(
                    "test_given_two_backups_that_stop_at_once_then_one_stays_in_sync"
                )
            )

    def test_stopping_member_that_is_not_released_is_detected(self) -> None:
        with patch.object(Primary, "handle_heartbeat_ack", ignore_stopping):
            self.assert_detected_by(
                test_second_losses.MemberShutdownTests(
                    "test_given_a_full_set_when_a_backup_stops_then_it_is_released_at_once"
                )
            )

    def test_election_timeout_that_is_too_short_is_detected(self) -> None:
        def postpone_too_briefly(election: Election, now_ms: float) -> None:
            election.postpone(now_ms, 250.0, 300.0)

        with patch.object(Election, "restart_timeout", postpone_too_briefly):
            self.assert_detected_by(
                test_times.PausedProcessTests(
                    "test_given_each_process_paused_in_turn_at_any_moment_then_the_view_does_not_change"
                )
            )

    def test_unchecked_time_constraints_are_detected(self) -> None:
        with patch.object(ReplicationTimes, "violated_constraints", lambda times: ()):
            self.assert_detected_by(
                test_times.TimeConstraintTests(
                    "test_given_one_inconsistent_time_then_a_violation_is_reported"
                )
            )

    def test_request_that_is_not_resent_is_detected(self) -> None:
        with patch.object(ViewProposals, "resend_requests_if_due", lambda proposals, now_ms: None):
            self.assert_detected_by(
                test_decisions.ProposerLossTests(
                    "test_given_a_lost_request_then_it_is_resent_within_the_proposal"
                )
            )

    def test_candidates_that_do_not_back_off_are_detected(self) -> None:
        with patch.object(Election, "wait_at_least", lambda election, now_ms, backoff_ms: None):
            self.assert_detected_by(
                test_decisions.SlowCandidateTests(
                    "test_given_one_slow_disk_then_the_candidates_do_not_block_each_other"
                )
            )

    def test_role_given_up_without_a_successor_is_detected(self) -> None:
        with patch.object(Primary, "can_be_followed", return_value=True):
            self.assert_detected_by(
                test_decisions.MissingSuccessorTests(
                    "test_given_a_full_disk_while_another_is_lost_then_the_primary_keeps_its_role"
                )
            )

    def assert_detected_by(self, test_case: unittest.TestCase) -> None:
        """Assert that the test fails."""
        result = unittest.TestResult()
        test_case.run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)


if __name__ == "__main__":
    unittest.main()
