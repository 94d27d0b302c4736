"""The witness role of a replica: the Paxos acceptor that responds to replicas proposing a view."""

from __future__ import annotations

from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    Prepare,
    Promise,
    ProposalNumber,
    Rejected,
    View,
)
from madderwind.replication.context import ReplicaContext
from madderwind.replication.follower import Follower
from madderwind.replication.role_machine import RoleMachine


class Witness:
    """Promises and accepts proposals for the view register, and rejects rivals of a live primary."""

    def __init__(
        self, context: ReplicaContext, follower: Follower, roles: RoleMachine, now_ms: float
    ) -> None:
        self._context = context
        self._me, self._store, self._outbox = context.me, context.store, context.outbox
        self._follower, self._roles = follower, roles
        self._started_ms, self._started_epoch = now_ms, context.store.epoch

    def handle_prepare(self, now_ms: float, sender_address: str, message: Prepare) -> None:
        """Send a promise to accept no lower number, once it is on disk, or a rejection."""
        if not self._is_epoch_open(now_ms, sender_address, message.sender, message.base):
            return
        register = self._store.register
        primary_is_alive = self._protects_primary(now_ms, message)
        is_repeated = register.promised == message.number  # the promise was lost or is not on disk yet
        if primary_is_alive or not (is_repeated or register.promise(message.number)):
            self._reject(sender_address, message, primary_is_alive)
            return
        if not is_repeated:
            self._store.record_witness()
            if message.sender != self._me.incarnation:
                self._roles.defer_to_rival(now_ms)
        promise = Promise(
            sender=self._me.incarnation,
            target=message.sender,
            epoch=message.base.epoch + 1,
            number=message.number,
            accepted_number=register.accepted_number,
            accepted_view=register.accepted_view,
            peers=self._follower.known_peers.statuses(now_ms),
        )
        self._store.send_once_synced(sender_address, promise)

    def handle_accept(self, now_ms: float, sender_address: str, message: Accept) -> None:
        """Send an acceptance of the proposal, once it is on disk, or a rejection."""
        epoch = message.base.epoch + 1
        if message.view.epoch != epoch:
            return
        if not self._is_epoch_open(now_ms, sender_address, message.sender, message.base):
            return
        register = self._store.register
        is_repeated = register.accepted_number == message.number
        if not register.accept(message.number, message.view):
            self._reject(sender_address, message, primary_is_alive=False)
            return
        if not is_repeated:
            self._store.record_witness()
        accepted = Accepted(self._me.incarnation, message.sender, epoch, message.number)
        self._store.send_once_synced(sender_address, accepted)
        self._broadcast_accepted(message.sender, message.base, message.number, message.view)

    def _reject(self, address: str, message: Prepare | Accept, primary_is_alive: bool) -> None:
        rejection = Rejected(
            sender=self._me.incarnation,
            target=message.sender,
            epoch=message.base.epoch + 1,
            number=message.number,
            promised=self._store.register.promised,
            primary_is_alive=primary_is_alive,
        )
        self._outbox.send(address, rejection)

    def _broadcast_accepted(self, proposer: str, base: View, number: ProposalNumber, view: View) -> None:
        """Broadcast the acceptance to all members of both views, including this replica.

        The proposer may fail before it announces the decision.
        """
        for member in dict.fromkeys((*base.members, *view.members)):
            if member.incarnation != proposer:
                broadcast = AcceptedBroadcast(self._me.incarnation, member.incarnation, number, view)
                self._store.send_once_synced(member.address, broadcast)

    def _is_epoch_open(self, now_ms: float, sender_address: str, sender: str, base: View) -> bool:
        """Whether this witness has a vote on the epoch after `base` and knows of no decided view for it.

        Sends the newest view to a proposer whose `base` is outdated.
        """
        self._roles.adopt(now_ms, base)
        if self._store.epoch > base.epoch:
            self._context.notify_view(sender_address, sender)
            return False
        # Only one replica bootstraps the system, so it does not matter which base it used before a restart.
        is_same = self._store.view == base or base.epoch == 0
        return is_same and base.has_member(self._me.incarnation)

    def _protects_primary(self, now_ms: float, message: Prepare) -> bool:
        """Whether the primary may be alive as far as this witness knows, so that rivals are rejected."""
        store, times = self._store, self._context.times
        if store.view is None or store.epoch == 0:
            return False
        if message.leadership_transferred or message.sender == store.view.primary:
            return False
        if self._roles.is_primary:
            return True
        is_in_start_grace = now_ms < self._started_ms + times.grace_ms
        if is_in_start_grace and store.epoch == self._started_epoch:
            return True  # the primary may have sent a heartbeat just before this witness started
        return self._follower.has_recent_message(now_ms, times.witness_lease_ms)
