"""A data plane's own view of the upstreams, merged from what several control planes tell.

Nothing is forgotten because control planes are silent; `draining` and `gone` are final for an instance.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.registry import SILENT_AFTER_HEARTBEATS
from madderwind.registry.states import UpstreamState, furthest, state_named

# That an instance is gone is kept for so long: a control plane that was cut off may still tell it ready.
REMEMBER_GONE_MS = 600_000.0
MOST_GONE = 20_000


@attrs.define
class KnownUpstream:
    """One instance as this data plane knows it. `silent`: no control plane hears it, which is a hint that an
    answer of it clears."""

    instance: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    cold_until_ms: float
    silent: bool


class KnownUpstreams:
    """All upstreams that any control plane told of in this life of the process."""

    def __init__(self, heartbeat_ms: float) -> None:
        self._silent_after_ms = SILENT_AFTER_HEARTBEATS * heartbeat_ms
        self._known: dict[str, KnownUpstream] = {}
        self._by_service: dict[str, dict[str, KnownUpstream]] = {}
        self._ready: dict[str, tuple[str, ...]] = {}  # by service, as it was last asked for
        self._gone: dict[str, float] = {}  # instance: when it was told, oldest first

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[str, ...]:
        """Take records of a control plane; the instances of which something other than silence changed."""
        changed = tuple(record.instance for record in records if self._take(now_ms, record))
        if changed:
            self._ready.clear()
        self._forget_gone(now_ms)
        return changed

    def get(self, instance: str) -> KnownUpstream | None:
        """The instance, unless it is unknown or gone."""
        return self._known.get(instance)

    def takes_new(self, instance: str) -> bool:
        """Whether new requests may be sent to it: known, and neither draining nor gone."""
        known = self._known.get(instance)
        return known is not None and known.state is UpstreamState.READY

    def is_silent(self, instance: str) -> bool:
        """Whether no control plane hears it, as far as is told."""
        known = self._known.get(instance)
        return known is not None and known.silent

    def address(self, instance: str) -> str | None:
        """Its `ip:port`, unless it is unknown or gone."""
        known = self._known.get(instance)
        return known.address if known is not None else None

    def of_service(self, service: str) -> list[KnownUpstream]:
        """The service's upstreams that are not gone, draining ones included."""
        return list(self._by_service.get(service, {}).values())

    def ready_of_service(self, service: str) -> tuple[str, ...]:
        """The instances of a service that take new requests; the same object until something changes."""
        ready = self._ready.get(service)
        if ready is None:
            known = self._by_service.get(service, {}).values()
            ready = self._ready[service] = tuple(u.instance for u in known if u.state is UpstreamState.READY)
        return ready

    def prove_gone(self, now_ms: float, instance: str) -> bool:
        """Its address answers for another instance, so it has ended. Whether that was news."""
        self._ready.clear()
        return self._enter_gone(now_ms, instance)

    def all(self) -> list[KnownUpstream]:
        """All upstreams that are not gone."""
        return list(self._known.values())

    def answered(self, instance: str) -> None:
        """It answered this data plane: no silence any more."""
        if (known := self._known.get(instance)) is not None:
            known.silent = False

    def _take(self, now_ms: float, record: UpstreamRecord) -> bool:
        if record.instance in self._gone:
            return False
        known = self._known.get(record.instance)
        state = state_named(record.state)
        if state is UpstreamState.GONE:
            return self._enter_gone(now_ms, record.instance)
        if known is None:
            return self._add(now_ms, record, state)
        known.silent = self._is_silence(record)
        changed = record.sequence > known.sequence and self._describe(now_ms, known, record)
        return self._enter(known, state) or changed

    def _is_silence(self, record: UpstreamRecord) -> bool:
        return record.heartbeat_age_ms > self._silent_after_ms

    def _add(self, now_ms: float, record: UpstreamRecord, state: UpstreamState) -> bool:
        known = KnownUpstream(
            instance=record.instance,
            service=record.service,
            address=record.address,
            zone=record.zone,
            version=record.version,
            slots=record.slots,
            state=state,
            sequence=record.sequence,
            cold_until_ms=now_ms + record.slow_start_remaining_ms,
            silent=self._is_silence(record),
        )
        self._known[record.instance] = known
        self._by_service.setdefault(record.service, {})[record.instance] = known
        return True

    def _describe(self, now_ms: float, known: KnownUpstream, record: UpstreamRecord) -> bool:
        before = (known.service, known.address, known.zone, known.version, known.slots)
        if record.service != known.service:
            self._remove_from_service(known)
            self._by_service.setdefault(record.service, {})[record.instance] = known
        known.service, known.address, known.zone = record.service, record.address, record.zone
        known.version, known.slots = record.version, record.slots
        known.sequence, known.cold_until_ms = record.sequence, now_ms + record.slow_start_remaining_ms
        return before != (known.service, known.address, known.zone, known.version, known.slots)

    def _enter(self, known: KnownUpstream, state: UpstreamState) -> bool:
        """The one place where the state of an instance that is not gone changes."""
        state = furthest(known.state, state)
        if state is known.state:
            return False
        known.state = state
        return True

    def _enter_gone(self, now_ms: float, instance: str) -> bool:
        known = self._known.pop(instance, None)
        self._gone[instance] = now_ms
        if known is None:
            return False
        known.state = UpstreamState.GONE
        self._remove_from_service(known)
        return True

    def _remove_from_service(self, known: KnownUpstream) -> None:
        instances = self._by_service[known.service]
        del instances[known.instance]
        if not instances:
            del self._by_service[known.service]

    def _forget_gone(self, now_ms: float) -> None:
        while self._gone:
            oldest = next(iter(self._gone))
            if now_ms - self._gone[oldest] < REMEMBER_GONE_MS and len(self._gone) <= MOST_GONE:
                return
            del self._gone[oldest]
