"""Choices of one balancer, and of several that don't talk."""

from __future__ import annotations

import random
import unittest

from madderwind.placement.attempt_record import PlacementReason
from madderwind.placement.placement import Placement
from madderwind.placement.prefix_cache_view import PrefixCacheView
from madderwind.placement.prompts import Generation, PromptPart

SERVICE = "model"
UPSTREAMS = [f"i-{number}" for number in range(6)]
NOBODY: frozenset[str] = frozenset()


def generation(prefix: str, own: str, shared: int = 12_000, tokens: int = 2_000) -> Generation:
    parts = (PromptPart(prefix, shared), PromptPart(own, tokens))
    return Generation(SERVICE, parts, shared + tokens, 100, 1, 800.0, 10_000.0)


def balancer(seed: int = 1, fleet: int = 1) -> Placement:
    placement = Placement(random.Random(seed))
    placement.configure(SERVICE, 64, 500_000, 4)
    placement.set_data_planes(fleet)
    for instance in UPSTREAMS:
        placement.locate(0.0, instance, "zone")
    return placement


def home_of(placement: Placement, prefix: str, now_ms: float = 0.0, shared: int = 6_000) -> str:
    choice = placement.choose(now_ms, generation(prefix, "own", shared), UPSTREAMS, NOBODY)
    assert choice is not None
    return choice.instance


class Affinity(unittest.TestCase):
    def test_balancers_that_do_not_talk_agree_on_homes(self) -> None:
        one, other = balancer(1), balancer(2)
        for number in range(200):
            self.assertEqual(home_of(one, f"p{number}"), home_of(other, f"p{number}"))

    def test_a_home_outside_the_candidates_is_replaced_for_all_alike(self) -> None:
        one, other = balancer(1), balancer(2)
        gone = home_of(one, "p")
        left = [instance for instance in UPSTREAMS if instance != gone]
        first = one.choose(0.0, generation("p", "own"), left, NOBODY)
        second = other.choose(0.0, generation("p", "own"), UPSTREAMS, frozenset({gone}))
        assert first is not None and second is not None
        self.assertEqual(first.instance, second.instance)
        self.assertNotEqual(first.instance, gone)

    def test_nobody_left_is_no_choice(self) -> None:
        placement = balancer()
        self.assertIsNone(placement.choose(0.0, generation("p", "own"), [], NOBODY))
        self.assertIsNone(placement.choose(0.0, generation("p", "own"), ["a"], frozenset({"a"})))

    def test_a_request_without_parts_is_placed(self) -> None:
        bare = Generation(SERVICE, (), 500, 20, 1, 500.0, 5_000.0)
        placement = balancer()
        chosen = {placement.choose(0.0, bare, UPSTREAMS, NOBODY) for _ in range(200)}
        self.assertEqual(len({choice.instance for choice in chosen if choice}), len(UPSTREAMS))


class Spill(unittest.TestCase):
    def test_a_home_with_long_prompts_waiting_is_left(self) -> None:
        placement = balancer()
        home = home_of(placement, "p")
        for number in range(3):
            placement.sent(0.0, f"long-{number}", generation(f"q{number}", f"x{number}", 0, 40_000), home)
        self.assertNotEqual(home_of(placement, "p", 1.0), home)

    def test_what_others_have_there_counts(self) -> None:
        placement = balancer(fleet=6)
        home = home_of(placement, "p")
        placement.handle_peer_dispatches(0.0, ())
        placement.handle_peer_load(0.0, {home: (100_000.0, 4.0, 120_000.0)})
        self.assertNotEqual(home_of(placement, "p", 1.0), home)

    def test_a_light_load_does_not_move_a_prefix(self) -> None:
        placement = balancer(fleet=6)
        home = home_of(placement, "p")
        placement.handle_peer_dispatches(0.0, ())
        placement.handle_peer_load(0.0, {home: (2_000.0, 10.0, 50_000.0)})
        self.assertEqual(home_of(placement, "p", 1.0), home)

    def test_the_home_is_taken_again_after_the_load(self) -> None:
        placement = balancer()
        home = home_of(placement, "p")
        placement.sent(0.0, "long", generation("q", "x", 0, 60_000), home)
        self.assertNotEqual(home_of(placement, "p", 1.0), home)
        placement.event(1_500.0, "long", first=True)
        placement.ended(1_600.0, "long", served=True)
        self.assertEqual(home_of(placement, "p", 1_601.0), home)

    def test_an_upstream_that_fails_at_once_is_not_idle(self) -> None:
        placement = balancer()
        home = home_of(placement, "p")
        for number in range(4):
            placement.sent(float(number), f"k{number}", generation("p", f"x{number}"), home)
            placement.ended(float(number), f"k{number}", served=False)
        self.assertNotEqual(home_of(placement, "p", 5.0), home)


class FreshnessOfPeerLoad(unittest.TestCase):
    def setUp(self) -> None:
        self.one, self.other = balancer(1, fleet=2), balancer(2, fleet=2)
        self.home = home_of(self.one, "p")
        self.other.handle_peer_dispatches(0.0, ())
        self.other.handle_peer_load(0.0, {})

    def dispatch_to_home(self, tokens: int) -> None:
        """One balancer sends a long prompt to the home, and the other is told of it."""
        self.one.sent(0.0, "long", generation("q", "x", 0, tokens), self.home)
        self.other.handle_peer_dispatches(1.0, self.one.drain_dispatches())

    def test_a_dispatch_counts_before_any_load_tells_of_it(self) -> None:
        self.assertEqual(home_of(self.other, "p", 1.0), self.home)
        self.dispatch_to_home(60_000)
        self.assertNotEqual(home_of(self.other, "p", 1.0), self.home)

    def test_a_load_that_includes_it_takes_its_place(self) -> None:
        self.dispatch_to_home(60_000)
        self.other.handle_peer_load(2.0, {self.home: (0.0, 1.0, 60_000.0)})
        self.assertEqual(home_of(self.other, "p", 2.0), self.home)

    def test_what_was_told_is_worked_on_until_the_next_time(self) -> None:
        self.other.handle_peer_load(0.0, {self.home: (60_000.0, 1.0, 60_000.0)})
        self.assertNotEqual(home_of(self.other, "p", 1.0), self.home)
        self.other.handle_peer_dispatches(1_400.0, ())
        self.assertEqual(home_of(self.other, "p", 1_801.0), self.home)


class WhatABalancerThatStartedCannotKnow(unittest.TestCase):
    def test_a_home_is_presumed_to_keep_its_prefix_until_its_memory_was_seen_to_turn_over(self) -> None:
        placement = balancer(fleet=2)
        home = home_of(placement, "p", shared=2_000)
        away = next(instance for instance in UPSTREAMS if instance != home)
        placement.sent(0.0, "k", generation("p", "x", 2_000), away)
        placement.ended(1.0, "k", served=True)
        placement.sent(1.0, "a little work", generation("none", "z", 0, 3_000), away)
        placement.handle_peer_dispatches(1.0, ())
        self.assertEqual(home_of(placement, "p", 1.0, 2_000), home)
        for number in range(60):
            placement.sent(2.0, f"{number}", generation(f"q{number}", f"y{number}"), home)
            placement.ended(3.0, f"{number}", served=True)
        placement.handle_peer_dispatches(4.0, ())
        self.assertEqual(home_of(placement, "p", 4.0, 2_000), away)

    def test_an_upstream_that_came_later_is_known_to_be_empty(self) -> None:
        placement = balancer(fleet=2)
        newcomers = [f"n-{number}" for number in range(6)]
        for instance in newcomers:
            placement.locate(60_000.0, instance, "zone")
        placement.handle_peer_dispatches(60_000.0, ())
        choice = placement.choose(60_000.0, generation("p", "own"), newcomers, NOBODY)
        assert choice is not None
        away = next(instance for instance in newcomers if instance != choice.instance)
        placement.sent(60_000.0, "k", generation("p", "x"), away)
        placement.event(60_300.0, "k", first=True)
        placement.ended(60_400.0, "k", served=True)
        placement.handle_peer_dispatches(60_401.0, ())
        choice = placement.choose(60_401.0, generation("p", "own"), newcomers, NOBODY)
        assert choice is not None
        self.assertEqual(choice.instance, away)


class ManyUpstreams(unittest.TestCase):
    def test_the_only_idle_one_of_thirty_is_found(self) -> None:
        upstreams = [f"i-{number}" for number in range(30)]
        placement = balancer(fleet=2)
        for instance in upstreams:
            placement.locate(0.0, instance, "zone")
        for idle in upstreams[::7]:
            placement.handle_peer_dispatches(0.0, ())
            load = {instance: (80_000.0, 2.0, 80_000.0) for instance in upstreams if instance != idle}
            placement.handle_peer_load(0.0, load)
            choice = placement.choose(1.0, generation("p", "own"), upstreams, NOBODY)
            assert choice is not None
            self.assertEqual(choice.instance, idle)


class BeliefOfKeptParts(unittest.TestCase):
    def test_last_parts_push_out_what_was_unused_for_longest(self) -> None:
        view = PrefixCacheView()
        shared = (PromptPart("a", 100), PromptPart("x", 50))
        view.used(shared, 1_000)
        self.assertEqual(view.cached_tokens(shared), 100)
        for number in range(20):
            view.used((PromptPart("b", 100), PromptPart(f"own-{number}", 50)), 1_000)
        self.assertEqual(view.cached_tokens(shared), 0)
        self.assertEqual(view.cached_tokens((PromptPart("b", 100), PromptPart("new", 1))), 100)

    def test_a_chain_ends_at_the_first_part_that_is_missing(self) -> None:
        view = PrefixCacheView()
        view.used((PromptPart("a", 100), PromptPart("b", 30), PromptPart("x", 5)), 1_000)
        known = (PromptPart("a", 100), PromptPart("c", 30), PromptPart("b", 30), PromptPart("y", 5))
        self.assertEqual(view.cached_tokens(known), 100)

    def test_its_size_does_not_grow_with_the_number_of_prompts(self) -> None:
        view = PrefixCacheView()
        for number in range(5_000):
            view.used((PromptPart("a", 100), PromptPart(f"own-{number}", 10)), 100_000)
        self.assertLess(len(view), 100)


class Notices(unittest.TestCase):
    def test_a_prefix_that_another_balancer_had_read_is_known_as_kept(self) -> None:
        one, other = balancer(1, fleet=2), balancer(2, fleet=2)
        home = home_of(one, "p")
        other.handle_peer_dispatches(0.0, ())
        cold = other.choose(0.0, generation("p", "own"), UPSTREAMS, NOBODY)
        one.sent(0.0, "k", generation("p", "x"), home)
        other.handle_peer_dispatches(100.0, one.drain_dispatches())
        warm = other.choose(100.0, generation("p", "own"), UPSTREAMS, NOBODY)
        assert cold is not None and warm is not None
        self.assertEqual(warm.instance, home)
        self.assertLess(warm.predicted_first_ms, cold.predicted_first_ms)

    def test_a_copy_away_from_home_is_used_when_home_is_late(self) -> None:
        one, other = balancer(1, fleet=2), balancer(2, fleet=2)
        home = home_of(one, "p", shared=12_000)
        copy = next(instance for instance in UPSTREAMS if instance != home)
        one.sent(0.0, "k", generation("p", "x"), copy)
        other.handle_peer_dispatches(100.0, one.drain_dispatches())
        other.handle_peer_load(0.0, {home: (40_000.0, 2.0, 50_000.0)})
        self.assertEqual(home_of(other, "p", 100.0, shared=12_000), copy)

    def test_each_send_is_told_once_and_unasked_ones_are_bounded(self) -> None:
        placement = balancer()
        for number in range(5_000):
            placement.sent(0.0, f"k{number}", generation("p", "x"), "i-0")
        self.assertLessEqual(len(placement.drain_dispatches()), 1_000)
        self.assertEqual(placement.drain_dispatches(), ())

    def test_without_notices_a_home_is_presumed_to_keep_its_prefixes(self) -> None:
        placement = balancer(fleet=2)
        placement.handle_peer_dispatches(0.0, ())
        known = placement.choose(1_000.0, generation("p", "own"), UPSTREAMS, NOBODY)
        presumed = placement.choose(60_000.0, generation("p", "own"), UPSTREAMS, NOBODY)
        assert known is not None and presumed is not None
        self.assertLess(presumed.predicted_first_ms, known.predicted_first_ms)


class Urgency(unittest.TestCase):
    def test_short_prefills_go_before_long_ones_and_ranks_count_among_equals(self) -> None:
        placement = balancer()
        sent = (("short", 500), ("middle", 8_000), ("long", 40_000))
        for key, tokens in sent:
            placement.sent(0.0, key, generation("none", key, 0, tokens), "i-0")
        urgencies = [placement.urgency(key, rank) for key, _ in sent for rank in range(3)]
        self.assertEqual(urgencies, sorted(set(urgencies)))
        self.assertTrue(all(0 <= urgency <= 9 for urgency in urgencies))

    def test_kept_parts_make_a_prefill_short(self) -> None:
        placement = balancer()
        placement.sent(0.0, "cold", generation("p", "x", 20_000, 500), "i-0")
        placement.sent(1.0, "warm", generation("p", "y", 20_000, 500), "i-0")
        self.assertLess(placement.urgency("warm", 1), placement.urgency("cold", 1))

    def test_a_rank_beyond_those_told_apart_is_the_last(self) -> None:
        placement = balancer()
        self.assertEqual(placement.urgency("unknown", 99), placement.urgency("unknown", 2))


class OwnLoad(unittest.TestCase):
    def test_load_rises_with_sends_and_is_gone_at_the_end(self) -> None:
        placement = balancer()
        placement.sent(0.0, "k", generation("p", "x"), "i-0")
        self.assertEqual(placement.load()["i-0"][1:], (1.0, 14_100.0))
        self.assertGreaterEqual(placement.load()["i-0"][0], 2_000.0)
        placement.event(300.0, "k", first=True)
        self.assertEqual(placement.load()["i-0"], (0.0, 1.0, 14_100.0))
        placement.ended(900.0, "k", served=True)
        self.assertEqual(placement.load(), {})

    def test_words_about_unknown_requests_change_nothing(self) -> None:
        placement = balancer()
        placement.event(0.0, "unknown", first=True)
        placement.ended(0.0, "unknown", served=False)
        self.assertEqual(placement.load(), {})


class RecordsOfAttempts(unittest.TestCase):
    def test_tell_what_was_known_and_what_came_of_it(self) -> None:
        placement = balancer(fleet=2)
        home = home_of(placement, "p")
        placement.handle_peer_dispatches(0.0, ())
        placement.handle_peer_load(0.0, {home: (10_000.0, 1.0, 10_000.0)})
        placement.sent(0.0, "first", generation("p", "x"), home)
        placement.sent(10.0, "second", generation("p", "y"), home)
        placement.event(400.0, "second", first=True)
        record = placement.attempt_record("second")
        assert record is not None
        self.assertEqual((record.instance, record.reason), (home, PlacementReason.HOME))
        self.assertEqual((record.shared_tokens, record.cached_tokens), (12_000, 12_000))
        self.assertEqual((record.first_ms, record.peer_load_age_ms), (390.0, 10.0))
        self.assertGreater(record.predicted_first_ms, record.alone_first_ms)

    def test_tell_holders_from_spills(self) -> None:
        placement = balancer(fleet=2)
        home = home_of(placement, "p")
        away = next(instance for instance in UPSTREAMS if instance != home)
        for key in ("spill", "holder"):
            placement.sent(0.0, key, generation("p", key), away)
        records = [placement.attempt_record(key) for key in ("spill", "holder")]
        reasons = [record.reason for record in records if record is not None]
        self.assertEqual(reasons, [PlacementReason.SPILL, PlacementReason.CACHED])

    def test_are_none_of_attempts_that_ended(self) -> None:
        placement = balancer()
        placement.sent(0.0, "k", generation("p", "x"), "i-0")
        placement.ended(1.0, "k", served=True)
        self.assertIsNone(placement.attempt_record("k"))
