"""The role of a replica: follower, candidate or primary.

Each change of role and of view goes through here.
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
from madderwind.replication.membership import MembershipRules, founding_view, takeover_view
from madderwind.replication.primary import Primary
from madderwind.replication.view_proposals import ViewProposals

# How long a primary that transferred its role leaves it to others.
LEADERSHIP_TRANSFER_MS = 1_500.0
# A restarted primary stands for election within this.
RESTARTED_PRIMARY_JITTER_MS = 50.0
# The backoff after a proposal that nobody answered.
MIN_TIMEOUT_BACKOFF_MS, MAX_TIMEOUT_BACKOFF_MS = 10.0, 100.0
# How many heartbeats a new primary that is lost already gets, at the least and the most.
MIN_HEARTBEATS_AFTER_LOSS, MAX_HEARTBEATS_AFTER_LOSS = 2, 3


class Role(Enum):
    """What this replica does."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"  # an own proposal to be primary is in progress
    PRIMARY = "primary"


ROLE_TRANSITIONS = {
    Role.FOLLOWER: {Role.CANDIDATE, Role.PRIMARY},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRIMARY},
    Role.PRIMARY: {Role.FOLLOWER},
}


class RoleMachine:
    """Which role this replica has, and how it gets and loses the primary's.

    Attributes:
        role: The present role.
        primary: The primary's part; None while this replica is not primary.
        proposals: Own proposals for the next view.
        election: When to stand for election.
        is_stopping: Whether the process is about to end.
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
        """Begin as a follower.

        Args:
            context: The replica's parts.
            follower: This replica's part while another is primary.
            rules: The sizes of views.
            process_incarnation: Drawn at each start of the process.
            on_new_view: Called when a view of another primary was taken over.
            now_ms: Steady clock, ms.
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
        self._won_epoch = 0  # with this replica as primary, by a proposal of this process incarnation

    @property
    def is_primary(self) -> bool:
        """Whether this replica holds the primary's role."""
        return self.primary is not None

    # --- views ---

    def adopt(self, now_ms: float, view: View) -> None:
        """Take over a view that was decided: follow its primary, or be it."""
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
        self._postpone_election_in(now_ms, view, is_own)

    def step_down(self, now_ms: float) -> None:
        """Be a follower from now on; what waits at the primary ends without a known outcome."""
        if self.primary is not None:
            self.primary.give_up()
            if self.primary.lease.fresh_ms is not None:
                self._follower.record_fresh(self.primary.lease.fresh_ms)
            self.primary = None
        self._enter(Role.FOLLOWER)
        self.election.restart_timeout(now_ms)

    # --- own proposals ---

    def found(self, now_ms: float, base: View) -> None:
        """Have the members of a base of epoch 0 decide the first view, with this replica as primary."""
        me = self._store.me
        self.proposals.begin(
            now_ms, base, lambda _promised: founding_view(me, base.members), is_transfer=False
        )

    def stand_if_due(self, now_ms: float) -> None:
        """Stand for election once the primary timed out.

        Only a replica that holds all that is committed may.
        """
        view = self._store.view
        if view is None or self.proposals.is_in_progress:
            return
        if self._store.journal.pending_ms(now_ms) > 0.0:
            # Perhaps a promise to a rival, which is to get as far as it can with it.
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

    def improve_view_if_due(self, now_ms: float, primary: Primary) -> None:
        """As primary, propose the view that is better than the present one, if there is one."""
        if not self.proposals.may_begin(now_ms):
            return
        wanted = primary.planner.wanted_view(now_ms)
        if wanted is not None:
            self.proposals.begin(now_ms, primary.view, lambda _promised: wanted, is_transfer=False)

    def handle_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise, and learn what that witness knows of the others."""
        self._follower.known_peers.merge(now_ms, promise.peers)
        self._follower.known_peers.handle_answer(now_ms, promise.sender)
        self.proposals.handle_promise(now_ms, promise)

    def handle_accepted(self, now_ms: float, accepted: Accepted) -> None:
        """With a majority that accepted, the proposed view is decided."""
        view = self.proposals.handle_accepted(now_ms, accepted)
        if view is None:
            return
        self.adopt(now_ms, view)
        if self.primary is None and self._won_epoch != view.epoch:
            for member in view.members:
                self._context.notify_view(member.address, member.incarnation)

    def handle_accepted_broadcast(self, now_ms: float, broadcast: AcceptedBroadcast) -> None:
        """An acceptor tells of another's proposal: with a majority of such broadcasts the view is decided."""
        view = self._store.view
        if view is not None and self._decision_learner.handle_broadcast(view, broadcast):
            self.adopt(now_ms, broadcast.view)

    def handle_rejection(self, now_ms: float, rejection: Rejected) -> None:
        """A witness rejects the proposal; a higher number than the own one ends the proposal."""
        if self.proposals.is_beaten(rejection):
            self._abandon_proposal(now_ms, self.election.draw_backoff_ms())

    def give_way(self, now_ms: float) -> None:
        """This replica promised to a rival.

        Its own attempt can't succeed, and a new one would end the rival's.
        """
        backoff_ms = self.election.draw_backoff_ms()
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, backoff_ms)
        self.election.wait_at_least(now_ms, backoff_ms)

    def end_candidacy(self, now_ms: float) -> None:
        """The primary is at work after all."""
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, 0.0)

    def time_proposal_out(self, now_ms: float) -> None:
        """Give a proposal up that has waited too long for answers."""
        if self.proposals.is_timed_out(now_ms):
            backoff_ms = self._context.rng.uniform(MIN_TIMEOUT_BACKOFF_MS, MAX_TIMEOUT_BACKOFF_MS)
            self._abandon_proposal(now_ms, backoff_ms)

    # --- the primary's role ---

    def promote_if_due(self, now_ms: float) -> None:
        """Be primary of a view that was won, once it is on the own disk.

        A restart must not forget that it was.
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
        """Give the role to a replica that can do the work and that can be elected, where there is one."""
        successor = primary.successor(now_ms)
        if successor is None or not primary.can_be_followed(now_ms):
            return
        store = self._store
        transfer = TransferLeadership(store.me.incarnation, successor.incarnation, store.epoch)
        self._outbox.send(successor.address, transfer)
        self._outbox.log(LEADERSHIP_TRANSFERRED.line(to=successor.address))
        self.step_down(now_ms)
        self.proposals.drop()
        self.election.due_ms = now_ms + LEADERSHIP_TRANSFER_MS

    def handle_transfer(self, now_ms: float, message: TransferLeadership) -> None:
        """The primary asks this replica to take its place."""
        view = self._store.view
        if view is None or view.epoch != message.epoch or view.primary != message.sender:
            return
        self._follower.forget_primary()
        self.election.accept_transfer(now_ms, message.epoch)

    # --- parts ---

    def _begin_epoch(self, epoch: int) -> None:
        self.proposals.drop_before(epoch)
        self._decision_learner.begin_epoch()
        self.election.begin_epoch()
        self._follower.begin_epoch()

    def _postpone_election_in(self, now_ms: float, view: View, is_own: bool) -> None:
        if is_own and self._won_epoch != view.epoch:
            # Proposed before a restart: its log may lack what was sent then.
            self.election.postpone(now_ms, 0.0, RESTARTED_PRIMARY_JITTER_MS)
        elif not is_own and self._is_timed_out(now_ms, view.primary):
            # A proposal of a primary that was lost meanwhile: it gets the time of some heartbeats, no more.
            heartbeat_ms = self._times.heartbeat_ms
            self.election.postpone(
                now_ms, MIN_HEARTBEATS_AFTER_LOSS * heartbeat_ms, MAX_HEARTBEATS_AFTER_LOSS * heartbeat_ms
            )

    def _is_timed_out(self, now_ms: float, incarnation: str) -> bool:
        idle_ms = self._follower.known_peers.idle_ms(now_ms, incarnation)
        return idle_ms is not None and idle_ms > self._times.election_timeout_min_ms

    def _enter(self, role: Role) -> None:
        """The one place where the role changes."""
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
