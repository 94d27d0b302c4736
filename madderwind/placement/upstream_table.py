"""One balancer's state of the services, the upstreams and the load of its peers."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.ablation import Ablation
from madderwind.placement.prompts import PromptPart
from madderwind.placement.service_knowledge import DEFAULT_KV_TOKENS, ServiceState
from madderwind.placement.upstream_load import Load, UpstreamLoad

# A report of the peers' dispatches is taken as complete for this long.
PEER_DISPATCH_MAX_AGE_MS = 1500.0
# An upstream located later than this after the first one has been added since and has an empty cache.
INITIAL_LOCATE_WINDOW_MS = 5000.0


class UpstreamTable:
    """Holds the services, the upstreams with their zones, and the loads and dispatches of the peers."""

    def __init__(self, ablation: Ablation) -> None:
        """Start empty; `ablation` gives the enabled mechanisms."""
        self._ablation = ablation
        self._services: dict[str, ServiceState] = {}
        self._upstreams: dict[str, UpstreamLoad] = {}
        self._zones: dict[str, str] = {}
        self.identities: dict[str, str] = {}
        self.data_planes = 1
        self._now_ms = 0.0
        self._first_located_ms: float | None = None
        self._peer_dispatches_at_ms = -math.inf

    def advance(self, now_ms: float) -> None:
        """Advance the current time to at least `now_ms` on the monotonic clock."""
        self._now_ms = max(self._now_ms, now_ms)

    @property
    def unreported_peers(self) -> int:
        """The number of other balancers whose dispatches are not reported."""
        is_fresh = self._now_ms - self._peer_dispatches_at_ms < PEER_DISPATCH_MAX_AGE_MS
        return 0 if is_fresh else self.data_planes - 1

    def service(self, name: str) -> ServiceState:
        """The state of a service; a new one has the defaults."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceState()
        return service

    def upstream(self, instance: str) -> UpstreamLoad:
        """The state of an upstream; a new one has no load."""
        upstream = self._upstreams.get(instance)
        if upstream is None:
            upstream = self._upstreams[instance] = UpstreamLoad(self._now_ms, DEFAULT_KV_TOKENS)
        return upstream

    def known_upstream(self, instance: str) -> UpstreamLoad | None:
        """The state of an upstream, or None if there is none."""
        return self._upstreams.get(instance)

    def is_in_another_zone(self, instance: str, zone: str) -> bool:
        """Whether the upstream is known to be outside this zone."""
        return bool(zone) and self._zones.get(instance, zone) != zone

    def own_load(self) -> dict[str, Load]:
        """This balancer's current load at each upstream where it has any."""
        own = {instance: upstream.own_load() for instance, upstream in self._upstreams.items()}
        return {instance: load for instance, load in own.items() if load.sequences}

    def locate(self, now_ms: float, instance: str, zone: str, identity: str) -> None:
        """Set the zone of an upstream and, if it isn't hashed by its id, its identity for hashing."""
        self.advance(now_ms)
        if self._first_located_ms is None:
            self._first_located_ms = now_ms
        if instance not in self._zones and now_ms - self._first_located_ms > INITIAL_LOCATE_WINDOW_MS:
            self.upstream(instance).prefix_cache.mark_started_empty()
        self._zones[instance] = zone
        if identity:
            self.identities[instance] = identity

    def forget(self, instance: str) -> None:
        """Remove the state of an upstream that was removed permanently."""
        self._upstreams.pop(instance, None)
        self._zones.pop(instance, None)
        self.identities.pop(instance, None)

    def handle_peer_load(self, now_ms: float, load: Mapping[str, tuple[float, float, float]]) -> None:
        """Apply the total load of all other balancers at each upstream."""
        for instance in self._zones:
            reported = load.get(instance)
            self.upstream(instance).set_peer_load(now_ms, Load(*reported) if reported else Load())

    def handle_peer_dispatches(self, now_ms: float, prompts: Sequence[DispatchedPrompt]) -> None:
        """Apply the dispatches of the other balancers to located upstreams; empty if there were none."""
        self.advance(now_ms)
        if not self._ablation.dispatch_reports:
            return
        self._peer_dispatches_at_ms = now_ms
        for prompt in prompts:
            if prompt.instance in self._zones:
                parts = tuple(map(PromptPart, prompt.chunk_ids, prompt.chunk_tokens))
                upstream = self.upstream(prompt.instance)
                upstream.handle_peer_dispatch(parts, counts_as_load=self._ablation.dispatches_as_load)
