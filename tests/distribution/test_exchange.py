"""Tests of the exchange of usage, load and dispatches between data planes."""

from __future__ import annotations

import unittest

from madderwind.distribution.exchange import DispatchExchange, LoadExchange, UsageExchange
from madderwind.messages.distribution import (
    DispatchedPrompt,
    DispatchReport,
    LoadReport,
    PeerDispatches,
    PeerLoad,
    PeerUsage,
    UsageReport,
)


class UsageExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.exchange = UsageExchange()
        for name in ("a", "b", "c"):
            self.exchange.join(name)

    def peer_usage(self, participant: str) -> dict[str, float]:
        owed = self.exchange.owed(participant)
        return owed.used if owed is not None else {}

    def test_each_participant_is_sent_the_usage_of_its_peers_once(self) -> None:
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {}))
        self.exchange.report("b", UsageReport(1, {"t": 5.0, "u": 1.0}, {}))
        self.assertEqual(self.peer_usage("a"), {"t": 5.0, "u": 1.0})
        self.assertEqual(self.peer_usage("b"), {"t": 10.0})
        self.assertEqual(self.peer_usage("c"), {"t": 15.0, "u": 1.0})
        self.assertIsNone(self.exchange.owed("c"))

    def test_duplicate_report_counts_once(self) -> None:
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {}))
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {}))
        self.assertEqual(self.peer_usage("b"), {"t": 10.0})

    def test_new_participant_is_not_sent_earlier_usage(self) -> None:
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {"t": 3.0}))
        self.exchange.join("d")
        self.assertEqual(self.exchange.owed("d"), PeerUsage({}, {"t": 3.0}))

    def test_returning_participant_is_sent_the_usage_it_missed(self) -> None:
        self.exchange.suspend("b")
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {}))
        self.exchange.join("b")
        self.assertEqual(self.peer_usage("b"), {"t": 10.0})

    def test_usage_of_a_removed_participant_is_still_sent(self) -> None:
        self.exchange.report("a", UsageReport(1, {"t": 10.0}, {"t": 4.0}))
        self.exchange.remove("a")
        self.assertEqual(self.exchange.owed("b"), PeerUsage({"t": 10.0}, {}))

    def test_demand_rates_are_sent_when_they_change(self) -> None:
        self.exchange.report("a", UsageReport(1, {}, {"t": 100.0}))
        self.assertEqual(self.exchange.owed("b"), PeerUsage({}, {"t": 100.0}))
        self.exchange.report("a", UsageReport(2, {}, {"t": 101.0}))
        self.assertIsNone(self.exchange.owed("b"))
        self.exchange.report("a", UsageReport(3, {}, {"t": 150.0}))
        self.assertEqual(self.exchange.owed("b"), PeerUsage({}, {"t": 150.0}))
        self.exchange.suspend("a")
        self.assertEqual(self.exchange.owed("b"), PeerUsage({}, {}))
        self.assertIsNone(self.exchange.owed("a"))


class LoadExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.exchange = LoadExchange()
        for name in ("a", "b"):
            self.exchange.join(name)

    def test_each_participant_is_sent_the_sum_of_its_peers_when_it_changes(self) -> None:
        self.exchange.join("c")
        self.exchange.report("a", LoadReport({"i": (100.0, 1.0, 500.0)}))
        self.exchange.report("b", LoadReport({"i": (10.0, 2.0, 50.0), "j": (0.0, 1.0, 5.0)}))
        self.assertEqual(self.exchange.owed("c"), PeerLoad({"i": (110, 3, 550), "j": (0, 1, 5)}))
        self.assertEqual(self.exchange.owed("a"), PeerLoad({"i": (10, 2, 50), "j": (0, 1, 5)}))
        self.assertIsNone(self.exchange.owed("c"))

    def test_suspended_participant_has_no_load(self) -> None:
        self.exchange.report("a", LoadReport({"i": (100.0, 1.0, 500.0)}))
        self.assertIsNotNone(self.exchange.owed("b"))
        self.exchange.suspend("a")
        self.assertEqual(self.exchange.owed("b"), PeerLoad({}))

    def test_returning_participant_is_sent_the_complete_sum(self) -> None:
        self.exchange.report("a", LoadReport({"i": (100.0, 1.0, 500.0)}))
        self.exchange.owed("b")
        self.exchange.join("b")
        self.assertEqual(self.exchange.owed("b"), PeerLoad({"i": (100, 1, 500)}))


def prompt(name: str) -> DispatchedPrompt:
    return DispatchedPrompt("i", (name,), (10,))


class DispatchExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.exchange = DispatchExchange()
        for participant in ("a", "b", "c"):
            self.exchange.join(participant)

    def test_each_participant_is_sent_the_dispatches_of_its_peers_in_order_and_once(self) -> None:
        self.exchange.report("a", DispatchReport((prompt("1"), prompt("2"))))
        self.exchange.report("b", DispatchReport((prompt("3"),)))
        self.assertEqual(
            self.exchange.owed(0.0, "c"), PeerDispatches((prompt("1"), prompt("2"), prompt("3")))
        )
        self.assertEqual(self.exchange.owed(0.0, "a"), PeerDispatches((prompt("3"),)))
        self.exchange.report("c", DispatchReport((prompt("4"),)))
        self.assertEqual(self.exchange.owed(0.0, "a"), PeerDispatches((prompt("4"),)))
        self.assertIsNone(self.exchange.owed(0.0, "c"))

    def test_empty_messages_are_sent_at_a_long_interval(self) -> None:
        sent_times_ms = [
            time_ms for time_ms in range(0, 2_000, 25) if self.exchange.owed(float(time_ms), "a")
        ]
        self.assertEqual(sent_times_ms, [0, 400, 800, 1_200, 1_600])

    def test_new_participant_is_sent_only_later_dispatches(self) -> None:
        self.exchange.report("a", DispatchReport((prompt("1"),)))
        self.exchange.join("d")
        self.exchange.report("a", DispatchReport((prompt("2"),)))
        self.assertEqual(self.exchange.owed(0.0, "d"), PeerDispatches((prompt("2"),)))

    def test_retained_reports_are_bounded(self) -> None:
        for _ in range(10_000):
            self.exchange.report("a", DispatchReport((prompt("1"),)))
        dispatches = self.exchange.owed(0.0, "b")
        assert dispatches is not None
        self.assertLessEqual(len(dispatches.prompts), 2_000)

    def test_report_of_a_removed_participant_is_ignored(self) -> None:
        self.exchange.remove("a")
        self.exchange.report("a", DispatchReport((prompt("1"),)))
        self.assertEqual(self.exchange.owed(0.0, "b"), PeerDispatches(()))


if __name__ == "__main__":
    unittest.main()
