"""The upstreams by zone and region, their sizes, and how much of an area may be withheld."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping

from madderwind.standalone.evacuation.areas import Area, EvacuationSettings, Place, area_of_zone, regions_of


class Topology:
    """`places` are the upstreams that discovery calls ready and nobody suspended, `ready` how many each zone
    has, `areas` the zones and regions by their marks."""

    def __init__(self, settings: EvacuationSettings) -> None:
        self._settings = settings
        self.places: Mapping[int, Place] = {}
        self.ready: dict[str, int] = {}
        self.areas: dict[int, Area] = {area.mark: area for area in regions_of(settings)}

    def listed(self, places: Mapping[int, Place], kept: Container[int]) -> None:
        """The list changed. Areas with marks in `kept` stay, also without upstreams."""
        self.places = places
        self.ready = dict(Counter(place.zone for place in places.values()))
        known = {area.mark: area for area in map(area_of_zone, self.ready)}
        zones = {mark: area for mark, area in self.areas.items() if area.region or mark in kept}
        self.areas = {**zones, **known}

    def named(self, name: str) -> Area | None:
        """The zone or region of that name."""
        return next((area for area in self.areas.values() if area.name == name), None)

    def inside(self, area: Area) -> int:
        """How many of its upstreams are ready."""
        return sum(self.ready.get(zone, 0) for zone in area.zones)

    def size(self, zones: Container[str] | None = None) -> float:
        """Of all upstreams, or those of these zones."""
        return sum(p.size for p in self.places.values() if zones is None or p.zone in zones)

    def most_part(self, area: Area, withheld: frozenset[int]) -> int:
        """How much of it may be withheld, in percent, so that no more than the stated part of all is."""
        total, size = self.size(), self.size(area.zones)
        places = (self.places[number] for number in withheld)
        room = self._settings.most_withheld * total - sum(p.size for p in places if p.zone not in area.zones)
        if not size or size >= total:
            return 0  # what is not there cannot be left, and the last is kept
        return max(0, min(100, math.floor(100 * room / size)))

    def bearable_part(self, area: Area, load_per_s: float) -> int:
        """How much of it the others could carry besides their own, in percent; 100 where that is unknown."""
        per_s = self._settings.upstream_per_s
        if not per_s or not load_per_s:
            return 100
        spare = self.size() - load_per_s / per_s
        return max(0, math.floor(100 * spare / self.size(area.zones)))
