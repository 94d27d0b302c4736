"""Stories of the control planes' registry: merging, finality and silence."""

from __future__ import annotations

import unittest

from madderwind.errors import HeartbeatError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.heartbeats import MAX_HEARTBEAT_BYTES, read_heartbeat
from madderwind.registry.registry import DROP_AFTER_MS, Registry

HEARTBEAT_MS = 1000.0
SILENT_MS = 3501.0


def body(sequence: int, state: str = "ready", address: str = "10.0.0.1:80", cold_ms: int = 0) -> bytes:
    return (
        f'{{"service":"s","address":"{address}","zone":"z","version":"v1","slots":4,"state":"{state}",'
        f'"cold_remaining_ms":{cold_ms},"stage":"dual","models":[{{"name":"m"}}],"sequence":{sequence}}}'
    ).encode()


def heard(registry: Registry, now_ms: float, sequence: int, state: str = "ready") -> UpstreamRecord | None:
    return registry.handle_heartbeat(now_ms, "i-1", read_heartbeat("i-1", body(sequence, state)))


class HeartbeatsAreRead(unittest.TestCase):
    def test_unknown_fields_are_passed_over(self) -> None:
        self.assertEqual(read_heartbeat("i-1", body(4)).sequence, 4)

    def test_what_is_no_heartbeat_has_a_typed_error(self) -> None:
        too_long = body(1)[:-1] + b',"more":"' + b"x" * MAX_HEARTBEAT_BYTES + b'"}'
        invalid = [
            b"",
            b"{",
            b"[]",
            b"\xff",
            b"{}",
            body(1, state="asleep"),
            body(1, address="nowhere"),
            too_long,
        ]
        invalid += [body(1, address="10.0.0.1:0"), body(1, address="10.0.0.1:99999"), body(1, address=":80")]
        for bad in invalid:
            with self.subTest(bad[:60]), self.assertRaises(HeartbeatError):
                read_heartbeat("i-1", bad)
        with self.assertRaises(HeartbeatError):
            read_heartbeat("", body(1))


class RecordsMergeBySequence(unittest.TestCase):
    def test_a_new_upstream_is_notified_and_a_plain_heartbeat_is_not(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        first = heard(registry, 0.0, 1)
        assert first is not None
        self.assertEqual((first.instance, first.state, first.slots), ("i-1", "ready", 4))
        self.assertIsNone(heard(registry, 1000.0, 2))

    def test_a_moved_address_is_notified_and_a_late_heartbeat_changes_nothing(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 1)
        moved = registry.handle_heartbeat(1.0, "i-1", read_heartbeat("i-1", body(3, address="10.0.0.2:80")))
        assert moved is not None
        self.assertEqual(moved.address, "10.0.0.2:80")
        self.assertIsNone(heard(registry, 2.0, 2))
        self.assertEqual(registry.snapshot(3.0)[0].address, "10.0.0.2:80")

    def test_draining_is_final_even_with_a_late_sequence(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 5)
        drained = heard(registry, 10.0, 4, "draining")
        assert drained is not None
        self.assertEqual(drained.state, "draining")
        heard(registry, 20.0, 9)
        self.assertEqual(registry.snapshot(30.0)[0].state, "draining")

    def test_gone_is_final_also_for_an_instance_never_heard(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        gone = registry.deregister(0.0, "i-1")
        assert gone is not None
        self.assertEqual(gone.state, "gone")
        self.assertIsNone(registry.deregister(1.0, "i-1"))
        heard(registry, 10.0, 1)
        self.assertEqual(registry.snapshot(20.0)[0].state, "gone")

    def test_two_registries_end_alike_whatever_the_order(self) -> None:
        ours, theirs = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        heard(ours, 0.0, 1)
        drained = heard(ours, 1.0, 2, "draining")
        heard(theirs, 0.0, 1)
        heard(theirs, 1.0, 3)
        assert drained is not None
        self.assertEqual(len(theirs.merge(2.0, [drained])), 1)
        ours.merge(2.0, theirs.snapshot(2.0))
        self.assertEqual([r.state for r in ours.snapshot(3.0)], ["draining"])
        self.assertEqual(ours.snapshot(3.0), theirs.snapshot(3.0))
        self.assertEqual(ours.merge(4.0, theirs.snapshot(4.0)), ())


class SilenceIsAHint(unittest.TestCase):
    def ticked_until(
        self, registry: Registry, start_ms: float, end_ms: float, hears_all: bool = True
    ) -> list[UpstreamRecord]:
        notified: list[UpstreamRecord] = []
        now_ms = start_ms
        while now_ms <= end_ms:
            notified += registry.tick(now_ms, hears_all)
            now_ms += 250.0
        return notified

    def test_timeout_is_notified_once_and_the_return_as_well(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 1)
        notified = self.ticked_until(registry, 0.0, SILENT_MS + 1000.0)
        self.assertEqual(len(notified), 1)
        self.assertGreater(notified[0].heartbeat_age_ms, 3500.0)
        self.assertEqual(notified[0].state, "ready")
        heard(registry, 5000.0, 2)
        back = registry.tick(5000.0, True)
        self.assertEqual([record.heartbeat_age_ms for record in back], [0.0])

    def test_who_does_not_hear_all_control_planes_tells_no_timeout(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 1)
        self.assertEqual(self.ticked_until(registry, 0.0, 9000.0, hears_all=False), [])

    def test_another_control_plane_hears_it(self) -> None:
        here, there = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        record = heard(there, 0.0, 1)
        assert record is not None
        here.merge(0.0, [record])
        for second in range(1, 9):
            heard(there, second * 1000.0, 1 + second)
            self.assertTrue(here.merge_liveness(second * 1000.0, there.take_liveness(second * 1000.0)))
            self.assertEqual(here.tick(second * 1000.0, True), ())
        self.assertEqual(there.take_liveness(9000.0), ())

    def test_an_unknown_instance_in_a_report_asks_for_all(self) -> None:
        here, there = Registry(HEARTBEAT_MS), Registry(HEARTBEAT_MS)
        heard(there, 0.0, 1)
        self.assertFalse(here.merge_liveness(1.0, there.take_liveness(1.0)))

    def test_a_pause_of_this_process_is_no_timeout(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 1)
        registry.tick(100.0, True)
        self.assertEqual(registry.tick(20_000.0, True), ())
        self.assertLess(registry.snapshot(20_000.0)[0].heartbeat_age_ms, 200.0)

    def test_the_long_timed_out_is_forgotten_without_a_word(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        heard(registry, 0.0, 1)
        notified = self.ticked_until(registry, 0.0, DROP_AFTER_MS + 500.0)
        self.assertEqual([record.state for record in notified], ["ready"])
        self.assertEqual(len(registry), 0)

    def test_an_old_record_of_a_peer_is_not_taken_up_again(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        old = UpstreamRecord("i-1", "s", "10.0.0.1:80", "z", "v1", 4, "ready", 1, 0.0, DROP_AFTER_MS + 1.0)
        self.assertEqual(registry.merge(0.0, [old]), ())
        self.assertEqual(len(registry), 0)


if __name__ == "__main__":
    unittest.main()


class ARegistryThatIsRestored(unittest.TestCase):
    def restored(self, *records: UpstreamRecord) -> dict[str, float]:
        """The ages of the heartbeats of what a control plane with this checkpoint publishes first."""
        registry = Registry(HEARTBEAT_MS)
        registry.restore(90_000.0, records)
        return {record.instance: record.heartbeat_age_ms for record in registry.snapshot(90_000.0)}

    def stored(self, instance: str, age_ms: float, address: str = "10.0.0.1:80") -> UpstreamRecord:
        return UpstreamRecord(instance, "s", address, "z", "v1", 4, "ready", 1, 0.0, age_ms)

    def test_takes_who_called_lately_as_heard_of_now(self) -> None:
        self.assertEqual(self.restored(self.stored("i-1", SILENT_MS - 2.0)), {"i-1": 0.0})

    def test_still_counts_who_had_timed_out_as_timed_out(self) -> None:
        self.assertEqual(self.restored(self.stored("i-1", 9_000.0)), {"i-1": 9_000.0})

    def test_counts_who_lost_its_address_as_timed_out(self) -> None:
        ages = self.restored(
            self.stored("old", 2_000.0), self.stored("new", 100.0), self.stored("far", 2_000.0, "b:1")
        )
        self.assertEqual((ages["new"], ages["far"]), (0.0, 0.0))
        self.assertGreaterEqual(ages["old"], SILENT_MS - 1.0)

    def test_hears_of_one_that_calls_again(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.restore(90_000.0, (self.stored("i-1", 9_000.0),))
        self.assertIsNone(heard(registry, 90_100.0, 2))
        self.assertEqual([record.heartbeat_age_ms for record in registry.tick(90_200.0, True)], [100])
