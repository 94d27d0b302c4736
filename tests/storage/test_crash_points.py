"""Crashes after each system call: recovery finds every acknowledged record, whatever the disk retained."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

from madderwind.errors import StorageError
from madderwind.storage import disk as disk_module
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile
from tests.storage.crashing_folder import RecordingSystem, after_power_loss

RECORDS = tuple(b"record-%d" % number for number in range(8))
# Number of folders left by a first crash that are tested with a second one; testing all would take minutes.
MAX_SECOND_INCARNATIONS = 400


class Incarnation:
    """One process incarnation; counts the records begun and acknowledged after each of its system calls."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._system = RecordingSystem(folder)
        self._acknowledged: list[tuple[int, int]] = [(0, 0)]
        self._started: list[tuple[int, int]] = [(0, 0)]
        self.calls = self._system.calls

    def run(self, found: int, script: str) -> None:
        """Recover `found` records, then execute the script: `r` rewrites the file, `a` appends a record."""
        with patch.object(disk_module, "os", self._system):
            disk = FileDisk(str(self._folder))
            file = RecordFile(disk)
            assert file.recover().records == RECORDS[:found]
            count = found
            self._acknowledged = [(0, found)]
            for step in script:
                count += step == "a"
                self._started.append((len(self.calls), count))
                file.rewrite(RECORDS[:count]) if step == "r" else file.append(RECORDS[count - 1 : count])
                self._acknowledged.append((len(self.calls), count))
            disk.close()

    def acknowledged_after(self, calls: int) -> int:
        """Return how many records recovery must find after this many calls."""
        return max(count for made, count in self._acknowledged if made <= calls)

    def started_after(self, calls: int) -> int:
        """Return how many records recovery may find after this many calls."""
        return max(count for made, count in self._started if made <= calls)


class ReadOnlyFolder(FileDisk):
    """A read-only folder with the given contents."""

    def __init__(self, contents: dict[str, bytes]) -> None:
        super().__init__("found")
        self._contents = contents

    def names(self) -> tuple[str, ...]:
        return tuple(self._contents)

    def read(self, name: str) -> bytes:
        return self._contents[name]


def recovered(contents: dict[str, bytes]) -> tuple[bytes, ...]:
    """Return the records that recovery finds in such a folder."""
    return RecordFile(ReadOnlyFolder(contents)).recover().records


def _fill(folder: Path, contents: dict[str, bytes]) -> None:
    for name, data in contents.items():
        (folder / name).write_bytes(data)


def _check(
    incarnation: Incarnation, before: dict[str, bytes], seen: set[tuple[tuple[str, bytes], ...]]
) -> None:
    """Raise AssertionError if a crash of this incarnation loses or invents a record."""
    for count in range(len(incarnation.calls) + 1):
        minimum, maximum = (
            incarnation.acknowledged_after(count),
            max(incarnation.started_after(count), incarnation.acknowledged_after(0)),
        )
        for contents in after_power_loss(incarnation.calls[:count], before):
            key = tuple(sorted(contents.items()))
            found = recovered(contents)
            assert found == RECORDS[: len(found)], (incarnation.calls[:count], found)
            assert minimum <= len(found) <= maximum, (incarnation.calls[:count], contents, found)
            seen.add(key)


def check_every_crash() -> None:
    """Crash a first incarnation that creates, appends and rewrites, then second ones on what it may leave."""
    folders: set[tuple[tuple[str, bytes], ...]] = set()
    with tempfile.TemporaryDirectory() as folder:
        first = Incarnation(Path(folder))
        first.run(0, "raarara")
    _check(first, {}, folders)
    sampled = sorted(folders)[:: max(1, len(folders) // MAX_SECOND_INCARNATIONS)]
    for contents in map(dict, sampled):
        with tempfile.TemporaryDirectory() as folder:
            _fill(Path(folder), contents)
            second = Incarnation(Path(folder))
            second.run(len(recovered(contents)), "raar")
        _check(second, contents, set())


class EveryCrashPoint(unittest.TestCase):
    def test_given_a_crash_after_each_system_call_then_no_acknowledged_record_is_lost(self) -> None:
        check_every_crash()


def remove_before_rewrite(file: RecordFile, records: tuple[bytes, ...]) -> None:
    file._remove_all_but(-1)
    original_rewrite(file, records)


original_rewrite = RecordFile.rewrite


class MutantsAreFound(unittest.TestCase):
    def assert_found(self, target: type, name: str, faulty: Callable[..., object]) -> None:
        with patch.object(target, name, faulty), self.assertRaises(AssertionError):
            check_every_crash()

    def test_a_rewrite_without_a_folder_sync(self) -> None:
        self.assert_found(FileDisk, "_sync_folder", lambda disk: None)

    def test_appends_without_a_sync(self) -> None:
        self.assert_found(RecordingSystem, "fdatasync", lambda system, descriptor: None)

    def test_a_new_file_without_a_file_sync(self) -> None:
        def sync_folder_only(system: RecordingSystem, descriptor: int) -> None:
            if not system._names[descriptor]:
                original(system, descriptor)

        original = RecordingSystem.fsync
        self.assert_found(RecordingSystem, "fsync", sync_folder_only)

    def test_an_old_file_removed_before_the_new_one_is_written(self) -> None:
        self.assert_found(RecordFile, "rewrite", remove_before_rewrite)


class NearlyFullDisk(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.system = RecordingSystem(self.folder, capacity=10_000)
        system = patch.object(disk_module, "os", self.system)
        system.start()
        self.addCleanup(system.stop)
        self.disk = FileDisk(folder.name)
        self.addCleanup(self.disk.close)
        self.file = RecordFile(self.disk)
        self.file.recover()
        self.file.rewrite((b"x" * 6_000,))

    def test_given_no_space_for_two_files_when_a_rewrite_fails_then_its_space_is_freed(self) -> None:
        used_bytes = self.system.used_bytes()
        with self.assertRaises(StorageError):
            self.file.rewrite((b"y" * 6_000,))
        self.assertEqual(used_bytes, self.system.used_bytes())
        self.disk.create("another", b"z" * 3_000)
        self.assertEqual((b"x" * 6_000,), RecordFile(FileDisk(str(self.folder))).recover().records)

    def test_given_a_failed_rewrite_when_the_records_fit_then_the_next_rewrite_succeeds(self) -> None:
        with self.assertRaises(StorageError):
            self.file.rewrite((b"y" * 6_000,))
        self.file.rewrite((b"y" * 3_000,))
        self.file.append((b"z",))
        self.assertEqual(1, len(list(self.folder.iterdir())))
        found = RecordFile(FileDisk(str(self.folder))).recover().records
        self.assertEqual((b"y" * 3_000, b"z"), found)

    def test_given_an_incomplete_file_of_a_killed_process_then_a_rewrite_frees_its_space(self) -> None:
        (self.folder / "replica-00000002.log").write_bytes(b"half" * 900)
        file = RecordFile(FileDisk(str(self.folder)))
        self.assertEqual((b"x" * 6_000,), file.recover().records)
        file.rewrite((b"x" * 3_500,))
        self.assertEqual(["replica-00000003.log"], [path.name for path in self.folder.iterdir()])

    def test_a_failed_rewrite_that_leaves_its_file_is_detected(self) -> None:
        name = "test_given_no_space_for_two_files_when_a_rewrite_fails_then_its_space_is_freed"
        result = unittest.TestResult()
        with patch.object(RecordFile, "_remove_all_but", lambda file, number: None):
            NearlyFullDisk(name).run(result)
        self.assertTrue(result.failures)


if __name__ == "__main__":
    unittest.main()
