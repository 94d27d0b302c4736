"""What a replica that is not primary knows of the others: a primary that takes over begins with it.

Without this a new primary would count everyone's silence from its own beginning, and a machine that was lost
just before would hold its place for that much longer.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Member, PeerStatus


class KnownPeer(msgspec.Struct, frozen=True):
    """A replica, and when it was last heard (ms on the steady clock). `first_hand`: by a replica that would
    hear it now; else by a primary that may have been lost since, which is no proof of silence after that."""

    member: Member
    heard_ms: float
    leaving: bool
    first_hand: bool


class KnownPeers:
    """Collects what the primary's heartbeats tell, and when the primary itself was heard."""

    def __init__(self) -> None:
        self._told: tuple[KnownPeer, ...] = ()
        self._primary: KnownPeer | None = None

    def take(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """The primary told how the others stand."""
        self._told = tuple(
            KnownPeer(status.member, now_ms - status.idle_ms, status.stopping, first_hand=False)
            for status in statuses
        )

    def hear(self, now_ms: float, primary: Member) -> None:
        """The primary itself was heard."""
        self._primary = KnownPeer(primary, now_ms, leaving=False, first_hand=True)

    def note_answer(self, now_ms: float, incarnation: str) -> None:
        """A replica that is known answered a question of this one's."""
        known = self.all()
        self._told = tuple(
            KnownPeer(peer.member, now_ms, peer.leaving, first_hand=True)
            if peer.member.incarnation == incarnation
            else peer
            for peer in known
        )
        self._primary = None

    def merge(self, now_ms: float, statuses: tuple[PeerStatus, ...]) -> None:
        """Another replica tells what it knows: whoever was heard later by that one, was heard later."""
        known = {peer.member.incarnation: peer for peer in self.all()}
        for status in statuses:
            heard_ms = now_ms - status.idle_ms
            before = known.get(status.member.incarnation)
            if before is None or heard_ms > before.heard_ms:
                peer = KnownPeer(status.member, heard_ms, status.stopping, status.is_direct)
                known[status.member.incarnation] = peer
        self._told, self._primary = tuple(known.values()), None

    def silent_ms(self, now_ms: float, incarnation: str) -> float | None:
        """Since a replica was last heard, as far as is known here."""
        heard = [peer.heard_ms for peer in self.all() if peer.member.incarnation == incarnation]
        return now_ms - max(heard) if heard else None

    def statuses(self, now_ms: float) -> tuple[PeerStatus, ...]:
        """The same as this replica tells it to others."""
        return tuple(
            PeerStatus(peer.member, now_ms - peer.heard_ms, peer.leaving, peer.first_hand)
            for peer in self.all()
        )

    def all(self) -> tuple[KnownPeer, ...]:
        """Everyone that is known of, the former primary included."""
        return self._told if self._primary is None else (*self._told, self._primary)
