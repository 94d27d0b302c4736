"""Upstreams by discovery's ids, the module's numbers and their addresses."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Container, Iterable
from typing import NamedTuple, TypeVar

import msgspec

from madderwind.standalone.evacuation.areas import Place
from madderwind.standalone.policy.api import FleetListed, ListKind, UpstreamEntry, UpstreamState
from madderwind.standalone.protocol.listing import STATES, Listing, Member

# So many ends (drains and goings) are remembered, the latest: a list that comes late is not older than that.
ENDS_KEPT = 1024
# So many ids that were ever listed are remembered, and so many starts after a call back, the latest.
NAMES_KEPT, RESTORES_KEPT = 16384, 1024

T = TypeVar("T")


class End(NamedTuple):
    """What was told of an upstream that may get nothing new."""

    revision: int
    state: UpstreamState
    up_since_ms: float


class Memory(NamedTuple):
    """What a directory knows beside the list in force. Upstreams go by discovery's ids."""

    ends: dict[str, End]
    listed_before: list[str]
    suspended: list[str]
    restored_ms: dict[str, float]


class Directory:
    """Gives every id a number, and keeps where each is and whether it may get anything new.

    Guards against growth on days on which upstreams are replaced by ever new ones: one that the list no
    longer has is forgotten once nothing is out there. No number is given twice, so none is taken for another.
    Guards against a list that comes late or again: what drains or is gone is not revived by an older
    revision, unless it has started since.
    """

    def __init__(self, zone_names: tuple[str, ...], kind_names: tuple[str, ...]) -> None:
        self._zones = {name: number for number, name in enumerate(zone_names)}
        self._kinds = {name: number for number, name in enumerate(kind_names)}
        self._numbers: dict[str, int] = {}
        self._next_number = 0
        self._ids: dict[int, str] = {}
        self._out: Counter[int] = Counter()  # attempts and probes
        self._addresses: dict[int, tuple[str, int]] = {}
        self._members: dict[int, Member] = {}  # as discovery wrote them
        self._told: dict[int, UpstreamEntry] = {}  # what discovery says, whatever was done by hand
        self._ends: dict[str, End] = {}
        self._ever: dict[str, None] = {}  # ids that were listed, the latest last
        self.suspended: set[str] = set()  # by hand, whatever discovery says
        self._restored_ms: dict[str, float] = {}
        self.left: set[int] = set()  # by the fleet, with their zone
        self._reopened_ms: dict[int, float] = {}
        self.revision = 0

    def take(self, listing: Listing, cached: bool = False) -> FleetListed:
        """The listing as the module's event, after the directory has learned from it."""
        before = set(self._told)
        entries = tuple(self._entry(member, listing.revision) for member in listing.members)
        if listing.complete:
            self._told = {}  # what a whole list leaves out is gone
        for member, entry in zip(listing.members, entries, strict=True):
            self._addresses[entry.upstream], self._members[entry.upstream] = member.address, member
            self._told[entry.upstream] = entry
        told_gone = {entry.upstream for entry in entries if entry.state is UpstreamState.GONE}
        left_out = before - set(self._told)
        for number in left_out:  # nothing says when it started: only a revision as late brings it back
            self._remember(self._ids[number], End(listing.revision, UpstreamState.GONE, float("inf")))
        in_force = tuple(self._in_force(entry) for entry in entries)
        for number in left_out | told_gone:
            self._told.pop(number, None)
            self._forget(number)
        self.revision = listing.revision
        kind = ListKind.WHOLE if listing.complete else ListKind.CHANGES
        return FleetListed(ListKind.CACHED if cached else kind, listing.revision, in_force)

    def listing(self) -> Listing:
        """The list in force, with what drains."""
        return Listing(self.revision, True, tuple(self._members[number] for number in self._told))

    def memory(self) -> Memory:
        """What was told and done that the list in force does not say."""
        return Memory(dict(self._ends), list(self._ever), sorted(self.suspended), dict(self._restored_ms))

    def recall(self, memory: Memory) -> None:
        """What the process before this one was told and did; before the list that it followed is taken."""
        for name in (*memory.listed_before, *memory.suspended):
            _keep(self._ever, name, None, NAMES_KEPT, beside=self.suspended)
        self.suspended |= set(memory.suspended)
        for name, at_ms in memory.restored_ms.items():
            _keep(self._restored_ms, name, at_ms, RESTORES_KEPT)
        for name, end in memory.ends.items():
            self._remember(name, end)

    def suspend(self, name: str, heard: bool = False) -> FleetListed | None:
        """Nothing more to it, whatever discovery says, until it is restored. None: never listed.

        `heard`: of a process that knows it.
        """
        if heard:
            _keep(self._ever, name, None, NAMES_KEPT, beside=self.suspended)
        if name not in self._ever:
            return None
        self.suspended.add(name)
        return self._changed(name)

    def restore(self, name: str, now_ms: float) -> FleetListed | None:
        """One word ends the ban, however many began it. None: never listed.

        Guards against a flood on an upstream that was restarted under the ban while the list is late to say
        so: it counts as started now.
        """
        if name not in self._ever:
            return None
        if name in self.suspended:
            self.suspended.discard(name)
            _keep(self._restored_ms, name, now_ms, RESTORES_KEPT)
        return self._changed(name)

    def leave(self, upstreams: Iterable[int]) -> FleetListed:
        """The fleet leaves their zone: nothing new to them until they are reopened."""
        numbers = [number for number in upstreams if number in self._told]
        self.left.update(numbers)
        return self._told_anew(numbers)

    def reopen(self, upstreams: Iterable[int], started_ms: float) -> FleetListed:
        """The fleet returns to these: they count as started then, whatever a late list says."""
        numbers = [number for number in upstreams if number in self._told]
        self.left.difference_update(upstreams)
        self._reopened_ms.update(dict.fromkeys(numbers, started_ms))
        return self._told_anew(numbers)

    def places(self) -> dict[int, Place]:
        """What discovery calls ready and nobody suspended, whether the fleet has left it or not."""
        return {
            number: Place(entry.mark, self._members[number].locality, entry.rating, entry.started_ms)
            for number, entry in self._told.items()
            if entry.state is UpstreamState.READY and self._ids[number] not in self.suspended
        }

    def _told_anew(self, numbers: list[int]) -> FleetListed:
        entries = tuple(self._in_force(self._told[number]) for number in numbers)
        return FleetListed(ListKind.CHANGES, self.revision, entries)

    def _changed(self, name: str) -> FleetListed:
        """The module's event of a change by hand; empty where discovery does not list the upstream now."""
        number = self._numbers.get(name)
        return self._told_anew([number] if number in self._told else [])

    def _in_force(self, entry: UpstreamEntry) -> UpstreamEntry:
        """What discovery says of an upstream, with what was done by hand and by the fleet. The only place
        that joins the three."""
        name, number = self._ids[entry.upstream], entry.upstream
        if name in self.suspended and entry.state is not UpstreamState.GONE:
            entry = msgspec.structs.replace(entry, state=UpstreamState.SUSPENDED)
        elif number in self.left and entry.state is UpstreamState.READY:
            entry = msgspec.structs.replace(entry, state=UpstreamState.LEFT)
        started_ms = max(
            entry.started_ms, self._restored_ms.get(name, 0.0), self._reopened_ms.get(number, 0.0)
        )
        return msgspec.structs.replace(entry, started_ms=started_ms)

    def _remember(self, name: str, end: End) -> None:
        """Remember an end; of two, the later revision and start count."""
        known = self._ends.pop(name, end)
        latest = End(max(known.revision, end.revision), end.state, max(known.up_since_ms, end.up_since_ms))
        _keep(self._ends, name, latest, ENDS_KEPT)

    def _state(self, member: Member, revision: int) -> UpstreamState:
        """The state that is told, or the one told before if that is fresher."""
        state, end = STATES[member.phase], self._ends.get(member.id)
        if state is not UpstreamState.READY:
            self._remember(member.id, End(revision, state, member.up_since_ms))
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
        _keep(self._ever, member.id, None, NAMES_KEPT, beside=self.suspended)
        return UpstreamEntry(
            number,
            self._zones.setdefault(member.locality, len(self._zones)),
            self._kinds.setdefault(member.flavor, len(self._kinds)),
            member.cell,
            self._state(member, revision),
            member.size,
            max(0.0, member.up_since_ms),
            zlib.crc32(member.id.encode()) or 1,  # alike at every copy, as the number is not
        )

    def began(self, upstream: int) -> None:
        """An attempt or a probe is out there."""
        self._out[upstream] += 1

    def ended(self, upstream: int) -> None:
        self._out[upstream] -= 1
        self._forget(upstream)

    def _forget(self, number: int) -> None:
        """One that is gone, once nothing is out there."""
        if self._out[number] <= 0:
            del self._out[number]
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
        """Whether the list in force, and what was done by hand and by the fleet, let it have anything new."""
        entry = self._told.get(upstream)
        ready = entry is not None and entry.state is UpstreamState.READY
        return ready and self._ids[upstream] not in self.suspended and upstream not in self.left

    def listed_count(self) -> int:
        """How many upstreams the list in force holds."""
        return len(self._told)


def _keep(table: dict[str, T], name: str, value: T, most: int, beside: Container[str] = ()) -> None:
    """Keep it as the latest, and no more than `most`: the oldest goes, but for those named `beside`."""
    table.pop(name, None)
    table[name] = value
    if len(table) > most:
        del table[next(name for name in table if name not in beside)]
