"""One machine of the explored model: a real replica, its disk with pending writes, and its own clock."""

from __future__ import annotations

from collections import deque

import msgspec

from madderwind.messages.replication import (
    Accepted,
    AcceptedBroadcast,
    Promise,
    ProposalNumber,
    ReplicationMessage,
    View,
)
from madderwind.replication.actions import CommandResolved, ReadResolved, Rewrite, Send, Write
from madderwind.replication.commands import Command, CommandOutcome
from madderwind.replication.events import (
    CommandSubmitted,
    Event,
    MessageReceived,
    ReadSubmitted,
    ShutdownRequested,
    TimePassed,
    WriteCompleted,
    WriteFailed,
)
from madderwind.replication.records import StoredState, WitnessRecord, stored_records, stored_state
from madderwind.replication.replica import Replica, ReplicaOptions
from madderwind.replication.store import StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.storage.record_file import RecoveredFile
from tests.explore.chance import DeterministicRandom
from tests.fleet.register import Register

# Between two TimePassed events; shorter than the gap that a replica interprets as having been frozen.
LONGEST_STEP_MS = 200.0
# Delays of machine N lie at N times this fraction of their range: 0 for the first machine.
DELAY_FRACTION_STEP = 0.05

Taken = tuple[int, bytes]  # base version and body of one command


class Sent(msgspec.Struct, frozen=True):
    """A message in flight from one address to another."""

    sender: str
    receiver: str
    message: ReplicationMessage


class Ended(msgspec.Struct, frozen=True):
    """The outcome of a command that was submitted to this machine."""

    taken: Taken
    outcome: CommandOutcome
    token: int = 0


class Settings(msgspec.Struct, frozen=True):
    """Settings of all machines. `addresses` lists the machines; the first `seed_count` are the seeds."""

    addresses: tuple[str, ...]
    seed_count: int = 3
    tolerance: int = 1

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the machines that bootstrap the system."""
        return self.addresses[: self.seed_count]


class Vote(msgspec.Struct, frozen=True):
    """A view that a witness accepted and stored on its disk."""

    incarnation: str
    number: ProposalNumber
    view: View


class Output:
    """What a machine did in one step. `early`: witness responses sent before their state was on disk."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.ended: list[Ended] = []
        self.proven_reads: list[int] = []  # tokens
        self.votes: list[Vote] = []
        self.early: list[Sent] = []
        self.fault = ""
        self.token = 0  # of the command or read that was received


class Observation(msgspec.Struct, frozen=True):
    """What the checks need to know of a machine. The `disk_` fields don't include pending writes."""

    incarnation: str
    disk_number: int  # number of times that the disk was replaced by an empty one
    view: View | None
    is_primary: bool
    committed: tuple[Taken, ...]
    process: int
    disk_incarnation: str  # empty while nothing is on disk
    disk_epoch: int
    disk_taken: frozenset[Taken]


class Node:
    """Carries out a replica's actions one choice at a time. Its clock is never compared with another's."""

    def __init__(self, number: int, settings: Settings) -> None:
        self.number, self.settings = number, settings
        self.address = settings.addresses[number]
        self.now_ms = 0.0
        self.process = 0
        self.disk_number = 0
        self.synced: tuple[bytes, ...] = ()  # records that survive a power loss
        self.unsynced: tuple[bytes, ...] = ()  # written by a process that was killed before its sync
        self.pending: deque[Write | Rewrite] = deque()
        self.needs_rewrite = True
        self.is_stopping = False
        self.replica: Replica | None = None
        self._commands: dict[int, Taken] = {}
        self._last_token = 0

    def start(self, output: Output, bootstrap: bool = False) -> None:
        """Start a new process from the contents of the disk."""
        self.process += 1
        self.is_stopping = False
        self.needs_rewrite = True
        self.pending.clear()
        self._commands.clear()
        self.replica = Replica(
            ReplicaOptions(
                address=self.address,
                control_address=f"control-{self.address}",
                zone="zone",
                seeds=self.settings.seeds,
                bootstrap=bootstrap,
                tolerance=self.settings.tolerance,
                times=ReplicationTimes(),
            ),
            RecoveredFile(self.synced + self.unsynced),
            StateFactory(Register, Register.restore),
            self.replica_rng(),
            self.now_ms,
        )
        self._handle(TimePassed(), output)

    def replica_rng(self) -> DeterministicRandom:
        """The source of randomness of the current process incarnation."""
        prefix = (((self.number + 1) << 8) + self.disk_number << 8) + self.process
        return DeterministicRandom(prefix, self.number * DELAY_FRACTION_STEP)

    def receive(self, sent: Sent, output: Output) -> None:
        """Handle a message that arrived."""
        self._handle(MessageReceived(sent.sender, sent.message), output)

    def finish_write(self, output: Output) -> None:
        """Complete the oldest pending write; an append fails if the file has to be rewritten first."""
        action = self.pending.popleft()
        if isinstance(action, Write) and self.needs_rewrite:
            self._handle(WriteFailed(action.token), output)
            return
        self._keep(action, output)
        self.needs_rewrite = False
        self._handle(WriteCompleted(action.token), output)

    def fail_write(self, output: Output) -> None:
        """Fail the oldest pending write."""
        action = self.pending.popleft()
        self.needs_rewrite = True
        self._handle(WriteFailed(action.token), output)

    def pass_time(self, duration_ms: float, output: Output) -> None:
        """Advance this machine's clock in steps, as the host's timer does."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + LONGEST_STEP_MS)
            self._handle(TimePassed(), output)

    def lose_power(self, retained_writes: int, output: Output) -> None:
        """Restart the machine after a power loss: of the unsynced data only the first writes are kept."""
        self.unsynced = ()
        for action in list(self.pending)[:retained_writes]:
            if isinstance(action, Rewrite) or not self.needs_rewrite:
                self._keep(action, output)
        self.start(output)

    def kill(self, output: Output) -> None:
        """Kill and restart the process; a later power loss may still lose what was not synced."""
        for action in self.pending:
            if isinstance(action, Rewrite) or self.needs_rewrite:
                break
            self.unsynced += action.records
        self.start(output)

    def wipe(self, output: Output) -> None:
        """Restart the machine with an empty disk."""
        self.synced = self.unsynced = ()
        self.disk_number += 1
        self.start(output)

    def submit(self, command: Command, output: Output) -> None:
        """Handle a command from an operator."""
        output.token = self._last_token = self._last_token + 1
        self._commands[output.token] = (command.base_version, command.body)
        self._handle(CommandSubmitted(output.token, command), output)

    def read(self, output: Output) -> None:
        """Handle an operator's read of the newest configuration."""
        output.token = self._last_token = self._last_token + 1
        self._handle(ReadSubmitted(output.token), output)

    def leave(self, output: Output) -> None:
        """Request a shutdown of the process."""
        self.is_stopping = True
        self._handle(ShutdownRequested(), output)

    def observe(self) -> Observation:
        """The replica's status and the contents of the disk."""
        assert self.replica is not None
        stored = self._stored()
        status = self.replica.status(self.now_ms)
        committed = self.replica.committed
        assert isinstance(committed, Register)
        register = Register.restore(stored.snapshot) if stored.snapshot is not None else Register()
        taken = set(register.taken)
        for index in range(stored.snapshot_index + 1, stored.log.last_index + 1):
            entry = stored.log.entry(index)
            taken.add((entry.base_version, entry.body))
        return Observation(
            self.replica.incarnation,
            self.disk_number,
            self.replica.view,
            status.is_primary,
            tuple(committed.taken),
            self.process,
            _stored_incarnation(stored),
            _stored_epoch(stored),
            frozenset(taken),
        )

    def _keep(self, action: Write | Rewrite, output: Output) -> None:
        """Mark the records of a write as synced: they survive a power loss from now on."""
        before = self._stored()
        if isinstance(action, Rewrite):
            self.synced, self.unsynced = (), ()
        self.synced += action.records
        after = self._stored()
        incarnation = _stored_incarnation(after)
        is_same_epoch = (incarnation, _stored_epoch(after)) == (
            _stored_incarnation(before),
            _stored_epoch(before),
        )
        if is_same_epoch and after.witness.promised < before.witness.promised:
            output.fault = f"a promise was revoked: {before.witness} and then {after.witness}"
        for data in action.records:
            record = stored_records.decode(data)
            if isinstance(record, WitnessRecord) and record.accepted_view is not None:
                output.votes.append(Vote(incarnation, record.accepted_number, record.accepted_view))

    def _send(self, sent: Sent, output: Output) -> None:
        output.sent.append(sent)
        match sent.message:
            case Promise(epoch=epoch, number=number) | Accepted(epoch=epoch, number=number):
                self._check_on_disk(sent, epoch, number, output)
            case AcceptedBroadcast(number=number, view=view):
                self._check_on_disk(sent, view.epoch, number, output)

    def _check_on_disk(self, sent: Sent, epoch: int, number: ProposalNumber, output: Output) -> None:
        stored = self._stored()
        is_on_disk = stored.witness.promised >= number or _stored_epoch(stored) >= epoch
        if not is_on_disk or sent.message.sender != _stored_incarnation(stored):
            output.early.append(sent)

    def _stored(self) -> StoredState:
        return stored_state(self.synced)

    def _handle(self, event: Event, output: Output) -> None:
        assert self.replica is not None
        for action in self.replica.handle(self.now_ms, event):
            match action:
                case Send(address, message):
                    self._send(Sent(self.address, address, message), output)
                case Write() | Rewrite():
                    self.pending.append(action)
                case CommandResolved(token, result):
                    output.ended.append(Ended(self._commands.pop(token), result.outcome, token))
                case ReadResolved(token, is_newest):
                    if is_newest:
                        output.proven_reads.append(token)


def _stored_incarnation(stored: StoredState) -> str:
    return stored.identity.incarnation if stored.identity is not None else ""


def _stored_epoch(stored: StoredState) -> int:
    return stored.view.epoch if stored.view is not None else 0
