"""Stories of the thread that waits for the disk."""

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

ANSWER_WITHIN_S = 10.0


class SlowDisk:
    """Files in memory; each sync waits until the test lets it go on."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.go_on = threading.Semaphore(0)
        self.began = threading.Semaphore(0)
        self.refuses = False

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
        self.began.release()
        self.go_on.acquire()
        if self.refuses:
            raise StorageError("full")


class WritesWaitForTheDisk(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = SlowDisk()
        self.reports: queue.Queue[list[Completion]] = queue.Queue()
        self.thread = DiskThread(RecordFile(self.disk), self.reports.put)
        self.thread.start()

    def report(self) -> list[Completion]:
        return self.reports.get(timeout=ANSWER_WITHIN_S)

    def rewritten(self) -> None:
        self.thread.submit(Rewrite(1, (b"first",)))
        self.disk.go_on.release()
        self.assertEqual(self.report(), [WriteCompleted(1)])
        self.disk.began.acquire()

    def test_writes_that_wait_together_share_a_sync(self) -> None:
        self.rewritten()
        self.thread.submit(Write(2, (b"a",)))
        self.disk.began.acquire()
        for token in (3, 4, 5):
            self.thread.submit(Write(token, (b"b%d" % token,)))
        self.disk.go_on.release(2)
        self.assertEqual(self.report(), [WriteCompleted(2)])
        self.assertEqual(self.report(), [WriteCompleted(3), WriteCompleted(4), WriteCompleted(5)])
        (data,) = self.disk.files.values()
        records = [record for record in decode_records(data).records if len(record) > 1]
        self.assertEqual(records, [b"first", b"b3", b"b4", b"b5"])

    def test_a_rewrite_comes_after_what_was_before_it(self) -> None:
        self.rewritten()
        self.thread.submit(Write(2, (b"aa",)))
        self.disk.began.acquire()
        self.thread.submit(Write(3, (b"bb",)))
        self.thread.submit(Rewrite(4, (b"whole",)))
        self.thread.submit(Write(5, (b"cc",)))
        self.disk.go_on.release(9)
        notified = [completion.token for _ in range(4) for completion in self.report()]
        self.assertEqual(notified, [2, 3, 4, 5])
        (data,) = self.disk.files.values()
        records = [record for record in decode_records(data).records if len(record) > 1]
        self.assertEqual(records, [b"whole", b"cc"])

    def test_all_that_shared_a_failed_sync_fail_until_a_rewrite(self) -> None:
        self.rewritten()
        self.disk.refuses = True
        self.disk.go_on.release(9)
        self.thread.submit(Write(2, (b"aa",)))
        self.assertEqual(self.report(), [WriteFailed(2)])
        self.disk.refuses = False
        self.thread.submit(Write(3, (b"bb",)))
        self.assertEqual(self.report(), [WriteFailed(3)])
        self.thread.submit(Rewrite(4, (b"whole",)))
        self.assertEqual(self.report(), [WriteCompleted(4)])


if __name__ == "__main__":
    unittest.main()
