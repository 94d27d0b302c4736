"""The registry's copy on disk, and what a start makes of it."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from madderwind.controlplane.checkpoint_writer import CheckpointWriter
from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.registry.registry import Registry

HEARTBEAT_MS = 1_000.0


class FolderInMemory:
    """Files by name; `is_full` refuses every write and tears the file."""

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
        raise AssertionError("a copy is never appended to")

    def remove(self, name: str) -> None:
        del self.files[name]


def upstream(instance: str, state: str = "ready", sequence: int = 5) -> UpstreamRecord:
    return UpstreamRecord(instance, "service", "10.0.0.1:80", "a", "v1", 8, state, sequence, 0.0, 0.0)


class SavingAndLoading(unittest.TestCase):
    def test_given_two_saves_then_a_start_reads_the_newer(self) -> None:
        folder = FolderInMemory()
        copy = RegistryCheckpoint(folder)
        copy.save([upstream("i-1")])
        copy.save([upstream("i-1"), upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(folder).load(), (upstream("i-1"), upstream("i-2")))

    def test_given_a_torn_write_then_a_start_reads_the_copy_before_it(self) -> None:
        folder = FolderInMemory()
        copy = RegistryCheckpoint(folder)
        copy.save([upstream("i-1")])
        folder.is_full = True
        with self.assertRaises(StorageError):
            copy.save([upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(folder).load(), (upstream("i-1"),))

    def test_given_every_prefix_of_a_file_then_it_reads_as_nothing_or_whole(self) -> None:
        folder = FolderInMemory()
        RegistryCheckpoint(folder).save([upstream("i-1")])
        (name,) = folder.files
        whole = folder.files[name]
        for length in range(len(whole)):
            folder.files[name] = whole[:length]
            self.assertEqual(RegistryCheckpoint(folder).load(), ())
        folder.files[name] = whole
        self.assertEqual(RegistryCheckpoint(folder).load(), (upstream("i-1"),))

    def test_given_a_load_then_the_next_save_is_newer_than_what_was_loaded(self) -> None:
        folder = FolderInMemory()
        RegistryCheckpoint(folder).save([upstream("i-1")])
        again = RegistryCheckpoint(folder)
        again.load()
        again.save([upstream("i-2")])
        self.assertEqual(RegistryCheckpoint(folder).load(), (upstream("i-2"),))


class OfferingToTheThread(unittest.TestCase):
    def test_given_what_is_saved_already_then_it_is_not_handed_over_again(self) -> None:
        saver = CheckpointWriter(RegistryCheckpoint(FolderInMemory()), lambda records: None)
        self.assertTrue(saver.offer([upstream("i-1")]))
        saver._wanted.clear()  # as the thread does after its write
        self.assertFalse(saver.offer([upstream("i-1", sequence=9)]))
        self.assertTrue(saver.offer([upstream("i-1", "draining")]))

    def test_given_a_write_under_way_then_an_offer_waits_for_the_next(self) -> None:
        saver = CheckpointWriter(RegistryCheckpoint(FolderInMemory()), lambda records: None)
        self.assertTrue(saver.offer([upstream("i-1")]))
        self.assertFalse(saver.offer([upstream("i-2")]))
        saver._wanted.clear()
        self.assertTrue(saver.offer([upstream("i-2")]))

    def test_given_a_disk_that_refuses_then_the_same_is_offered_again(self) -> None:
        folder = FolderInMemory()
        folder.is_full = True
        notified: list[Sequence[UpstreamRecord]] = []
        saver = CheckpointWriter(RegistryCheckpoint(folder), notified.append)
        saver.offer([upstream("i-1")])
        saver._save()
        saver._wanted.clear()
        self.assertEqual(notified, [])
        self.assertTrue(saver.offer([upstream("i-1")]))
        folder.is_full = False
        saver._save()
        self.assertEqual(notified, [[upstream("i-1")]])


class RestoringTheRegistry(unittest.TestCase):
    def test_given_a_copy_then_its_upstreams_are_known_until_they_stay_timed_out(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.merge(0.0, [upstream("i-1"), upstream("i-2", "draining")])
        known = {record.instance: record.state for record in registry.snapshot(10.0)}
        self.assertEqual(known, {"i-1": "ready", "i-2": "draining"})
        registry.tick(500.0, all_peers_reported=True)
        timed_out = [
            record for now in range(1000, 5000, 500) for record in registry.tick(now, all_peers_reported=True)
        ]
        self.assertEqual({record.instance for record in timed_out}, {"i-1", "i-2"})

    def test_given_an_old_ready_copy_then_a_peers_draining_prevails(self) -> None:
        registry = Registry(HEARTBEAT_MS)
        registry.merge(0.0, [upstream("i-1")])
        registry.merge(1.0, [upstream("i-1", "draining", sequence=4)])
        self.assertEqual([record.state for record in registry.snapshot(2.0)], ["draining"])


if __name__ == "__main__":
    unittest.main()
