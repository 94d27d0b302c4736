"""What a replica that is not primary knows about the others, as the initial state of a new primary.

Without it, a new primary would measure every timeout from its own start, and a machine lost shortly before
would stay a member for that much longer.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Member, PeerStatus


class KnownPeer(msgspec.Struct, frozen=True):
    """A replica and the time of its last known message.

    Attributes:
        member: The replica.
        last_received_ms: Monotonic time of its last message, ms.
        stopping: Whether its process is about to end.
        is_direct: Whether this was reported by a replica that currently receives its messages. Otherwise it
            was reported by a primary that may have been lost since; later silence then proves no timeout.
    """

    member: Member
    last_received_ms: float
    stopping: bool
    is_direct: bool


class KnownPeers:
    """Collects the peer statuses from heartbeats, and the time of the primary's own last message."""

    def __init__(self) -> None:
        self._reported: tuple[KnownPeer, ...] = ()
        self._primary: KnownPeer | None = None

    def handle_heartbeat(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """Replace the known peers by those that a heartbeat of the primary reports."""
        self._reported = tuple(
            KnownPeer(status.member, now_ms - status.idle_ms, status.stopping, is_direct=False)
            for status in statuses
        )

    def handle_primary_message(self, now_ms: float, primary: Member) -> None:
        """Record that a message of the primary itself was received."""
        self._primary = KnownPeer(primary, now_ms, stopping=False, is_direct=True)

    def record_response(self, now_ms: float, incarnation: str) -> None:
        """Record that a known replica responded to a request of this one."""
        known = self.all()
        self._reported = tuple(
            KnownPeer(peer.member, now_ms, peer.stopping, is_direct=True)
            if peer.member.incarnation == incarnation
            else peer
            for peer in known
        )
        self._primary = None

    def merge(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """Merge the statuses reported by another replica, keeping the later message time for each peer."""
        known = {peer.member.incarnation: peer for peer in self.all()}
        for status in statuses:
            last_received_ms = now_ms - status.idle_ms
            before = known.get(status.member.incarnation)
            if before is None or last_received_ms > before.last_received_ms:
                peer = KnownPeer(status.member, last_received_ms, status.stopping, status.is_direct)
                known[status.member.incarnation] = peer
        self._reported, self._primary = tuple(known.values()), None

    def idle_ms(self, now_ms: float, incarnation: str) -> float | None:
        """Time since a replica's last known message; None if the replica is unknown."""
        times = [peer.last_received_ms for peer in self.all() if peer.member.incarnation == incarnation]
        return now_ms - max(times) if times else None

    def statuses(self, now_ms: float) -> tuple[PeerStatus, ...]:
        """Return the peer statuses that this replica reports to others."""
        return tuple(
            PeerStatus(peer.member, now_ms - peer.last_received_ms, peer.stopping, peer.is_direct)
            for peer in self.all()
        )

    def all(self) -> tuple[KnownPeer, ...]:
        """Return all known replicas, including the former primary."""
        return self._reported if self._primary is None else (*self._reported, self._primary)
