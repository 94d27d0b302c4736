"""A data plane's view of the upstreams, merged from the records that several control planes publish.

No upstream is dropped because control planes do not respond. An instance never leaves the states `draining`
and `gone` for an earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.registry import HEARTBEAT_TIMEOUT_INTERVALS
from madderwind.registry.states import UpstreamState, furthest, state_named

# How long a deregistered instance is remembered: until then, a control plane that was partitioned may still
# publish it as ready.
DEREGISTERED_RETENTION_MS = 600_000.0
MAX_DEREGISTERED = 20_000


@attrs.define
class KnownUpstream:
    """An instance as this data plane knows it.

    Attributes:
        instance: Its ID.
        service: The service that it belongs to.
        address: The address at which it listens, ip:port.
        zone: Its zone.
        version: The version of its software.
        slots: The number of requests that it runs concurrently.
        state: Ready or draining.
        sequence: The sequence number of the heartbeat with this description.
        slow_start_until_ms: The end of its slow start, in ms on the monotonic clock.
        timed_out: Whether no control plane receives its heartbeats; a hint that a response from it clears.
        last_heartbeat_ms: The time of its latest heartbeat in any record, in ms on the monotonic clock.
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
    """All upstreams that any control plane has published since the start of the process."""

    def __init__(self, heartbeat_ms: float) -> None:
        """Create an empty view; `heartbeat_ms` is the interval of the upstreams' heartbeats."""
        self._heartbeat_timeout_ms = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_ms
        self._known: dict[str, KnownUpstream] = {}
        self._upstreams_by_service: dict[str, dict[str, KnownUpstream]] = {}
        self._instances_by_address: dict[str, set[str]] = {}
        self._ready_by_service: dict[str, tuple[str, ...]] = {}  # cached results of `ready_of_service`
        self._deregistered_ms: dict[str, float] = {}  # by instance, oldest first

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[str, ...]:
        """Merge a control plane's records; returns the instances with a change other than a time-out."""
        changed = tuple(record.instance for record in records if self._merge_record(now_ms, record))
        if changed:
            self._ready_by_service.clear()
        self._expire_deregistrations(now_ms)
        return changed

    def mark_deregistered(self, now_ms: float, instance: str) -> bool:
        """Mark an instance as ended, as its address belongs to another one; returns whether it was known."""
        self._ready_by_service.clear()
        return self._set_deregistered(now_ms, instance)

    def mark_answered(self, instance: str) -> None:
        """Clear the time-out of an instance that responded to this data plane."""
        if (known := self._known.get(instance)) is not None:
            known.timed_out = False

    def get(self, instance: str) -> KnownUpstream | None:
        """The instance, unless it is unknown or deregistered."""
        return self._known.get(instance)

    def takes_new(self, instance: str) -> bool:
        """Whether new requests may be sent to it: it is known and neither draining nor deregistered."""
        known = self._known.get(instance)
        return known is not None and known.state is UpstreamState.READY

    def is_timed_out(self, instance: str) -> bool:
        """Whether the control planes last published that none of them receives its heartbeats."""
        known = self._known.get(instance)
        return known is not None and known.timed_out

    def is_superseded(self, instance: str) -> bool:
        """Whether another instance at its address has sent a later heartbeat: a hint that it has ended."""
        known = self._known.get(instance)
        if known is None:
            return False
        instances_at_address = self._instances_by_address[known.address]
        return len(instances_at_address) > 1 and any(
            self._known[other].last_heartbeat_ms > known.last_heartbeat_ms for other in instances_at_address
        )

    def address(self, instance: str) -> str | None:
        """Its ip:port, unless it is unknown or deregistered."""
        known = self._known.get(instance)
        return known.address if known is not None else None

    def upstreams_of_service(self, service: str) -> list[KnownUpstream]:
        """The service's upstreams that are not deregistered, including draining ones."""
        return list(self._upstreams_by_service.get(service, {}).values())

    def ready_of_service(self, service: str) -> tuple[str, ...]:
        """The instances of a service that accept new requests; the same tuple object until a change."""
        ready = self._ready_by_service.get(service)
        if ready is None:
            known = self._upstreams_by_service.get(service, {}).values()
            ready = tuple(each.instance for each in known if each.state is UpstreamState.READY)
            self._ready_by_service[service] = ready
        return ready

    def all(self) -> list[KnownUpstream]:
        """All upstreams that are not deregistered."""
        return list(self._known.values())

    def _merge_record(self, now_ms: float, record: UpstreamRecord) -> bool:
        if record.instance in self._deregistered_ms:
            return False
        known = self._known.get(record.instance)
        state = state_named(record.state)
        if state is UpstreamState.DEREGISTERED:
            return self._set_deregistered(now_ms, record.instance)
        if known is None:
            self._add(now_ms, record, state)
            return True
        known.timed_out = self._is_heartbeat_overdue(record)
        known.last_heartbeat_ms = max(known.last_heartbeat_ms, now_ms - record.heartbeat_age_ms)
        changed = record.sequence > known.sequence and self._update_description(now_ms, known, record)
        return self._advance_state(known, state) or changed

    def _is_heartbeat_overdue(self, record: UpstreamRecord) -> bool:
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
            timed_out=self._is_heartbeat_overdue(record),
            last_heartbeat_ms=now_ms - record.heartbeat_age_ms,
        )
        self._known[record.instance] = known
        self._instances_by_address.setdefault(record.address, set()).add(record.instance)
        self._upstreams_by_service.setdefault(record.service, {})[record.instance] = known

    def _update_description(self, now_ms: float, known: KnownUpstream, record: UpstreamRecord) -> bool:
        """Adopt the description of a newer record; returns whether it differs."""
        before = (known.service, known.address, known.zone, known.version, known.slots)
        if record.service != known.service:
            self._remove_from_service(known)
            self._upstreams_by_service.setdefault(record.service, {})[record.instance] = known
        if record.address != known.address:
            self._remove_from_address(known)
            self._instances_by_address.setdefault(record.address, set()).add(record.instance)
        known.service, known.address, known.zone = record.service, record.address, record.zone
        known.version, known.slots = record.version, record.slots
        known.sequence = record.sequence
        known.slow_start_until_ms = now_ms + record.slow_start_remaining_ms
        return before != (known.service, known.address, known.zone, known.version, known.slots)

    def _advance_state(self, known: KnownUpstream, state: UpstreamState) -> bool:
        """Advance to a state; no other method changes the state of a registered instance."""
        state = furthest(known.state, state)
        if state is known.state:
            return False
        known.state = state
        return True

    def _set_deregistered(self, now_ms: float, instance: str) -> bool:
        known = self._known.pop(instance, None)
        self._deregistered_ms[instance] = now_ms
        if known is None:
            return False
        known.state = UpstreamState.DEREGISTERED
        self._remove_from_service(known)
        self._remove_from_address(known)
        return True

    def _remove_from_service(self, known: KnownUpstream) -> None:
        instances = self._upstreams_by_service[known.service]
        del instances[known.instance]
        if not instances:
            del self._upstreams_by_service[known.service]

    def _remove_from_address(self, known: KnownUpstream) -> None:
        instances_at_address = self._instances_by_address[known.address]
        instances_at_address.discard(known.instance)
        if not instances_at_address:
            del self._instances_by_address[known.address]

    def _expire_deregistrations(self, now_ms: float) -> None:
        while self._deregistered_ms:
            oldest = next(iter(self._deregistered_ms))
            is_recent = now_ms - self._deregistered_ms[oldest] < DEREGISTERED_RETENTION_MS
            if is_recent and len(self._deregistered_ms) <= MAX_DEREGISTERED:
                return
            del self._deregistered_ms[oldest]
