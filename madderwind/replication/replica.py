"""One replica of the configuration: events in, actions out, no input or output of its own."""

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

# Without a message of the primary for so long, a replica asks all known addresses for it.
SEARCH_AFTER_MS = 300.0
# For so long after its last message a primary counts as the one that is followed.
FOLLOWED_MS = 1_000.0

_NAME_BITS = 64
_NO_ROUND = 0


class ReplicaOptions(msgspec.Struct, frozen=True):
    """The options of a replica at its start.

    Attributes:
        address: Its internal address, ip:port.
        control_address: Where operators and upstreams call it, ip:port.
        zone: Its zone.
        seeds: Internal addresses of the control planes that the settings file names.
        bootstrap: Whether this is the very first start of the whole system.
        tolerance: How many replicas may be lost at once.
        times: Time-outs and intervals, ms.
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

    The host calls `handle` with each event and carries out the actions that come back, in order. It hands in
    `TimePassed` at least every 25 ms.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        recovered: RecoveredFile,
        states: StateFactory,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        """Start on what the disk holds.

        Args:
            options: Its options.
            recovered: The records of its file; none on an empty disk.
            states: How the replicated state begins.
            rng: The only source of chance.
            now_ms: Steady clock, ms.

        Raises:
            MessageError: A record is of an unknown kind.
        """
        stored = stored_state(recovered.records)
        identity = stored.identity or IdentityRecord(_draw_name(rng), options.bootstrap)
        me = Member(identity.incarnation, options.address, options.control_address, options.zone)
        rules = MembershipRules(options.tolerance, membership_goal(options.tolerance, len(options.seeds)))
        self._outbox = Outbox(me.address)
        self._store = ReplicaStore(me, identity.bootstrap, stored, states, options.times, self._outbox)
        context = ReplicaContext(self._store, self._outbox, options.times, rng)
        self._times, self._rules = options.times, rules
        self._follower = Follower(context)
        self._discovery = Discovery(context, options.seeds, now_ms)
        self._roles = RoleMachine(
            context, self._follower, rules, _draw_name(rng), self._discovery.search_now, now_ms
        )
        witness = Witness(context, self._follower, self._roles, now_ms)
        self._messages = MessageDispatcher(context, self._discovery, self._roles, self._follower, witness)
        self._was_disk_faulty = False
        self._last_event_ms = now_ms

    @property
    def committed(self) -> ReplicatedState:
        """The state after all commands that are known to be committed here."""
        return self._store.committed

    @property
    def incarnation(self) -> str:
        """This replica's name for as long as its disk lasts."""
        return self._store.me.incarnation

    @property
    def view(self) -> View | None:
        """The newest view that this replica knows to be decided; None before the first."""
        return self._store.view if self._store.epoch > 0 else None

    @property
    def role(self) -> Role:
        """What this replica does at present."""
        return self._roles.role

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event.

        Args:
            now_ms: Steady clock, ms.
            event: What happened.

        Returns:
            What is to be carried out, in order.
        """
        self._notice_stall(now_ms)
        self._handle_event(now_ms, event)
        self._advance(now_ms)
        self._store.flush(now_ms)
        while (message := self._outbox.next_to_self()) is not None:
            self._messages.handle(now_ms, self._store.me.address, message)
            self._advance(now_ms)
            self._store.flush(now_ms)
        return self._outbox.drain()

    def status(self, now_ms: float) -> ReplicaStatus:
        """How this replica stands."""
        view = self.view
        return ReplicaStatus(
            is_primary=self._roles.is_primary,
            primary=self._followed_address(now_ms),
            epoch=self._store.epoch,
            committed_version=self.committed.version,
            fresh_age_ms=self._fresh_age_ms(now_ms),
            members=tuple(member.address for member in view.members) if view is not None else (),
            in_sync=_in_sync_addresses(view) if view is not None else (),
            is_needed=self._roles.is_primary or self._store.is_in_sync,
        )

    # --- events ---

    def _notice_stall(self, now_ms: float) -> None:
        """After a stall of this process, what is queued is read before anyone's time-out counts."""
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

    # --- time ---

    def _advance(self, now_ms: float) -> None:
        """Whatever the events so far and the time allow."""
        if not self._store.has_identity_on_disk:
            return
        self._roles.time_proposal_out(now_ms)
        self._roles.proposals.ask_again_if_due(now_ms)
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
        self._roles.improve_view_if_due(now_ms, primary)

    def _advance_follower(self, now_ms: float) -> None:
        self._follower.acknowledge_synced()
        self._report_disk_change(now_ms)
        if not self._follower.has_recent_message(now_ms, SEARCH_AFTER_MS):
            self._discovery.request_join_if_due(now_ms)
        self._found_if_due(now_ms)
        self._roles.stand_if_due(now_ms)

    def _report_disk_change(self, now_ms: float) -> None:
        """A disk that turns faulty or healthy again is reported at once, not with the next heartbeat."""
        is_faulty = not self._store.is_disk_healthy(now_ms)
        if is_faulty is not self._was_disk_faulty:
            self._was_disk_faulty = is_faulty
            self._follower.send_heartbeat_ack(now_ms, _NO_ROUND, self._roles.is_stopping)

    def _found_if_due(self, now_ms: float) -> None:
        if self._roles.proposals.is_in_progress:
            return
        members = self._discovery.founding_members(now_ms, self._rules)
        if members is not None and self._roles.proposals.may_begin(now_ms):
            self._roles.found(now_ms, View(0, "", (), members))

    # --- status ---

    def _followed_address(self, now_ms: float) -> str:
        if self._roles.primary is not None:
            return self._store.me.address
        primary = self._store.primary if self._store.epoch > 0 else None
        if primary is None or not self._follower.has_recent_message(now_ms, FOLLOWED_MS):
            return ""
        return primary.address

    def _fresh_age_ms(self, now_ms: float) -> float | None:
        ages = [self._follower.fresh_age_ms(now_ms)]
        if self._roles.primary is not None:
            ages.append(self._roles.primary.lease.fresh_age_ms(now_ms))
        return min((age for age in ages if age is not None), default=None)


def _draw_name(rng: random.Random) -> str:
    return f"{rng.getrandbits(_NAME_BITS):016x}"


def _in_sync_addresses(view: View) -> tuple[str, ...]:
    return tuple(member.address for member in view.members if member.incarnation in view.in_sync)
