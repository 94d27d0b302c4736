"""A policy that reads the current state of every engine, to measure the gain from better information.

It uses the same costs as the placement, over all upstreams, but computes them from the engines' actual queues
and memory in place of estimates. It has no knowledge of later arrivals, so it bounds what better information
can gain, not what better scheduling can.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from madderwind.placement.costs import PlacementCosts
from madderwind.placement.placement import PREFILL_BOUNDS_MS, RANKS, Selection
from madderwind.placement.prompts import Generation
from madderwind.testing.engine_emulator.engine import Engine
from madderwind.testing.engine_emulator.policies import LocalRequestCounts

MILLION = 1_000_000.0


class WholeKnowledge(LocalRequestCounts):
    """Chooses the upstream with the lowest cost, computed from the actual state of all engines."""

    def __init__(self, costs: PlacementCosts | None = None) -> None:
        self._costs = costs or PlacementCosts()
        self._engines: Mapping[str, Engine] = {}
        self._urgencies: dict[str, int] = {}

    def watch(self, engines: Mapping[str, Engine]) -> None:
        """Set the engines to read; the caller adds to the mapping when upstreams start."""
        self._engines = engines

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """Return the upstream with the lowest cost."""
        lowest: tuple[float, float, str] | None = None
        for instance in candidates:
            if instance not in avoid:
                first_ms, cost = self._cost(generation, self._engines[instance])
                if lowest is None or cost < lowest[0]:
                    lowest = cost, first_ms, instance
        return None if lowest is None else Selection(lowest[2], lowest[1])

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Record the request's priority at the chosen upstream."""
        self._urgencies[key] = self._urgency(generation, self._engines[instance])

    def urgency(self, key: str, rank: int) -> int:
        """The recorded priority: short prefills rank above long ones, as in the placement."""
        return self._urgencies.pop(key, rank)

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Discard the recorded priority."""
        self._urgencies.pop(key, None)

    def _cost(self, generation: Generation, engine: Engine) -> tuple[float, float]:
        cached = engine.memory.cached_prefix_length(generation.parts)
        uncached = sum(part.tokens for part in generation.parts[cached:])
        tokens_ahead = engine.tokens_ahead(self._urgency(generation, engine))
        first_ms = engine.settings.first_ms + (tokens_ahead + uncached) * self._ms_per_token(
            engine, generation
        )
        shared = generation.shared_parts
        missing = sum(part.tokens for part in shared[min(cached, len(shared)) :])
        cost = self._costs.late_cost(first_ms, generation.aim_ms)
        return first_ms, cost + self._costs.reread_per_token * missing

    def _urgency(self, generation: Generation, engine: Engine) -> int:
        cached = engine.memory.cached_prefix_length(generation.parts)
        uncached = sum(part.tokens for part in generation.parts[cached:])
        prefill_ms = uncached * self._ms_per_token(engine, generation)
        length_class = sum(prefill_ms > bound_ms for bound_ms in PREFILL_BOUNDS_MS)
        return length_class * RANKS + min(max(generation.priority, 0), RANKS - 1)

    def _ms_per_token(self, engine: Engine, generation: Generation) -> float:
        """Step time divided by the tokens that the step prefills, at half of this prompt's context."""
        settings = engine.settings
        step_ms = settings.step_ms + settings.step_ms_per_sequence * engine.running
        pairs = settings.pairs_ms_per_million * generation.prompt_tokens / 2 / MILLION
        per_token = step_ms / settings.chunk_tokens + 1.0 / settings.prefill_tokens_per_ms + pairs
        return per_token * settings.slowness
