"""The peers of a primary: the members of its view, and learners that may become members."""

from __future__ import annotations

from collections.abc import ItemsView, ValuesView

from madderwind.messages.replication import Member, PeerStatus, View
from madderwind.replication.context import ReplicaContext
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.peer import Peer

# Further replicas are not added as learners; a fleet has few control planes.
MAX_LEARNERS = 8
# A learner that sends no message for this long is dropped; it then requests to join again.
LEARNER_TIMEOUT_MS = 3_000.0


class PeerTable:
    """Peers by incarnation. `view` is the current view of the primary."""

    def __init__(
        self, context: ReplicaContext, view: View, now_ms: float, known_peers: tuple[KnownPeer, ...]
    ) -> None:
        self._store, self._times = context.store, context.times
        self._peers: dict[str, Peer] = {}
        self.view = view
        for known in known_peers:
            self._add_known_peer(now_ms, known)

    def get(self, incarnation: str) -> Peer | None:
        """Return a peer, or None if it is unknown."""
        return self._peers.get(incarnation)

    def items(self) -> ItemsView[str, Peer]:
        """Return all pairs of incarnation and peer."""
        return self._peers.items()

    def values(self) -> ValuesView[Peer]:
        """Return all peers."""
        return self._peers.values()

    def begin_epoch(self, now_ms: float) -> None:
        """Add the members of the view that are not known yet."""
        for member in self.view.members:
            if member != self._store.me and member.incarnation not in self._peers:
                self._peers[member.incarnation] = self._new_peer(now_ms, member)

    def enter_view(self, now_ms: float, view: View) -> None:
        """Switch to a later view of this primary; replicas removed from the in-sync set go on probation."""
        for incarnation in set(self.view.in_sync) - set(view.in_sync):
            if incarnation in self._peers:
                self._peers[incarnation].put_on_probation(now_ms)
        self.view = view

    def add_learner(self, now_ms: float, member: Member) -> Peer | None:
        """Add a replica that requested to join; return None if it is known already or there are too many."""
        if member.incarnation in self._peers or self._learner_count() >= MAX_LEARNERS:
            return None
        if member.incarnation == self._store.me.incarnation:
            return None
        peer = self._peers[member.incarnation] = self._new_peer(now_ms, member)
        return peer

    def expire_learners(self, now_ms: float) -> None:
        """Drop the learners that have timed out."""
        expired = [
            incarnation
            for incarnation, peer in self._peers.items()
            if not self.view.has_member(incarnation) and peer.idle_ms(now_ms) > LEARNER_TIMEOUT_MS
        ]
        for incarnation in expired:
            del self._peers[incarnation]

    def statuses(self, now_ms: float) -> tuple[PeerStatus, ...]:
        """Return the peer statuses that this primary reports in its heartbeats."""
        return tuple(
            PeerStatus(peer.member, peer.idle_ms(now_ms), peer.stopping, is_direct=True)
            for peer in self._peers.values()
        )

    def in_sync(self) -> list[Peer]:
        """Return the peers in the in-sync set."""
        return [peer for name, peer in self._peers.items() if name in self.view.in_sync]

    def _add_known_peer(self, now_ms: float, known: KnownPeer) -> None:
        """Add a member or learner with the state known from before this primary took over."""
        name = known.member.incarnation
        if name == self._store.me.incarnation:
            return
        if not (self.view.has_member(name) or self._may_be_learner(now_ms, known)):
            return
        peer = self._new_peer(now_ms, known.member)
        peer.initialize_from(now_ms, known, self._times)
        self._peers[name] = peer

    def _may_be_learner(self, now_ms: float, known: KnownPeer) -> bool:
        is_recent = now_ms - known.last_received_ms < self._times.replica_timeout_ms
        return is_recent and self._learner_count() < MAX_LEARNERS

    def _learner_count(self) -> int:
        return sum(not self.view.has_member(incarnation) for incarnation in self._peers)

    def _new_peer(self, now_ms: float, member: Member) -> Peer:
        return Peer(member, now_ms, self._store.log.last_index + 1)
