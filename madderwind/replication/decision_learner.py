"""Learns from the acceptors themselves that a view is decided, so that nobody depends on its proposer.

A proposal number is used for one proposal alone, and an acceptor gives notice once the view is on its disk:
notices of a majority of the base's members under one proposal number are the decision itself, the same as
what the proposer counts.
"""

from __future__ import annotations

from madderwind.messages.replication import AcceptedBroadcast, ProposalNumber, View

# Proposal numbers under way for one epoch; more are of proposers that were beaten.
MAX_PROPOSAL_NUMBERS = 16


class DecisionLearner:
    """Counts the notices about the epoch that follows the newest view known here."""

    def __init__(self) -> None:
        self._accepted: dict[ProposalNumber, set[str]] = {}

    def begin_epoch(self) -> None:
        """Another view is known: notices about its epoch are of no matter any more."""
        self._accepted.clear()

    def take(self, base: View, notice: AcceptedBroadcast) -> bool:
        """Count a notice; whether its view is decided with it. `base` is the newest view known here.

        Of the founding only its proposer tells: it may be begun anew with other members, so that the base
        known here need not be the one that a notice belongs to.
        """
        if base.epoch == 0 or notice.view.epoch != base.epoch + 1 or not base.has_member(notice.sender):
            return False
        senders = self._accepted.setdefault(notice.number, set())
        senders.add(notice.sender)
        if len(self._accepted) > MAX_PROPOSAL_NUMBERS:
            del self._accepted[min(self._accepted)]
        return len(senders) >= base.majority()
