"""Random campaigns with fixed seeds; more are run by hand with `python -m tests.fleet.campaign`."""

from __future__ import annotations

import unittest

from tests.fleet.campaign import Campaign

SEEDS = range(1, 13)


class CampaignsFindNothing(unittest.TestCase):
    def test_given_random_faults_then_no_promise_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                Campaign(seed).run()

    def test_given_one_seed_twice_then_the_same_happens(self) -> None:
        first, second = Campaign(5), Campaign(5)
        first.run()
        second.run()
        self.assertEqual(first.history.attempts, second.history.attempts)
        self.assertEqual(first.faults.log, second.faults.log)


if __name__ == "__main__":
    unittest.main()
