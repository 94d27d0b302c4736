"""What data planes learn of each other through the primary.

Usage, load and dispatched prompts, kept together.
"""

from __future__ import annotations

from madderwind.distribution.exchange import DispatchExchange, LoadExchange, UsageExchange
from madderwind.distribution.subscriber_session import Participant
from madderwind.messages.distribution import DispatchReport, LoadReport, UsageReport


class PeerExchanges:
    """The three exchanges of one control plane, whose participants come and go together."""

    def __init__(self) -> None:
        self.usage, self.load, self.dispatches = UsageExchange(), LoadExchange(), DispatchExchange()

    def join(self, participant: Participant) -> None:
        """A participant that is new or comes back."""
        self.usage.join(participant)
        self.load.join(participant)
        self.dispatches.join(participant)

    def report(self, participant: Participant, message: UsageReport | LoadReport | DispatchReport) -> None:
        """A participant's report."""
        match message:
            case UsageReport():
                self.usage.report(participant, message)
            case LoadReport():
                self.load.report(participant, message)
            case DispatchReport():
                self.dispatches.report(participant, message)

    def suspend(self, participant: Participant) -> None:
        """A participant is away: it has nothing at upstreams and asks for nothing."""
        self.usage.suspend(participant)
        self.load.suspend(participant)

    def remove(self, participant: Participant) -> None:
        """A participant won't come back."""
        self.usage.remove(participant)
        self.load.remove(participant)
        self.dispatches.remove(participant)
