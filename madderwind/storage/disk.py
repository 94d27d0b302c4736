"""The file operations that durable state needs, and their implementation on a real file system.

All of them block on the disk, so the host calls them from a thread. A failure raises StorageError.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

from madderwind.errors import StorageError


class Disk(Protocol):
    """A folder of files without subfolders."""

    def names(self) -> tuple[str, ...]:
        """Return the names of the files in the folder."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def create(self, name: str, data: bytes) -> None:
        """Write a file and sync both the file and the folder entry; an existing file is replaced."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it."""

    def remove(self, name: str) -> None:
        """Remove a file; the removal need not survive a power loss."""


class FileDisk:
    """A folder on a real file system."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._open_name = ""
        self._descriptor = -1

    def names(self) -> tuple[str, ...]:
        """Return the names of the files in the folder."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            return tuple(sorted(os.listdir(self._folder)))
        except OSError as error:
            raise StorageError(f"{self._folder}: {error}") from error

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise StorageError(f"{name}: {error}") from error

    def create(self, name: str, data: bytes) -> None:
        """Write a file and sync both the file and the folder entry."""
        try:
            self._open(name, os.O_CREAT | os.O_TRUNC)
            self._write_all(data)
            os.fsync(self._descriptor)
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"{name}: {error}") from error

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it."""
        try:
            self._open(name)
            self._write_all(data)
            os.fdatasync(self._descriptor)
        except OSError as error:
            raise StorageError(f"{name}: {error}") from error

    def remove(self, name: str) -> None:
        """Remove a file."""
        try:
            if name == self._open_name:
                self.close()
            os.unlink(self._folder / name)
        except FileNotFoundError:
            return
        except OSError as error:
            raise StorageError(f"{name}: {error}") from error

    def close(self) -> None:
        """Close the open file, if any."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._open_name, self._descriptor = "", -1

    def _open(self, name: str, extra_flags: int = 0) -> None:
        """Open a file for appending and keep it open; a file opened before is closed."""
        if name == self._open_name and not extra_flags:
            return
        self.close()
        path = self._folder / name
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC | extra_flags, 0o644)
        self._open_name = name

    def _write_all(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            remaining = remaining[written:]

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
