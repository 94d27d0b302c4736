"""The roles of a replica: follower, candidate, primary; each change of role and of view goes through here."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from madderwind.messages.replication import (
    Accepted,
    AcceptedBroadcast,
    Promise,
    Rejected,
    TransferLeadership,
    View,
)
from madderwind.replication.core import ReplicaCore
from madderwind.replication.decision_learner import DecisionLearner
from madderwind.replication.election import Election
from madderwind.replication.follower import Follower
from madderwind.replication.membership import MembershipRules, founding_view, takeover_view
from madderwind.replication.primary import Primary
from madderwind.replication.view_proposals import ViewProposals

# How long a primary that gave its role up leaves it to others.
LEADERSHIP_TRANSFER_MS = 1_500.0


class Role(Enum):
    """What this replica does; being a candidate is a proposal of its own under way."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


class Roles:
    """Which role this replica has, and how it gets and loses the primary's. `process_incarnation` is drawn at
    each start of the process; `on_new_view` is called when a view of another primary was taken over."""

    def __init__(
        self,
        core: ReplicaCore,
        follower: Follower,
        rules: MembershipRules,
        process_incarnation: str,
        on_new_view: Callable[[float], None],
        now_ms: float,
    ) -> None:
        self._core, self._follower, self._rules = core, follower, rules
        self._on_new_view = on_new_view
        self.proposals = ViewProposals(core, process_incarnation, now_ms)
        self.election = Election(core, now_ms)
        self._decision_learner = DecisionLearner()
        self.role = Role.FOLLOWER
        self.primary: Primary | None = None
        self.is_leaving = False
        self._won_epoch = 0  # decided with this replica as primary, by its own proposal in this life

    @property
    def is_primary(self) -> bool:
        """Whether this replica holds the primary's role."""
        return self.primary is not None

    # --- views ---

    def adopt(self, now_ms: float, view: View) -> None:
        """A view that was decided: follow its primary, or be it."""
        if not self._core.adopt(view):
            return
        if view.primary == self._core.me.incarnation and self.proposals.has_built(view):
            self._won_epoch = view.epoch
        self.proposals.drop_before(view.epoch)
        self._decision_learner.begin_epoch()
        self.election.begin_epoch()
        self._follower.begin_epoch()
        if view.epoch == 0:
            return
        is_primary = view.primary == self._core.me.incarnation
        self._core.report("view", epoch=view.epoch, primary=view.primary, in_sync=len(view.in_sync))
        if is_primary and self.primary is not None:
            self._won_epoch = 0
            self.primary.continue_in(now_ms, view)
            return
        self.step_down(now_ms)
        self._on_new_view(now_ms)
        if is_primary and self._won_epoch != view.epoch:
            # Proposed in an earlier process_incarnation: its log may lack what was sent then.
            self.election.postpone(now_ms, 0.0, 50.0)
        elif not is_primary and self._is_silent(now_ms, view.primary):
            # A proposal of a primary that was lost meanwhile: it gets the time of some heartbeats, no more.
            heartbeat_ms = self._core.times.heartbeat_ms
            self.election.postpone(now_ms, 2 * heartbeat_ms, 3 * heartbeat_ms)

    def step_down(self, now_ms: float) -> None:
        """Be a follower from now on; what waits at the primary ends without a clear result."""
        if self.primary is not None:
            self.primary.give_up()
            if self.primary.fresh_ms is not None:
                self._follower.note_fresh(self.primary.fresh_ms)
            self.primary = None
        self._become(Role.FOLLOWER)
        self.election.postpone_by_silence(now_ms)

    # --- own proposals ---

    def found(self, now_ms: float, base: View) -> None:
        """Have the members of a base of epoch 0 choose the first view, with this replica as primary."""
        me = self._core.me
        self.proposals.begin(
            now_ms, base, lambda promised: founding_view(me, base.members), leadership_transferred=False
        )

    def stand_if_due(self, now_ms: float) -> None:
        """Ask for the primary's place after its silence: only who holds all that is committed may."""
        view = self._core.view
        if view is None or self.proposals.is_under_way:
            return
        if self._core.journal.pending_ms(now_ms) > 0.0:
            # Perhaps a promise to a rival, which is to get as far as it can with it.
            self.election.wait_at_least(now_ms, 2 * self._core.times.heartbeat_ms)
            return
        if not self.election.is_due(now_ms, self.is_leaving):
            return
        leadership_transferred = self.election.is_transfer_target
        me, rules = self._core.me, self._rules
        self._become(Role.CANDIDATE)
        self.proposals.begin(
            now_ms,
            view,
            lambda promised: takeover_view(view, me, promised, leadership_transferred, rules),
            leadership_transferred,
        )

    def improve_view_if_due(self, now_ms: float, primary: Primary) -> None:
        """As primary, propose the view that is better than the present one, if there is one."""
        if not self.proposals.may_begin(now_ms):
            return
        wanted = primary.wanted_view(now_ms)
        if wanted is not None:
            self.proposals.begin(now_ms, primary.view, lambda promised: wanted, leadership_transferred=False)

    def take_promise(self, now_ms: float, promise: Promise) -> None:
        """Count a promise, and learn what that witness knows of the others."""
        self._follower.known_peers.merge(now_ms, promise.peers)
        self._follower.known_peers.note_answer(now_ms, promise.sender)
        self.proposals.take_promise(now_ms, promise)

    def take_accepted(self, now_ms: float, accepted: Accepted) -> None:
        """With a majority that accepted, the proposed view is a fact."""
        view = self.proposals.take_accepted(now_ms, accepted)
        if view is None:
            return
        self.adopt(now_ms, view)
        if self.primary is None and self._won_epoch != view.epoch:
            for member in view.members:
                self._core.notify_view(member.address, member.incarnation)

    def handle_accepted_broadcast(self, now_ms: float, notice: AcceptedBroadcast) -> None:
        """An acceptor tells of a proposal of another: with a majority of such notices the view is a fact."""
        view = self._core.view
        if view is not None and self._decision_learner.take(view, notice):
            self.adopt(now_ms, notice.view)

    def take_refusal(self, now_ms: float, refusal: Rejected) -> None:
        """A witness does not go along; a higher proposal number than the own one ends the proposal."""
        if self.proposals.is_beaten(refusal):
            self._abandon_proposal(now_ms, self.election.draw_pause_ms())

    def give_way(self, now_ms: float) -> None:
        """This replica promised a rival's proposal number as a witness: its own attempt can't succeed, and a
        new one would end the rival's."""
        pause_ms = self.election.draw_pause_ms()
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, pause_ms)
        self.election.wait_at_least(now_ms, pause_ms)

    def end_candidacy(self, now_ms: float) -> None:
        """The primary is at work after all."""
        if self.role is Role.CANDIDATE:
            self._abandon_proposal(now_ms, 0.0)

    def time_proposal_out(self, now_ms: float) -> None:
        """Give a proposal up that has waited too long for answers."""
        if self.proposals.is_timed_out(now_ms):
            self._abandon_proposal(now_ms, self._core.rng.uniform(10.0, 100.0))

    # --- the primary's role ---

    def promote_if_due(self, now_ms: float) -> None:
        """Be primary of a view that was won, once it is on the own disk: no life may forget that it was."""
        core, view = self._core, self._core.view
        if view is None or core.epoch == 0 or self._won_epoch != view.epoch or self.primary is not None:
            return
        if core.journal.durable.epoch == view.epoch:
            self._won_epoch = 0
            known_peers = self._follower.known_peers.all()
            self.primary = Primary(core, view, self._rules, now_ms, known_peers)
            self._become(Role.PRIMARY)

    def transfer_leadership(self, now_ms: float, primary: Primary) -> None:
        """Give the role to a replica that can do the work and that can be decided, where there is one."""
        successor = primary.successor(now_ms)
        if successor is None or not primary.can_be_followed(now_ms):
            return
        core = self._core
        core.send(
            successor.address, TransferLeadership(core.me.incarnation, successor.incarnation, core.epoch)
        )
        core.report("handed_over", to=successor.address)
        self.step_down(now_ms)
        self.proposals.drop()
        self.election.due_ms = now_ms + LEADERSHIP_TRANSFER_MS

    def handle_transfer(self, now_ms: float, message: TransferLeadership) -> None:
        """The primary asks this replica to take its place."""
        view = self._core.view
        if view is None or view.epoch != message.epoch or view.primary != message.sender:
            return
        self._follower.forget_primary()
        self.election.handle_transfer(now_ms, message.epoch)

    def _is_silent(self, now_ms: float, incarnation: str) -> bool:
        silent_ms = self._follower.known_peers.silent_ms(now_ms, incarnation)
        return silent_ms is not None and silent_ms > self._core.times.election_min_ms

    def _become(self, role: Role) -> None:
        if role is not self.role:
            self._core.report("role", role=role.value, epoch=self._core.epoch)
        self.role = role

    def _abandon_proposal(self, now_ms: float, pause_ms: float) -> None:
        self.proposals.abandon(now_ms, pause_ms)
        if self.role is Role.CANDIDATE:
            self.election.due_ms = now_ms + pause_ms
            self._become(Role.FOLLOWER)
