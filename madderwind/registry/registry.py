"""The control planes' registry of upstreams, merged between them by the heartbeats' sequence numbers.

A missing heartbeat is a hint for the data planes, never a removal: an upstream is published as timed out only
while this control plane has reports of all others, and it is dropped here, without notice, long after.
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

# Without a heartbeat for so many intervals an upstream counts as timed out.
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
DROP_AFTER_MS = 60_000.0
MAX_UPSTREAMS = 20_000
# A change of the remaining slow start by less is the clock's, not the upstream's.
MIN_SLOW_START_CHANGE_MS = 1_000.0
# A longer time between two ticks was a stall of this process: what did not come in it is no time-out.
MAX_TICK_INTERVAL_MS = 1_000.0


@attrs.define
class _Entry:
    """One instance. Times are ms on the steady clock of this process.

    Attributes:
        known_elsewhere: Whether another control plane knows it, or is being notified within its lease.
        published_as_timed_out: Whether the data planes were last notified that it timed out.
        reported_here: Whether it called this control plane since the last liveness report.
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
        """Whether a record's description is the present one, so that nobody has to be notified."""
        mine = (self.service, self.address, self.zone, self.version, self.slots)
        theirs = (record.service, record.address, record.zone, record.version, record.slots)
        remaining_ms = max(0.0, self.slow_start_until_ms - now_ms)
        change_ms = abs(remaining_ms - record.slow_start_remaining_ms)
        return mine == theirs and change_ms < MIN_SLOW_START_CHANGE_MS

    def describe(self, now_ms: float, record: UpstreamRecord) -> None:
        """Take over what a newer record says of the instance."""
        self.service, self.address, self.zone = record.service, record.address, record.zone
        self.version, self.slots = record.version, record.slots
        self.sequence = record.sequence
        self.slow_start_until_ms = now_ms + record.slow_start_remaining_ms

    def enter(self, state: UpstreamState) -> bool:
        """Advance to a state; False where the instance has it or a later one."""
        state = furthest(self.state, state)
        if state is self.state:
            return False
        self.state = state
        return True


class Registry:
    """All upstreams that this control plane knows."""

    def __init__(self, heartbeat_ms: float) -> None:
        """Begin empty; `heartbeat_ms` is the interval at which upstreams call."""
        self._heartbeat_timeout_ms = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_ms
        self._entries: SortedDict[str, _Entry] = SortedDict()
        self._ticked_ms: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, instance: object) -> bool:
        return instance in self._entries

    # --- upstreams call ---

    def handle_heartbeat(self, now_ms: float, instance: str, heartbeat: Heartbeat) -> UpstreamRecord | None:
        """Take an upstream's own heartbeat; the record where others have to be notified."""
        changed = self._merge_record(now_ms, _record_of(instance, heartbeat))
        if (entry := self._entries.get(instance)) is not None:
            entry.reported_here = True
        return self._record(now_ms, instance) if changed else None

    def deregister(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """The upstream says that it ends; the record where others have to be notified."""
        entry = self._entries.get(instance)
        if entry is None:
            state = UpstreamState.DEREGISTERED.value
            unknown = UpstreamRecord(instance, "", "", "", "", 0, state, 0, 0.0, 0.0)
            return self._record(now_ms, instance) if self._merge_record(now_ms, unknown) else None
        entry.last_heartbeat_ms, entry.reported_here = now_ms, True
        return self._record(now_ms, instance) if entry.enter(UpstreamState.DEREGISTERED) else None

    # --- other control planes report ---

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[UpstreamRecord, ...]:
        """Merge other control planes' records; those that changed something here."""
        changed = []
        for record in records:
            if self._merge_record(now_ms, record):
                changed.append(record.instance)
            self.mark_known_elsewhere(record.instance)
        return tuple(self._record(now_ms, instance) for instance in changed)

    def merge_liveness(self, now_ms: float, reports: Iterable[Liveness]) -> bool:
        """Merge whose heartbeats another control plane received; False where one is unknown here.

        The sequence stays that of the description: one raised by a report alone would hide the description
        that belongs to it, where that was lost on its way.
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
        """Merge what this control plane stored before its start: what others know of them is not known.

        Nor is how long it was down, so that whoever had called in time counts as heard of now. Guards against
        an instance that ended without a word long before and comes back as if it ran: who had timed out then,
        or had not called since another did from its address, goes on counting as timed out.
        """
        records = tuple(records)
        youngest_ms: dict[str, float] = {}
        for record in records:
            age_ms = youngest_ms.get(record.address, math.inf)
            youngest_ms[record.address] = min(age_ms, record.heartbeat_age_ms)
        for record in records:
            is_superseded = record.heartbeat_age_ms > youngest_ms[record.address]
            self._merge_record(now_ms, self._as_of_now(record, is_superseded))

    def _as_of_now(self, record: UpstreamRecord, is_superseded: bool) -> UpstreamRecord:
        """A stored record with the age that it is given after a start."""
        age_ms = record.heartbeat_age_ms
        if is_superseded:
            age_ms = max(age_ms, self._heartbeat_timeout_ms + 1.0)
        if age_ms <= self._heartbeat_timeout_ms:
            age_ms = 0.0
        return msgspec.structs.replace(record, heartbeat_age_ms=age_ms)

    def mark_known_elsewhere(self, instance: str) -> None:
        """Another control plane knows the instance, or is being notified of it and can be reached."""
        if (entry := self._entries.get(instance)) is not None:
            entry.known_elsewhere = True

    # --- what is known ---

    def is_known_elsewhere(self, instance: str) -> bool:
        """Whether the instance is known, as far as is known, to another control plane."""
        entry = self._entries.get(instance)
        return entry is not None and entry.known_elsewhere

    def final_record(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """The instance's record where it drains or is deregistered."""
        entry = self._entries.get(instance)
        if entry is None or entry.state is UpstreamState.READY:
            return None
        return self._record(now_ms, instance)

    def take_liveness(self, now_ms: float) -> tuple[Liveness, ...]:
        """Whose heartbeats came here since the last call of this, for the other control planes."""
        reports = []
        for instance, entry in self._entries.items():
            if entry.reported_here:
                entry.reported_here = False
                age_ms = _rounded(now_ms - entry.last_heartbeat_ms)
                reports.append(Liveness(instance, entry.sequence, age_ms))
        return tuple(reports)

    def snapshot(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """All that is known."""
        return tuple(self._record(now_ms, instance) for instance in self._entries)

    # --- time ---

    def tick(self, now_ms: float, all_peers_reported: bool) -> tuple[UpstreamRecord, ...]:
        """Let time pass.

        Args:
            now_ms: Steady clock, ms.
            all_peers_reported: Whether every other control plane reported lately, so that a heartbeat that
            came nowhere
                is known here.

        Returns:
            Upstreams that timed out or came back.
        """
        self._excuse_own_stall(now_ms)
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
        """Whether an upstream timed out or came back since the data planes were last notified."""
        is_timed_out = age_ms > self._heartbeat_timeout_ms
        is_unchanged = is_timed_out is entry.published_as_timed_out
        is_unsure = is_timed_out and not all_peers_reported
        if is_unchanged or is_unsure or entry.state is UpstreamState.DEREGISTERED:
            return False
        entry.published_as_timed_out = is_timed_out
        return True

    def _excuse_own_stall(self, now_ms: float) -> None:
        stall_ms = now_ms - self._ticked_ms if self._ticked_ms is not None else 0.0
        self._ticked_ms = now_ms
        if stall_ms > MAX_TICK_INTERVAL_MS:
            for entry in self._entries.values():
                entry.last_heartbeat_ms = min(now_ms, entry.last_heartbeat_ms + stall_ms)

    # --- records ---

    def _merge_record(self, now_ms: float, record: UpstreamRecord) -> bool:
        """Merge one record; whether it changed what others should know."""
        entry = self._entries.get(record.instance)
        state = state_named(record.state)
        if entry is None:
            return self._add(now_ms, record, state)
        entry.last_heartbeat_ms = max(entry.last_heartbeat_ms, now_ms - record.heartbeat_age_ms)
        changed = False
        if record.sequence > entry.sequence:
            changed = not entry.is_described_by(now_ms, record)
            entry.describe(now_ms, record)
        return entry.enter(state) or changed

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
            slow_start_remaining_ms=_rounded(entry.slow_start_until_ms - now_ms),
            heartbeat_age_ms=_rounded(now_ms - entry.last_heartbeat_ms),
        )


def _record_of(instance: str, heartbeat: Heartbeat) -> UpstreamRecord:
    description = msgspec.structs.asdict(heartbeat)
    description["state"] = heartbeat.state.value
    description["slots"] = int(heartbeat.slots)
    return UpstreamRecord(instance=instance, heartbeat_age_ms=0.0, **description)


def _rounded(duration_ms: float) -> int:
    """Whole milliseconds, not below 0: shorter on the wire."""
    return max(0, round(duration_ms))
