"""The choice of an upstream for one attempt, and the book on what is at each. No I/O."""

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
    """Generations go where their prompt's prefix is kept; other requests follow the idle-first pick."""

    def __init__(
        self,
        rng: random.Random,
        upstreams: KnownUpstreams,
        placement: Placement,
        zone: str,
        has_capacity: Callable[[str, str], bool],
        keeps: Callable[[str], bool],
    ) -> None:
        """`has_room`: whether another connection to this instance of this service may be used.

        `keeps`: whether one to it stands idle.
        """
        self._upstreams, self._zone = upstreams, zone
        self._has_capacity, self._keeps = has_capacity, keeps
        self.placement = placement
        self.health = UpstreamHealth(rng)
        self.streams = StreamTimeouts()
        self._idle_first = IdleFirstPick(rng)

    def configure(self, services: Iterable[Service]) -> None:
        """Take in the services' engines."""
        for service in services:
            if service.engine is not None:
                engine = service.engine
                self.placement.configure(service.name, engine.slots, int(engine.kv_tokens), engine.stride)

    def changed(self, now_ms: float, instances: Iterable[str]) -> None:
        """Upstreams came, drain, or are gone."""
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
        """The upstream to send to; None where there is none that takes requests."""
        candidates = self._upstreams.ready_of_service(service)
        if not candidates:
            return None
        full = frozenset(instance for instance in candidates if not self._has_capacity(instance, service))
        unwell = self.health.to_avoid(now_ms, candidates) | self._silent(now_ms, candidates)
        for avoid in (full | unwell | tried, full | unwell, full):
            if len(avoid.intersection(candidates)) == len(candidates):
                continue
            return self._pick(now_ms, generation, candidates, avoid)
        return None

    def _silent(self, now_ms: float, candidates: tuple[str, ...]) -> frozenset[str]:
        """Those that no control plane hears, whose address another has, or none of whose streams goes on.

        Hints, no proof.
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
        """The tie-break among those with nothing in flight: the own zone, then a connection that stands."""
        idle = [c for c in candidates if c not in avoid and not self._idle_first.in_flight(c)]
        near = [instance for instance in idle if self._is_near(instance)] or idle
        kept = [instance for instance in near if self._keeps(instance)] or near
        return tuple(kept) or candidates

    def _is_near(self, instance: str) -> bool:
        known = self._upstreams.get(instance)
        return known is not None and known.zone == self._zone

    # --- an attempt's life ---

    def began(self, now_ms: float, key: str, generation: Generation | None, instance: str) -> None:
        """The attempt `key` goes to this upstream."""
        self._idle_first.began(instance)
        self.health.began(instance)
        if generation is not None:
            self.placement.sent(now_ms, key, generation, instance)

    def urgency(self, key: str, generation: Generation | None, rank: int) -> int:
        """The `Priority` of the attempt `key`; `rank` is that of its route or tenant."""
        return rank if generation is None else self.placement.urgency(key, rank)

    def stream_began(self, now_ms: float, key: str, instance: str) -> None:
        """The first event of a stream came."""
        self.streams.began(now_ms, instance)
        self.placement.event(now_ms, key, True)

    def record_answer(self, instance: str) -> None:
        """The upstream answered something."""
        self._idle_first.heard(instance)
        self.health.succeeded(instance)
        self._upstreams.mark_answered(instance)

    def ended(
        self, now_ms: float, key: str, generation: Generation | None, instance: str, served: bool
    ) -> None:
        """The attempt is over."""
        self._idle_first.ended(instance)
        self.health.ended(instance)
        if generation is not None:
            self.placement.ended(now_ms, key, served)
