"""Stories of the design's idle-first pick."""

from __future__ import annotations

import random
import unittest

from madderwind.balancing.candidates import idle_first
from madderwind.balancing.idle_first import IdleFirstPick

NOBODY: frozenset[str] = frozenset()


def given(in_flight: dict[str, int], heard: str = "") -> IdleFirstPick:
    """A pick with so many requests at each upstream; `heard` names those that have answered."""
    pick = IdleFirstPick(random.Random(7))
    for upstream, count in in_flight.items():
        for _ in range(count):
            pick.began(upstream)
    for upstream in heard:
        pick.heard(upstream)
    return pick


def drawn(pick: IdleFirstPick, candidates: str, avoid: frozenset[str] = NOBODY) -> set[str | None]:
    """Whom many picks choose."""
    return {pick.pick(list(candidates), avoid) for _ in range(300)}


class Picking(unittest.TestCase):
    def test_those_with_nothing_in_flight_come_first_heard_from_or_not(self) -> None:
        pick = given({"a": 1, "b": 0, "c": 3, "d": 0}, heard="abc")
        self.assertEqual(drawn(pick, "abcd"), {"b", "d"})

    def test_with_none_idle_those_at_or_under_the_mean_are_drawn_from(self) -> None:
        pick = given({"a": 1, "b": 2, "c": 3}, heard="abc")
        self.assertEqual(drawn(pick, "abc"), {"a", "b"})

    def test_equals_are_all_drawn_from(self) -> None:
        pick = given({"a": 3, "b": 3, "c": 3}, heard="abc")
        self.assertEqual(drawn(pick, "abc"), {"a", "b", "c"})

    def test_one_not_heard_from_counts_as_at_the_mean_of_the_others(self) -> None:
        # Given a newcomer that holds most and has answered nothing yet
        pick = given({"a": 1, "b": 4, "c": 9}, heard="ab")
        self.assertEqual(drawn(pick, "abc"), {"a", "c"})
        # When it has answered
        pick.heard("c")
        # Then what it holds counts
        self.assertEqual(drawn(pick, "abc"), {"a", "b"})

    def test_where_nobody_was_heard_from_all_are_drawn_from(self) -> None:
        pick = given({"a": 1, "b": 5})
        self.assertEqual(drawn(pick, "ab"), {"a", "b"})

    def test_a_retry_avoids_the_one_just_tried_even_if_it_looks_idle(self) -> None:
        pick = given({"a": 0, "b": 2}, heard="ab")
        self.assertEqual(drawn(pick, "ab", frozenset("a")), {"b"})

    def test_the_one_just_tried_is_picked_where_there_is_no_other(self) -> None:
        pick = given({"a": 0}, heard="a")
        self.assertEqual(drawn(pick, "a", frozenset("a")), {"a"})

    def test_no_candidates_no_pick(self) -> None:
        self.assertIsNone(given({}).pick([], NOBODY))

    def test_the_draw_is_even(self) -> None:
        pick = given({})
        counts = {"a": 0, "b": 0, "c": 0, "d": 0}
        for _ in range(4000):
            counts[pick.pick(list("abcd"), NOBODY) or ""] += 1
        self.assertTrue(all(850 < count < 1150 for count in counts.values()), counts)


class Counting(unittest.TestCase):
    def test_ends_are_counted_against_beginnings_and_never_below_zero(self) -> None:
        pick = given({"a": 2})
        pick.ended("a")
        self.assertEqual(pick.in_flight("a"), 1)
        for _ in range(3):
            pick.ended("a")
        self.assertEqual(pick.in_flight("a"), 0)

    def test_one_that_is_gone_leaves_nothing_behind_once_its_requests_ended(self) -> None:
        pick = given({"a": 1}, heard="a")
        pick.forget("a")
        self.assertEqual(pick.in_flight("a"), 1)
        pick.ended("a")
        self.assertEqual((pick._in_flight, pick._heard_from), ({}, set()))


class Rounding(unittest.TestCase):
    def test_equal_loads_are_never_above_their_mean(self) -> None:
        loads = [0.1] * 10
        self.assertEqual(len(idle_first(loads, lambda load: False, lambda load: load)), 10)
