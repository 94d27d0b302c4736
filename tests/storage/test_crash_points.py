"""A crash after each call to the system: a start finds all that was acknowledged, whatever the disk kept."""

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
# Folders that are gone on with to a second crash: each that a first one may leave would take minutes.
SECOND_INCARNATIONS = 400


class Incarnation:
    """One life of a process with its file: how many records were acknowledged and begun by its calls."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._system = RecordingSystem(folder)
        self._acknowledged: list[tuple[int, int]] = [(0, 0)]
        self._begun: list[tuple[int, int]] = [(0, 0)]
        self.calls = self._system.calls

    def run(self, found: int, script: str) -> None:
        """Recover `found` records, and go on: `r` writes the file anew, `a` adds a record."""
        with patch.object(disk_module, "os", self._system):
            disk = FileDisk(str(self._folder))
            file = RecordFile(disk)
            assert file.recover().records == RECORDS[:found]
            count = found
            self._acknowledged = [(0, found)]
            for step in script:
                count += step == "a"
                self._begun.append((len(self.calls), count))
                file.rewrite(RECORDS[:count]) if step == "r" else file.append(RECORDS[count - 1 : count])
                self._acknowledged.append((len(self.calls), count))
            disk.close()

    def acknowledged_after(self, calls: int) -> int:
        """How many records had to be there after so many calls."""
        return max(count for made, count in self._acknowledged if made <= calls)

    def begun_after(self, calls: int) -> int:
        """How many may be there."""
        return max(count for made, count in self._begun if made <= calls)


class FoundFolder(FileDisk):
    """A folder that is only read, by its contents."""

    def __init__(self, contents: dict[str, bytes]) -> None:
        super().__init__("found")
        self._contents = contents

    def names(self) -> tuple[str, ...]:
        return tuple(self._contents)

    def read(self, name: str) -> bytes:
        return self._contents[name]


def recovered(contents: dict[str, bytes]) -> tuple[bytes, ...]:
    """What a start finds in such a folder."""
    return RecordFile(FoundFolder(contents)).recover().records


def _fill(folder: Path, contents: dict[str, bytes]) -> None:
    for name, data in contents.items():
        (folder / name).write_bytes(data)


def _check(
    incarnation: Incarnation, before: dict[str, bytes], seen: set[tuple[tuple[str, bytes], ...]]
) -> None:
    """Raises AssertionError where a crash of this life loses or invents a record."""
    for count in range(len(incarnation.calls) + 1):
        least, most = (
            incarnation.acknowledged_after(count),
            max(incarnation.begun_after(count), incarnation.acknowledged_after(0)),
        )
        for contents in after_power_loss(incarnation.calls[:count], before):
            key = tuple(sorted(contents.items()))
            found = recovered(contents)
            assert found == RECORDS[: len(found)], (incarnation.calls[:count], found)
            assert least <= len(found) <= most, (incarnation.calls[:count], contents, found)
            seen.add(key)


def check_every_crash() -> None:
    """A first life that founds, adds and rewrites; then second lives on what its crashes may leave."""
    folders: set[tuple[tuple[str, bytes], ...]] = set()
    with tempfile.TemporaryDirectory() as folder:
        first = Incarnation(Path(folder))
        first.run(0, "raarara")
    _check(first, {}, folders)
    chosen = sorted(folders)[:: max(1, len(folders) // SECOND_INCARNATIONS)]
    for contents in map(dict, chosen):
        with tempfile.TemporaryDirectory() as folder:
            _fill(Path(folder), contents)
            second = Incarnation(Path(folder))
            second.run(len(recovered(contents)), "raar")
        _check(second, contents, set())


class EveryCrashPoint(unittest.TestCase):
    def test_given_a_crash_after_each_call_then_nothing_acknowledged_is_lost(self) -> None:
        check_every_crash()


def rewrite_and_remove_first(file: RecordFile, records: tuple[bytes, ...]) -> None:
    file._remove_all_but(-1)
    ordinary_rewrite(file, records)


ordinary_rewrite = RecordFile.rewrite


class MutantsAreFound(unittest.TestCase):
    def assert_found(self, target: type, name: str, broken: Callable[..., object]) -> None:
        with patch.object(target, name, broken), self.assertRaises(AssertionError):
            check_every_crash()

    def test_a_rewrite_without_the_folders_sync(self) -> None:
        self.assert_found(FileDisk, "_sync_folder", lambda disk: None)

    def test_writes_without_a_sync(self) -> None:
        self.assert_found(RecordingSystem, "fdatasync", lambda system, descriptor: None)

    def test_a_new_file_without_its_own_sync(self) -> None:
        def folder_alone(system: RecordingSystem, descriptor: int) -> None:
            if not system._names[descriptor]:
                ordinary(system, descriptor)

        ordinary = RecordingSystem.fsync
        self.assert_found(RecordingSystem, "fsync", folder_alone)

    def test_an_old_file_removed_before_the_new_one_is_there(self) -> None:
        self.assert_found(RecordFile, "rewrite", rewrite_and_remove_first)


class ADiskThatIsNearlyFull(unittest.TestCase):
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

    def test_given_no_room_for_two_files_when_a_rewrite_fails_then_its_room_comes_back(self) -> None:
        used = self.system.used()
        with self.assertRaises(StorageError):
            self.file.rewrite((b"y" * 6_000,))
        self.assertEqual(used, self.system.used())
        self.disk.create("another", b"z" * 3_000)
        self.assertEqual((b"x" * 6_000,), RecordFile(FileDisk(str(self.folder))).recover().records)

    def test_given_a_failed_rewrite_when_there_is_room_again_then_it_is_done(self) -> None:
        with self.assertRaises(StorageError):
            self.file.rewrite((b"y" * 6_000,))
        self.file.rewrite((b"y" * 3_000,))
        self.file.append((b"z",))
        self.assertEqual(1, len(list(self.folder.iterdir())))
        found = RecordFile(FileDisk(str(self.folder))).recover().records
        self.assertEqual((b"y" * 3_000, b"z"), found)

    def test_given_what_a_killed_process_left_of_a_rewrite_then_the_next_has_its_room(self) -> None:
        (self.folder / "replica-00000002.log").write_bytes(b"half" * 900)
        file = RecordFile(FileDisk(str(self.folder)))
        self.assertEqual((b"x" * 6_000,), file.recover().records)
        file.rewrite((b"x" * 3_500,))
        self.assertEqual(["replica-00000003.log"], [path.name for path in self.folder.iterdir()])

    def test_a_failed_rewrite_that_leaves_its_file_is_found(self) -> None:
        name = "test_given_no_room_for_two_files_when_a_rewrite_fails_then_its_room_comes_back"
        result = unittest.TestResult()
        with patch.object(RecordFile, "_remove_all_but", lambda file, number: None):
            ADiskThatIsNearlyFull(name).run(result)
        self.assertTrue(result.failures)


if __name__ == "__main__":
    unittest.main()
