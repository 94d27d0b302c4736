"""Enumerates what a folder may hold after a power loss, from the system calls that a FileDisk made.

Of the writes to a file since its last sync, all, none, a torn part or zeros may be present. Each name created
or removed since the last sync of the folder may be kept or lost, independently of the others.
"""

from __future__ import annotations

import errno
import itertools
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs


@attrs.frozen
class Call:
    """A system call that changes the folder.

    `kind` is one of created, truncated, written, synced, removed and folder synced.
    """

    kind: str
    name: str = ""
    data: bytes = b""


class RecordingSystem:
    """Replaces the module `os` within `madderwind.storage.disk`.

    It passes the calls on to a real folder and records those that change it.
    """

    def __init__(self, folder: Path, capacity: int | None = None) -> None:
        """`capacity`: maximum total size of all files, in bytes; None for no limit."""
        self.calls: list[Call] = []
        self._folder, self._capacity = folder, capacity
        self._names: dict[int, str] = {}  # by open descriptor; empty for the folder

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        is_folder = Path(path) == self._folder
        is_new = not is_folder and not Path(path).exists()
        descriptor = os.open(path, flags, mode)
        self._names[descriptor] = "" if is_folder else Path(path).name
        if is_new:
            self.calls.append(Call("created", Path(path).name))
        elif flags & os.O_TRUNC:
            self.calls.append(Call("truncated", Path(path).name))
        return descriptor

    def write(self, descriptor: int, data: memoryview) -> int:
        free_bytes = len(data) if self._capacity is None else self._capacity - self.used_bytes()
        if free_bytes <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = os.write(descriptor, data[:free_bytes])
        self.calls.append(Call("written", self._names[descriptor], bytes(data[:written])))
        return written

    def fsync(self, descriptor: int) -> None:
        name = self._names[descriptor]
        self.calls.append(Call("synced", name) if name else Call("folder synced"))

    fdatasync = fsync

    def unlink(self, path: Path) -> None:
        os.unlink(path)
        self.calls.append(Call("removed", Path(path).name))

    def used_bytes(self) -> int:
        """Total size of all files, in bytes."""
        return sum(path.stat().st_size for path in self._folder.iterdir())


class _File:
    def __init__(self, synced: bytes = b"") -> None:
        self.synced = synced
        self.pending: list[bytes] = []
        self.was_truncated = False

    def contents(self) -> set[bytes]:
        """Return the contents that the file may have after a power loss."""
        pending = b"".join(self.pending)
        if not pending and not self.was_truncated:
            return {self.synced}
        bases = {self.synced, b""} if self.was_truncated else {self.synced}
        suffixes = (b"", pending, pending[: len(pending) // 2], bytes(len(pending)))
        return {base + suffix for base in bases for suffix in suffixes}


def after_power_loss(calls: list[Call], before: dict[str, bytes]) -> Iterator[dict[str, bytes]]:
    """Yield each folder, as contents by name, that a power loss after these calls may leave.

    `before` is the folder before the calls.
    """
    files = {name: _File(data) for name, data in before.items()}
    durable = dict(files)
    for call in calls:
        _replay(call, files, durable)
    choices: list[list[tuple[str, bytes | None]]] = []
    for name in files.keys() | durable.keys():
        current, last_durable = files.get(name), durable.get(name)
        possible: set[bytes | None] = set()
        for file in (current,) if current is last_durable else (current, last_durable):
            possible |= {None} if file is None else file.contents()
        choices.append([(name, content) for content in sorted(possible, key=lambda each: each or b"")])
    for combination in itertools.product(*choices):
        yield {name: content for name, content in combination if content is not None}


def _replay(call: Call, files: dict[str, _File], durable: dict[str, _File]) -> None:
    match call.kind:
        case "created":
            files[call.name] = _File()
        case "truncated":
            files[call.name].was_truncated = True
            files[call.name].pending.clear()
        case "written":
            files[call.name].pending.append(call.data)
        case "synced":
            file = files[call.name]
            file.synced = (b"" if file.was_truncated else file.synced) + b"".join(file.pending)
            file.pending.clear()
            file.was_truncated = False
        case "removed":
            files.pop(call.name, None)
        case "folder synced":
            durable.clear()
            durable.update(files)
