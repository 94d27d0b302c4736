"""Writes the registry's checkpoint on a separate thread when upstream descriptions have changed."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from madderwind.errors import MessageError, StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint

# Interval at which the host offers the registry's records to be saved.
SAVE_INTERVAL_S = 0.5


class _Description(NamedTuple):
    """The fields of an upstream's record whose change causes a write."""

    instance: str
    service: str
    address: str
    state: str


class CheckpointWriter:
    """Saves the offered records on its own thread.

    Records that are offered during a write are not queued: the caller offers them again.
    """

    def __init__(
        self, checkpoint: RegistryCheckpoint, report: Callable[[Sequence[UpstreamRecord]], None]
    ) -> None:
        """Create an idle writer; `report` gets the saved records, on the thread, and must not block."""
        self._checkpoint = checkpoint
        self._report = report
        self._descriptions: frozenset[_Description] = frozenset()
        self._offered: Sequence[UpstreamRecord] = ()
        self._wanted = threading.Event()
        self._thread = threading.Thread(target=self._run, name="registry checkpoint", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    @property
    def is_busy(self) -> bool:
        """Whether a write is in progress."""
        return self._wanted.is_set()

    def offer(self, upstreams: Sequence[UpstreamRecord]) -> bool:
        """Save these records if a description changed; returns whether they were handed to the thread."""
        descriptions = frozenset(
            _Description(record.instance, record.service, record.address, record.state)
            for record in upstreams
        )
        if descriptions == self._descriptions or self._wanted.is_set():
            return False
        self._descriptions, self._offered = descriptions, upstreams
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
        except (StorageError, MessageError):
            self._descriptions = frozenset()  # the next offer differs from it, so that the write is retried
            return
        self._report(self._offered)
