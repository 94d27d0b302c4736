"""Idle-first selection of upstreams."""

from __future__ import annotations

import random
import unittest

from madderwind.balancing.candidates import idle_first
from madderwind.balancing.idle_first import IdleFirstPick

NO_UPSTREAMS: frozenset[str] = frozenset()


def make_selector(in_flight: dict[str, int], responded: str = "") -> IdleFirstPick:
    """A selector with these requests in flight at each upstream; `responded` names those that responded."""
    selector = IdleFirstPick(random.Random(7))
    for upstream, count in in_flight.items():
        for _ in range(count):
            selector.began(upstream)
    for upstream in responded:
        selector.heard(upstream)
    return selector


def selected(
    selector: IdleFirstPick, candidates: str, avoid: frozenset[str] = NO_UPSTREAMS
) -> set[str | None]:
    """The upstreams selected in many draws."""
    return {selector.pick(list(candidates), avoid) for _ in range(300)}


class Selection(unittest.TestCase):
    def test_upstreams_with_nothing_in_flight_are_preferred_whether_they_responded_or_not(self) -> None:
        selector = make_selector({"a": 1, "b": 0, "c": 3, "d": 0}, responded="abc")
        self.assertEqual(selected(selector, "abcd"), {"b", "d"})

    def test_without_idle_upstreams_those_at_or_below_the_mean_are_selected(self) -> None:
        selector = make_selector({"a": 1, "b": 2, "c": 3}, responded="abc")
        self.assertEqual(selected(selector, "abc"), {"a", "b"})

    def test_upstreams_with_equal_load_are_all_selected(self) -> None:
        selector = make_selector({"a": 3, "b": 3, "c": 3}, responded="abc")
        self.assertEqual(selected(selector, "abc"), {"a", "b", "c"})

    def test_an_upstream_that_has_not_responded_counts_as_the_mean_of_the_others(self) -> None:
        # Given a new upstream with the most requests in flight that has not responded yet
        selector = make_selector({"a": 1, "b": 4, "c": 9}, responded="ab")
        self.assertEqual(selected(selector, "abc"), {"a", "c"})
        # When it has responded
        selector.heard("c")
        # Then its requests in flight count
        self.assertEqual(selected(selector, "abc"), {"a", "b"})

    def test_if_no_upstream_has_responded_all_are_selected(self) -> None:
        selector = make_selector({"a": 1, "b": 5})
        self.assertEqual(selected(selector, "ab"), {"a", "b"})

    def test_a_retry_avoids_the_upstream_just_tried_even_if_it_is_idle(self) -> None:
        selector = make_selector({"a": 0, "b": 2}, responded="ab")
        self.assertEqual(selected(selector, "ab", frozenset("a")), {"b"})

    def test_the_upstream_just_tried_is_selected_if_there_is_no_other(self) -> None:
        selector = make_selector({"a": 0}, responded="a")
        self.assertEqual(selected(selector, "a", frozenset("a")), {"a"})

    def test_no_selection_without_candidates(self) -> None:
        self.assertIsNone(make_selector({}).pick([], NO_UPSTREAMS))

    def test_the_selection_is_evenly_distributed(self) -> None:
        selector = make_selector({})
        counts = {"a": 0, "b": 0, "c": 0, "d": 0}
        for _ in range(4000):
            counts[selector.pick(list("abcd"), NO_UPSTREAMS) or ""] += 1
        self.assertTrue(all(850 < count < 1150 for count in counts.values()), counts)


class InFlightCounts(unittest.TestCase):
    def test_ended_requests_decrease_the_count_and_never_below_zero(self) -> None:
        selector = make_selector({"a": 2})
        selector.ended("a")
        self.assertEqual(selector.in_flight("a"), 1)
        for _ in range(3):
            selector.ended("a")
        self.assertEqual(selector.in_flight("a"), 0)

    def test_a_forgotten_upstream_has_no_state_once_its_requests_ended(self) -> None:
        selector = make_selector({"a": 1}, responded="a")
        selector.forget("a")
        self.assertEqual(selector.in_flight("a"), 1)
        selector.ended("a")
        self.assertEqual((selector._in_flight, selector._responded), ({}, set()))


class Rounding(unittest.TestCase):
    def test_equal_loads_are_never_above_their_mean(self) -> None:
        loads = [0.1] * 10
        self.assertEqual(len(idle_first(loads, lambda load: False, lambda load: load)), 10)
