"""Which view the primary wants next, and whose disks its commits need while that is open."""

from __future__ import annotations

from msgspec import structs

from madderwind.messages.replication import View
from madderwind.replication.context import ReplicaContext
from madderwind.replication.lease import Lease
from madderwind.replication.membership import MembershipRules, PeerHealth, next_view
from madderwind.replication.peer import Peer
from madderwind.replication.peer_table import PeerTable


class ViewPlanner:
    """Watches the health of the other replicas.

    Attributes:
        joining: In-sync replicas of views proposed in this epoch, whose fate is not known: commits need them
        too. is_contested: Whether a member has accepted a later view, whose fate is not known either.
    """

    def __init__(
        self, context: ReplicaContext, peers: PeerTable, lease: Lease, rules: MembershipRules
    ) -> None:
        self._store, self._times = context.store, context.times
        self._peers, self._lease, self._rules = peers, lease, rules
        self.joining: set[str] = set()
        self.is_contested = False

    def begin_epoch(self) -> None:
        """A later view was decided: what was proposed before is settled."""
        self.joining.clear()
        self.is_contested = False

    def wanted_view(self, now_ms: float) -> View | None:
        """What to propose; None where the present view is as good as any.

        From here on commits need those that are to join. Asked while no proposal is in progress.
        """
        view = self._peers.view
        healths = {name: self.health_of(now_ms, peer) for name, peer in self._peers.items()}
        wanted = next_view(view, self._store.me, healths, self._rules)
        if wanted is None and self._has_open_proposal():
            # Settled by a view like the present one, which leaves no doubt who is needed.
            wanted = structs.replace(view, epoch=view.epoch + 1)
        if wanted is not None:
            self.joining |= set(wanted.in_sync)
        return wanted

    def health_of(self, now_ms: float, peer: Peer) -> PeerHealth:
        """What counts about a replica for the next view."""
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
        """Whether commands can be acknowledged with those of the in-sync set that are healthy."""
        healthy = [peer for peer in self._peers.in_sync() if peer.is_healthy(now_ms, self._times)]
        return 1 + len(healthy) >= self._rules.smallest_in_sync

    def _has_open_proposal(self) -> bool:
        """Whether a proposal that was begun may yet be decided."""
        return self.is_contested or not self.joining <= set(self._peers.view.in_sync)
