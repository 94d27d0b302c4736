"""The registry's checkpoint on disk: a hint for the first second after a start, before heartbeats arrive.

Two files are written alternately, each with a generation and a checksum, so that a torn write leaves the
previous one intact. A checkpoint may be stale: instances may have ended and their addresses may belong to
other instances. This is harmless, because requests name their target instance and states only advance.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence

import msgspec

from madderwind.errors import MessageError, StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.message_pack import MessagePack
from madderwind.storage.disk import Disk
from madderwind.storage.records import decode_records, encode_record

FILE_NAMES = ("registry-0.copy", "registry-1.copy")


class _CheckpointFile(msgspec.Struct, frozen=True, array_like=True):
    """The content of one checkpoint file."""

    generation: int
    upstreams: tuple[UpstreamRecord, ...]


_checkpoint_files: MessagePack[_CheckpointFile] = MessagePack(_CheckpointFile)


class RegistryCheckpoint:
    """The two checkpoint files. `save` blocks on disk I/O and is called from a thread."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._generation = 0

    def load(self) -> tuple[UpstreamRecord, ...]:
        """The newest complete checkpoint; empty if there is none or the disk cannot be read."""
        files = [file for name in FILE_NAMES if (file := self._read(name)) is not None]
        newest = max(files, key=lambda file: file.generation, default=_CheckpointFile(0, ()))
        self._generation = newest.generation
        return newest.upstreams

    def save(self, upstreams: Sequence[UpstreamRecord]) -> None:
        """Write and sync a new checkpoint.

        Raises:
            StorageError: The write failed; the previous checkpoint remains.
        """
        file = _CheckpointFile(self._generation + 1, tuple(upstreams))
        name = FILE_NAMES[file.generation % len(FILE_NAMES)]
        self._disk.create(name, encode_record(_checkpoint_files.encode(file)))
        self._generation = file.generation

    def _read(self, name: str) -> _CheckpointFile | None:
        with contextlib.suppress(StorageError, MessageError):
            if name in self._disk.names():
                records = decode_records(self._disk.read(name)).records
                return _checkpoint_files.decode(records[0]) if records else None
        return None
