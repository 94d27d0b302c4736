"""One replica of the configuration: handles events and returns actions, without any I/O of its own."""

from __future__ import annotations

import random

import msgspec

from madderwind.log_events.control_plane import EVENT_LOOP_STALLED, QUORUM_LOST, WRITE_FAILED
from madderwind.messages.replication import Member, View
from madderwind.replication.actions import Action, CommandResolved, ReadResolved
from madderwind.replication.commands import UNKNOWN_RESULT, Command, ReplicatedState
from madderwind.replication.context import ReplicaContext
from madderwind.replication.discovery import Discovery
from madderwind.replication.dispatch import MessageDispatcher
from madderwind.replication.events import (
    CommandSubmitted,
    Event,
    MessageReceived,
    PreparationCompleted,
    ReadSubmitted,
    SeedsChanged,
    ShutdownRequested,
    TimePassed,
    WriteCompleted,
    WriteFailed,
)
from madderwind.replication.follower import Follower
from madderwind.replication.membership import MembershipRules, membership_goal
from madderwind.replication.outbox import Outbox
from madderwind.replication.primary import Primary
from madderwind.replication.records import IdentityRecord, stored_state
from madderwind.replication.role_machine import Role, RoleMachine
from madderwind.replication.status import ReplicaStatus
from madderwind.replication.store import ReplicaStore, StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.replication.witness import Witness
from madderwind.storage.record_file import RecoveredFile

# A replica without a message from the primary for this long sends join requests to all known addresses.
JOIN_REQUEST_AFTER_MS = 300.0
# How long after its last message the primary is still reported as the one that this replica follows.
PRIMARY_STATUS_TIMEOUT_MS = 1_000.0

_IDENTIFIER_BITS = 64
_NO_ROUND = 0


class ReplicaOptions(msgspec.Struct, frozen=True):
    """Startup options of a replica.

    Attributes:
        address: Its internal address, ip:port.
        control_address: Its address for operators and upstreams, ip:port.
        zone: Its zone.
        seeds: Internal addresses of the control planes listed in the settings file.
        bootstrap: Whether this is the first start of the whole system.
        tolerance: Number of replicas that may be lost at once.
        times: Timeouts and intervals, ms.
    """

    address: str
    control_address: str
    zone: str
    seeds: tuple[str, ...]
    bootstrap: bool
    tolerance: int
    times: ReplicationTimes = ReplicationTimes()


class Replica:
    """A member or learner of the replicated configuration, and a witness of its views.

    The host calls `handle` with each event and executes the returned actions in order. It must pass a
    `TimePassed` event at least every 25 ms.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        recovered: RecoveredFile,
        states: StateFactory,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        """Start from the records on disk.

        Args:
            options: Startup options.
            recovered: The records of its file; none on an empty disk.
            states: Creates and restores the replicated state.
            rng: The only source of randomness.
            now_ms: Monotonic time, ms.

        Raises:
            MessageError: A record is of an unknown kind.
        """
        stored = stored_state(recovered.records)
        identity = stored.identity or IdentityRecord(_draw_identifier(rng), options.bootstrap)
        me = Member(identity.incarnation, options.address, options.control_address, options.zone)
        rules = MembershipRules(options.tolerance, membership_goal(options.tolerance, len(options.seeds)))
        self._outbox = Outbox(me.address)
        self._store = ReplicaStore(me, identity.bootstrap, stored, states, options.times, self._outbox)
        context = ReplicaContext(self._store, self._outbox, options.times, rng)
        self._times, self._rules = options.times, rules
        self._follower = Follower(context)
        self._discovery = Discovery(context, options.seeds, now_ms)
        self._roles = RoleMachine(
            context, self._follower, rules, _draw_identifier(rng), self._discovery.request_join_now, now_ms
        )
        witness = Witness(context, self._follower, self._roles, now_ms)
        self._messages = MessageDispatcher(context, self._discovery, self._roles, self._follower, witness)
        self._was_disk_faulty = False
        self._last_event_ms = now_ms

    @property
    def committed(self) -> ReplicatedState:
        """The state after all commands that this replica knows to be committed."""
        return self._store.committed

    @property
    def incarnation(self) -> str:
        """The identifier of this replica; a new one is drawn if it loses its disk."""
        return self._store.me.incarnation

    @property
    def view(self) -> View | None:
        """The newest view that this replica knows to be decided; None before the first."""
        return self._store.view if self._store.epoch > 0 else None

    @property
    def role(self) -> Role:
        """The current role of this replica."""
        return self._roles.role

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event.

        Args:
            now_ms: Monotonic time, ms.
            event: The event.

        Returns:
            The actions to execute, in order.
        """
        self._handle_stall(now_ms)
        self._handle_event(now_ms, event)
        self._advance(now_ms)
        self._store.flush(now_ms)
        while (message := self._outbox.pop_local_message()) is not None:
            self._messages.handle(now_ms, self._store.me.address, message)
            self._advance(now_ms)
            self._store.flush(now_ms)
        return self._outbox.drain()

    def status(self, now_ms: float) -> ReplicaStatus:
        """Return the status of this replica."""
        view = self.view
        return ReplicaStatus(
            is_primary=self._roles.is_primary,
            primary=self._primary_address(now_ms),
            epoch=self._store.epoch,
            committed_version=self.committed.version,
            fresh_age_ms=self._fresh_age_ms(now_ms),
            members=tuple(member.address for member in view.members) if view is not None else (),
            in_sync=_in_sync_addresses(view) if view is not None else (),
            is_needed=self._roles.is_primary or self._store.is_in_sync,
        )

    def _handle_stall(self, now_ms: float) -> None:
        """Postpone timeouts after a stall of this process, so that queued messages are handled first."""
        stall_ms = now_ms - self._last_event_ms
        self._last_event_ms = now_ms
        if stall_ms <= self._times.stall_ms:
            return
        self._outbox.log(EVENT_LOOP_STALLED.line(ms=round(stall_ms)))
        self._store.journal.reset_timeouts(stall_ms)
        self._roles.election.postpone(now_ms, self._times.grace_ms, self._times.election_timeout_min_ms)
        if self._roles.primary is not None:
            self._roles.primary.reset_timeouts(now_ms, stall_ms)

    def _handle_event(self, now_ms: float, event: Event) -> None:
        match event:
            case MessageReceived(sender, message):
                self._messages.handle(now_ms, sender, message)
            case WriteCompleted() | WriteFailed() | PreparationCompleted():
                self._handle_completion(now_ms, event)
            case CommandSubmitted(token, command):
                self._submit(now_ms, token, command)
            case ReadSubmitted(token):
                self._read(now_ms, token)
            case SeedsChanged(seeds):
                self._discovery.seeds = seeds
            case ShutdownRequested():
                self._shut_down(now_ms)
            case TimePassed():
                pass

    def _handle_completion(
        self, now_ms: float, event: WriteCompleted | WriteFailed | PreparationCompleted
    ) -> None:
        match event:
            case WriteCompleted(token):
                self._store.release(self._store.journal.completed(token))
            case WriteFailed(token):
                self._store.journal.failed(token, now_ms)
                self._outbox.log(WRITE_FAILED.line(token=token))
            case PreparationCompleted(token):
                self._store.preparer.handle_completed(token)
                if self._roles.primary is None:
                    self._follower.apply_prepared()

    def _submit(self, now_ms: float, token: int, command: Command) -> None:
        if self._roles.primary is not None:
            self._roles.primary.submit(now_ms, token, command)
        else:
            self._outbox.add(CommandResolved(token, UNKNOWN_RESULT))

    def _read(self, now_ms: float, token: int) -> None:
        if self._roles.primary is not None:
            self._roles.primary.read(now_ms, token)
        else:
            self._outbox.add(ReadResolved(token, is_newest=False))

    def _shut_down(self, now_ms: float) -> None:
        self._roles.is_stopping = True
        if self._roles.primary is None:
            self._follower.send_heartbeat_ack(now_ms, _NO_ROUND, self._roles.is_stopping)

    def _advance(self, now_ms: float) -> None:
        """Perform the transitions that are due after an event or the passage of time."""
        if not self._store.has_identity_on_disk:
            return
        self._roles.abandon_timed_out_proposal(now_ms)
        self._roles.proposals.resend_requests_if_due(now_ms)
        self._roles.promote_if_due(now_ms)
        if self._roles.primary is not None:
            self._advance_primary(now_ms, self._roles.primary)
        else:
            self._advance_follower(now_ms)

    def _advance_primary(self, now_ms: float, primary: Primary) -> None:
        if primary.lease.is_quorum_lost(now_ms):
            self._outbox.log(QUORUM_LOST.line(epoch=self._store.epoch))
            self._roles.step_down(now_ms)
            return
        if self._roles.is_stopping or self._store.journal.is_faulty(now_ms):
            self._roles.transfer_leadership(now_ms, primary)
            if self._roles.primary is None:
                return
        primary.advance(now_ms)
        self._roles.propose_view_change_if_due(now_ms, primary)

    def _advance_follower(self, now_ms: float) -> None:
        self._follower.acknowledge_synced()
        self._report_disk_health_change(now_ms)
        if not self._follower.has_recent_message(now_ms, JOIN_REQUEST_AFTER_MS):
            self._discovery.request_join_if_due(now_ms)
        self._bootstrap_if_due(now_ms)
        self._roles.start_election_if_due(now_ms)

    def _report_disk_health_change(self, now_ms: float) -> None:
        """Report a change of the disk's health at once instead of with the next heartbeat."""
        is_faulty = not self._store.is_disk_healthy(now_ms)
        if is_faulty is not self._was_disk_faulty:
            self._was_disk_faulty = is_faulty
            self._follower.send_heartbeat_ack(now_ms, _NO_ROUND, self._roles.is_stopping)

    def _bootstrap_if_due(self, now_ms: float) -> None:
        if self._roles.proposals.is_in_progress:
            return
        members = self._discovery.bootstrap_members(now_ms, self._rules)
        if members is not None and self._roles.proposals.may_begin(now_ms):
            self._roles.propose_initial_view(now_ms, View(0, "", (), members))

    def _primary_address(self, now_ms: float) -> str:
        if self._roles.primary is not None:
            return self._store.me.address
        primary = self._store.primary if self._store.epoch > 0 else None
        if primary is None or not self._follower.has_recent_message(now_ms, PRIMARY_STATUS_TIMEOUT_MS):
            return ""
        return primary.address

    def _fresh_age_ms(self, now_ms: float) -> float | None:
        ages = [self._follower.fresh_age_ms(now_ms)]
        if self._roles.primary is not None:
            ages.append(self._roles.primary.lease.fresh_age_ms(now_ms))
        return min((age for age in ages if age is not None), default=None)


def _draw_identifier(rng: random.Random) -> str:
    return f"{rng.getrandbits(_IDENTIFIER_BITS):016x}"


def _in_sync_addresses(view: View) -> tuple[str, ...]:
    return tuple(member.address for member in view.members if member.incarnation in view.in_sync)
