"""The other control planes, and which of them sent a report recently."""

from __future__ import annotations

from collections.abc import Iterable

# A control plane that is not a member counts as a peer for this long after its last message.
PEER_TIMEOUT_MS = 10_000.0
# Liveness reports are sent every second; without one for this long a peer's view of upstreams is unknown.
REPORT_TIMEOUT_MS = 3_000.0
MAX_PEERS = 32


class Peers:
    """The other control planes by internal address.

    They are the members of the view, or the seeds while it is unknown, and every sender of a recent message.
    """

    def __init__(self, own_address: str, seeds: Iterable[str]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._last_message_ms: dict[str, float] = {}
        self._last_report_ms: dict[str, float] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the members of the replica's view; empty while it is unknown."""
        self._members = members

    def record_message(self, now_ms: float, address: str) -> None:
        """Record a message from this control plane."""
        if address in self._last_message_ms or len(self._last_message_ms) < MAX_PEERS:
            self._last_message_ms[address] = now_ms

    def record_report(self, now_ms: float, address: str) -> None:
        """Record a liveness report of the upstreams from this control plane."""
        if address in self._last_report_ms or len(self._last_report_ms) < MAX_PEERS:
            self._last_report_ms[address] = now_ms

    def expire(self, now_ms: float) -> None:
        """Drop the control planes without a message or report for PEER_TIMEOUT_MS."""
        for times in (self._last_message_ms, self._last_report_ms):
            expired = [peer for peer, last_ms in times.items() if now_ms - last_ms > PEER_TIMEOUT_MS]
            for address in expired:
                del times[address]

    def addresses(self) -> tuple[str, ...]:
        """All peers that receive the registry's updates."""
        known = set(self._members or self._seeds) | self._last_message_ms.keys()
        return tuple(sorted(known - {self._own_address}))

    def have_all_reported(self, now_ms: float) -> bool:
        """Whether every member's view of the upstreams is known, by a recent report."""
        required = set(self._members or self._seeds) - {self._own_address}
        return all(
            now_ms - self._last_report_ms.get(address, -REPORT_TIMEOUT_MS) < REPORT_TIMEOUT_MS
            for address in required
        )
