"""Upstreams by zone and region, their sizes, and how much of an area may be withheld."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping

from madderwind.standalone.evacuation.areas import Area, EvacuationSettings, Place, area_of_zone, regions_of


class Topology:
    """Upstreams, zones and regions.

    `places` are the upstreams that are ready by discovery and not suspended, `ready` their number in each
    zone, `areas` the zones and regions by their marks.
    """

    def __init__(self, settings: EvacuationSettings) -> None:
        self._settings = settings
        self.places: Mapping[int, Place] = {}
        self.ready: dict[str, int] = {}
        self.areas: dict[int, Area] = {area.mark: area for area in regions_of(settings)}

    def listed(self, places: Mapping[int, Place], retained: Container[int]) -> None:
        """Apply a changed list. Areas with marks in `retained` stay even without upstreams."""
        self.places = places
        self.ready = dict(Counter(place.zone for place in places.values()))
        known = {area.mark: area for area in map(area_of_zone, self.ready)}
        zones = {mark: area for mark, area in self.areas.items() if area.region or mark in retained}
        self.areas = {**zones, **known}

    def find(self, name: str) -> Area | None:
        """The zone or region of that name."""
        return next((area for area in self.areas.values() if area.name == name), None)

    def ready_count(self, area: Area) -> int:
        """Number of ready upstreams in the area."""
        return sum(self.ready.get(zone, 0) for zone in area.zones)

    def size(self, zones: Container[str] | None = None) -> float:
        """Total size of all upstreams, or of those in these zones."""
        return sum(p.size for p in self.places.values() if zones is None or p.zone in zones)

    def max_withheld_percent(self, area: Area, withheld: frozenset[int]) -> int:
        """The percentage of the area that may be withheld within `most_withheld` of all upstreams."""
        total, size = self.size(), self.size(area.zones)
        places = (self.places[number] for number in withheld)
        allowance = self._settings.most_withheld * total - sum(
            p.size for p in places if p.zone not in area.zones
        )
        if not size or size >= total:
            return 0  # an empty area cannot be evacuated, and the last one is kept in use
        return max(0, min(100, math.floor(100 * allowance / size)))

    def absorbable_percent(self, area: Area, load_per_s: float) -> int:
        """The percentage of the area whose load the others could absorb; 100 if unknown."""
        per_s = self._settings.upstream_per_s
        if not per_s or not load_per_s:
            return 100
        spare_size = self.size() - load_per_s / per_s
        return max(0, math.floor(100 * spare_size / self.size(area.zones)))
