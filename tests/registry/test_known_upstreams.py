"""Tests of a data plane's view of the upstreams."""

from __future__ import annotations

import unittest

from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.known_upstreams import KnownUpstreams


def record(
    state: str = "ready",
    sequence: int = 1,
    heartbeat_age_ms: float = 0.0,
    instance: str = "i-1",
    service: str = "s",
    address: str = "10.0.0.1:80",
) -> UpstreamRecord:
    return UpstreamRecord(instance, service, address, "z", "v1", 4, state, sequence, 0.0, heartbeat_age_ms)


class MergedUpstreams(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = KnownUpstreams(1000.0)

    def test_published_upstream_accepts_requests(self) -> None:
        self.assertEqual(self.upstreams.merge(0.0, [record()]), ("i-1",))
        self.assertTrue(self.upstreams.takes_new("i-1"))
        self.assertEqual(self.upstreams.address("i-1"), "10.0.0.1:80")
        self.assertEqual([known.instance for known in self.upstreams.upstreams_of_service("s")], ["i-1"])
        self.assertFalse(self.upstreams.takes_new("i-2"))

    def test_draining_is_not_undone_by_a_later_ready_record(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.assertEqual(self.upstreams.merge(1.0, [record("draining", 2)]), ("i-1",))
        self.upstreams.merge(2.0, [record("ready", 3)])
        self.assertFalse(self.upstreams.takes_new("i-1"))
        self.assertEqual(self.upstreams.address("i-1"), "10.0.0.1:80")

    def test_deregistered_upstream_is_removed_for_good(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.assertEqual(self.upstreams.merge(1.0, [record("gone", 2)]), ("i-1",))
        self.assertEqual(self.upstreams.merge(2.0, [record("ready", 3)]), ())
        self.assertIsNone(self.upstreams.address("i-1"))
        self.assertEqual(self.upstreams.upstreams_of_service("s"), [])

    def test_merge_of_an_empty_registry_removes_nothing(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(99_000.0, [])
        self.assertTrue(self.upstreams.takes_new("i-1"))

    def test_timeout_is_a_hint_that_a_response_clears(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(5000.0, [record(heartbeat_age_ms=4000.0)])
        self.assertTrue(self.upstreams.is_timed_out("i-1"))
        self.assertTrue(self.upstreams.takes_new("i-1"))
        self.upstreams.mark_answered("i-1")
        self.assertFalse(self.upstreams.is_timed_out("i-1"))

    def test_upstream_that_changes_service_is_found_under_the_new_one(self) -> None:
        self.upstreams.merge(0.0, [record()])
        self.upstreams.merge(1.0, [record(sequence=2, service="t")])
        self.assertEqual(self.upstreams.upstreams_of_service("s"), [])
        self.assertEqual(len(self.upstreams.upstreams_of_service("t")), 1)

    def test_upstream_in_an_unknown_state_accepts_no_requests(self) -> None:
        self.upstreams.merge(0.0, [record("warming")])
        self.assertFalse(self.upstreams.takes_new("i-1"))


if __name__ == "__main__":
    unittest.main()


class ReusedAddresses(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = KnownUpstreams(1000.0)
        self.upstreams.merge(0.0, [record(instance="old")])

    def test_instance_is_superseded_by_another_at_its_address(self) -> None:
        self.assertFalse(self.upstreams.is_superseded("old"))
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.assertTrue(self.upstreams.is_superseded("old"))
        self.assertFalse(self.upstreams.is_superseded("new"))
        self.assertTrue(self.upstreams.takes_new("old"))

    def test_heartbeat_ages_show_the_newer_instance_after_a_restart(self) -> None:
        restarted = KnownUpstreams(1000.0)
        restarted.merge(50_000.0, [record(instance="new", heartbeat_age_ms=400.0)])
        restarted.merge(50_000.0, [record(instance="old", heartbeat_age_ms=4_000.0)])
        self.assertTrue(restarted.is_superseded("old"))
        self.assertFalse(restarted.is_superseded("new"))

    def test_instance_with_a_later_heartbeat_is_not_superseded(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(12_000.0, [record(instance="old", sequence=2)])
        self.assertFalse(self.upstreams.is_superseded("old"))

    def test_instance_that_moves_to_another_address_is_not_superseded(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(
            9_500.0, [record(instance="old", sequence=2, address="10.0.0.9:80", heartbeat_age_ms=9_500.0)]
        )
        self.assertFalse(self.upstreams.is_superseded("old"))

    def test_instance_whose_successor_is_deregistered_is_not_superseded(self) -> None:
        self.upstreams.merge(9_000.0, [record(instance="new")])
        self.upstreams.merge(9_500.0, [record("gone", 2, instance="new")])
        self.assertFalse(self.upstreams.is_superseded("old"))
