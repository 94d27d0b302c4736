"""The registry's copy on disk: a hint for the first second after a start, before upstreams have called again.

Two files are written in turn, each with a generation and a checksum: a torn write leaves the one before it.
What is read back may be old: instances may have ended and addresses may belong to others. That does no harm,
as requests name the instance they are meant for and as states only advance.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence

import msgspec

from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.storage.disk import Disk
from madderwind.storage.records import decode_records, encode_record

FILE_NAMES = ("registry-0.copy", "registry-1.copy")


class _File(msgspec.Struct, frozen=True, array_like=True):
    """What one file holds."""

    generation: int
    upstreams: tuple[UpstreamRecord, ...]


_decoder = msgspec.msgpack.Decoder(_File)


class RegistryCheckpoint:
    """The two files. `save` waits for the disk, and is called from a thread."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._generation = 0

    def load(self) -> tuple[UpstreamRecord, ...]:
        """The newest complete copy; nothing where there is none or the disk can't be read."""
        files = [file for name in FILE_NAMES if (file := self._read(name)) is not None]
        newest = max(files, key=lambda file: file.generation, default=_File(0, ()))
        self._generation = newest.generation
        return newest.upstreams

    def save(self, upstreams: Sequence[UpstreamRecord]) -> None:
        """Write and sync a new copy.

        Raises:
            StorageError: The disk refused it; the copy before it stays.
        """
        file = _File(self._generation + 1, tuple(upstreams))
        name = FILE_NAMES[file.generation % len(FILE_NAMES)]
        self._disk.create(name, encode_record(msgspec.msgpack.encode(file)))
        self._generation = file.generation

    def _read(self, name: str) -> _File | None:
        with contextlib.suppress(StorageError, msgspec.MsgspecError):
            if name in self._disk.names():
                records = decode_records(self._disk.read(name)).records
                return _decoder.decode(records[0]) if records else None
        return None
