"""The choice of a model server for each generation.

The shared parts of a prompt name a home by rendezvous hashing, so that all balancers send one prefix to one
upstream and its cache is used. A request leaves the home only where the cost of being late or failed there is
higher than that of reading the prefix again elsewhere; a prefix that many ask for has several homes.

What is known stands in `upstream_table`, what an upstream costs in `weighing`; here is the life of a request.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.ablation import ALL_WORK, Ablation
from madderwind.placement.attempt_record import AttemptRecord, PlacementReason
from madderwind.placement.costs import PlacementCosts
from madderwind.placement.prompts import Generation
from madderwind.placement.upstream_load import Sent, UpstreamLoad
from madderwind.placement.upstream_table import UpstreamTable
from madderwind.placement.weighing import Weighing, tokens_of

# Own dispatches that are kept until they are reported.
MAX_UNREPORTED = 1000
# Upstreams that cost the same are picked by chance.
TIE_BREAK = 0.005
# Prefills up to the first bound are short, those beyond the last are long.
PREFILL_BOUNDS_MS = (120.0, 480.0)
# How many ranks of routes are told apart.
RANKS = 3


class Selection(msgspec.Struct, frozen=True):
    """The upstream to send to, and when its first event is expected, in ms from now."""

    instance: str
    predicted_first_ms: float


class Placement:
    """Chooses upstreams for one balancer, from its own dispatches and what the others report."""

    def __init__(
        self,
        rng: random.Random,
        zone: str = "",
        costs: PlacementCosts | None = None,
        ablation: Ablation = ALL_WORK,
    ) -> None:
        """Know nothing.

        Args:
            rng: Draws among upstreams that cost the same.
            zone: Where this balancer is.
            costs: The weighing, where it isn't the usual one.
            ablation: Which mechanisms work, for measurements.
        """
        self._rng = rng
        self._ablation = ablation
        self._table = UpstreamTable(ablation)
        self._weighing = Weighing(self._table, rng, zone, costs or PlacementCosts(), ablation)
        self._requests: dict[str, str] = {}
        self._unreported: list[DispatchedPrompt] = []

    # --- what the host tells ---

    def configure(self, service: str, slots: int, kv_tokens: int, stride: int) -> None:
        """Take a service's engine from the configuration."""
        self._table.service(service).configure(slots, kv_tokens, stride)

    def locate(self, now_ms: float, instance: str, zone: str, identity: str = "") -> None:
        """Where an upstream is, and what it is hashed by where that is not its id."""
        self._table.locate(now_ms, instance, zone, identity)

    def set_data_planes(self, balancers: int) -> None:
        """How many balancers share the upstreams."""
        self._table.data_planes = max(balancers, 1)

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """What all other balancers together have at upstreams."""
        self._table.handle_peer_load(now_ms, load)

    def handle_peer_dispatches(self, now_ms: float, prompts: Sequence[DispatchedPrompt]) -> None:
        """What the others sent to upstreams that were located; an empty call says there was nothing."""
        self._table.handle_peer_dispatches(now_ms, prompts)

    def forget(self, instance: str) -> None:
        """The upstream is gone for good."""
        self._table.forget(instance)

    # --- what the host reports ---

    def load(self) -> dict[str, tuple[float, float, float]]:
        """What this balancer has at upstreams now, those with nothing left out."""
        if not self._ablation.load_reports:
            return {}
        own = self._table.own_load()
        return {
            instance: (load.prompt_waiting, load.sequences, load.tokens_reserved)
            for instance, load in own.items()
        }

    def drain_dispatches(self) -> tuple[DispatchedPrompt, ...]:
        """Own dispatches since the last call, as many as are kept for it."""
        prompts = tuple(self._unreported) if self._ablation.dispatch_reports else ()
        self._unreported.clear()
        return prompts

    # --- a request's life ---

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Selection | None:
        """The upstream that costs least among the candidates outside `avoid`; None where there is none."""
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
        homes = self._weighing.homes(now_ms, service, generation, prefix, len(ranking))
        best: Selection | None = None
        lowest = 0.0
        for rank in self._weighing.weighed_ranks(len(ranking), homes):
            instance, is_home = ranking[rank], rank < homes
            first_ms, cost = self._weighing.cost(now_ms, service, generation, instance, is_home)
            if not is_home:
                cost += TIE_BREAK * self._rng.random()
            if best is None or cost < lowest:
                best, lowest = Selection(instance, first_ms), cost
        return best

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """The request was sent to this upstream."""
        self._table.advance(now_ms)
        service = self._table.service(generation.service)
        prefix = _prefix_key(generation)
        if prefix:
            service.rates.arrived(now_ms, prefix)
        upstream = self._table.upstream(instance)
        is_home = prefix is not None and service.ranking.ranking(prefix)[:1] == (instance,)
        request = Sent(
            generation,
            now_ms,
            uncached=self._weighing.uncached_tokens(generation, upstream, is_home),
            ahead=self._weighing.waiting_tokens(now_ms, service, upstream),
            peer_load_age_ms=upstream.peer_load_age_ms(now_ms),
            reason=_reason(generation, upstream, is_home),
        )
        upstream.sent(now_ms, key, request)
        upstream.kv_tokens = service.kv_tokens
        upstream.prefix_cache.used(generation.parts, service.kv_tokens, 1 + self._table.unreported_peers)
        self._report_dispatch(instance, generation)
        self._requests[key] = instance

    def _report_dispatch(self, instance: str, generation: Generation) -> None:
        if len(self._unreported) < MAX_UNREPORTED:
            ids = tuple(part.id for part in generation.parts)
            tokens = tuple(part.tokens for part in generation.parts)
            self._unreported.append(DispatchedPrompt(instance, ids, tokens))

    def urgency(self, key: str, rank: int) -> int:
        """The `Priority` of a request that was sent, 0 foremost; `rank` is that of its route or tenant.

        Short prefills go before long ones, so that one long prompt does not make many short ones late; among
        those of a length the rank decides.
        """
        found = self._request(key)
        prefill_ms = 0.0
        if found is not None:
            _, request = found
            model = self._table.service(request.generation.service).model
            prefill_ms = request.uncached * model.ms_per_token
        bounds_ms = PREFILL_BOUNDS_MS if self._ablation.prefill_priority else ()
        length = sum(prefill_ms > bound_ms for bound_ms in bounds_ms)
        return length * RANKS + min(max(rank, 0), RANKS - 1)

    def attempt_record(self, key: str) -> AttemptRecord | None:
        """How an attempt that has not ended was placed, and when its first event came."""
        found = self._request(key)
        if found is None:
            return None
        upstream, request = found
        generation, first_at_ms = request.generation, request.first_at_ms
        model = self._table.service(generation.service).model
        return AttemptRecord(
            instance=self._requests[key],
            prompt_tokens=generation.prompt_tokens,
            shared_tokens=tokens_of(generation.shared_parts),
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
        """An event of the answer came."""
        if not first:
            return
        self._table.advance(now_ms)
        upstream = self._table.known_upstream(self._requests.get(key, ""))
        request = upstream.first_event(now_ms, key) if upstream else None
        if upstream is None or request is None:
            return
        model = self._table.service(request.generation.service).model
        tokens = request.uncached + request.ahead
        took_ms = now_ms - request.sent_at_ms
        if self._ablation.learned_slowness:
            upstream.observe_slowness(took_ms / model.predicted_ms(tokens))
        if self._ablation.learned_first_event:
            model.observe(tokens, took_ms / upstream.slowness)

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """The request is over at its upstream."""
        self._table.advance(now_ms)
        upstream = self._table.known_upstream(self._requests.pop(key, ""))
        if upstream is not None:
            upstream.ended(now_ms, key, served)

    def _request(self, key: str) -> tuple[UpstreamLoad, Sent] | None:
        """A request that was sent and has not ended, and its upstream."""
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
