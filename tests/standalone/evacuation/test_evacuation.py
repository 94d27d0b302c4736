"""Leaving areas and returning, on one clock: who leaves what, messages that are none, guards, and sizes."""

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


def view(
    standing: str, bads: dict[str, set[int]], goods: dict[str, set[int]], per_s: float = 1.0
) -> messages.View:
    observations = {
        z: ZoneObservation(frozenset(bads.get(z, ())), frozenset(goods.get(z, ()))) for z in {*bads, *goods}
    }
    return messages.read_view(messages.write_view(0.0, standing, per_s, observations, frozenset()))


@given(MARKS, MARKS, st.binary(max_size=60))
def test_words_read_back_and_others_are_refused(
    bads: frozenset[int], goods: frozenset[int], noise: bytes
) -> None:
    data = messages.write_view(0.0, "a", 2.5, {"b": ZoneObservation(bads, goods)}, frozenset("b"))
    read = messages.read_view(data)
    assert read.per_s == 2.5 and read.zones[zone_mark("b")].bads <= {messages.short(m) for m in bads}
    evacuation = messages.Evacuation(7, 0, 3, 9, 1, 2, False, 100, (1, 2, 3))
    assert messages.read_evacuation(evacuation.order, messages.write_evacuation(evacuation)) == evacuation
    copy = copy_of(0)
    copy.heard_view(0.0, 1, noise)
    copy.heard_view(0.0, 1, data[:-1] + noise)
    assert not copy.heard_evacuation(0.0, (3, 5), noise)


def copy_of(me: int, **settings: object) -> evacuation.ZoneEvacuation:
    chosen = msgspec.convert(settings, EvacuationSettings)
    copy = evacuation.ZoneEvacuation(me, "ab"[me % 2], chosen, lambda: list(range(6)))
    copy.listed(0.0, {n: Place(n + 1, "ab"[n % 2], 1.0, 0.0) for n in range(8)})
    return copy


def said_by(views: list[messages.View]) -> list[decision.Said]:
    return [decision.Said(copy, view, 0.0) for copy, view in enumerate(views)]


BAD_B = {"b": {2, 4, 6}}


@pytest.mark.parametrize(
    ("views", "why_not"),
    [
        ([view("a", BAD_B, {})] * 4, ""),
        ([view("a", BAD_B, {})] * 2, "few copies say so"),
        ([view("a", {"b": {2}}, {})] * 5, "few upstreams are named"),
        ([view("a", BAD_B, {})] * 4 + [view("b", {}, {"b": {2}})] * 6, "others reach it"),
        ([view("a", BAD_B, {})] * 4 + [view("b", {"a": {1, 3, 5}}, {})] * 4, "all else is bad as well"),
    ],
)
def test_signs_are_told_apart(views: list[messages.View], why_not: str) -> None:
    assert decision.fails(area_of_zone("b"), 0, said_by(views), 8, READY)[1] == why_not


def seen_b(bad: bool, sent_ms: float, heard_ms: float) -> messages.View:
    """Zone b as one copy saw it at 0 ms."""
    marks = frozenset({2, 4, 6})
    observation = ZoneObservation(
        marks if bad else frozenset(), frozenset() if bad else marks, sent_ms, heard_ms
    )
    return messages.read_view(messages.write_view(0.0, "a", 1.0, {"b": observation}, frozenset()))


@pytest.mark.parametrize(
    ("heard_ms", "left", "why_not"),
    [(-600.0, (), ""), (-100.0, (), "others reach it"), (-600.0, ("a",), "nothing else there")],
)
def test_answers_from_before_the_silence_say_nothing_and_the_last_zone_in_use_stays(
    heard_ms: float, left: tuple[str, ...], why_not: str
) -> None:
    accusers = [seen_b(True, -500.0 - 10 * n, -700.0) for n in range(4)]
    said = said_by([*accusers, *[seen_b(False, -math.inf, heard_ms)] * 4])
    assert decision.fails(area_of_zone("b"), 0, said, 8, READY, left)[1] == why_not


def test_what_enough_have_said_is_not_said_again() -> None:
    bad, good = ZoneObservation(frozenset({2}), frozenset()), ZoneObservation(frozenset(), frozenset({2}))
    accusers = said_by([seen_b(True, -500.0, -700.0)] * 5)
    objectors = said_by([seen_b(False, -math.inf, -10.0)] * 6)
    assert decision.needed("b", bad, accusers[:4], 8, doubt=False)
    assert not decision.needed("b", bad, accusers, 8, doubt=False)
    assert decision.needed("b", good, accusers, 8, doubt=False)
    assert not decision.needed("b", good, accusers + objectors, 8, doubt=False)


def test_a_region_is_left_when_each_of_its_zones_fails() -> None:
    north = Area("north", ("b", "c"), True, 1)
    both = view("a", {"b": {2, 4, 6}, "c": {3, 5, 7}}, {})
    for views, why_not in (
        ([both] * 4, ""),
        ([view("a", {"b": {2, 4, 6, 8}}, {})] * 4, "not all of the region"),
    ):
        ready = {"a": 4, "b": 4, "c": 4}
        assert decision.fails(north, 0, said_by(views), 8, ready)[1] == why_not


def test_what_slows_everything_is_held_against_no_zone() -> None:
    observations = Observations()
    observations.listed({n: Place(n + 1, "ab"[n % 2], 1.0, 0.0) for n in range(4)})
    for number in range(400):
        observations.began(0.0, number % 4, (number, 0))
        observations.ended(100.0, (number, 0), Outcome.OK, 100.0)
    assert observations.slow_ms(100.0, 1) == pytest.approx(400.0)
    for number in range(0, 40, 2):  # zone a is slow now: what b takes is measured by that
        observations.began(200.0, number % 4, (number, 0))
        observations.ended(1200.0, (number, 0), Outcome.OK, 1000.0)
    assert observations.slow_ms(1200.0, 1) > 3000


def leave_by(
    copy: evacuation.ZoneEvacuation, now: float, witnesses: tuple[int, ...], area: str = "b"
) -> list[actions.Action]:
    evacuation = messages.Evacuation(zone_mark(area), 0, 1, 1, 0, witnesses=witnesses)
    return copy.heard_evacuation(now, evacuation.order, messages.write_evacuation(evacuation))


def test_a_leave_needs_witnesses_and_never_takes_the_last_zone() -> None:
    copy = copy_of(0)
    assert leave_by(copy, 0.0, (1, 2)) == [] and copy.counts["unfounded"] == 1
    assert actions.Withhold(frozenset({1, 3, 5, 7})) in leave_by(copy, 0.0, (1, 2, 3))
    assert leave_by(copy, 1.0, (1, 2, 3), area="a")[:1] != [actions.Withhold(frozenset({0, 2, 4, 6}))]
    assert copy.withheld == {1, 3, 5, 7}
    assert copy.evacuate(2.0, "a")[1] and copy.evacuate(2.0, "nowhere")[1]
    assert not [
        a for a in leave_by(copy_of(1, most_withheld=0.3), 0.0, (1, 2, 3)) if isinstance(a, actions.Withhold)
    ]


def test_a_step_that_nobody_renews_is_given_up_and_silence_forgets_all() -> None:
    copy = copy_of(1, alone_after_s=5)
    leave_by(copy, 0.0, (1, 2, 3))
    step = messages.Evacuation(zone_mark("b"), 0, 1, 2, 2, witnesses=(1, 2, 3))
    copy.heard_evacuation(100.0, step.order, messages.write_evacuation(step))
    at_step = copy.withheld
    assert len(at_step) < 4
    copy.heard_message(100.0)
    copy.tick(200.0)
    copy.tick(100.0 + state.LEASE_MS + 100.0)
    assert copy.withheld == {1, 3, 5, 7}, "a copy that hears no renewal goes back"
    copy.tick(6000.0)
    assert not copy.withheld and copy.counts["alone"] == 1


def test_a_relapse_of_all_ends_the_hold_of_one_zone_in_the_same_tick() -> None:
    """Guards against an error in the tick where the step-0 message of a new episode was lost on its way."""
    copy = copy_of(0)
    for scope, episode, step in ((0, 1, messages.FULL), (zone_mark("a"), 1, 1), (0, 2, 1)):
        evacuation = messages.Evacuation(zone_mark("b"), scope, episode, 1, step)
        copy.heard_evacuation(0.0, evacuation.order, messages.write_evacuation(evacuation))
    assert copy.left() == [("b", 1), ("b", 1)]
    copy.tick(100.0)
    data = messages.write_view(
        150.0, "a", 9.0, {"b": ZoneObservation(frozenset({2, 4, 6}), frozenset())}, frozenset()
    )
    for other in (2, 4):
        copy.heard_message(150.0)
        copy.heard_view(150.0, other, data)
    copy.tick(200.0)
    assert copy.left() == [("b", 0)]


@pytest.mark.parametrize(
    ("regions", "said"),
    [
        ({"b": ["a", "c"]}, "zone's name"),
        ({"n": ["a"]}, "two or more"),
        ({"n": ["a", "x"]}, "not among"),
        ({"n": ["a", "b", "c"]}, "nothing would be left"),
        ({"": ["a", "b"]}, "no name"),
    ],
)
def test_regions_that_cannot_be_are_one_plain_line(regions: dict[str, list[str]], said: str) -> None:
    with pytest.raises(AreaError, match=said):
        check_regions(msgspec.convert({"regions": regions}, EvacuationSettings), ("a", "b", "c"))


def test_a_fleet_leaves_what_is_lost_and_nothing_else() -> None:
    """Emulated, with messages lost: all leave within a second of the first, and all come back."""
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
