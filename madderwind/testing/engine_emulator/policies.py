"""Policies for choosing a model server, to compare with the placement."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Protocol

from madderwind.placement.placement import Selection
from madderwind.placement.prompts import Generation


class Policy(Protocol):
    """The upstream selection of one data plane."""

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """Choose the upstream for a request; None if there is none."""

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Record that the request was sent to this upstream."""

    def urgency(self, key: str, rank: int) -> int:
        """The priority sent to the upstream, 0 being the highest."""

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """Record that an event of the response arrived."""

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Record that the request ended."""

    def load(self) -> dict[str, tuple[float, float, float]]:
        """The load that this data plane reports to its peers, by instance."""

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """Record the load of all peers."""

    def set_data_planes(self, balancers: int) -> None:
        """Set the number of data planes."""


class LocalRequestCounts:
    """Base of policies that know only the number of this data plane's requests at each upstream."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._counts: Counter[str] = Counter()
        self._instances: dict[str, str] = {}

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """Choose among the candidates not to be avoided."""
        available = [instance for instance in candidates if instance not in avoid]
        return Selection(self._pick(available), 0.0) if available else None

    def _pick(self, available: list[str]) -> str:
        raise NotImplementedError

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Increment the upstream's count."""
        self._counts[instance] += 1
        self._instances[key] = instance

    def urgency(self, key: str, rank: int) -> int:
        """The route's priority, unchanged."""
        return rank

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """Ignored: the policy uses no response times."""

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Decrement the upstream's count."""
        instance = self._instances.pop(key, None)
        if instance is not None:
            self._counts[instance] -= 1

    def load(self) -> dict[str, tuple[float, float, float]]:
        """Empty: the policy reports no load."""
        return {}

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """Ignored: the policy uses no load of peers."""

    def set_data_planes(self, balancers: int) -> None:
        """Ignored: the policy does not depend on the number of data planes."""


class RandomChoice(LocalRequestCounts):
    """Chooses a random upstream."""

    def _pick(self, available: list[str]) -> str:
        return self._rng.choice(available)


class RoundRobin(LocalRequestCounts):
    """Chooses the upstreams in turn."""

    _next = 0

    def _pick(self, available: list[str]) -> str:
        self._next += 1
        return available[self._next % len(available)]


class LeastLoaded(LocalRequestCounts):
    """Chooses an upstream with the fewest requests of this data plane."""

    def _pick(self, available: list[str]) -> str:
        fewest = min(self._counts[instance] for instance in available)
        return self._rng.choice([instance for instance in available if self._counts[instance] == fewest])


class IdleFirst(LocalRequestCounts):
    """Chooses an upstream with no requests of this data plane, or else one at or below its mean count."""

    def _pick(self, available: list[str]) -> str:
        idle = [instance for instance in available if not self._counts[instance]]
        if idle:
            return self._rng.choice(idle)
        mean = sum(self._counts[instance] for instance in available) / len(available)
        return self._rng.choice([instance for instance in available if self._counts[instance] <= mean])
