"""The exchanges between data planes through the primary: usage, load and dispatched prompts."""

from __future__ import annotations

from madderwind.distribution.exchange import DispatchExchange, LoadExchange, UsageExchange
from madderwind.distribution.subscriber_session import Participant
from madderwind.messages.distribution import DispatchReport, LoadReport, UsageReport


class PeerExchanges:
    """The three exchanges of one control plane, which share the same set of participants."""

    def __init__(self) -> None:
        self.usage, self.load, self.dispatches = UsageExchange(), LoadExchange(), DispatchExchange()

    def join(self, participant: Participant) -> None:
        """Add a participant that is new or returns."""
        self.usage.join(participant)
        self.load.join(participant)
        self.dispatches.join(participant)

    def report(self, participant: Participant, message: UsageReport | LoadReport | DispatchReport) -> None:
        """Add a participant's report to the exchange that it belongs to."""
        match message:
            case UsageReport():
                self.usage.report(participant, message)
            case LoadReport():
                self.load.report(participant, message)
            case DispatchReport():
                self.dispatches.report(participant, message)

    def suspend(self, participant: Participant) -> None:
        """Remove the load and the demand of a disconnected participant."""
        self.usage.suspend(participant)
        self.load.suspend(participant)

    def remove(self, participant: Participant) -> None:
        """Remove a participant that will not return."""
        self.usage.remove(participant)
        self.load.remove(participant)
        self.dispatches.remove(participant)
