"""Learns decided views from the acceptors' broadcasts, so that the decision does not depend on its proposer.

A proposal number is used for a single proposal, and an acceptor broadcasts once the view is on its disk.
Broadcasts of a majority of the base view's members under one number therefore are the decision itself, the
same that the proposer counts.
"""

from __future__ import annotations

from madderwind.messages.replication import AcceptedBroadcast, ProposalNumber, View

# Limit of proposal numbers tracked for one epoch; further ones belong to proposals that were superseded.
MAX_PROPOSAL_NUMBERS = 16


class DecisionLearner:
    """Counts the broadcasts for the epoch after the newest view known to this replica."""

    def __init__(self) -> None:
        self._accepted: dict[ProposalNumber, set[str]] = {}

    def begin_epoch(self) -> None:
        """Discard all broadcasts, since a newer view is known."""
        self._accepted.clear()

    def handle_broadcast(self, base: View, broadcast: AcceptedBroadcast) -> bool:
        """Count a broadcast.

        Broadcasts for the first view are ignored, and only its proposer announces the decision: a bootstrap
        may be restarted with other members, so the base known here may differ from the one that a broadcast
        belongs to.

        Args:
            base: The newest view known to this replica.
            broadcast: The broadcast of an acceptor.

        Returns:
            Whether this broadcast completes the majority that decides its view.
        """
        is_next = broadcast.view.epoch == base.epoch + 1
        if base.epoch == 0 or not is_next or not base.has_member(broadcast.sender):
            return False
        senders = self._accepted.setdefault(broadcast.number, set())
        senders.add(broadcast.sender)
        if len(self._accepted) > MAX_PROPOSAL_NUMBERS:
            del self._accepted[min(self._accepted)]
        return len(senders) >= base.majority()
