"""The primary's role.

The primary validates and appends commands, commits them, confirms reads and ships its log to the other
replicas.
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

# Requests that arrive within this time share one heartbeat round for their reads and rejections.
MIN_ROUND_INTERVAL_MS = 5.0
# Round number meaning that no round has to be confirmed.
NO_ROUND = 0


class Primary:
    """Exists from the decision of a view with this replica as primary until it loses or gives up the role.

    The epoch may increase in that time, with this replica still the primary.

    Attributes:
        view: The current view.
        peers: The other replicas.
        lease: Whether a majority follows this primary.
        planner: Decides which view to propose next.
    """

    def __init__(
        self,
        context: ReplicaContext,
        view: View,
        rules: MembershipRules,
        now_ms: float,
        known_peers: tuple[KnownPeer, ...] = (),
    ) -> None:
        """Start the role.

        Args:
            context: The replica's components.
            view: The view that names this replica as primary.
            rules: Rules for the sizes of views.
            now_ms: Steady clock, ms.
            known_peers: What this replica knew of the others as a follower.
        """
        self._context, self._rules = context, rules
        self._me, self._store = context.me, context.store
        self._outbox, self._times = context.outbox, context.times
        self._log_shipping = LogShipping(context)
        self._requests = PendingRequests()
        self._submitted = SubmittedCommands()
        self._appended = AppendedState(context.store)
        self.lease = Lease(context, now_ms)
        self.peers = PeerTable(context, view, now_ms, known_peers)
        self.planner = ViewPlanner(context, self.peers, self.lease, rules)
        self._begin_epoch(now_ms)

    @property
    def view(self) -> View:
        """The current view, with this replica as primary."""
        return self.peers.view

    def continue_in(self, now_ms: float, view: View) -> None:
        """Continue in a later view that names this replica as primary again."""
        self.peers.enter_view(now_ms, view)
        self._begin_epoch(now_ms)

    def successor(self, now_ms: float) -> Member | None:
        """Return the healthy in-sync replica with the longest matching log; None without one."""
        healthy = [peer for peer in self.peers.in_sync() if peer.is_healthy(now_ms, self._times)]
        most_current = max(healthy, key=lambda peer: (peer.match_index, peer.last_received_ms), default=None)
        return most_current.member if most_current is not None else None

    def can_be_followed(self, now_ms: float) -> bool:
        """Whether a majority of the members can store their promises, so that another primary can be elected.

        If not, giving up the role would gain nothing.
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
        """End the role: all waiting requests end with an unknown outcome."""
        self._store.log.needed_after = None
        self._outbox.extend(self._submitted.abort_all())
        self._outbox.extend(self._requests.abort_all())

    def submit(self, now_ms: float, token: int, command: Command) -> None:
        """Queue a command; in its turn it is validated against all appended entries and appended."""
        if self._requests.is_full or self._submitted.is_full:
            self._outbox.add(CommandResolved(token, UNKNOWN_RESULT))
            return
        self._submitted.add(now_ms, token, command)
        self._decide_submitted(now_ms)

    def _decide_submitted(self, now_ms: float) -> None:
        """Decide on commands in the order of arrival, up to the first that is still being prepared."""
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
            # A rejection is valid only if no other primary has committed later entries.
            needed_round = self._round_from_now()
        # A result describes committed state, so the entries that it depends on must be committed.
        deadline_ms = now_ms + self._times.command_timeout_ms
        proof = Proof(self._store.log.last_index, needed_round, deadline_ms)
        self._requests.add_command(token, result, proof)

    def read(self, now_ms: float, token: int) -> None:
        """Confirm by a heartbeat round that the state committed here is the newest one."""
        if self._requests.is_full:
            self._outbox.add(ReadResolved(token, is_newest=False))
            return
        deadline_ms = now_ms + self._times.read_timeout_ms
        proof = Proof(self.lease.inherited_index, self._round_from_now(), deadline_ms)
        self._requests.add_read(token, proof)

    def handle_join_request(self, now_ms: float, request: JoinRequest) -> None:
        """Handle the request of a replica that looks for a primary; an unknown one becomes a learner.

        For a known replica the request does not reset its time-out, as it may not receive this primary's
        messages.
        """
        learner = self.peers.add_learner(now_ms, request.member)
        if learner is not None:
            self._log_shipping.probe(now_ms, learner)

    def handle_heartbeat_ack(self, now_ms: float, ack: HeartbeatAck) -> None:
        """Handle the answer of a member or learner to a heartbeat."""
        peer = self.peers.get(ack.sender)
        if peer is None:
            return
        has_returned = peer.idle_ms(now_ms) > self._times.resend_ms + peer.transfer_allowance_ms()
        peer.last_received_ms = now_ms
        peer.disk_faulty, peer.stopping = ack.disk_faulty, ack.stopping
        if ack.epoch != self._store.epoch:
            return
        peer.acknowledged_round = max(peer.acknowledged_round, ack.round)
        # A restarted replica reports a lower index and needs a probe to learn how far its log matches.
        is_behind = ack.match_index < peer.match_index
        log_shipping = self._log_shipping
        if (is_behind and log_shipping.may_probe(now_ms, peer)) or (has_returned and log_shipping.lags(peer)):
            log_shipping.probe_from_match(now_ms, peer)
        if ack.accepted_epoch > self._store.epoch:
            self.planner.is_contested = True
        else:
            self._count_ack(ack.round, ack.sender)

    def handle_append_ack(self, now_ms: float, message: AppendAck) -> None:
        """Handle the acknowledgement that entries are durable at another replica."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is not None:
            peer.record_match(now_ms, message.match_index, self._store.log.last_index)
            self._log_shipping.send_entries(now_ms, peer)

    def handle_append_rejected(self, now_ms: float, message: AppendRejected) -> None:
        """Go back to the last entry that another replica has in common with this log, and probe again."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is None:
            return
        is_stale = peer.progress is Progress.PROBING and message.previous_index != peer.next_index - 1
        if is_stale or peer.snapshot is not None:
            return  # answers an older probe, or a snapshot is already being sent
        peer.progress = Progress.PROBING
        last_common_index = min(message.committed_index, self._store.log.last_index)
        peer.next_index = max(peer.match_index, last_common_index) + 1
        self._log_shipping.probe(now_ms, peer)

    def handle_snapshot_ack(self, now_ms: float, message: SnapshotAck) -> None:
        """Handle the acknowledgement of a part of the snapshot that is being sent to another replica."""
        peer = self._peer_in_epoch(now_ms, message)
        if peer is not None:
            self._log_shipping.handle_snapshot_ack(now_ms, peer, message)

    def advance(self, now_ms: float) -> None:
        """Do what has become due: decide on commands, commit, send heartbeats, resend, resolve requests."""
        self.peers.expire_learners(now_ms)
        self._decide_submitted(now_ms)
        self._commit(now_ms)
        if self._is_round_due(now_ms):
            self._start_round(now_ms)
        for peer in self.peers.values():
            if peer.is_resend_due(now_ms, self._times) and self._log_shipping.lags(peer):
                self._log_shipping.probe_from_match(now_ms, peer)
        resolved = self._requests.resolve(now_ms, self._store.committed_index, self.lease.rounds)
        self._outbox.extend(resolved)

    def reset_timeouts(self, now_ms: float, stall_ms: float) -> None:
        """Extend all time-outs after a stall of this process.

        Messages that did not arrive during the stall must not count against the other replicas.
        """
        self.lease.grant_grace(now_ms)
        for peer in self.peers.values():
            peer.reset_timeouts(now_ms, stall_ms, self._times)

    def _begin_epoch(self, now_ms: float) -> None:
        self.planner.begin_epoch()
        self.lease.rounds.discard_open()
        self.peers.begin_epoch(now_ms)
        for peer in self.peers.values():
            peer.begin_epoch(now_ms, self._store.log.last_index + 1)
            self._context.notify_view(peer.member.address, peer.member.incarnation)
            self._log_shipping.probe(now_ms, peer)
        self._start_round(now_ms)

    def _peer_in_epoch(self, now_ms: float, message: AppendAck | AppendRejected | SnapshotAck) -> Peer | None:
        """Return the sender of a message of this epoch and reset its time-out; None for any other message."""
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
            self._log_shipping.send_entries(now_ms, peer)

    def _commit(self, now_ms: float) -> None:
        """Commit the entries that are durable in this epoch at all in-sync and all joining replicas."""
        in_sync = self.view.in_sync
        if len(in_sync) < self._rules.smallest_in_sync:
            return
        index = min(self._synced_by(incarnation) for incarnation in {*in_sync, *self.planner.joining})
        if index <= self._store.committed_index:
            return
        prepared = self._appended.pop_state_after(index)
        self._store.log.needed_after = self._log_shipping.needed_after(now_ms, self.peers.values())
        self._store.commit_to(index, prepared)
        self._start_round(now_ms)

    def _synced_by(self, incarnation: str) -> int:
        """Return the index up to which a replica is known to have the log on disk in this epoch."""
        if incarnation == self._me.incarnation:
            is_in_epoch = self._store.journal.durable.epoch == self._store.epoch
            return self._store.synced_index if is_in_epoch else 0
        peer = self.peers.get(incarnation)
        return peer.match_index if peer is not None and peer.is_in_epoch else 0

    def _round_from_now(self) -> int:
        """Return the number of the first round that begins after this call."""
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
