"""The primary's role: decides and appends commands, commits them, proves reads, watches the other
replicas."""

from __future__ import annotations

from msgspec import structs

from madderwind.messages.replication import (
    AppendAck,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    LogEntry,
    Member,
    PeerStatus,
    SnapshotAck,
    View,
)
from madderwind.replication.api import (
    Command,
    CommandOutcome,
    CommandResolved,
    CommandResult,
    ReadResolved,
    ReplicatedState,
)
from madderwind.replication.core import ReplicaCore, command_of
from madderwind.replication.known_peers import KnownPeer
from madderwind.replication.log_shipping import LogShipping
from madderwind.replication.membership import MembershipRules, PeerHealth, next_view
from madderwind.replication.peers import Peer, Progress
from madderwind.replication.requests import UNCLEAR, WaitingRequests
from madderwind.replication.rounds import HeartbeatRounds

# Learners beyond these have to wait; a fleet has few control planes.
MOST_LEARNERS = 8
# A learner that is silent for so long is forgotten; it announces itself again.
LEARNER_SILENCE_MS = 3_000.0
# Rounds that reads and repeats ask for are shared by those that come within this time.
SHORTEST_ROUND_MS = 5.0


class Primary:
    """Lives from the moment that this replica is decided as primary until it loses or gives up the role. In
    that time the epoch may rise with this replica as primary."""

    def __init__(
        self,
        core: ReplicaCore,
        view: View,
        rules: MembershipRules,
        now_ms: float,
        known_peers: tuple[KnownPeer, ...] = (),
    ) -> None:
        self._core, self._rules = core, rules
        self._shipping = LogShipping(core)
        self.rounds = HeartbeatRounds(now_ms)
        self.peers: dict[str, Peer] = {}
        self._requests = WaitingRequests()
        self._since_ms = now_ms
        self._grace_until_ms = now_ms
        # Entries of earlier primaries may have been committed by them: only when they are committed here too,
        # it is known what the newest configuration is.
        self._inherited_index = core.log.last_index
        self._appended = core.committed.copy()
        self._states: dict[int, ReplicatedState] = {}
        for index in range(core.committed_index + 1, core.log.last_index + 1):
            self._apply(core.log.entry(index))
        # In-sync replicas of views proposed in this epoch, whose fate is not known: commits need them too.
        self._joining: set[str] = set()
        # Whether a member has accepted a later view, whose fate is not known either.
        self._is_contested = False
        self.view = view
        for known in known_peers:
            self._inherit(now_ms, known)
        self._begin_epoch(now_ms)

    # --- views ---

    def continue_in(self, now_ms: float, view: View) -> None:
        """A later view names this replica as primary again."""
        for incarnation in set(self.view.in_sync) - set(view.in_sync):
            if incarnation in self.peers:
                self.peers[incarnation].put_on_probation(now_ms)
        self.view = view
        self._begin_epoch(now_ms)

    def wanted_view(self, now_ms: float) -> View | None:
        """What to propose; None where the present view is as good as any. From here on commits need those
        that are to join. Asked while no proposal is under way."""
        healths = {name: self._health_of(now_ms, peer) for name, peer in self.peers.items()}
        wanted = next_view(self.view, self._core.me, healths, self._rules)
        if wanted is None and self._has_open_proposal():
            # Settled by a view like the present one, which leaves no doubt who is needed.
            wanted = structs.replace(self.view, epoch=self.view.epoch + 1)
        if wanted is not None:
            self._joining |= set(wanted.in_sync)
        return wanted

    def lost_touch(self, now_ms: float) -> bool:
        """Whether no majority has answered for so long that another primary may be at work."""
        confirmed_ms = self.rounds.confirmed_ms
        last = self._since_ms if confirmed_ms is None else max(confirmed_ms, self._since_ms)
        return now_ms > self._grace_until_ms and now_ms - last > self._core.times.step_down_ms

    @property
    def fresh_ms(self) -> float | None:
        """When the last round began that a majority answered: whatever was acknowledged before is committed
        here. None while entries of earlier primaries, which may have acknowledged them, are not."""
        return self.rounds.confirmed_ms if self._core.committed_index >= self._inherited_index else None

    def fresh_age_ms(self, now_ms: float) -> float | None:
        """Since that moment."""
        return None if self.fresh_ms is None else now_ms - self.fresh_ms

    def successor(self, now_ms: float) -> Member | None:
        """Who is to take the role over: of the in-sync set, sound, and with most of the log."""
        peers = [
            peer
            for name, peer in self.peers.items()
            if name in self.view.in_sync and peer.is_sound(now_ms, self._core.times)
        ]
        best = max(peers, key=lambda peer: (peer.matched, peer.heard_ms), default=None)
        return best.member if best is not None else None

    def can_be_followed(self, now_ms: float) -> bool:
        """Whether enough members can write down what they promise, so that another primary can be decided.
        Where they can't, giving up the role would gain nothing."""
        core = self._core
        voters = [
            name
            for name, peer in self.peers.items()
            if self.view.has_member(name)
            and not peer.disk_in_trouble
            and peer.silent_ms(now_ms) <= core.times.silence_ms
        ]
        return len(voters) + core.has_sound_disk(now_ms) >= self.view.majority()

    def give_up(self) -> None:
        """The role is lost: whatever waits ends without a clear result."""
        self._core.log.needed_after = None
        self._core.actions += self._requests.give_up()

    # --- commands and reads ---

    def submit(self, now_ms: float, token: int, command: Command) -> None:
        """Decide a command on top of all that is appended."""
        if self._requests.is_full:
            self._core.actions.append(CommandResolved(token, UNCLEAR))
            return
        deadline_ms = now_ms + self._core.times.command_timeout_ms
        result = self._appended.decide(command)
        if result is None:
            self._append(now_ms, command)
            taken = CommandResult(CommandOutcome.TAKEN, self._appended.version)
            self._requests.add_command(token, taken, self._core.log.last_index, 0, deadline_ms)
            return
        # A result tells what is committed, so the entries that it rests on have to be; and a refusal is only
        # right where no other primary has gone further.
        needed_round = 0 if result.outcome is CommandOutcome.TAKEN else self._round_from_now()
        self._requests.add_command(token, result, self._core.log.last_index, needed_round, deadline_ms)

    def read(self, now_ms: float, token: int) -> None:
        """Prove that what is committed here is the newest there is."""
        if self._requests.is_full:
            self._core.actions.append(ReadResolved(token, is_newest=False))
            return
        deadline_ms = now_ms + self._core.times.read_ms
        self._requests.add_read(token, self._inherited_index, self._round_from_now(), deadline_ms)

    # --- messages ---

    def handle_join_request(self, now_ms: float, join_request: JoinRequest) -> None:
        """A replica that looks for a primary: one that is not known yet is to learn. Of others it is no sign
        of life, as it may be that they can't hear this primary."""
        member = join_request.member
        if member.incarnation in self.peers or self._learners() >= MOST_LEARNERS:
            return
        if member.incarnation != self._core.me.incarnation:
            peer = self.peers[member.incarnation] = Peer(member, now_ms, self._core.log.last_index + 1)
            self._shipping.probe(now_ms, peer)

    def take_answer(self, now_ms: float, answer: HeartbeatAck) -> None:
        """A member's or learner's answer to a heartbeat."""
        peer = self.peers.get(answer.sender)
        if peer is None:
            return
        has_returned = peer.silent_ms(now_ms) > self._core.times.resend_ms + peer.allowance_ms()
        peer.heard_ms = now_ms
        peer.disk_in_trouble, peer.leaving = answer.disk_faulty, answer.stopping
        if answer.epoch != self._core.epoch:
            return
        peer.answered_round = max(peer.answered_round, answer.round)
        is_behind = answer.match_index < peer.matched  # started anew, it is to be told what it may rely on
        shipping = self._shipping
        if (is_behind and shipping.may_probe(now_ms, peer)) or (has_returned and shipping.lags(peer)):
            shipping.probe_again(now_ms, peer)
        if answer.accepted_epoch > self._core.epoch:
            self._is_contested = True
        else:
            self._count_answer(answer.round, answer.sender)

    def take_appended(self, now_ms: float, message: AppendAck) -> None:
        """Entries are on the disk of another replica."""
        peer = self.peers.get(message.sender)
        if peer is None or message.epoch != self._core.epoch:
            return
        peer.heard_ms = now_ms
        peer.note_matched(now_ms, message.match_index, self._core.log.last_index)
        self._shipping.send_entries(now_ms, peer)

    def take_refused(self, now_ms: float, message: AppendRejected) -> None:
        """The log of another replica does not lead up to what was sent: go back to where it is sure."""
        peer = self.peers.get(message.sender)
        if peer is None or message.epoch != self._core.epoch:
            return
        peer.heard_ms = now_ms
        is_stale = peer.progress is Progress.PROBING and message.previous_index != peer.next_index - 1
        if is_stale or peer.snapshot is not None:
            return  # the answer to an older probe
        peer.progress = Progress.PROBING
        peer.next_index = max(peer.matched, min(message.committed_index, self._core.log.last_index)) + 1
        self._shipping.probe(now_ms, peer)

    def take_snapshot_received(self, now_ms: float, message: SnapshotAck) -> None:
        """Another replica has a part of the snapshot that it is sent."""
        peer = self.peers.get(message.sender)
        if peer is None or message.epoch != self._core.epoch:
            return
        peer.heard_ms = now_ms
        self._shipping.take_snapshot_received(now_ms, peer, message)

    # --- time ---

    def advance(self, now_ms: float) -> None:
        """Whatever time and the events so far allow: heartbeats, commits, the ends of requests."""
        self._drop_silent_learners(now_ms)
        self._commit(now_ms)
        if self._is_round_due(now_ms):
            self._start_round(now_ms)
        for peer in self.peers.values():
            is_due = peer.is_resend_due(now_ms, self._core.times)
            if is_due and self._shipping.lags(peer):
                self._shipping.probe_again(now_ms, peer)
        self._core.actions += self._requests.resolve(now_ms, self._core.committed_index, self.rounds)

    def forgive(self, now_ms: float, gap_ms: float) -> None:
        """The process did not run for a while: the others are not to be blamed for their silence."""
        self._grace_until_ms = now_ms + self._core.times.grace_ms
        for peer in self.peers.values():
            peer.forgive(now_ms, gap_ms, self._core.times)

    # --- inside ---

    def _inherit(self, now_ms: float, known: KnownPeer) -> None:
        """Go on with a member or learner where the former primary left off."""
        name = known.member.incarnation
        if name == self._core.me.incarnation or not (self.view.has_member(name) or self._may_learn(known)):
            return
        peer = Peer(known.member, now_ms, self._core.log.last_index + 1)
        peer.inherit(now_ms, known, self._core.times)
        self.peers[name] = peer

    def _may_learn(self, known: KnownPeer) -> bool:
        is_recent = self._since_ms - known.heard_ms < self._core.times.silence_ms
        return is_recent and self._learners() < MOST_LEARNERS

    def _begin_epoch(self, now_ms: float) -> None:
        self._joining.clear()
        self._is_contested = False
        self.rounds.forget()
        for member in self.view.members:
            if member != self._core.me and member.incarnation not in self.peers:
                self.peers[member.incarnation] = Peer(member, now_ms, self._core.log.last_index + 1)
        for peer in self.peers.values():
            peer.begin_epoch(now_ms, self._core.log.last_index + 1)
            self._core.notify_view(peer.member.address, peer.member.incarnation)
            self._shipping.probe(now_ms, peer)
        self._start_round(now_ms)

    def _append(self, now_ms: float, command: Command) -> None:
        index = self._core.log.last_index + 1
        entry = LogEntry(index, self._core.epoch, command.kind.value, command.base_version, command.body)
        self._core.append(entry)
        self._apply(entry)
        for peer in self.peers.values():
            self._shipping.send_entries(now_ms, peer)

    def _apply(self, entry: LogEntry) -> None:
        self._appended.apply(command_of(entry))
        self._states[entry.index] = self._appended.copy()

    def _commit(self, now_ms: float) -> None:
        """Commit what the whole in-sync set, and all that may join it, have on disk under this epoch."""
        in_sync = self.view.in_sync
        if len(in_sync) < self._rules.smallest_in_sync:
            return
        index = min(self._synced_by(incarnation) for incarnation in {*in_sync, *self._joining})
        if index <= self._core.committed_index:
            return
        prepared = self._states.get(index)
        self._states = {later: state for later, state in self._states.items() if later > index}
        self._core.log.needed_after = self._shipping.needed_after(now_ms, self.peers.values())
        self._core.commit_to(index, prepared)
        self._start_round(now_ms)

    def _synced_by(self, incarnation: str) -> int:
        if incarnation == self._core.me.incarnation:
            return self._core.synced_index if self._core.journal.durable.epoch == self._core.epoch else 0
        peer = self.peers.get(incarnation)
        return peer.matched if peer is not None and peer.is_in_epoch else 0

    def _round_from_now(self) -> int:
        """The first round that begins after this moment."""
        return self.rounds.last_started + 1

    def _is_round_due(self, now_ms: float) -> bool:
        elapsed_ms = now_ms - self.rounds.last_started_ms
        is_wanted = self._requests.needed_round > self.rounds.last_started
        return elapsed_ms >= self._core.times.heartbeat_ms or (is_wanted and elapsed_ms >= SHORTEST_ROUND_MS)

    def _start_round(self, now_ms: float) -> None:
        number = self.rounds.start(now_ms)
        age_ms = self.fresh_age_ms(now_ms)
        statuses = tuple(
            PeerStatus(peer.member, peer.silent_ms(now_ms), peer.leaving, is_direct=True)
            for peer in self.peers.values()
        )
        for incarnation, peer in self.peers.items():
            heartbeat = Heartbeat(
                self._core.me.incarnation,
                incarnation,
                self._core.epoch,
                number,
                self._core.committed_index,
                age_ms,
                peer.answered_round,
                statuses,
            )
            self._core.send(peer.member.address, heartbeat)
        if self._core.witness.accepted_epoch <= self._core.epoch:
            self._count_answer(number, self._core.me.incarnation)

    def _count_answer(self, number: int, incarnation: str) -> None:
        if self.view.has_member(incarnation):
            self.rounds.take_answer(number, incarnation, self.view.majority())

    def _health_of(self, now_ms: float, peer: Peer) -> PeerHealth:
        times = self._core.times
        is_sound = peer.is_sound(now_ms, times)
        is_ready = (
            is_sound
            and peer.is_in_epoch
            and peer.matched >= max(self._core.committed_index, self._inherited_index)
            and not (peer.is_on_probation(now_ms) and self._has_enough_in_sync(now_ms))
        )
        is_replaceable = peer.leaving or peer.silent_ms(now_ms) > times.replace_ms
        return PeerHealth(peer.member, is_ready, not is_sound, is_replaceable, peer.silent_ms(now_ms))

    def _has_enough_in_sync(self, now_ms: float) -> bool:
        """Whether commands can be acknowledged with those of the in-sync set that are sound."""
        others = [peer for name, peer in self.peers.items() if name in self.view.in_sync]
        sound = [peer for peer in others if peer.is_sound(now_ms, self._core.times)]
        return 1 + len(sound) >= self._rules.smallest_in_sync

    def _has_open_proposal(self) -> bool:
        """Whether a proposal that was begun may yet be decided."""
        return self._is_contested or not self._joining <= set(self.view.in_sync)

    def _learners(self) -> int:
        return sum(not self.view.has_member(incarnation) for incarnation in self.peers)

    def _drop_silent_learners(self, now_ms: float) -> None:
        silent = [
            incarnation
            for incarnation, peer in self.peers.items()
            if not self.view.has_member(incarnation) and peer.silent_ms(now_ms) > LEARNER_SILENCE_MS
        ]
        for incarnation in silent:
            del self.peers[incarnation]
