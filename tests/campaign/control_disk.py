"""A control plane's simulated disk: ordered writes, group syncs, and injected delays, stalls and failures."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from madderwind.configuration.history import ConfigurationHistory
from madderwind.errors import StorageError
from madderwind.replication.actions import Rewrite, Write
from madderwind.replication.commands import Command, CommandOutcome
from madderwind.replication.events import WriteCompleted, WriteFailed
from madderwind.replication.records import stored_state
from madderwind.storage.record_file import RecordFile, RecoveredFile
from tests.campaign.process import Process
from tests.fleet.disk import MemoryDisk, PowerLost

SYNC_MS = 1.0

Completion = WriteCompleted | WriteFailed


class ControlDisk:
    """Simulates DiskThread for each incarnation of its process; completions are passed to `report`."""

    def __init__(self, process: Process, rng: random.Random, report: Callable[[Completion], None]) -> None:
        self.memory = MemoryDisk(rng)
        self.sync_ms = SYNC_MS
        self.stalled_until_ms = 0.0
        self._process, self._rng, self._report = process, rng, report
        self._file = RecordFile(self.memory)
        self._queue: deque[Write | Rewrite] = deque()
        self._batch: list[Write | Rewrite] = []
        self._waits = 0  # the newest wait's number; one restarted after a stall replaces the last

    @property
    def is_in_fault(self) -> bool:
        """Whether the disk is slow, stalled, full or failing syncs."""
        is_stalled = self.stalled_until_ms > self._process.clock.now_ms
        return is_stalled or self.sync_ms > SYNC_MS or self.memory.is_full or self.memory.fails_syncs

    def recover(self) -> RecoveredFile:
        """Return what the disk holds when a process starts."""
        self._queue.clear()
        self._batch.clear()
        self._file = RecordFile(self.memory)
        return self._file.recover()

    def submit(self, job: Write | Rewrite) -> None:
        """Queue a write behind all earlier ones."""
        self._queue.append(job)
        if not self._batch:
            self._begin()

    def repair(self) -> None:
        """End all injected faults."""
        self.sync_ms = SYNC_MS
        if self.stalled_until_ms > self._process.clock.now_ms:
            self.stalled_until_ms = self._process.clock.now_ms
            if self._batch:
                self._wait(self.sync_ms)
        self.memory.is_full = self.memory.fails_syncs = False

    def interrupt(self) -> None:
        """Handle the end of the process: the current write is truncated and queued writes are dropped."""
        if self._batch:
            self.memory.goes_down_next = True
            try:
                self._write()
            except PowerLost:
                pass
            finally:
                self.memory.goes_down_next = False
        self._batch.clear()
        self._queue.clear()

    def holds(self, command: Command) -> bool:
        """Whether the command would survive a power loss that discards all unsynced data."""
        stored = stored_state(RecordFile(self.memory.synced_copy()).recover().records)
        for index in range(stored.snapshot_index + 1, stored.log.last_index + 1):
            entry = stored.log.entry(index)
            if (entry.base_version, entry.body) == (command.base_version, command.body):
                return True
        if stored.snapshot is None:
            return False
        result = ConfigurationHistory.restore(stored.snapshot).validate(command)
        return result is not None and result.outcome is CommandOutcome.COMMITTED

    def _begin(self) -> None:
        self._batch = [self._queue.popleft()]
        while isinstance(self._batch[0], Write) and self._queue and isinstance(self._queue[0], Write):
            self._batch.append(self._queue.popleft())
        self._wait(self._rng.uniform(0.5, 1.5) * self.sync_ms)

    def _wait(self, delay_ms: float) -> None:
        self._waits += 1
        incarnation, wait, clock = self._process.incarnation, self._waits, self._process.clock
        delay_ms = max(delay_ms, self.stalled_until_ms - clock.now_ms)
        clock.after(delay_ms, lambda: self._end(incarnation, wait))

    def _end(self, incarnation: int, wait: int) -> None:
        if incarnation != self._process.incarnation or wait != self._waits:
            return
        remaining_ms = self.stalled_until_ms - self._process.clock.now_ms
        if remaining_ms > 0.0:
            self._wait(remaining_ms)
            return
        batch, has_succeeded = self._batch, self._write()
        self._batch = []
        if self._queue:
            self._begin()
        for job in batch:
            completion = WriteCompleted(job.token) if has_succeeded else WriteFailed(job.token)
            self._process.post(incarnation, lambda done=completion: self._report(done))  # type: ignore[misc]

    def _write(self) -> bool:
        try:
            if isinstance(self._batch[0], Rewrite):
                self._file.rewrite(self._batch[0].records)
            else:
                self._file.append(tuple(record for job in self._batch for record in job.records))
        except StorageError:
            return False
        return True
