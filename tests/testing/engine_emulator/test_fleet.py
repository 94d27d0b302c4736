"""In-memory data planes and emulated model servers: placement compared with other policies, and faults."""

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
BASE_EXPERIMENT = Experiment(
    "base", "", data_planes=4, upstreams=4, kinds=[LONG, SHORT], for_s=12.0, report_ms=25.0
)


def simulate(experiment: Experiment, policy: str = "placement") -> Figures:
    return figures(policy, experiment, Fleet(experiment, policy, 1).run())


class PolicyTest(unittest.TestCase):
    def test_placement_repeats_fewer_prefills_and_earns_more_than_the_other_policies(self) -> None:
        placement = simulate(BASE_EXPERIMENT)
        self.assertEqual(placement.served, 1.0)
        for policy in ("random", "round-robin", "least-loaded", "idle-first"):
            other = simulate(BASE_EXPERIMENT, policy)
            self.assertLess(placement.reread, other.reread / 2, policy)
            self.assertGreater(placement.net, other.net, policy)

    def test_placement_without_load_reports_still_repeats_few_prefills(self) -> None:
        isolated, other = (
            simulate(attrs.evolve(BASE_EXPERIMENT, report_ms=0.0)),
            simulate(BASE_EXPERIMENT, "least-loaded"),
        )
        self.assertLess(isolated.reread, other.reread / 2)
        self.assertGreater(isolated.net, other.net)

    def test_a_run_is_deterministic_for_a_seed(self) -> None:
        self.assertEqual(table([simulate(BASE_EXPERIMENT)]), table([simulate(BASE_EXPERIMENT)]))


class FaultTest(unittest.TestCase):
    def test_all_requests_that_arrive_after_a_crash_are_served(self) -> None:
        experiment = attrs.evolve(BASE_EXPERIMENT, crashes=[Crash(at_s=4.0, for_s=3.0)])
        served = Fleet(experiment, "placement", 1).run()
        after_crash = [request for request in served if request.arrival.at_ms >= 4_000.0]
        self.assertTrue(all(request.complete for request in after_crash))
        self.assertLess(sum(not request.complete for request in served), 20)

    def test_a_release_loses_no_request(self) -> None:
        experiment = attrs.evolve(BASE_EXPERIMENT, releases=[Release(at_s=3.0, gap_s=1.0, count=4)])
        self.assertEqual(simulate(experiment).served, 1.0)

    def test_a_burst_on_one_shared_part_is_served(self) -> None:
        burst = Burst(at_s=3.0, for_s=6.0, kind="long", factor=2.0, hot_share=0.6)
        hot, base = simulate(attrs.evolve(BASE_EXPERIMENT, bursts=[burst])), simulate(BASE_EXPERIMENT)
        self.assertEqual(hot.served, 1.0)
        self.assertGreater(hot.net, base.net - 0.1)
