"""The choice of a model server for each generation.

The shared parts of a prompt name a home by rendezvous hashing, so that all balancers send one prefix to one
upstream and its cache is used. A request leaves the home only where the cost of being late or failed there is
higher than that of reading the prefix again elsewhere; a prefix that many ask for has several homes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

import msgspec

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.ablation import ALL_WORK, Ablation
from madderwind.placement.attempt_record import AttemptRecord, PlacementReason
from madderwind.placement.costs import PlacementCosts
from madderwind.placement.first_event_model import FirstEventModel
from madderwind.placement.popularity import PrefixRates
from madderwind.placement.prompts import Generation, PromptPart
from madderwind.placement.rendezvous import RendezvousRanking
from madderwind.placement.upstream_load import Load, Sent, UpstreamLoad

DEFAULT_SLOTS = 64
DEFAULT_KV_TOKENS = 400_000
DEFAULT_STRIDE = 1
POPULARITY_WINDOW_MS = 6000.0
# What is reported others' sends is complete for this long; beyond, a home is presumed to keep its prefixes.
PEER_DISPATCH_FRESH_MS = 1500.0
MOST_UNTOLD = 1000
# An upstream that is located so long after the first has come since, with an empty memory.
FIRST_LOCATED_MS = 5000.0
# With more upstreams than this, only the first by rank and a few drawn ones are weighed: a choice among all
# takes about 10 us an upstream.
WEIGH_ALL_UP_TO = 64
WEIGH_FEW_UP_TO = 10
RANKED_WEIGHED = 3
DRAWN_WEIGHED = 4
# The part of an upstream's prefill rate that one prefix may take before it gets another home.
HOME_UTILIZATION = 0.5
SLOWEST_STEP_MS = 30.0
# Upstreams that cost the same are picked by chance.
TIE_BREAK = 0.005
# A home is charged this part of the price of a prefix that it is known not to keep, so that balancers agree
# on the next holder where nobody keeps it.
HOME_REREAD_PART = 0.9
# Prefills up to the first bound are short, those beyond the last are long.
PREFILL_BOUNDS_MS = (120.0, 480.0)
# How many ranks of routes are told apart.
RANKS = 3
BYTES_PER_PROMPT_TOKEN = 1.0
BYTES_PER_OUTPUT_TOKEN = 25.0
MS_PER_S = 1000.0


class Choice(msgspec.Struct, frozen=True):
    """The upstream to send to, and when its first event is expected, in ms from now."""

    instance: str
    predicted_first_ms: float


class _Service:
    """What is known of one service's upstreams as a whole."""

    def __init__(self) -> None:
        self.slots = DEFAULT_SLOTS
        self.kv_tokens = DEFAULT_KV_TOKENS
        self.stride = DEFAULT_STRIDE
        self.ranking = RendezvousRanking()
        self.model = FirstEventModel()
        self.rates = PrefixRates(POPULARITY_WINDOW_MS)


class Placement:
    """Chooses upstreams for one balancer, from its own sends and what the others report."""

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
        self._zone = zone
        self._costs = costs or PlacementCosts()
        self._services: dict[str, _Service] = {}
        self._upstreams: dict[str, UpstreamLoad] = {}
        self._zones: dict[str, str] = {}
        self._identities: dict[str, str] = {}
        self._requests: dict[str, str] = {}
        self._fleet = 1
        self._now_ms = 0.0
        self._following_since_ms: float | None = None
        self._outbox: list[DispatchedPrompt] = []
        self._heard_at_ms = -math.inf

    # --- what the host tells ---

    def configure(self, service: str, slots: int, kv_tokens: int, stride: int) -> None:
        """Take a service's engine from the configuration."""
        known = self._service(service)
        known.slots, known.kv_tokens, known.stride = max(slots, 1), max(kv_tokens, 1), max(stride, 1)

    def locate(self, now_ms: float, instance: str, zone: str, identity: str = "") -> None:
        """Where an upstream is, and what it is hashed by where that is not its id."""
        self._now_ms = max(self._now_ms, now_ms)
        if self._following_since_ms is None:
            self._following_since_ms = now_ms
        if instance not in self._zones and now_ms - self._following_since_ms > FIRST_LOCATED_MS:
            self._upstream(instance).kept.begin_empty()
        self._zones[instance] = zone
        if identity:
            self._identities[instance] = identity

    def set_data_planes(self, balancers: int) -> None:
        """How many balancers share the upstreams."""
        self._fleet = max(balancers, 1)

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """What all other balancers together have at upstreams."""
        for instance in self._zones:
            told = load.get(instance)
            self._upstream(instance).set_peer_load(now_ms, Load(*told) if told else Load())

    def load(self) -> dict[str, tuple[float, float, float]]:
        """What this balancer has at upstreams now, those with nothing left out."""
        if not self._ablation.load_reports:
            return {}
        own = {instance: estimate.own() for instance, estimate in self._upstreams.items()}
        return {
            instance: (load.prompt_waiting, load.sequences, load.tokens_reserved)
            for instance, load in own.items()
            if load.sequences
        }

    def take_dispatched(self) -> tuple[DispatchedPrompt, ...]:
        """Own sends since the last call, as many as are kept for it."""
        prompts = tuple(self._outbox) if self._ablation.dispatch_reports else ()
        self._outbox.clear()
        return prompts

    def handle_peer_dispatches(self, now_ms: float, prompts: Sequence[DispatchedPrompt]) -> None:
        """Sends of the other balancers to upstreams that were located; an empty call says there were none."""
        self._now_ms = max(self._now_ms, now_ms)
        if not self._ablation.dispatch_reports:
            return
        self._heard_at_ms = now_ms
        for prompt in prompts:
            if prompt.instance in self._zones:
                upstream = self._upstream(prompt.instance)
                parts = tuple(map(PromptPart, prompt.chunk_ids, prompt.chunk_tokens))
                upstream.handle_peer_dispatch(parts, counts_as_load=self._ablation.dispatches_as_load)

    @property
    def _unheard(self) -> int:
        """How many other balancers there are whose sends are not told."""
        return 0 if self._now_ms - self._heard_at_ms < PEER_DISPATCH_FRESH_MS else self._fleet - 1

    def forget(self, instance: str) -> None:
        """The upstream is gone for good."""
        self._upstreams.pop(instance, None)
        self._zones.pop(instance, None)
        self._identities.pop(instance, None)

    # --- a request's life ---

    def choose(
        self, now_ms: float, generation: Generation, candidates: Sequence[str], avoid: frozenset[str]
    ) -> Choice | None:
        """The upstream that costs least among the candidates outside `avoid`; None where there is none."""
        self._now_ms = max(self._now_ms, now_ms)
        service = self._service(generation.service)
        if service.ranking.members != tuple(candidates):
            service.ranking.set_members(candidates, self._identities, {})
        prefix = _prefix_key(generation) if self._ablation.prefix_homes else None
        ranking = service.ranking.ranking(prefix or _own_part_id(generation))
        if avoid:
            ranking = tuple(instance for instance in ranking if instance not in avoid)
        if not ranking:
            return None
        homes = self._homes(now_ms, service, generation, prefix, len(ranking))
        best: Choice | None = None
        lowest = 0.0
        for rank in self._weighed_ranks(len(ranking), homes):
            instance = ranking[rank]
            presumed = rank < homes
            first_ms, cost = self._cost(now_ms, service, generation, instance, presumed)
            if not presumed:
                cost += TIE_BREAK * self._rng.random()
            if best is None or cost < lowest:
                best, lowest = Choice(instance, first_ms), cost
        return best

    def sent(self, now_ms: float, key: str, generation: Generation, instance: str) -> None:
        """The request was sent to this upstream."""
        self._now_ms = max(self._now_ms, now_ms)
        service = self._service(generation.service)
        prefix = _prefix_key(generation)
        if prefix:
            service.rates.arrived(now_ms, prefix)
        upstream = self._upstream(instance)
        is_home = prefix is not None and service.ranking.ranking(prefix)[:1] == (instance,)
        uncached = self._uncached(generation, upstream, is_home)
        ahead = self._waiting_tokens(now_ms, service, upstream)
        copies = 1 + self._unheard
        reason = _reason(generation, upstream, is_home)
        age_ms = upstream.peer_load_age_ms(now_ms)
        upstream.sent(now_ms, key, Sent(generation, now_ms, uncached, ahead, age_ms, reason))
        upstream.kv_tokens = service.kv_tokens
        upstream.kept.used(generation.parts, service.kv_tokens, copies)
        if len(self._outbox) < MOST_UNTOLD:
            ids = tuple(part.id for part in generation.parts)
            self._outbox.append(
                DispatchedPrompt(instance, ids, tuple(part.tokens for part in generation.parts))
            )
        self._requests[key] = instance

    def urgency(self, key: str, rank: int) -> int:
        """The `Priority` of a request that was sent, 0 foremost; `rank` is that of its route or tenant.

        Short prefills go before long ones, so that one long prompt does not make many short ones late; among
        those of a length the rank decides.
        """
        upstream = self._upstreams.get(self._requests.get(key, ""))
        request = upstream.request(key) if upstream is not None else None
        prefill_ms = 0.0
        if request is not None:
            prefill_ms = request.uncached * self._service(request.generation.service).model.ms_per_token
        bounds_ms = PREFILL_BOUNDS_MS if self._ablation.prefill_priority else ()
        length = sum(prefill_ms > bound_ms for bound_ms in bounds_ms)
        return length * RANKS + min(max(rank, 0), RANKS - 1)

    def attempt_record(self, key: str) -> AttemptRecord | None:
        """How an attempt that has not ended was placed, and when its first event came."""
        instance = self._requests.get(key, "")
        upstream = self._upstreams.get(instance)
        request = upstream.request(key) if upstream is not None else None
        if upstream is None or request is None:
            return None
        generation = request.generation
        model = self._service(generation.service).model
        alone_ms = model.predicted_ms(request.uncached) * upstream.slowness
        predicted_ms = model.predicted_ms(request.uncached + request.ahead) * upstream.slowness
        first_at_ms = request.first_at_ms
        return AttemptRecord(
            instance=instance,
            prompt_tokens=generation.prompt_tokens,
            shared_tokens=_tokens(generation.shared_parts),
            cached_tokens=round(generation.prompt_tokens - request.uncached),
            tokens_ahead=request.ahead,
            peer_load_age_ms=request.peer_load_age_ms,
            alone_first_ms=alone_ms,
            predicted_first_ms=predicted_ms,
            first_ms=None if first_at_ms is None else first_at_ms - request.sent_at_ms,
            aim_ms=generation.aim_ms,
            reason=request.reason,
        )

    def event(self, now_ms: float, key: str, first: bool) -> None:
        """An event of the answer came."""
        if not first:
            return
        self._now_ms = max(self._now_ms, now_ms)
        upstream = self._upstreams.get(self._requests.get(key, ""))
        request = upstream.first_event(now_ms, key) if upstream else None
        if upstream is None or request is None:
            return
        model = self._service(request.generation.service).model
        tokens = request.uncached + request.ahead
        took_ms = now_ms - request.sent_at_ms
        if self._ablation.learned_slowness:
            upstream.observe_slowness(took_ms / model.predicted_ms(tokens))
        if self._ablation.learned_first_event:
            model.observe(tokens, took_ms / upstream.slowness)

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """The request is over at its upstream."""
        self._now_ms = max(self._now_ms, now_ms)
        upstream = self._upstreams.get(self._requests.pop(key, ""))
        if upstream is not None:
            upstream.ended(now_ms, key, served)

    # --- weighing ---

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        return service

    def _upstream(self, instance: str) -> UpstreamLoad:
        upstream = self._upstreams.get(instance)
        if upstream is None:
            upstream = self._upstreams[instance] = UpstreamLoad(self._now_ms, DEFAULT_KV_TOKENS)
        return upstream

    def _homes(
        self, now_ms: float, service: _Service, generation: Generation, prefix: str | None, upstreams: int
    ) -> int:
        """How many upstreams share the prefix, by the prefill time that the fleet asks of them."""
        if prefix is None:
            return 0
        if not self._ablation.popular_prefix_homes:
            return 1
        arrivals_per_s = service.rates.count(now_ms, prefix) * self._fleet / (POPULARITY_WINDOW_MS / MS_PER_S)
        own_tokens = generation.parts[-1].tokens if generation.parts else generation.prompt_tokens
        busy = arrivals_per_s * own_tokens * service.model.ms_per_token / MS_PER_S
        return min(1 + int(busy / HOME_UTILIZATION), upstreams)

    def _weighed_ranks(self, upstreams: int, homes: int) -> Sequence[int]:
        if upstreams <= (WEIGH_ALL_UP_TO if self._ablation.weighs_all else WEIGH_FEW_UP_TO):
            return range(upstreams)
        ranked = min(homes + RANKED_WEIGHED, upstreams)
        drawn = [self._rng.randrange(upstreams) for _ in range(DRAWN_WEIGHED)]
        return [*range(ranked), *drawn]

    def _uncached(self, generation: Generation, upstream: UpstreamLoad, presumed: bool) -> float:
        cached = upstream.kept.cached_tokens(generation.parts)
        if presumed and self._unheard:
            cached = max(cached, _tokens(generation.shared_parts))
        return max(float(generation.prompt_tokens - cached), 0.0)

    def _cost(
        self, now_ms: float, service: _Service, generation: Generation, instance: str, presumed: bool
    ) -> tuple[float, float]:
        """The predicted ms to the first event there, and the cost of sending there."""
        costs, model = self._costs, service.model
        upstream = self._upstream(instance)
        uncached = self._uncached(generation, upstream, presumed)
        waiting = self._waiting_tokens(now_ms, service, upstream)
        first_ms = model.predicted_ms(uncached + waiting) * upstream.slowness
        first_ms += self._admission_ms(service, generation, upstream)
        cost = costs.lateness(first_ms, generation.aim_ms)
        if self._ablation.failure_memory:
            cost += costs.failed * upstream.failure_chance(now_ms)
        cached = upstream.kept.cached_tokens(generation.parts)
        missing = _tokens(generation.shared_parts) - cached
        if not presumed:
            cost += costs.reread_per_token * missing
        elif self._knows_absence(upstream):
            cost += costs.reread_per_token * missing * HOME_REREAD_PART
        if self._zone and self._zones.get(instance, self._zone) != self._zone:
            cost += costs.cross_zone_per_byte * _bytes(generation)
        return first_ms, cost

    def _knows_absence(self, upstream: UpstreamLoad) -> bool:
        """Whether what is not believed to be kept there is known not to be."""
        return self._ablation.charged_homes and not self._unheard and upstream.kept.is_complete

    def _waiting_tokens(self, now_ms: float, service: _Service, upstream: UpstreamLoad) -> float:
        tokens_per_ms = 1.0 / service.model.ms_per_token if self._ablation.peer_load_drains else 0.0
        return upstream.waiting_tokens(now_ms, self._unheard, tokens_per_ms)

    def _admission_ms(self, service: _Service, generation: Generation, upstream: UpstreamLoad) -> float:
        """The wait for a place in the batch or for memory."""
        waiting_sequences = upstream.sequences(self._unheard) + 1.0 - service.slots
        held = upstream.tokens_reserved(self._unheard) + generation.prompt_tokens + generation.output_tokens
        wait_ms = 0.0
        if waiting_sequences > 0.0:
            wait_ms += waiting_sequences * SLOWEST_STEP_MS
        if held > service.kv_tokens:
            wait_ms += (held / service.kv_tokens - 1.0) * MS_PER_S
        return wait_ms


def _reason(generation: Generation, upstream: UpstreamLoad, is_home: bool) -> PlacementReason:
    if is_home:
        return PlacementReason.HOME
    is_holder = upstream.kept.cached_tokens(generation.parts) > 0
    return PlacementReason.HOLDER if is_holder else PlacementReason.SPILL


def _prefix_key(generation: Generation) -> str | None:
    shared = generation.shared_parts
    if not shared:
        return None
    return shared[-1].id if len(shared) == 1 else ",".join(part.id for part in shared)


def _own_part_id(generation: Generation) -> str:
    return generation.parts[-1].id if generation.parts else ""


def _tokens(parts: Sequence[PromptPart]) -> int:
    total = 0
    for part in parts:
        total += part.tokens
    return total


def _bytes(generation: Generation) -> float:
    return (
        BYTES_PER_PROMPT_TOKEN * generation.prompt_tokens + BYTES_PER_OUTPUT_TOKEN * generation.output_tokens
    )
