"""Placement decisions of one balancer, and of several without communication between them."""

from __future__ import annotations

import random
import unittest

from madderwind.placement.attempt_record import PlacementReason
from madderwind.placement.placement import Placement
from madderwind.placement.prefix_cache_view import PrefixCacheView
from madderwind.placement.prompts import Generation, PromptPart

SERVICE = "model"
UPSTREAMS = [f"i-{number}" for number in range(6)]
NO_UPSTREAMS: frozenset[str] = frozenset()


def generation(prefix: str, own: str, shared: int = 12_000, tokens: int = 2_000) -> Generation:
    parts = (PromptPart(prefix, shared), PromptPart(own, tokens))
    return Generation(SERVICE, parts, shared + tokens, 100, 1, 800.0, 10_000.0)


def make_placement(seed: int = 1, fleet: int = 1) -> Placement:
    placement = Placement(random.Random(seed))
    placement.configure(SERVICE, 64, 500_000, 4)
    placement.set_data_planes(fleet)
    for instance in UPSTREAMS:
        placement.locate(0.0, instance, "zone")
    return placement


def selected_upstream(placement: Placement, prefix: str, now_ms: float = 0.0, shared: int = 6_000) -> str:
    selection = placement.choose(now_ms, generation(prefix, "own", shared), UPSTREAMS, NO_UPSTREAMS)
    assert selection is not None
    return selection.instance


class PrefixAffinity(unittest.TestCase):
    def test_balancers_without_communication_agree_on_homes(self) -> None:
        first_placement, second_placement = make_placement(1), make_placement(2)
        for number in range(200):
            self.assertEqual(
                selected_upstream(first_placement, f"p{number}"),
                selected_upstream(second_placement, f"p{number}"),
            )

    def test_balancers_agree_on_the_replacement_of_an_unavailable_home(self) -> None:
        first_placement, second_placement = make_placement(1), make_placement(2)
        unavailable = selected_upstream(first_placement, "p")
        remaining = [instance for instance in UPSTREAMS if instance != unavailable]
        first = first_placement.choose(0.0, generation("p", "own"), remaining, NO_UPSTREAMS)
        second = second_placement.choose(0.0, generation("p", "own"), UPSTREAMS, frozenset({unavailable}))
        assert first is not None and second is not None
        self.assertEqual(first.instance, second.instance)
        self.assertNotEqual(first.instance, unavailable)

    def test_no_selection_without_candidates(self) -> None:
        placement = make_placement()
        self.assertIsNone(placement.choose(0.0, generation("p", "own"), [], NO_UPSTREAMS))
        self.assertIsNone(placement.choose(0.0, generation("p", "own"), ["a"], frozenset({"a"})))

    def test_requests_without_prompt_parts_are_spread_over_all_upstreams(self) -> None:
        bare = Generation(SERVICE, (), 500, 20, 1, 500.0, 5_000.0)
        placement = make_placement()
        selections = {placement.choose(0.0, bare, UPSTREAMS, NO_UPSTREAMS) for _ in range(200)}
        self.assertEqual(len({selection.instance for selection in selections if selection}), len(UPSTREAMS))


class Spill(unittest.TestCase):
    def test_a_home_with_long_queued_prompts_is_not_selected(self) -> None:
        placement = make_placement()
        home = selected_upstream(placement, "p")
        for number in range(3):
            placement.sent(0.0, f"long-{number}", generation(f"q{number}", f"x{number}", 0, 40_000), home)
        self.assertNotEqual(selected_upstream(placement, "p", 1.0), home)

    def test_peer_load_at_the_home_counts(self) -> None:
        placement = make_placement(fleet=6)
        home = selected_upstream(placement, "p")
        placement.handle_peer_dispatches(0.0, ())
        placement.handle_peer_load(0.0, {home: (100_000.0, 4.0, 120_000.0)})
        self.assertNotEqual(selected_upstream(placement, "p", 1.0), home)

    def test_a_light_load_does_not_cause_a_spill(self) -> None:
        placement = make_placement(fleet=6)
        home = selected_upstream(placement, "p")
        placement.handle_peer_dispatches(0.0, ())
        placement.handle_peer_load(0.0, {home: (2_000.0, 10.0, 50_000.0)})
        self.assertEqual(selected_upstream(placement, "p", 1.0), home)

    def test_the_home_is_selected_again_after_its_load_ends(self) -> None:
        placement = make_placement()
        home = selected_upstream(placement, "p")
        placement.sent(0.0, "long", generation("q", "x", 0, 60_000), home)
        self.assertNotEqual(selected_upstream(placement, "p", 1.0), home)
        placement.event(1_500.0, "long", first=True)
        placement.ended(1_600.0, "long", served=True)
        self.assertEqual(selected_upstream(placement, "p", 1_601.0), home)

    def test_an_upstream_that_fails_immediately_is_not_taken_for_idle(self) -> None:
        placement = make_placement()
        home = selected_upstream(placement, "p")
        for number in range(4):
            placement.sent(float(number), f"k{number}", generation("p", f"x{number}"), home)
            placement.ended(float(number), f"k{number}", served=False)
        self.assertNotEqual(selected_upstream(placement, "p", 5.0), home)


class PeerLoadFreshness(unittest.TestCase):
    def setUp(self) -> None:
        self.first_placement, self.second_placement = make_placement(1, fleet=2), make_placement(2, fleet=2)
        self.home = selected_upstream(self.first_placement, "p")
        self.second_placement.handle_peer_dispatches(0.0, ())
        self.second_placement.handle_peer_load(0.0, {})

    def dispatch_to_home(self, tokens: int) -> None:
        """One balancer sends a long prompt to the home and reports it to the other."""
        self.first_placement.sent(0.0, "long", generation("q", "x", 0, tokens), self.home)
        self.second_placement.handle_peer_dispatches(1.0, self.first_placement.drain_dispatches())

    def test_a_peer_dispatch_counts_before_the_next_load_report(self) -> None:
        self.assertEqual(selected_upstream(self.second_placement, "p", 1.0), self.home)
        self.dispatch_to_home(60_000)
        self.assertNotEqual(selected_upstream(self.second_placement, "p", 1.0), self.home)

    def test_a_load_report_replaces_the_dispatches_before_it(self) -> None:
        self.dispatch_to_home(60_000)
        self.second_placement.handle_peer_load(2.0, {self.home: (0.0, 1.0, 60_000.0)})
        self.assertEqual(selected_upstream(self.second_placement, "p", 2.0), self.home)

    def test_reported_peer_load_drains_until_the_next_report(self) -> None:
        self.second_placement.handle_peer_load(0.0, {self.home: (60_000.0, 1.0, 60_000.0)})
        self.assertNotEqual(selected_upstream(self.second_placement, "p", 1.0), self.home)
        self.second_placement.handle_peer_dispatches(1_400.0, ())
        self.assertEqual(selected_upstream(self.second_placement, "p", 1_801.0), self.home)


class StateUnknownAfterBalancerStart(unittest.TestCase):
    def test_a_home_is_assumed_to_cache_its_prefix_until_the_prompts_seen_exceed_its_capacity(self) -> None:
        placement = make_placement(fleet=2)
        home = selected_upstream(placement, "p", shared=2_000)
        away = next(instance for instance in UPSTREAMS if instance != home)
        placement.sent(0.0, "k", generation("p", "x", 2_000), away)
        placement.ended(1.0, "k", served=True)
        placement.sent(1.0, "short", generation("none", "z", 0, 3_000), away)
        placement.handle_peer_dispatches(1.0, ())
        self.assertEqual(selected_upstream(placement, "p", 1.0, 2_000), home)
        for number in range(60):
            placement.sent(2.0, f"{number}", generation(f"q{number}", f"y{number}"), home)
            placement.ended(3.0, f"{number}", served=True)
        placement.handle_peer_dispatches(4.0, ())
        self.assertEqual(selected_upstream(placement, "p", 4.0, 2_000), away)

    def test_an_upstream_added_later_is_known_to_have_an_empty_cache(self) -> None:
        placement = make_placement(fleet=2)
        added_upstreams = [f"n-{number}" for number in range(6)]
        for instance in added_upstreams:
            placement.locate(60_000.0, instance, "zone")
        placement.handle_peer_dispatches(60_000.0, ())
        selection = placement.choose(60_000.0, generation("p", "own"), added_upstreams, NO_UPSTREAMS)
        assert selection is not None
        away = next(instance for instance in added_upstreams if instance != selection.instance)
        placement.sent(60_000.0, "k", generation("p", "x"), away)
        placement.event(60_300.0, "k", first=True)
        placement.ended(60_400.0, "k", served=True)
        placement.handle_peer_dispatches(60_401.0, ())
        selection = placement.choose(60_401.0, generation("p", "own"), added_upstreams, NO_UPSTREAMS)
        assert selection is not None
        self.assertEqual(selection.instance, away)


class ManyUpstreams(unittest.TestCase):
    def test_the_only_idle_upstream_of_thirty_is_selected(self) -> None:
        upstreams = [f"i-{number}" for number in range(30)]
        placement = make_placement(fleet=2)
        for instance in upstreams:
            placement.locate(0.0, instance, "zone")
        for idle in upstreams[::7]:
            placement.handle_peer_dispatches(0.0, ())
            load = {instance: (80_000.0, 2.0, 80_000.0) for instance in upstreams if instance != idle}
            placement.handle_peer_load(0.0, load)
            selection = placement.choose(1.0, generation("p", "own"), upstreams, NO_UPSTREAMS)
            assert selection is not None
            self.assertEqual(selection.instance, idle)


class CachedPrefixTracking(unittest.TestCase):
    def test_last_parts_evict_the_least_recently_used_part(self) -> None:
        view = PrefixCacheView()
        shared = (PromptPart("a", 100), PromptPart("x", 50))
        view.add_prompt(shared, 1_000)
        self.assertEqual(view.cached_tokens(shared), 100)
        for number in range(20):
            view.add_prompt((PromptPart("b", 100), PromptPart(f"own-{number}", 50)), 1_000)
        self.assertEqual(view.cached_tokens(shared), 0)
        self.assertEqual(view.cached_tokens((PromptPart("b", 100), PromptPart("new", 1))), 100)

    def test_the_cached_prefix_ends_at_the_first_missing_part(self) -> None:
        view = PrefixCacheView()
        view.add_prompt((PromptPart("a", 100), PromptPart("b", 30), PromptPart("x", 5)), 1_000)
        known = (PromptPart("a", 100), PromptPart("c", 30), PromptPart("b", 30), PromptPart("y", 5))
        self.assertEqual(view.cached_tokens(known), 100)

    def test_the_size_is_bounded_regardless_of_the_number_of_prompts(self) -> None:
        view = PrefixCacheView()
        for number in range(5_000):
            view.add_prompt((PromptPart("a", 100), PromptPart(f"own-{number}", 10)), 100_000)
        self.assertLess(len(view), 100)


class DispatchReports(unittest.TestCase):
    def test_a_prefix_sent_by_another_balancer_is_known_to_be_cached(self) -> None:
        first_placement, second_placement = make_placement(1, fleet=2), make_placement(2, fleet=2)
        home = selected_upstream(first_placement, "p")
        second_placement.handle_peer_dispatches(0.0, ())
        without_cache = second_placement.choose(0.0, generation("p", "own"), UPSTREAMS, NO_UPSTREAMS)
        first_placement.sent(0.0, "k", generation("p", "x"), home)
        second_placement.handle_peer_dispatches(100.0, first_placement.drain_dispatches())
        with_cache = second_placement.choose(100.0, generation("p", "own"), UPSTREAMS, NO_UPSTREAMS)
        assert without_cache is not None and with_cache is not None
        self.assertEqual(with_cache.instance, home)
        self.assertLess(with_cache.predicted_first_ms, without_cache.predicted_first_ms)

    def test_a_cached_prefix_elsewhere_is_used_when_the_home_is_overloaded(self) -> None:
        first_placement, second_placement = make_placement(1, fleet=2), make_placement(2, fleet=2)
        home = selected_upstream(first_placement, "p", shared=12_000)
        holder = next(instance for instance in UPSTREAMS if instance != home)
        first_placement.sent(0.0, "k", generation("p", "x"), holder)
        second_placement.handle_peer_dispatches(100.0, first_placement.drain_dispatches())
        second_placement.handle_peer_load(0.0, {home: (40_000.0, 2.0, 50_000.0)})
        self.assertEqual(selected_upstream(second_placement, "p", 100.0, shared=12_000), holder)

    def test_dispatches_are_reported_once_and_the_unreported_ones_are_bounded(self) -> None:
        placement = make_placement()
        for number in range(5_000):
            placement.sent(0.0, f"k{number}", generation("p", "x"), "i-0")
        self.assertLessEqual(len(placement.drain_dispatches()), 1_000)
        self.assertEqual(placement.drain_dispatches(), ())

    def test_without_dispatch_reports_a_home_is_assumed_to_cache_its_prefixes(self) -> None:
        placement = make_placement(fleet=2)
        placement.handle_peer_dispatches(0.0, ())
        known = placement.choose(1_000.0, generation("p", "own"), UPSTREAMS, NO_UPSTREAMS)
        without_reports = placement.choose(60_000.0, generation("p", "own"), UPSTREAMS, NO_UPSTREAMS)
        assert known is not None and without_reports is not None
        self.assertLess(without_reports.predicted_first_ms, known.predicted_first_ms)


class Urgency(unittest.TestCase):
    def test_short_prefills_precede_long_ones_and_ranks_order_equal_lengths(self) -> None:
        placement = make_placement()
        sent = (("short", 500), ("middle", 8_000), ("long", 40_000))
        for key, tokens in sent:
            placement.sent(0.0, key, generation("none", key, 0, tokens), "i-0")
        urgencies = [placement.urgency(key, rank) for key, _ in sent for rank in range(3)]
        self.assertEqual(urgencies, sorted(set(urgencies)))
        self.assertTrue(all(0 <= urgency <= 9 for urgency in urgencies))

    def test_cached_parts_shorten_a_prefill(self) -> None:
        placement = make_placement()
        placement.sent(0.0, "cold", generation("p", "x", 20_000, 500), "i-0")
        placement.sent(1.0, "warm", generation("p", "y", 20_000, 500), "i-0")
        self.assertLess(placement.urgency("warm", 1), placement.urgency("cold", 1))

    def test_a_rank_above_the_maximum_is_treated_as_the_last(self) -> None:
        placement = make_placement()
        self.assertEqual(placement.urgency("unknown", 99), placement.urgency("unknown", 2))


class OwnLoad(unittest.TestCase):
    def test_load_rises_with_dispatches_and_ends_with_the_request(self) -> None:
        placement = make_placement()
        placement.sent(0.0, "k", generation("p", "x"), "i-0")
        self.assertEqual(placement.load()["i-0"][1:], (1.0, 14_100.0))
        self.assertGreaterEqual(placement.load()["i-0"][0], 2_000.0)
        placement.event(300.0, "k", first=True)
        self.assertEqual(placement.load()["i-0"], (0.0, 1.0, 14_100.0))
        placement.ended(900.0, "k", served=True)
        self.assertEqual(placement.load(), {})

    def test_events_of_unknown_requests_are_ignored(self) -> None:
        placement = make_placement()
        placement.event(0.0, "unknown", first=True)
        placement.ended(0.0, "unknown", served=False)
        self.assertEqual(placement.load(), {})


class AttemptRecords(unittest.TestCase):
    def test_contains_the_inputs_and_the_result_of_a_placement(self) -> None:
        placement = make_placement(fleet=2)
        home = selected_upstream(placement, "p")
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

    def test_distinguishes_cached_placements_from_spills(self) -> None:
        placement = make_placement(fleet=2)
        home = selected_upstream(placement, "p")
        away = next(instance for instance in UPSTREAMS if instance != home)
        for key in ("spill", "holder"):
            placement.sent(0.0, key, generation("p", key), away)
        records = [placement.attempt_record(key) for key in ("spill", "holder")]
        reasons = [record.reason for record in records if record is not None]
        self.assertEqual(reasons, [PlacementReason.SPILL, PlacementReason.CACHED])

    def test_is_none_for_an_ended_attempt(self) -> None:
        placement = make_placement()
        placement.sent(0.0, "k", generation("p", "x"), "i-0")
        placement.ended(1.0, "k", served=True)
        self.assertIsNone(placement.attempt_record("k"))
