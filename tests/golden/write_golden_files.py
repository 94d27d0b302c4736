"""Writes golden files: `python -m tests.golden.write_golden_files FOLDER`.

The committed files were written by this script at version 0.2.0 (commit de54336) and must not be regenerated
for that version: they represent what deployed control planes store on disk and send to each other. A change
of a stored format or a message adds new files beside them. Commit 7f7269a wrote `version-beyond-64-bits`, as
`write_primary` does, with the commands replacement(0, 3) and update(3, 20261204181000123456).
"""

from __future__ import annotations

import json
import random
import shutil
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from madderwind.configuration.history import ConfigurationHistory
from madderwind.messages.distribution import CommandRecord, to_control_plane, to_data_plane
from madderwind.messages.peering import peer_frames
from madderwind.messages.replication import (
    Accept,
    AppendEntries,
    LogEntry,
    Member,
    Prepare,
    ProposalNumber,
    ReplicationMessage,
    View,
    ViewNotice,
)
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.replication.actions import Action, Rewrite, Write
from madderwind.replication.commands import Command
from madderwind.replication.events import CommandSubmitted, Event, MessageReceived, TimePassed, WriteCompleted
from madderwind.replication.records import IdentityRecord, SnapshotRecord, StoredRecord, stored_records
from madderwind.replication.replica import Replica, ReplicaOptions
from madderwind.replication.store import StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile
from tests.controlplane.configurations import replacement, update
from tests.golden import samples

ADDRESS = "10.0.0.9:7500"
PEER_MEMBER = Member("incarnation-peer", "10.0.0.8:7500", "10.0.0.8:7000", "zone-b")


class DiskReplica:
    """A replica whose writes go to a directory and complete immediately."""

    def __init__(
        self, directory: Path, tolerance: int, bootstrap: bool, rng: random.Random | None = None
    ) -> None:
        self._file = RecordFile(FileDisk(str(directory)))
        self.now_ms = 0.0
        self.replica = Replica(
            ReplicaOptions(
                address=ADDRESS,
                control_address="10.0.0.9:7000",
                zone="zone-a",
                seeds=(ADDRESS,),
                bootstrap=bootstrap,
                tolerance=tolerance,
                times=ReplicationTimes(),
            ),
            self._file.recover(),
            StateFactory(ConfigurationHistory, ConfigurationHistory.restore),
            rng or random.Random(1),
            0.0,
        )

    def run(self, duration_ms: float) -> None:
        """Advance the time in steps of the host's tick."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 25.0
            self.handle(TimePassed())

    def receive(self, message: ReplicationMessage) -> None:
        """Handle a message from the peer."""
        self.handle(MessageReceived(PEER_MEMBER.address, message))

    def handle(self, event: Event) -> None:
        """Handle an event and execute the resulting actions."""
        self._execute(self.replica.handle(self.now_ms, event))

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Write):
                self._file.append(action.records)
            elif isinstance(action, Rewrite):
                self._file.rewrite(action.records)
            else:
                continue
            self.handle(WriteCompleted(action.token))


def write_primary(directory: Path) -> None:
    """Write the file of a replica that bootstrapped the system and committed three commands.

    It contains identity, view, witness, snapshot and entry records.
    """
    disk_replica = DiskReplica(directory, tolerance=0, bootstrap=True)
    disk_replica.run(3_000.0)
    for token, command in enumerate((replacement(0, 3), update(3, 5), replacement(5, 8, routes=2))):
        disk_replica.handle(CommandSubmitted(token, command))
        disk_replica.run(100.0)


def write_restarted(directory: Path, earlier_directory: Path) -> None:
    """Write the file of the same replica after a restart, which rewrote the file.

    It contains a snapshot of the current format, with digests by the base version of their commands.
    """
    shutil.copytree(earlier_directory, directory, dirs_exist_ok=True)
    DiskReplica(directory, tolerance=0, bootstrap=False).run(1_000.0)


def write_backup(directory: Path) -> None:
    """Write the file of a replica that followed two primaries and has accepted a proposal.

    The second primary replaced an entry of the first. The file contains views, a truncation, entries and a
    witness record with an accepted view.
    """
    disk_replica = DiskReplica(directory, tolerance=1, bootstrap=False)
    disk_replica.run(50.0)
    local_member = Member(disk_replica.replica.incarnation, ADDRESS, "10.0.0.9:7000", "zone-a")
    first, second = (
        View(
            epoch,
            PEER_MEMBER.incarnation,
            (PEER_MEMBER.incarnation, local_member.incarnation),
            (PEER_MEMBER, local_member),
        )
        for epoch in (1, 2)
    )
    sender, target = PEER_MEMBER.incarnation, local_member.incarnation
    entries = [_entry(1, 1, replacement(0, 3)), _entry(2, 1, update(3, 5)), _entry(2, 2, update(3, 6))]
    disk_replica.receive(ViewNotice(sender, target, first))
    disk_replica.receive(AppendEntries(sender, target, 1, 0, 0, (entries[0], entries[1]), 1))
    disk_replica.receive(ViewNotice(sender, target, second))
    disk_replica.receive(AppendEntries(sender, target, 2, 1, 1, (entries[2],), 1))
    number = ProposalNumber(2, PEER_MEMBER.incarnation, "process-2")
    disk_replica.receive(Prepare(sender, target, second, number, True))
    disk_replica.receive(
        Accept(
            sender, target, second, number, View(3, PEER_MEMBER.incarnation, second.in_sync, second.members)
        )
    )


def write_legacy_snapshot(directory: Path) -> None:
    """Write a replica's file with a snapshot of the legacy format, whose digests have no base versions."""
    history = ConfigurationHistory()
    command = replacement(0, 3)
    history.apply(command)
    assert history.document is not None
    retained = (CommandRecord(3, 0, command.kind.value, command.body),)
    state = msgspec.msgpack.encode((history.document.raw, (b"0123456789abcdef",), retained))
    records: list[StoredRecord] = [IdentityRecord("incarnation-first", True), SnapshotRecord(4, 1, state)]
    file = RecordFile(FileDisk(str(directory)))
    file.recover()
    file.rewrite(tuple(stored_records.encode(record) for record in records))


def write_registry(directory: Path) -> None:
    """Write the registry's two checkpoints, of which the second is the newer one."""
    checkpoint = RegistryCheckpoint(FileDisk(str(directory)))
    checkpoint.load()
    checkpoint.save([samples.UPSTREAM])
    checkpoint.save(
        [samples.UPSTREAM, msgspec.structs.replace(samples.UPSTREAM, instance="i-2", state="ready")]
    )


def write_messages(path: Path) -> None:
    """Write the encodings of all samples in hexadecimal, by list of samples."""
    content = {
        "replication": [peer_frames.encode(each).hex() for each in samples.REPLICATION_SAMPLES],
        "peering": [peer_frames.encode(each).hex() for each in samples.PEERING_SAMPLES],
        "to_control_plane": [
            to_control_plane.encode(each).hex() for each in samples.TO_CONTROL_PLANE_SAMPLES
        ],
        "to_data_plane": [to_data_plane.encode(each).hex() for each in samples.TO_DATA_PLANE_SAMPLES],
        "status": [msgspec.json.encode(samples.STATUS).hex()],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


def _entry(index: int, epoch: int, command: Command) -> LogEntry:
    return LogEntry(index, epoch, command.kind.value, command.base_version, command.body)


def main(directory: Path) -> None:
    """Write all golden files."""
    directory.mkdir(parents=True, exist_ok=True)
    write_messages(directory / "messages.json")
    write_primary(directory / "primary")
    write_restarted(directory / "restarted", directory / "primary")
    write_backup(directory / "backup")
    write_legacy_snapshot(directory / "first-form")
    write_registry(directory / "registry")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
