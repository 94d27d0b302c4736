"""Tests of the thread that writes to the disk."""

from __future__ import annotations

import queue
import threading
import unittest

from madderwind.controlplane.disk_thread import Completion, DiskThread
from madderwind.errors import StorageError
from madderwind.replication.actions import Rewrite, Write
from madderwind.replication.events import WriteCompleted, WriteFailed
from madderwind.storage.record_file import RecordFile
from madderwind.storage.records import decode_records

REPORT_TIMEOUT_S = 10.0


class BlockingDisk:
    """A disk in memory; each sync blocks until the test releases it."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.released = threading.Semaphore(0)
        self.sync_started = threading.Semaphore(0)
        self.fails = False

    def names(self) -> tuple[str, ...]:
        return tuple(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def create(self, name: str, data: bytes) -> None:
        self._sync()
        self.files[name] = data

    def append(self, name: str, data: bytes) -> None:
        self._sync()
        self.files[name] += data

    def remove(self, name: str) -> None:
        del self.files[name]

    def _sync(self) -> None:
        self.sync_started.release()
        self.released.acquire()
        if self.fails:
            raise StorageError("full")


class DiskThreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = BlockingDisk()
        self.reports: queue.Queue[list[Completion]] = queue.Queue()
        self.thread = DiskThread(RecordFile(self.disk), self.reports.put)
        self.thread.start()

    def next_report(self) -> list[Completion]:
        return self.reports.get(timeout=REPORT_TIMEOUT_S)

    def complete_first_rewrite(self) -> None:
        self.thread.submit(Rewrite(1, (b"first",)))
        self.disk.released.release()
        self.assertEqual(self.next_report(), [WriteCompleted(1)])
        self.disk.sync_started.acquire()

    def test_writes_queued_during_a_sync_share_the_next_one(self) -> None:
        self.complete_first_rewrite()
        self.thread.submit(Write(2, (b"a",)))
        self.disk.sync_started.acquire()
        for token in (3, 4, 5):
            self.thread.submit(Write(token, (b"b%d" % token,)))
        self.disk.released.release(2)
        self.assertEqual(self.next_report(), [WriteCompleted(2)])
        self.assertEqual(self.next_report(), [WriteCompleted(3), WriteCompleted(4), WriteCompleted(5)])
        (data,) = self.disk.files.values()
        records = [record for record in decode_records(data).records if len(record) > 1]
        self.assertEqual(records, [b"first", b"b3", b"b4", b"b5"])

    def test_writes_and_rewrites_are_performed_in_order(self) -> None:
        self.complete_first_rewrite()
        self.thread.submit(Write(2, (b"aa",)))
        self.disk.sync_started.acquire()
        self.thread.submit(Write(3, (b"bb",)))
        self.thread.submit(Rewrite(4, (b"whole",)))
        self.thread.submit(Write(5, (b"cc",)))
        self.disk.released.release(9)
        tokens = [completion.token for _ in range(4) for completion in self.next_report()]
        self.assertEqual(tokens, [2, 3, 4, 5])
        (data,) = self.disk.files.values()
        records = [record for record in decode_records(data).records if len(record) > 1]
        self.assertEqual(records, [b"whole", b"cc"])

    def test_after_a_failed_sync_writes_fail_until_a_rewrite(self) -> None:
        self.complete_first_rewrite()
        self.disk.fails = True
        self.disk.released.release(9)
        self.thread.submit(Write(2, (b"aa",)))
        self.assertEqual(self.next_report(), [WriteFailed(2)])
        self.disk.fails = False
        self.thread.submit(Write(3, (b"bb",)))
        self.assertEqual(self.next_report(), [WriteFailed(3)])
        self.thread.submit(Rewrite(4, (b"whole",)))
        self.assertEqual(self.next_report(), [WriteCompleted(4)])


if __name__ == "__main__":
    unittest.main()
