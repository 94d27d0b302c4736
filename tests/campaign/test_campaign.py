"""Campaigns with fixed seeds; to run more, use `python -m tests.campaign`."""

from __future__ import annotations

import unittest

import attrs

from tests.campaign.campaign import Campaign, Schedule, draw_schedule
from tests.campaign.faults import Fault, FaultKind
from tests.campaign.shrinking import shrink

# Short campaigns with three to five machines, which take a few seconds together.
SEEDS = (1, 2, 4, 8, 10, 12)


class FixedSeedCampaignTest(unittest.TestCase):
    def test_given_faults_from_a_seed_then_no_invariant_is_violated(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                Campaign(draw_schedule(seed)).run()

    def test_given_one_seed_twice_then_both_runs_are_identical(self) -> None:
        first, second = Campaign(draw_schedule(2)), Campaign(draw_schedule(2))
        first.run()
        second.run()
        self.assertEqual([str(call) for call in first.history.calls], [str(c) for c in second.history.calls])
        self.assertEqual(first.player.losses.log, second.player.losses.log)


class ScheduleShrinkingTest(unittest.TestCase):
    def test_given_two_faults_that_cause_the_failure_then_only_they_remain(self) -> None:
        seed = next(seed for seed in SEEDS if len(draw_schedule(seed).rounds) == 2)
        schedule = attrs.evolve(draw_schedule(seed), rounds=(_FAULTS, _FAULTS))

        shrunk = shrink(schedule, _has_wipe_and_kill)

        self.assertEqual(shrunk.rounds, ((_FAULTS[1], _FAULTS[4]),))

    def test_given_only_necessary_faults_then_the_schedule_is_unchanged(self) -> None:
        schedule = attrs.evolve(draw_schedule(1), rounds=((_FAULTS[1], _FAULTS[4]),))
        self.assertEqual(shrink(schedule, _has_wipe_and_kill), schedule)


_FAULTS = tuple(
    Fault(at_ms, kind, 100.0)
    for at_ms, kind in enumerate(
        (
            FaultKind.FREEZE,
            FaultKind.WIPE,
            FaultKind.ISOLATE,
            FaultKind.LEAVE,
            FaultKind.KILL,
            FaultKind.FREEZE,
        )
    )
)


def _has_wipe_and_kill(schedule: Schedule) -> bool:
    return any(
        {FaultKind.WIPE, FaultKind.KILL} <= {fault.kind for fault in faults} for faults in schedule.rounds
    )


if __name__ == "__main__":
    unittest.main()
