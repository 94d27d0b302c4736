"""Selection of a model server for each generation.

Rendezvous hashing of the shared parts of a prompt determines its home upstream, so that all balancers send
one prefix to one upstream and use its cache. A request is sent elsewhere only if the expected cost of
lateness or failure at the home exceeds that of prefilling the prefix again. A frequently requested prefix
has several homes.

This module follows each request from selection to its end. `upstream_table` holds the state of the upstreams,
`weighing` estimates the cost of each.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.ablation import ALL_ENABLED, Ablation
from madderwind.placement.attempt_record import AttemptRecord, PlacementReason
from madderwind.placement.costs import PlacementCosts
from madderwind.placement.prompts import Generation
from madderwind.placement.upstream_load import InFlightRequest, UpstreamLoad
from madderwind.placement.upstream_table import UpstreamTable
from madderwind.placement.weighing import CostEstimator, total_tokens

# The maximum number of own dispatches that are buffered until they are reported.
MAX_UNREPORTED = 1000
# A random cost below this is added outside the homes, so that upstreams of equal cost are selected at random.
MAX_TIE_BREAK_COST = 0.005
# Prefills up to the first bound are short, those beyond the last are long, the others in between.
PREFILL_BOUNDS_MS = (120.0, 480.0)
# The number of distinct priority ranks of routes and tenants.
RANKS = 3


class Selection(msgspec.Struct, frozen=True):
    """The selected upstream and the predicted time to its first event, in ms from now."""

    instance: str
    predicted_first_ms: float


class Placement:
    """Selects upstreams for one balancer, from its own dispatches and the reports of its peers."""

    def __init__(
        self,
        rng: random.Random,
        zone: str = "",
        costs: PlacementCosts | None = None,
        ablation: Ablation = ALL_ENABLED,
    ) -> None:
        """Start without any knowledge of upstreams or peers.

        Args:
            rng: Breaks ties among upstreams of equal cost.
            zone: The zone of this balancer.
            costs: The cost weights, if not the defaults.
            ablation: The enabled mechanisms, for measurements.
        """
        self._rng = rng
        self._ablation = ablation
        self._table = UpstreamTable(ablation)
        self._cost_estimator = CostEstimator(self._table, rng, zone, costs or PlacementCosts(), ablation)
        self._requests: dict[str, str] = {}
        self._unreported: list[DispatchedPrompt] = []

    def configure(self, service: str, slots: int, kv_tokens: int, stride: int) -> None:
        """Apply the configured engine properties of a service."""
        self._table.service(service).configure(slots, kv_tokens, stride)

    def locate(self, now_ms: float, instance: str, zone: str, identity: str = "") -> None:
        """Set the zone of an upstream and, if it isn't hashed by its id, its identity for hashing."""
        self._table.locate(now_ms, instance, zone, identity)

    def set_data_planes(self, balancers: int) -> None:
        """Set the number of balancers that share the upstreams."""
        self._table.data_planes = max(balancers, 1)

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """Apply the total load of all other balancers at each upstream."""
        self._table.handle_peer_load(now_ms, load)

    def handle_peer_dispatches(self, now_ms: float, prompts: Sequence[DispatchedPrompt]) -> None:
        """Apply the dispatches of the other balancers to located upstreams; empty if there were none."""
        self._table.handle_peer_dispatches(now_ms, prompts)

    def forget(self, instance: str) -> None:
        """Remove the state of an upstream that was removed permanently."""
        self._table.forget(instance)

    def load(self) -> dict[str, tuple[float, float, float]]:
        """This balancer's current load at each upstream where it has any."""
        if not self._ablation.load_reports:
            return {}
        own = self._table.own_load()
        return {
            instance: (load.prompt_waiting, load.sequences, load.tokens_reserved)
            for instance, load in own.items()
        }

    def drain_dispatches(self) -> tuple[DispatchedPrompt, ...]:
        """Own dispatches since the last call, up to MAX_UNREPORTED."""
        prompts = tuple(self._unreported) if self._ablation.dispatch_reports else ()
        self._unreported.clear()
        return prompts

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """Select the candidate of lowest cost outside `avoid`; None if there is none."""
        self._table.advance(now_ms)
        service = self._table.service(generation.service)
        if service.ranking.members != tuple(candidates):
            service.ranking.set_members(candidates, self._table.identities, {})
        prefix = _prefix_key(generation) if self._ablation.prefix_homes else None
        ranking = service.ranking.ranking(prefix or _own_part_id(generation))
        if avoid:
            ranking = tuple(instance for instance in ranking if instance not in avoid)
        if not ranking:
            return None
        homes = self._cost_estimator.homes(now_ms, service, generation, prefix, len(ranking))
        best: Selection | None = None
        lowest = 0.0
        for rank in self._cost_estimator.ranks_to_evaluate(len(ranking), homes):
            instance, is_home = ranking[rank], rank < homes
            first_ms, cost = self._cost_estimator.cost(now_ms, service, generation, instance, is_home)
            if not is_home:
                cost += MAX_TIE_BREAK_COST * self._rng.random()
            if best is None or cost < lowest:
                best, lowest = Selection(instance, first_ms), cost
        return best

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """Record that the request was sent to this upstream."""
        self._table.advance(now_ms)
        service = self._table.service(generation.service)
        prefix = _prefix_key(generation)
        if prefix:
            service.rates.record_arrival(now_ms, prefix)
        upstream = self._table.upstream(instance)
        is_home = prefix is not None and service.ranking.ranking(prefix)[:1] == (instance,)
        request = InFlightRequest(
            generation,
            now_ms,
            uncached=self._cost_estimator.uncached_tokens(generation, upstream, is_home),
            ahead=self._cost_estimator.waiting_tokens(now_ms, service, upstream),
            peer_load_age_ms=upstream.peer_load_age_ms(now_ms),
            reason=_reason(generation, upstream, is_home),
        )
        upstream.sent(now_ms, key, request)
        upstream.kv_tokens = service.kv_tokens
        upstream.prefix_cache.add_prompt(
            generation.parts, service.kv_tokens, 1 + self._table.unreported_peers
        )
        self._report_dispatch(instance, generation)
        self._requests[key] = instance

    def _report_dispatch(self, instance: str, generation: Generation) -> None:
        if len(self._unreported) < MAX_UNREPORTED:
            ids = tuple(part.id for part in generation.parts)
            tokens = tuple(part.tokens for part in generation.parts)
            self._unreported.append(DispatchedPrompt(instance, ids, tokens))

    def urgency(self, key: str, rank: int) -> int:
        """The `Priority` of a request that was sent, 0 being the highest; `rank` is its route's or tenant's.

        Short prefills have priority over long ones, so that one long prompt does not delay many short ones.
        The rank decides among prefills of the same length class.
        """
        in_flight = self._request(key)
        prefill_ms = 0.0
        if in_flight is not None:
            _, request = in_flight
            model = self._table.service(request.generation.service).model
            prefill_ms = request.uncached * model.ms_per_token
        bounds_ms = PREFILL_BOUNDS_MS if self._ablation.prefill_priority else ()
        length_class = sum(prefill_ms > bound_ms for bound_ms in bounds_ms)
        return length_class * RANKS + min(max(rank, 0), RANKS - 1)

    def attempt_record(self, key: str) -> AttemptRecord | None:
        """The record of an attempt that has not ended; None if there is no such attempt."""
        in_flight = self._request(key)
        if in_flight is None:
            return None
        upstream, request = in_flight
        generation, first_at_ms = request.generation, request.first_at_ms
        model = self._table.service(generation.service).model
        return AttemptRecord(
            instance=self._requests[key],
            prompt_tokens=generation.prompt_tokens,
            shared_tokens=total_tokens(generation.shared_parts),
            cached_tokens=round(generation.prompt_tokens - request.uncached),
            tokens_ahead=request.ahead,
            peer_load_age_ms=request.peer_load_age_ms,
            alone_first_ms=model.predicted_ms(request.uncached) * upstream.slowness,
            predicted_first_ms=model.predicted_ms(request.uncached + request.ahead) * upstream.slowness,
            first_ms=None if first_at_ms is None else first_at_ms - request.sent_at_ms,
            aim_ms=generation.aim_ms,
            reason=request.reason,
        )

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """Record an event of the response; the first one updates the latency estimates."""
        if not first:
            return
        self._table.advance(now_ms)
        upstream = self._table.known_upstream(self._requests.get(key, ""))
        request = upstream.first_event(now_ms, key) if upstream else None
        if upstream is None or request is None:
            return
        model = self._table.service(request.generation.service).model
        tokens = request.uncached + request.ahead
        elapsed_ms = now_ms - request.sent_at_ms
        if self._ablation.learned_slowness:
            upstream.observe_slowness(elapsed_ms / model.predicted_ms(tokens))
        if self._ablation.learned_first_event:
            model.observe(tokens, elapsed_ms / upstream.slowness)

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Record the end of the request at its upstream."""
        self._table.advance(now_ms)
        upstream = self._table.known_upstream(self._requests.pop(key, ""))
        if upstream is not None:
            upstream.ended(now_ms, key, served)

    def _request(self, key: str) -> tuple[UpstreamLoad, InFlightRequest] | None:
        """The upstream and the record of a request that has not ended."""
        upstream = self._table.known_upstream(self._requests.get(key, ""))
        request = upstream.request(key) if upstream is not None else None
        return None if upstream is None or request is None else (upstream, request)


def _reason(generation: Generation, upstream: UpstreamLoad, is_home: bool) -> PlacementReason:
    if is_home:
        return PlacementReason.HOME
    is_cached = upstream.prefix_cache.cached_tokens(generation.parts) > 0
    return PlacementReason.CACHED if is_cached else PlacementReason.SPILL


def _prefix_key(generation: Generation) -> str | None:
    shared = generation.shared_parts
    if not shared:
        return None
    return shared[-1].id if len(shared) == 1 else ",".join(part.id for part in shared)


def _own_part_id(generation: Generation) -> str:
    return generation.parts[-1].id if generation.parts else ""
