"""An in-memory directory that simulates disk faults: lost, torn and failing writes, and a full disk."""

from __future__ import annotations

import random

from madderwind.errors import StorageError


class PowerLost(Exception):
    """The process ended in the middle of a write."""


class _File:
    """The contents of a file as the process sees them, and the part that would survive a power loss."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []  # since the last sync
        self.synced = b""
        self.is_named = False  # the directory entry would survive a power loss

    def data(self) -> bytes:
        return self.synced + b"".join(self.writes)

    def sync(self) -> None:
        self.synced, self.writes = self.data(), []
        self.is_named = True


class MemoryDisk:
    """Implements madderwind.storage.disk.Disk."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._files: dict[str, _File] = {}
        self._removed: dict[str, _File] = {}  # until the directory is synced
        self.is_full = False
        self.fails_syncs = False
        self.goes_down_next = False  # the process ends in the middle of the next write

    def names(self) -> tuple[str, ...]:
        return tuple(sorted(self._files))

    def read(self, name: str) -> bytes:
        if name not in self._files:
            raise StorageError(f"{name}: no such file")
        return self._files[name].data()

    def create(self, name: str, data: bytes) -> None:
        file = self._files[name] = _File()
        self._write(file, data)
        file.sync()
        self._removed.clear()

    def append(self, name: str, data: bytes) -> None:
        file = self._files[name]
        self._write(file, data)
        file.sync()

    def remove(self, name: str) -> None:
        if (file := self._files.pop(name, None)) is not None and file.is_named:
            self._removed[name] = file

    def synced_copy(self) -> MemoryDisk:
        """The contents that survive a power loss in the worst case."""
        copy = MemoryDisk(self._rng)
        for name, file in self._files.items():
            if file.is_named:
                copy._files[name] = _File()
                copy._files[name].synced = file.synced
        return copy

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self._files.clear()
        self._removed.clear()

    def lose_power(self) -> None:
        """Keep, drop or tear each unsynced write at random; a removed file may reappear."""
        keeps_nothing = self._rng.random() < 0.3
        for name, file in self._removed.items():
            if self._rng.random() < 0.5:
                self._files.setdefault(name, file)
        self._removed.clear()
        for name, file in list(self._files.items()):
            if not file.is_named and (keeps_nothing or self._rng.random() < 0.5):
                del self._files[name]
                continue
            retained = [] if keeps_nothing else [self._torn(write) for write in file.writes]
            file.writes = retained
            file.sync()

    def _write(self, file: _File, data: bytes) -> None:
        if self.goes_down_next:
            self.goes_down_next = False
            file.writes.append(data[: self._rng.randint(0, len(data))])
            raise PowerLost
        if self.is_full:
            file.writes.append(data[: self._rng.randint(0, len(data) // 2)])
            raise StorageError("the disk is full")
        file.writes.append(data)
        if self.fails_syncs:
            raise StorageError("the sync failed")

    def _torn(self, write: bytes) -> bytes:
        match self._rng.randrange(3):
            case 0:
                return write
            case 1:
                return bytes(len(write))  # the length was extended, the bytes were not written
            case _:
                return write[: self._rng.randint(0, len(write))]
