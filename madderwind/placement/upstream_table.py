"""Everything that one balancer knows of the upstreams and of its peers' work there."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.ablation import Ablation
from madderwind.placement.prompts import PromptPart
from madderwind.placement.service_knowledge import DEFAULT_KV_TOKENS, ServiceKnowledge
from madderwind.placement.upstream_load import Load, UpstreamLoad

# What is reported of the peers' dispatches is complete for this long.
PEER_DISPATCH_FRESH_MS = 1500.0
# An upstream that is located so long after the first has come since, with an empty memory.
FIRST_LOCATED_MS = 5000.0


class UpstreamTable:
    """Services, upstreams and where they are; the peers' loads and dispatches."""

    def __init__(self, ablation: Ablation) -> None:
        """Know nothing; `ablation` tells which mechanisms work."""
        self._ablation = ablation
        self._services: dict[str, ServiceKnowledge] = {}
        self._upstreams: dict[str, UpstreamLoad] = {}
        self._zones: dict[str, str] = {}
        self.identities: dict[str, str] = {}
        self.data_planes = 1
        self._now_ms = 0.0
        self._following_since_ms: float | None = None
        self._dispatches_at_ms = -math.inf

    # --- time and what is known ---

    def advance(self, now_ms: float) -> None:
        """It is that late at least, ms on the steady clock."""
        self._now_ms = max(self._now_ms, now_ms)

    @property
    def unreported_peers(self) -> int:
        """How many other balancers there are whose dispatches are not told."""
        is_fresh = self._now_ms - self._dispatches_at_ms < PEER_DISPATCH_FRESH_MS
        return 0 if is_fresh else self.data_planes - 1

    def service(self, name: str) -> ServiceKnowledge:
        """What is known of a service; the defaults of one that is new."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceKnowledge()
        return service

    def upstream(self, instance: str) -> UpstreamLoad:
        """What is known of an upstream; nothing of one that is new."""
        upstream = self._upstreams.get(instance)
        if upstream is None:
            upstream = self._upstreams[instance] = UpstreamLoad(self._now_ms, DEFAULT_KV_TOKENS)
        return upstream

    def known_upstream(self, instance: str) -> UpstreamLoad | None:
        """What is known of an upstream, where anything is."""
        return self._upstreams.get(instance)

    def is_in_another_zone(self, instance: str, zone: str) -> bool:
        """Whether it is known to be elsewhere than in this zone."""
        return bool(zone) and self._zones.get(instance, zone) != zone

    def own_load(self) -> dict[str, Load]:
        """What this balancer has at upstreams now, those with nothing left out."""
        own = {instance: estimate.own() for instance, estimate in self._upstreams.items()}
        return {instance: load for instance, load in own.items() if load.sequences}

    # --- what the host tells ---

    def locate(self, now_ms: float, instance: str, zone: str, identity: str) -> None:
        """Where an upstream is, and what it is hashed by where that is not its id."""
        self.advance(now_ms)
        if self._following_since_ms is None:
            self._following_since_ms = now_ms
        if instance not in self._zones and now_ms - self._following_since_ms > FIRST_LOCATED_MS:
            self.upstream(instance).prefix_cache.begin_empty()
        self._zones[instance] = zone
        if identity:
            self.identities[instance] = identity

    def forget(self, instance: str) -> None:
        """The upstream is gone for good."""
        self._upstreams.pop(instance, None)
        self._zones.pop(instance, None)
        self.identities.pop(instance, None)

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """What all other balancers together have at upstreams."""
        for instance in self._zones:
            reported = load.get(instance)
            self.upstream(instance).set_peer_load(now_ms, Load(*reported) if reported else Load())

    def handle_peer_dispatches(self, now_ms: float, prompts: Sequence[DispatchedPrompt]) -> None:
        """What the others sent to upstreams that were located; an empty call says there was nothing."""
        self.advance(now_ms)
        if not self._ablation.dispatch_reports:
            return
        self._dispatches_at_ms = now_ms
        for prompt in prompts:
            if prompt.instance in self._zones:
                parts = tuple(map(PromptPart, prompt.chunk_ids, prompt.chunk_tokens))
                upstream = self.upstream(prompt.instance)
                upstream.handle_peer_dispatch(parts, counts_as_load=self._ablation.dispatches_as_load)
