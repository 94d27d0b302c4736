"""Zones and regions: what is left and returned to by one decision."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

Part = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EvacuationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`fleet.leaving` of a configuration; without it no zone is left.

    `regions` are named groups of zones. No more than `most_withheld` of the upstreams, by size, is ever
    withheld. `alone_after_s` without a message from any copy, a copy does as it does alone. `upstream_per_s`:
    what one upstream of size 1 can do, so that an area that still serves is left only as far as the rest can
    carry what comes; 0: not known, nothing is kept back for that.
    """

    regions: dict[str, tuple[str, ...]] = {}
    most_withheld: Part = 0.7
    alone_after_s: Annotated[float, msgspec.Meta(ge=2, le=600)] = 10.0
    upstream_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Area(msgspec.Struct, frozen=True):
    """A zone, or a region of several. `mark` is alike at all copies that mean the same by it."""

    name: str
    zones: tuple[str, ...]
    region: bool
    mark: int


class Place(msgspec.Struct, frozen=True):
    """Where an upstream stands. `mark` is alike at every copy."""

    mark: int
    zone: str
    size: float
    started_ms: float  # 0 where that was long ago


class AreaError(ValueError):
    """Regions that cannot be; the text is one plain line."""


def mark_of(text: str) -> int:
    return zlib.crc32(text.encode()) or 1


def zone_mark(zone: str) -> int:
    return mark_of(f"zone {zone}")


def area_of_zone(zone: str) -> Area:
    return Area(zone, (zone,), False, zone_mark(zone))


def regions_of(settings: EvacuationSettings) -> tuple[Area, ...]:
    """Guards against two copies that mean other zones by one name: they have other marks for it."""
    found = []
    for name, zones in settings.regions.items():
        inside = tuple(sorted(set(zones)))
        found.append(Area(name, inside, True, mark_of(f"region {name} {' '.join(inside)}")))
    return tuple(found)


def check_regions(settings: EvacuationSettings, zones: tuple[str, ...]) -> None:
    """AreaError: a region without a name or zones, named as a zone is, of a zone that is not known, or of all
    there are."""
    for name, inside in settings.regions.items():
        if not name or not name.isprintable() or " " in name:
            raise AreaError(f"fleet.leaving.regions: {name!r} is no name")
        if name in zones:
            raise AreaError(f"fleet.leaving.regions: {name!r} is a zone's name")
        if len(inside) < 2 or len(set(inside)) < len(inside):
            raise AreaError(f"fleet.leaving.regions.{name}: two or more zones, each once")
        if unknown := sorted(set(inside) - set(zones)):
            raise AreaError(f"fleet.leaving.regions.{name}: {unknown[0]!r} is not among settings.Zones")
        if set(inside) == set(zones):
            raise AreaError(f"fleet.leaving.regions.{name}: all zones, so nothing would be left")


def fraction(*numbers: int) -> float:
    """A number from 0 to 1 that all copies draw alike from these (a hash of them)."""
    spread = 0x9E3779B97F4A7C15
    mixed = 0
    for number in numbers:
        mixed = (mixed ^ number) * spread % 2**64
        mixed ^= mixed >> 29
    return (mixed * spread % 2**64) / 2**64
