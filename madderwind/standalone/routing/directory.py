"""Maps discovery's upstream ids to the module's numbers, and to addresses and states."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Container, Iterable
from typing import NamedTuple, TypeVar

import msgspec

from madderwind.standalone.evacuation.areas import Place
from madderwind.standalone.policy.api import FleetListed, ListKind, UpstreamEntry, UpstreamState
from madderwind.standalone.protocol.listing import STATES, Listing, Member

# The latest ends (drains and removals) to remember: a delayed list is not older than that.
MAX_ENDS = 1024
# The latest ids that were ever listed to remember, and the latest times of restoring an upstream.
MAX_EVER_LISTED, MAX_RESTORES = 16384, 1024

T = TypeVar("T")


class End(NamedTuple):
    """What discovery reported about an upstream that gets no new requests."""

    revision: int
    state: UpstreamState
    up_since_ms: float


class Memory(NamedTuple):
    """The state of a directory apart from the list in force. Upstreams are keyed by discovery's ids."""

    ends: dict[str, End]
    listed_before: list[str]
    suspended: list[str]
    restored_ms: dict[str, float]


class Directory:
    """Assigns each id a number, and keeps each upstream's address and whether it may get new requests.

    Memory stays bounded where upstreams are constantly replaced by new ones: one that is no longer listed is
    forgotten once no attempt or probe is outstanding. Numbers are never reused, so no upstream is mistaken
    for another. A delayed or repeated list does no harm: an older revision does not bring back an upstream
    that drains or is gone, unless that has started since.
    """

    def __init__(self, zone_names: tuple[str, ...], kind_names: tuple[str, ...]) -> None:
        self._zones = {name: number for number, name in enumerate(zone_names)}
        self._kinds = {name: number for number, name in enumerate(kind_names)}
        self._numbers: dict[str, int] = {}
        self._next_number = 0
        self._ids: dict[int, str] = {}
        self._outstanding: Counter[int] = Counter()  # outstanding attempts and probes
        self._addresses: dict[int, tuple[str, int]] = {}
        self._members: dict[int, Member] = {}  # as received from discovery
        self._told: dict[int, UpstreamEntry] = {}  # as reported by discovery, without manual changes
        self._ends: dict[str, End] = {}
        self._ever_listed: dict[str, None] = {}  # ids that were ever listed, the latest last
        self.suspended: set[str] = set()  # by an operator, whatever discovery says
        self._restored_ms: dict[str, float] = {}
        self.left: set[int] = set()  # withheld by the fleet because their zone is evacuated
        self._reopened_ms: dict[int, float] = {}
        self.revision = 0

    def take(self, listing: Listing, cached: bool = False) -> FleetListed:
        """Apply a listing, and return it as an event for the module."""
        listed_before_ids = set(self._told)
        entries = tuple(self._entry(member, listing.revision) for member in listing.members)
        if listing.complete:
            self._told = {}  # an upstream missing from a complete list is gone
        for member, entry in zip(listing.members, entries, strict=True):
            self._addresses[entry.upstream], self._members[entry.upstream] = member.address, member
            self._told[entry.upstream] = entry
        reported_gone = {entry.upstream for entry in entries if entry.state is UpstreamState.GONE}
        missing_numbers = listed_before_ids - set(self._told)
        for number in missing_numbers:  # start time unknown: only a revision at least as late brings it back
            self._remember_end(self._ids[number], End(listing.revision, UpstreamState.GONE, float("inf")))
        in_force = tuple(self._effective_entry(entry) for entry in entries)
        for number in missing_numbers | reported_gone:
            self._told.pop(number, None)
            self._forget(number)
        self.revision = listing.revision
        kind = ListKind.WHOLE if listing.complete else ListKind.CHANGES
        return FleetListed(ListKind.CACHED if cached else kind, listing.revision, in_force)

    def listing(self) -> Listing:
        """The list in force, including draining upstreams."""
        return Listing(self.revision, True, tuple(self._members[number] for number in self._told))

    def memory(self) -> Memory:
        """The ends, known ids and manual changes, which the list in force does not contain."""
        return Memory(
            dict(self._ends), list(self._ever_listed), sorted(self.suspended), dict(self._restored_ms)
        )

    def recall(self, memory: Memory) -> None:
        """Restore the state of the previous process, before the list that it followed is applied."""
        for name in (*memory.listed_before, *memory.suspended):
            _keep_latest(self._ever_listed, name, None, MAX_EVER_LISTED, protected=self.suspended)
        self.suspended |= set(memory.suspended)
        for name, at_ms in memory.restored_ms.items():
            _keep_latest(self._restored_ms, name, at_ms, MAX_RESTORES)
        for name, end in memory.ends.items():
            self._remember_end(name, end)

    def suspend(self, name: str, heard: bool = False) -> FleetListed | None:
        """Send nothing more to the upstream, whatever discovery says, until it is restored.

        Returns None if it was never listed. `heard`: the suspension came from a process that knows it.
        """
        if heard:
            _keep_latest(self._ever_listed, name, None, MAX_EVER_LISTED, protected=self.suspended)
        if name not in self._ever_listed:
            return None
        self.suspended.add(name)
        return self._manual_change_event(name)

    def restore(self, name: str, now_ms: float) -> FleetListed | None:
        """End a suspension, however often it was requested. Returns None if the upstream was never listed.

        The upstream counts as started now. It may have been restarted during the suspension while the list
        is late to say so, and would otherwise be flooded with requests.
        """
        if name not in self._ever_listed:
            return None
        if name in self.suspended:
            self.suspended.discard(name)
            _keep_latest(self._restored_ms, name, now_ms, MAX_RESTORES)
        return self._manual_change_event(name)

    def leave(self, upstreams: Iterable[int]) -> FleetListed:
        """Send nothing new to these upstreams, whose zone the fleet evacuates, until they are reopened."""
        numbers = [number for number in upstreams if number in self._told]
        self.left.update(numbers)
        return self._change_event(numbers)

    def reopen(self, upstreams: Iterable[int], started_ms: float) -> FleetListed:
        """Use these upstreams again. They count as started at `started_ms`, whatever a late list says."""
        numbers = [number for number in upstreams if number in self._told]
        self.left.difference_update(upstreams)
        self._reopened_ms.update(dict.fromkeys(numbers, started_ms))
        return self._change_event(numbers)

    def places(self) -> dict[int, Place]:
        """The upstreams that are ready and not suspended, including those in evacuated zones."""
        return {
            number: Place(entry.mark, self._members[number].locality, entry.rating, entry.started_ms)
            for number, entry in self._told.items()
            if entry.state is UpstreamState.READY and self._ids[number] not in self.suspended
        }

    def _change_event(self, numbers: list[int]) -> FleetListed:
        entries = tuple(self._effective_entry(self._told[number]) for number in numbers)
        return FleetListed(ListKind.CHANGES, self.revision, entries)

    def _manual_change_event(self, name: str) -> FleetListed:
        """The event of a manual change; it has no entries if discovery does not list the upstream now."""
        number = self._numbers.get(name)
        return self._change_event([number] if number in self._told else [])

    def _effective_entry(self, entry: UpstreamEntry) -> UpstreamEntry:
        """The effective entry of an upstream: discovery's report, the operator's changes and the fleet's.

        This is the only place that combines the three.
        """
        name, number = self._ids[entry.upstream], entry.upstream
        if name in self.suspended and entry.state is not UpstreamState.GONE:
            entry = msgspec.structs.replace(entry, state=UpstreamState.SUSPENDED)
        elif number in self.left and entry.state is UpstreamState.READY:
            entry = msgspec.structs.replace(entry, state=UpstreamState.LEFT)
        started_ms = max(
            entry.started_ms, self._restored_ms.get(name, 0.0), self._reopened_ms.get(number, 0.0)
        )
        return msgspec.structs.replace(entry, started_ms=started_ms)

    def _remember_end(self, name: str, end: End) -> None:
        """Remember an end; if one is known, keep the later revision and the later start."""
        known = self._ends.pop(name, end)
        latest = End(max(known.revision, end.revision), end.state, max(known.up_since_ms, end.up_since_ms))
        _keep_latest(self._ends, name, latest, MAX_ENDS)

    def _state(self, member: Member, revision: int) -> UpstreamState:
        """The reported state, or the remembered one if that is newer."""
        state, end = STATES[member.phase], self._ends.get(member.id)
        if state is not UpstreamState.READY:
            self._remember_end(member.id, End(revision, state, member.up_since_ms))
        elif end is not None:
            if revision < end.revision and member.up_since_ms <= end.up_since_ms:
                return end.state
            del self._ends[member.id]
        return state

    def _entry(self, member: Member, revision: int) -> UpstreamEntry:
        number = self._numbers.setdefault(member.id, self._next_number)
        if number == self._next_number:
            self._next_number += 1
            self._ids[number] = member.id
        _keep_latest(self._ever_listed, member.id, None, MAX_EVER_LISTED, protected=self.suspended)
        return UpstreamEntry(
            number,
            self._zones.setdefault(member.locality, len(self._zones)),
            self._kinds.setdefault(member.flavor, len(self._kinds)),
            member.cell,
            self._state(member, revision),
            member.size,
            max(0.0, member.up_since_ms),
            zlib.crc32(member.id.encode()) or 1,  # the same at every copy, unlike the number
        )

    def began(self, upstream: int) -> None:
        """Count an outstanding attempt or probe."""
        self._outstanding[upstream] += 1

    def ended(self, upstream: int) -> None:
        self._outstanding[upstream] -= 1
        self._forget(upstream)

    def _forget(self, number: int) -> None:
        """Forget an upstream that is no longer listed, once no attempt or probe is outstanding."""
        if self._outstanding[number] <= 0:
            del self._outstanding[number]
            if number in self._ids and number not in self._told:
                del self._numbers[self._ids.pop(number)], self._addresses[number], self._members[number]
                self.left.discard(number)
                self._reopened_ms.pop(number, None)

    def number(self, name: str) -> int | None:
        return self._numbers.get(name)

    def name(self, upstream: int) -> str:
        return self._ids.get(upstream, "")

    def address(self, upstream: int) -> tuple[str, int] | None:
        return self._addresses.get(upstream)

    def takes_new(self, upstream: int) -> bool:
        """Whether the upstream may get new requests, by the list in force, the operator and the fleet."""
        entry = self._told.get(upstream)
        ready = entry is not None and entry.state is UpstreamState.READY
        return ready and self._ids[upstream] not in self.suspended and upstream not in self.left

    def listed_count(self) -> int:
        """How many upstreams the list in force holds."""
        return len(self._told)


def _keep_latest(
    table: dict[str, T], name: str, value: T, limit: int, protected: Container[str] = ()
) -> None:
    """Store an entry as the latest. Above `limit` the oldest entry that is not `protected` is dropped."""
    table.pop(name, None)
    table[name] = value
    if len(table) > limit:
        del table[next(name for name in table if name not in protected)]
