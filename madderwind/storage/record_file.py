"""The record file of a replica: appended to and synced, rewritten when it grows long or a write failed.

Each rewrite creates a new file of the next generation: the records, a completion marker, then the records
appended later. Older generations are removed only once the new file is synced, so that at least one
complete file exists at any time. Recovery reads the newest complete generation. The bytes that it reads may
not be on disk yet (a killed process leaves unsynced bytes in the page cache), so the file accepts no append
before it has been rewritten.
"""

from __future__ import annotations

import re
from enum import Enum

import msgspec

from madderwind.errors import StorageError
from madderwind.storage.disk import Disk
from madderwind.storage.records import decode_records, encode_records

_FILE_NAME = re.compile(r"replica-(\d{8})\.log")
# Completion marker: ends the part of a file that its creation wrote. Every record of a replica is longer.
_COMPLETION_MARKER = b"\x00"


class FileState(Enum):
    """Which operations the file accepts."""

    NEEDS_REWRITE = "needs rewrite"  # just opened, or a write failed: the contents on disk are unknown
    READY = "ready"


class RecoveredFile(msgspec.Struct, frozen=True):
    """What recovery found on disk; an empty disk has no records."""

    records: tuple[bytes, ...] = ()
    dropped_bytes: int = 0  # torn record at the end of the file, which is dropped


class _Generation(msgspec.Struct, frozen=True):
    """One file, as recovery found it."""

    number: int
    records: tuple[bytes, ...]
    torn_bytes: int


class RecordFile:
    """The record file of one replica, in a folder of its own. Every method blocks on the disk."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._number = 0  # the highest generation seen so far
        self._complete_number = 0  # the generation that recovery would read; 0 without one
        self.state = FileState.NEEDS_REWRITE

    def recover(self) -> RecoveredFile:
        """Read the newest complete generation.

        Raises:
            StorageError: The folder or one of its files can't be read.
        """
        found = self._generations()
        self._number = max((generation.number for generation in found), default=0)
        complete = [generation for generation in found if _COMPLETION_MARKER in generation.records]
        if not complete:
            return RecoveredFile()
        newest = max(complete, key=lambda generation: generation.number)
        self._complete_number = newest.number
        records = tuple(record for record in newest.records if record != _COMPLETION_MARKER)
        return RecoveredFile(records, newest.torn_bytes)

    def append(self, records: tuple[bytes, ...]) -> None:
        """Append records and sync.

        After a failure every append fails until the file is rewritten: what a failed sync left on disk is
        unknown, and a repeated sync may report success although the data was lost.
        """
        if self.state is not FileState.READY:
            raise StorageError("append refused: the file must be rewritten first")
        try:
            self._disk.append(_name(self._number), encode_records(records))
        except StorageError:
            self._set_state(FileState.NEEDS_REWRITE)
            raise

    def rewrite(self, records: tuple[bytes, ...]) -> None:
        """Replace the file by one that holds just these records.

        On failure the old file stays and the incomplete new file is removed, so that its disk space is free
        again. An incomplete file that an earlier process left behind is removed as well.
        """
        self._remove_all_but(self._complete_number)
        number = self._number + 1
        try:
            self._disk.create(_name(number), encode_records((*records, _COMPLETION_MARKER)))
        except StorageError:
            self._set_state(FileState.NEEDS_REWRITE)
            self._remove_all_but(self._complete_number)
            raise
        self._number = self._complete_number = number
        self._set_state(FileState.READY)
        self._remove_all_but(number)

    def _set_state(self, state: FileState) -> None:
        self.state = state

    def _generations(self) -> list[_Generation]:
        return [self._generation(number) for number in self._numbers()]

    def _generation(self, number: int) -> _Generation:
        data = self._disk.read(_name(number))
        decoded = decode_records(data)
        return _Generation(number, decoded.records, len(data) - decoded.length)

    def _numbers(self) -> list[int]:
        matches = (_FILE_NAME.fullmatch(name) for name in self._disk.names())
        return [int(match[1]) for match in matches if match is not None]

    def _remove_all_but(self, number: int) -> None:
        """Remove all other generations; failures are ignored, as a file left behind only takes space."""
        try:
            for other in self._numbers():
                if other != number:
                    self._disk.remove(_name(other))
        except StorageError:
            return


def _name(number: int) -> str:
    return f"replica-{number:08d}.log"
