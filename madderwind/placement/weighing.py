"""What it costs to send a generation to an upstream, by what is known of it."""

from __future__ import annotations

import random
from collections.abc import Sequence

from madderwind.placement.ablation import Ablation
from madderwind.placement.costs import PlacementCosts
from madderwind.placement.prompts import Generation, PromptPart
from madderwind.placement.service_knowledge import POPULARITY_WINDOW_MS, ServiceKnowledge
from madderwind.placement.upstream_load import UpstreamLoad
from madderwind.placement.upstream_table import UpstreamTable

# With more upstreams than this, only the first by rank and a few drawn ones are weighed: a choice among all
# takes about 10 us an upstream.
WEIGH_ALL_UP_TO = 64
WEIGH_FEW_UP_TO = 10
RANKED_WEIGHED = 3
DRAWN_WEIGHED = 4
# The part of an upstream's prefill rate that one prefix may take before it gets another home.
HOME_UTILIZATION = 0.5
SLOWEST_STEP_MS = 30.0
# A home is charged this part of the price of a prefix that it is known not to keep, so that balancers agree
# on the next holder where nobody keeps it.
HOME_REREAD_PART = 0.9
BYTES_PER_PROMPT_TOKEN = 1.0
BYTES_PER_OUTPUT_TOKEN = 25.0
MS_PER_S = 1000.0


class Weighing:
    """Weighs upstreams for one balancer."""

    def __init__(
        self, table: UpstreamTable, rng: random.Random, zone: str, costs: PlacementCosts, ablation: Ablation
    ) -> None:
        """Weigh by what a table knows.

        Args:
            table: What is known.
            rng: Draws some of many upstreams.
            zone: Where this balancer is.
            costs: What lateness, failures, prompts read again and bytes between zones cost.
            ablation: Which mechanisms work.
        """
        self._table, self._rng, self._zone = table, rng, zone
        self._costs, self._ablation = costs, ablation

    def homes(
        self,
        now_ms: float,
        service: ServiceKnowledge,
        generation: Generation,
        prefix: str | None,
        upstreams: int,
    ) -> int:
        """How many upstreams share the prefix, by the prefill time that the fleet asks of them."""
        if prefix is None:
            return 0
        if not self._ablation.popular_prefix_homes:
            return 1
        window_s = POPULARITY_WINDOW_MS / MS_PER_S
        arrivals_per_s = service.rates.count(now_ms, prefix) * self._table.data_planes / window_s
        own_tokens = generation.parts[-1].tokens if generation.parts else generation.prompt_tokens
        busy = arrivals_per_s * own_tokens * service.model.ms_per_token / MS_PER_S
        return min(1 + int(busy / HOME_UTILIZATION), upstreams)

    def weighed_ranks(self, upstreams: int, homes: int) -> Sequence[int]:
        """Which upstreams to weigh, by their ranks: all of a few, some of many."""
        if upstreams <= (WEIGH_ALL_UP_TO if self._ablation.weighs_all else WEIGH_FEW_UP_TO):
            return range(upstreams)
        ranked = min(homes + RANKED_WEIGHED, upstreams)
        drawn = [self._rng.randrange(upstreams) for _ in range(DRAWN_WEIGHED)]
        return [*range(ranked), *drawn]

    def cost(
        self, now_ms: float, service: ServiceKnowledge, generation: Generation, instance: str, is_home: bool
    ) -> tuple[float, float]:
        """The predicted ms to the first event there, and the cost of sending there."""
        costs, upstream = self._costs, self._table.upstream(instance)
        tokens = self.uncached_tokens(generation, upstream, is_home)
        tokens += self.waiting_tokens(now_ms, service, upstream)
        first_ms = service.model.predicted_ms(tokens) * upstream.slowness
        first_ms += self._admission_ms(service, generation, upstream)
        cost = costs.late_cost(first_ms, generation.aim_ms)
        if self._ablation.failure_memory:
            cost += costs.failed * upstream.failure_chance(now_ms)
        cost += self._reread_cost(generation, upstream, is_home)
        if self._table.is_in_another_zone(instance, self._zone):
            cost += costs.cross_zone_per_byte * _bytes(generation)
        return first_ms, cost

    def uncached_tokens(self, generation: Generation, upstream: UpstreamLoad, is_home: bool) -> float:
        """Prompt tokens to be prefilled there; without peers' reports a home is presumed to keep its own."""
        cached = upstream.prefix_cache.cached_tokens(generation.parts)
        if is_home and self._table.unreported_peers:
            cached = max(cached, tokens_of(generation.shared_parts))
        return max(float(generation.prompt_tokens - cached), 0.0)

    def waiting_tokens(self, now_ms: float, service: ServiceKnowledge, upstream: UpstreamLoad) -> float:
        """Prompt tokens that wait there."""
        tokens_per_ms = 1.0 / service.model.ms_per_token if self._ablation.peer_load_drains else 0.0
        return upstream.waiting_tokens(now_ms, self._table.unreported_peers, tokens_per_ms)

    def _reread_cost(self, generation: Generation, upstream: UpstreamLoad, is_home: bool) -> float:
        if is_home and not self._knows_absence(upstream):
            return 0.0
        missing = tokens_of(generation.shared_parts) - upstream.prefix_cache.cached_tokens(generation.parts)
        return self._costs.reread_per_token * missing * (HOME_REREAD_PART if is_home else 1.0)

    def _knows_absence(self, upstream: UpstreamLoad) -> bool:
        """Whether what is not believed to be kept there is known not to be."""
        is_informed = not self._table.unreported_peers
        return self._ablation.charged_homes and is_informed and upstream.prefix_cache.is_complete

    def _admission_ms(
        self, service: ServiceKnowledge, generation: Generation, upstream: UpstreamLoad
    ) -> float:
        """The wait for a place in the batch or for memory."""
        unreported = self._table.unreported_peers
        waiting_sequences = upstream.sequences(unreported) + 1.0 - service.slots
        reserved = upstream.tokens_reserved(unreported) + generation.prompt_tokens + generation.output_tokens
        wait_ms = 0.0
        if waiting_sequences > 0.0:
            wait_ms += waiting_sequences * SLOWEST_STEP_MS
        if reserved > service.kv_tokens:
            wait_ms += (reserved / service.kv_tokens - 1.0) * MS_PER_S
        return wait_ms


def tokens_of(parts: Sequence[PromptPart]) -> int:
    """The length of prompt parts together."""
    total = 0
    for part in parts:
        total += part.tokens
    return total


def _bytes(generation: Generation) -> float:
    return (
        BYTES_PER_PROMPT_TOKEN * generation.prompt_tokens + BYTES_PER_OUTPUT_TOKEN * generation.output_tokens
    )
