"""What a folder may hold after a loss of power, worked out from the calls that a FileDisk made to the system.

Of a file's writes since its last sync all, none, a torn part or zeros may be there. Of the names that were
created or removed since the folder's last sync each may be kept or lost, independently of the others.
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
    """One call that changes something: created, truncated, written, synced, removed or folder synced."""

    kind: str
    name: str = ""
    data: bytes = b""


class RecordingSystem:
    """Stands in for the module `os` within `madderwind.storage.disk`: does what is asked in a real folder,
    and keeps a list of it."""

    def __init__(self, folder: Path, capacity: int | None = None) -> None:
        """`capacity`: the most bytes that all files take together."""
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
        room = len(data) if self._capacity is None else self._capacity - self.used()
        if room <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = os.write(descriptor, data[:room])
        self.calls.append(Call("written", self._names[descriptor], bytes(data[:written])))
        return written

    def fsync(self, descriptor: int) -> None:
        name = self._names[descriptor]
        self.calls.append(Call("synced", name) if name else Call("folder synced"))

    fdatasync = fsync

    def unlink(self, path: Path) -> None:
        os.unlink(path)
        self.calls.append(Call("removed", Path(path).name))

    def used(self) -> int:
        """Bytes in all files together."""
        return sum(path.stat().st_size for path in self._folder.iterdir())


class _File:
    def __init__(self, synced: bytes = b"") -> None:
        self.synced = synced
        self.pending: list[bytes] = []
        self.was_truncated = False

    def contents(self) -> set[bytes]:
        """What may be there after a loss of power."""
        pending = b"".join(self.pending)
        if not pending and not self.was_truncated:
            return {self.synced}
        bases = {self.synced, b""} if self.was_truncated else {self.synced}
        tails = (b"", pending, pending[: len(pending) // 2], bytes(len(pending)))
        return {base + tail for base in bases for tail in tails}


def after_power_loss(calls: list[Call], before: dict[str, bytes]) -> Iterator[dict[str, bytes]]:
    """Every folder that may be found after these calls on one that held this before, as contents by name."""
    files = {name: _File(data) for name, data in before.items()}
    durable = dict(files)
    for call in calls:
        _replay(call, files, durable)
    choices: list[list[tuple[str, bytes | None]]] = []
    for name in files.keys() | durable.keys():
        now, retained = files.get(name), durable.get(name)
        found: set[bytes | None] = set()
        for file in (now,) if now is retained else (now, retained):
            found |= {None} if file is None else file.contents()
        choices.append([(name, content) for content in sorted(found, key=lambda each: each or b"")])
    for chosen in itertools.product(*choices):
        yield {name: content for name, content in chosen if content is not None}


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
