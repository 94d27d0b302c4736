"""The control planes' registry of upstreams, merged between them by the heartbeats' sequence.

Silence is a hint for the data planes, never a removal: an upstream is told silent only while this control
plane hears all others, and it is forgotten here, without a word, long after.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import msgspec
from sortedcontainers import SortedDict

from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import Liveness
from madderwind.registry.heartbeats import Heartbeat
from madderwind.registry.states import UpstreamState, furthest, state_named

SILENT_AFTER_HEARTBEATS = 3.5
FORGET_AFTER_MS = 60_000.0
MOST_UPSTREAMS = 20_000
# A change of the remaining cold time by less is the clock's, not the upstream's.
COLD_CHANGE_MS = 1_000.0
# A longer pause between two ticks was this process's own: what was not heard in it is no silence.
LONGEST_TICK_GAP_MS = 1_000.0


@attrs.define
class _Entry:
    """One instance. Times are on the steady clock of this process."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    cold_until_ms: float
    heard_ms: float
    known_elsewhere: bool = False  # another control plane knows it, or is being told within its lease
    told_silent: bool = False
    heard_here: bool = False  # directly, since the last liveness report

    def described_as(self, now_ms: float, record: UpstreamRecord) -> bool:
        """Whether a record's description is the one that is kept, so that nobody has to be told."""
        mine = (self.service, self.address, self.zone, self.version, self.slots)
        theirs = (record.service, record.address, record.zone, record.version, record.slots)
        cold_remaining_ms = max(0.0, self.cold_until_ms - now_ms)
        return mine == theirs and abs(cold_remaining_ms - record.slow_start_remaining_ms) < COLD_CHANGE_MS

    def describe(self, now_ms: float, record: UpstreamRecord) -> None:
        """Take over what a newer record tells of the instance."""
        self.service, self.address, self.zone = record.service, record.address, record.zone
        self.version, self.slots = record.version, record.slots
        self.sequence, self.cold_until_ms = record.sequence, now_ms + record.slow_start_remaining_ms

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
        self._silent_after_ms = SILENT_AFTER_HEARTBEATS * heartbeat_ms
        self._entries: SortedDict[str, _Entry] = SortedDict()
        self._ticked_ms: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, instance: object) -> bool:
        return instance in self._entries

    def heartbeat(self, now_ms: float, instance: str, heartbeat: Heartbeat) -> UpstreamRecord | None:
        """Take an upstream's own heartbeat; the record where others have to be told."""
        changed = self._take(now_ms, _record_of(instance, heartbeat))
        if (entry := self._entries.get(instance)) is not None:
            entry.heard_here = True
        return self._record(now_ms, instance) if changed else None

    def deregister(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """The upstream says that it ends; the record where others have to be told."""
        entry = self._entries.get(instance)
        if entry is None:
            gone = UpstreamRecord(instance, "", "", "", "", 0, UpstreamState.GONE.value, 0, 0.0, 0.0)
            return self._record(now_ms, instance) if self._take(now_ms, gone) else None
        entry.heard_ms, entry.heard_here = now_ms, True
        return self._record(now_ms, instance) if entry.enter(UpstreamState.GONE) else None

    def merge(self, now_ms: float, records: Iterable[UpstreamRecord]) -> tuple[UpstreamRecord, ...]:
        """Take other control planes' records; those that changed something here."""
        taken = []
        for record in records:
            if self._take(now_ms, record):
                taken.append(record.instance)
            self.note_told(record.instance)
        return tuple(self._record(now_ms, instance) for instance in taken)

    def restore(self, now_ms: float, records: Iterable[UpstreamRecord]) -> None:
        """Take records of this control plane's own former life: what others know of them is not known."""
        for record in records:
            self._take(now_ms, record)

    def is_known_elsewhere(self, instance: str) -> bool:
        """Whether the instance is known, as far as can be told, to another control plane."""
        entry = self._entries.get(instance)
        return entry is not None and entry.known_elsewhere

    def note_told(self, instance: str) -> None:
        """Another control plane knows the instance, or is being told of it and can be reached."""
        if (entry := self._entries.get(instance)) is not None:
            entry.known_elsewhere = True

    def departing(self, now_ms: float, instance: str) -> UpstreamRecord | None:
        """The instance's record where it drains or is gone."""
        entry = self._entries.get(instance)
        if entry is None or entry.state is UpstreamState.READY:
            return None
        return self._record(now_ms, instance)

    def liveness(self, now_ms: float) -> tuple[Liveness, ...]:
        """What was heard here since the last call of this, for the other control planes."""
        reports = []
        for instance, entry in self._entries.items():
            if entry.heard_here:
                entry.heard_here = False
                reports.append(Liveness(instance, entry.sequence, _rounded(now_ms - entry.heard_ms)))
        return tuple(reports)

    def merge_liveness(self, now_ms: float, reports: Iterable[Liveness]) -> bool:
        """Take what another control plane heard; False where it names an instance that is unknown here.

        The sequence stays that of the description: one raised by a report alone would hide the description
        that belongs to it, where that was lost on its way.
        """
        all_known = True
        for report in reports:
            entry = self._entries.get(report.instance)
            if entry is None:
                all_known = False
                continue
            entry.heard_ms = max(entry.heard_ms, now_ms - report.heartbeat_age_ms)
        return all_known

    def tick(self, now_ms: float, hears_all: bool) -> tuple[UpstreamRecord, ...]:
        """Let time pass; upstreams that went silent or came back. `hears_all`: every other control plane was
        heard of late, so that what nobody heard is known here."""
        self._excuse_own_pause(now_ms)
        told = []
        for instance in list(self._entries):
            entry = self._entries[instance]
            silent_ms = now_ms - entry.heard_ms
            if silent_ms > FORGET_AFTER_MS:
                del self._entries[instance]
            elif self._changes_silence(entry, silent_ms, hears_all):
                told.append(self._record(now_ms, instance))
        return tuple(told)

    def snapshot(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """All that is known."""
        return tuple(self._record(now_ms, instance) for instance in self._entries)

    def _changes_silence(self, entry: _Entry, silent_ms: float, hears_all: bool) -> bool:
        silent = silent_ms > self._silent_after_ms
        if silent is entry.told_silent or entry.state is UpstreamState.GONE or (silent and not hears_all):
            return False
        entry.told_silent = silent
        return True

    def _excuse_own_pause(self, now_ms: float) -> None:
        pause_ms = now_ms - self._ticked_ms if self._ticked_ms is not None else 0.0
        self._ticked_ms = now_ms
        if pause_ms > LONGEST_TICK_GAP_MS:
            for entry in self._entries.values():
                entry.heard_ms = min(now_ms, entry.heard_ms + pause_ms)

    def _take(self, now_ms: float, record: UpstreamRecord) -> bool:
        """Merge one record; whether it changed what others should know."""
        entry = self._entries.get(record.instance)
        state = state_named(record.state)
        if entry is None:
            return self._add(now_ms, record, state)
        entry.heard_ms = max(entry.heard_ms, now_ms - record.heartbeat_age_ms)
        changed = False
        if record.sequence > entry.sequence:
            changed = not entry.described_as(now_ms, record)
            entry.describe(now_ms, record)
        return entry.enter(state) or changed

    def _add(self, now_ms: float, record: UpstreamRecord, state: UpstreamState) -> bool:
        if record.heartbeat_age_ms > FORGET_AFTER_MS or len(self._entries) >= MOST_UPSTREAMS:
            return False
        self._entries[record.instance] = _Entry(
            service=record.service,
            address=record.address,
            zone=record.zone,
            version=record.version,
            slots=record.slots,
            state=state,
            sequence=record.sequence,
            cold_until_ms=now_ms + record.slow_start_remaining_ms,
            heard_ms=now_ms - record.heartbeat_age_ms,
            told_silent=record.heartbeat_age_ms > self._silent_after_ms,
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
            slow_start_remaining_ms=_rounded(entry.cold_until_ms - now_ms),
            heartbeat_age_ms=_rounded(now_ms - entry.heard_ms),
        )


def _record_of(instance: str, heartbeat: Heartbeat) -> UpstreamRecord:
    described = msgspec.structs.asdict(heartbeat)
    described["state"] = heartbeat.state.value
    described["slots"] = int(heartbeat.slots)
    return UpstreamRecord(instance=instance, heartbeat_age_ms=0.0, **described)


def _rounded(duration_ms: float) -> int:
    """Whole milliseconds, not below 0: shorter on the wire."""
    return max(0, round(duration_ms))
