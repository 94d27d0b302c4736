"""A version that a replica reports as fresh was the newest committed one at the reported time."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest.mock import patch

from madderwind.messages.replication import AppendEntries, InstallSnapshot, replication_messages
from madderwind.replication.follower import Follower
from madderwind.replication.lease import Lease
from madderwind.replication.role_machine import Role
from tests.fleet.freshness import Confirmations, FreshnessWatch
from tests.fleet.machine import Machine
from tests.replication.story import FleetStory

MAX_FRESH_AGE_MS = 600.0
PARTITION_MS = 20_000.0


class FreshnessTestCase(FleetStory):
    """Base class: a fleet at version 3, whose reported freshness is checked against the commits."""

    def setUp(self) -> None:
        super().setUp()
        self.confirmations = Confirmations(self.fleet.clock)
        self.watch = FreshnessWatch(self.fleet.clock, self.fleet.running, self.confirmations.newest_before)
        self.confirmations.confirm(3)

    def commit_command(self, base: int, version: int) -> None:
        self.fleet.submit_and_commit(base, version)
        self.confirmations.confirm(version)

    def age_ms(self, machine: Machine) -> float:
        status = machine.status()
        assert status is not None and status.fresh_age_ms is not None
        return status.fresh_age_ms

    def is_candidate(self, machine: Machine) -> bool:
        return machine.replica is not None and machine.replica.role is Role.CANDIDATE

    def drop_messages(self, should_drop: Callable[[str, str, bytes], bool]) -> None:
        """Drop all further messages that the given predicate matches."""
        send = self.fleet.network.send

        def send_unless_dropped(sender: str, receiver: str, data: bytes) -> None:
            if not should_drop(sender, receiver, data):
                send(sender, receiver, data)

        dropping_send = patch.object(self.fleet.network, "send", send_unless_dropped)
        dropping_send.start()
        self.addCleanup(dropping_send.stop)


class IncompleteReplicaTests(FreshnessTestCase):
    def test_given_heartbeats_without_entries_then_the_old_version_is_not_reported_as_fresh(self) -> None:
        lagging = self.backups()[0]

        def is_log_data_for_lagging(sender: str, receiver: str, data: bytes) -> bool:
            message = replication_messages.decode(data)
            return receiver == lagging.address and isinstance(message, AppendEntries | InstallSnapshot)

        self.drop_messages(is_log_data_for_lagging)
        self.commit_command(3, 5)
        self.fleet.run(2_000.0)
        self.assertEqual(3, lagging.register.version)
        self.assertGreater(self.age_ms(lagging), MAX_FRESH_AGE_MS)

    def test_given_a_new_primary_then_it_first_commits_entries_that_the_old_one_may_have_confirmed(
        self,
    ) -> None:
        old = self.primary

        def is_commit_broadcast(sender: str, receiver: str, data: bytes) -> bool:
            # The old primary is killed before it can announce the commit.
            return sender == old.address and len(old.register.taken) > 1

        self.drop_messages(is_commit_broadcast)
        backups = self.backups()
        self.commit_command(3, 5)
        old.kill()
        self.fleet.run_until(lambda: any(self.is_candidate(backup) for backup in backups), 1_000.0)
        for backup in backups:
            # A backup that is not a candidate records the new view late.
            backup.sync_ms = 1.0 if self.is_candidate(backup) else 60.0
        self.fleet.stabilize()
        self.fleet.run(3_000.0)
        self.assertEqual(5, self.primary.register.version)
        self.assertGreater(self.watch.claims, 0)


class DelayedMessageTests(FreshnessTestCase):
    def test_given_a_frozen_backup_when_it_resumes_then_queued_messages_count_as_old(self) -> None:
        frozen = self.backups()[0]
        frozen.freeze()
        self.fleet.run(300.0)
        self.fleet.network.isolate(frozen.address)
        self.commit_command(3, 5)
        self.fleet.run(PARTITION_MS)
        frozen.thaw()
        self.fleet.run(500.0)
        self.fleet.network.heal()
        self.fleet.run(2_000.0)
        self.assert_all_follow(5)
        self.assertLess(self.age_ms(frozen), 300.0)

    def test_given_a_partition_that_delays_messages_when_it_heals_then_they_count_as_old(self) -> None:
        delayed = self.backups()[0]
        for other in self.fleet.running():
            self.fleet.network.hold(other.address, delayed.address)
        heals_ms = self.fleet.clock.now_ms + PARTITION_MS

        def is_log_data_during_partition(sender: str, receiver: str, data: bytes) -> bool:
            message = replication_messages.decode(data)
            is_log_data = receiver == delayed.address and isinstance(message, AppendEntries | InstallSnapshot)
            return is_log_data and self.fleet.clock.now_ms < heals_ms  # so that only old heartbeats arrive

        self.drop_messages(is_log_data_during_partition)
        self.commit_command(3, 5)
        self.fleet.run(heals_ms - self.fleet.clock.now_ms)
        self.fleet.network.heal()
        self.fleet.run(2_000.0)
        self.assert_all_follow(5)

    def test_given_slow_links_then_the_freshness_age_stays_bounded(self) -> None:
        self.fleet.network.least_delay_ms = self.fleet.network.most_delay_ms = 40.0
        self.fleet.run(2_000.0)
        self.commit_command(3, 5)
        self.fleet.run(1_000.0)
        for machine in self.fleet.running():
            self.assertLess(self.age_ms(machine), MAX_FRESH_AGE_MS)


def fresh_ms_without_inherited_entries(lease: Lease) -> float | None:
    return lease.rounds.confirmed_ms


def record_arrival_as_fresh(follower: Follower, message: object) -> None:
    follower.record_fresh(follower.last_received_ms or 0.0)


class FreshnessMutantTests(unittest.TestCase):
    """Each test of this file fails without the mechanism that it covers."""

    def assert_detected(self, test_case: FreshnessTestCase) -> None:
        result = unittest.TestResult()
        test_case.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_primary_that_reports_inherited_entries_as_fresh_is_detected(self) -> None:
        name = "test_given_a_new_primary_then_it_first_commits_entries_that_the_old_one_may_have_confirmed"
        with patch.object(Lease, "fresh_ms", property(fresh_ms_without_inherited_entries)):
            self.assert_detected(IncompleteReplicaTests(name))

    def test_freshness_measured_from_the_arrival_is_detected(self) -> None:
        names = (
            "test_given_a_frozen_backup_when_it_resumes_then_queued_messages_count_as_old",
            "test_given_a_partition_that_delays_messages_when_it_heals_then_they_count_as_old",
        )
        with patch.object(Follower, "_update_lease", record_arrival_as_fresh):
            for name in names:
                self.assert_detected(DelayedMessageTests(name))

    def test_freshness_from_a_heartbeat_ahead_of_its_entries_is_detected(self) -> None:
        name = "test_given_heartbeats_without_entries_then_the_old_version_is_not_reported_as_fresh"
        with patch.object(Follower, "_update_lease", record_arrival_as_fresh):
            self.assert_detected(IncompleteReplicaTests(name))
