"""One machine of the fleet: a disk, and a process with a replica on it."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from madderwind.errors import StorageError
from madderwind.log_events.control_plane import VIEW_CHANGED
from madderwind.log_events.event import LogLine
from madderwind.messages.replication import View, replication_messages
from madderwind.replication.actions import (
    CommandResolved,
    Committed,
    Prepare,
    ReadResolved,
    Rewrite,
    Send,
    Write,
)
from madderwind.replication.commands import Command, CommandOutcome, CommandResult
from madderwind.replication.events import (
    CommandSubmitted,
    Event,
    MessageReceived,
    PreparationCompleted,
    ReadSubmitted,
    ShutdownRequested,
    TimePassed,
    WriteCompleted,
    WriteFailed,
)
from madderwind.replication.records import stored_state
from madderwind.replication.replica import Replica, ReplicaOptions
from madderwind.replication.status import ReplicaStatus
from madderwind.replication.store import StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.storage.record_file import RecordFile
from tests.fleet.clock import Clock
from tests.fleet.disk import MemoryDisk, PowerLost
from tests.fleet.network import Network
from tests.fleet.register import Register

TICK_MS = 25.0
SYNC_MS = 1.0

OnCommand = Callable[[CommandResult], None]
OnRead = Callable[["Register | None"], None]


class Machine:
    """Executes a replica's actions as the production host does.

    Attributes:
        preparation_ms: Duration of a preparation, which runs concurrently with event handling.
        processor_ms: Duration of the event that was just handled; the process is frozen for that time.
    """

    preparation_ms = 0.0
    processor_ms: Callable[[], float] = staticmethod(lambda: 0.0)

    def __init__(
        self,
        address: str,
        clock: Clock,
        network: Network,
        rng: random.Random,
        seeds: tuple[str, ...],
        tolerance: int,
    ) -> None:
        self.address, self.clock, self.network = address, clock, network
        self.seeds, self.tolerance = seeds, tolerance
        self.disk = MemoryDisk(rng)
        self.sync_ms = SYNC_MS
        self.stalled_until_ms = 0.0
        self.replica: Replica | None = None
        self.reports: list[tuple[float, LogLine]] = []
        self.on_committed: Callable[[Machine, Register], None] = lambda machine, register: None
        self.on_view: Callable[[View], None] = lambda view: None
        self.incarnation = 0
        self._rng = rng
        self._file = RecordFile(self.disk)
        self._disk_queue: deque[Write | Rewrite] = deque()
        self._inbox: deque[Event] = deque()
        self._is_frozen = False
        self._is_removed = False
        self.is_stopping = False
        self._commands: dict[int, OnCommand] = {}
        self._reads: dict[int, OnRead] = {}
        self._last_token = 0
        network.attach(address, self._receive)

    @property
    def is_running(self) -> bool:
        """Whether the process exists and is not frozen."""
        return self.replica is not None and not self._is_frozen

    def start(self, bootstrap: bool = False) -> None:
        """Start the process from the contents of the disk."""
        if self.replica is not None or self._is_removed:
            return
        self.incarnation += 1
        self._file = RecordFile(self.disk)
        self._disk_queue.clear()
        self._inbox.clear()
        self.replica = Replica(
            ReplicaOptions(
                address=self.address,
                control_address=f"control-{self.address}",
                zone="zone",
                seeds=self.seeds,
                bootstrap=bootstrap,
                tolerance=self.tolerance,
                times=ReplicationTimes(),
            ),
            self._file.recover(),
            StateFactory(Register, Register.restore),
            self.replica_rng(),
            self.clock.now_ms,
        )
        self._tick(self.incarnation)

    def replica_rng(self) -> random.Random:
        """The random generator of one process incarnation."""
        return random.Random(self._rng.getrandbits(64))

    def kill(self) -> None:
        """Kill the process; its written data stays, synced or not."""
        if self.replica is None:
            return
        self._interrupt_write()
        self.replica = None
        self.is_stopping = False
        self._is_frozen = False
        self.incarnation += 1
        for on_command in self._commands.values():
            on_command(CommandResult(CommandOutcome.UNKNOWN))
        for on_read in self._reads.values():
            on_read(None)
        self._commands.clear()
        self._reads.clear()

    def lose_power(self) -> None:
        """Kill the process and lose unsynced data."""
        self.kill()
        self.disk.lose_power()

    def wipe(self) -> None:
        """Kill the process and lose the disk."""
        self.kill()
        self.disk.wipe()

    def remove(self) -> None:
        """Remove the machine permanently."""
        self.wipe()
        self._is_removed = True

    def freeze(self) -> None:
        """Suspend the process; its events are queued."""
        self._is_frozen = True

    def thaw(self) -> None:
        """Resume the process and handle the queued events."""
        if not self._is_frozen:
            return
        self._is_frozen = False
        while self._inbox and not self._is_frozen:
            self._handle(self._inbox.popleft())

    def tick(self) -> None:
        """Send the process a time event now."""
        self._event(TimePassed())

    def ask_to_leave(self) -> None:
        """SIGTERM: request a handover; the caller decides when the process ends."""
        self.is_stopping = True
        self._event(ShutdownRequested())

    def leave(self) -> None:
        """SIGTERM: request a handover; the process ends after a short delay."""
        self.ask_to_leave()
        incarnation = self.incarnation
        self.clock.after(300.0, lambda: self.kill() if incarnation == self.incarnation else None)

    def submit(self, command: Command, on_result: OnCommand) -> None:
        """Submit an operator's command; there may be no result while the machine is frozen."""
        if self.replica is None:
            on_result(CommandResult(CommandOutcome.UNKNOWN))
            return
        self._last_token += 1
        self._commands[self._last_token] = on_result
        self._event(CommandSubmitted(self._last_token, command))

    def read(self, on_result: OnRead) -> None:
        """Read for an operator: the committed state if it is proven to be the newest, otherwise None."""
        if self.replica is None:
            on_result(None)
            return
        self._last_token += 1
        self._reads[self._last_token] = on_result
        self._event(ReadSubmitted(self._last_token))

    def status(self) -> ReplicaStatus | None:
        """The status of its replica; None if its process is not running."""
        return self.replica.status(self.clock.now_ms) if self.replica and not self._is_frozen else None

    @property
    def register(self) -> Register:
        """The committed state."""
        assert self.replica is not None
        committed = self.replica.committed
        assert isinstance(committed, Register)
        return committed

    def taken_on_disk(self) -> set[tuple[int, bytes]]:
        """The commands that would survive a power loss of this machine."""
        stored = stored_state(RecordFile(self.disk.synced_copy()).recover().records)
        register = Register.restore(stored.snapshot) if stored.snapshot is not None else Register()
        taken = set(register.taken)
        for index in range(stored.snapshot_index + 1, stored.log.last_index + 1):
            entry = stored.log.entry(index)
            taken.add((entry.base_version, entry.body))
        return taken

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if not self._is_frozen:
            self._event(TimePassed())
        self.clock.after(TICK_MS, lambda: self._tick(incarnation))

    def _receive(self, sender: str, data: bytes) -> None:
        if self.replica is not None:
            self._event(MessageReceived(sender, replication_messages.decode(data)))

    def _event(self, event: Event) -> None:
        if self._is_frozen:
            self._inbox.append(event)
        else:
            self._handle(event)

    def _handle(self, event: Event) -> None:
        if self.replica is None:
            return
        for action in self.replica.handle(self.clock.now_ms, event):
            match action:
                case Send(address, message):
                    self.network.send(self.address, address, replication_messages.encode(message))
                case Write() | Rewrite():
                    self._disk_queue.append(action)
                    if len(self._disk_queue) == 1:
                        self._begin_write(self.incarnation)
                case Prepare():
                    self._prepare(action, self.incarnation)
                case CommandResolved(token, result):
                    self._commands.pop(token)(result)
                case ReadResolved(token, is_newest):
                    self._reads.pop(token)(self.register.copy() if is_newest else None)
                case Committed():
                    self.on_committed(self, self.register)
                case LogLine():
                    self._record_report(action)
        if busy_ms := self.processor_ms():
            self._freeze_while_busy(busy_ms, self.incarnation)

    def _freeze_while_busy(self, busy_ms: float, incarnation: int) -> None:
        self.freeze()
        self.clock.after(busy_ms, lambda: self.thaw() if incarnation == self.incarnation else None)

    def _prepare(self, action: Prepare, incarnation: int) -> None:
        def end() -> None:
            if incarnation == self.incarnation:
                action.preparation()
                self._event(PreparationCompleted(action.token))

        self.clock.after(self.preparation_ms, end)

    def _record_report(self, report: LogLine) -> None:
        self.reports.append((self.clock.now_ms, report))
        if report.event is VIEW_CHANGED and self.replica is not None and self.replica.view is not None:
            self.on_view(self.replica.view)

    def _begin_write(self, incarnation: int) -> None:
        delay_ms = self._rng.uniform(0.5, 1.5) * self.sync_ms
        self.clock.after(delay_ms, lambda: self._end_write(incarnation))

    def _end_write(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        # Checked again at each tick, as a stall may be repaired early.
        if self.clock.now_ms < self.stalled_until_ms:
            self.clock.after(TICK_MS, lambda: self._end_write(incarnation))
            return
        action = self._disk_queue.popleft()
        succeeded = self._write(action)
        if self._disk_queue:
            self._begin_write(incarnation)
        self._event(WriteCompleted(action.token) if succeeded else WriteFailed(action.token))

    def _write(self, action: Write | Rewrite) -> bool:
        try:
            if isinstance(action, Write):
                self._file.append(action.records)
            else:
                self._file.rewrite(action.records)
        except StorageError:
            return False
        return True

    def _interrupt_write(self) -> None:
        """Tear the write in progress; the queued ones are dropped, as they never started."""
        if not self._disk_queue:
            return
        self.disk.goes_down_next = True
        try:
            self._write(self._disk_queue[0])
        except PowerLost:
            pass
        finally:
            self.disk.goes_down_next = False
            self._disk_queue.clear()
