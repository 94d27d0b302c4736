"""What a replica that is not primary knows of the others: a primary that takes over begins with it.

Without this a new primary would count every time-out from its own beginning, and a machine that was lost just
before would hold its place for that much longer.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Member, PeerStatus


class KnownPeer(msgspec.Struct, frozen=True):
    """A replica, and when a message of it last came.

    Attributes:
        member: The replica.
        last_received_ms: Time of its last message, ms on the steady clock.
        stopping: Whether its process is about to end.
        is_direct: Whether it is known from a replica that would receive its messages now; else from a primary
        that may
            have been lost since, which proves no time-out after that.
    """

    member: Member
    last_received_ms: float
    stopping: bool
    is_direct: bool


class KnownPeers:
    """Collects what heartbeats say of the others, and when the primary itself was heard from."""

    def __init__(self) -> None:
        self._reported: tuple[KnownPeer, ...] = ()
        self._primary: KnownPeer | None = None

    def handle_heartbeat(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """The primary reported on the others."""
        self._reported = tuple(
            KnownPeer(status.member, now_ms - status.idle_ms, status.stopping, is_direct=False)
            for status in statuses
        )

    def handle_primary_message(self, now_ms: float, primary: Member) -> None:
        """A message of the primary itself came."""
        self._primary = KnownPeer(primary, now_ms, stopping=False, is_direct=True)

    def handle_answer(self, now_ms: float, incarnation: str) -> None:
        """A known replica answered a question of this one's."""
        known = self.all()
        self._reported = tuple(
            KnownPeer(peer.member, now_ms, peer.stopping, is_direct=True)
            if peer.member.incarnation == incarnation
            else peer
            for peer in known
        )
        self._primary = None

    def merge(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """Another replica reported what it knows: of each replica the later message counts."""
        known = {peer.member.incarnation: peer for peer in self.all()}
        for status in statuses:
            last_received_ms = now_ms - status.idle_ms
            before = known.get(status.member.incarnation)
            if before is None or last_received_ms > before.last_received_ms:
                peer = KnownPeer(status.member, last_received_ms, status.stopping, status.is_direct)
                known[status.member.incarnation] = peer
        self._reported, self._primary = tuple(known.values()), None

    def idle_ms(self, now_ms: float, incarnation: str) -> float | None:
        """Time since a replica's last message, as far as is known here."""
        times = [peer.last_received_ms for peer in self.all() if peer.member.incarnation == incarnation]
        return now_ms - max(times) if times else None

    def statuses(self, now_ms: float) -> tuple[PeerStatus, ...]:
        """What this replica reports to others."""
        return tuple(
            PeerStatus(peer.member, now_ms - peer.last_received_ms, peer.stopping, peer.is_direct)
            for peer in self.all()
        )

    def all(self) -> tuple[KnownPeer, ...]:
        """Every replica that is known, the former primary included."""
        return self._reported if self._primary is None else (*self._reported, self._primary)
