"""Weighted rendezvous hashing: all balancers rank the upstreams of a key alike, without communication.

When an upstream is added or removed, only the keys that rank it first change their first upstream.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence

MAX_RANKINGS = 4096
HASH_MASK = (1 << 64) - 1
# An odd multiplier with evenly distributed bits (the 64-bit golden ratio).
MIX_MULTIPLIER = 0x9E3779B97F4A7C15


def stable_hash(text: str) -> int:
    """A 64-bit hash of the text that is equal in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def mix_hashes(first: int, second: int) -> int:
    """Combine two hashes into 64 evenly distributed bits."""
    value = (first ^ second) * MIX_MULTIPLIER & HASH_MASK
    value ^= value >> 32
    value = value * MIX_MULTIPLIER & HASH_MASK
    return value ^ (value >> 29)


def _to_unit_interval(value: int) -> float:
    """Map a hash to a number strictly between 0 and 1, from its top 52 bits plus one half."""
    return ((value >> 12) + 0.5) / (1 << 52)


class RendezvousRanking:
    """Rankings of one set of upstreams by key, cached until the set or its weights change."""

    def __init__(self) -> None:
        self._members: tuple[str, ...] = ()
        self._hashes: list[int] = []
        self._weights: list[float] = []
        self._rankings: dict[str, tuple[str, ...]] = {}

    @property
    def members(self) -> tuple[str, ...]:
        """The upstreams that are ranked."""
        return self._members

    def set_members(
        self, members: Sequence[str], identity: Mapping[str, str], weights: Mapping[str, float]
    ) -> None:
        """Set the ranked upstreams. `identity` gives the text that is hashed in place of an upstream's id."""
        self._members = tuple(members)
        self._hashes = [stable_hash(identity.get(member, member)) for member in members]
        self._weights = [weights.get(member, 1.0) for member in members]
        self._rankings = {}

    def ranking(self, key: str) -> tuple[str, ...]:
        """All members in rank order for the key; the first is its home."""
        found = self._rankings.get(key)
        if found is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            found = self._rankings[key] = self._rank(key)
        return found

    def _rank(self, key: str) -> tuple[str, ...]:
        key_hash = stable_hash(key)
        scored = [
            (weight / -math.log(_to_unit_interval(mix_hashes(key_hash, member_hash))), member)
            for member, member_hash, weight in zip(self._members, self._hashes, self._weights, strict=True)
        ]
        scored.sort(reverse=True)
        return tuple(member for _, member in scored)
