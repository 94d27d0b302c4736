"""Stories of a data plane's view of the upstreams."""

from __future__ import annotations

import unittest

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.known_upstreams import KnownUpstreams


def record(
    state: str = "ready",
    sequence: int = 1,
    timed_out_ms: float = 0.0,
    instance: str = "i-1",
    service: str = "s",
    address: str = "10.0.0.1:80",
) -> UpstreamRecord:
    return UpstreamRecord(instance, service, address, "z", "v1", 4, state, sequence, 0.0, timed_out_ms)


class AViewOfUpstreams(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = KnownUpstreams(1000.0)

    def test_a_notified_upstream_takes_requests(self) -> None:
        self.assertEqual(self.upstreams.merge(0.0, [record()]), ("i-1",))
        self.assertTrue(self.upstreams.takes_new("i-1"))
        self.assertEqual(self.upstreams.address("i-1"), "10.0.0.1:80")
        self.assertEqual([known.instance for known in self.upstreams.of_service("s")], ["i-1"])
        self.assertFalse(self.upstreams.takes_new("i-2"))

    def test_draining_is_final_whoever_says_ready_later(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.assertEqual(self.upstreams.merge(1.0, [record("draining", 2)]), ("i-1",))
        self.upstreams.merge(2.0, [record("ready", 3)])
        self.assertFalse(self.upstreams.takes_new("i-1"))
        self.assertEqual(self.upstreams.address("i-1"), "10.0.0.1:80")

    def test_gone_is_final_and_known_by_no_service(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.assertEqual(self.upstreams.merge(1.0, [record("gone", 2)]), ("i-1",))
        self.assertEqual(self.upstreams.merge(2.0, [record("ready", 3)]), ())
        self.assertIsNone(self.upstreams.address("i-1"))
        self.assertEqual(self.upstreams.of_service("s"), [])

    def test_an_empty_registry_removes_nothing(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(99_000.0, [])
        self.assertTrue(self.upstreams.takes_new("i-1"))

    def test_timeout_is_a_hint_that_an_answer_clears(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(5000.0, [record(timed_out_ms=4000.0)])
        self.assertTrue(self.upstreams.is_timed_out("i-1"))
        self.assertTrue(self.upstreams.takes_new("i-1"))
        self.upstreams.mark_answered("i-1")
        self.assertFalse(self.upstreams.is_timed_out("i-1"))

    def test_a_moved_service_is_found_under_its_new_name(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(1.0, [record(sequence=2, service="t")])
        self.assertEqual(self.upstreams.of_service("s"), [])
        self.assertEqual(len(self.upstreams.of_service("t")), 1)

    def test_an_unknown_state_takes_no_requests(self) -> None:
        self.upstreams.merge(0.0, [record("warming")])
        self.assertFalse(self.upstreams.takes_new("i-1"))


if __name__ == "__main__":
    unittest.main()


class AnAddressThatIsUsedAgain(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = KnownUpstreams(1000.0)
        self.upstreams.merge(0.0, [record(instance="old")])

    def test_its_former_instance_is_superseded_once_another_calls_from_there(self) -> None:
        self.assertFalse(self.upstreams.is_superseded("old"))
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.assertTrue(self.upstreams.is_superseded("old"))
        self.assertFalse(self.upstreams.is_superseded("new"))
        self.assertTrue(self.upstreams.takes_new("old"))

    def test_after_a_restart_ages_of_heartbeats_tell_which_is_newer(self) -> None:
        restarted = KnownUpstreams(1000.0)
        restarted.merge(50_000.0, [record(instance="new", timed_out_ms=400.0)])
        restarted.merge(50_000.0, [record(instance="old", timed_out_ms=4_000.0)])
        self.assertTrue(restarted.is_superseded("old"))
        self.assertFalse(restarted.is_superseded("new"))

    def test_one_that_calls_again_is_not(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(12_000.0, [record(instance="old", sequence=2)])
        self.assertFalse(self.upstreams.is_superseded("old"))

    def test_one_that_moves_to_another_address_is_not(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(
            9_500.0, [record(instance="old", sequence=2, address="10.0.0.9:80", timed_out_ms=9_500.0)]
        )
        self.assertFalse(self.upstreams.is_superseded("old"))

    def test_nor_one_whose_successor_is_gone(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(9_500.0, [record("gone", 2, instance="new")])
        self.assertFalse(self.upstreams.is_superseded("old"))
