"""Tests of the registry's checkpoint: saving, loading, the writer thread and restoring the registry."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from madderwind.controlplane.checkpoint_writer import CheckpointWriter
from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.registry.registry import Registry

HEARTBEAT_MS = 1_000.0


class InMemoryDisk:
    """An in-memory disk; while `is_full`, each write fails and leaves a torn file."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.is_full = False

    def names(self) -> tuple[str, ...]:
        return tuple(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def create(self, name: str, data: bytes) -> None:
        if self.is_full:
            self.files[name] = data[: len(data) // 2]
            raise StorageError("full")
        self.files[name] = data

    def append(self, name: str, data: bytes) -> None:
        raise AssertionError("a checkpoint is never appended to")

    def remove(self, name: str) -> None:
        del self.files[name]


def upstream(instance: str, state: str = "ready", sequence: int = 5) -> UpstreamRecord:
    return UpstreamRecord(instance, "service", "10.0.0.1:80", "a", "v1", 8, state, sequence, 0.0, 0.0)


class SaveAndLoad(unittest.TestCase):
    def test_newer_of_two_checkpoints_is_loaded(self) -> None:
        disk = InMemoryDisk()
        checkpoint = RegistryCheckpoint(disk)
        checkpoint.save([upstream("i-1")])
        checkpoint.save([upstream("i-1"), upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(disk).load(), (upstream("i-1"), upstream("i-2")))

    def test_previous_checkpoint_is_loaded_after_a_torn_write(self) -> None:
        disk = InMemoryDisk()
        checkpoint = RegistryCheckpoint(disk)
        checkpoint.save([upstream("i-1")])
        disk.is_full = True
        with self.assertRaises(StorageError):
            checkpoint.save([upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(disk).load(), (upstream("i-1"),))

    def test_truncated_file_is_loaded_as_empty(self) -> None:
        disk = InMemoryDisk()
        RegistryCheckpoint(disk).save([upstream("i-1")])
        (name,) = disk.files
        complete = disk.files[name]
        for length in range(len(complete)):
            disk.files[name] = complete[:length]
            self.assertEqual(RegistryCheckpoint(disk).load(), ())
        disk.files[name] = complete
        self.assertEqual(RegistryCheckpoint(disk).load(), (upstream("i-1"),))

    def test_save_after_a_load_has_a_newer_generation(self) -> None:
        disk = InMemoryDisk()
        RegistryCheckpoint(disk).save([upstream("i-1")])
        reloaded = RegistryCheckpoint(disk)
        reloaded.load()
        reloaded.save([upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(disk).load(), (upstream("i-2"),))


class CheckpointWriterOffers(unittest.TestCase):
    def test_saved_records_are_not_written_again(self) -> None:
        writer = CheckpointWriter(RegistryCheckpoint(InMemoryDisk()), lambda records: None)
        self.assertTrue(writer.offer([upstream("i-1")]))
        writer._wanted.clear()  # as the writer thread does after a write
        self.assertFalse(writer.offer([upstream("i-1", sequence=9)]))
        self.assertTrue(writer.offer([upstream("i-1", "draining")]))

    def test_offer_is_declined_during_a_write(self) -> None:
        writer = CheckpointWriter(RegistryCheckpoint(InMemoryDisk()), lambda records: None)
        self.assertTrue(writer.offer([upstream("i-1")]))
        self.assertFalse(writer.offer([upstream("i-2")]))
        writer._wanted.clear()
        self.assertTrue(writer.offer([upstream("i-2")]))

    def test_failed_write_is_retried(self) -> None:
        disk = InMemoryDisk()
        disk.is_full = True
        saved: list[Sequence[UpstreamRecord]] = []
        writer = CheckpointWriter(RegistryCheckpoint(disk), saved.append)
        writer.offer([upstream("i-1")])
        writer._save()
        writer._wanted.clear()
        self.assertEqual(saved, [])
        self.assertTrue(writer.offer([upstream("i-1")]))
        disk.is_full = False
        writer._save()
        self.assertEqual(saved, [[upstream("i-1")]])

    def test_a_record_that_cannot_be_encoded_does_not_end_the_thread(self) -> None:
        saved: list[Sequence[UpstreamRecord]] = []
        writer = CheckpointWriter(RegistryCheckpoint(InMemoryDisk()), saved.append)
        writer.offer([upstream("\ud800")])
        writer._save()
        writer._wanted.clear()
        self.assertTrue(writer.offer([upstream("i-1")]))
        writer._save()
        self.assertEqual(saved, [[upstream("i-1")]])


class RegistryRestoration(unittest.TestCase):
    def test_restored_upstreams_are_known_and_time_out_without_heartbeats(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.merge(0.0, [upstream("i-1"), upstream("i-2", "draining")])
        known = {record.instance: record.state for record in registry.snapshot(10.0)}
        self.assertEqual(known, {"i-1": "ready", "i-2": "draining"})
        registry.tick(500.0, all_peers_reported=True)
        timed_out = [
            record for now in range(1000, 5000, 500) for record in registry.tick(now, all_peers_reported=True)
        ]
        self.assertEqual({record.instance for record in timed_out}, {"i-1", "i-2"})

    def test_draining_from_a_peer_overrides_a_restored_ready_state(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.merge(0.0, [upstream("i-1")])
        registry.merge(1.0, [upstream("i-1", "draining", sequence=4)])
        self.assertEqual([record.state for record in registry.snapshot(2.0)], ["draining"])


if __name__ == "__main__":
    unittest.main()
