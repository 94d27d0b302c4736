"""The registry's checkpoint on a control machine's disk, simulating CheckpointWriter."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from madderwind.controlplane.checkpoint_writer import SAVE_INTERVAL_S
from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint
from tests.campaign.control_disk import SYNC_MS, ControlDisk
from tests.campaign.process import Process

MS_PER_S = 1000.0


class RegistrySaver:
    """The checkpoint of one process incarnation. `saved` is called with the records that are now on disk."""

    def __init__(
        self, process: Process, disk: ControlDisk, saved: Callable[[Sequence[UpstreamRecord]], None]
    ) -> None:
        self._process, self._disk, self._saved = process, disk, saved
        self._checkpoint = RegistryCheckpoint(disk.memory)
        self._saved_fields: object = None
        self._last_save_ms = 0.0
        self._is_urgent = False

    def load(self) -> tuple[UpstreamRecord, ...]:
        """Return what an earlier incarnation of the process saved."""
        return self._checkpoint.load()

    def request_save(self) -> None:
        """Save at the next call of `save_if_due`, without waiting for the save interval."""
        self._is_urgent = True

    def save_if_due(self, upstreams: Callable[[], Sequence[UpstreamRecord]]) -> None:
        """Save the upstreams if a save is due, they changed, and the disk has no fault."""
        now_ms = self._process.clock.now_ms
        is_due = now_ms - self._last_save_ms >= SAVE_INTERVAL_S * MS_PER_S
        if self._disk.is_in_fault or not (is_due or self._is_urgent):
            return
        self._last_save_ms, self._is_urgent = now_ms, False
        records = upstreams()
        fields = [(record.instance, record.service, record.address, record.state) for record in records]
        if fields == self._saved_fields:
            return
        try:
            self._checkpoint.save(records)
        except StorageError:
            self._saved_fields = None
            return
        self._saved_fields = fields
        self._process.later(SYNC_MS, lambda: self._saved(records))
