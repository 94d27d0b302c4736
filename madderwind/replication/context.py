"""The context shared by the components of a replica: identity, durable state, times and outbox."""

from __future__ import annotations

import random

from madderwind.messages.replication import Member, ViewNotice
from madderwind.replication.outbox import Outbox
from madderwind.replication.store import ReplicaStore
from madderwind.replication.times import ReplicationTimes


class ReplicaContext:
    """State shared by the components of one replica. Only `store` and `outbox` are mutable.

    Attributes:
        store: The durable state, which is only changed through its methods.
        outbox: The actions and messages that result from the current event.
        times: Timeouts and intervals, ms.
        rng: The replica's only source of randomness.
    """

    def __init__(
        self, store: ReplicaStore, outbox: Outbox, times: ReplicationTimes, rng: random.Random
    ) -> None:
        self.store, self.outbox = store, outbox
        self.times, self.rng = times, rng

    @property
    def me(self) -> Member:
        """The identity of this replica."""
        return self.store.me

    def notify_view(self, address: str, target: str) -> None:
        """Send the newest view to a replica that does not know it.

        Args:
            address: Its internal address.
            target: Its incarnation.
        """
        store = self.store
        if store.view is not None and store.epoch > 0:
            self.outbox.send(address, ViewNotice(self.me.incarnation, target, store.view))
