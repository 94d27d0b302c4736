"""Decides from distinct balancers' views whether an area fails, for whom, and whether to evacuate it.

All balancers reach the same decision from the same views.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from madderwind.standalone.evacuation.areas import Area, area_of_zone, zone_mark
from madderwind.standalone.evacuation.messages import FLEET_SCOPE, MAX_WITNESSES, View, ZoneReport
from madderwind.standalone.evacuation.observations import ZoneObservation

# Number of balancers that have to report the failure: a fraction of the live ones, within a minimum and a
# maximum. A larger fraction applies in small fleets, where that minimum would be too many, and to an area
# that still responds in part.
QUORUM_FRACTION, QUORUM_MIN, QUORUM_MAX = 1 / 12, 6, 16
LARGE_QUORUM_FRACTION, LARGE_QUORUM_MAX, LARGE_QUORUM_MIN = 1 / 4, 64, 3
UPSTREAMS_FRACTION, UPSTREAMS_MIN, UPSTREAMS_MAX = 0.65, 2, 8  # an area's upstreams that have to be reported
MAX_ACCUSERS_PER_QUORUM = 1.5  # accusers beyond this multiple of the quorum need not report
# Weighted fraction of bad observations that is required: in the fleet scope; and in the scope of one zone, or
# if the area still responds in part.
FLEET_BAD_FRACTION, STRICT_BAD_FRACTION = 0.6, 0.8
PARTIAL_RESPONSE_FRACTION = 0.1  # of the bad weight
IN_FLIGHT_MS = 200.0  # an attempt may be lost while others in flight at the same time are answered
# This much bad weight in another zone, relative to this one, rules out a failure of the zone alone.
ELSEWHERE_BAD_FRACTION = 0.25
ALL_ZONES_BAD = "all else is bad as well"
OVERRULED_REASONS = frozenset(("others reach it", ALL_ZONES_BAD))
MIN_WEIGHT_PER_S = 0.1  # a balancer with almost no traffic still counts as an observer


class ReceivedView(NamedTuple):
    """A balancer's view and the time at which it arrived."""

    balancer: int
    view: View
    at_ms: float


class Evidence(msgspec.Struct, frozen=True):
    """Observations for and against an area within a scope.

    `alive_weight` is the weight of the balancers that received an answer from it, even a late one.
    `is_accused`: at least two balancers report that it fails, and few answers since then contradict them.
    """

    accusers: tuple[int, ...]
    bad_weight: float
    good_weight: float
    alive_weight: float
    failing: Mapping[str, frozenset[int]]  # by zone: low halves of the upstreams' marks
    is_accused: bool = False

    @property
    def responds_partly(self) -> bool:
        """Whether so much of the area answers that it may be slow rather than unreachable."""
        return max(self.good_weight, self.alive_weight) > PARTIAL_RESPONSE_FRACTION * self.bad_weight

    @property
    def upstreams(self) -> int:
        return sum(len(marks) for marks in self.failing.values())


def quorum(living: int, responds_partly: bool = False) -> int:
    large = max(min(LARGE_QUORUM_MIN, living), math.ceil(living * LARGE_QUORUM_FRACTION))
    if responds_partly:
        return min(LARGE_QUORUM_MAX, large)
    return min(QUORUM_MAX, max(min(QUORUM_MIN, large), math.ceil(living * QUORUM_FRACTION)))


def upstreams_needed(ready: int) -> int:
    """Number of upstreams that have to fail, so that a single failing one is not taken for a zone failure.

    An area of one upstream is evacuated only by an operator.
    """
    return min(UPSTREAMS_MAX, max(UPSTREAMS_MIN, math.ceil(ready * UPSTREAMS_FRACTION)))


def _reports(
    area: Area, scope: int, views: Iterable[ReceivedView]
) -> Iterable[tuple[ReceivedView, dict[str, ZoneReport]]]:
    """The reports on the area's zones by balancers in scope, without empty ones."""
    for received in views:
        if scope in (FLEET_SCOPE, received.view.home_zone):
            marks = ((zone, zone_mark(zone)) for zone in area.zones)
            reports = {zone: received.view.zones[mark] for zone, mark in marks if mark in received.view.zones}
            if any(report.failing or report.responding for report in reports.values()):
                yield received, reports


def failing_since(area: Area, scope: int, views: Iterable[ReceivedView]) -> float:
    """The time since which attempts of half of the accusing balancers have failed.

    Answers from before then do not contradict the accusers. Guards against good answers from before the
    failure that are reported late.
    """
    failing_since_ms = sorted(
        received.at_ms - min(report.bad_sent_age_ms for report in reports.values())
        for received, reports in _reports(area, scope, views)
        if any(report.failing for report in reports.values())
    )
    return failing_since_ms[len(failing_since_ms) // 2] + IN_FLIGHT_MS if failing_since_ms else -math.inf


def evidence(area: Area, scope: int, views: Iterable[ReceivedView], since_ms: float = -math.inf) -> Evidence:
    """Sum up the views on an area. Only answers after `since_ms` count in its favour."""
    accusers, failing = list[int](), {zone: frozenset[int]() for zone in area.zones}
    bad_weight = good_weight = alive_weight = 0.0
    for received, reports in _reports(area, scope, views):
        alive = any(received.at_ms - report.last_answer_age_ms >= since_ms for report in reports.values())
        bad = sum(len(report.failing) for report in reports.values())
        good = sum(len(report.responding) for report in reports.values()) * alive
        if not bad + good:
            continue
        weight, share = max(MIN_WEIGHT_PER_S, received.view.per_s), bad / (bad + good)
        bad_weight += weight * share
        good_weight += weight * (1 - share)
        alive_weight += weight * alive
        if share > 0.5:
            accusers.append(received.balancer)
        for zone, report in reports.items():
            failing[zone] |= report.failing
    return Evidence(tuple(sorted(accusers)), bad_weight, good_weight, alive_weight, failing)


def check_failure(
    area: Area,
    scope: int,
    views: list[ReceivedView],
    living: int,
    ready: Mapping[str, int],
    evacuated: Container[str] = (),
) -> tuple[Evidence, str]:
    """Decide from these views whether to evacuate the area; returns "" or the reason not to.

    `living`: number of live balancers in scope. `ready`: ready upstreams of each zone, by discovery.
    `evacuated`: zones that are evacuated already and whose load the others carry. The last zone in use is
    never evacuated, however slow that load makes it.
    """
    found = evidence(area, scope, views, failing_since(area, scope, views))
    total_weight = found.bad_weight + found.good_weight
    is_accused = len(found.accusers) >= 2 and found.bad_weight >= FLEET_BAD_FRACTION * total_weight
    if found.responds_partly:
        found = evidence(area, scope, views)
    found = msgspec.structs.replace(found, is_accused=is_accused)
    ready_upstreams = sum(ready.get(zone, 0) for zone in area.zones)
    others = [
        zone for zone, count in ready.items() if count and zone not in area.zones and zone not in evacuated
    ]
    min_fraction = (
        STRICT_BAD_FRACTION if found.responds_partly or scope != FLEET_SCOPE else FLEET_BAD_FRACTION
    )
    if found.bad_weight < min_fraction * (found.bad_weight + found.good_weight):
        return found, "others reach it"
    if scope != FLEET_SCOPE and found.responds_partly:
        return found, "it answers some"  # a broken network path would answer no balancer of that zone
    other_evidence = [evidence(area_of_zone(zone), scope, views) for zone in others]
    required = all if found.responds_partly else any
    if not other_evidence or not required(
        other.bad_weight < ELSEWHERE_BAD_FRACTION * found.bad_weight for other in other_evidence
    ):
        return found, ALL_ZONES_BAD if others else "nothing else there"
    if len(found.accusers) < quorum(living, found.responds_partly):
        return found, "few copies say so"
    if area.region and any(ready.get(zone, 0) and not marks for zone, marks in found.failing.items()):
        return found, "not all of the region"
    if ready_upstreams < UPSTREAMS_MIN or found.upstreams < upstreams_needed(ready_upstreams):
        return found, "few upstreams are named"
    return found, ""


def report_is_needed(
    zone: str,
    observation: ZoneObservation,
    others: Iterable[ReceivedView],
    living: int,
    responds_partly: bool,
) -> bool:
    """Whether a balancer's report on a zone can still change the decision that the others' reports lead to.

    Guards against a flood of identical reports that delays the first ones that differ.
    """
    found = evidence(area_of_zone(zone), FLEET_SCOPE, others)
    if observation.share > 0.5:
        return len(found.accusers) < MAX_ACCUSERS_PER_QUORUM * quorum(living, responds_partly)
    return found.good_weight <= found.bad_weight


def select_witnesses(accusers: Iterable[int]) -> tuple[int, ...]:
    """The balancers named as witnesses, as many as fit into a message."""
    return tuple(sorted(accusers)[:MAX_WITNESSES])
