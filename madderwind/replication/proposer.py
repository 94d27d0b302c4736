"""One Paxos proposal for the view that succeeds a given view."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from madderwind.messages.replication import NO_PROPOSAL, Accepted, Member, Promise, ProposalNumber, View

# Builds the proposed view from the incarnations that promised.
ViewBuilder = Callable[[frozenset[str]], View]


class Phase(Enum):
    """Progress of a proposal."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DECIDED = "decided"


PHASE_TRANSITIONS = {
    Phase.PREPARING: {Phase.ACCEPTING},
    Phase.ACCEPTING: {Phase.DECIDED},
    Phase.DECIDED: set[Phase](),
}


class Proposer:
    """Counts the promises and acceptances of the members of `base`.

    If a member has already accepted another proposal, that proposal may be decided, so it is proposed again
    instead of the view that this replica would build.

    Attributes:
        base: The view whose successor is to be decided.
        number: The proposal number of this attempt.
        started_ms: Monotonic time at which the attempt began, ms.
        phase: The current phase.
        proposal: The proposed view; None while promises are collected.
        is_own_proposal: Whether this replica built the proposed view; False if it completes another replica's
            proposal.
    """

    def __init__(self, base: View, number: ProposalNumber, build: ViewBuilder, now_ms: float) -> None:
        self.base, self.number = base, number
        self.started_ms = now_ms
        self.phase = Phase.PREPARING
        self.proposal: View | None = None
        self.is_own_proposal = False
        self._build = build
        self._promised: set[str] = set()
        self._accepted: set[str] = set()
        self._highest_accepted_number = NO_PROPOSAL
        self._accepted_view: View | None = None

    @property
    def pending_members(self) -> tuple[Member, ...]:
        """The members of `base` that have not responded to the request of the current phase."""
        responders = self._promised if self.phase is Phase.PREPARING else self._accepted
        return tuple(member for member in self.base.members if member.incarnation not in responders)

    def handle_promise(self, sender: str, promise: Promise) -> bool:
        """Count a promise; return whether it completes the majority, so that `proposal` can be sent."""
        if self.phase is not Phase.PREPARING or not self._is_response(sender, promise.epoch, promise.number):
            return False
        self._promised.add(sender)
        if promise.accepted_view is not None and promise.accepted_number > self._highest_accepted_number:
            self._highest_accepted_number = promise.accepted_number
            self._accepted_view = promise.accepted_view
        if len(self._promised) < self.base.majority():
            return False
        self.is_own_proposal = self._accepted_view is None
        self.proposal = self._accepted_view or self._build(frozenset(self._promised))
        self._enter(Phase.ACCEPTING)
        return True

    def handle_accepted(self, sender: str, accepted: Accepted) -> bool:
        """Count an acceptance; return whether it completes the majority, which decides `proposal`."""
        if self.phase is not Phase.ACCEPTING or not self._is_response(
            sender, accepted.epoch, accepted.number
        ):
            return False
        self._accepted.add(sender)
        if len(self._accepted) < self.base.majority():
            return False
        self._enter(Phase.DECIDED)
        return True

    def _enter(self, phase: Phase) -> None:
        """Change the phase; no other code assigns it."""
        assert phase in PHASE_TRANSITIONS[self.phase], f"{self.phase} to {phase}"
        self.phase = phase

    def _is_response(self, sender: str, epoch: int, number: ProposalNumber) -> bool:
        return epoch == self.base.epoch + 1 and number == self.number and self.base.has_member(sender)
