"""Weighted rendezvous hashing: every balancer ranks the upstreams of a key alike, without talking.

When an upstream comes or goes, only the keys that it ranks first for change their first upstream.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence

MAX_RANKINGS = 4096
HASH_MASK = (1 << 64) - 1
# An odd multiplier with well-spread bits (the 64-bit golden ratio).
MIX = 0x9E3779B97F4A7C15


def stable_hash(text: str) -> int:
    """64 bits of the text, equal in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def mixed(first: int, second: int) -> int:
    """64 well-spread bits of two hashes."""
    value = (first ^ second) * MIX & HASH_MASK
    value ^= value >> 32
    value = value * MIX & HASH_MASK
    return value ^ (value >> 29)


def _unit(value: int) -> float:
    """The hash as a number strictly between 0 and 1: the top 52 bits, and a half."""
    return ((value >> 12) + 0.5) / (1 << 52)


class RendezvousRanking:
    """Rankings of one set of upstreams by key, kept until the set or its weights change."""

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
        """Rank these from now on. `identity` tells what is hashed for an upstream instead of its id."""
        self._members = tuple(members)
        self._hashes = [stable_hash(identity.get(member, member)) for member in members]
        self._weights = [weights.get(member, 1.0) for member in members]
        self._rankings = {}

    def ranking(self, key: str) -> tuple[str, ...]:
        """All members, the key's home first."""
        found = self._rankings.get(key)
        if found is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            found = self._rankings[key] = self._rank(key)
        return found

    def _rank(self, key: str) -> tuple[str, ...]:
        key_hash = stable_hash(key)
        scored = [
            (weight / -math.log(_unit(mixed(key_hash, member_hash))), member)
            for member, member_hash, weight in zip(self._members, self._hashes, self._weights, strict=True)
        ]
        scored.sort(reverse=True)
        return tuple(member for _, member in scored)
