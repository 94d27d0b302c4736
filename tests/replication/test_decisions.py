"""How a decision of a view becomes known, also without its proposer, and when a role is given up."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.messages.replication import (
    Accepted,
    AcceptedBroadcast,
    Member,
    Prepare,
    ProposalNumber,
    ReplicationMessage,
    View,
    replication_messages,
)
from madderwind.replication.decision_learner import DecisionLearner
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine
from tests.replication.story import FleetStory

ANN, BOB, CAT = (Member(name, f"{name}:1", f"{name}:2", "zone") for name in ("ann", "bob", "cat"))
BASE = View(1, "ann", ("ann", "bob", "cat"), (ANN, BOB, CAT))
NEXT = View(2, "bob", ("bob", "cat"), (ANN, BOB, CAT))


def broadcast(sender: str, number: int = 1, view: View = NEXT) -> AcceptedBroadcast:
    return AcceptedBroadcast(sender, "", ProposalNumber(number, "bob", "incarnation"), view)


class TheWatch(unittest.TestCase):
    def test_given_broadcasts_then_only_a_majority_under_one_proposal_number_is_a_decision(self) -> None:
        watch = DecisionLearner()
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("ann", 1)))
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("bob", 2)))
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("ann", 1)))
        self.assertTrue(watch.handle_broadcast(BASE, broadcast("cat", 2)))

    def test_given_notices_of_who_has_no_vote_or_of_another_epoch_then_they_do_not_count(self) -> None:
        watch = DecisionLearner()
        later = View(3, "bob", ("bob", "cat"), (ANN, BOB, CAT))
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("ann")))
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("stranger")))
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("bob", view=later)))

    def test_given_another_epoch_then_earlier_notices_are_forgotten(self) -> None:
        watch = DecisionLearner()
        watch.handle_broadcast(BASE, broadcast("ann"))
        watch.begin_epoch()
        self.assertFalse(watch.handle_broadcast(BASE, broadcast("bob")))

    def test_given_notices_about_the_founding_then_they_do_not_count(self) -> None:
        """The founder may have begun anew with more members than are known here."""
        watch, known_base = DecisionLearner(), View(0, "", (), (ANN, BOB))
        for sender in ("ann", "bob"):
            self.assertFalse(watch.handle_broadcast(known_base, broadcast(sender, view=BASE)))


class InterceptedStory(FleetStory):
    """Sees each message before it is sent, and may have it lost."""

    def setUp(self) -> None:
        super().setUp()
        self.ordinary_send = self.fleet.network.send
        self.enterContext(patch.object(self.fleet.network, "send", self.send))

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Send unless `is_lost` says otherwise."""
        if not self.is_lost(sender, receiver, replication_messages.decode(data)):
            self.ordinary_send(sender, receiver, data)

    def is_lost(self, sender: str, receiver: str, message: ReplicationMessage) -> bool:
        """Whether this message does not arrive."""
        return False


class AProposerThatIsLost(InterceptedStory):
    def setUp(self) -> None:
        super().setUp()
        self.proposer: Machine | None = None
        self.requested: set[tuple[str, str]] = set()
        self.loses_questions = False

    def is_lost(self, sender: str, receiver: str, message: ReplicationMessage) -> bool:
        if isinstance(message, Prepare) and self.loses_questions:
            is_first = (sender, receiver) not in self.requested
            self.requested.add((sender, receiver))
            return is_first
        if isinstance(message, Accepted) and self.proposer is not None:
            self.fleet.clock.after(0.0, self.proposer.kill)
            return True
        return False

    def test_given_a_swap_when_the_proposer_is_lost_before_it_tells_then_all_know_the_choice(self) -> None:
        proposer, (lost, other) = self.primary, self.backups()
        lost.remove()
        del self.fleet.machines[lost.address]
        newcomer = self.fleet.add("newcomer")
        self.fleet.run(1_000.0)
        self.proposer = proposer
        newcomer.start()
        self.fleet.run_until(lambda: not proposer.is_running, 1_000.0)
        self.fleet.run(10.0)
        for machine in (other, newcomer):
            status = machine.status()
            assert status is not None
            self.assertIn("newcomer", status.members, machine.address)

    def test_given_a_lost_question_then_it_is_requested_again_within_the_proposal(self) -> None:
        self.loses_questions = True
        self.primary.kill()
        self.assertLess(self.fleet.run_until(lambda: self.fleet.primary() is not None, 2_000.0), 600.0)
        self.assertTrue(self.requested)


class CandidatesWithSlowDisks(unittest.TestCase):
    """Given that the primary is lost and one of the two that are left, or both, take long to write."""

    def longest_ms(self, sync_ms: tuple[float, float]) -> float:
        """Until there is a primary again, over some fleets."""
        waits = []
        for seed in range(1, 9):
            fleet = Fleet(seed=seed)
            fleet.start()
            old = fleet.stabilize()
            fleet.run(1_000.0)
            backups = [machine for machine in fleet.running() if machine is not old]
            for backup, each_ms in zip(backups, sync_ms, strict=True):
                backup.sync_ms = each_ms
            old.remove()
            waits.append(fleet.run_until(lambda f=fleet: f.primary() is not None, 20_000.0))  # type: ignore[misc]
        return max(waits)

    def test_given_one_slow_disk_then_the_candidates_do_not_keep_each_other_from_it(self) -> None:
        self.assertLess(self.longest_ms((200.0, 1.0)), 1_500.0)

    def test_given_two_slow_disks_then_the_candidates_do_not_keep_each_other_from_it(self) -> None:
        self.assertLess(self.longest_ms((200.0, 200.0)), 2_500.0)


class ARoleThatNobodyCanTake(FleetStory):
    def test_given_a_full_disk_while_another_is_lost_then_the_primary_keeps_its_role(self) -> None:
        primary = self.primary
        self.backups()[0].kill()
        self.fleet.submit_and_commit(3, 5)
        primary.disk.is_full = True
        self.fleet.submit(primary, 5, 6)
        self.fleet.run(1_000.0)
        self.assertIs(primary, self.primary)
        primary.disk.is_full = False
        self.assertLess(self.fleet.submit_and_commit(5, 6), 300.0)


if __name__ == "__main__":
    unittest.main()
