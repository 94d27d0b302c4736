"""Mutation tests: the exploration has to detect each fault that is injected into the replication code."""

from __future__ import annotations

import unittest
from unittest.mock import PropertyMock, patch

from msgspec import structs

from madderwind.messages.replication import (
    NO_PROPOSAL,
    AcceptedBroadcast,
    InstallSnapshot,
    Promise,
    ProposalNumber,
    ReplicationMessage,
    View,
)
from madderwind.replication.actions import ReadResolved
from madderwind.replication.decision_learner import DecisionLearner
from madderwind.replication.follower import Follower
from madderwind.replication.membership import MembershipRules
from madderwind.replication.primary import Primary
from madderwind.replication.proposer import Proposer
from madderwind.replication.role_machine import Role, RoleMachine
from madderwind.replication.store import ReplicaStore
from madderwind.replication.view_planner import ViewPlanner
from madderwind.replication.view_register import ViewRegister
from tests.explore import scenarios, test_explored
from tests.explore.chance import NAME_BITS, DeterministicRandom
from tests.explore.choices import Allowance
from tests.explore.node import DELAY_FRACTION_STEP, Node
from tests.explore.plans import Plan, run_plan
from tests.explore.steps import Violation

original_handle_promise = Proposer.handle_promise
original_wanted_view = ViewPlanner.wanted_view


def accept_regardless_of_promises(witness: ViewRegister, number: ProposalNumber, view: View) -> bool:
    witness.promised = max(witness.promised, number)
    witness.accepted_number, witness.accepted_view = number, view
    return True


def promise_regardless_of_promises(witness: ViewRegister, number: ProposalNumber) -> bool:
    witness.promised = number
    return True


def handle_promise_without_accepted_view(proposer: Proposer, sender: str, promise: Promise) -> bool:
    without = structs.replace(promise, accepted_number=NO_PROPOSAL, accepted_view=None)
    return original_handle_promise(proposer, sender, without)


def adopt_and_keep_promises(witness: ViewRegister, view: View) -> bool:
    if view.epoch <= witness.epoch:
        return False
    witness.view = view
    return True


def half_of_the_members(view: View) -> int:
    return len(view.members) // 2


def promote_before_view_is_on_disk(roles: RoleMachine, now_ms: float) -> None:
    view = roles._store.view
    if view is None or view.epoch == 0 or roles._won_epoch != view.epoch or roles.primary is not None:
        return
    roles._won_epoch = 0
    roles.primary = Primary(roles._context, view, roles._rules, now_ms)
    roles._enter(Role.PRIMARY)


def wanted_view_without_joining(planner: ViewPlanner, now_ms: float) -> View | None:
    wanted = original_wanted_view(planner, now_ms)
    planner.joining.clear()
    return wanted


def install_any_snapshot(follower: Follower, now_ms: float, message: InstallSnapshot) -> None:
    follower.last_received_ms = now_ms
    follower._store.install(message.index, message.entry_epoch, message.data)
    follower._record_match(message.index)


def answer_read_without_quorum_round(primary: Primary, now_ms: float, token: int) -> None:
    primary._outbox.add(ReadResolved(token, is_newest=True))


def send_immediately(store: ReplicaStore, address: str, message: ReplicationMessage) -> None:
    store._outbox.send(address, message)


def last_index(store: ReplicaStore) -> int:
    return store.log.last_index


def synced_index_of_primary(primary: Primary, incarnation: str) -> int:
    return primary._store.synced_index


def handle_any_broadcast(learner: DecisionLearner, base: View, broadcast: AcceptedBroadcast) -> bool:
    return broadcast.view.epoch == base.epoch + 1


class SingleName(DeterministicRandom):
    """Gives all process incarnations with one prefix the same name."""

    def getrandbits(self, bits: int, /) -> int:
        return self._prefix if bits == NAME_BITS else 0


def rng_by_address(node: Node) -> DeterministicRandom:
    """Randomness by which a machine with a new disk draws its former name again."""
    return DeterministicRandom(node.number + 1, node.number * DELAY_FRACTION_STEP)


def rng_by_disk(node: Node) -> DeterministicRandom:
    """Randomness by which all process incarnations on one disk draw the same name."""
    return SingleName((node.number + 1 << 8) + node.disk_number, node.number * DELAY_FRACTION_STEP)


class MutantsAreDetected(unittest.TestCase):
    def assert_found(self, *plans: Plan, leaves: int = 0) -> None:
        """Check that one of the explorations raises a violation."""
        for plan in plans:
            try:
                run_plan(plan, leaves=leaves)
            except Violation:
                return
        self.fail("no exploration detected the mutant")

    def test_promises_that_are_not_recorded(self) -> None:
        with patch.object(ReplicaStore, "record_witness", lambda store: None):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_promises_sent_before_they_are_on_disk(self) -> None:
        with patch.object(ReplicaStore, "send_once_synced", send_immediately):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_a_proposal_accepted_below_a_promise(self) -> None:
        with patch.object(ViewRegister, "accept", accept_regardless_of_promises):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(times=4), 10, 0))

    def test_a_promise_below_an_earlier_promise(self) -> None:
        with patch.object(ViewRegister, "promise", promise_regardless_of_promises):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_a_proposal_that_ignores_an_accepted_view(self) -> None:
        with patch.object(Proposer, "handle_promise", handle_promise_without_accepted_view):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=4), 10, 0))

    def test_promises_retained_beyond_their_epoch(self) -> None:
        with patch.object(ViewRegister, "adopt", adopt_and_keep_promises):
            self.assert_found(Plan(scenarios.takeover, Allowance(commands=1), 1, 0), leaves=10)

    def test_a_view_decided_by_a_minority(self) -> None:
        with patch.object(View, "majority", half_of_the_members):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(times=1), 2, 0))

    def test_a_view_considered_decided_after_one_broadcast(self) -> None:
        with patch.object(DecisionLearner, "handle_broadcast", handle_any_broadcast):
            self.assert_found(Plan(scenarios.swap_and_candidate, Allowance(times=1), 2, 0))

    def test_a_swap_announced_only_by_the_proposer(self) -> None:
        recovery_test = test_explored.SecondDiskLost(
            "test_during_a_swap_notification_the_system_recovers_if_messages_arrive"
        )
        result = unittest.TestResult()
        with patch.object(RoleMachine, "handle_accepted_broadcast", lambda roles, now_ms, broadcast: None):
            recovery_test.run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.errors + result.failures)

    def test_a_wiped_machine_that_keeps_its_name(self) -> None:
        with patch.object(Node, "replica_rng", rng_by_address):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(faults=1, wipes=1), 2, 0))

    def test_a_proposal_number_used_by_two_process_incarnations(self) -> None:
        with patch.object(Node, "replica_rng", rng_by_disk):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=3, faults=2), 3, 0))

    def test_a_primary_before_its_view_is_on_disk(self) -> None:
        with patch.object(RoleMachine, "promote_if_due", promote_before_view_is_on_disk):
            self.assert_found(Plan(scenarios.takeover, Allowance(faults=1), 1, 0))

    def test_an_in_sync_set_below_the_required_size(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", PropertyMock(return_value=1)):
            self.assert_found(Plan(scenarios.lagging_candidate, Allowance(times=3), 5, 0))

    def test_a_candidate_that_is_not_in_sync(self) -> None:
        with patch.object(ReplicaStore, "is_in_sync", PropertyMock(return_value=True)):
            self.assert_found(Plan(scenarios.lagging_candidate, Allowance(times=3), 7, 0))

    def test_commits_that_do_not_wait_for_joining_replicas(self) -> None:
        with patch.object(ViewPlanner, "wanted_view", wanted_view_without_joining):
            self.assert_found(Plan(scenarios.takeover, Allowance(commands=1), 3, 0))

    def test_commits_that_wait_for_no_replica(self) -> None:
        with patch.object(Primary, "_synced_by", synced_index_of_primary):
            self.assert_found(Plan(scenarios.stable, Allowance(commands=1), 1, 0))

    def test_entries_acknowledged_before_they_are_on_disk(self) -> None:
        with patch.object(ReplicaStore, "synced_index", property(last_index)):
            self.assert_found(Plan(scenarios.cut_off, Allowance(commands=1, faults=1), 3, 0))

    def test_installing_a_snapshot_older_than_the_log(self) -> None:
        with patch.object(Follower, "handle_snapshot", install_any_snapshot):
            self.assert_found(Plan(scenarios.learner, Allowance(), 1, 0, has_late_copies=True))

    def test_a_read_without_a_quorum_round(self) -> None:
        with patch.object(Primary, "read", answer_read_without_quorum_round):
            self.assert_found(Plan(scenarios.cut_off, Allowance(reads=1), 1, 0))

    def test_a_refusal_without_a_quorum_round(self) -> None:
        with patch.object(Primary, "_round_from_now", return_value=0):
            self.assert_found(Plan(scenarios.cut_off, Allowance(commands=1), 1, 0))


if __name__ == "__main__":
    unittest.main()
