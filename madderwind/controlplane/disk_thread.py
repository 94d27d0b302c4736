"""The thread that waits for the disk; writes that wait together share a sync."""

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
    """Carries out writes in order. `report` is called on the thread with what is done; it must not wait."""

    def __init__(self, record_file: RecordFile, report: Callable[[list[Completion]], None]) -> None:
        self._file = record_file
        self._report = report
        self._jobs: queue.SimpleQueue[Write | Rewrite] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def start(self) -> None:
        """Begin to take writes."""
        self._thread.start()

    def submit(self, job: Write | Rewrite) -> None:
        """Have this written after all that was submitted before."""
        self._jobs.put(job)

    def _run(self) -> None:
        while True:
            self._do([self._jobs.get(), *self._waiting()])

    def _waiting(self) -> list[Write | Rewrite]:
        jobs: list[Write | Rewrite] = []
        while True:
            try:
                jobs.append(self._jobs.get_nowait())
            except queue.Empty:
                return jobs

    def _do(self, jobs: list[Write | Rewrite]) -> None:
        """Rewrites one by one, the writes between them together."""
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
