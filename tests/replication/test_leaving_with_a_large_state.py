"""A member that is asked to end holds one of two copies of a long state: another has it within the grace."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.controlplane.process import SHUTDOWN_RESERVE_S
from madderwind.node_settings import Bounds
from madderwind.replication.membership import MembershipRules
from tests.fleet.machine import Machine
from tests.replication.catch_up import LINK_BYTES_PER_MS, SHORT_ORDER_BYTES, STATE_BYTES, Return, large_states

MS_PER_S = 1000.0
LONG_STATE = STATE_BYTES[16_000]
# How long a leaving member stays at most.
GRACE_MS = (Bounds().grace_s - SHUTDOWN_RESERVE_S) * MS_PER_S
# 210 and 80 Mbit/s.
LINKS_BYTES_PER_MS = (LINK_BYTES_PER_MS, 10_000.0)
AWAY_MS = 2_000.0


class ALeaverThatIsNeeded(unittest.TestCase):
    def play(self, bytes_per_ms: float) -> tuple[float, Return]:
        """Ms from the start of the one that was away until the set does without the leaver, which ends."""
        with large_states():
            story = Return(LONG_STATE, 1, True, SHORT_ORDER_BYTES)
            story.fleet.network.bytes_per_ms = bytes_per_ms
            primary = story.fleet.primary()
            away, leaver = (machine for machine in story.fleet.machines.values() if machine is not primary)
            away.wipe()
            story._go_on(AWAY_MS)
            leaver.ask_to_leave()
            story._go_on(AWAY_MS)
            self.assertTrue(self.is_needed(leaver))
            away.start()
            waited_ms = story.fleet.run_until(lambda: not self.is_needed(leaver), GRACE_MS)
            leaver.remove()
            del story.fleet.machines[leaver.address]
            version = story.version
            story._go_on(AWAY_MS)
        self.assertGreater(story.version, version)
        return waited_ms, story

    def is_needed(self, machine: Machine) -> bool:
        status = machine.status()
        assert status is not None
        return status.is_needed

    def test_has_its_state_at_another_within_the_grace(self) -> None:
        for bytes_per_ms in LINKS_BYTES_PER_MS:
            with self.subTest(bytes_per_ms=bytes_per_ms):
                waited_ms, _ = self.play(bytes_per_ms)
                self.assertLess(waited_ms, GRACE_MS / 2)

    def test_when_the_primary_is_lost_next_then_nothing_is_lost(self) -> None:
        _, story = self.play(LINKS_BYTES_PER_MS[0])
        primary = story.fleet.primary()
        assert primary is not None
        primary.kill()
        story.fleet.clock.after(AWAY_MS, primary.start)
        story.fleet.run(2 * AWAY_MS)
        self.assertEqual(story.version, story.fleet.read_committed().version)

    def test_that_is_let_go_at_once_would_be_noticed(self) -> None:
        with patch.object(MembershipRules, "smallest_in_sync", 1), self.assertRaises(AssertionError):
            self.play(LINKS_BYTES_PER_MS[0])


if __name__ == "__main__":
    unittest.main()
