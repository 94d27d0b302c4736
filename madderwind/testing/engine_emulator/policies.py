"""Ways of choosing a model server, to compare with the placement."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Protocol

from madderwind.placement.placement import Selection
from madderwind.placement.prompts import Generation


class Policy(Protocol):
    """What one data plane chooses with."""

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """The upstream for a request; None where there is none."""

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """The request went there."""

    def urgency(self, key: str, rank: int) -> int:
        """The priority that the upstream is given, 0 foremost."""

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """An event came."""

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """The request is over."""

    def load(self) -> dict[str, tuple[float, float, float]]:
        """What this data plane tells the others."""

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """What all others have."""

    def set_data_planes(self, balancers: int) -> None:
        """How many data planes there are."""


class OwnCounts:
    """A policy that knows only how many own requests each upstream has."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._counts: Counter[str] = Counter()
        self._at: dict[str, str] = {}

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """Pick among those that are left."""
        left = [instance for instance in candidates if instance not in avoid]
        return Selection(self._pick(left), 0.0) if left else None

    def _pick(self, left: list[str]) -> str:
        raise NotImplementedError

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Count it."""
        self._counts[instance] += 1
        self._at[key] = instance

    def urgency(self, key: str, rank: int) -> int:
        """That of the route."""
        return rank

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """Nothing is learned."""

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Count it out."""
        instance = self._at.pop(key, None)
        if instance is not None:
            self._counts[instance] -= 1

    def load(self) -> dict[str, tuple[float, float, float]]:
        """Nothing is told."""
        return {}

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """Nothing is taken."""

    def set_data_planes(self, balancers: int) -> None:
        """Nothing depends on it."""


class RandomPick(OwnCounts):
    """Any upstream."""

    def _pick(self, left: list[str]) -> str:
        return self._rng.choice(left)


class RoundRobin(OwnCounts):
    """One after the other."""

    _next = 0

    def _pick(self, left: list[str]) -> str:
        self._next += 1
        return left[self._next % len(left)]


class LeastLoaded(OwnCounts):
    """The upstream with the fewest own requests."""

    def _pick(self, left: list[str]) -> str:
        fewest = min(self._counts[instance] for instance in left)
        return self._rng.choice([instance for instance in left if self._counts[instance] == fewest])


class IdleFirst(OwnCounts):
    """An upstream without own requests, else one at or under the own mean."""

    def _pick(self, left: list[str]) -> str:
        idle = [instance for instance in left if not self._counts[instance]]
        if idle:
            return self._rng.choice(idle)
        mean = sum(self._counts[instance] for instance in left) / len(left)
        return self._rng.choice([instance for instance in left if self._counts[instance] <= mean])
