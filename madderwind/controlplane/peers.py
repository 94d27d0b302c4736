"""Which other control planes there are, and which of them reported lately."""

from __future__ import annotations

from collections.abc import Iterable

# A control plane that is no member counts as a peer for so long after its last message.
PEER_TIMEOUT_MS = 10_000.0
# Liveness reports come every second: without one for so long, a peer's view of the upstreams is missing.
REPORT_TIMEOUT_MS = 3_000.0
MAX_PEERS = 32


class Peers:
    """The other control planes by internal address.

    Members of the view, else seeds, and whoever sent a message.
    """

    def __init__(self, own_address: str, seeds: Iterable[str]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._last_message_ms: dict[str, float] = {}
        self._last_report_ms: dict[str, float] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """The settings name other seeds now."""
        self._seeds = tuple(seeds)

    def set_members(self, members: tuple[str, ...]) -> None:
        """The members of the replica's view, empty while it is unknown."""
        self._members = members

    def record_message(self, now_ms: float, address: str) -> None:
        """A message came from this control plane."""
        if address in self._last_message_ms or len(self._last_message_ms) < MAX_PEERS:
            self._last_message_ms[address] = now_ms

    def record_report(self, now_ms: float, address: str) -> None:
        """Its report of the upstreams' liveness came."""
        if address in self._last_report_ms or len(self._last_report_ms) < MAX_PEERS:
            self._last_report_ms[address] = now_ms

    def expire(self, now_ms: float) -> None:
        """Drop those from which nothing came for long."""
        for times in (self._last_message_ms, self._last_report_ms):
            expired = [peer for peer, last_ms in times.items() if now_ms - last_ms > PEER_TIMEOUT_MS]
            for address in expired:
                del times[address]

    def addresses(self) -> tuple[str, ...]:
        """All peers that are to know of the registry."""
        known = set(self._members or self._seeds) | self._last_message_ms.keys()
        return tuple(sorted(known - {self._own_address}))

    def have_all_reported(self, now_ms: float) -> bool:
        """Whether every member's view of the upstreams is known here."""
        required = set(self._members or self._seeds) - {self._own_address}
        return all(
            now_ms - self._last_report_ms.get(address, -REPORT_TIMEOUT_MS) < REPORT_TIMEOUT_MS
            for address in required
        )
