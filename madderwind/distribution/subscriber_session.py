"""The control plane's state of one data plane's subscription."""

from __future__ import annotations

from enum import Enum

import attrs


class SubscriberState(Enum):
    """Whether commands wait for a data plane. The values are shown on the status page."""

    FOLLOWING = "following"
    LAGGING = "lagging"  # delayed a command too long: no command waits for it until it acknowledges again
    STOPPING = "leaving"  # it sent Goodbye


SUBSCRIBER_TRANSITIONS = {
    SubscriberState.FOLLOWING: {SubscriberState.LAGGING, SubscriberState.STOPPING},
    SubscriberState.LAGGING: {SubscriberState.FOLLOWING, SubscriberState.STOPPING},
    SubscriberState.STOPPING: set[SubscriberState](),
}


@attrs.frozen
class Participant:
    """One process of a data plane: its node, and the incarnation that it drew at startup."""

    node: str
    incarnation: str


@attrs.define
class SubscriberSession:
    """The session of a subscribed data plane on one connection.

    Attributes:
        participant: The process that subscribed.
        address: Its internal address, ip:port.
        zone: Its zone.
        applied_version: The newest version that the data plane acknowledged.
        state: Whether commands wait for the data plane.
        answered_version: The version sent in response to its last fetch; -1 before the first.
        answered_ms: Time of that response, ms of the monotonic clock.
    """

    participant: Participant
    address: str
    zone: str
    applied_version: int
    state: SubscriberState = SubscriberState.FOLLOWING
    answered_version: int = -1
    answered_ms: float = 0.0

    def enter(self, state: SubscriberState) -> None:
        """Change the state if the transition is allowed; STOPPING is final."""
        if state in SUBSCRIBER_TRANSITIONS[self.state]:
            self.state = state

    def is_awaited_for(self, version: int) -> bool:
        """Whether the command that committed this version waits for this data plane."""
        return self.state is SubscriberState.FOLLOWING and self.applied_version < version
