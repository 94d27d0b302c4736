"""Evacuation and return of areas on a simulated clock: decisions, malformed messages, guards and limits."""

from __future__ import annotations

import math
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.evacuation import actions, decision, evacuation, messages, state
from madderwind.standalone.evacuation.areas import (
    Area,
    AreaError,
    EvacuationSettings,
    Place,
    area_of_zone,
    check_regions,
    zone_mark,
)
from madderwind.standalone.evacuation.observations import Observations, ZoneObservation
from madderwind.standalone.policy.api import Outcome
from madderwind.testing.simulation import outages

ROOT = Path(__file__).parents[3]
READY = {"a": 4, "b": 4}
MARKS = st.frozensets(st.integers(1, 2**32 - 1), max_size=9)


def make_view(
    home_zone: str, failing: dict[str, set[int]], responding: dict[str, set[int]], per_s: float = 1.0
) -> messages.View:
    observations = {
        z: ZoneObservation(frozenset(failing.get(z, ())), frozenset(responding.get(z, ())))
        for z in {*failing, *responding}
    }
    return messages.read_view(messages.write_view(0.0, home_zone, per_s, observations, frozenset()))


@given(MARKS, MARKS, st.binary(max_size=60))
def test_messages_round_trip_and_malformed_ones_are_rejected(
    failing: frozenset[int], responding: frozenset[int], noise: bytes
) -> None:
    data = messages.write_view(0.0, "a", 2.5, {"b": ZoneObservation(failing, responding)}, frozenset("b"))
    read = messages.read_view(data)
    assert read.per_s == 2.5 and read.zones[zone_mark("b")].failing <= {
        messages.short_mark(m) for m in failing
    }
    evacuation = messages.Evacuation(7, 0, 3, 9, 1, 2, False, 100, (1, 2, 3))
    assert messages.read_evacuation(evacuation.order, messages.write_evacuation(evacuation)) == evacuation
    balancer = make_balancer(0)
    balancer.heard_view(0.0, 1, noise)
    balancer.heard_view(0.0, 1, data[:-1] + noise)
    assert not balancer.heard_evacuation(0.0, (3, 5), noise)


def make_balancer(me: int, **settings: object) -> evacuation.ZoneEvacuation:
    chosen = msgspec.convert(settings, EvacuationSettings)
    balancer = evacuation.ZoneEvacuation(me, "ab"[me % 2], chosen, lambda: list(range(6)))
    balancer.listed(0.0, {n: Place(n + 1, "ab"[n % 2], 1.0, 0.0) for n in range(8)})
    return balancer


def received_views(views: list[messages.View]) -> list[decision.ReceivedView]:
    return [decision.ReceivedView(balancer, view, 0.0) for balancer, view in enumerate(views)]


BAD_B = {"b": {2, 4, 6}}


@pytest.mark.parametrize(
    ("views", "why_not"),
    [
        ([make_view("a", BAD_B, {})] * 4, ""),
        ([make_view("a", BAD_B, {})] * 2, "few copies say so"),
        ([make_view("a", {"b": {2}}, {})] * 5, "few upstreams are named"),
        ([make_view("a", BAD_B, {})] * 4 + [make_view("b", {}, {"b": {2}})] * 6, "others reach it"),
        (
            [make_view("a", BAD_B, {})] * 4 + [make_view("b", {"a": {1, 3, 5}}, {})] * 4,
            "all else is bad as well",
        ),
    ],
)
def test_views_lead_to_an_evacuation_or_a_reason_against_it(views: list[messages.View], why_not: str) -> None:
    assert decision.check_failure(area_of_zone("b"), 0, received_views(views), 8, READY)[1] == why_not


def view_of_zone_b(bad: bool, sent_ms: float, last_answer_ms: float) -> messages.View:
    """The view of zone b by one balancer at 0 ms."""
    marks = frozenset({2, 4, 6})
    observation = ZoneObservation(
        marks if bad else frozenset(), frozenset() if bad else marks, sent_ms, last_answer_ms
    )
    return messages.read_view(messages.write_view(0.0, "a", 1.0, {"b": observation}, frozenset()))


@pytest.mark.parametrize(
    ("last_answer_ms", "left", "why_not"),
    [(-600.0, (), ""), (-100.0, (), "others reach it"), (-600.0, ("a",), "nothing else there")],
)
def test_answers_from_before_the_failure_are_ignored_and_the_last_zone_in_use_is_kept(
    last_answer_ms: float, left: tuple[str, ...], why_not: str
) -> None:
    accusers = [view_of_zone_b(True, -500.0 - 10 * n, -700.0) for n in range(4)]
    received = received_views([*accusers, *[view_of_zone_b(False, -math.inf, last_answer_ms)] * 4])
    assert decision.check_failure(area_of_zone("b"), 0, received, 8, READY, left)[1] == why_not


def test_a_report_that_cannot_change_the_decision_is_not_needed() -> None:
    bad, good = ZoneObservation(frozenset({2}), frozenset()), ZoneObservation(frozenset(), frozenset({2}))
    accusers = received_views([view_of_zone_b(True, -500.0, -700.0)] * 5)
    objectors = received_views([view_of_zone_b(False, -math.inf, -10.0)] * 6)
    assert decision.report_is_needed("b", bad, accusers[:4], 8, responds_partly=False)
    assert not decision.report_is_needed("b", bad, accusers, 8, responds_partly=False)
    assert decision.report_is_needed("b", good, accusers, 8, responds_partly=False)
    assert not decision.report_is_needed("b", good, accusers + objectors, 8, responds_partly=False)


def test_a_region_is_evacuated_when_each_of_its_zones_fails() -> None:
    north = Area("north", ("b", "c"), True, 1)
    both = make_view("a", {"b": {2, 4, 6}, "c": {3, 5, 7}}, {})
    for views, why_not in (
        ([both] * 4, ""),
        ([make_view("a", {"b": {2, 4, 6, 8}}, {})] * 4, "not all of the region"),
    ):
        ready = {"a": 4, "b": 4, "c": 4}
        assert decision.check_failure(north, 0, received_views(views), 8, ready)[1] == why_not


def test_a_general_slowdown_counts_against_no_zone() -> None:
    observations = Observations()
    observations.listed({n: Place(n + 1, "ab"[n % 2], 1.0, 0.0) for n in range(4)})
    for number in range(400):
        observations.began(0.0, number % 4, (number, 0))
        observations.ended(100.0, (number, 0), Outcome.OK, 100.0)
    assert observations.slow_threshold_ms(100.0, 1) == pytest.approx(400.0)
    for number in range(0, 40, 2):  # zone a is slow now, which raises the threshold for zone b
        observations.began(200.0, number % 4, (number, 0))
        observations.ended(1200.0, (number, 0), Outcome.OK, 1000.0)
    assert observations.slow_threshold_ms(1200.0, 1) > 3000


def receive_evacuation(
    balancer: evacuation.ZoneEvacuation, now: float, witnesses: tuple[int, ...], area: str = "b"
) -> list[actions.Action]:
    evacuation = messages.Evacuation(zone_mark(area), 0, 1, 1, 0, witnesses=witnesses)
    return balancer.heard_evacuation(now, evacuation.order, messages.write_evacuation(evacuation))


def test_an_evacuation_needs_witnesses_and_never_includes_the_last_zone() -> None:
    balancer = make_balancer(0)
    assert receive_evacuation(balancer, 0.0, (1, 2)) == [] and balancer.counts["unfounded"] == 1
    assert actions.Withhold(frozenset({1, 3, 5, 7})) in receive_evacuation(balancer, 0.0, (1, 2, 3))
    assert receive_evacuation(balancer, 1.0, (1, 2, 3), area="a")[:1] != [
        actions.Withhold(frozenset({0, 2, 4, 6}))
    ]
    assert balancer.withheld == {1, 3, 5, 7}
    assert balancer.evacuate(2.0, "a")[1] and balancer.evacuate(2.0, "nowhere")[1]
    assert not [
        a
        for a in receive_evacuation(make_balancer(1, most_withheld=0.3), 0.0, (1, 2, 3))
        if isinstance(a, actions.Withhold)
    ]


def test_a_step_without_renewal_is_reverted_and_evacuations_end_without_messages() -> None:
    balancer = make_balancer(1, alone_after_s=5)
    receive_evacuation(balancer, 0.0, (1, 2, 3))
    step = messages.Evacuation(zone_mark("b"), 0, 1, 2, 2, witnesses=(1, 2, 3))
    balancer.heard_evacuation(100.0, step.order, messages.write_evacuation(step))
    withheld_at_step = balancer.withheld
    assert len(withheld_at_step) < 4
    balancer.heard_message(100.0)
    balancer.tick(200.0)
    balancer.tick(100.0 + state.LEASE_MS + 100.0)
    assert balancer.withheld == {1, 3, 5, 7}, "a balancer that receives no renewal falls back to step 0"
    balancer.tick(6000.0)
    assert not balancer.withheld and balancer.counts["alone"] == 1


def test_a_fleet_wide_relapse_ends_the_evacuation_of_one_zone_scope_in_the_same_tick() -> None:
    """Guards against an error in the tick of the relapse if the step-0 message of a new episode was lost."""
    balancer = make_balancer(0)
    for scope, episode, step in ((0, 1, messages.FULL_STEP), (zone_mark("a"), 1, 1), (0, 2, 1)):
        evacuation = messages.Evacuation(zone_mark("b"), scope, episode, 1, step)
        balancer.heard_evacuation(0.0, evacuation.order, messages.write_evacuation(evacuation))
    assert balancer.left() == [("b", 1), ("b", 1)]
    balancer.tick(100.0)
    data = messages.write_view(
        150.0, "a", 9.0, {"b": ZoneObservation(frozenset({2, 4, 6}), frozenset())}, frozenset()
    )
    for other in (2, 4):
        balancer.heard_message(150.0)
        balancer.heard_view(150.0, other, data)
    balancer.tick(200.0)
    assert balancer.left() == [("b", 0)]


@pytest.mark.parametrize(
    ("regions", "message"),
    [
        ({"b": ["a", "c"]}, "the name of a zone"),
        ({"n": ["a"]}, "two or more"),
        ({"n": ["a", "x"]}, "not among"),
        ({"n": ["a", "b", "c"]}, "must not contain all zones"),
        ({"": ["a", "b"]}, "not a valid name"),
    ],
)
def test_invalid_regions_are_rejected_with_the_reason(regions: dict[str, list[str]], message: str) -> None:
    with pytest.raises(AreaError, match=message):
        check_regions(msgspec.convert({"regions": regions}, EvacuationSettings), ("a", "b", "c"))


def test_a_fleet_evacuates_a_lost_zone_and_nothing_else() -> None:
    """In a simulation with message loss all evacuate within 1.5 s of the first balancer, and all return."""
    lost = msgspec.structs.replace(
        outages.read(ROOT / "experiments" / "leaving" / "sizes.yaml"), copies=24, for_s=45
    )
    record = outages.play(lost, {}, 1)
    assert record.left == 24 and record.within_ms < 1500 and record.first_ms < 3000
    assert record.dark_most_per_s <= 4 and 0 < record.back_ms < 15_000 and not record.wrong
    quiet = msgspec.structs.replace(
        outages.read(ROOT / "experiments" / "leaving" / "hour.yaml"), copies=6, for_s=60
    )
    record = outages.play(quiet, {}, 1)
    assert record.left == record.wrong == 0
