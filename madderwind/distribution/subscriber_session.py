"""One data plane's subscription, as the control plane sees it."""

from __future__ import annotations

from enum import Enum

import attrs


class SubscriberState(Enum):
    """Whether commands wait for a data plane. The values are those of the status page."""

    FOLLOWING = "following"
    LAGGING = "lagging"  # it kept a command waiting too long: none waits until it has acknowledged again
    STOPPING = "leaving"  # it said goodbye


SUBSCRIBER_TRANSITIONS = {
    SubscriberState.FOLLOWING: {SubscriberState.LAGGING, SubscriberState.STOPPING},
    SubscriberState.LAGGING: {SubscriberState.FOLLOWING, SubscriberState.STOPPING},
    SubscriberState.STOPPING: set[SubscriberState](),
}


@attrs.frozen
class Participant:
    """One process of a data plane: its node, and the incarnation that it drew at its start."""

    node: str
    incarnation: str


@attrs.define
class SubscriberSession:
    """A connection of a subscribed data plane.

    Attributes:
        participant: Who subscribed.
        address: Its internal address, ip:port.
        zone: Its zone.
        applied_version: The newest version that it acknowledged.
        state: Whether commands wait for it.
        answered_version: The version that it was last sent; -1 before the first.
        answered_ms: When that was, ms on the steady clock.
    """

    participant: Participant
    address: str
    zone: str
    applied_version: int
    state: SubscriberState = SubscriberState.FOLLOWING
    answered_version: int = -1
    answered_ms: float = 0.0

    def enter(self, state: SubscriberState) -> None:
        """Change state where that is legal: one that stops goes on stopping."""
        if state in SUBSCRIBER_TRANSITIONS[self.state]:
            self.state = state

    def lacks(self, version: int) -> bool:
        """Whether a command that led to this version waits for it."""
        return self.state is SubscriberState.FOLLOWING and self.applied_version < version
