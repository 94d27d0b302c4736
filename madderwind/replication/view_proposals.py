"""This replica's own proposals for the next view: sent out, counted, given up in time."""

from __future__ import annotations

from madderwind.messages.replication import Accept, Accepted, Prepare, Promise, ProposalNumber, Rejected, View
from madderwind.replication.core import ReplicaCore
from madderwind.replication.proposer import Proposer, ViewBuilder


class ViewProposals:
    """At most one proposal is under way. `process_incarnation` is drawn at each start of the process."""

    def __init__(self, core: ReplicaCore, process_incarnation: str, now_ms: float) -> None:
        self._core, self._process_incarnation = core, process_incarnation
        self._proposer: Proposer | None = None
        self._last_round = 0
        self._next_ms = now_ms
        self._asked_ms = now_ms
        self._leadership_transferred = False
        self._built: list[View] = []

    @property
    def is_under_way(self) -> bool:
        """Whether a proposal waits for answers."""
        return self._proposer is not None

    def may_begin(self, now_ms: float) -> bool:
        """Whether none is under way and the pause after the last one is over."""
        return self._proposer is None and now_ms >= self._next_ms

    def begin(self, now_ms: float, base: View, build: ViewBuilder, leadership_transferred: bool) -> None:
        """Ask the members of `base` for their promises."""
        core = self._core
        self._last_round = max(self._last_round, core.witness.promised.round) + 1
        number = ProposalNumber(self._last_round, core.me.incarnation, self._process_incarnation)
        self._proposer = Proposer(base, number, build, now_ms)
        self._leadership_transferred = leadership_transferred
        self._ask(now_ms, self._proposer)

    def ask_again_if_due(self, now_ms: float) -> None:
        """Repeat the question to those that did not answer: it was lost, they were not there, or a lease
        that they kept may be over by now."""
        proposer = self._proposer
        if proposer is not None and now_ms - self._asked_ms >= self._core.times.ask_again_ms:
            self._ask(now_ms, proposer)

    def take_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise; with a majority of them the proposal goes out."""
        proposer = self._proposer
        if proposer is not None and proposer.take_promise(promise.sender, promise):
            if proposer.is_own_proposal and proposer.proposal is not None:
                self._built.append(proposer.proposal)
            self._ask(now_ms, proposer)

    def take_accepted(self, now_ms: float, accepted: Accepted) -> View | None:
        """Count an acceptance; the view that is decided with it, if one is."""
        proposer = self._proposer
        if proposer is None or not proposer.take_accepted(accepted.sender, accepted):
            return None
        self._proposer = None
        self._next_ms = now_ms
        return proposer.proposal

    def has_built(self, view: View) -> bool:
        """Whether this replica built that proposal for the epoch that is open, in this life. Another may have
        completed it."""
        return view in self._built

    def is_beaten(self, refusal: Rejected) -> bool:
        """Whether a refusal tells of a higher proposal number than the present proposal's."""
        proposer = self._proposer
        if proposer is None or refusal.number != proposer.number:
            return False
        self._last_round = max(self._last_round, refusal.promised.round)
        return refusal.promised > proposer.number

    def is_timed_out(self, now_ms: float) -> bool:
        """Whether the present proposal has waited too long for answers."""
        proposer = self._proposer
        return proposer is not None and now_ms - proposer.started_ms > self._core.times.proposal_ms

    def abandon(self, now_ms: float, pause_ms: float) -> None:
        """Give the present proposal up; the next may begin after a pause."""
        self._proposer = None
        self._next_ms = now_ms + pause_ms

    def drop(self) -> None:
        """Give the present proposal up without a pause."""
        self._proposer = None

    def drop_before(self, epoch: int) -> None:
        """Give the proposals up that are for an epoch that has been decided."""
        self._built = [view for view in self._built if view.epoch > epoch]
        if self._proposer is not None and self._proposer.base.epoch < epoch:
            self._proposer = None

    def _ask(self, now_ms: float, proposer: Proposer) -> None:
        """Put the present phase's question to those that have not answered it."""
        self._asked_ms = now_ms
        core, base, number = self._core, proposer.base, proposer.number
        for member in proposer.unanswered:
            message: Prepare | Accept
            if proposer.proposal is None:
                message = Prepare(
                    core.me.incarnation, member.incarnation, base, number, self._leadership_transferred
                )
            else:
                message = Accept(core.me.incarnation, member.incarnation, base, number, proposer.proposal)
            core.send(member.address, message)
