"""The primary's role.

Validates and appends commands, commits them, proves reads, brings its log to the others.
"""

from __future__ import annotations

from madderwind.messages.replication import (
    AppendAck,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    LogEntry,
    Member,
    SnapshotAck,
    View,
)
from madderwind.replication.actions import CommandResolved, ReadResolved
from madderwind.replication.appended_state import AppendedState
from madderwind.replication.commands import UNKNOWN_RESULT, Command, CommandOutcome, CommandResult
from madderwind.replication.context import ReplicaContext
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.lease import Lease
from madderwind.replication.log_shipping import LogShipping
from madderwind.replication.membership import MembershipRules
from madderwind.replication.peer import Peer, Progress
from madderwind.replication.peer_table import PeerTable
from madderwind.replication.pending_requests import PendingRequests, Proof
from madderwind.replication.submitted_commands import SubmittedCommands
from madderwind.replication.view_planner import ViewPlanner

# Rounds that reads and repeats ask for are shared by those that come within this time.
MIN_ROUND_INTERVAL_MS = 5.0
# The number of no round: nothing has to be confirmed.
NO_ROUND = 0


class Primary:
    """Lives from the moment that this replica's view is decided until it loses or gives up the role.

    In that time the epoch may rise with this replica as primary.

    Attributes:
        view: The present view.
        peers: The other replicas.
        lease: Whether a majority follows this primary.
        planner: Which view it wants next.
    """

    def __init__(
        self,
        context: ReplicaContext,
        view: View,
        rules: MembershipRules,
        now_ms: float,
        known_peers: tuple[KnownPeer, ...] = (),
    ) -> None:
        """Take the role.

        Args:
            context: The replica's parts.
            view: The view that names this replica as primary.
            rules: The sizes of views.
            now_ms: Steady clock, ms.
            known_peers: What this replica knew of the others as a follower.
        """
        self._context, self._rules = context, rules
        self._me, self._store = context.me, context.store
        self._outbox, self._times = context.outbox, context.times
        self._shipping = LogShipping(context)
        self._requests = PendingRequests()
        self._submitted = SubmittedCommands()
        self._appended = AppendedState(context.store)
        self.lease = Lease(context, now_ms)
        self.peers = PeerTable(context, view, now_ms, known_peers)
        self.planner = ViewPlanner(context, self.peers, self.lease, rules)
        self._begin_epoch(now_ms)

    @property
    def view(self) -> View:
        """The present view, with this replica as primary."""
        return self.peers.view

    def continue_in(self, now_ms: float, view: View) -> None:
        """A later view names this replica as primary again."""
        self.peers.enter_view(now_ms, view)
        self._begin_epoch(now_ms)

    # --- the end of the role ---

    def successor(self, now_ms: float) -> Member | None:
        """Who is to take the role over: of the in-sync set, healthy, and with most of the log."""
        healthy = [peer for peer in self.peers.in_sync() if peer.is_healthy(now_ms, self._times)]
        best = max(healthy, key=lambda peer: (peer.match_index, peer.last_received_ms), default=None)
        return best.member if best is not None else None

    def can_be_followed(self, now_ms: float) -> bool:
        """Whether enough members can write down what they promise, so that another primary can be elected.

        Where they can't, giving up the role would gain nothing.
        """
        voters = [
            name
            for name, peer in self.peers.items()
            if self.view.has_member(name)
            and not peer.disk_faulty
            and peer.idle_ms(now_ms) <= self._times.replica_timeout_ms
        ]
        return len(voters) + self._store.is_disk_healthy(now_ms) >= self.view.majority()

    def give_up(self) -> None:
        """The role is lost: whatever waits ends without a known outcome."""
        self._store.log.needed_after = None
        self._outbox.extend(self._submitted.give_up())
        self._outbox.extend(self._requests.give_up())

    # --- commands and reads ---

    def submit(self, now_ms: float, token: int, command: Command) -> None:
        """Validate a command on top of all that is appended, and append it, once it is its turn."""
        if self._requests.is_full or self._submitted.is_full:
            self._outbox.add(CommandResolved(token, UNKNOWN_RESULT))
            return
        self._submitted.add(now_ms, token, command)
        self._decide_submitted(now_ms)

    def _decide_submitted(self, now_ms: float) -> None:
        """Decide on commands in the order in which they came, up to one that is still being prepared."""
        self._outbox.extend(self._submitted.expire(now_ms))
        while (first := self._submitted.first) is not None and self._appended.is_ready(first.command):
            self._submitted.remove_first()
            self._decide(now_ms, first.token, first.command)

    def _decide(self, now_ms: float, token: int, command: Command) -> None:
        result = self._appended.validate(command)
        needed_round = NO_ROUND
        if result is None:
            self._append(now_ms, command)
            result = CommandResult(CommandOutcome.COMMITTED, self._appended.version)
        elif result.outcome is not CommandOutcome.COMMITTED:
            # A rejection is only right where no other primary has gone further.
            needed_round = self._round_from_now()
        # A result tells what is committed, so the entries that it rests on have to be.
        deadline_ms = now_ms + self._times.command_timeout_ms
        proof = Proof(self._store.log.last_index, needed_round, deadline_ms)
        self._requests.add_command(token, result, proof)

    def read(self, now_ms: float, token: int) -> None:
        """Prove that what is committed here is the newest there is."""
        if self._requests.is_full:
            self._outbox.add(ReadResolved(token, is_newest=False))
            return
        deadline_ms = now_ms + self._times.read_timeout_ms
        proof = Proof(self.lease.inherited_index, self._round_from_now(), deadline_ms)
        self._requests.add_read(token, proof)

    # --- messages ---

    def handle_join_request(self, now_ms: float, request: JoinRequest) -> None:
        """A replica looks for a primary: one that is not known yet is to learn.

        Of others it is no sign of life, as it may be that they don't receive this primary's messages.
        """
        learner = self.peers.add_learner(now_ms, request.member)
        if learner is not None:
            self._shipping.probe(now_ms, learner)

    def handle_heartbeat_ack(self, now_ms: float, ack: HeartbeatAck) -> None:
        """A member's or learner's answer to a heartbeat."""
        peer = self.peers.get(ack.sender)
        if peer is None:
            return
        has_returned = peer.idle_ms(now_ms) > self._times.resend_ms + peer.transfer_allowance_ms()
        peer.last_received_ms = now_ms
        peer.disk_faulty, peer.stopping = ack.disk_faulty, ack.stopping
        if ack.epoch != self._store.epoch:
            return
        peer.acknowledged_round = max(peer.acknowledged_round, ack.round)
        is_behind = (
            ack.match_index < peer.match_index
        )  # after a restart, it is to be told what it may rely on
        shipping = self._shipping
        if (is_behind and shipping.may_probe(now_ms, peer)) or (has_returned and shipping.lags(peer)):
            shipping.probe_from_match(now_ms, peer)
        if ack.accepted_epoch > self._store.epoch:
            self.planner.is_contested = True
        else:
            self._count_ack(ack.round, ack.sender)

    def handle_append_ack(self, now_ms: float, message: AppendAck) -> None:
        """Entries are on the disk of another replica."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is not None:
            peer.record_match(now_ms, message.match_index, self._store.log.last_index)
            self._shipping.send_entries(now_ms, peer)

    def handle_append_rejected(self, now_ms: float, message: AppendRejected) -> None:
        """The log of another replica does not lead up to what was sent: go back to where it does."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is None:
            return
        is_stale = peer.progress is Progress.PROBING and message.previous_index != peer.next_index - 1
        if is_stale or peer.snapshot is not None:
            return  # the answer to an older probe
        peer.progress = Progress.PROBING
        last_common_index = min(message.committed_index, self._store.log.last_index)
        peer.next_index = max(peer.match_index, last_common_index) + 1
        self._shipping.probe(now_ms, peer)

    def handle_snapshot_ack(self, now_ms: float, message: SnapshotAck) -> None:
        """Another replica has a part of the snapshot that it is sent."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is not None:
            self._shipping.handle_snapshot_ack(now_ms, peer, message)

    # --- time ---

    def advance(self, now_ms: float) -> None:
        """Whatever time and the events so far allow: heartbeats, commits, the ends of requests."""
        self.peers.expire_learners(now_ms)
        self._decide_submitted(now_ms)
        self._commit(now_ms)
        if self._is_round_due(now_ms):
            self._start_round(now_ms)
        for peer in self.peers.values():
            if peer.is_resend_due(now_ms, self._times) and self._shipping.lags(peer):
                self._shipping.probe_from_match(now_ms, peer)
        resolved = self._requests.resolve(now_ms, self._store.committed_index, self.lease.rounds)
        self._outbox.extend(resolved)

    def reset_timeouts(self, now_ms: float, stall_ms: float) -> None:
        """The process did not run for a while.

        What did not come in that time is no time-out of the others.
        """
        self.lease.grant_grace(now_ms)
        for peer in self.peers.values():
            peer.reset_timeouts(now_ms, stall_ms, self._times)

    # --- parts ---

    def _begin_epoch(self, now_ms: float) -> None:
        self.planner.begin_epoch()
        self.lease.rounds.discard_open()
        self.peers.begin_epoch(now_ms)
        for peer in self.peers.values():
            peer.begin_epoch(now_ms, self._store.log.last_index + 1)
            self._context.notify_view(peer.member.address, peer.member.incarnation)
            self._shipping.probe(now_ms, peer)
        self._start_round(now_ms)

    def _peer_in_epoch(self, now_ms: float, message: AppendAck | AppendRejected | SnapshotAck) -> Peer | None:
        """The sender of a message of this epoch, which is a sign of life; None for any other message."""
        peer = self.peers.get(message.sender)
        if peer is None or message.epoch != self._store.epoch:
            return None
        peer.last_received_ms = now_ms
        return peer

    def _append(self, now_ms: float, command: Command) -> None:
        index = self._store.log.last_index + 1
        kind, base_version = command.kind.value, command.base_version
        entry = LogEntry(index, self._store.epoch, kind, base_version, command.body)
        self._store.append(entry)
        self._appended.apply(entry)
        for peer in self.peers.values():
            self._shipping.send_entries(now_ms, peer)

    def _commit(self, now_ms: float) -> None:
        """Commit what the whole in-sync set, and all that may join it, have on disk in this epoch."""
        in_sync = self.view.in_sync
        if len(in_sync) < self._rules.smallest_in_sync:
            return
        index = min(self._synced_by(incarnation) for incarnation in {*in_sync, *self.planner.joining})
        if index <= self._store.committed_index:
            return
        prepared = self._appended.take_after(index)
        self._store.log.needed_after = self._shipping.needed_after(now_ms, self.peers.values())
        self._store.commit_to(index, prepared)
        self._start_round(now_ms)

    def _synced_by(self, incarnation: str) -> int:
        """Up to where a replica is known to have the log on disk in this epoch."""
        if incarnation == self._me.incarnation:
            is_in_epoch = self._store.journal.durable.epoch == self._store.epoch
            return self._store.synced_index if is_in_epoch else 0
        peer = self.peers.get(incarnation)
        return peer.match_index if peer is not None and peer.is_in_epoch else 0

    def _round_from_now(self) -> int:
        """The first round that begins after this moment."""
        return self.lease.rounds.last_started + 1

    def _is_round_due(self, now_ms: float) -> bool:
        rounds = self.lease.rounds
        elapsed_ms = now_ms - rounds.last_started_ms
        is_wanted = self._requests.needed_round > rounds.last_started
        return elapsed_ms >= self._times.heartbeat_ms or (is_wanted and elapsed_ms >= MIN_ROUND_INTERVAL_MS)

    def _start_round(self, now_ms: float) -> None:
        store = self._store
        number = self.lease.rounds.start(now_ms)
        fresh_age_ms = self.lease.fresh_age_ms(now_ms)
        statuses = self.peers.statuses(now_ms)
        for incarnation, peer in self.peers.items():
            heartbeat = Heartbeat(
                sender=self._me.incarnation,
                target=incarnation,
                epoch=store.epoch,
                round=number,
                committed_index=store.committed_index,
                fresh_age_ms=fresh_age_ms,
                acknowledged_round=peer.acknowledged_round,
                peers=statuses,
            )
            self._outbox.send(peer.member.address, heartbeat)
        if store.register.accepted_epoch <= store.epoch:
            self._count_ack(number, self._me.incarnation)

    def _count_ack(self, number: int, incarnation: str) -> None:
        if self.view.has_member(incarnation):
            self.lease.rounds.handle_ack(number, incarnation, self.view.majority())
