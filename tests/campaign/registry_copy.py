"""The registry's copy on a control machine's disk, saved as CheckpointWriter saves it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from madderwind.controlplane.checkpoint_writer import SAVE_INTERVAL_S
from madderwind.errors import StorageError
from madderwind.messages.distribution import UpstreamRecord
from madderwind.registry.checkpoint import RegistryCheckpoint
from tests.campaign.control_disk import SYNC_MS, ControlDisk
from tests.campaign.process import Process

MS_PER_S = 1000.0


class RegistryCopy:
    """Of one life of a process. `saved` is called with what is on disk now."""

    def __init__(
        self, process: Process, disk: ControlDisk, saved: Callable[[Sequence[UpstreamRecord]], None]
    ) -> None:
        self._process, self._disk, self._saved = process, disk, saved
        self._copy = RegistryCheckpoint(disk.memory)
        self._described: object = None
        self._offered_ms = 0.0
        self._is_urgent = False

    def load(self) -> tuple[UpstreamRecord, ...]:
        """What a former life of the process saved."""
        return self._copy.load()

    def urge(self) -> None:
        """Save with the next offer."""
        self._is_urgent = True

    def offer(self, upstreams: Callable[[], Sequence[UpstreamRecord]]) -> None:
        """Save what is known, if that is due, changed, and the disk takes it."""
        now_ms = self._process.clock.now_ms
        is_due = now_ms - self._offered_ms >= SAVE_INTERVAL_S * MS_PER_S
        if self._disk.is_in_fault or not (is_due or self._is_urgent):
            return
        self._offered_ms, self._is_urgent = now_ms, False
        records = upstreams()
        described = [(record.instance, record.service, record.address, record.state) for record in records]
        if described == self._described:
            return
        try:
            self._copy.save(records)
        except StorageError:
            self._described = None
            return
        self._described = described
        self._process.later(SYNC_MS, lambda: self._saved(records))
