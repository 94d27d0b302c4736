"""The role state machine of a replica: follower, candidate or primary.

Every change of the role and of the view goes through this module.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from madderwind.log_events.control_plane import LEADERSHIP_TRANSFERRED, ROLE_CHANGED, VIEW_CHANGED
from madderwind.messages.replication import (
    Accepted,
    AcceptedBroadcast,
    Promise,
    Rejected,
    TransferLeadership,
    View,
)
from madderwind.replication.context import ReplicaContext
from madderwind.replication.decision_learner import DecisionLearner
from madderwind.replication.election import Election
from madderwind.replication.follower import Follower
from madderwind.replication.membership import MembershipRules, initial_view, takeover_view
from madderwind.replication.primary import Primary
from madderwind.replication.view_proposals import ViewProposals

# How long a primary that transferred leadership waits before it may become a candidate again.
LEADERSHIP_TRANSFER_BACKOFF_MS = 1_500.0
# Maximum random delay before a restarted primary becomes a candidate.
RESTARTED_PRIMARY_JITTER_MS = 50.0
# Bounds of the random backoff after a proposal that timed out.
MIN_TIMEOUT_BACKOFF_MS, MAX_TIMEOUT_BACKOFF_MS = 10.0, 100.0
# Bounds of the election delay, in heartbeats, if the primary of a new view has already timed out.
MIN_HEARTBEATS_AFTER_LOSS, MAX_HEARTBEATS_AFTER_LOSS = 2, 3


class Role(Enum):
    """The role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"  # its own proposal to become primary is in progress
    PRIMARY = "primary"


ROLE_TRANSITIONS = {
    Role.FOLLOWER: {Role.CANDIDATE, Role.PRIMARY},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRIMARY},
    Role.PRIMARY: {Role.FOLLOWER},
}


class RoleMachine:
    """Holds the role of this replica and performs the transitions between roles.

    Attributes:
        role: The current role.
        primary: The state of the primary role; None while this replica is not primary.
        proposals: This replica's proposals for the next view.
        election: The election timer.
        is_stopping: Whether the process is shutting down.
    """

    def __init__(
        self,
        context: ReplicaContext,
        follower: Follower,
        rules: MembershipRules,
        process_incarnation: str,
        on_new_view: Callable[[float], None],
        now_ms: float,
    ) -> None:
        """Start as a follower.

        Args:
            context: The state shared by the replica's components.
            follower: The follower role of this replica, active while it is not primary.
            rules: The size rules for views.
            process_incarnation: Drawn at random at each process start.
            on_new_view: Called after this replica adopts a view in which it is not already acting as primary.
            now_ms: Monotonic time, ms.
        """
        self._context, self._follower, self._rules = context, follower, rules
        self._store, self._outbox, self._times = context.store, context.outbox, context.times
        self._on_new_view = on_new_view
        self.proposals = ViewProposals(context, process_incarnation, now_ms)
        self.election = Election(context, now_ms)
        self._decision_learner = DecisionLearner()
        self.role = Role.FOLLOWER
        self.primary: Primary | None = None
        self.is_stopping = False
        self._won_epoch = 0  # epoch that this process won as primary with its own proposal; 0 if none

    @property
    def is_primary(self) -> bool:
        """Whether this replica is primary."""
        return self.primary is not None

    def adopt(self, now_ms: float, view: View) -> None:
        """Adopt a decided view: follow its primary, or remain or prepare to become the primary."""
        if not self._store.adopt(view):
            return
        is_own = view.primary == self._store.me.incarnation
        if is_own and self.proposals.has_built(view):
            self._won_epoch = view.epoch
        self._begin_epoch(view.epoch)
        if view.epoch == 0:
            return
        self._outbox.log(VIEW_CHANGED.line(epoch=view.epoch, primary=view.primary, in_sync=len(view.in_sync)))
        if is_own and self.primary is not None:
            self._won_epoch = 0
            self.primary.continue_in(now_ms, view)
            return
        self.step_down(now_ms)
        self._on_new_view(now_ms)
        self._postpone_election(now_ms, view, is_own)

    def step_down(self, now_ms: float) -> None:
        """Become a follower; requests pending at the primary end with an unknown outcome."""
        if self.primary is not None:
            self.primary.give_up()
            if self.primary.lease.fresh_ms is not None:
                self._follower.record_fresh(self.primary.lease.fresh_ms)
            self.primary = None
        self._enter(Role.FOLLOWER)
        self.election.restart_timeout(now_ms)

    def propose_initial_view(self, now_ms: float, base: View) -> None:
        """Propose the first view, with this replica as primary, to the members of a base of epoch 0."""
        me = self._store.me
        self.proposals.begin(
            now_ms, base, lambda _promised: initial_view(me, base.members), is_transfer=False
        )

    def start_election_if_due(self, now_ms: float) -> None:
        """Become a candidate once the election timer is due.

        Only a replica that holds all committed entries may become a candidate.
        """
        view = self._store.view
        if view is None or self.proposals.is_in_progress:
            return
        if self._store.journal.pending_ms(now_ms) > 0.0:
            # The pending write may be a promise to a rival, whose election must not be disturbed.
            self.election.wait_at_least(now_ms, 2 * self._times.heartbeat_ms)
            return
        if not self.election.is_due(now_ms, self.is_stopping):
            return
        is_transfer = self.election.is_transfer_target
        me, rules = self._store.me, self._rules
        self._enter(Role.CANDIDATE)
        self.proposals.begin(
            now_ms,
            view,
            lambda promised: takeover_view(view, me, promised, is_transfer, rules),
            is_transfer,
        )

    def propose_view_change_if_due(self, now_ms: float, primary: Primary) -> None:
        """As primary, propose the next view if the current one needs a change."""
        if not self.proposals.may_begin(now_ms):
            return
        next_view = primary.planner.wanted_view(now_ms)
        if next_view is not None:
            self.proposals.begin(now_ms, primary.view, lambda _promised: next_view, is_transfer=False)

    def handle_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise, and merge what the witness knows about other replicas."""
        self._follower.known_peers.merge(now_ms, promise.peers)
        self._follower.known_peers.record_response(now_ms, promise.sender)
        self.proposals.handle_promise(now_ms, promise)

    def handle_accepted(self, now_ms: float, accepted: Accepted) -> None:
        """Count an acceptance, and adopt the proposed view once a majority has accepted it."""
        view = self.proposals.handle_accepted(now_ms, accepted)
        if view is None:
            return
        self.adopt(now_ms, view)
        if self.primary is None and self._won_epoch != view.epoch:
            for member in view.members:
                self._context.notify_view(member.address, member.incarnation)

    def handle_accepted_broadcast(self, now_ms: float, broadcast: AcceptedBroadcast) -> None:
        """Count an acceptor's broadcast, and adopt its view once a majority has accepted it."""
        view = self._store.view
        if view is not None and self._decision_learner.handle_broadcast(view, broadcast):
            self.adopt(now_ms, broadcast.view)

    def handle_rejection(self, now_ms: float, rejection: Rejected) -> None:
        """Abandon the current proposal if a witness rejects it because of a higher proposal number."""
        if self.proposals.is_superseded(rejection):
            self._abandon_proposal(now_ms, self.election.draw_backoff_ms())

    def defer_to_rival(self, now_ms: float) -> None:
        """Back off after this replica promised to a rival.

        Its own proposal can no longer succeed, and a new one would supersede the rival's.
        """
        backoff_ms = self.election.draw_backoff_ms()
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, backoff_ms)
        self.election.wait_at_least(now_ms, backoff_ms)

    def end_candidacy(self, now_ms: float) -> None:
        """Return to the follower role, since the primary turned out to be alive."""
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, 0.0)

    def abandon_timed_out_proposal(self, now_ms: float) -> None:
        """Abandon the current proposal if it has waited too long for responses."""
        if self.proposals.is_timed_out(now_ms):
            backoff_ms = self._context.rng.uniform(MIN_TIMEOUT_BACKOFF_MS, MAX_TIMEOUT_BACKOFF_MS)
            self._abandon_proposal(now_ms, backoff_ms)

    def promote_if_due(self, now_ms: float) -> None:
        """Become primary of a view that this process won, once the view is on its own disk.

        The view must be durable first, so that a restarted replica knows that it was primary in that epoch.
        """
        store, view = self._store, self._store.view
        if view is None or store.epoch == 0 or self._won_epoch != view.epoch or self.primary is not None:
            return
        if store.journal.durable.epoch == view.epoch:
            self._won_epoch = 0
            known_peers = self._follower.known_peers.all()
            self.primary = Primary(self._context, view, self._rules, now_ms, known_peers)
            self._enter(Role.PRIMARY)

    def transfer_leadership(self, now_ms: float, primary: Primary) -> None:
        """Transfer leadership to a healthy in-sync replica, if there is one and it can be elected."""
        successor = primary.successor(now_ms)
        if successor is None or not primary.can_be_followed(now_ms):
            return
        store = self._store
        transfer = TransferLeadership(store.me.incarnation, successor.incarnation, store.epoch)
        self._outbox.send(successor.address, transfer)
        self._outbox.log(LEADERSHIP_TRANSFERRED.line(to=successor.address))
        self.step_down(now_ms)
        self.proposals.drop()
        self.election.due_ms = now_ms + LEADERSHIP_TRANSFER_BACKOFF_MS

    def handle_transfer(self, now_ms: float, message: TransferLeadership) -> None:
        """Handle a leadership transfer from the primary to this replica."""
        view = self._store.view
        if view is None or view.epoch != message.epoch or view.primary != message.sender:
            return
        self._follower.forget_primary()
        self.election.accept_transfer(now_ms, message.epoch)

    def _begin_epoch(self, epoch: int) -> None:
        self.proposals.drop_decided(epoch)
        self._decision_learner.begin_epoch()
        self.election.begin_epoch()
        self._follower.begin_epoch()

    def _postpone_election(self, now_ms: float, view: View, is_own: bool) -> None:
        if is_own and self._won_epoch != view.epoch:
            # This replica proposed the view before a restart, so its log may lack entries that it sent then.
            self.election.postpone(now_ms, 0.0, RESTARTED_PRIMARY_JITTER_MS)
        elif not is_own and self._is_timed_out(now_ms, view.primary):
            # The new primary was apparently lost after its proposal, so it gets the time of a few heartbeats
            # instead of the whole election timeout.
            heartbeat_ms = self._times.heartbeat_ms
            self.election.postpone(
                now_ms, MIN_HEARTBEATS_AFTER_LOSS * heartbeat_ms, MAX_HEARTBEATS_AFTER_LOSS * heartbeat_ms
            )

    def _is_timed_out(self, now_ms: float, incarnation: str) -> bool:
        idle_ms = self._follower.known_peers.idle_ms(now_ms, incarnation)
        return idle_ms is not None and idle_ms > self._times.election_timeout_min_ms

    def _enter(self, role: Role) -> None:
        """Change the role; no other code assigns it."""
        if role is self.role:
            return
        assert role in ROLE_TRANSITIONS[self.role], f"{self.role} to {role}"
        self._outbox.log(ROLE_CHANGED.line(role=role.value, epoch=self._store.epoch))
        self.role = role

    def _abandon_proposal(self, now_ms: float, backoff_ms: float) -> None:
        self.proposals.abandon(now_ms, backoff_ms)
        if self.role is Role.CANDIDATE:
            self.election.due_ms = now_ms + backoff_ms
            self._enter(Role.FOLLOWER)
