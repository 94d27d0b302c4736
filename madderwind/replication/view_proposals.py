"""This replica's own proposals for the next view: sent out, counted, given up in time."""

from __future__ import annotations

from madderwind.messages.replication import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    ProposalNumber,
    Rejected,
    View,
)
from madderwind.replication.context import ReplicaContext
from madderwind.replication.proposer import Proposer, ViewBuilder


class ViewProposals:
    """At most one proposal is in progress."""

    def __init__(self, context: ReplicaContext, process_incarnation: str, now_ms: float) -> None:
        """Begin without a proposal.

        Args:
            context: The replica's parts.
            process_incarnation: Drawn at each start of the process, for its proposal numbers.
            now_ms: Steady clock, ms.
        """
        self._store, self._outbox, self._times = context.store, context.outbox, context.times
        self._process_incarnation = process_incarnation
        self._proposer: Proposer | None = None
        self._last_round = 0
        self._next_ms = now_ms
        self._requested_ms = now_ms
        self._is_transfer = False
        self._built: list[View] = []

    @property
    def is_in_progress(self) -> bool:
        """Whether a proposal waits for answers."""
        return self._proposer is not None

    def may_begin(self, now_ms: float) -> bool:
        """Whether none is in progress and the backoff after the last one is over."""
        return self._proposer is None and now_ms >= self._next_ms

    def begin(self, now_ms: float, base: View, build: ViewBuilder, is_transfer: bool) -> None:
        """Ask the members of `base` for their promises.

        Args:
            now_ms: Steady clock, ms.
            base: The view whose successor is to be decided.
            build: Builds the proposal from the incarnations that promised.
            is_transfer: Whether the primary of `base` transferred its role to this replica.
        """
        self._last_round = max(self._last_round, self._store.register.promised.round) + 1
        number = ProposalNumber(self._last_round, self._store.me.incarnation, self._process_incarnation)
        self._proposer = Proposer(base, number, build, now_ms)
        self._is_transfer = is_transfer
        self._ask(now_ms, self._proposer)

    def ask_again_if_due(self, now_ms: float) -> None:
        """Repeat the question to those that did not answer.

        It was lost, they were not there, or a lease that they kept may have ended by now.
        """
        proposer = self._proposer
        if proposer is not None and now_ms - self._requested_ms >= self._times.proposal_retry_ms:
            self._ask(now_ms, proposer)

    def handle_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise; with a majority of them the proposal goes out."""
        proposer = self._proposer
        if proposer is not None and proposer.handle_promise(promise.sender, promise):
            if proposer.is_own_proposal and proposer.proposal is not None:
                self._built.append(proposer.proposal)
            self._ask(now_ms, proposer)

    def handle_accepted(self, now_ms: float, accepted: Accepted) -> View | None:
        """Count an acceptance; the view that is decided with it, if one is."""
        proposer = self._proposer
        if proposer is None or not proposer.handle_accepted(accepted.sender, accepted):
            return None
        self._proposer = None
        self._next_ms = now_ms
        return proposer.proposal

    def has_built(self, view: View) -> bool:
        """Whether this process built that proposal for the open epoch. Another may have completed it."""
        return view in self._built

    def is_beaten(self, rejection: Rejected) -> bool:
        """Whether a rejection tells of a higher number than the present proposal's."""
        proposer = self._proposer
        if proposer is None or rejection.number != proposer.number:
            return False
        self._last_round = max(self._last_round, rejection.promised.round)
        return rejection.promised > proposer.number

    def is_timed_out(self, now_ms: float) -> bool:
        """Whether the present proposal has waited too long for answers."""
        proposer = self._proposer
        return proposer is not None and now_ms - proposer.started_ms > self._times.proposal_timeout_ms

    def abandon(self, now_ms: float, backoff_ms: float) -> None:
        """Give the present proposal up; the next may begin after a backoff."""
        self._proposer = None
        self._next_ms = now_ms + backoff_ms

    def drop(self) -> None:
        """Give the present proposal up without a backoff."""
        self._proposer = None

    def drop_before(self, epoch: int) -> None:
        """Give the proposals up that are for an epoch that has been decided."""
        self._built = [view for view in self._built if view.epoch > epoch]
        if self._proposer is not None and self._proposer.base.epoch < epoch:
            self._proposer = None

    def _ask(self, now_ms: float, proposer: Proposer) -> None:
        """Put the present phase's question to those that have not answered it."""
        self._requested_ms = now_ms
        sender, base, number = self._store.me.incarnation, proposer.base, proposer.number
        for member in proposer.unanswered:
            message: Prepare | Accept
            if proposer.proposal is None:
                message = Prepare(sender, member.incarnation, base, number, self._is_transfer)
            else:
                message = Accept(sender, member.incarnation, base, number, proposer.proposal)
            self._outbox.send(member.address, message)
