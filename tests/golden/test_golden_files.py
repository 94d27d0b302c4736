"""Data folders and messages of version 0.2.0 are read, and messages are written in the same bytes."""

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
from tests.golden.write_golden_files import ReplicaOnDisk

DATA = Path(__file__).parent / "data"
MESSAGES: dict[str, list[str]] = json.loads((DATA / "messages.json").read_text())
KINDS: dict[str, tuple[Codec[Any], tuple[Any, ...]]] = {
    "replication": (peer_frames, samples.REPLICATION_SAMPLES),
    "peering": (peer_frames, samples.PEERING_SAMPLES),
    "to_control_plane": (to_control_plane, samples.TO_CONTROL_PLANE_SAMPLES),
    "to_data_plane": (to_data_plane, samples.TO_DATA_PLANE_SAMPLES),
}
CASES = [
    pytest.param(codec, message, bytes.fromhex(data), id=type(message).__name__)
    for kind, (codec, messages) in KINDS.items()
    for message, data in zip(messages, MESSAGES[kind], strict=True)
]


@pytest.fixture
def golden_folder(tmp_path: Path) -> Callable[[str], Path]:
    """Copies a data folder, as a start writes to it."""

    def copied(name: str) -> Path:
        return Path(shutil.copytree(DATA / name, tmp_path / name))

    return copied


def recovered(folder: Path) -> RecoveredFile:
    """What a start reads from a replica's folder."""
    return RecordFile(FileDisk(str(folder))).recover()


def record_types(folder: Path) -> list[type[StoredRecord]]:
    """The kinds of the records in a replica's file."""
    return [type(stored_records.decode(record)) for record in recovered(folder).records]


@pytest.mark.parametrize(("codec", "message", "data"), CASES)
def test_message_is_read_from_golden_bytes(codec: Codec[Any], message: object, data: bytes) -> None:
    assert codec.decode(data) == message


@pytest.mark.parametrize(("codec", "message", "data"), CASES)
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
    assert msgspec.json.encode(samples.STATUS) == bytes.fromhex(MESSAGES["status"][0])


def test_status_is_read_from_golden_json() -> None:
    data = bytes.fromhex(MESSAGES["status"][0])
    assert msgspec.json.decode(data, type=ControlPlaneStatus) == samples.STATUS


@pytest.mark.parametrize("folder", ["primary", "restarted", "backup", "first-form"])
def test_records_are_written_as_golden_bytes(folder: str, golden_folder: Callable[[str], Path]) -> None:
    records = recovered(golden_folder(folder)).records
    assert records
    for record in records:
        assert stored_records.encode(stored_records.decode(record)) == record


def test_golden_folders_hold_every_kind_of_record(golden_folder: Callable[[str], Path]) -> None:
    found = {*record_types(golden_folder("primary")), *record_types(golden_folder("backup"))}
    assert found == set(get_args(StoredRecord))


@pytest.mark.parametrize(
    ("folder", "types"),
    [
        ("restarted", [IdentityRecord, ViewRecord, WitnessRecord, SnapshotRecord, EntryRecord]),
        ("first-form", [IdentityRecord, SnapshotRecord]),
    ],
)
def test_rewritten_file_holds_a_snapshot(
    folder: str, types: list[type[StoredRecord]], golden_folder: Callable[[str], Path]
) -> None:
    assert record_types(golden_folder(folder))[: len(types)] == types


def test_backup_recovers_truncated_log_and_accepted_view(golden_folder: Callable[[str], Path]) -> None:
    state = stored_state(recovered(golden_folder("backup")).records)
    assert TruncateRecord in record_types(DATA / "backup")
    assert state.view is not None
    assert (state.view.epoch, state.log.last_index, state.log.epoch_at(2)) == (2, 2, 2)
    assert state.committed_index == 1
    assert state.witness.accepted_view is not None
    assert state.witness.accepted_view.epoch == 3
    assert EntryRecord in record_types(DATA / "backup")


@pytest.mark.parametrize("folder", ["primary", "restarted"])
def test_replica_starts_on_golden_folder_with_the_same_configuration(
    folder: str, golden_folder: Callable[[str], Path]
) -> None:
    machine = ReplicaOnDisk(golden_folder(folder), tolerance=0, bootstrap=False)
    machine.run(3_000.0)
    committed = cast(ConfigurationHistory, machine.replica.committed)
    assert machine.replica.status(machine.now_ms).is_primary
    assert committed.document is not None
    assert committed.document.raw == replacement_body(8, routes=2)


def test_repeated_command_is_recognized_after_start_on_golden_folder(
    golden_folder: Callable[[str], Path],
) -> None:
    machine = ReplicaOnDisk(golden_folder("restarted"), tolerance=0, bootstrap=False)
    machine.run(3_000.0)
    for command in (replacement(0, 3), update(3, 5), replacement(5, 8, routes=2)):
        result = machine.replica.committed.validate(command)
        assert result is not None
        assert (result.outcome.value, result.version) == ("taken", 8)


def test_snapshot_of_the_first_form_is_read(golden_folder: Callable[[str], Path]) -> None:
    state = stored_state(recovered(golden_folder("first-form")).records)
    assert state.snapshot is not None
    history = ConfigurationHistory.restore(state.snapshot)
    assert history.document is not None
    assert history.document.raw == replacement_body(3)
    result = history.validate(replacement(0, 3))
    assert result is not None
    assert result.outcome.value == "taken"


def test_registry_is_read_from_golden_files(golden_folder: Callable[[str], Path]) -> None:
    copy = RegistryCheckpoint(FileDisk(str(golden_folder("registry"))))
    second = msgspec.structs.replace(samples.UPSTREAM, instance="i-2", state="ready")
    assert copy.load() == (samples.UPSTREAM, second)


def test_registry_is_written_as_golden_bytes(tmp_path: Path) -> None:
    copy = RegistryCheckpoint(FileDisk(str(tmp_path)))
    copy.load()
    copy.save([samples.UPSTREAM])
    written = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert written == {"registry-1.copy": (DATA / "registry" / "registry-1.copy").read_bytes()}


def test_golden_replica_keeps_its_identity(golden_folder: Callable[[str], Path]) -> None:
    folder = golden_folder("primary")
    stored = stored_state(recovered(folder).records)
    assert stored.identity is not None
    machine = ReplicaOnDisk(folder, tolerance=0, bootstrap=False, rng=random.Random(2))
    assert machine.replica.incarnation == stored.identity.incarnation
