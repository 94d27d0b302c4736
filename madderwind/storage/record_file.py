"""A replica's file: records appended and synced, rewritten when it gets long or after a failed write.

Each rewrite is a new file of the next generation: its records, a mark of completeness, then what is appended.
Only when that is synced are older generations removed, so at every moment one complete file is there.
Recovery takes the newest complete generation. What it reads may not be on disk yet (a killed process leaves
unsynced bytes to the system), so the file takes nothing before it was rewritten.
"""

from __future__ import annotations

import re
from enum import Enum

import msgspec

from madderwind.errors import StorageError
from madderwind.storage.disk import Disk
from madderwind.storage.records import decode_records, encode_records

_NAME = re.compile(r"replica-(\d{8})\.log")
# Ends the part of a file that its creation wrote. No record of a replica is as short.
_COMPLETE = b"\x00"


class FileState(Enum):
    """What may be done with the file."""

    NEEDS_REWRITE = "needs rewrite"  # just opened, or a write failed: what is on disk is uncertain
    READY = "ready"


class RecoveredFile(msgspec.Struct, frozen=True):
    """What a start found on disk; no records: an empty disk."""

    records: tuple[bytes, ...] = ()
    cut_bytes: int = 0  # torn at the end of the file


class _Generation(msgspec.Struct, frozen=True):
    """One file as found."""

    number: int
    records: tuple[bytes, ...]
    torn_bytes: int


class RecordFile:
    """The file of one replica in a folder of its own. Every method waits for the disk."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._number = 0  # the highest that was ever there
        self._complete_number = 0  # of the complete file that a start would find; 0 without one
        self.state = FileState.NEEDS_REWRITE

    def recover(self) -> RecoveredFile:
        """Read what is there; raises StorageError where it can't be read."""
        found = self._generations()
        self._number = max((generation.number for generation in found), default=0)
        complete = [generation for generation in found if _COMPLETE in generation.records]
        if not complete:
            return RecoveredFile()
        newest = max(complete, key=lambda generation: generation.number)
        self._complete_number = newest.number
        records = tuple(record for record in newest.records if record != _COMPLETE)
        return RecoveredFile(records, newest.torn_bytes)

    def append(self, records: tuple[bytes, ...]) -> None:
        """Add records and sync.

        After a failure everything but a rewrite fails: what a failed sync left on disk is unknown, and a
        repeated one may claim what is not so.
        """
        if self.state is not FileState.READY:
            raise StorageError("the file has to be rewritten first")
        try:
            self._disk.append(_name(self._number), encode_records(records))
        except StorageError:
            self._become(FileState.NEEDS_REWRITE)
            raise

    def rewrite(self, records: tuple[bytes, ...]) -> None:
        """Replace the file by one with just these records.

        On failure the old one stays, and what the attempt left is removed, so that its disk space comes back;
        so is what an attempt of a former life left.
        """
        self._remove_all_but(self._complete_number)
        number = self._number + 1
        try:
            self._disk.create(_name(number), encode_records((*records, _COMPLETE)))
        except StorageError:
            self._become(FileState.NEEDS_REWRITE)
            self._remove_all_but(self._complete_number)
            raise
        self._number = self._complete_number = number
        self._become(FileState.READY)
        self._remove_all_but(number)

    def _become(self, state: FileState) -> None:
        self.state = state

    def _generations(self) -> list[_Generation]:
        return [self._generation(number) for number in self._numbers()]

    def _generation(self, number: int) -> _Generation:
        data = self._disk.read(_name(number))
        decoded = decode_records(data)
        return _Generation(number, decoded.records, len(data) - decoded.length)

    def _numbers(self) -> list[int]:
        matches = (_NAME.fullmatch(name) for name in self._disk.names())
        return [int(match[1]) for match in matches if match is not None]

    def _remove_all_but(self, number: int) -> None:
        """Best effort: a file of another generation does no harm but take disk space."""
        try:
            for other in self._numbers():
                if other != number:
                    self._disk.remove(_name(other))
        except StorageError:
            return


def _name(number: int) -> str:
    return f"replica-{number:08d}.log"
