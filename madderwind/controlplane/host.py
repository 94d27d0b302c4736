"""The host of the control plane's core: its clock, timer, disk thread, links and subscribers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from madderwind.controlplane.checkpoint_writer import SAVE_INTERVAL_S, CheckpointWriter
from madderwind.controlplane.core import TICK_MS, ControlPlaneCore
from madderwind.controlplane.disk_thread import Completion, DiskThread
from madderwind.controlplane.effects import (
    Effect,
    RespondToCommand,
    RespondToRead,
    RespondToUpstream,
    SaveCheckpoint,
    SendToPeer,
)
from madderwind.controlplane.peer_links import PeerLinks
from madderwind.controlplane.preparation_thread import PreparationThread
from madderwind.controlplane.subscriber_streams import SubscriberStreams
from madderwind.distribution.deliveries import Close, SendTo, SendToAll
from madderwind.log_events.event import LogLine
from madderwind.messages.distribution import Subscribe, ToControlPlane, UpstreamRecord
from madderwind.messages.peering import PeerFrame, peer_frames
from madderwind.messages.status import ControlPlaneStatus
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.replication.actions import Prepare, Rewrite, Write
from madderwind.replication.commands import Command, CommandResult
from madderwind.replication.events import PreparationCompleted, ShutdownRequested
from madderwind.storage.record_file import RecordFile
from madderwind.structured_log import Log, write_line

UNUSED_LINKS_INTERVAL_S = 5.0


class ControlPlaneHost:
    """Hands events to the core and carries its effects out, all on the event loop."""

    def __init__(
        self,
        core: ControlPlaneCore,
        record_file: RecordFile,
        checkpoint: RegistryCheckpoint,
        own_address: str,
        log: Log,
    ) -> None:
        """Put the parts together; `start` begins to run them."""
        self._core = core
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._links = PeerLinks(own_address, self._peer_connected)
        self._streams = SubscriberStreams()
        self._disk = DiskThread(record_file, self._report_from_thread)
        self._preparation = PreparationThread(self._report_prepared)
        self._checkpoint = checkpoint
        self._checkpoint_writer = CheckpointWriter(checkpoint, self._report_saved)
        self._checkpoint_offered_s = 0.0
        self._is_save_urgent = False
        self._commands: dict[int, asyncio.Future[CommandResult]] = {}
        self._reads: dict[int, asyncio.Future[RespondToRead]] = {}
        self._upstream_calls: dict[int, asyncio.Future[bool]] = {}
        self._last_call = 0
        self._ticker: asyncio.TimerHandle | None = None
        self._links_checked_s = 0.0
        self._encoded_message: PeerFrame | None = None
        self._encoded = b""
        self._handlers: dict[type[Effect], Callable[..., None]] = {
            SendToPeer: self._send_to_peer,
            SendTo: self._streams.send_to,
            SendToAll: self._streams.send_to_all,
            Close: self._streams.close,
            RespondToCommand: self._respond_to_command,
            RespondToRead: self._respond_to_read,
            RespondToUpstream: self._respond_to_upstream,
            SaveCheckpoint: self._save_checkpoint,
            Write: self._disk.submit,
            Rewrite: self._disk.submit,
            Prepare: self._preparation.submit,
            LogLine: self._log_line,
        }

    @property
    def streams(self) -> SubscriberStreams:
        """The subscribed data planes' connections."""
        return self._streams

    @property
    def can_stop(self) -> bool:
        """Whether this process may end."""
        return self._core.can_stop

    def start(self) -> None:
        """Begin to let time pass."""
        self._disk.start()
        self._core.restore_upstreams(self._now_ms(), self._checkpoint.load())
        self._checkpoint_writer.start()
        self._tick()

    async def stop(self) -> None:
        """End the timer and all connections of this host."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._preparation.stop()
        self._streams.close_all()
        await self._links.close()

    # --- what the servers hand in ---

    def handle_peer_message(self, sender: str, message: PeerFrame) -> None:
        """A message of another control plane."""
        self._carry_out(self._core.handle_peer_message(self._now_ms(), sender, message))

    def subscribe(self, connection: int, message: Subscribe) -> None:
        """A data plane's stream begins; `connection` is known to `streams`."""
        self._carry_out(self._core.subscribe(self._now_ms(), connection, message))

    def handle_data_plane_message(self, connection: int, message: ToControlPlane) -> None:
        """A message of a data plane."""
        self._carry_out(self._core.handle_data_plane_message(self._now_ms(), connection, message))

    def handle_data_plane_closed(self, connection: int) -> None:
        """A data plane's stream ended."""
        self._carry_out(self._core.handle_data_plane_closed(self._now_ms(), connection))

    async def handle_heartbeat(self, instance: str, body: bytes) -> bool:
        """An upstream's heartbeat; whether it is accepted. Raises HeartbeatError."""
        call = self._draw_call()
        return await self._answered(call, self._core.handle_heartbeat(self._now_ms(), call, instance, body))

    async def deregister(self, instance: str) -> bool:
        """An upstream ends; whether that is accepted."""
        call = self._draw_call()
        return await self._answered(call, self._core.deregister(self._now_ms(), call, instance))

    async def submit(self, command: Command) -> CommandResult:
        """Bring an operator's command to its end."""
        call = self._draw_call()
        ended: asyncio.Future[CommandResult] = self._loop.create_future()
        self._commands[call] = ended
        self._carry_out(self._core.submit(self._now_ms(), call, command))
        return await ended

    async def read(self) -> RespondToRead:
        """Bring an operator's read to its end."""
        call = self._draw_call()
        ended: asyncio.Future[RespondToRead] = self._loop.create_future()
        self._reads[call] = ended
        self._carry_out(self._core.submit(self._now_ms(), call, None))
        return await ended

    def status(self, node: str, zone: str) -> ControlPlaneStatus:
        """How this control plane stands, for an operator."""
        return self._core.status(self._now_ms(), node, zone)

    def request_shutdown(self) -> None:
        """The process is about to end."""
        self._carry_out(self._core.handle_replica_event(self._now_ms(), ShutdownRequested()))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings file names other seeds."""
        self._carry_out(self._core.set_seeds(self._now_ms(), seeds))

    # --- parts ---

    async def _answered(self, call: int, effects: list[Effect]) -> bool:
        answered: asyncio.Future[bool] = self._loop.create_future()
        self._upstream_calls[call] = answered
        self._carry_out(effects)
        return await answered

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def _draw_call(self) -> int:
        self._last_call += 1
        return self._last_call

    def _tick(self) -> None:
        self._ticker = self._loop.call_later(TICK_MS / 1000.0, self._tick)
        self._carry_out(self._core.tick(self._now_ms()))
        if self._loop.time() - self._links_checked_s > UNUSED_LINKS_INTERVAL_S:
            self._links_checked_s = self._loop.time()
            self._links.drop_unused()
        if self._is_save_urgent or self._loop.time() - self._checkpoint_offered_s > SAVE_INTERVAL_S:
            self._offer_checkpoint()

    def _save_checkpoint(self, _effect: SaveCheckpoint) -> None:
        self._is_save_urgent = True
        self._offer_checkpoint()

    def _offer_checkpoint(self) -> None:
        """Have the registry saved; where a write is under way, again with the next tick if that is urgent."""
        if self._checkpoint_writer.is_busy:
            return
        self._is_save_urgent = False
        self._checkpoint_offered_s = self._loop.time()
        self._checkpoint_writer.offer(self._core.upstreams(self._now_ms()))

    def _report_saved(self, records: Sequence[UpstreamRecord]) -> None:
        self._loop.call_soon_threadsafe(self._checkpoint_saved, records)

    def _checkpoint_saved(self, records: Sequence[UpstreamRecord]) -> None:
        self._carry_out(self._core.handle_checkpoint_saved(self._now_ms(), records))

    def _peer_connected(self, address: str) -> None:
        self._carry_out(self._core.handle_peer_connected(self._now_ms(), address))

    def _report_from_thread(self, completions: list[Completion]) -> None:
        self._loop.call_soon_threadsafe(self._writes_ended, completions)

    def _writes_ended(self, completions: list[Completion]) -> None:
        for completion in completions:
            self._carry_out(self._core.handle_replica_event(self._now_ms(), completion))

    def _report_prepared(self, completion: PreparationCompleted) -> None:
        self._loop.call_soon_threadsafe(self._preparation_ended, completion)

    def _preparation_ended(self, completion: PreparationCompleted) -> None:
        self._carry_out(self._core.handle_replica_event(self._now_ms(), completion))

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            self._handlers[type(effect)](effect)

    def _send_to_peer(self, effect: SendToPeer) -> None:
        if effect.message is not self._encoded_message:  # one message to many peers is encoded once
            self._encoded_message, self._encoded = effect.message, peer_frames.encode(effect.message)
        self._links.send(effect.address, self._encoded)

    def _respond_to_command(self, effect: RespondToCommand) -> None:
        ended = self._commands.pop(effect.call)
        if not ended.done():
            ended.set_result(effect.result)

    def _respond_to_read(self, effect: RespondToRead) -> None:
        ended = self._reads.pop(effect.call)
        if not ended.done():
            ended.set_result(effect)

    def _respond_to_upstream(self, effect: RespondToUpstream) -> None:
        answered = self._upstream_calls.pop(effect.call)
        if not answered.done():
            answered.set_result(effect.is_accepted)

    def _log_line(self, line: LogLine) -> None:
        write_line(self._log, line)
