"""Tests of the control planes' registry: merging, final states, time-outs and restoration."""

from __future__ import annotations

import unittest

from madderwind.errors import HeartbeatError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.heartbeats import MAX_HEARTBEAT_BYTES, read_heartbeat
from madderwind.registry.registry import DROP_AFTER_MS, Registry

HEARTBEAT_MS = 1000.0
TIMED_OUT_MS = 3501.0


def body(sequence: int, state: str = "ready", address: str = "10.0.0.1:80", slow_start_ms: int = 0) -> bytes:
    return (
        f'{{"service":"s","address":"{address}","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":{slow_start_ms},"stage":"dual","models":[{{"name":"m"}}],"sequence":{sequence}}}'
    ).encode()


def handle_heartbeat(
    registry: Registry, now_ms: float, sequence: int, state: str = "ready"
) -> UpstreamRecord | None:
    return registry.handle_heartbeat(now_ms, "i-1", read_heartbeat("i-1", body(sequence, state)))


class HeartbeatParsing(unittest.TestCase):
    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(read_heartbeat("i-1", body(4)).sequence, 4)

    def test_invalid_heartbeat_raises_heartbeat_error(self) -> None:
        too_long = body(1)[:-1] + b',"more":"' + b"x" * MAX_HEARTBEAT_BYTES + b'"}'
        invalid_bodies = [
            b"",
            b"{",
            b"[]",
            b"\xff",
            b"{}",
            body(1, state="asleep"),
            body(1, address="nowhere"),
            too_long,
        ]
        invalid_bodies += [
            body(1, address="10.0.0.1:0"),
            body(1, address="10.0.0.1:99999"),
            body(1, address=":80"),
        ]
        for invalid_body in invalid_bodies:
            with self.subTest(invalid_body[:60]), self.assertRaises(HeartbeatError):
                read_heartbeat("i-1", invalid_body)
        with self.assertRaises(HeartbeatError):
            read_heartbeat("", body(1))

    def test_id_that_no_header_can_hold_raises_heartbeat_error(self) -> None:
        # Guards against an upstream that is accepted and ends each request that is sent to it with 500.
        for instance in ("a\nb", "a\rb", "a\x00", "\x7f", "a\ud800"):
            with self.subTest(ascii(instance)), self.assertRaises(HeartbeatError):
                read_heartbeat(instance, body(1))
        for instance in ("a b", "a\tb", "caf\u00e9", "\U0001f600"):
            self.assertEqual(read_heartbeat(instance, body(4)).sequence, 4)


class MergeBySequence(unittest.TestCase):
    def test_new_upstream_is_published_and_an_unchanged_one_is_not(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        first = handle_heartbeat(registry, 0.0, 1)
        assert first is not None
        self.assertEqual((first.instance, first.state, first.slots), ("i-1", "ready", 4))
        self.assertIsNone(handle_heartbeat(registry, 1000.0, 2))

    def test_new_address_is_published_and_a_late_heartbeat_is_ignored(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 1)
        changed = registry.handle_heartbeat(1.0, "i-1", read_heartbeat("i-1", body(3, address="10.0.0.2:80")))
        assert changed is not None
        self.assertEqual(changed.address, "10.0.0.2:80")
        self.assertIsNone(handle_heartbeat(registry, 2.0, 2))
        self.assertEqual(registry.snapshot(3.0)[0].address, "10.0.0.2:80")

    def test_draining_is_final_even_with_an_older_sequence(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 5)
        draining = handle_heartbeat(registry, 10.0, 4, "draining")
        assert draining is not None
        self.assertEqual(draining.state, "draining")
        handle_heartbeat(registry, 20.0, 9)
        self.assertEqual(registry.snapshot(30.0)[0].state, "draining")

    def test_deregistration_of_an_unknown_instance_is_final(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        deregistered = registry.deregister(0.0, "i-1")
        assert deregistered is not None
        self.assertEqual(deregistered.state, "gone")
        self.assertIsNone(registry.deregister(1.0, "i-1"))
        handle_heartbeat(registry, 10.0, 1)
        self.assertEqual(registry.snapshot(20.0)[0].state, "gone")

    def test_registries_converge_in_any_merge_order(self) -> None:
        first_registry, second_registry = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        handle_heartbeat(first_registry, 0.0, 1)
        draining = handle_heartbeat(first_registry, 1.0, 2, "draining")
        handle_heartbeat(second_registry, 0.0, 1)
        handle_heartbeat(second_registry, 1.0, 3)
        assert draining is not None
        self.assertEqual(len(second_registry.merge(2.0, [draining])), 1)
        first_registry.merge(2.0, second_registry.snapshot(2.0))
        self.assertEqual([r.state for r in first_registry.snapshot(3.0)], ["draining"])
        self.assertEqual(first_registry.snapshot(3.0), second_registry.snapshot(3.0))
        self.assertEqual(first_registry.merge(4.0, second_registry.snapshot(4.0)), ())


class Timeouts(unittest.TestCase):
    def tick_until(
        self, registry: Registry, start_ms: float, end_ms: float, all_peers_reported: bool = True
    ) -> list[UpstreamRecord]:
        published: list[UpstreamRecord] = []
        now_ms = start_ms
        while now_ms <= end_ms:
            published += registry.tick(now_ms, all_peers_reported)
            now_ms += 250.0
        return published

    def test_timeout_and_recovery_are_each_published_once(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 1)
        published = self.tick_until(registry, 0.0, TIMED_OUT_MS + 1000.0)
        self.assertEqual(len(published), 1)
        self.assertGreater(published[0].heartbeat_age_ms, 3500.0)
        self.assertEqual(published[0].state, "ready")
        handle_heartbeat(registry, 5000.0, 2)
        recovered = registry.tick(5000.0, True)
        self.assertEqual([record.heartbeat_age_ms for record in recovered], [0.0])

    def test_no_timeout_is_published_without_reports_of_all_peers(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 1)
        self.assertEqual(self.tick_until(registry, 0.0, 9000.0, all_peers_reported=False), [])

    def test_upstream_that_a_peer_reports_does_not_time_out(self) -> None:
        local, peer = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        record = handle_heartbeat(peer, 0.0, 1)
        assert record is not None
        local.merge(0.0, [record])
        for second in range(1, 9):
            handle_heartbeat(peer, second * 1000.0, 1 + second)
            self.assertTrue(local.merge_liveness(second * 1000.0, peer.take_liveness(second * 1000.0)))
            self.assertEqual(local.tick(second * 1000.0, True), ())
        self.assertEqual(peer.take_liveness(9000.0), ())

    def test_report_with_an_unknown_instance_is_incomplete(self) -> None:
        local, peer = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        handle_heartbeat(peer, 0.0, 1)
        self.assertFalse(local.merge_liveness(1.0, peer.take_liveness(1.0)))

    def test_stall_of_this_process_causes_no_timeout(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 1)
        registry.tick(100.0, True)
        self.assertEqual(registry.tick(20_000.0, True), ())
        self.assertLess(registry.snapshot(20_000.0)[0].heartbeat_age_ms, 200.0)

    def test_long_timed_out_upstream_is_dropped_without_notification(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        handle_heartbeat(registry, 0.0, 1)
        published = self.tick_until(registry, 0.0, DROP_AFTER_MS + 500.0)
        self.assertEqual([record.state for record in published], ["ready"])
        self.assertEqual(len(registry), 0)

    def test_expired_record_of_a_peer_is_not_added(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        old = UpstreamRecord("i-1", "s", "10.0.0.1:80", "z", "v1", 4, "ready", 1, 0.0, DROP_AFTER_MS + 1.0)
        self.assertEqual(registry.merge(0.0, [old]), ())
        self.assertEqual(len(registry), 0)


if __name__ == "__main__":
    unittest.main()


class RestoredRegistry(unittest.TestCase):
    def restored(self, *records: UpstreamRecord) -> dict[str, float]:
        """The heartbeat ages that a control plane publishes after restoring these records."""
        registry = Registry(HEARTBEAT_MS)
        registry.restore(90_000.0, records)
        return {record.instance: record.heartbeat_age_ms for record in registry.snapshot(90_000.0)}

    def stored(self, instance: str, age_ms: float, address: str = "10.0.0.1:80") -> UpstreamRecord:
        return UpstreamRecord(instance, "s", address, "z", "v1", 4, "ready", 1, 0.0, age_ms)

    def test_instance_with_a_recent_heartbeat_is_restored_as_alive(self) -> None:
        self.assertEqual(self.restored(self.stored("i-1", TIMED_OUT_MS - 2.0)), {"i-1": 0.0})

    def test_timed_out_instance_is_restored_as_timed_out(self) -> None:
        self.assertEqual(self.restored(self.stored("i-1", 9_000.0)), {"i-1": 9_000.0})

    def test_superseded_instance_is_restored_as_timed_out(self) -> None:
        ages = self.restored(
            self.stored("old", 2_000.0), self.stored("new", 100.0), self.stored("far", 2_000.0, "b:1")
        )
        self.assertEqual((ages["new"], ages["far"]), (0.0, 0.0))
        self.assertGreaterEqual(ages["old"], TIMED_OUT_MS - 1.0)

    def test_restored_instance_recovers_with_its_next_heartbeat(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.restore(90_000.0, (self.stored("i-1", 9_000.0),))
        self.assertIsNone(handle_heartbeat(registry, 90_100.0, 2))
        self.assertEqual([record.heartbeat_age_ms for record in registry.tick(90_200.0, True)], [100])
