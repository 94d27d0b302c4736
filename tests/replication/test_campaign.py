"""Randomized fault campaigns with fixed seeds; run more with `python -m tests.fleet.campaign`."""

from __future__ import annotations

import unittest

from tests.fleet.campaign import Campaign

SEEDS = range(1, 13)


class RandomizedCampaigns(unittest.TestCase):
    def test_given_random_faults_then_no_guarantee_is_violated(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                Campaign(seed).run()

    def test_given_the_same_seed_twice_then_the_runs_are_identical(self) -> None:
        first, second = Campaign(5), Campaign(5)
        first.run()
        second.run()
        self.assertEqual(first.history.attempts, second.history.attempts)
        self.assertEqual(first.faults.log, second.faults.log)


if __name__ == "__main__":
    unittest.main()
