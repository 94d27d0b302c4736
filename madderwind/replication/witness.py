"""This replica as a witness: how it answers those who propose a view."""

from __future__ import annotations

from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    Prepare,
    Promise,
    Rejected,
    View,
)
from madderwind.replication.core import ReplicaCore
from madderwind.replication.follower import Follower
from madderwind.replication.roles import Roles


class WitnessRole:
    """Promises and accepts on behalf of the register of views, and protects a primary that it hears."""

    def __init__(self, core: ReplicaCore, follower: Follower, roles: Roles, now_ms: float) -> None:
        self._core, self._follower, self._roles = core, follower, roles
        self._started_ms, self._started_epoch = now_ms, core.epoch

    def take_prepare(self, now_ms: float, sender_address: str, message: Prepare) -> None:
        """Promise to go along with no lower proposal number, once that is on disk, or refuse."""
        if not self._is_open(now_ms, sender_address, message.sender, message.base):
            return
        core, witness, epoch = self._core, self._core.witness, message.base.epoch + 1
        hears_primary = self._protects_primary(now_ms, message)
        is_repeated = witness.promised == message.number  # the promise was lost, or is not on disk yet
        if hears_primary or not (is_repeated or witness.promise(message.number)):
            refusal = Rejected(
                core.me.incarnation, message.sender, epoch, message.number, witness.promised, hears_primary
            )
            core.send(sender_address, refusal)
            return
        if not is_repeated:
            core.record_witness()
            if message.sender != core.me.incarnation:
                self._roles.give_way(now_ms)
        promise = Promise(
            core.me.incarnation,
            message.sender,
            epoch,
            message.number,
            witness.accepted_number,
            witness.accepted_view,
            self._follower.known_peers.statuses(now_ms),
        )
        core.send_once_synced(sender_address, promise)

    def take_accept(self, now_ms: float, sender_address: str, message: Accept) -> None:
        """Accept a proposal, once that is on disk, or refuse."""
        epoch = message.base.epoch + 1
        if message.view.epoch != epoch:
            return
        if not self._is_open(now_ms, sender_address, message.sender, message.base):
            return
        core, witness = self._core, self._core.witness
        is_repeated = witness.accepted_number == message.number
        if not witness.accept(message.number, message.view):
            refusal = Rejected(
                core.me.incarnation, message.sender, epoch, message.number, witness.promised, False
            )
            core.send(sender_address, refusal)
            return
        if not is_repeated:
            core.record_witness()
        accepted = Accepted(core.me.incarnation, message.sender, epoch, message.number)
        core.send_once_synced(sender_address, accepted)
        self._broadcast_accepted(message)

    def _broadcast_accepted(self, message: Accept) -> None:
        """Tell all whom the decision concerns, this replica too: the proposer may be gone before it does."""
        core = self._core
        concerned = dict.fromkeys((*message.base.members, *message.view.members))
        for member in concerned:
            if member.incarnation != message.sender:
                notice = AcceptedBroadcast(
                    core.me.incarnation, member.incarnation, message.number, message.view
                )
                core.send_once_synced(member.address, notice)

    def _is_open(self, now_ms: float, sender_address: str, sender: str, base: View) -> bool:
        """Whether the epoch after `base` is open as far as this witness knows, and it has a vote there."""
        self._roles.adopt(now_ms, base)
        if self._core.epoch > base.epoch:
            self._core.notify_view(sender_address, sender)
            return False
        # The founding is begun by one replica alone, so what its base was in an earlier life does not matter.
        is_same = self._core.view == base or base.epoch == 0
        return is_same and base.has_member(self._core.me.incarnation)

    def _protects_primary(self, now_ms: float, message: Prepare) -> bool:
        """Whether the primary is at work as far as can be told, so that nobody else is to take its place."""
        core, view = self._core, self._core.view
        if (
            view is None
            or core.epoch == 0
            or message.leadership_transferred
            or message.sender == view.primary
        ):
            return False
        if self._roles.is_primary:
            return True
        is_just_started = now_ms < self._started_ms + core.times.grace_ms
        if is_just_started and core.epoch == self._started_epoch:
            return True  # it may have heard that primary just before
        return self._follower.hears_primary(now_ms, core.times.witness_lease_ms)
