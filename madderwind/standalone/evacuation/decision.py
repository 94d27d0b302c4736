"""From what distinct copies saw: does an area fail, for whom, and may it be left. Alike at all copies."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from madderwind.standalone.evacuation.areas import Area, area_of_zone, zone_mark
from madderwind.standalone.evacuation.messages import EVERYWHERE, MOST_WITNESSES, View, ZoneReport
from madderwind.standalone.evacuation.observations import ZoneObservation

# Copies that have to say so: a part of the living, and so many at least and at most; in small fleets, where
# that least is many, and where some of it answers, a larger part.
QUORUM_PART, QUORUM_LEAST, QUORUM_MOST = 1 / 12, 6, 16
LARGE_PART, LARGE_MOST, FEWEST = 1 / 4, 64, 3
UPSTREAMS_PART, UPSTREAMS_LEAST, UPSTREAMS_MOST = 0.65, 2, 8  # of an area's, that have to be named
VOICES = 1.5  # times as many may say the same
# Of what was seen, by weight: by all copies; by those of one zone, or where it answers some.
LEAVE_PART, NARROW_PART = 0.6, 0.8
DOUBT_PART = 0.1  # of the bad weight
IN_FLIGHT_MS = 200.0  # an attempt may be lost though others, on their way at the same time, were answered
ELSEWHERE_PART = 0.25  # another zone accused by so much as this one: it is no matter of the zone
ALL_BAD = "all else is bad as well"
SPOKEN_AGAINST = frozenset(("others reach it", ALL_BAD))
LEAST_PER_S = 0.1  # a copy that carries next to nothing still has eyes


class Said(NamedTuple):
    """A copy's view, and when it came."""

    copy: int
    view: View
    at_ms: float


class Evidence(msgspec.Struct, frozen=True):
    """What speaks for and against an area, in scope. `alive_weight`: of those whom it answered, if late.
    `stands`: two say that it fails, and little that has answered since speaks against them."""

    copies: tuple[int, ...]
    bad_weight: float
    good_weight: float
    alive_weight: float
    bads: Mapping[str, frozenset[int]]  # by zone, low halves of marks
    stands: bool = False

    @property
    def doubt(self) -> bool:
        """So much of it answers that it may be slow rather than gone."""
        return max(self.good_weight, self.alive_weight) > DOUBT_PART * self.bad_weight

    @property
    def upstreams(self) -> int:
        return sum(len(marks) for marks in self.bads.values())


def quorum(living: int, doubt: bool = False) -> int:
    large = max(min(FEWEST, living), math.ceil(living * LARGE_PART))
    if doubt:
        return min(LARGE_MOST, large)
    return min(QUORUM_MOST, max(min(QUORUM_LEAST, large), math.ceil(living * QUORUM_PART)))


def upstreams_needed(ready: int) -> int:
    """Guards against one loud upstream that passes for a zone; an area of one is left by hand alone."""
    return min(UPSTREAMS_MOST, max(UPSTREAMS_LEAST, math.ceil(ready * UPSTREAMS_PART)))


def _reports(area: Area, scope: int, said: Iterable[Said]) -> Iterable[tuple[Said, dict[str, ZoneReport]]]:
    """What those in scope say of its zones, where they say anything."""
    for one in said:
        if scope in (EVERYWHERE, one.view.standing):
            marks = ((zone, zone_mark(zone)) for zone in area.zones)
            reports = {zone: one.view.zones[mark] for zone, mark in marks if mark in one.view.zones}
            if any(report.bads or report.goods for report in reports.values()):
                yield one, reports


def silent_since(area: Area, scope: int, said: Iterable[Said]) -> float:
    """Since when the attempts of half of its accusers come to nothing: what answered before then says nothing
    against them. Guards against good answers from before it failed, of which messages come late."""
    sent_ms = sorted(
        one.at_ms - min(report.bad_sent_age_ms for report in reports.values())
        for one, reports in _reports(area, scope, said)
        if any(report.bads for report in reports.values())
    )
    return sent_ms[len(sent_ms) // 2] + IN_FLIGHT_MS if sent_ms else -math.inf


def evidence(area: Area, scope: int, said: Iterable[Said], since_ms: float = -math.inf) -> Evidence:
    """`since_ms`: only what answered after that speaks for the area."""
    copies, bads = list[int](), {zone: frozenset[int]() for zone in area.zones}
    bad_weight = good_weight = alive_weight = 0.0
    for one, reports in _reports(area, scope, said):
        alive = any(one.at_ms - report.heard_age_ms >= since_ms for report in reports.values())
        bad = sum(len(report.bads) for report in reports.values())
        good = sum(len(report.goods) for report in reports.values()) * alive
        if not bad + good:
            continue
        weight, share = max(LEAST_PER_S, one.view.per_s), bad / (bad + good)
        bad_weight += weight * share
        good_weight += weight * (1 - share)
        alive_weight += weight * alive
        if share > 0.5:
            copies.append(one.copy)
        for zone, report in reports.items():
            bads[zone] |= report.bads
    return Evidence(tuple(sorted(copies)), bad_weight, good_weight, alive_weight, bads)


def fails(
    area: Area,
    scope: int,
    said: list[Said],
    living: int,
    ready: Mapping[str, int],
    left: Container[str] = (),
) -> tuple[Evidence, str]:
    """Whether the area is to be left, by what these copies saw; "" or the reason why not.

    `living`: copies in scope. `ready`: upstreams of each zone by discovery. `left`: zones that are left
    already, whose load the others carry: the last is never left, however slow it is for that.
    """
    seen = evidence(area, scope, said, silent_since(area, scope, said))
    whole_weight = seen.bad_weight + seen.good_weight
    stands = len(seen.copies) >= 2 and seen.bad_weight >= LEAVE_PART * whole_weight
    if seen.doubt:
        seen = evidence(area, scope, said)
    seen = msgspec.structs.replace(seen, stands=stands)
    inside = sum(ready.get(zone, 0) for zone in area.zones)
    others = [zone for zone, count in ready.items() if count and zone not in area.zones and zone not in left]
    least = NARROW_PART if seen.doubt or scope != EVERYWHERE else LEAVE_PART
    if seen.bad_weight < least * (seen.bad_weight + seen.good_weight):
        return seen, "others reach it"
    if scope != EVERYWHERE and seen.doubt:
        return seen, "it answers some"  # a way that is cut answers nobody who stands there
    beside = [evidence(area_of_zone(zone), scope, said) for zone in others]
    enough = all if seen.doubt else any
    if not beside or not enough(other.bad_weight < ELSEWHERE_PART * seen.bad_weight for other in beside):
        return seen, ALL_BAD if others else "nothing else there"
    if len(seen.copies) < quorum(living, seen.doubt):
        return seen, "few copies say so"
    if area.region and any(ready.get(zone, 0) and not marks for zone, marks in seen.bads.items()):
        return seen, "not all of the region"
    if inside < UPSTREAMS_LEAST or seen.upstreams < upstreams_needed(inside):
        return seen, "few upstreams are named"
    return seen, ""


def needed(zone: str, observation: ZoneObservation, others: Iterable[Said], living: int, doubt: bool) -> bool:
    """Whether a copy's report on a zone can still change what follows from those of the others. Guards
    against a flood of messages that all say the same, behind which the first that differ would wait."""
    seen = evidence(area_of_zone(zone), EVERYWHERE, others)
    if observation.share > 0.5:
        return len(seen.copies) < VOICES * quorum(living, doubt)
    return seen.good_weight <= seen.bad_weight


def witnesses(copies: Iterable[int]) -> tuple[int, ...]:
    """Who said so, as many as go along."""
    return tuple(sorted(copies)[:MOST_WITNESSES])
