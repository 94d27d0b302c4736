"""Crashes while record files are rewritten frequently: acknowledged commands are retained."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication import journal
from madderwind.replication.records import EntryRecord, SnapshotRecord, StoredRecord
from madderwind.replication.store import ReplicaStore
from tests.fleet.fleet import Fleet
from tests.fleet.register import Register

COMMANDS = 40
original_records = ReplicaStore.all_records


class FrequentRewrites(unittest.TestCase):
    """Files are rewritten from a few hundred bytes on.

    Every few commands all machines stop at the same time, some of them in the middle of a write.
    """

    def setUp(self) -> None:
        rewrite_limit = patch.object(journal, "REWRITE_FROM_BYTES", 300)
        rewrite_limit.start()
        self.addCleanup(rewrite_limit.stop)
        self.fleet = Fleet(3, 1, seed=23)
        self.fleet.start()
        self.fleet.stabilize()

    def stop_and_restart_all(self, keeps_power: bool) -> None:
        for machine in self.fleet.machines.values():
            (machine.kill if keeps_power else machine.lose_power)()
        for machine in self.fleet.machines.values():
            machine.start()
        self.fleet.stabilize()

    def test_given_kills_and_power_losses_of_all_machines_then_all_commands_are_retained(self) -> None:
        for version in range(1, COMMANDS + 1):
            self.fleet.submit_and_commit(version - 1, version)
            if version % 5 == 0:
                self.stop_and_restart_all(keeps_power=version % 2 == 0)
                self.assertEqual(version, self.fleet.read_committed().version)
        register = self.fleet.read_committed()
        self.assertEqual(COMMANDS, len(register.taken))


def records_with_a_stale_snapshot(store: ReplicaStore) -> list[StoredRecord]:
    """Return the records with a snapshot that lacks the last command but has the index after it."""
    records = original_records(store)
    return [
        _without_last_command(record) if isinstance(record, SnapshotRecord) else record for record in records
    ]


def _without_last_command(record: SnapshotRecord) -> SnapshotRecord:
    register = Register.restore(record.state)
    del register.taken[-1:]
    return SnapshotRecord(record.index, record.epoch, register.snapshot())


def records_without_uncommitted_entries(store: ReplicaStore) -> list[StoredRecord]:
    """Return the records without the entries that are not known to be committed."""
    return [record for record in original_records(store) if not isinstance(record, EntryRecord)]


class MutantsAreFound(unittest.TestCase):
    def assert_found(self) -> None:
        name = "test_given_kills_and_power_losses_of_all_machines_then_all_commands_are_retained"
        result = unittest.TestResult()
        FrequentRewrites(name).run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)

    def test_a_snapshot_older_than_the_log(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_with_a_stale_snapshot):
            self.assert_found()

    def test_a_rewrite_without_the_entries_after_the_snapshot(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_without_uncommitted_entries):
            self.assert_found()


if __name__ == "__main__":
    unittest.main()
