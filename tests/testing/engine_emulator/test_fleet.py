"""Data planes before stand-in model servers, in memory: what the placement is worth, and what faults cost."""

from __future__ import annotations

import unittest

import attrs

from madderwind.testing.engine_emulator.experiment import Crash, Experiment, Release
from madderwind.testing.engine_emulator.fleet import Fleet
from madderwind.testing.engine_emulator.report import Figures, figures, table
from madderwind.testing.engine_emulator.workload import Burst, Kind, SharedPart, Tokens

LONG = Kind(
    "long", 6.0, [SharedPart(Tokens(12_000, 0.5), 60, 0.3)], Tokens(2_500, 0.8), Tokens(40), 800, 250, 2, 0.6
)
SHORT = Kind("short", 6.0, [SharedPart(Tokens(300), 40)], Tokens(900, 0.8), Tokens(80), 500, 250, 1, 0.3)
CALM = Experiment("calm", "", data_planes=4, upstreams=4, kinds=[LONG, SHORT], for_s=12.0, report_ms=25.0)


def played(experiment: Experiment, policy: str = "placement") -> Figures:
    return figures(policy, experiment, Fleet(experiment, policy, 1).run())


class Calm(unittest.TestCase):
    def test_placement_reads_less_again_and_earns_more_than_any_other_policy(self) -> None:
        placed = played(CALM)
        self.assertEqual(placed.served, 1.0)
        for policy in ("random", "round-robin", "least-loaded", "idle-first"):
            other = played(CALM, policy)
            self.assertLess(placed.reread, other.reread / 2, policy)
            self.assertGreater(placed.net, other.net, policy)

    def test_without_word_of_each_other_it_still_reads_little_again(self) -> None:
        deaf, other = played(attrs.evolve(CALM, report_ms=0.0)), played(CALM, "least-loaded")
        self.assertLess(deaf.reread, other.reread / 2)
        self.assertGreater(deaf.net, other.net)

    def test_one_seed_is_one_run(self) -> None:
        self.assertEqual(table([played(CALM)]), table([played(CALM)]))


class Troubles(unittest.TestCase):
    def test_after_a_crash_all_that_comes_is_served(self) -> None:
        experiment = attrs.evolve(CALM, crashes=[Crash(at_s=4.0, for_s=3.0)])
        served = Fleet(experiment, "placement", 1).run()
        later = [one for one in served if one.arrival.at_ms >= 4_000.0]
        self.assertTrue(all(one.complete for one in later))
        self.assertLess(sum(not one.complete for one in served), 20)

    def test_a_release_loses_nothing(self) -> None:
        experiment = attrs.evolve(CALM, releases=[Release(at_s=3.0, gap_s=1.0, count=4)])
        self.assertEqual(played(experiment).served, 1.0)

    def test_a_hot_subject_is_carried_by_several(self) -> None:
        burst = Burst(at_s=3.0, for_s=6.0, kind="long", factor=2.0, hot_share=0.6)
        hot, calm = played(attrs.evolve(CALM, bursts=[burst])), played(CALM)
        self.assertEqual(hot.served, 1.0)
        self.assertGreater(hot.net, calm.net - 0.1)
