"""Replaces a replica's randomness: the same event in the same state always leads to the same state."""

from __future__ import annotations

import random

NAME_BITS = 64


class DeterministicRandom(random.Random):
    """Generates names from a counter, and delays at a fixed fraction of their range.

    `prefix` distinguishes process incarnations: names drawn by two incarnations on one disk, or on two disks,
    never collide.
    """

    def __init__(self, prefix: int, fraction: float) -> None:
        super().__init__(0)
        self._prefix, self._fraction, self._drawn = prefix, fraction, 0

    def getrandbits(self, bits: int, /) -> int:
        """The next name; zero for any other number of bits, as only names have NAME_BITS."""
        if bits != NAME_BITS:
            return 0
        self._drawn += 1
        return (self._prefix << 8) + self._drawn

    def uniform(self, a: float, b: float) -> float:
        """The value at the same fraction of every range."""
        return a + (b - a) * self._fraction

    def random(self) -> float:
        """The same value each time."""
        return self._fraction
