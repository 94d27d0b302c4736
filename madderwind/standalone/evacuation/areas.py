"""Zones and regions, the areas that one decision evacuates or returns to service."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EvacuationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`fleet.leaving` of a configuration; without it no zone is evacuated.

    `regions` are named groups of zones. At most the fraction `most_withheld` of the upstreams, by size, is
    withheld at any time. A balancer that has received no message from any other for `alone_after_s` acts as
    if it were the only one. `upstream_per_s` is the request rate that an upstream of size 1 can serve: an
    area that still responds is evacuated only as far as the other areas can absorb its load; 0 means unknown
    and sets no such limit.
    """

    regions: dict[str, tuple[str, ...]] = {}
    most_withheld: Fraction = 0.7
    alone_after_s: Annotated[float, msgspec.Meta(ge=2, le=600)] = 10.0
    upstream_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Area(msgspec.Struct, frozen=True):
    """A zone, or a region of several zones.

    `mark` is a hash that is the same at all balancers that define the area in the same way.
    """

    name: str
    zones: tuple[str, ...]
    region: bool
    mark: int


class Place(msgspec.Struct, frozen=True):
    """The location of an upstream. `mark` is a hash that is the same at every balancer."""

    mark: int
    zone: str
    size: float
    started_ms: float  # 0 if the upstream started long ago


class AreaError(ValueError):
    """The configured regions are invalid; the message is a single line."""


def mark_of(text: str) -> int:
    return zlib.crc32(text.encode()) or 1


def zone_mark(zone: str) -> int:
    return mark_of(f"zone {zone}")


def area_of_zone(zone: str) -> Area:
    return Area(zone, (zone,), False, zone_mark(zone))


def regions_of(settings: EvacuationSettings) -> tuple[Area, ...]:
    """The configured regions.

    The mark covers the zones too, so that two balancers that use one name for different zones have different
    marks for it.
    """
    regions = []
    for name, zones in settings.regions.items():
        inside = tuple(sorted(set(zones)))
        regions.append(Area(name, inside, True, mark_of(f"region {name} {' '.join(inside)}")))
    return tuple(regions)


def check_regions(settings: EvacuationSettings, zones: tuple[str, ...]) -> None:
    """Raise AreaError for a region that has no valid name or too few zones, has the name of a zone, contains
    an unknown zone, or contains all zones."""
    for name, inside in settings.regions.items():
        if not name or not name.isprintable() or " " in name:
            raise AreaError(f"fleet.leaving.regions: {name!r} is not a valid name")
        if name in zones:
            raise AreaError(f"fleet.leaving.regions: {name!r} is already the name of a zone")
        if len(inside) < 2 or len(set(inside)) < len(inside):
            raise AreaError(f"fleet.leaving.regions.{name}: needs two or more zones, each listed once")
        if unknown := sorted(set(inside) - set(zones)):
            raise AreaError(f"fleet.leaving.regions.{name}: {unknown[0]!r} is not among settings.Zones")
        if set(inside) == set(zones):
            raise AreaError(f"fleet.leaving.regions.{name}: must not contain all zones")


def fraction(*numbers: int) -> float:
    """Hash these numbers to a number from 0 to 1, the same at all balancers."""
    multiplier = 0x9E3779B97F4A7C15
    mixed = 0
    for number in numbers:
        mixed = (mixed ^ number) * multiplier % 2**64
        mixed ^= mixed >> 29
    return (mixed * multiplier % 2**64) / 2**64
