"""A policy that sees every engine as it is at the moment of the choice: what better information could earn.

It weighs like the placement, over all upstreams, by the engines' own queues and memory in place of estimates.
It knows nothing of later arrivals, so it is a bound on knowledge, not on scheduling.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from madderwind.placement.costs import PlacementCosts
from madderwind.placement.placement import PREFILL_BOUNDS_MS, RANKS, Selection
from madderwind.placement.prompts import Generation
from madderwind.testing.engine_emulator.engine import Engine
from madderwind.testing.engine_emulator.policies import OwnCounts

MILLION = 1_000_000.0


class WholeKnowledge(OwnCounts):
    """Chooses the cheapest upstream by the true state of all."""

    def __init__(self, costs: PlacementCosts | None = None) -> None:
        self._costs = costs or PlacementCosts()
        self._engines: Mapping[str, Engine] = {}
        self._urgencies: dict[str, int] = {}

    def watch(self, engines: Mapping[str, Engine]) -> None:
        """Look at these engines from now on; the mapping changes as upstreams come and go."""
        self._engines = engines

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """The upstream whose true state costs least."""
        best: tuple[float, float, str] | None = None
        for instance in candidates:
            if instance not in avoid:
                first_ms, cost = self._cost(generation, self._engines[instance])
                if best is None or cost < best[0]:
                    best = cost, first_ms, instance
        return None if best is None else Selection(best[2], best[1])

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Remember how urgent the request is at the upstream that was chosen."""
        self._urgencies[key] = self._urgency(generation, self._engines[instance])

    def urgency(self, key: str, rank: int) -> int:
        """Short prefills go before long ones, as the placement has it."""
        return self._urgencies.pop(key, rank)

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Nothing is kept of a request that is over."""
        self._urgencies.pop(key, None)

    def _cost(self, generation: Generation, engine: Engine) -> tuple[float, float]:
        kept = engine.memory.kept_chain(generation.parts)
        uncached = sum(part.tokens for part in generation.parts[kept:])
        ahead = engine.tokens_ahead(self._urgency(generation, engine))
        first_ms = engine.settings.first_ms + (ahead + uncached) * self._ms_per_token(engine, generation)
        shared = generation.shared_parts
        missing = sum(part.tokens for part in shared[min(kept, len(shared)) :])
        cost = self._costs.late_cost(first_ms, generation.aim_ms)
        return first_ms, cost + self._costs.reread_per_token * missing

    def _urgency(self, generation: Generation, engine: Engine) -> int:
        kept = engine.memory.kept_chain(generation.parts)
        uncached = sum(part.tokens for part in generation.parts[kept:])
        prefill_ms = uncached * self._ms_per_token(engine, generation)
        length = sum(prefill_ms > bound_ms for bound_ms in PREFILL_BOUNDS_MS)
        return length * RANKS + min(max(generation.priority, 0), RANKS - 1)

    def _ms_per_token(self, engine: Engine, generation: Generation) -> float:
        """A step's time over the tokens that it prefills, at half of this prompt's context."""
        settings = engine.settings
        step_ms = settings.step_ms + settings.step_ms_per_sequence * engine.running
        pairs = settings.pairs_ms_per_million * generation.prompt_tokens / 2 / MILLION
        per_token = step_ms / settings.chunk_tokens + 1.0 / settings.prefill_tokens_per_ms + pairs
        return per_token * settings.slowness
