"""What a replica calls fresh is the newest version, as of the moment that it names."""

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

CURRENT_MS = 600.0
CUT_MS = 20_000.0


class FreshnessStory(FleetStory):
    """Given a fleet at version 3, and a watch that knows what was confirmed."""

    def setUp(self) -> None:
        super().setUp()
        self.confirmed = Confirmations(self.fleet.clock)
        self.watch = FreshnessWatch(self.fleet.clock, self.fleet.running, self.confirmed.newest_before)
        self.confirmed.confirm(3)

    def command(self, base: int, version: int) -> None:
        self.fleet.submit_and_commit(base, version)
        self.confirmed.confirm(version)

    def age_ms(self, machine: Machine) -> float:
        status = machine.status()
        assert status is not None and status.fresh_age_ms is not None
        return status.fresh_age_ms

    def is_candidate(self, machine: Machine) -> bool:
        return machine.replica is not None and machine.replica.role is Role.CANDIDATE

    def lose(self, loses: Callable[[str, str, bytes], bool]) -> None:
        """From now on, messages are lost of which this holds."""
        send = self.fleet.network.send

        def send_others(sender: str, receiver: str, data: bytes) -> None:
            if not loses(sender, receiver, data):
                send(sender, receiver, data)

        lossy = patch.object(self.fleet.network, "send", send_others)
        lossy.start()
        self.addCleanup(lossy.stop)


class AReplicaThatLacksSomething(FreshnessStory):
    def test_given_heartbeats_without_their_commands_then_the_old_version_is_not_called_fresh(self) -> None:
        lagging = self.backups()[0]

        def is_content_for_it(sender: str, receiver: str, data: bytes) -> bool:
            message = replication_messages.decode(data)
            return receiver == lagging.address and isinstance(message, AppendEntries | InstallSnapshot)

        self.lose(is_content_for_it)
        self.command(3, 5)
        self.fleet.run(2_000.0)
        self.assertEqual(3, lagging.register.version)
        self.assertGreater(self.age_ms(lagging), CURRENT_MS)

    def test_given_a_new_primary_then_it_first_commits_what_the_old_one_may_have_confirmed(self) -> None:
        old = self.primary

        def is_commit_broadcast(sender: str, receiver: str, data: bytes) -> bool:
            return sender == old.address and len(old.register.taken) > 1  # it dies before it can tell

        self.lose(is_commit_broadcast)
        backups = self.backups()
        self.command(3, 5)
        old.kill()
        self.fleet.run_until(lambda: any(self.is_candidate(backup) for backup in backups), 1_000.0)
        for backup in backups:
            # Who is not to be primary takes long to write down that another is.
            backup.sync_ms = 1.0 if self.is_candidate(backup) else 60.0
        self.fleet.stabilize()
        self.fleet.run(3_000.0)
        self.assertEqual(5, self.primary.register.version)
        self.assertGreater(self.watch.claims, 0)


class MessagesThatWereHeldUp(FreshnessStory):
    def test_given_a_frozen_backup_when_it_wakes_then_what_it_reads_is_old(self) -> None:
        frozen = self.backups()[0]
        frozen.freeze()
        self.fleet.run(300.0)
        self.fleet.network.isolate(frozen.address)
        self.command(3, 5)
        self.fleet.run(CUT_MS)
        frozen.thaw()
        self.fleet.run(500.0)
        self.fleet.network.heal()
        self.fleet.run(2_000.0)
        self.assert_all_follow(5)
        self.assertLess(self.age_ms(frozen), 300.0)

    def test_given_a_cut_that_holds_messages_when_it_ends_then_they_are_old(self) -> None:
        held = self.backups()[0]
        for other in self.fleet.running():
            self.fleet.network.hold(other.address, held.address)
        heals_ms = self.fleet.clock.now_ms + CUT_MS

        def is_content_in_the_cut(sender: str, receiver: str, data: bytes) -> bool:
            message = replication_messages.decode(data)
            is_content = receiver == held.address and isinstance(message, AppendEntries | InstallSnapshot)
            return is_content and self.fleet.clock.now_ms < heals_ms  # so it reads old heartbeats alone

        self.lose(is_content_in_the_cut)
        self.command(3, 5)
        self.fleet.run(heals_ms - self.fleet.clock.now_ms)
        self.fleet.network.heal()
        self.fleet.run(2_000.0)
        self.assert_all_follow(5)

    def test_given_a_link_that_only_takes_long_then_the_age_tells_so(self) -> None:
        self.fleet.network.least_delay_ms = self.fleet.network.most_delay_ms = 40.0
        self.fleet.run(2_000.0)
        self.command(3, 5)
        self.fleet.run(1_000.0)
        for machine in self.fleet.running():
            self.assertLess(self.age_ms(machine), CURRENT_MS)


def fresh_as_of_the_round(lease: Lease) -> float | None:
    return lease.rounds.confirmed_ms


def fresh_as_of_the_arrival(follower: Follower, message: object) -> None:
    follower.record_fresh(follower.last_received_ms or 0.0)


class Mutants(unittest.TestCase):
    """Without its mechanism each story fails."""

    def assert_caught(self, story: FreshnessStory) -> None:
        result = unittest.TestResult()
        story.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_a_primary_that_calls_fresh_what_it_inherited(self) -> None:
        name = "test_given_a_new_primary_then_it_first_commits_what_the_old_one_may_have_confirmed"
        with patch.object(Lease, "fresh_ms", property(fresh_as_of_the_round)):
            self.assert_caught(AReplicaThatLacksSomething(name))

    def test_freshness_that_counts_from_the_arrival(self) -> None:
        names = (
            "test_given_a_frozen_backup_when_it_wakes_then_what_it_reads_is_old",
            "test_given_a_cut_that_holds_messages_when_it_ends_then_they_are_old",
        )
        with patch.object(Follower, "_update_lease", fresh_as_of_the_arrival):
            for name in names:
                self.assert_caught(MessagesThatWereHeldUp(name))

    def test_freshness_taken_from_a_heartbeat_ahead_of_its_commands(self) -> None:
        name = "test_given_heartbeats_without_their_commands_then_the_old_version_is_not_called_fresh"
        with patch.object(Follower, "_update_lease", fresh_as_of_the_arrival):
            self.assert_caught(AReplicaThatLacksSomething(name))
