"""The record file of a replica under failed writes, killed processes and power losses."""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path

from madderwind.errors import StorageError
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import FileState, RecordFile
from tests.fleet.disk import MemoryDisk, PowerLost


def new_disk(seed: int = 1) -> MemoryDisk:
    return MemoryDisk(random.Random(seed))


class WrittenRecordsAreRecovered(unittest.TestCase):
    def test_given_an_empty_disk_then_no_record_is_recovered_and_an_append_fails(self) -> None:
        file = RecordFile(new_disk())
        self.assertEqual((), file.recover().records)
        with self.assertRaises(StorageError):
            file.append((b"record",))

    def test_given_rewritten_and_appended_records_when_reopened_then_all_are_recovered(self) -> None:
        disk = new_disk()
        file = RecordFile(disk)
        file.rewrite((b"one", b"two"))
        file.append((b"three",))
        file.append((b"four", b"five"))
        self.assertEqual((b"one", b"two", b"three", b"four", b"five"), RecordFile(disk).recover().records)

    def test_given_a_rewrite_then_only_its_records_are_recovered_and_one_file_is_left(self) -> None:
        disk = new_disk()
        file = RecordFile(disk)
        file.rewrite((b"one",))
        file.append((b"two",))
        file.rewrite((b"three",))
        file.append((b"four",))
        self.assertEqual((b"three", b"four"), RecordFile(disk).recover().records)
        self.assertEqual(1, len(disk.names()))

    def test_given_a_reopened_file_then_appends_fail_until_it_is_rewritten(self) -> None:
        disk = new_disk()
        RecordFile(disk).rewrite((b"one",))
        file = RecordFile(disk)
        file.recover()
        with self.assertRaises(StorageError):
            file.append((b"two",))
        file.rewrite((b"one",))
        file.append((b"two",))
        self.assertEqual((b"one", b"two"), RecordFile(disk).recover().records)


class FailedWritesAreNotRepeated(unittest.TestCase):
    def test_given_a_failed_sync_when_the_disk_has_recovered_then_appends_fail_until_a_rewrite(self) -> None:
        disk = new_disk()
        file = RecordFile(disk)
        file.rewrite((b"one",))
        disk.fails_syncs = True
        with self.assertRaises(StorageError):
            file.append((b"two",))
        disk.fails_syncs = False
        with self.assertRaises(StorageError):
            file.append((b"three",))
        self.assertIs(FileState.NEEDS_REWRITE, file.state)
        file.rewrite((b"one", b"two"))
        file.append((b"three",))
        self.assertEqual((b"one", b"two", b"three"), RecordFile(disk).recover().records)

    def test_given_a_full_disk_when_a_rewrite_fails_then_the_old_file_is_still_complete(self) -> None:
        disk = new_disk()
        file = RecordFile(disk)
        file.rewrite((b"one",))
        file.append((b"two",))
        disk.is_full = True
        with self.assertRaises(StorageError):
            file.rewrite((b"three" * 100,))
        self.assertEqual((b"one", b"two"), RecordFile(disk).recover().records)

    def test_given_a_failed_rewrite_that_left_a_complete_file_when_power_is_lost_then_synced_records_survive(
        self,
    ) -> None:
        for seed in range(50):
            disk = new_disk(seed)
            file = RecordFile(disk)
            file.rewrite((b"one",))
            file.append((b"two",))
            disk.fails_syncs = True
            with self.assertRaises(StorageError):
                file.rewrite((b"one", b"two"))
            disk.fails_syncs = False
            reopened = RecordFile(disk)
            found = reopened.recover().records
            reopened.rewrite(found)
            reopened.append((b"three",))
            disk.lose_power()
            self.assertEqual((b"one", b"two", b"three"), RecordFile(disk).recover().records)


class CrashesAtAnyPoint(unittest.TestCase):
    """After a crash in the middle of a write, recovery finds every record synced before it, and possibly part
    of the interrupted write."""

    def test_given_a_crash_during_an_append_then_all_synced_records_are_recovered(self) -> None:
        for seed in range(200):
            disk = new_disk(seed)
            file = RecordFile(disk)
            file.rewrite((b"one",))
            file.append((b"two",))
            disk.goes_down_next = True
            with self.assertRaises(PowerLost):
                file.append((b"three", b"four"))
            if seed % 2:
                disk.lose_power()
            found = RecordFile(disk).recover().records
            self.assertIn(found, [(b"one", b"two", b"three", b"four")[:count] for count in (2, 3, 4)])

    def test_given_a_crash_during_a_rewrite_then_the_old_or_the_new_file_is_recovered_completely(
        self,
    ) -> None:
        for seed in range(200):
            disk = new_disk(seed)
            file = RecordFile(disk)
            file.rewrite((b"one",))
            file.append((b"two",))
            disk.goes_down_next = True
            with self.assertRaises(PowerLost):
                file.rewrite((b"merged",))
            if seed % 2:
                disk.lose_power()
            self.assertIn(RecordFile(disk).recover().records, [(b"one", b"two"), (b"merged",)])

    def test_given_every_prefix_of_a_file_then_it_is_recovered_as_an_older_consistent_state(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = RecordFile(FileDisk(folder))
            file.rewrite((b"one", b"two"))
            for record in (b"three", b"four", b"five"):
                file.append((record,))
            (path,) = Path(folder).iterdir()
            data = path.read_bytes()
            complete = (b"one", b"two", b"three", b"four", b"five")
            older = [(), *(complete[:count] for count in range(2, 6))]
            for length in range(len(data)):
                path.write_bytes(data[:length])
                self.assertIn(RecordFile(FileDisk(folder)).recover().records, older)

    def test_given_power_losses_between_random_writes_then_no_synced_record_is_lost(self) -> None:
        for seed in range(100):
            rng = random.Random(seed)
            disk = new_disk(seed)
            synced: tuple[bytes, ...] = ()
            for incarnation in range(6):
                file = RecordFile(disk)
                found = file.recover().records
                self.assertEqual(synced, found[: len(synced)])
                file.rewrite(found)
                synced = found
                for number in range(rng.randrange(5)):
                    file.append((b"%d-%d" % (incarnation, number),))
                    synced += (b"%d-%d" % (incarnation, number),)
                    if rng.random() < 0.3:
                        file.rewrite(synced)
                disk.goes_down_next = True
                with self.assertRaises(PowerLost):
                    file.append((b"cut short",)) if rng.random() < 0.5 else file.rewrite(synced)
                disk.goes_down_next = False
                if rng.random() < 0.7:
                    disk.lose_power()


class FilesOnARealDisk(unittest.TestCase):
    def test_given_a_missing_folder_then_it_is_created(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = RecordFile(FileDisk(f"{folder}/deep/data"))
            self.assertEqual((), file.recover().records)
            file.rewrite((b"one",))
            file.append((b"two",))
            file.rewrite((b"three",))
            file.append((b"four",))
            self.assertEqual(
                (b"three", b"four"), RecordFile(FileDisk(f"{folder}/deep/data")).recover().records
            )
            self.assertEqual(
                ["replica-00000002.log"], [path.name for path in Path(folder, "deep/data").iterdir()]
            )

    def test_given_a_torn_record_at_the_end_then_the_number_of_dropped_bytes_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            RecordFile(FileDisk(folder)).rewrite((b"one",))
            (path,) = Path(folder).iterdir()
            with path.open("ab") as stream:
                stream.write(b"torn")
            recovered = RecordFile(FileDisk(folder)).recover()
            self.assertEqual((b"one",), recovered.records)
            self.assertEqual(4, recovered.dropped_bytes)

    def test_given_an_unreadable_folder_then_recovery_raises_a_storage_error(self) -> None:
        with tempfile.NamedTemporaryFile() as file, self.assertRaises(StorageError):
            RecordFile(FileDisk(f"{file.name}/folder")).recover()


if __name__ == "__main__":
    unittest.main()
