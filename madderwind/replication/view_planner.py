"""Plans the view that the primary proposes next, and tracks which replicas its commits need until then."""

from __future__ import annotations

from msgspec import structs

from madderwind.messages.replication import View
from madderwind.replication.context import ReplicaContext
from madderwind.replication.lease import Lease
from madderwind.replication.membership import MembershipRules, PeerHealth, next_view
from madderwind.replication.peer import Peer
from madderwind.replication.peer_table import PeerTable


class ViewPlanner:
    """Derives the next view from the health of the other replicas.

    Attributes:
        joining: In-sync replicas of the views proposed in this epoch. Commits need them too, because it is
            not known whether such a view was decided.
        is_contested: Whether a member has accepted a later view that may or may not be decided.
    """

    def __init__(
        self, context: ReplicaContext, peers: PeerTable, lease: Lease, rules: MembershipRules
    ) -> None:
        self._store, self._times = context.store, context.times
        self._peers, self._lease, self._rules = peers, lease, rules
        self.joining: set[str] = set()
        self.is_contested = False

    def begin_epoch(self) -> None:
        """Reset the state of earlier proposals, which are settled once a later view is decided."""
        self.joining.clear()
        self.is_contested = False

    def wanted_view(self, now_ms: float) -> View | None:
        """Return the view to propose, or None if the current view needs no change.

        From this call on, commits also need the replicas that the returned view adds to the in-sync set. Must
        only be called while no proposal is in progress.
        """
        view = self._peers.view
        healths = {name: self.health_of(now_ms, peer) for name, peer in self._peers.items()}
        wanted = next_view(view, self._store.me, healths, self._rules)
        if wanted is None and self._has_open_proposal():
            # Once an otherwise unchanged view is decided, no earlier proposal can be decided any more, so the
            # set of replicas that commits need is known again.
            wanted = structs.replace(view, epoch=view.epoch + 1)
        if wanted is not None:
            self.joining |= set(wanted.in_sync)
        return wanted

    def health_of(self, now_ms: float, peer: Peer) -> PeerHealth:
        """Return the health of a replica as input for the next view."""
        is_healthy = peer.is_healthy(now_ms, self._times)
        is_ready = (
            is_healthy
            and peer.is_in_epoch
            and peer.match_index >= max(self._store.committed_index, self._lease.inherited_index)
            and not (peer.is_on_probation(now_ms) and self._has_enough_in_sync(now_ms))
        )
        idle_ms = peer.idle_ms(now_ms)
        is_replaceable = peer.stopping or idle_ms > self._times.replacement_timeout_ms
        return PeerHealth(peer.member, is_ready, not is_healthy, is_replaceable, idle_ms)

    def _has_enough_in_sync(self, now_ms: float) -> bool:
        """Whether enough in-sync replicas are healthy to acknowledge commands."""
        healthy = [peer for peer in self._peers.in_sync() if peer.is_healthy(now_ms, self._times)]
        return 1 + len(healthy) >= self._rules.smallest_in_sync

    def _has_open_proposal(self) -> bool:
        """Whether an earlier proposal may still be decided."""
        return self.is_contested or not self.joining <= set(self._peers.view.in_sync)
