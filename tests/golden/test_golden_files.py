"""Tests that data directories and messages of version 0.2.0 are read, and messages encoded identically."""

from __future__ import annotations

import json
import random
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast, get_args

import msgspec
import pytest

from madderwind.configuration.history import ConfigurationHistory
from madderwind.messages.codec import Codec
from madderwind.messages.distribution import ToControlPlane, ToDataPlane, to_control_plane, to_data_plane
from madderwind.messages.peering import PeerFrame, peer_frames
from madderwind.messages.status import ControlPlaneStatus
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.replication.events import CommandSubmitted
from madderwind.replication.records import (
    EntryRecord,
    IdentityRecord,
    SnapshotRecord,
    StoredRecord,
    TruncateRecord,
    ViewRecord,
    WitnessRecord,
    stored_records,
    stored_state,
)
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile, RecoveredFile
from tests.controlplane.configurations import replacement, replacement_body, update
from tests.golden import samples
from tests.golden.write_golden_files import DiskReplica

DATA_DIRECTORY = Path(__file__).parent / "data"
GOLDEN_MESSAGES: dict[str, list[str]] = json.loads((DATA_DIRECTORY / "messages.json").read_text())
SAMPLES_BY_KIND: dict[str, tuple[Codec[Any], tuple[Any, ...]]] = {
    "replication": (peer_frames, samples.REPLICATION_SAMPLES),
    "peering": (peer_frames, samples.PEERING_SAMPLES),
    "to_control_plane": (to_control_plane, samples.TO_CONTROL_PLANE_SAMPLES),
    "to_data_plane": (to_data_plane, samples.TO_DATA_PLANE_SAMPLES),
}
MESSAGE_CASES = [
    pytest.param(codec, message, bytes.fromhex(data), id=type(message).__name__)
    for kind, (codec, messages) in SAMPLES_BY_KIND.items()
    for message, data in zip(messages, GOLDEN_MESSAGES[kind], strict=True)
]


@pytest.fixture
def copy_golden_directory(tmp_path: Path) -> Callable[[str], Path]:
    """A function that copies a data directory, because a replica writes to it when it starts."""

    def copy_directory(name: str) -> Path:
        return Path(shutil.copytree(DATA_DIRECTORY / name, tmp_path / name))

    return copy_directory


def recover(directory: Path) -> RecoveredFile:
    """The contents that a replica reads from its directory when it starts."""
    return RecordFile(FileDisk(str(directory))).recover()


def record_types(directory: Path) -> list[type[StoredRecord]]:
    """The types of the records in a replica's file."""
    return [type(stored_records.decode(record)) for record in recover(directory).records]


@pytest.mark.parametrize(("codec", "message", "data"), MESSAGE_CASES)
def test_message_is_read_from_golden_bytes(codec: Codec[Any], message: object, data: bytes) -> None:
    assert codec.decode(data) == message


@pytest.mark.parametrize(("codec", "message", "data"), MESSAGE_CASES)
def test_message_is_written_as_golden_bytes(codec: Codec[Any], message: object, data: bytes) -> None:
    assert codec.encode(message) == data


@pytest.mark.parametrize(
    ("union", "messages"),
    [
        pytest.param(PeerFrame, samples.REPLICATION_SAMPLES + samples.PEERING_SAMPLES, id="peer frames"),
        pytest.param(ToControlPlane, samples.TO_CONTROL_PLANE_SAMPLES, id="to control plane"),
        pytest.param(ToDataPlane, samples.TO_DATA_PLANE_SAMPLES, id="to data plane"),
    ],
)
def test_every_message_has_a_sample(union: Any, messages: tuple[object, ...]) -> None:
    assert {type(message) for message in messages} == set(get_args(union))


def test_status_is_written_as_golden_json() -> None:
    assert msgspec.json.encode(samples.STATUS) == bytes.fromhex(GOLDEN_MESSAGES["status"][0])


def test_status_is_read_from_golden_json() -> None:
    data = bytes.fromhex(GOLDEN_MESSAGES["status"][0])
    assert msgspec.json.decode(data, type=ControlPlaneStatus) == samples.STATUS


@pytest.mark.parametrize("directory", ["primary", "restarted", "backup", "first-form"])
def test_records_are_written_as_golden_bytes(
    directory: str, copy_golden_directory: Callable[[str], Path]
) -> None:
    records = recover(copy_golden_directory(directory)).records
    assert records
    for record in records:
        assert stored_records.encode(stored_records.decode(record)) == record


def test_golden_directories_contain_every_record_type(copy_golden_directory: Callable[[str], Path]) -> None:
    found = {*record_types(copy_golden_directory("primary")), *record_types(copy_golden_directory("backup"))}
    assert found == set(get_args(StoredRecord))


@pytest.mark.parametrize(
    ("directory", "types"),
    [
        ("restarted", [IdentityRecord, ViewRecord, WitnessRecord, SnapshotRecord, EntryRecord]),
        ("first-form", [IdentityRecord, SnapshotRecord]),
    ],
)
def test_rewritten_file_starts_with_a_snapshot(
    directory: str, types: list[type[StoredRecord]], copy_golden_directory: Callable[[str], Path]
) -> None:
    assert record_types(copy_golden_directory(directory))[: len(types)] == types


def test_backup_recovers_truncated_log_and_accepted_view(
    copy_golden_directory: Callable[[str], Path],
) -> None:
    state = stored_state(recover(copy_golden_directory("backup")).records)
    assert TruncateRecord in record_types(DATA_DIRECTORY / "backup")
    assert state.view is not None
    assert (state.view.epoch, state.log.last_index, state.log.epoch_at(2)) == (2, 2, 2)
    assert state.committed_index == 1
    assert state.witness.accepted_view is not None
    assert state.witness.accepted_view.epoch == 3
    assert EntryRecord in record_types(DATA_DIRECTORY / "backup")


@pytest.mark.parametrize("directory", ["primary", "restarted"])
def test_replica_starts_from_golden_directory_with_the_same_configuration(
    directory: str, copy_golden_directory: Callable[[str], Path]
) -> None:
    disk_replica = DiskReplica(copy_golden_directory(directory), tolerance=0, bootstrap=False)
    disk_replica.run(3_000.0)
    committed = cast(ConfigurationHistory, disk_replica.replica.committed)
    assert disk_replica.replica.status(disk_replica.now_ms).is_primary
    assert committed.document is not None
    assert committed.document.raw == replacement_body(8, routes=2)


def test_directory_with_a_version_beyond_64_bits_starts_and_takes_the_next_changes(
    copy_golden_directory: Callable[[str], Path],
) -> None:
    # Written by commit 7f7269a, which committed this version and failed at the next command.
    directory = copy_golden_directory("version-beyond-64-bits")
    for version in (20261204181000123456, 20261204181000123457, 20261204181000123458):
        disk_replica = DiskReplica(directory, tolerance=0, bootstrap=False)
        disk_replica.run(3_000.0)
        assert disk_replica.replica.committed.version == version
        disk_replica.handle(CommandSubmitted(1, update(version, version + 1)))
        disk_replica.run(100.0)
        assert disk_replica.replica.committed.version == version + 1


def test_retried_command_is_recognized_after_start_from_golden_directory(
    copy_golden_directory: Callable[[str], Path],
) -> None:
    disk_replica = DiskReplica(copy_golden_directory("restarted"), tolerance=0, bootstrap=False)
    disk_replica.run(3_000.0)
    for command in (replacement(0, 3), update(3, 5), replacement(5, 8, routes=2)):
        result = disk_replica.replica.committed.validate(command)
        assert result is not None
        assert (result.outcome.value, result.version) == ("taken", 8)


def test_legacy_snapshot_is_read(copy_golden_directory: Callable[[str], Path]) -> None:
    state = stored_state(recover(copy_golden_directory("first-form")).records)
    assert state.snapshot is not None
    history = ConfigurationHistory.restore(state.snapshot)
    assert history.document is not None
    assert history.document.raw == replacement_body(3)
    result = history.validate(replacement(0, 3))
    assert result is not None
    assert result.outcome.value == "taken"


def test_registry_is_read_from_golden_files(copy_golden_directory: Callable[[str], Path]) -> None:
    checkpoint = RegistryCheckpoint(FileDisk(str(copy_golden_directory("registry"))))
    second_upstream = msgspec.structs.replace(samples.UPSTREAM, instance="i-2", state="ready")
    assert checkpoint.load() == (samples.UPSTREAM, second_upstream)


def test_registry_is_written_as_golden_bytes(tmp_path: Path) -> None:
    checkpoint = RegistryCheckpoint(FileDisk(str(tmp_path)))
    checkpoint.load()
    checkpoint.save([samples.UPSTREAM])
    written = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert written == {"registry-1.copy": (DATA_DIRECTORY / "registry" / "registry-1.copy").read_bytes()}


def test_golden_replica_keeps_its_identity(copy_golden_directory: Callable[[str], Path]) -> None:
    directory = copy_golden_directory("primary")
    stored = stored_state(recover(directory).records)
    assert stored.identity is not None
    disk_replica = DiskReplica(directory, tolerance=0, bootstrap=False, rng=random.Random(2))
    assert disk_replica.replica.incarnation == stored.identity.incarnation
