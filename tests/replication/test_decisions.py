"""Learning view decisions without the proposer, slow candidates, and a primary without a successor."""

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


class DecisionLearnerTests(unittest.TestCase):
    def test_given_broadcasts_then_only_a_majority_under_one_proposal_number_is_a_decision(self) -> None:
        learner = DecisionLearner()
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("ann", 1)))
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("bob", 2)))
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("ann", 1)))
        self.assertTrue(learner.handle_broadcast(BASE, broadcast("cat", 2)))

    def test_given_broadcasts_without_a_vote_or_for_another_epoch_then_they_do_not_count(self) -> None:
        learner = DecisionLearner()
        later = View(3, "bob", ("bob", "cat"), (ANN, BOB, CAT))
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("ann")))
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("stranger")))
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("bob", view=later)))

    def test_given_another_epoch_then_earlier_broadcasts_are_discarded(self) -> None:
        learner = DecisionLearner()
        learner.handle_broadcast(BASE, broadcast("ann"))
        learner.begin_epoch()
        self.assertFalse(learner.handle_broadcast(BASE, broadcast("bob")))

    def test_given_broadcasts_for_the_first_view_then_they_do_not_count(self) -> None:
        """The bootstrap may have been restarted with more members than this replica knows of."""
        learner, known_base = DecisionLearner(), View(0, "", (), (ANN, BOB))
        for sender in ("ann", "bob"):
            self.assertFalse(learner.handle_broadcast(known_base, broadcast(sender, view=BASE)))


class InterceptedFleetTestCase(FleetStory):
    """Base class that intercepts each message before it is sent and may drop it."""

    def setUp(self) -> None:
        super().setUp()
        self.original_send = self.fleet.network.send
        self.enterContext(patch.object(self.fleet.network, "send", self.send))

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Send a message unless `should_drop` returns True for it."""
        if not self.should_drop(sender, receiver, replication_messages.decode(data)):
            self.original_send(sender, receiver, data)

    def should_drop(self, sender: str, receiver: str, message: ReplicationMessage) -> bool:
        """Whether to drop this message."""
        return False


class ProposerLossTests(InterceptedFleetTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.proposer: Machine | None = None
        self.requested_links: set[tuple[str, str]] = set()
        self.drops_first_requests = False

    def should_drop(self, sender: str, receiver: str, message: ReplicationMessage) -> bool:
        if isinstance(message, Prepare) and self.drops_first_requests:
            is_first_request = (sender, receiver) not in self.requested_links
            self.requested_links.add((sender, receiver))
            return is_first_request
        if isinstance(message, Accepted) and self.proposer is not None:
            self.fleet.clock.after(0.0, self.proposer.kill)
            return True
        return False

    def test_given_a_replacement_when_its_proposer_is_lost_before_the_notice_then_all_learn_the_decision(
        self,
    ) -> None:
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

    def test_given_a_lost_request_then_it_is_resent_within_the_proposal(self) -> None:
        self.drops_first_requests = True
        self.primary.kill()
        self.assertLess(self.fleet.run_until(lambda: self.fleet.primary() is not None, 2_000.0), 600.0)
        self.assertTrue(self.requested_links)


class SlowCandidateTests(unittest.TestCase):
    """The primary is lost, and one or both of the two remaining replicas have slow disks."""

    def longest_election_ms(self, sync_ms: tuple[float, float]) -> float:
        """Return the longest time until there is a new primary, over several fleets."""
        waits = []
        for seed in range(1, 9):
            fleet = Fleet(seed=seed)
            fleet.start()
            old = fleet.stabilize()
            fleet.run(1_000.0)
            backups = [machine for machine in fleet.running() if machine is not old]
            for backup, backup_sync_ms in zip(backups, sync_ms, strict=True):
                backup.sync_ms = backup_sync_ms
            old.remove()
            waits.append(fleet.run_until(lambda f=fleet: f.primary() is not None, 20_000.0))  # type: ignore[misc]
        return max(waits)

    def test_given_one_slow_disk_then_the_candidates_do_not_block_each_other(self) -> None:
        self.assertLess(self.longest_election_ms((200.0, 1.0)), 1_500.0)

    def test_given_two_slow_disks_then_the_candidates_do_not_block_each_other(self) -> None:
        self.assertLess(self.longest_election_ms((200.0, 200.0)), 2_500.0)


class MissingSuccessorTests(FleetStory):
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
