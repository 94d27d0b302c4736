"""Random traffic of an experiment: kinds of generations whose prompts share parts, from one seed."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs

from madderwind.placement.prompts import Generation, PromptPart

MS_PER_S = 1000.0


@attrs.frozen
class Tokens:
    """A log-normal distribution of token counts, capped at `most`; `spread` is the sigma of the logarithm."""

    mean: float
    spread: float = 0.0
    most: float = 1e9

    def draw(self, rng: random.Random) -> int:
        """Draw a token count, at least 1."""
        mu = math.log(self.mean) - self.spread * self.spread / 2.0
        return max(1, int(min(rng.lognormvariate(mu, self.spread), self.most)))


@attrs.frozen
class SharedPart:
    """A shared part of a kind's prompts: one of `count`, Zipf-distributed with exponent `skew`."""

    tokens: Tokens
    count: int
    skew: float = 0.0


@attrs.frozen
class Kind:
    """A kind of generation. A response within its objectives earns `worth`, a late one `late_worth`."""

    name: str
    per_s: float
    chain: list[SharedPart]
    prompt: Tokens
    output: Tokens
    aim_ms: float
    gap_aim_ms: float
    worth: float
    late_worth: float
    deadline_ms: float = 10_000.0
    priority: int = 1


@attrs.frozen
class Burst:
    """From `at_s`, for `for_s`: `factor` times a kind's arrivals, `hot_share` of them on the same parts."""

    at_s: float
    for_s: float
    kind: str
    factor: float = 1.0
    hot_share: float = 0.0


@attrs.frozen
class Arrival:
    """One client request. `size` scales its worth relative to the mean request of its kind."""

    at_ms: float
    kind: Kind
    generation: Generation
    output_tokens: int
    size: float


class Workload:
    """Generates the arrivals of one run."""

    def __init__(
        self, service: str, kinds: list[Kind], bursts: list[Burst], for_s: float, rng: random.Random
    ) -> None:
        self._service = service
        self._kinds = kinds
        self._bursts = bursts
        self._for_ms = for_s * MS_PER_S
        self._rng = rng
        self._part_pools = {kind.name: [_part_pool(kind, part, rng) for part in kind.chain] for kind in kinds}
        self._arrival_count = 0

    def arrivals(self) -> list[Arrival]:
        """All arrivals, ordered by time."""
        unordered = [arrival for kind in self._kinds for arrival in self._kind_arrivals(kind)]
        return sorted(unordered, key=lambda arrival: arrival.at_ms)

    def _kind_arrivals(self, kind: Kind) -> Iterator[Arrival]:
        peak_factor = max([1.0, *(burst.factor for burst in self._bursts if burst.kind == kind.name)])
        at_ms = 0.0
        while True:
            at_ms += self._rng.expovariate(kind.per_s * peak_factor) * MS_PER_S
            if at_ms >= self._for_ms:
                return
            burst = self._burst(kind, at_ms)
            if self._rng.random() * peak_factor < (burst.factor if burst else 1.0):
                yield self._arrival(kind, at_ms, burst.hot_share if burst else 0.0)

    def _burst(self, kind: Kind, at_ms: float) -> Burst | None:
        for burst in self._bursts:
            if (
                burst.kind == kind.name
                and burst.at_s * MS_PER_S <= at_ms < (burst.at_s + burst.for_s) * MS_PER_S
            ):
                return burst
        return None

    def _arrival(self, kind: Kind, at_ms: float, hot_share: float) -> Arrival:
        rng = self._rng
        hot = rng.random() < hot_share
        chain = tuple(pool.parts[0] if hot else pool.draw(rng) for pool in self._part_pools[kind.name])
        self._arrival_count += 1
        unique_part = PromptPart(f"own-{self._arrival_count}", kind.prompt.draw(rng))
        prompt_tokens = sum(part.tokens for part in chain) + unique_part.tokens
        output = kind.output.draw(rng)
        generation = Generation(
            self._service,
            (*chain, unique_part),
            prompt_tokens,
            output,
            kind.priority,
            kind.aim_ms,
            at_ms + kind.deadline_ms,
        )
        return Arrival(at_ms, kind, generation, output, _size(kind, prompt_tokens, output))


class _PartPool:
    def __init__(self, parts: list[PromptPart], weights: list[float]) -> None:
        self.parts = parts
        self._cumulative: list[float] = []
        total = 0.0
        for weight in weights:
            total += weight
            self._cumulative.append(total)

    def draw(self, rng: random.Random) -> PromptPart:
        return rng.choices(self.parts, cum_weights=self._cumulative)[0]


def _part_pool(kind: Kind, part: SharedPart, rng: random.Random) -> _PartPool:
    position = kind.chain.index(part)
    parts = [
        PromptPart(f"{kind.name}-{position}-{number}", part.tokens.draw(rng)) for number in range(part.count)
    ]
    return _PartPool(parts, [(number + 1.0) ** -part.skew for number in range(part.count)])


# Weight of an output token in a generation's size, in prompt tokens.
OUTPUT_TOKEN_WEIGHT = 10.0
BASE_SIZE, MAX_SIZE = 0.3, 4.0


def _size(kind: Kind, prompt_tokens: int, output: int) -> float:
    shared = sum(part.tokens.mean for part in kind.chain)
    mean = shared + kind.prompt.mean + OUTPUT_TOKEN_WEIGHT * kind.output.mean
    size = (prompt_tokens + OUTPUT_TOKEN_WEIGHT * output) / mean
    return min(BASE_SIZE + (1.0 - BASE_SIZE) * size, MAX_SIZE)
