"""Faults put into the code on purpose: the campaign has to find each of them within a few seeds."""

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

MOST_SEEDS = 40

ordinary_submit = Primary.submit
ordinary_calls = OperatorCalls.__init__
ordinary_call = OperatorCalls.submit
ordinary_records = ReplicaStore.all_records
ordinary_freshness = Publisher._freshness_message


def refuse_without_a_fence(primary: Primary, now_ms: float, token: int, command: Command) -> None:
    result = primary._appended.validate(command)
    if result is not None and result.outcome is not CommandOutcome.COMMITTED:
        primary._outbox.add(CommandResolved(token, result))
    else:
        ordinary_submit(primary, now_ms, token, command)


def snapshot_without_digests(history: ConfigurationHistory) -> bytes:
    parts = msgspec.msgpack.decode(ordinary_snapshot(history))
    parts[1] = []
    return msgspec.msgpack.encode(parts)


ordinary_snapshot = ConfigurationHistory.snapshot


def answer_alone(upstreams: RegistryService, now_ms: float, call: int, instance: str) -> list[Effect]:
    return [RespondToUpstream(call, is_accepted=True)]


def create_without_the_folder(disk: MemoryDisk, name: str, data: bytes) -> None:
    file = disk._files[name] = _File()
    disk._write(file, data)
    file.synced, file.writes = file.data(), []


def records_with_an_older_snapshot(store: ReplicaStore) -> list[StoredRecord]:
    records = ordinary_records(store)
    known: bytes | None = getattr(store, "older_snapshot", None)
    store.older_snapshot = store.committed.snapshot()  # type: ignore[attr-defined]
    return [
        SnapshotRecord(record.index, record.epoch, known)
        if isinstance(record, SnapshotRecord) and known is not None
        else record
        for record in records
    ]


def fresh_without_its_age(publisher: Publisher, now_ms: float) -> Freshness:
    freshness = ordinary_freshness(publisher, now_ms)
    is_known = freshness.age_ms is not None
    return msgspec.structs.replace(freshness, age_ms=0.0) if is_known else freshness


def take_before_the_commit(
    calls: OperatorCalls, now_ms: float, caller: LocalCaller | PeerCaller, command: Command | None
) -> list[Output]:
    outputs = ordinary_call(calls, now_ms, caller, command)
    for call in list(calls._calls.values()):
        is_placed = call.caller == caller and outputs and calls._status().is_primary
        if is_placed and isinstance(caller, PeerCaller) and command is not None:
            call.result = CommandResult(CommandOutcome.COMMITTED, command.base_version + 1)
            return outputs + calls._end(call)
    return outputs


def tokens_from_zero(calls: OperatorCalls, first_token: int, *others: object) -> None:
    ordinary_calls(calls, 0, *others)  # type: ignore[arg-type]


def tail_called_fresh(lease: Lease) -> float | None:
    return lease.rounds.confirmed_ms


def restarts_under_way(seed: int) -> Schedule:
    """Backups that are killed and back at once, again and again, while the primary's disk is slow: replies to
    calls of their former lives are on the way all the time."""
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


class CampaignsFindMutants(unittest.TestCase):
    def assert_found(
        self, likely_seeds: Sequence[int], schedule: Callable[[int], Schedule] = draw_schedule
    ) -> None:
        """Within some seeds, something happens that must not. The likely ones are only tried first."""
        for seed in (*likely_seeds, *range(1, MOST_SEEDS)):
            with contextlib.suppress(Violation):
                Campaign(schedule(seed)).run()
                continue
            return
        self.fail("the fault was not found")

    def test_given_a_refusal_without_a_fence_then_it_is_found(self) -> None:
        with patch.object(Primary, "submit", refuse_without_a_fence):
            self.assert_found([15])

    def test_given_snapshots_without_digests_then_it_is_found(self) -> None:
        with patch.object(ConfigurationHistory, "snapshot", snapshot_without_digests):
            self.assert_found([27])

    def test_given_a_drain_acknowledged_alone_then_it_is_found(self) -> None:
        with patch.object(RegistryService, "_respond", answer_alone):
            self.assert_found([4])

    def test_given_a_rewrite_without_the_folders_sync_then_it_is_found(self) -> None:
        with patch.object(MemoryDisk, "create", create_without_the_folder):
            self.assert_found([27])

    def test_given_a_snapshot_older_than_the_log_then_it_is_found(self) -> None:
        with patch.object(ReplicaStore, "all_records", records_with_an_older_snapshot):
            self.assert_found([8])

    def test_given_a_forwarded_command_acknowledged_before_its_commit_then_it_is_found(self) -> None:
        with patch.object(OperatorCalls, "submit", take_before_the_commit):
            self.assert_found([2])

    def test_given_a_tail_that_is_not_committed_called_fresh_then_it_is_found(self) -> None:
        with patch.object(Lease, "fresh_ms", property(tail_called_fresh)):
            self.assert_found([46])

    def test_given_freshness_without_its_age_then_it_is_found(self) -> None:
        with patch.object(Publisher, "_freshness_message", fresh_without_its_age):
            self.assert_found([1])

    def test_given_calls_numbered_alike_in_each_incarnation_then_a_reply_to_a_former_one_is_found(
        self,
    ) -> None:
        with patch.object(OperatorCalls, "__init__", tokens_from_zero):
            self.assert_found([9, 4], restarts_under_way)

    def test_given_calls_numbered_by_chance_then_replies_to_former_incarnations_do_no_harm(self) -> None:
        Campaign(restarts_under_way(2)).run()


if __name__ == "__main__":
    unittest.main()
