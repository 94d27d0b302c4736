"""Files that are rewritten all the time, and ends in the midst of it: what was acknowledged stays."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication import journal
from madderwind.replication.records import EntryRecord, SnapshotRecord, StoredRecord
from madderwind.replication.store import ReplicaStore
from tests.fleet.fleet import Fleet
from tests.fleet.register import Register

COMMANDS = 40
ordinary_records = ReplicaStore.all_records


class FilesAreRewritten(unittest.TestCase):
    """A file counts as long at a few hundred bytes; every few commands all machines end at once, some in
    the midst of a write."""

    def setUp(self) -> None:
        long_file = patch.object(journal, "REWRITE_FROM_BYTES", 300)
        long_file.start()
        self.addCleanup(long_file.stop)
        self.fleet = Fleet(3, 1, seed=23)
        self.fleet.start()
        self.fleet.stabilize()

    def end_all(self, with_power: bool) -> None:
        for machine in self.fleet.machines.values():
            (machine.kill if with_power else machine.lose_power)()
        for machine in self.fleet.machines.values():
            machine.start()
        self.fleet.stabilize()

    def test_given_ends_of_all_processes_or_of_all_power_then_all_commands_are_there(self) -> None:
        for version in range(1, COMMANDS + 1):
            self.fleet.submit_and_commit(version - 1, version)
            if version % 5 == 0:
                self.end_all(with_power=version % 2 == 0)
                self.assertEqual(version, self.fleet.read_committed().version)
        register = self.fleet.read_committed()
        self.assertEqual(COMMANDS, len(register.taken))


def records_with_an_old_snapshot(store: ReplicaStore) -> list[StoredRecord]:
    """The state before the last command, under the index after it."""
    records = ordinary_records(store)
    return [_older(record) if isinstance(record, SnapshotRecord) else record for record in records]


def _older(record: SnapshotRecord) -> SnapshotRecord:
    register = Register.restore(record.state)
    del register.taken[-1:]
    return SnapshotRecord(record.index, record.epoch, register.snapshot())


def records_without_the_tail(store: ReplicaStore) -> list[StoredRecord]:
    """Without the entries that are not known to be committed."""
    return [record for record in ordinary_records(store) if not isinstance(record, EntryRecord)]


class MutantsAreFound(unittest.TestCase):
    def assert_found(self) -> None:
        name = "test_given_ends_of_all_processes_or_of_all_power_then_all_commands_are_there"
        result = unittest.TestResult()
        FilesAreRewritten(name).run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)

    def test_a_snapshot_older_than_the_log(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_with_an_old_snapshot):
            self.assert_found()

    def test_a_rewrite_without_the_entries_after_the_snapshot(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_without_the_tail):
            self.assert_found()


if __name__ == "__main__":
    unittest.main()
