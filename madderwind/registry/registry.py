"""The control planes' registry of upstreams, merged between them by the heartbeats' sequence numbers.

A missing heartbeat is only a hint for the data planes and never removes an upstream. An upstream is published
as timed out only while this control plane receives the reports of all its peers. Much later it is dropped
from this registry, without notifying the data planes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs
import msgspec
from sortedcontainers import SortedDict

from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import Liveness
from madderwind.registry.heartbeats import Heartbeat
from madderwind.registry.states import UpstreamState, furthest, state_named

# An upstream counts as timed out after this many heartbeat intervals without a heartbeat.
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
DROP_AFTER_MS = 60_000.0
MAX_UPSTREAMS = 20_000
# A smaller change of the remaining slow start comes from clock differences and not from the upstream.
MIN_SLOW_START_CHANGE_MS = 1_000.0
# A longer interval between two ticks means that this process stalled; heartbeats that are missing from that
# interval do not count towards a time-out.
MAX_TICK_INTERVAL_MS = 1_000.0
# From here on a float takes no more bytes than an integer.
MAX_ROUNDED_MS = 2.0**32


@attrs.define
class _Entry:
    """An instance. Times are in ms on the monotonic clock of this process.

    Attributes:
        known_elsewhere: Whether another control plane knows it, or is being notified within its lease.
        published_as_timed_out: Whether it was last published to the data planes as timed out.
        reported_here: Whether it sent a heartbeat to this control plane since the last liveness report.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    slow_start_until_ms: float
    last_heartbeat_ms: float
    known_elsewhere: bool = False
    published_as_timed_out: bool = False
    reported_here: bool = False

    def is_described_by(self, now_ms: float, record: UpstreamRecord) -> bool:
        """Whether a record matches the current description, so that no notification is needed."""
        current = (self.service, self.address, self.zone, self.version, self.slots)
        received = (record.service, record.address, record.zone, record.version, record.slots)
        remaining_ms = max(0.0, self.slow_start_until_ms - now_ms)
        change_ms = abs(remaining_ms - record.slow_start_remaining_ms)
        return current == received and change_ms < MIN_SLOW_START_CHANGE_MS

    def update_description(self, now_ms: float, record: UpstreamRecord) -> None:
        """Adopt the description of a newer record."""
        self.service, self.address, self.zone = record.service, record.address, record.zone
        self.version, self.slots = record.version, record.slots
        self.sequence = record.sequence
        self.slow_start_until_ms = now_ms + record.slow_start_remaining_ms

    def advance_to(self, state: UpstreamState) -> bool:
        """Advance to a state; False if the instance is already in it or in a later one."""
        state = furthest(self.state, state)
        if state is self.state:
            return False
        self.state = state
        return True


class Registry:
    """All upstreams that this control plane knows."""

    def __init__(self, heartbeat_ms: float) -> None:
        """Create an empty registry; `heartbeat_ms` is the interval of the upstreams' heartbeats."""
        self._heartbeat_timeout_ms = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_ms
        self._entries: SortedDict[str, _Entry] = SortedDict()
        self._last_tick_ms: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, instance: object) -> bool:
        return instance in self._entries

    def handle_heartbeat(self, now_ms: float, instance: str, heartbeat: Heartbeat) -> UpstreamRecord | None:
        """Handle an upstream's heartbeat; returns its record if peers and data planes have to be notified."""
        changed = self._merge_record(now_ms, _record_from_heartbeat(instance, heartbeat))
        if (entry := self._entries.get(instance)) is not None:
            entry.reported_here = True
        return self._record(now_ms, instance) if changed else None

    def deregister(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """Handle an upstream's deregistration; returns its record if others have to be notified."""
        entry = self._entries.get(instance)
        if entry is None:
            state = UpstreamState.DEREGISTERED.value
            unknown = UpstreamRecord(instance, "", "", "", "", 0, state, 0, 0.0, 0.0)
            return self._record(now_ms, instance) if self._merge_record(now_ms, unknown) else None
        entry.last_heartbeat_ms, entry.reported_here = now_ms, True
        return self._record(now_ms, instance) if entry.advance_to(UpstreamState.DEREGISTERED) else None

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[UpstreamRecord, ...]:
        """Merge the records of another control plane; returns those that changed this registry."""
        changed = []
        for record in records:
            if self._merge_record(now_ms, record):
                changed.append(record.instance)
            self.mark_known_elsewhere(record.instance)
        return tuple(self._record(now_ms, instance) for instance in changed)

    def merge_liveness(self, now_ms: float, reports: Iterable[Liveness]) -> bool:
        """Merge the heartbeats that another control plane received; False if an instance is unknown here.

        The sequence number remains that of the description. If a report alone raised it, the description
        with that sequence number would be ignored when it arrives late, after its first copy was lost.
        """
        all_known = True
        for report in reports:
            entry = self._entries.get(report.instance)
            if entry is None:
                all_known = False
                continue
            entry.last_heartbeat_ms = max(entry.last_heartbeat_ms, now_ms - report.heartbeat_age_ms)
        return all_known

    def restore(self, now_ms: float, records: Iterable[UpstreamRecord]) -> None:
        """Merge the records that this control plane stored before its start.

        Whether other control planes know them is not known. The downtime is unknown too, so an instance that
        was alive then counts as having sent a heartbeat now. An instance that had timed out, or whose address
        another instance had used since, still counts as timed out. Otherwise an instance that ended long
        before without deregistering would be restored as running.
        """
        records = tuple(records)
        youngest_age_by_address_ms: dict[str, float] = {}
        for record in records:
            age_ms = youngest_age_by_address_ms.get(record.address, math.inf)
            youngest_age_by_address_ms[record.address] = min(age_ms, record.heartbeat_age_ms)
        for record in records:
            is_superseded = record.heartbeat_age_ms > youngest_age_by_address_ms[record.address]
            self._merge_record(now_ms, self._restored_record(record, is_superseded))

    def _restored_record(self, record: UpstreamRecord, is_superseded: bool) -> UpstreamRecord:
        """A stored record with the heartbeat age that it gets after a start."""
        age_ms = record.heartbeat_age_ms
        if is_superseded:
            age_ms = max(age_ms, self._heartbeat_timeout_ms + 1.0)
        if age_ms <= self._heartbeat_timeout_ms:
            age_ms = 0.0
        return msgspec.structs.replace(record, heartbeat_age_ms=age_ms)

    def mark_known_elsewhere(self, instance: str) -> None:
        """Record that another control plane knows the instance, or is reachable and being notified of it."""
        if (entry := self._entries.get(instance)) is not None:
            entry.known_elsewhere = True

    def is_known_elsewhere(self, instance: str) -> bool:
        """Whether another control plane is assumed to know the instance."""
        entry = self._entries.get(instance)
        return entry is not None and entry.known_elsewhere

    def final_record(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """The instance's record if it is draining or deregistered."""
        entry = self._entries.get(instance)
        if entry is None or entry.state is UpstreamState.READY:
            return None
        return self._record(now_ms, instance)

    def take_liveness(self, now_ms: float) -> tuple[Liveness, ...]:
        """The heartbeats received here since the last call, to be reported to the other control planes."""
        reports = []
        for instance, entry in self._entries.items():
            if entry.reported_here:
                entry.reported_here = False
                age_ms = _round_duration_ms(now_ms - entry.last_heartbeat_ms)
                reports.append(Liveness(instance, entry.sequence, age_ms))
        return tuple(reports)

    def snapshot(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """The records of all known upstreams."""
        return tuple(self._record(now_ms, instance) for instance in self._entries)

    def tick(self, now_ms: float, all_peers_reported: bool) -> tuple[UpstreamRecord, ...]:
        """Advance the time.

        Args:
            now_ms: The monotonic clock in ms.
            all_peers_reported: Whether every other control plane reported recently, so that a heartbeat
                missing here was received by none of them.

        Returns:
            The upstreams that timed out or recovered.
        """
        self._compensate_for_stall(now_ms)
        changed = []
        for instance in list(self._entries):
            entry = self._entries[instance]
            age_ms = now_ms - entry.last_heartbeat_ms
            if age_ms > DROP_AFTER_MS:
                del self._entries[instance]
            elif self._update_timeout(entry, age_ms, all_peers_reported):
                changed.append(self._record(now_ms, instance))
        return tuple(changed)

    def _update_timeout(self, entry: _Entry, age_ms: float, all_peers_reported: bool) -> bool:
        """Whether an upstream timed out or recovered since it was last published to the data planes."""
        is_timed_out = age_ms > self._heartbeat_timeout_ms
        is_unchanged = is_timed_out is entry.published_as_timed_out
        is_inconclusive = is_timed_out and not all_peers_reported
        if is_unchanged or is_inconclusive or entry.state is UpstreamState.DEREGISTERED:
            return False
        entry.published_as_timed_out = is_timed_out
        return True

    def _compensate_for_stall(self, now_ms: float) -> None:
        stall_ms = now_ms - self._last_tick_ms if self._last_tick_ms is not None else 0.0
        self._last_tick_ms = now_ms
        if stall_ms > MAX_TICK_INTERVAL_MS:
            for entry in self._entries.values():
                entry.last_heartbeat_ms = min(now_ms, entry.last_heartbeat_ms + stall_ms)

    def _merge_record(self, now_ms: float, record: UpstreamRecord) -> bool:
        """Merge one record; returns whether peers and data planes have to be notified."""
        entry = self._entries.get(record.instance)
        state = state_named(record.state)
        if entry is None:
            return self._add(now_ms, record, state)
        entry.last_heartbeat_ms = max(entry.last_heartbeat_ms, now_ms - record.heartbeat_age_ms)
        changed = False
        if record.sequence > entry.sequence:
            changed = not entry.is_described_by(now_ms, record)
            entry.update_description(now_ms, record)
        return entry.advance_to(state) or changed

    def _add(self, now_ms: float, record: UpstreamRecord, state: UpstreamState) -> bool:
        if record.heartbeat_age_ms > DROP_AFTER_MS or len(self._entries) >= MAX_UPSTREAMS:
            return False
        self._entries[record.instance] = _Entry(
            service=record.service,
            address=record.address,
            zone=record.zone,
            version=record.version,
            slots=record.slots,
            state=state,
            sequence=record.sequence,
            slow_start_until_ms=now_ms + record.slow_start_remaining_ms,
            last_heartbeat_ms=now_ms - record.heartbeat_age_ms,
            published_as_timed_out=record.heartbeat_age_ms > self._heartbeat_timeout_ms,
        )
        return True

    def _record(self, now_ms: float, instance: str) -> UpstreamRecord:
        entry = self._entries[instance]
        return UpstreamRecord(
            instance=instance,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            version=entry.version,
            slots=entry.slots,
            state=entry.state.value,
            sequence=entry.sequence,
            slow_start_remaining_ms=_round_duration_ms(entry.slow_start_until_ms - now_ms),
            heartbeat_age_ms=_round_duration_ms(now_ms - entry.last_heartbeat_ms),
        )


def _record_from_heartbeat(instance: str, heartbeat: Heartbeat) -> UpstreamRecord:
    description = msgspec.structs.asdict(heartbeat)
    description["state"] = heartbeat.state.value
    description["slots"] = int(heartbeat.slots)
    return UpstreamRecord(instance=instance, heartbeat_age_ms=0.0, **description)


def _round_duration_ms(duration_ms: float) -> float:
    """Whole milliseconds, at least 0, which have a shorter encoding on the wire than most floats."""
    return max(0, round(duration_ms)) if duration_ms < MAX_ROUNDED_MS else duration_ms
