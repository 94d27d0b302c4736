"""This replica's own proposals for the next view: sends them, counts responses and handles timeouts."""

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
    """Manages the proposals of this replica, of which at most one is in progress."""

    def __init__(self, context: ReplicaContext, process_incarnation: str, now_ms: float) -> None:
        """Start without a proposal in progress.

        Args:
            context: The state shared by the replica's components.
            process_incarnation: Drawn at random at each process start; part of its proposal numbers.
            now_ms: Monotonic time, ms.
        """
        self._store, self._outbox, self._times = context.store, context.outbox, context.times
        self._process_incarnation = process_incarnation
        self._proposer: Proposer | None = None
        self._last_round = 0
        self._may_begin_ms = now_ms
        self._last_sent_ms = now_ms
        self._is_transfer = False
        self._own_views: list[View] = []

    @property
    def is_in_progress(self) -> bool:
        """Whether a proposal is waiting for responses."""
        return self._proposer is not None

    def may_begin(self, now_ms: float) -> bool:
        """Whether no proposal is in progress and the backoff after the last one has ended."""
        return self._proposer is None and now_ms >= self._may_begin_ms

    def begin(self, now_ms: float, base: View, build: ViewBuilder, is_transfer: bool) -> None:
        """Start a proposal by sending Prepare to the members of `base`.

        Args:
            now_ms: Monotonic time, ms.
            base: The view whose successor is to be decided.
            build: Builds the proposed view from the incarnations that promised.
            is_transfer: Whether the primary of `base` transferred its role to this replica.
        """
        self._last_round = max(self._last_round, self._store.register.promised.round) + 1
        number = ProposalNumber(self._last_round, self._store.me.incarnation, self._process_incarnation)
        self._proposer = Proposer(base, number, build, now_ms)
        self._is_transfer = is_transfer
        self._send_requests(now_ms, self._proposer)

    def resend_requests_if_due(self, now_ms: float) -> None:
        """Resend the current request to the members that have not responded.

        The request may have been lost, the member may have been down, or the primary's lease that made it
        reject the proposal may have expired in the meantime.
        """
        proposer = self._proposer
        if proposer is not None and now_ms - self._last_sent_ms >= self._times.proposal_retry_ms:
            self._send_requests(now_ms, proposer)

    def handle_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise, and send the proposal once a majority has promised."""
        proposer = self._proposer
        if proposer is not None and proposer.handle_promise(promise.sender, promise):
            if proposer.is_own_proposal and proposer.proposal is not None:
                self._own_views.append(proposer.proposal)
            self._send_requests(now_ms, proposer)

    def handle_accepted(self, now_ms: float, accepted: Accepted) -> View | None:
        """Count an acceptance; return the proposed view if this acceptance decides it."""
        proposer = self._proposer
        if proposer is None or not proposer.handle_accepted(accepted.sender, accepted):
            return None
        self._proposer = None
        self._may_begin_ms = now_ms
        return proposer.proposal

    def has_built(self, view: View) -> bool:
        """Whether this process built `view` for the open epoch, even if another replica completed it."""
        return view in self._own_views

    def is_superseded(self, rejection: Rejected) -> bool:
        """Whether a rejection reports a higher number than that of the current proposal."""
        proposer = self._proposer
        if proposer is None or rejection.number != proposer.number:
            return False
        self._last_round = max(self._last_round, rejection.promised.round)
        return rejection.promised > proposer.number

    def is_timed_out(self, now_ms: float) -> bool:
        """Whether the current proposal has waited too long for responses."""
        proposer = self._proposer
        return proposer is not None and now_ms - proposer.started_ms > self._times.proposal_timeout_ms

    def abandon(self, now_ms: float, backoff_ms: float) -> None:
        """Abandon the current proposal; the next one may begin after a backoff."""
        self._proposer = None
        self._may_begin_ms = now_ms + backoff_ms

    def drop(self) -> None:
        """Abandon the current proposal without a backoff."""
        self._proposer = None

    def drop_decided(self, epoch: int) -> None:
        """Discard proposals for epochs up to `epoch`, whose views are already decided."""
        self._own_views = [view for view in self._own_views if view.epoch > epoch]
        if self._proposer is not None and self._proposer.base.epoch < epoch:
            self._proposer = None

    def _send_requests(self, now_ms: float, proposer: Proposer) -> None:
        """Send the request of the current phase to the members that have not responded to it."""
        self._last_sent_ms = now_ms
        sender, base, number = self._store.me.incarnation, proposer.base, proposer.number
        for member in proposer.pending_members:
            message: Prepare | Accept
            if proposer.proposal is None:
                message = Prepare(sender, member.incarnation, base, number, self._is_transfer)
            else:
                message = Accept(sender, member.incarnation, base, number, proposer.proposal)
            self._outbox.send(member.address, message)
