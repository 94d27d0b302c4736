"""The register of views: the Paxos acceptor state that one witness stores.

Views form a chain. The view of each epoch is decided by the members of the view before it, by single-decree
Paxos (Lamport, "Paxos made simple"): a proposal is decided once a majority of those members accepted it under
one proposal number. A decided view is final, so any replica may forward it. A witness that learns a decided
view discards its promises for that epoch.
"""

from __future__ import annotations

from madderwind.messages.replication import NO_PROPOSAL, ProposalNumber, View
from madderwind.replication.records import WitnessRecord


class ViewRegister:
    """The newest decided view, with the promise and the accepted proposal for the next epoch."""

    def __init__(self, view: View | None, stored: WitnessRecord) -> None:
        self.view = view
        self.promised = stored.promised
        self.accepted_number = stored.accepted_number
        self.accepted_view = stored.accepted_view

    @property
    def epoch(self) -> int:
        """Epoch of the newest decided view; 0 before the system is bootstrapped."""
        return self.view.epoch if self.view is not None else 0

    @property
    def accepted_epoch(self) -> int:
        """Epoch of the newest view that this witness has accepted or knows to be decided."""
        return self.accepted_view.epoch if self.accepted_view is not None else self.epoch

    def adopt(self, view: View) -> bool:
        """Adopt a decided view; return False if it is not newer than the current one."""
        if self.view is not None and view.epoch <= self.epoch and not self._restarts_bootstrap(view):
            return False
        self.view = view
        self.promised = self.accepted_number = NO_PROPOSAL
        self.accepted_view = None
        return True

    def promise(self, number: ProposalNumber) -> bool:
        """Promise to accept no lower number; return False if this or a higher number was promised before."""
        if number <= self.promised:
            return False
        self.promised = number
        return True

    def accept(self, number: ProposalNumber, view: View) -> bool:
        """Accept a proposal; return False if a higher number was promised."""
        if number < self.promised:
            return False
        self.promised = self.accepted_number = number
        self.accepted_view = view
        return True

    def record(self) -> WitnessRecord:
        """Return the record that must be on disk before a response is sent."""
        return WitnessRecord(self.promised, self.accepted_number, self.accepted_view)

    def _restarts_bootstrap(self, view: View) -> bool:
        """Whether `view` restarts the bootstrap with other seeds.

        The bootstrapping replica may do so until this witness has accepted a proposal for the first view.
        """
        return view.epoch == self.epoch == 0 and view != self.view and self.accepted_view is None
