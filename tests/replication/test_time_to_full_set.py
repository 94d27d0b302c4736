"""The time from a loss to a full set, over a fixed share of the losses that are drawn by hand."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication.known_peers import KnownPeers
from tests.replication.time_to_full_set import LARGE_STATE_BYTES, SMALL_STATE_BYTES, DrawnLoss, Repair

# Since all processes run and all disks are mended.
SMALL_STATE_MS = 500.0
LARGE_STATE_MS = 1_000.0  # a quarter of the time in which a machine that came back has to be current
# The slowest of the first 1,000 among them.
SEEDS = (*range(1, 13), 47, 152, 348, 500, 593, 668, 713, 819)


def repaired(seed: int, state_bytes: int = SMALL_STATE_BYTES) -> Repair:
    return DrawnLoss(seed, state_bytes).run()


class SetsAreFullAgain(unittest.TestCase):
    def assert_within(self, repair: Repair, most_ms: float) -> None:
        assert repair.since_repaired_ms is not None, f"{repair} came to no end"
        self.assertLessEqual(repair.since_repaired_ms, most_ms, repair)

    def test_given_any_loss_then_the_set_is_full_within_half_a_second(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assert_within(repaired(seed), SMALL_STATE_MS)

    def test_given_a_state_of_4_mib_then_the_set_is_full_within_a_second(self) -> None:
        self.assert_within(repaired(14, LARGE_STATE_BYTES), LARGE_STATE_MS)

    def test_given_timeout_that_is_not_carried_over_then_it_takes_longer(self) -> None:
        with patch.object(KnownPeers, "all", return_value=()):
            repair = repaired(668)
        assert repair.since_repaired_ms is not None
        self.assertGreater(repair.since_repaired_ms, SMALL_STATE_MS)


if __name__ == "__main__":
    unittest.main()
