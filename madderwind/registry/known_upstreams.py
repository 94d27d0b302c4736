"""A data plane's own view of the upstreams, merged from what several control planes publish.

Nothing is dropped because control planes don't answer; `draining` and `gone` are final for an instance.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.registry import HEARTBEAT_TIMEOUT_INTERVALS
from madderwind.registry.states import UpstreamState, furthest, state_named

# That an instance was deregistered is remembered for so long: a control plane that was cut off may still
# publish it as ready.
DEREGISTERED_RETENTION_MS = 600_000.0
MAX_DEREGISTERED = 20_000


@attrs.define
class KnownUpstream:
    """One instance as this data plane knows it.

    Attributes:
        instance: Its id.
        service: The service that it belongs to.
        address: Where it listens, ip:port.
        zone: Its zone.
        version: Of its software.
        slots: How many requests it runs at once.
        state: Ready or draining.
        sequence: Of the heartbeat that described it so.
        slow_start_until_ms: Until when it is slow from its start, ms on the steady clock.
        timed_out: No control plane receives its heartbeats: a hint that an answer of it clears.
        last_heartbeat_ms: The latest heartbeat that a record told of, ms on the steady clock.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    slow_start_until_ms: float
    timed_out: bool
    last_heartbeat_ms: float


class KnownUpstreams:
    """All upstreams that any control plane published since the start of the process."""

    def __init__(self, heartbeat_ms: float) -> None:
        """Begin empty; `heartbeat_ms` is the interval at which upstreams call control planes."""
        self._heartbeat_timeout_ms = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_ms
        self._known: dict[str, KnownUpstream] = {}
        self._by_service: dict[str, dict[str, KnownUpstream]] = {}
        self._at_address: dict[str, set[str]] = {}  # the instances that were last described there
        self._ready: dict[str, tuple[str, ...]] = {}  # by service, as it was last requested
        self._deregistered_ms: dict[str, float] = {}  # by instance, oldest first

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[str, ...]:
        """Merge a control plane's records; the instances of which more than a time-out changed."""
        changed = tuple(record.instance for record in records if self._merge_record(now_ms, record))
        if changed:
            self._ready.clear()
        self._drop_old_deregistrations(now_ms)
        return changed

    def mark_deregistered(self, now_ms: float, instance: str) -> bool:
        """Its address answers for another instance, so it has ended; whether it was known until now."""
        self._ready.clear()
        return self._enter_deregistered(now_ms, instance)

    def mark_answered(self, instance: str) -> None:
        """It answered this data plane: it has not timed out."""
        if (known := self._known.get(instance)) is not None:
            known.timed_out = False

    # --- what is known ---

    def get(self, instance: str) -> KnownUpstream | None:
        """The instance, unless it is unknown or deregistered."""
        return self._known.get(instance)

    def takes_new(self, instance: str) -> bool:
        """Whether new requests may be sent to it: known, and neither draining nor deregistered."""
        known = self._known.get(instance)
        return known is not None and known.state is UpstreamState.READY

    def is_timed_out(self, instance: str) -> bool:
        """Whether no control plane receives its heartbeats, as far as is published."""
        known = self._known.get(instance)
        return known is not None and known.timed_out

    def is_superseded(self, instance: str) -> bool:
        """Whether another instance has called from its address since it did: a hint that it has ended."""
        known = self._known.get(instance)
        if known is None:
            return False
        here = self._at_address[known.address]
        return len(here) > 1 and any(
            self._known[other].last_heartbeat_ms > known.last_heartbeat_ms for other in here
        )

    def address(self, instance: str) -> str | None:
        """Its ip:port, unless it is unknown or deregistered."""
        known = self._known.get(instance)
        return known.address if known is not None else None

    def of_service(self, service: str) -> list[KnownUpstream]:
        """The service's upstreams that are not deregistered, draining ones included."""
        return list(self._by_service.get(service, {}).values())

    def ready_of_service(self, service: str) -> tuple[str, ...]:
        """The instances of a service that take new requests; the same object until something changes."""
        ready = self._ready.get(service)
        if ready is None:
            known = self._by_service.get(service, {}).values()
            ready = tuple(each.instance for each in known if each.state is UpstreamState.READY)
            self._ready[service] = ready
        return ready

    def all(self) -> list[KnownUpstream]:
        """All upstreams that are not deregistered."""
        return list(self._known.values())

    # --- records ---

    def _merge_record(self, now_ms: float, record: UpstreamRecord) -> bool:
        if record.instance in self._deregistered_ms:
            return False
        known = self._known.get(record.instance)
        state = state_named(record.state)
        if state is UpstreamState.DEREGISTERED:
            return self._enter_deregistered(now_ms, record.instance)
        if known is None:
            self._add(now_ms, record, state)
            return True
        known.timed_out = self._is_timed_out_in(record)
        known.last_heartbeat_ms = max(known.last_heartbeat_ms, now_ms - record.heartbeat_age_ms)
        changed = record.sequence > known.sequence and self._describe(now_ms, known, record)
        return self._enter(known, state) or changed

    def _is_timed_out_in(self, record: UpstreamRecord) -> bool:
        return record.heartbeat_age_ms > self._heartbeat_timeout_ms

    def _add(self, now_ms: float, record: UpstreamRecord, state: UpstreamState) -> None:
        known = KnownUpstream(
            instance=record.instance,
            service=record.service,
            address=record.address,
            zone=record.zone,
            version=record.version,
            slots=record.slots,
            state=state,
            sequence=record.sequence,
            slow_start_until_ms=now_ms + record.slow_start_remaining_ms,
            timed_out=self._is_timed_out_in(record),
            last_heartbeat_ms=now_ms - record.heartbeat_age_ms,
        )
        self._known[record.instance] = known
        self._at_address.setdefault(record.address, set()).add(record.instance)
        self._by_service.setdefault(record.service, {})[record.instance] = known

    def _describe(self, now_ms: float, known: KnownUpstream, record: UpstreamRecord) -> bool:
        """Take over a newer description; whether it differs."""
        before = (known.service, known.address, known.zone, known.version, known.slots)
        if record.service != known.service:
            self._remove_from_service(known)
            self._by_service.setdefault(record.service, {})[record.instance] = known
        if record.address != known.address:
            self._remove_from_address(known)
            self._at_address.setdefault(record.address, set()).add(record.instance)
        known.service, known.address, known.zone = record.service, record.address, record.zone
        known.version, known.slots = record.version, record.slots
        known.sequence = record.sequence
        known.slow_start_until_ms = now_ms + record.slow_start_remaining_ms
        return before != (known.service, known.address, known.zone, known.version, known.slots)

    def _enter(self, known: KnownUpstream, state: UpstreamState) -> bool:
        """The one place where the state of an instance that is not deregistered changes."""
        state = furthest(known.state, state)
        if state is known.state:
            return False
        known.state = state
        return True

    def _enter_deregistered(self, now_ms: float, instance: str) -> bool:
        known = self._known.pop(instance, None)
        self._deregistered_ms[instance] = now_ms
        if known is None:
            return False
        known.state = UpstreamState.DEREGISTERED
        self._remove_from_service(known)
        self._remove_from_address(known)
        return True

    def _remove_from_service(self, known: KnownUpstream) -> None:
        instances = self._by_service[known.service]
        del instances[known.instance]
        if not instances:
            del self._by_service[known.service]

    def _remove_from_address(self, known: KnownUpstream) -> None:
        here = self._at_address[known.address]
        here.discard(known.instance)
        if not here:
            del self._at_address[known.address]

    def _drop_old_deregistrations(self, now_ms: float) -> None:
        while self._deregistered_ms:
            oldest = next(iter(self._deregistered_ms))
            is_recent = now_ms - self._deregistered_ms[oldest] < DEREGISTERED_RETENTION_MS
            if is_recent and len(self._deregistered_ms) <= MAX_DEREGISTERED:
                return
            del self._deregistered_ms[oldest]
