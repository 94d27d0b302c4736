"""Upstreams by discovery's ids, the module's numbers and their addresses."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from madderwind.policy.api import FleetListed, ListKind, UpstreamEntry, UpstreamState
from madderwind.protocol.listing import STATES, Listing, Member

# So many ends (drains and goings) are remembered, the latest: a list that comes late is not older than that.
ENDS_KEPT = 1024


class End(NamedTuple):
    """What was told of an upstream that may get nothing new."""

    revision: int
    state: UpstreamState
    up_since_ms: float


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
        self._states: dict[int, UpstreamState] = {}
        self._ends: dict[str, End] = {}
        self.revision = 0

    def take(self, listing: Listing, cached: bool = False) -> FleetListed:
        """The listing as the module's event, after the directory has learned from it."""
        before = set(self._states)
        entries = tuple(self._entry(member, listing.revision) for member in listing.members)
        if listing.complete:
            self._states = {}  # what a whole list leaves out is gone
        for member, entry in zip(listing.members, entries, strict=True):
            self._addresses[entry.upstream] = member.address
            self._states[entry.upstream] = entry.state
        told_gone = {entry.upstream for entry in entries if entry.state is UpstreamState.GONE}
        left_out = before - set(self._states)
        for number in left_out:  # nothing says when it started: only a revision as late brings it back
            self._remember(self._ids[number], End(listing.revision, UpstreamState.GONE, float("inf")))
        for number in left_out | told_gone:
            self._states[number] = UpstreamState.GONE
            self._forget(number)
        self.revision = listing.revision
        kind = ListKind.WHOLE if listing.complete else ListKind.CHANGES
        return FleetListed(ListKind.CACHED if cached else kind, listing.revision, entries)

    def _remember(self, name: str, end: End) -> None:
        """Remember an end; of two, the later revision and start count."""
        known = self._ends.pop(name, end)
        latest = End(max(known.revision, end.revision), end.state, max(known.up_since_ms, end.up_since_ms))
        self._ends[name] = latest
        if len(self._ends) > ENDS_KEPT:
            del self._ends[next(iter(self._ends))]

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
        return UpstreamEntry(
            number,
            self._zones.setdefault(member.locality, len(self._zones)),
            self._kinds.setdefault(member.flavor, len(self._kinds)),
            member.cell,
            self._state(member, revision),
            member.size,
            max(0.0, member.up_since_ms),
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
            if self._states.get(number) is UpstreamState.GONE:
                del self._numbers[self._ids.pop(number)], self._addresses[number], self._states[number]

    def name(self, upstream: int) -> str:
        return self._ids.get(upstream, "")

    def address(self, upstream: int) -> tuple[str, int] | None:
        return self._addresses.get(upstream)

    def takes_new(self, upstream: int) -> bool:
        """Whether the list in force lets it have anything new."""
        return self._states.get(upstream) is UpstreamState.READY
