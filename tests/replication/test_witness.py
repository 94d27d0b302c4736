"""Promises and acceptances of a witness, also across restarts and disk faults."""

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


class SingleWitness:
    """A single replica whose disk is a list of records; the test sends the messages of the others."""

    def __init__(self) -> None:
        self.records: tuple[bytes, ...] = ()
        self.now_ms = 0.0
        self.disk_works = True
        self.start()

    def start(self) -> None:
        """Start a new process with the records on disk."""
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
        self.handle_event(TimePassed())
        self.now_ms += 1_000.0  # a witness protects the primary for a grace period after its own start

    @property
    def me(self) -> Member:
        return Member(self.replica.incarnation, "me:1", "me:2", "zone")

    def view(self, epoch: int = 1, primary: Member = ANN) -> View:
        """A view with all three members."""
        members = (ANN, BOB, self.me)
        return View(epoch, primary.incarnation, tuple(member.incarnation for member in members), members)

    def receive(self, sender: Member, message: Message) -> list[Message]:
        """Return what it sends after a message, without the join requests that it sends all the time."""
        sent = self.handle_event(MessageReceived(sender.address, message))  # type: ignore[arg-type]
        return [response for response in sent if not isinstance(response, JoinRequest)]

    def handle_event(self, event: Event) -> list[Message]:
        """Handle an event and all resulting writes, and return the messages that it sends."""
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
        """Request a promise for the second epoch."""
        number = ProposalNumber(proposal_round, sender.incarnation, "process")
        return self.receive(sender, Prepare(sender.incarnation, "", self.view(), number, False))

    def accept(self, sender: Member, proposal_round: int) -> list[Message]:
        """Propose the sender as primary of the second epoch."""
        number = ProposalNumber(proposal_round, sender.incarnation, "process")
        proposal = self.view(2, sender)
        return self.receive(sender, Accept(sender.incarnation, "", self.view(), number, proposal))


def message_types(messages: list[Message]) -> list[type[Message]]:
    return [type(message) for message in messages]


class PromiseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.witness = SingleWitness()

    def test_given_a_promise_then_a_lower_proposal_number_is_rejected_and_a_higher_one_is_not(self) -> None:
        self.assertEqual([Promise], message_types(self.witness.prepare(ANN, 5)))
        self.assertEqual([Rejected], message_types(self.witness.prepare(BOB, 4)))
        self.assertEqual([Rejected], message_types(self.witness.accept(BOB, 4)))
        self.assertEqual([Promise], message_types(self.witness.prepare(BOB, 6)))
        self.assertEqual([Rejected], message_types(self.witness.accept(ANN, 5)))
        self.assertEqual([Accepted, AcceptedBroadcast], message_types(self.witness.accept(BOB, 6)))

    def test_given_a_repeated_request_then_the_response_is_the_same(self) -> None:
        first = self.witness.prepare(ANN, 5)
        self.assertEqual(first, self.witness.prepare(ANN, 5))
        self.assertEqual([Promise], message_types(first))
        accepted = self.witness.accept(ANN, 5)
        self.assertEqual(accepted, self.witness.accept(ANN, 5))

    def test_given_an_accepted_view_then_later_promises_report_it(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.accept(ANN, 5)
        (promise,) = self.witness.prepare(BOB, 6)
        assert isinstance(promise, Promise)
        self.assertEqual(self.witness.view(2, ANN), promise.accepted_view)

    def test_given_a_view_decided_in_the_meantime_then_the_proposer_is_notified(self) -> None:
        decided = self.witness.view(2, BOB)
        self.witness.receive(BOB, ViewNotice("b", "", decided))
        (notice,) = self.witness.prepare(ANN, 5)
        assert isinstance(notice, ViewNotice)
        self.assertEqual(decided, notice.view)

    def test_given_a_message_for_an_earlier_incarnation_then_nothing_is_promised(self) -> None:
        number = ProposalNumber(5, "a", "incarnation")
        responses = self.witness.receive(
            ANN, Prepare("a", "earlier_incarnation", self.witness.view(), number, False)
        )
        self.assertNotIn(Promise, message_types(responses))

    def test_given_a_base_without_its_vote_then_it_does_not_respond(self) -> None:
        base = View(1, "a", ("a", "b"), (ANN, BOB))
        number = ProposalNumber(5, "a", "incarnation")
        responses = self.witness.receive(ANN, Prepare("a", "", base, number, False))
        self.assertEqual([], responses)

    def test_given_a_failed_write_then_nothing_is_promised(self) -> None:
        self.witness.disk_works = False
        self.assertNotIn(Promise, message_types(self.witness.prepare(ANN, 5)))


class PromisesOutlastRestarts(unittest.TestCase):
    def setUp(self) -> None:
        self.witness = SingleWitness()

    def test_given_a_promise_when_power_is_lost_then_no_lower_proposal_number_is_accepted(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.start()
        self.assertEqual([Rejected], message_types(self.witness.accept(BOB, 4)))

    def test_given_an_accepted_view_when_power_is_lost_then_later_promises_report_it(self) -> None:
        self.witness.prepare(ANN, 5)
        self.witness.accept(ANN, 5)
        self.witness.start()
        (promise,) = self.witness.prepare(BOB, 6)
        assert isinstance(promise, Promise)
        self.assertEqual(self.witness.view(2, ANN), promise.accepted_view)

    def test_given_a_restart_then_the_incarnation_stays_the_same(self) -> None:
        before = self.witness.replica.incarnation
        self.witness.start()
        self.assertEqual(before, self.witness.replica.incarnation)


class ViewRegisterTests(unittest.TestCase):
    def test_given_a_newer_view_then_older_promises_are_discarded(self) -> None:
        witness = ViewRegister(None, WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None))
        first_view, second_view = (View(epoch, "a", ("a",), (ANN,)) for epoch in (1, 2))
        self.assertTrue(witness.adopt(first_view))
        self.assertTrue(witness.promise(ProposalNumber(3, "a", "x")))
        self.assertTrue(witness.accept(ProposalNumber(3, "a", "x"), second_view))
        self.assertEqual(2, witness.accepted_epoch)
        self.assertTrue(witness.adopt(second_view))
        self.assertFalse(witness.adopt(first_view))
        self.assertEqual((2, NO_PROPOSAL), (witness.accepted_epoch, witness.promised))

    def test_given_the_same_proposal_number_twice_then_it_is_promised_once(self) -> None:
        witness = ViewRegister(None, WitnessRecord(NO_PROPOSAL, NO_PROPOSAL, None))
        self.assertTrue(witness.promise(ProposalNumber(1, "a", "x")))
        self.assertFalse(witness.promise(ProposalNumber(1, "a", "x")))


if __name__ == "__main__":
    unittest.main()
