"""Which other control planes there are, and which of them were heard of late."""

from __future__ import annotations

from collections.abc import Iterable

# A control plane that is no member counts as a peer for so long after its last message.
FORGET_AFTER_MS = 10_000.0
# Liveness reports come every second: without one for so long, a peer's view of the upstreams is missing.
HEARD_WITHIN_MS = 3_000.0
MOST_PEERS = 32


class Peers:
    """The other control planes by internal address: members of the view, else seeds, and whoever spoke."""

    def __init__(self, own_address: str, seeds: Iterable[str]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._spoke_ms: dict[str, float] = {}
        self._reported_ms: dict[str, float] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """The settings name other seeds now."""
        self._seeds = tuple(seeds)

    def set_members(self, members: tuple[str, ...]) -> None:
        """The members of the replica's view, empty while it is unknown."""
        self._members = members

    def spoke(self, now_ms: float, address: str) -> None:
        """A message came from this control plane."""
        if address in self._spoke_ms or len(self._spoke_ms) < MOST_PEERS:
            self._spoke_ms[address] = now_ms

    def reported(self, now_ms: float, address: str) -> None:
        """Its report of the upstreams' liveness came."""
        if address in self._reported_ms or len(self._reported_ms) < MOST_PEERS:
            self._reported_ms[address] = now_ms

    def forget_silent(self, now_ms: float) -> None:
        """Drop those that have not spoken for long."""
        for times in (self._spoke_ms, self._reported_ms):
            for address in [peer for peer, since_ms in times.items() if now_ms - since_ms > FORGET_AFTER_MS]:
                del times[address]

    def addresses(self) -> tuple[str, ...]:
        """All peers to tell of the registry."""
        known = set(self._members or self._seeds) | self._spoke_ms.keys()
        return tuple(sorted(known - {self._own_address}))

    def all_reported(self, now_ms: float) -> bool:
        """Whether every member's view of the upstreams is known here."""
        required = set(self._members or self._seeds) - {self._own_address}
        return all(
            now_ms - self._reported_ms.get(address, -HEARD_WITHIN_MS) < HEARD_WITHIN_MS
            for address in required
        )
