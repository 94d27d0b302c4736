"""A sample of the cases of `loss_at_each_event`, which runs all of them as a script."""

from __future__ import annotations

import unittest

from tests.replication.loss_at_each_event import FaultyReplacement, ReplacementCause, cases

# Distance between the tested events; the offset differs for each kind of replacement.
STRIDE = 17


class LossAtEachEventTests(unittest.TestCase):
    def test_given_a_fault_at_any_event_then_the_member_set_is_full_and_nothing_is_lost(self) -> None:
        for offset, cause in enumerate(ReplacementCause):
            events = FaultyReplacement(cause).count_events()
            self.assertGreater(events, 50, cause)
            for case in cases(cause, range(offset, events, STRIDE)):
                with self.subTest(case=case):
                    FaultyReplacement(cause).run(case)


if __name__ == "__main__":
    unittest.main()
