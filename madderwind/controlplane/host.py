"""The host of the control plane's core: provides its clock, timer, disk thread, links and subscribers."""

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
from madderwind.errors import MessageError
from madderwind.log_events.control_plane import EFFECT_DROPPED
from madderwind.log_events.event import LogLine
from madderwind.messages.distribution import Subscribe, ToControlPlane, UpstreamRecord
from madderwind.messages.peering import PeerFrame, peer_frames
from madderwind.messages.status import ControlPlaneStatus
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.replication.actions import Prepare, Rewrite, Write
from madderwind.replication.commands import UNKNOWN_RESULT, Command, CommandResult
from madderwind.replication.events import PreparationCompleted, ShutdownRequested
from madderwind.storage.record_file import RecordFile
from madderwind.structured_log import Log, write_line

UNUSED_LINKS_INTERVAL_S = 5.0
# Dropped effects are counted, and logged at most once in this time.
DROPPED_EFFECTS_LOG_INTERVAL_S = 1.0


class ControlPlaneHost:
    """Passes events to the core and carries out its effects, all on the event loop."""

    def __init__(
        self,
        core: ControlPlaneCore,
        record_file: RecordFile,
        checkpoint: RegistryCheckpoint,
        own_address: str,
        log: Log,
    ) -> None:
        """Create the components; `start` starts them."""
        self._core = core
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._links = PeerLinks(own_address, self._peer_connected)
        self._streams = SubscriberStreams()
        self._disk = DiskThread(record_file, self._report_writes)
        self._preparation = PreparationThread(self._report_preparation)
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
        self._dropped_effects = 0
        self._drop_logged_s = -DROPPED_EFFECTS_LOG_INTERVAL_S
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
        """Whether this process may exit."""
        return self._core.can_stop

    def start(self) -> None:
        """Start the disk threads, restore the upstreams from the checkpoint and start the timer."""
        self._disk.start()
        self._core.restore_upstreams(self._now_ms(), self._checkpoint.load())
        self._checkpoint_writer.start()
        self._tick()

    async def stop(self) -> None:
        """Stop the timer, end the calls in progress and close all connections of this host."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._end_calls()
        self._preparation.stop()
        self._streams.close_all()
        await self._links.close()

    def handle_peer_message(self, sender: str, message: PeerFrame) -> None:
        """Handle a message from another control plane."""
        self._carry_out(self._core.handle_peer_message(self._now_ms(), sender, message))

    def subscribe(self, connection: int, message: Subscribe) -> None:
        """Handle a data plane's subscription; `connection` is registered in `streams`."""
        self._carry_out(self._core.subscribe(self._now_ms(), connection, message))

    def handle_data_plane_message(self, connection: int, message: ToControlPlane) -> None:
        """Handle a message from a data plane."""
        self._carry_out(self._core.handle_data_plane_message(self._now_ms(), connection, message))

    def handle_data_plane_closed(self, connection: int) -> None:
        """Handle the end of a data plane's stream."""
        self._carry_out(self._core.handle_data_plane_closed(self._now_ms(), connection))

    async def handle_heartbeat(self, instance: str, body: bytes) -> bool:
        """Handle an upstream's heartbeat; returns whether it is accepted. Raises HeartbeatError."""
        call = self._next_call()
        return await self._wait_for_answer(
            call, self._core.handle_heartbeat(self._now_ms(), call, instance, body)
        )

    async def deregister(self, instance: str) -> bool:
        """Handle an upstream's deregistration; returns whether it is accepted."""
        call = self._next_call()
        return await self._wait_for_answer(call, self._core.deregister(self._now_ms(), call, instance))

    async def submit(self, command: Command) -> CommandResult:
        """Submit an operator's command and wait for its result."""
        call = self._next_call()
        response: asyncio.Future[CommandResult] = self._loop.create_future()
        self._commands[call] = response
        self._carry_out(self._core.submit(self._now_ms(), call, command))
        return await response

    async def read(self) -> RespondToRead:
        """Submit an operator's read and wait for its response."""
        call = self._next_call()
        response: asyncio.Future[RespondToRead] = self._loop.create_future()
        self._reads[call] = response
        self._carry_out(self._core.submit(self._now_ms(), call, None))
        return await response

    def status(self, node: str, zone: str) -> ControlPlaneStatus:
        """The status of this control plane, for an operator."""
        return self._core.status(self._now_ms(), node, zone)

    def request_shutdown(self) -> None:
        """Announce to the core that the process is about to exit."""
        self._carry_out(self._core.handle_replica_event(self._now_ms(), ShutdownRequested()))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Apply the seeds of a changed settings file."""
        self._carry_out(self._core.set_seeds(self._now_ms(), seeds))

    async def _wait_for_answer(self, call: int, effects: list[Effect]) -> bool:
        answer: asyncio.Future[bool] = self._loop.create_future()
        self._upstream_calls[call] = answer
        all_carried_out = self._carry_out(effects)
        # The upstream calls another control plane if this one could not pass its state on.
        return await answer and all_carried_out

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def _next_call(self) -> int:
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
        """Offer the registry to be saved; during a write, an urgent save is deferred to a later tick."""
        if self._checkpoint_writer.is_busy:
            return
        self._is_save_urgent = False
        self._checkpoint_offered_s = self._loop.time()
        self._checkpoint_writer.offer(self._core.upstreams(self._now_ms()))

    def _report_saved(self, records: Sequence[UpstreamRecord]) -> None:
        self._loop.call_soon_threadsafe(self._handle_saved, records)

    def _handle_saved(self, records: Sequence[UpstreamRecord]) -> None:
        self._carry_out(self._core.handle_checkpoint_saved(self._now_ms(), records))

    def _peer_connected(self, address: str) -> None:
        self._carry_out(self._core.handle_peer_connected(self._now_ms(), address))

    def _report_writes(self, completions: list[Completion]) -> None:
        self._loop.call_soon_threadsafe(self._handle_writes, completions)

    def _handle_writes(self, completions: list[Completion]) -> None:
        for completion in completions:
            self._carry_out(self._core.handle_replica_event(self._now_ms(), completion))

    def _report_preparation(self, completion: PreparationCompleted) -> None:
        self._loop.call_soon_threadsafe(self._handle_preparation, completion)

    def _handle_preparation(self, completion: PreparationCompleted) -> None:
        self._carry_out(self._core.handle_replica_event(self._now_ms(), completion))

    def _carry_out(self, effects: Iterable[Effect]) -> bool:
        """Carry out each effect that can be; returns whether all were."""
        all_carried_out = True
        for effect in effects:
            try:
                self._handlers[type(effect)](effect)
            except MessageError as error:
                all_carried_out = False
                self._record_dropped(effect, error)
        return all_carried_out

    def _record_dropped(self, effect: Effect, error: MessageError) -> None:
        """Count an effect whose message cannot be encoded, and log the newest one now and then."""
        self._dropped_effects += 1
        if self._loop.time() - self._drop_logged_s < DROPPED_EFFECTS_LOG_INTERVAL_S:
            return
        self._drop_logged_s = self._loop.time()
        name, dropped = type(effect).__name__, self._dropped_effects
        self._log_line(EFFECT_DROPPED.line(effect=name, reason=str(error), dropped=dropped))

    def _send_to_peer(self, effect: SendToPeer) -> None:
        if effect.message is not self._encoded_message:  # a message to several peers is encoded once
            self._encoded_message, self._encoded = effect.message, peer_frames.encode(effect.message)
        self._links.send(effect.address, self._encoded)

    def _respond_to_command(self, effect: RespondToCommand) -> None:
        response = self._commands.pop(effect.call, None)
        if response is not None and not response.done():
            response.set_result(effect.result)

    def _respond_to_read(self, effect: RespondToRead) -> None:
        response = self._reads.pop(effect.call, None)
        if response is not None and not response.done():
            response.set_result(effect)

    def _respond_to_upstream(self, effect: RespondToUpstream) -> None:
        answer = self._upstream_calls.pop(effect.call, None)
        if answer is not None and not answer.done():
            answer.set_result(effect.is_accepted)

    def _end_calls(self) -> None:
        """Answer all calls in progress: their callers turn to another control plane."""
        for call in list(self._commands):
            self._respond_to_command(RespondToCommand(call, UNKNOWN_RESULT))
        for call in list(self._reads):
            self._respond_to_read(RespondToRead(call, 0, None))
        for call in list(self._upstream_calls):
            self._respond_to_upstream(RespondToUpstream(call, False))

    def _log_line(self, line: LogLine) -> None:
        write_line(self._log, line)
