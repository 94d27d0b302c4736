"""Estimates the cost of sending a generation to each upstream."""

from __future__ import annotations

import random
from collections.abc import Sequence

from madderwind.placement.ablation import Ablation
from madderwind.placement.costs import PlacementCosts
from madderwind.placement.prompts import Generation, PromptPart
from madderwind.placement.service_knowledge import POPULARITY_WINDOW_MS, ServiceState
from madderwind.placement.upstream_load import UpstreamLoad
from madderwind.placement.upstream_table import UpstreamTable

# With more upstreams than this, only the first by rank and a few random ones are evaluated: evaluating all
# takes about 10 us per upstream.
EVALUATE_ALL_LIMIT = 64
ABLATED_EVALUATE_ALL_LIMIT = 10
EXTRA_RANKS_EVALUATED = 3
RANDOM_RANKS_EVALUATED = 4
# The fraction of an upstream's prefill rate that one prefix may use before it gets another home.
MAX_HOME_UTILIZATION = 0.5
MAX_STEP_MS = 30.0
# A home that is known not to have the prefix cached is charged this fraction of the prefill cost. It is below
# 1 so that the balancers agree on the home as the next holder of a prefix that no upstream has cached.
HOME_REREAD_FRACTION = 0.9
BYTES_PER_PROMPT_TOKEN = 1.0
BYTES_PER_OUTPUT_TOKEN = 25.0
MS_PER_S = 1000.0


class CostEstimator:
    """Estimates the cost of each upstream for one balancer."""

    def __init__(
        self, table: UpstreamTable, rng: random.Random, zone: str, costs: PlacementCosts, ablation: Ablation
    ) -> None:
        """Estimate costs from the state in a table.

        Args:
            table: The state of services and upstreams.
            rng: Selects random upstreams where there are too many to evaluate all.
            zone: The zone of this balancer.
            costs: The weights of lateness, failures, repeated prefill and bytes between zones.
            ablation: The enabled mechanisms.
        """
        self._table, self._rng, self._zone = table, rng, zone
        self._costs, self._ablation = costs, ablation

    def homes(
        self,
        now_ms: float,
        service: ServiceState,
        generation: Generation,
        prefix: str | None,
        upstreams: int,
    ) -> int:
        """The number of homes of the prefix, by the prefill load that it puts on the fleet."""
        if prefix is None:
            return 0
        if not self._ablation.popular_prefix_homes:
            return 1
        window_s = POPULARITY_WINDOW_MS / MS_PER_S
        arrivals_per_s = service.rates.count(now_ms, prefix) * self._table.data_planes / window_s
        own_tokens = generation.parts[-1].tokens if generation.parts else generation.prompt_tokens
        utilization = arrivals_per_s * own_tokens * service.model.ms_per_token / MS_PER_S
        return min(1 + int(utilization / MAX_HOME_UTILIZATION), upstreams)

    def ranks_to_evaluate(self, upstreams: int, homes: int) -> Sequence[int]:
        """The ranks of the upstreams to evaluate: all of a few, a subset of many."""
        if upstreams <= (EVALUATE_ALL_LIMIT if self._ablation.weighs_all else ABLATED_EVALUATE_ALL_LIMIT):
            return range(upstreams)
        ranked = min(homes + EXTRA_RANKS_EVALUATED, upstreams)
        random_ranks = [self._rng.randrange(upstreams) for _ in range(RANDOM_RANKS_EVALUATED)]
        return [*range(ranked), *random_ranks]

    def cost(
        self, now_ms: float, service: ServiceState, generation: Generation, instance: str, is_home: bool
    ) -> tuple[float, float]:
        """The predicted ms to the first event at the upstream, and the cost of sending there."""
        costs, upstream = self._costs, self._table.upstream(instance)
        tokens = self.uncached_tokens(generation, upstream, is_home)
        tokens += self.waiting_tokens(now_ms, service, upstream)
        first_ms = service.model.predicted_ms(tokens) * upstream.slowness
        first_ms += self._admission_ms(service, generation, upstream)
        cost = costs.late_cost(first_ms, generation.aim_ms)
        if self._ablation.failure_memory:
            cost += costs.failed * upstream.failure_probability(now_ms)
        cost += self._reread_cost(generation, upstream, is_home)
        if self._table.is_in_another_zone(instance, self._zone):
            cost += costs.cross_zone_per_byte * _transfer_bytes(generation)
        return first_ms, cost

    def uncached_tokens(self, generation: Generation, upstream: UpstreamLoad, is_home: bool) -> float:
        """Prompt tokens to prefill; without dispatch reports a home is assumed to cache its prefixes."""
        cached = upstream.prefix_cache.cached_tokens(generation.parts)
        if is_home and self._table.unreported_peers:
            cached = max(cached, total_tokens(generation.shared_parts))
        return max(float(generation.prompt_tokens - cached), 0.0)

    def waiting_tokens(self, now_ms: float, service: ServiceState, upstream: UpstreamLoad) -> float:
        """Prompt tokens queued at the upstream."""
        tokens_per_ms = 1.0 / service.model.ms_per_token if self._ablation.peer_load_drains else 0.0
        return upstream.waiting_tokens(now_ms, self._table.unreported_peers, tokens_per_ms)

    def _reread_cost(self, generation: Generation, upstream: UpstreamLoad, is_home: bool) -> float:
        if is_home and not self._is_absence_known(upstream):
            return 0.0
        missing = total_tokens(generation.shared_parts) - upstream.prefix_cache.cached_tokens(
            generation.parts
        )
        return self._costs.reread_per_token * missing * (HOME_REREAD_FRACTION if is_home else 1.0)

    def _is_absence_known(self, upstream: UpstreamLoad) -> bool:
        """Whether parts missing from the view of the cache are known not to be cached."""
        is_informed = not self._table.unreported_peers
        return self._ablation.charged_homes and is_informed and upstream.prefix_cache.is_complete

    def _admission_ms(self, service: ServiceState, generation: Generation, upstream: UpstreamLoad) -> float:
        """The predicted wait for a slot in the batch or for KV cache capacity."""
        unreported = self._table.unreported_peers
        waiting_sequences = upstream.sequences(unreported) + 1.0 - service.slots
        reserved = upstream.tokens_reserved(unreported) + generation.prompt_tokens + generation.output_tokens
        wait_ms = 0.0
        if waiting_sequences > 0.0:
            wait_ms += waiting_sequences * MAX_STEP_MS
        if reserved > service.kv_tokens:
            wait_ms += (reserved / service.kv_tokens - 1.0) * MS_PER_S
        return wait_ms


def total_tokens(parts: Sequence[PromptPart]) -> int:
    """The total length of prompt parts."""
    total = 0
    for part in parts:
        total += part.tokens
    return total


def _transfer_bytes(generation: Generation) -> float:
    return (
        BYTES_PER_PROMPT_TOKEN * generation.prompt_tokens + BYTES_PER_OUTPUT_TOKEN * generation.output_tokens
    )
