"""Writes the registry's checkpoint from a thread of its own, whenever descriptions have changed."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint

# How often the host offers what is known.
SAVE_INTERVAL_S = 0.5


class _Description(NamedTuple):
    """What is worth a write when it changes."""

    instance: str
    service: str
    address: str
    state: str


class CheckpointWriter:
    """Hands the newest descriptions to its thread.

    What is offered while a write runs is to be offered again.
    """

    def __init__(
        self, checkpoint: RegistryCheckpoint, report: Callable[[Sequence[UpstreamRecord]], None]
    ) -> None:
        """Begin idle; `report` is called on the thread with what is on disk now, and must not block."""
        self._checkpoint = checkpoint
        self._report = report
        self._described: frozenset[_Description] = frozenset()
        self._offered: Sequence[UpstreamRecord] = ()
        self._wanted = threading.Event()
        self._thread = threading.Thread(target=self._run, name="registry checkpoint", daemon=True)

    def start(self) -> None:
        """Begin to take offers."""
        self._thread.start()

    @property
    def is_busy(self) -> bool:
        """Whether a write is in progress."""
        return self._wanted.is_set()

    def offer(self, upstreams: Sequence[UpstreamRecord]) -> bool:
        """Have these saved where they differ from what was; whether they are handed to the thread."""
        described = frozenset(
            _Description(record.instance, record.service, record.address, record.state)
            for record in upstreams
        )
        if described == self._described or self._wanted.is_set():
            return False
        self._described, self._offered = described, upstreams
        self._wanted.set()
        return True

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._save()
            self._wanted.clear()

    def _save(self) -> None:
        try:
            self._checkpoint.save(self._offered)
        except StorageError:
            self._described = frozenset()  # offered again, and tried again then
            return
        self._report(self._offered)
