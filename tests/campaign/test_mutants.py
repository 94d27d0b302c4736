"""Mutation tests: a campaign has to find each bug patched into the code within a few seeds."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable, Sequence
from unittest.mock import patch

import msgspec

from madderwind.configuration.history import ConfigurationHistory
from madderwind.controlplane.effects import Effect, RespondToUpstream
from madderwind.controlplane.operator_call import LocalCaller, PeerCaller
from madderwind.controlplane.operator_calls import OperatorCalls, Output
from madderwind.controlplane.registry_service import RegistryService
from madderwind.distribution.publisher import Publisher
from madderwind.messages.distribution import Freshness
from madderwind.replication.actions import CommandResolved
from madderwind.replication.commands import Command, CommandOutcome, CommandResult
from madderwind.replication.lease import Lease
from madderwind.replication.primary import Primary
from madderwind.replication.records import SnapshotRecord, StoredRecord
from madderwind.replication.store import ReplicaStore
from tests.campaign.campaign import Campaign, Schedule, draw_schedule
from tests.campaign.faults import Fault, FaultKind, LossCount, Victim
from tests.campaign.system import Plan
from tests.fleet.disk import MemoryDisk, _File
from tests.fleet.history import Violation

MAX_SEEDS = 40

original_primary_submit = Primary.submit
original_calls_init = OperatorCalls.__init__
original_calls_submit = OperatorCalls.submit
original_all_records = ReplicaStore.all_records
original_freshness_message = Publisher._freshness_message


def reject_without_leadership_proof(primary: Primary, now_ms: float, token: int, command: Command) -> None:
    result = primary._appended.validate(command)
    if result is not None and result.outcome is not CommandOutcome.COMMITTED:
        primary._outbox.add(CommandResolved(token, result))
    else:
        original_primary_submit(primary, now_ms, token, command)


def snapshot_without_digests(history: ConfigurationHistory) -> bytes:
    parts = msgspec.msgpack.decode(original_snapshot(history))
    parts[1] = []
    return msgspec.msgpack.encode(parts)


original_snapshot = ConfigurationHistory.snapshot


def respond_without_other_machines(
    upstreams: RegistryService, now_ms: float, call: int, instance: str
) -> list[Effect]:
    return [RespondToUpstream(call, is_accepted=True)]


def create_without_directory_sync(disk: MemoryDisk, name: str, data: bytes) -> None:
    file = disk._files[name] = _File()
    disk._write(file, data)
    file.synced, file.writes = file.data(), []


def records_with_older_snapshot(store: ReplicaStore) -> list[StoredRecord]:
    records = original_all_records(store)
    known: bytes | None = getattr(store, "older_snapshot", None)
    store.older_snapshot = store.committed.snapshot()  # type: ignore[attr-defined]
    return [
        SnapshotRecord(record.index, record.epoch, known)
        if isinstance(record, SnapshotRecord) and known is not None
        else record
        for record in records
    ]


def freshness_without_age(publisher: Publisher, now_ms: float) -> Freshness:
    freshness = original_freshness_message(publisher, now_ms)
    is_known = freshness.age_ms is not None
    return msgspec.structs.replace(freshness, age_ms=0.0) if is_known else freshness


def acknowledge_before_commit(
    calls: OperatorCalls, now_ms: float, caller: LocalCaller | PeerCaller, command: Command | None
) -> list[Output]:
    outputs = original_calls_submit(calls, now_ms, caller, command)
    for call in list(calls._calls.values()):
        is_submitted = call.caller == caller and outputs and calls._status().is_primary
        if is_submitted and isinstance(caller, PeerCaller) and command is not None:
            call.result = CommandResult(CommandOutcome.COMMITTED, command.base_version + 1)
            return outputs + calls._end(call)
    return outputs


def tokens_from_zero(calls: OperatorCalls, first_token: int, *others: object) -> None:
    original_calls_init(calls, 0, *others)  # type: ignore[arg-type]


def fresh_ms_of_uncommitted_tail(lease: Lease) -> float | None:
    return lease.rounds.confirmed_ms


def restart_schedule(seed: int) -> Schedule:
    """Build a schedule that kills and restarts backups while the primary's disk is slow.

    Replies to calls of their earlier incarnations are in transit all the time.
    """
    plan = Plan(
        seed=f"restarts {seed}",
        machines=3,
        tolerance=1,
        data_planes=1,
        operators=6,
        upstreams=0,
        command_interval_ms=5.0,
        upstream_incarnation_ms=1_000.0,
        answer_loss=0.0,
    )
    slow_disk = Fault(100.0, FaultKind.SLOW_DISK, 9_000.0, Victim.PRIMARY, other=0.95)
    kills = [
        Fault(300.0 + 250.0 * number, FaultKind.KILL, 50.0, Victim.BACKUP, pick=0.9 * (number % 2))
        for number in range(34)
    ]
    return Schedule(plan, ((slow_disk, *kills),), 9_000.0, False, LossCount.LOOSE)


class MutantDetectionTest(unittest.TestCase):
    def assert_found(
        self, likely_seeds: Sequence[int], schedule: Callable[[int], Schedule] = draw_schedule
    ) -> None:
        """Check that some seed leads to a violation; the likely seeds are only tried first."""
        for seed in (*likely_seeds, *range(1, MAX_SEEDS)):
            with contextlib.suppress(Violation):
                Campaign(schedule(seed)).run()
                continue
            return
        self.fail("no seed found the mutant")

    def test_given_a_rejection_without_leadership_proof_then_it_is_found(self) -> None:
        with patch.object(Primary, "submit", reject_without_leadership_proof):
            self.assert_found([15])

    def test_given_snapshots_without_digests_then_it_is_found(self) -> None:
        with patch.object(ConfigurationHistory, "snapshot", snapshot_without_digests):
            self.assert_found([27])

    def test_given_a_drain_acknowledged_without_other_machines_then_it_is_found(self) -> None:
        with patch.object(RegistryService, "_respond", respond_without_other_machines):
            self.assert_found([4])

    def test_given_a_rewrite_without_a_directory_sync_then_it_is_found(self) -> None:
        with patch.object(MemoryDisk, "create", create_without_directory_sync):
            self.assert_found([27])

    def test_given_a_snapshot_older_than_the_log_then_it_is_found(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_with_older_snapshot):
            self.assert_found([8])

    def test_given_a_forwarded_command_acknowledged_before_its_commit_then_it_is_found(self) -> None:
        with patch.object(OperatorCalls, "submit", acknowledge_before_commit):
            self.assert_found([2])

    def test_given_an_uncommitted_log_tail_reported_as_fresh_then_it_is_found(self) -> None:
        with patch.object(Lease, "fresh_ms", property(fresh_ms_of_uncommitted_tail)):
            self.assert_found([46])

    def test_given_freshness_without_its_age_then_it_is_found(self) -> None:
        with patch.object(Publisher, "_freshness_message", freshness_without_age):
            self.assert_found([1])

    def test_given_equal_call_numbers_in_each_incarnation_then_a_reply_to_an_earlier_one_is_found(
        self,
    ) -> None:
        with patch.object(OperatorCalls, "__init__", tokens_from_zero):
            self.assert_found([9, 4], restart_schedule)

    def test_given_random_first_call_numbers_then_replies_to_earlier_incarnations_are_harmless(self) -> None:
        Campaign(restart_schedule(2)).run()


if __name__ == "__main__":
    unittest.main()
