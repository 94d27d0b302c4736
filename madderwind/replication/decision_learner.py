"""Learns from the acceptors themselves that a view is decided, so that nobody depends on its proposer.

A proposal number is used for one proposal alone, and an acceptor broadcasts once the view is on its disk:
broadcasts of a majority of the base's members under one number are the decision itself, the same as what the
proposer counts.
"""

from __future__ import annotations

from madderwind.messages.replication import AcceptedBroadcast, ProposalNumber, View

# Numbers in progress for one epoch; more are of proposers that were beaten.
MAX_PROPOSAL_NUMBERS = 16


class DecisionLearner:
    """Counts the broadcasts about the epoch that follows the newest view known here."""

    def __init__(self) -> None:
        self._accepted: dict[ProposalNumber, set[str]] = {}

    def begin_epoch(self) -> None:
        """Another view is known: broadcasts about its epoch no longer matter."""
        self._accepted.clear()

    def handle_broadcast(self, base: View, broadcast: AcceptedBroadcast) -> bool:
        """Count a broadcast.

        Of the founding only its proposer tells: it may be begun anew with other members, so that the base
        known here need not be the one that a broadcast belongs to.

        Args:
            base: The newest view known here.
            broadcast: What an acceptor sent.

        Returns:
            Whether the broadcast's view is decided with it.
        """
        is_next = broadcast.view.epoch == base.epoch + 1
        if base.epoch == 0 or not is_next or not base.has_member(broadcast.sender):
            return False
        senders = self._accepted.setdefault(broadcast.number, set())
        senders.add(broadcast.sender)
        if len(self._accepted) > MAX_PROPOSAL_NUMBERS:
            del self._accepted[min(self._accepted)]
        return len(senders) >= base.majority()
