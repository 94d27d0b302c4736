"""What every part of a replica is given: who it is, its durable state, its times, and the way out."""

from __future__ import annotations

import random

from madderwind.messages.replication import Member, ViewNotice
from madderwind.replication.outbox import Outbox
from madderwind.replication.store import ReplicaStore
from madderwind.replication.times import ReplicationTimes


class ReplicaContext:
    """Shared by the parts of one replica. Only `store` and `outbox` change.

    Attributes:
        store: The durable state; its methods are the only way to change it.
        outbox: What the present event leads to.
        times: Time-outs and intervals, ms.
        rng: The replica's only source of chance.
    """

    def __init__(
        self, store: ReplicaStore, outbox: Outbox, times: ReplicationTimes, rng: random.Random
    ) -> None:
        self.store, self.outbox = store, outbox
        self.times, self.rng = times, rng

    @property
    def me(self) -> Member:
        """This replica."""
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
