"""Writes the golden files anew: `python -m tests.golden.write_golden_files FOLDER`.

The committed files were written by this script at version 0.2.0 (commit de54336) and are never written
again for that version: they stand for what deployed control planes have on their disks and send to each
other. A change of a stored form or a message adds files of its own beside them.
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
PEER = Member("incarnation-peer", "10.0.0.8:7500", "10.0.0.8:7000", "zone-b")


class ReplicaOnDisk:
    """One replica whose writes go to a folder and complete at once."""

    def __init__(
        self, folder: Path, tolerance: int, bootstrap: bool, rng: random.Random | None = None
    ) -> None:
        self._file = RecordFile(FileDisk(str(folder)))
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
        """Let time pass, in steps of a host's tick."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 25.0
            self.handle(TimePassed())

    def receive(self, message: ReplicationMessage) -> None:
        """Take a message of the peer."""
        self.handle(MessageReceived(PEER.address, message))

    def handle(self, event: Event) -> None:
        """Take an event and carry out what it leads to."""
        self._carry_out(self.replica.handle(self.now_ms, event))

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Write):
                self._file.append(action.records)
            elif isinstance(action, Rewrite):
                self._file.rewrite(action.records)
            else:
                continue
            self.handle(WriteCompleted(action.token))


def write_primary(folder: Path) -> None:
    """A replica that founded the system and took three commands: identity, view, witness, snapshot,
    entries."""
    machine = ReplicaOnDisk(folder, tolerance=0, bootstrap=True)
    machine.run(3_000.0)
    for token, command in enumerate((replacement(0, 3), update(3, 5), replacement(5, 8, routes=2))):
        machine.handle(CommandSubmitted(token, command))
        machine.run(100.0)


def write_restarted(folder: Path, earlier: Path) -> None:
    """The same replica after another start, which wrote its file anew: a snapshot of the second form, whose
    digests stand by the version that each command built on."""
    shutil.copytree(earlier, folder, dirs_exist_ok=True)
    ReplicaOnDisk(folder, tolerance=0, bootstrap=False).run(1_000.0)


def write_backup(folder: Path) -> None:
    """A replica that followed two primaries, the second of which took back an entry of the first, and that
    has accepted a proposal: views, a truncation, entries, a witness with an accepted view."""
    machine = ReplicaOnDisk(folder, tolerance=1, bootstrap=False)
    machine.run(50.0)
    me = Member(machine.replica.incarnation, ADDRESS, "10.0.0.9:7000", "zone-a")
    first, second = (
        View(epoch, PEER.incarnation, (PEER.incarnation, me.incarnation), (PEER, me)) for epoch in (1, 2)
    )
    sender, target = PEER.incarnation, me.incarnation
    entries = [_entry(1, 1, replacement(0, 3)), _entry(2, 1, update(3, 5)), _entry(2, 2, update(3, 6))]
    machine.receive(ViewNotice(sender, target, first))
    machine.receive(AppendEntries(sender, target, 1, 0, 0, (entries[0], entries[1]), 1))
    machine.receive(ViewNotice(sender, target, second))
    machine.receive(AppendEntries(sender, target, 2, 1, 1, (entries[2],), 1))
    number = ProposalNumber(2, PEER.incarnation, "process-2")
    machine.receive(Prepare(sender, target, second, number, True))
    machine.receive(
        Accept(sender, target, second, number, View(3, PEER.incarnation, second.in_sync, second.members))
    )


def write_first_form(folder: Path) -> None:
    """A replica's file with a snapshot of the first form, which held the digests alone."""
    history = ConfigurationHistory()
    command = replacement(0, 3)
    history.apply(command)
    assert history.document is not None
    retained = (CommandRecord(3, 0, command.kind.value, command.body),)
    state = msgspec.msgpack.encode((history.document.raw, (b"0123456789abcdef",), retained))
    records: list[StoredRecord] = [IdentityRecord("incarnation-first", True), SnapshotRecord(4, 1, state)]
    file = RecordFile(FileDisk(str(folder)))
    file.recover()
    file.rewrite(tuple(stored_records.encode(record) for record in records))


def write_registry(folder: Path) -> None:
    """The registry's two copies, the second the newer."""
    copy = RegistryCheckpoint(FileDisk(str(folder)))
    copy.load()
    copy.save([samples.UPSTREAM])
    copy.save([samples.UPSTREAM, msgspec.structs.replace(samples.UPSTREAM, instance="i-2", state="ready")])


def write_messages(path: Path) -> None:
    """Each sample's bytes in hexadecimal digits, by the list that it stands in."""
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


def main(folder: Path) -> None:
    """Write all files."""
    folder.mkdir(parents=True, exist_ok=True)
    write_messages(folder / "messages.json")
    write_primary(folder / "primary")
    write_restarted(folder / "restarted", folder / "primary")
    write_backup(folder / "backup")
    write_first_form(folder / "first-form")
    write_registry(folder / "registry")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
