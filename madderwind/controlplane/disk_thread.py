"""Writes to the disk on a separate thread; writes that are queued together share one sync."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

from madderwind.errors import StorageError
from madderwind.replication.actions import Rewrite, Write
from madderwind.replication.events import WriteCompleted, WriteFailed
from madderwind.storage.record_file import RecordFile

Completion = WriteCompleted | WriteFailed


class DiskThread:
    """Performs writes in order. `report` is called on the thread with the completions and must not block."""

    def __init__(self, record_file: RecordFile, report: Callable[[list[Completion]], None]) -> None:
        self._file = record_file
        self._report = report
        self._jobs: queue.SimpleQueue[Write | Rewrite] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def submit(self, job: Write | Rewrite) -> None:
        """Queue this write after all that were submitted before."""
        self._jobs.put(job)

    def _run(self) -> None:
        while True:
            self._perform([self._jobs.get(), *self._queued_jobs()])

    def _queued_jobs(self) -> list[Write | Rewrite]:
        jobs: list[Write | Rewrite] = []
        while True:
            try:
                jobs.append(self._jobs.get_nowait())
            except queue.Empty:
                return jobs

    def _perform(self, jobs: list[Write | Rewrite]) -> None:
        """Perform each rewrite separately, and the writes between two rewrites as one append."""
        writes: list[Write] = []
        for job in jobs:
            if isinstance(job, Write):
                writes.append(job)
                continue
            self._append(writes)
            writes = []
            self._rewrite(job)
        self._append(writes)

    def _append(self, writes: list[Write]) -> None:
        if not writes:
            return
        records = tuple(record for write in writes for record in write.records)
        try:
            self._file.append(records)
        except StorageError:
            self._report([WriteFailed(write.token) for write in writes])
        else:
            self._report([WriteCompleted(write.token) for write in writes])

    def _rewrite(self, job: Rewrite) -> None:
        try:
            self._file.rewrite(job.records)
        except StorageError:
            self._report([WriteFailed(job.token)])
        else:
            self._report([WriteCompleted(job.token)])
