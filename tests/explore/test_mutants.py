"""Faults put into the code on purpose: the exploration has to find each of them."""

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
from tests.explore.chance import NAME_BITS, FixedChance
from tests.explore.choices import Allowance
from tests.explore.node import WAIT_SHARE_STEP, Node
from tests.explore.plans import Plan, carry_out
from tests.explore.steps import Violation

ordinary_promise = Proposer.handle_promise
ordinary_wanted_view = ViewPlanner.wanted_view


def accept_whatever_was_promised(witness: ViewRegister, number: ProposalNumber, view: View) -> bool:
    witness.promised = max(witness.promised, number)
    witness.accepted_number, witness.accepted_view = number, view
    return True


def promise_whatever_was_promised(witness: ViewRegister, number: ProposalNumber) -> bool:
    witness.promised = number
    return True


def promise_without_what_was_accepted(proposer: Proposer, sender: str, promise: Promise) -> bool:
    without = structs.replace(promise, accepted_number=NO_PROPOSAL, accepted_view=None)
    return ordinary_promise(proposer, sender, without)


def adopt_and_keep_promises(witness: ViewRegister, view: View) -> bool:
    if view.epoch <= witness.epoch:
        return False
    witness.view = view
    return True


def a_minority(view: View) -> int:
    return len(view.members) // 2


def promote_before_it_is_on_disk(roles: RoleMachine, now_ms: float) -> None:
    view = roles._store.view
    if view is None or view.epoch == 0 or roles._won_epoch != view.epoch or roles.primary is not None:
        return
    roles._won_epoch = 0
    roles.primary = Primary(roles._context, view, roles._rules, now_ms)
    roles._enter(Role.PRIMARY)


def wanted_view_without_joining(planner: ViewPlanner, now_ms: float) -> View | None:
    wanted = ordinary_wanted_view(planner, now_ms)
    planner.joining.clear()
    return wanted


def install_any_snapshot(follower: Follower, now_ms: float, message: InstallSnapshot) -> None:
    follower.last_received_ms = now_ms
    follower._store.install(message.index, message.entry_epoch, message.data)
    follower._record_match(message.index)


def read_without_a_fence(primary: Primary, now_ms: float, token: int) -> None:
    primary._outbox.add(ReadResolved(token, is_newest=True))


def send_at_once(store: ReplicaStore, address: str, message: ReplicationMessage) -> None:
    store._outbox.send(address, message)


def last_index(store: ReplicaStore) -> int:
    return store.log.last_index


def as_if_synced_everywhere(primary: Primary, incarnation: str) -> int:
    return primary._store.synced_index


def handle_any_broadcast(learner: DecisionLearner, base: View, broadcast: AcceptedBroadcast) -> bool:
    return broadcast.view.epoch == base.epoch + 1


class OneName(FixedChance):
    """Gives a life no name of its own."""

    def getrandbits(self, bits: int, /) -> int:
        return self._prefix if bits == NAME_BITS else 0


def chance_by_address(node: Node) -> FixedChance:
    """A machine with another disk draws the name that it had before."""
    return FixedChance(node.number + 1, node.number * WAIT_SHARE_STEP)


def chance_by_disk(node: Node) -> FixedChance:
    """All lives on one disk draw the same name."""
    return OneName((node.number + 1 << 8) + node.disk_number, node.number * WAIT_SHARE_STEP)


class TheExplorationFindsMutants(unittest.TestCase):
    def assert_found(self, *plans: Plan, leaves: int = 0) -> None:
        """In one of the explorations something happens that must not."""
        for plan in plans:
            try:
                carry_out(plan, leaves=leaves)
            except Violation:
                return
        self.fail("not found")

    # --- the register of views ---

    def test_promises_that_are_not_recorded(self) -> None:
        with patch.object(ReplicaStore, "record_witness", lambda store: None):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_promises_that_go_out_before_they_are_on_disk(self) -> None:
        with patch.object(ReplicaStore, "send_once_synced", send_at_once):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_a_proposal_accepted_below_a_promise(self) -> None:
        with patch.object(ViewRegister, "accept", accept_whatever_was_promised):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(times=4), 10, 0))

    def test_a_promise_below_a_promise(self) -> None:
        with patch.object(ViewRegister, "promise", promise_whatever_was_promised):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=2), 4, 0))

    def test_a_proposal_that_ignores_an_accepted_view(self) -> None:
        with patch.object(Proposer, "handle_promise", promise_without_what_was_accepted):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=4), 10, 0))

    def test_promises_retained_beyond_their_epoch(self) -> None:
        with patch.object(ViewRegister, "adopt", adopt_and_keep_promises):
            self.assert_found(Plan(scenarios.takeover, Allowance(commands=1), 1, 0), leaves=10)

    def test_a_choice_by_a_minority(self) -> None:
        with patch.object(View, "majority", a_minority):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(times=1), 2, 0))

    def test_a_choice_known_from_one_broadcast(self) -> None:
        with patch.object(DecisionLearner, "handle_broadcast", handle_any_broadcast):
            self.assert_found(Plan(scenarios.swap_and_candidate, Allowance(times=1), 2, 0))

    def test_a_swap_notified_by_the_proposer_alone(self) -> None:
        story = test_explored.ASecondDiskIsLost(
            "test_while_a_swap_is_notified_then_the_system_goes_on_where_the_messages_arrive"
        )
        result = unittest.TestResult()
        with patch.object(RoleMachine, "handle_accepted_broadcast", lambda roles, now_ms, broadcast: None):
            story.run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.errors + result.failures)

    def test_a_wiped_machine_that_keeps_its_name(self) -> None:
        with patch.object(Node, "chance", chance_by_address):
            self.assert_found(Plan(scenarios.three_candidates, Allowance(faults=1, wipes=1), 2, 0))

    def test_a_proposal_number_used_by_two_process_incarnations(self) -> None:
        with patch.object(Node, "chance", chance_by_disk):
            self.assert_found(Plan(scenarios.two_candidates, Allowance(times=3, faults=2), 3, 0))

    def test_a_primary_before_its_view_is_on_disk(self) -> None:
        with patch.object(RoleMachine, "promote_if_due", promote_before_it_is_on_disk):
            self.assert_found(Plan(scenarios.takeover, Allowance(faults=1), 1, 0))

    def test_a_set_too_small_to_hold_a_command(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", PropertyMock(return_value=1)):
            self.assert_found(Plan(scenarios.lagging_candidate, Allowance(times=3), 5, 0))

    def test_a_candidate_that_is_not_in_sync(self) -> None:
        with patch.object(ReplicaStore, "is_in_sync", PropertyMock(return_value=True)):
            self.assert_found(Plan(scenarios.lagging_candidate, Allowance(times=3), 7, 0))

    # --- commands and reads ---

    def test_commits_that_do_not_wait_for_those_that_join(self) -> None:
        with patch.object(ViewPlanner, "wanted_view", wanted_view_without_joining):
            self.assert_found(Plan(scenarios.takeover, Allowance(commands=1), 3, 0))

    def test_commits_that_wait_for_nobody(self) -> None:
        with patch.object(Primary, "_synced_by", as_if_synced_everywhere):
            self.assert_found(Plan(scenarios.stable, Allowance(commands=1), 1, 0))

    def test_entries_acknowledged_before_they_are_on_disk(self) -> None:
        with patch.object(ReplicaStore, "synced_index", property(last_index)):
            self.assert_found(Plan(scenarios.cut_off, Allowance(commands=1, faults=1), 3, 0))

    def test_a_snapshot_older_than_the_log(self) -> None:
        with patch.object(Follower, "handle_snapshot", install_any_snapshot):
            self.assert_found(Plan(scenarios.learner, Allowance(), 1, 0, has_late_copies=True))

    def test_a_read_without_a_fence(self) -> None:
        with patch.object(Primary, "read", read_without_a_fence):
            self.assert_found(Plan(scenarios.cut_off, Allowance(reads=1), 1, 0))

    def test_a_refusal_without_a_fence(self) -> None:
        with patch.object(Primary, "_round_from_now", return_value=0):
            self.assert_found(Plan(scenarios.cut_off, Allowance(commands=1), 1, 0))


if __name__ == "__main__":
    unittest.main()
