"""Faults put into the handling of losses on purpose: a named story has to fail with each of them."""

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

ordinary_status = Replica.status
ordinary_ack = Primary.handle_heartbeat_ack


def needed_as_primary_alone(replica: Replica, now_ms: float) -> object:
    status = ordinary_status(replica, now_ms)
    return structs.replace(status, is_needed=status.is_primary)


def stopping_forgotten(primary: Primary, now_ms: float, answer: HeartbeatAck) -> None:
    ordinary_ack(primary, now_ms, structs.replace(answer, stopping=False))


class StoriesFindMutants(unittest.TestCase):
    def test_timeout_that_is_not_carried_over(self) -> None:
        with patch.object(KnownPeers, "all", return_value=()):
            self.assert_found_by(
                test_second_losses.ALossAfterAReplacement(
                    "test_given_a_lost_backup_then_a_lost_primary_then_the_backup_s_timeout_is_not_counted_anew"
                )
            )

    def test_a_swap_notified_by_the_proposer_alone(self) -> None:
        with patch.object(DecisionLearner, "handle_broadcast", return_value=False):
            self.assert_found_by(
                test_decisions.AProposerThatIsLost(
                    "test_given_a_swap_when_the_proposer_is_lost_before_it_tells_then_all_know_the_choice"
                )
            )

    def test_a_choice_by_one_acceptor(self) -> None:
        with patch.object(View, "majority", lambda view: 1):
            self.assert_found_by(
                test_decisions.TheWatch(
                    "test_given_broadcasts_then_only_a_majority_under_one_proposal_number_is_a_decision"
                )
            )

    def test_a_stopping_member_that_is_dropped_first(self) -> None:
        with patch.object(Replica, "status", needed_as_primary_alone):
            self.assert_found_by(
                test_second_losses.MembersThatLeave(
                    "test_given_a_member_that_holds_one_of_two_copies_then_it_stays_until_there_is_another"
                )
            )

    def test_a_set_shrunk_to_one(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", 1):
            self.assert_found_by(
                test_second_losses.MembersThatLeave(
                    "test_given_two_that_leave_at_once_then_the_set_never_holds_less_than_two_copies"
                )
            )

    def test_a_stopping_member_that_the_primary_does_not_let_go(self) -> None:
        with patch.object(Primary, "handle_heartbeat_ack", stopping_forgotten):
            self.assert_found_by(
                test_second_losses.MembersThatLeave(
                    "test_given_a_full_set_when_a_member_leaves_then_it_is_gone_at_once"
                )
            )

    def test_elections_that_are_called_too_soon(self) -> None:
        def hasty(election: Election, now_ms: float) -> None:
            election.postpone(now_ms, 250.0, 300.0)

        with patch.object(Election, "restart_timeout", hasty):
            self.assert_found_by(
                test_times.PausesThatAreNoLoss(
                    "test_given_each_process_paused_in_turn_at_any_moment_then_the_view_stays"
                )
            )

    def test_inequalities_that_are_not_looked_at(self) -> None:
        with patch.object(ReplicationTimes, "violated_constraints", lambda times: ()):
            self.assert_found_by(
                test_times.TimesFitTogether("test_given_one_time_that_does_not_fit_then_it_is_notified")
            )

    def test_a_question_that_is_requested_once(self) -> None:
        with patch.object(ViewProposals, "resend_requests_if_due", lambda proposals, now_ms: None):
            self.assert_found_by(
                test_decisions.AProposerThatIsLost(
                    "test_given_a_lost_question_then_it_is_requested_again_within_the_proposal"
                )
            )

    def test_candidates_that_do_not_give_way(self) -> None:
        with patch.object(Election, "wait_at_least", lambda election, now_ms, backoff_ms: None):
            self.assert_found_by(
                test_decisions.CandidatesWithSlowDisks(
                    "test_given_one_slow_disk_then_the_candidates_do_not_keep_each_other_from_it"
                )
            )

    def test_a_role_given_up_with_nobody_to_take_it(self) -> None:
        with patch.object(Primary, "can_be_followed", return_value=True):
            self.assert_found_by(
                test_decisions.ARoleThatNobodyCanTake(
                    "test_given_a_full_disk_while_another_is_lost_then_the_primary_keeps_its_role"
                )
            )

    def assert_found_by(self, story: unittest.TestCase) -> None:
        """The story fails."""
        result = unittest.TestResult()
        story.run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)


if __name__ == "__main__":
    unittest.main()
