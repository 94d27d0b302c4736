"""What a replica promises and accepts as a witness, and that it keeps its word."""

from __future__ import annotations

import random
import unittest

from madderwind.messages.replication import (
    NO_PROPOSAL,
    Accept,
    Accepted,
    AcceptedBroadcast,
    JoinRequest,
    Member,
    Message,
    Prepare,
    Promise,
    ProposalNumber,
    Rejected,
    View,
    ViewNotice,
)
from madderwind.replication.actions import Action, Rewrite, Send, Write
from madderwind.replication.events import Event, MessageReceived, TimePassed, WriteCompleted, WriteFailed
from madderwind.replication.records import WitnessRecord
from madderwind.replication.replica import Replica, ReplicaOptions
from madderwind.replication.store import StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.replication.view_register import ViewRegister
from madderwind.storage.record_file import RecoveredFile
from tests.fleet.register import Register

ANN = Member("a", "ann:1", "ann:2", "zone")
BOB = Member("b", "bob:1", "bob:2", "zone")


class LoneWitness:
    """One replica whose disk is a list of records; the others are played by the test."""

    def __init__(self) -> None:
        self.records: tuple[bytes, ...] = ()
        self.now_ms = 0.0
        self.disk_works = True
        self.start()

    def start(self) -> None:
        """Begin a life on what is on disk."""
        self.now_ms += 10_000.0
        self.replica = Replica(
            ReplicaOptions(
                address="me:1",
                control_address="me:2",
                zone="zone",
                seeds=("me:1",),
                bootstrap=False,
                tolerance=1,
                times=ReplicationTimes(),
            ),
            RecoveredFile(self.records),
            StateFactory(Register, Register.restore),
            random.Random(3),
            self.now_ms,
        )
        self.event(TimePassed())
        self.now_ms += 1_000.0  # a witness that was just started protects whoever is primary

    @property
    def me(self) -> Member:
        return Member(self.replica.incarnation, "me:1", "me:2", "zone")

    def view(self, epoch: int = 1, primary: Member = ANN) -> View:
        """A view of the three."""
        members = (ANN, BOB, self.me)
        return View(epoch, primary.incarnation, tuple(member.incarnation for member in members), members)

    def receive(self, sender: Member, message: Message) -> list[Message]:
        """What it answers to a message; it also looks for a primary all the time."""
        sent = self.event(MessageReceived(sender.address, message))  # type: ignore[arg-type]
        return [answer for answer in sent if not isinstance(answer, JoinRequest)]

    def event(self, event: Event) -> list[Message]:
        """What it sends once all its writes are done."""
        sent: list[Message] = []
        actions = self.replica.handle(self.now_ms, event)
        while actions:
            action = actions.pop(0)
            if isinstance(action, Send):
                sent.append(action.message)
            actions += self._write(action)
        return sent

    def _write(self, action: Action) -> list[Action]:
        if not isinstance(action, Write | Rewrite):
            return []
        if not self.disk_works:
            return self.replica.handle(self.now_ms, WriteFailed(action.token))
        self.records = action.records if isinstance(action, Rewrite) else self.records + action.records
        return self.replica.handle(self.now_ms, WriteCompleted(action.token))

    def prepare(self, sender: Member, proposal_round: int) -> list[Message]:
        """Ask for a promise about the second epoch."""
        number = ProposalNumber(proposal_round, sender.incarnation, "process")
        return self.receive(sender, Prepare(sender.incarnation, "", self.view(), number, False))

    def accept(self, sender: Member, proposal_round: int) -> list[Message]:
        """Propose the sender as primary of the second epoch."""
        number = ProposalNumber(proposal_round, sender.incarnation, "process")
        proposal = self.view(2, sender)
        return self.receive(sender, Accept(sender.incarnation, "", self.view(), number, proposal))


def kinds(messages: list[Message]) -> list[type[Message]]:
    return [type(message) for message in messages]


class PromisesAreKept(unittest.TestCase):
    def setUp(self) -> None:
        self.witness = LoneWitness()

    def test_given_a_promise_then_a_lower_proposal_number_is_rejected_and_a_higher_one_is_not(self) -> None:
        self.assertEqual([Promise], kinds(self.witness.prepare(ANN, 5)))
        self.assertEqual([Rejected], kinds(self.witness.prepare(BOB, 4)))
        self.assertEqual([Rejected], kinds(self.witness.accept(BOB, 4)))
        self.assertEqual([Promise], kinds(self.witness.prepare(BOB, 6)))
        self.assertEqual([Rejected], kinds(self.witness.accept(ANN, 5)))
        self.assertEqual([Accepted, AcceptedBroadcast], kinds(self.witness.accept(BOB, 6)))

    def test_given_the_same_question_twice_then_it_has_the_same_answer(self) -> None:
        first = self.witness.prepare(ANN, 5)
        self.assertEqual(first, self.witness.prepare(ANN, 5))
        self.assertEqual([Promise], kinds(first))
        accepted = self.witness.accept(ANN, 5)
        self.assertEqual(accepted, self.witness.accept(ANN, 5))

    def test_given_an_accepted_view_then_later_promises_tell_it(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.accept(ANN, 5)
        (promise,) = self.witness.prepare(BOB, 6)
        assert isinstance(promise, Promise)
        self.assertEqual(self.witness.view(2, ANN), promise.accepted_view)

    def test_given_a_view_that_was_chosen_since_then_the_proposer_is_notified(self) -> None:
        chosen = self.witness.view(2, BOB)
        self.witness.receive(BOB, ViewNotice("b", "", chosen))
        (broadcast,) = self.witness.prepare(ANN, 5)
        assert isinstance(broadcast, ViewNotice)
        self.assertEqual(chosen, broadcast.view)

    def test_given_a_message_for_a_earlier_incarnation_at_this_address_then_nothing_is_promised(self) -> None:
        number = ProposalNumber(5, "a", "incarnation")
        answers = self.witness.receive(
            ANN, Prepare("a", "earlier_incarnation", self.witness.view(), number, False)
        )
        self.assertNotIn(Promise, kinds(answers))

    def test_given_a_base_in_which_it_has_no_vote_then_it_does_not_answer(self) -> None:
        base = View(1, "a", ("a", "b"), (ANN, BOB))
        number = ProposalNumber(5, "a", "incarnation")
        answers = self.witness.receive(ANN, Prepare("a", "", base, number, False))
        self.assertEqual([], answers)

    def test_given_a_failed_write_then_nothing_is_promised(self) -> None:
        self.witness.disk_works = False
        self.assertNotIn(Promise, kinds(self.witness.prepare(ANN, 5)))


class PromisesOutlastRestarts(unittest.TestCase):
    def setUp(self) -> None:
        self.witness = LoneWitness()

    def test_given_a_promise_when_power_is_lost_then_no_lower_proposal_number_is_accepted(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.start()
        self.assertEqual([Rejected], kinds(self.witness.accept(BOB, 4)))

    def test_given_an_accepted_view_when_power_is_lost_then_it_is_notified_to_the_next(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.accept(ANN, 5)
        self.witness.start()
        (promise,) = self.witness.prepare(BOB, 6)
        assert isinstance(promise, Promise)
        self.assertEqual(self.witness.view(2, ANN), promise.accepted_view)

    def test_given_a_lost_disk_then_it_is_another_incarnation(self) -> None:
        before = self.witness.replica.incarnation
        self.witness.start()
        self.assertEqual(before, self.witness.replica.incarnation)


class TheRegisterOfOneWitness(unittest.TestCase):
    def test_given_a_newer_view_then_older_promises_are_of_no_matter(self) -> None:
        witness = ViewRegister(None, WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None))
        one, two = (View(epoch, "a", ("a",), (ANN,)) for epoch in (1, 2))
        self.assertTrue(witness.adopt(one))
        self.assertTrue(witness.promise(ProposalNumber(3, "a", "x")))
        self.assertTrue(witness.accept(ProposalNumber(3, "a", "x"), two))
        self.assertEqual(2, witness.accepted_epoch)
        self.assertTrue(witness.adopt(two))
        self.assertFalse(witness.adopt(one))
        self.assertEqual((2, NO_PROPOSAL), (witness.accepted_epoch, witness.promised))

    def test_given_the_same_proposal_number_twice_then_it_is_promised_once(self) -> None:
        witness = ViewRegister(None, WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None))
        self.assertTrue(witness.promise(ProposalNumber(1, "a", "x")))
        self.assertFalse(witness.promise(ProposalNumber(1, "a", "x")))


if __name__ == "__main__":
    unittest.main()
