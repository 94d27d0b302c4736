"""Selects the upstream for an attempt and tracks the requests in flight at each upstream. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from madderwind.balancing.idle_first import IdleFirstPick
from madderwind.configuration.documents import Service
from madderwind.dataplane.stream_timeouts import StreamTimeouts
from madderwind.dataplane.upstream_health import UpstreamHealth
from madderwind.placement.placement import Placement
from madderwind.placement.prompts import Generation
from madderwind.registry.known_upstreams import KnownUpstreams


class UpstreamChooser:
    """Places generations by their cached prompt prefix; other requests use idle-first selection."""

    def __init__(
        self,
        rng: random.Random,
        upstreams: KnownUpstreams,
        placement: Placement,
        zone: str,
        has_capacity: Callable[[str, str], bool],
        has_idle_connection: Callable[[str], bool],
    ) -> None:
        """Start without requests in flight.

        Args:
            rng: Source of randomness.
            upstreams: The registry's view of the upstreams.
            placement: Places generations by prompt prefix.
            zone: The zone of this data plane.
            has_capacity: Whether another connection to this instance of this service may be used.
            has_idle_connection: Whether an idle connection to this instance is open.
        """
        self._upstreams, self._zone = upstreams, zone
        self._has_capacity, self._has_idle_connection = has_capacity, has_idle_connection
        self.placement = placement
        self.health = UpstreamHealth(rng)
        self.streams = StreamTimeouts()
        self._idle_first = IdleFirstPick(rng)

    def configure(self, services: Iterable[Service]) -> None:
        """Apply the services' engine settings to the placement."""
        for service in services:
            if service.engine is not None:
                engine = service.engine
                self.placement.configure(service.name, engine.slots, int(engine.kv_tokens), engine.stride)

    def changed(self, now_ms: float, instances: Iterable[str]) -> None:
        """Update the bookkeeping for upstreams that were added, changed or removed."""
        for instance in instances:
            known = self._upstreams.get(instance)
            if known is None:
                self.placement.forget(instance)
                self._idle_first.forget(instance)
                self.health.forget(instance)
            else:
                self.placement.locate(now_ms, instance, known.zone)

    def choose(
        self, now_ms: float, service: str, generation: Generation | None, tried: frozenset[str]
    ) -> str | None:
        """The upstream to send to; None if none accepts requests."""
        candidates = self._upstreams.ready_of_service(service)
        if not candidates:
            return None
        full = frozenset(instance for instance in candidates if not self._has_capacity(instance, service))
        unhealthy = self.health.unavailable(now_ms, candidates) | self._suspected(now_ms, candidates)
        for avoid in (full | unhealthy | tried, full | unhealthy, full):
            if len(avoid.intersection(candidates)) == len(candidates):
                continue
            return self._pick(now_ms, generation, candidates, avoid)
        return None

    def _suspected(self, now_ms: float, candidates: tuple[str, ...]) -> frozenset[str]:
        """Upstreams that are suspected to be gone, without proof.

        Either no control plane receives their heartbeats, or another instance has their address, or all of
        their streams have stalled.
        """
        upstreams = self._upstreams
        timed_out = frozenset(
            instance
            for instance in candidates
            if upstreams.is_timed_out(instance) or upstreams.is_superseded(instance)
        )
        return timed_out | self.streams.timed_out(now_ms, candidates)

    def _pick(
        self,
        now_ms: float,
        generation: Generation | None,
        candidates: tuple[str, ...],
        avoid: frozenset[str],
    ) -> str | None:
        if generation is None:
            return self._idle_first.pick(self._cheapest_idle(candidates, avoid), avoid)
        selection = self.placement.choose(now_ms, generation, candidates, avoid)
        return None if selection is None else selection.instance

    def _cheapest_idle(self, candidates: tuple[str, ...], avoid: frozenset[str]) -> tuple[str, ...]:
        """Upstreams with nothing in flight, preferably in the own zone and then with an idle connection."""
        idle = [c for c in candidates if c not in avoid and not self._idle_first.in_flight(c)]
        same_zone = [instance for instance in idle if self._is_in_own_zone(instance)] or idle
        connected = [instance for instance in same_zone if self._has_idle_connection(instance)] or same_zone
        return tuple(connected) or candidates

    def _is_in_own_zone(self, instance: str) -> bool:
        known = self._upstreams.get(instance)
        return known is not None and known.zone == self._zone

    def began(self, now_ms: float, key: str, generation: Generation | None, instance: str) -> None:
        """Record that the attempt `key` is sent to this upstream."""
        self._idle_first.began(instance)
        self.health.began(instance)
        if generation is not None:
            self.placement.sent(now_ms, key, generation, instance)

    def urgency(self, key: str, generation: Generation | None, rank: int) -> int:
        """The `Priority` header of the attempt `key`; `rank` is the priority of its route or tenant."""
        return rank if generation is None else self.placement.urgency(key, rank)

    def stream_began(self, now_ms: float, key: str, instance: str) -> None:
        """Record that the first event of a stream arrived."""
        self.streams.began(now_ms, instance)
        self.placement.event(now_ms, key, True)

    def record_answer(self, instance: str) -> None:
        """Record that the upstream responded, with whatever result."""
        self._idle_first.heard(instance)
        self.health.succeeded(instance)
        self._upstreams.mark_answered(instance)

    def ended(
        self, now_ms: float, key: str, generation: Generation | None, instance: str, served: bool
    ) -> None:
        """Record the end of an attempt."""
        self._idle_first.ended(instance)
        self.health.ended(instance)
        if generation is not None:
            self.placement.ended(now_ms, key, served)
