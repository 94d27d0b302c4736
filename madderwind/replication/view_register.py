"""The register of views: what one witness stores.

Views form a chain. The view of each epoch is decided by the members of the view before it, by single-decree
Paxos (Lamport, "Paxos made simple"): a proposal is decided once a majority of those members accepted it under
one proposal number. A decided view is a fact that anyone may pass on. A witness that learns one forgets what
it promised about that epoch.
"""

from __future__ import annotations

from madderwind.messages.replication import NO_PROPOSAL, ProposalNumber, View
from madderwind.replication.records import WitnessRecord


class ViewRegister:
    """The newest decided view, and what was promised and accepted for the epoch that follows it."""

    def __init__(self, view: View | None, stored: WitnessRecord) -> None:
        self.view = view
        self.promised = stored.promised
        self.accepted_number = stored.accepted_number
        self.accepted_view = stored.accepted_view

    @property
    def epoch(self) -> int:
        """Epoch of the newest decided view; 0 before the system was founded."""
        return self.view.epoch if self.view is not None else 0

    @property
    def accepted_epoch(self) -> int:
        """Epoch of the newest view that was accepted here or is known to be decided."""
        return self.accepted_view.epoch if self.accepted_view is not None else self.epoch

    def adopt(self, view: View) -> bool:
        """Take over a decided view; False where it is not newer."""
        if self.view is not None and view.epoch <= self.epoch and not self._is_other_founding(view):
            return False
        self.view = view
        self.promised = self.accepted_number = NO_PROPOSAL
        self.accepted_view = None
        return True

    def promise(self, number: ProposalNumber) -> bool:
        """Promise to accept nothing below this number; False where as much was promised before."""
        if number <= self.promised:
            return False
        self.promised = number
        return True

    def accept(self, number: ProposalNumber, view: View) -> bool:
        """Accept a proposal; False where a higher number was promised."""
        if number < self.promised:
            return False
        self.promised = self.accepted_number = number
        self.accepted_view = view
        return True

    def record(self) -> WitnessRecord:
        """What has to be on disk before an answer goes out."""
        return WitnessRecord(self.promised, self.accepted_number, self.accepted_view)

    def _is_other_founding(self, view: View) -> bool:
        """Before the founding is accepted by anyone here, the founder may begin it anew with other seeds."""
        return view.epoch == self.epoch == 0 and view != self.view and self.accepted_view is None
