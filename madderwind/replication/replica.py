"""One replica of the configuration: events in, actions out, no input or output of its own."""

from __future__ import annotations

import random
from collections.abc import Callable

from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    AppendAck,
    AppendEntries,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    InstallSnapshot,
    JoinRequest,
    Member,
    Prepare,
    Promise,
    Rejected,
    ReplicationMessage,
    SnapshotAck,
    TransferLeadership,
    View,
    ViewNotice,
)
from madderwind.replication.api import (
    Action,
    CommandResolved,
    CommandSubmitted,
    Event,
    LeaveRequested,
    MessageReceived,
    ReadResolved,
    ReadSubmitted,
    ReplicaStatus,
    ReplicatedState,
    SeedsChanged,
    TimePassed,
    WriteCompleted,
    WriteFailed,
)
from madderwind.replication.core import ReplicaCore, StateFactory
from madderwind.replication.discovery import Discovery
from madderwind.replication.follower import Follower
from madderwind.replication.membership import MembershipRules, membership_goal
from madderwind.replication.primary import Primary
from madderwind.replication.records import IdentityRecord, stored_state
from madderwind.replication.requests import UNCLEAR
from madderwind.replication.roles import Role, Roles
from madderwind.replication.times import ReplicationTimes
from madderwind.replication.witness_role import WitnessRole
from madderwind.storage.record_file import RecoveredFile

# Silence of the primary before a replica asks all known addresses for it.
SEARCH_AFTER_MS = 300.0
# How long a primary that was heard counts as the one that is followed.
FOLLOWED_MS = 1_000.0


class Replica:
    """A member or learner of the replicated configuration, and a witness of its views.

    `committed` is the state after all commands that are known to be committed.
    """

    def __init__(
        self,
        *,
        identity_address: str,
        zone: str,
        control_address: str,
        seeds: tuple[str, ...],
        bootstrap: bool,
        tolerance: int,
        recovered: RecoveredFile,
        empty_state: Callable[[], ReplicatedState],
        restore_state: Callable[[bytes], ReplicatedState],
        rng: random.Random,
        now_ms: float,
        times: ReplicationTimes,
    ) -> None:
        stored = stored_state(recovered.records)
        identity = stored.identity or IdentityRecord(_draw_name(rng), bootstrap)
        me = Member(identity.incarnation, identity_address, control_address, zone)
        states = StateFactory(empty_state, restore_state)
        self._core = ReplicaCore(me, identity.bootstrap, tolerance, stored, states, rng, times)
        self._rules = MembershipRules(tolerance, membership_goal(tolerance, len(seeds)))
        self._follower = Follower(self._core)
        self._discovery = Discovery(self._core, seeds, now_ms)
        self._roles = Roles(
            self._core, self._follower, self._rules, _draw_name(rng), self._discovery.search_now, now_ms
        )
        self._witness = WitnessRole(self._core, self._follower, self._roles, now_ms)
        self._was_in_trouble = False
        self._last_event_ms = now_ms

    @property
    def committed(self) -> ReplicatedState:
        """The state after all commands that are known to be committed here."""
        return self._core.committed

    @property
    def incarnation(self) -> str:
        """This replica's name for as long as its disk lasts."""
        return self._core.me.incarnation

    @property
    def view(self) -> View | None:
        """The newest view that this replica knows to be decided."""
        return self._core.view if self._core.epoch > 0 else None

    @property
    def role(self) -> Role:
        """What this replica does at present."""
        return self._roles.role

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take an event; what comes back is to be carried out in order."""
        self._notice_gap(now_ms)
        self._dispatch(now_ms, event)
        self._advance(now_ms)
        self._core.flush(now_ms)
        while self._core.loopback:
            self._take_message(now_ms, self._core.me.address, self._core.loopback.popleft())
            self._advance(now_ms)
            self._core.flush(now_ms)
        actions, self._core.actions = self._core.actions, []
        return actions

    def status(self, now_ms: float) -> ReplicaStatus:
        """How this replica stands."""
        view = self.view
        return ReplicaStatus(
            is_primary=self._roles.is_primary,
            primary=self._followed_address(now_ms),
            epoch=self._core.epoch,
            committed_version=self.committed.version,
            fresh_age_ms=self._fresh_age_ms(now_ms),
            members=tuple(member.address for member in view.members) if view is not None else (),
            in_sync=_in_sync_addresses(view) if view is not None else (),
            is_needed=self._roles.is_primary or self._core.is_in_sync,
        )

    # --- events ---

    def _notice_gap(self, now_ms: float) -> None:
        """After a freeze, what is queued is read before anyone's silence counts."""
        gap_ms = now_ms - self._last_event_ms
        self._last_event_ms = now_ms
        if gap_ms <= self._core.times.gap_ms:
            return
        self._core.report("gap", ms=round(gap_ms))
        self._core.journal.forgive(gap_ms)
        self._roles.election.postpone(now_ms, self._core.times.grace_ms, self._core.times.election_min_ms)
        if self._roles.primary is not None:
            self._roles.primary.forgive(now_ms, gap_ms)

    def _dispatch(self, now_ms: float, event: Event) -> None:
        match event:
            case MessageReceived(sender, message):
                self._take_message(now_ms, sender, message)
            case WriteCompleted(token):
                self._core.release(self._core.journal.completed(token))
            case WriteFailed(token):
                self._core.journal.failed(token, now_ms)
                self._core.report("write_failed", token=token)
            case CommandSubmitted(token, command):
                if self._roles.primary is not None:
                    self._roles.primary.submit(now_ms, token, command)
                else:
                    self._core.actions.append(CommandResolved(token, UNCLEAR))
            case ReadSubmitted(token):
                if self._roles.primary is not None:
                    self._roles.primary.read(now_ms, token)
                else:
                    self._core.actions.append(ReadResolved(token, is_newest=False))
            case SeedsChanged(seeds):
                self._discovery.seeds = seeds
            case LeaveRequested():
                self._leave(now_ms)
            case TimePassed():
                pass

    def _take_message(self, now_ms: float, sender_address: str, message: ReplicationMessage) -> None:
        if not self._core.is_founded_on_disk:
            return
        if not self._core.is_for_me(message):
            # Meant for a forerunner at this address, whose disk is lost: tell who is here now.
            self._core.send(sender_address, self._core.join_request())
            return
        match message:
            case JoinRequest():
                self._handle_join_request(now_ms, message)
            case ViewNotice(view=view):
                self._roles.adopt(now_ms, view)
            case Prepare():
                self._witness.take_prepare(now_ms, sender_address, message)
            case Accept():
                self._witness.take_accept(now_ms, sender_address, message)
            case Promise():
                self._roles.take_promise(now_ms, message)
            case Accepted():
                self._roles.take_accepted(now_ms, message)
            case AcceptedBroadcast():
                self._roles.handle_accepted_broadcast(now_ms, message)
            case Rejected():
                self._roles.take_refusal(now_ms, message)
            case Heartbeat() | AppendEntries() | InstallSnapshot():
                if self._is_from_primary(sender_address, message):
                    self._follow(now_ms, message)
            case HeartbeatAck() | AppendAck() | AppendRejected() | SnapshotAck():
                if self._roles.primary is not None:
                    self._take_report(now_ms, self._roles.primary, message)
            case TransferLeadership():
                self._roles.handle_transfer(now_ms, message)

    # --- finding each other ---

    def _handle_join_request(self, now_ms: float, join_request: JoinRequest) -> None:
        core, member = self._core, join_request.member
        self._discovery.take(join_request)
        if join_request.epoch < core.epoch:
            core.notify_view(member.address, member.incarnation)
        elif join_request.epoch > core.epoch:
            core.send(member.address, core.join_request())
        if self._roles.primary is not None:
            self._roles.primary.handle_join_request(now_ms, join_request)
        elif self._is_successor_of_primary(member):
            # The primary's machine lost its disk: it will not be heard again.
            self._follower.forget_primary()
            self._roles.election.hasten(now_ms)

    def _is_successor_of_primary(self, member: Member) -> bool:
        view = self.view
        primary = view.member(view.primary) if view is not None else None
        if primary is None or primary.incarnation == member.incarnation:
            return False
        return primary.address == member.address

    def _found_if_due(self, now_ms: float) -> None:
        if self._roles.proposals.is_under_way:
            return
        members = self._discovery.founding_members(now_ms, self._rules)
        if members is not None and self._roles.proposals.may_begin(now_ms):
            self._roles.found(now_ms, View(0, "", (), members))

    # --- following ---

    def _is_from_primary(
        self, sender_address: str, message: Heartbeat | AppendEntries | InstallSnapshot
    ) -> bool:
        """Whether a message is of the newest view's primary; who knows less is told more, either way."""
        core = self._core
        if message.epoch > core.epoch:
            core.send(sender_address, core.join_request())
            return False
        if message.epoch < core.epoch:
            core.notify_view(sender_address, message.sender)
            return False
        return core.view is not None and message.sender == core.view.primary and self._roles.primary is None

    def _follow(self, now_ms: float, message: Heartbeat | AppendEntries | InstallSnapshot) -> None:
        self._roles.end_candidacy(now_ms)
        self._roles.election.postpone_by_silence(now_ms)
        match message:
            case Heartbeat():
                self._follower.take_heartbeat(now_ms, message, self._roles.is_leaving)
            case AppendEntries():
                self._follower.take_append(now_ms, message)
            case InstallSnapshot():
                self._follower.take_snapshot(now_ms, message)

    # --- being primary ---

    def _take_report(
        self,
        now_ms: float,
        primary: Primary,
        message: HeartbeatAck | AppendAck | AppendRejected | SnapshotAck,
    ) -> None:
        match message:
            case HeartbeatAck():
                primary.take_answer(now_ms, message)
            case AppendAck():
                primary.take_appended(now_ms, message)
            case AppendRejected():
                primary.take_refused(now_ms, message)
            case SnapshotAck():
                primary.take_snapshot_received(now_ms, message)

    def _leave(self, now_ms: float) -> None:
        self._roles.is_leaving = True
        if self._roles.primary is None:
            self._follower.answer(now_ms, 0, self._roles.is_leaving)

    # --- time ---

    def _advance(self, now_ms: float) -> None:
        """Whatever the events so far and the time allow."""
        if not self._core.is_founded_on_disk:
            return
        self._roles.time_proposal_out(now_ms)
        self._roles.proposals.ask_again_if_due(now_ms)
        self._roles.promote_if_due(now_ms)
        if self._roles.primary is not None:
            self._advance_primary(now_ms, self._roles.primary)
        else:
            self._advance_follower(now_ms)

    def _advance_primary(self, now_ms: float, primary: Primary) -> None:
        core = self._core
        if primary.lost_touch(now_ms):
            core.report("lost_touch", epoch=core.epoch)
            self._roles.step_down(now_ms)
            return
        if self._roles.is_leaving or core.journal.is_in_trouble(now_ms):
            self._roles.transfer_leadership(now_ms, primary)
            if self._roles.primary is None:
                return
        primary.advance(now_ms)
        self._roles.improve_view_if_due(now_ms, primary)

    def _advance_follower(self, now_ms: float) -> None:
        self._follower.acknowledge()
        self._tell_trouble(now_ms)
        if not self._follower.hears_primary(now_ms, SEARCH_AFTER_MS):
            self._discovery.request_join_if_due(now_ms)
        self._found_if_due(now_ms)
        self._roles.stand_if_due(now_ms)

    def _tell_trouble(self, now_ms: float) -> None:
        """A disk that turns bad or sound again is told at once, not with the next heartbeat."""
        is_in_trouble = not self._core.has_sound_disk(now_ms)
        if is_in_trouble is not self._was_in_trouble:
            self._was_in_trouble = is_in_trouble
            self._follower.answer(now_ms, 0, self._roles.is_leaving)

    # --- status ---

    def _followed_address(self, now_ms: float) -> str:
        if self._roles.primary is not None:
            return self._core.me.address
        view = self.view
        primary = view.member(view.primary) if view is not None else None
        if primary is None or not self._follower.hears_primary(now_ms, FOLLOWED_MS):
            return ""
        return primary.address

    def _fresh_age_ms(self, now_ms: float) -> float | None:
        ages = [self._follower.fresh_age_ms(now_ms)]
        if self._roles.primary is not None:
            ages.append(self._roles.primary.fresh_age_ms(now_ms))
        return min((age for age in ages if age is not None), default=None)


def _draw_name(rng: random.Random) -> str:
    return f"{rng.getrandbits(64):016x}"


def _in_sync_addresses(view: View) -> tuple[str, ...]:
    return tuple(member.address for member in view.members if member.incarnation in view.in_sync)
