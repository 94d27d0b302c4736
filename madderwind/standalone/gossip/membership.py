"""The gossip protocol of one copy: probes, dissemination of updates and rate limits.

The caller passes in the current time, and random numbers derive from the seed. `receive`, `tick` and the
`tell` methods return the actions to carry out, in order: datagrams to send, payloads that were received, and
changes of members. `due_ms` is the time of the next `tick`.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Annotated

import msgspec

from madderwind.standalone.gossip import wire
from madderwind.standalone.gossip.members import (
    INDIRECT_PROBES,
    LATE_TICK_MS,
    PROBE_PERIOD_MS,
    PROBE_TIMEOUT_MS,
    Changed,
    Members,
    Probe,
    State,
)
from madderwind.standalone.gossip.news import UpdateQueue
from madderwind.standalone.gossip.wire import (
    ITEM_SPACE,
    NO_MEMBER,
    BadMessage,
    Datagram,
    Item,
    Kind,
    Purpose,
    SequenceWindow,
)

DATAGRAMS_PER_S = 25.0  # from one copy to all others together
GOSSIP_ROUND_MS = 200.0  # between sends of updates that are not urgent
FANOUT, URGENT_FANOUT = 2, 3
# Urgent updates that follow sooner wait for the next send; otherwise a few would use up the rate limit.
URGENT_INTERVAL_MS = 60.0
STATE_SENDS = 3  # of a state by each copy that has it; a newer state replaces it soon
URGENT_SENDS = 4  # of an urgent update, plus the logarithm of the number of copies
SYNC_PEERS, SYNC_DATAGRAMS, MIN_SYNCS, MAX_SYNCS = 2, 6, 2, 5
MAX_EVENTS = 256
MAX_SHARED_KEYS, KEY_BYTES = 128, 8  # of shared registers; the first payload bytes are the key
PEER_RATE_FACTOR = 2.0  # rate accepted from one sender, relative to what a copy may send to all others
PROBE_SHARE = 0.55  # of the datagram rate of a copy
# The shortest interval between sends of a state, per copy of the fleet: the number of states to receive
# grows with the fleet, while the datagram rate of each copy does not.
STATE_INTERVAL_PER_COPY_MS = 40.0
KIND_OF_STATE = {State.ALIVE: Kind.ALIVE, State.SUSPECT: Kind.SUSPECT, State.DEAD: Kind.DEAD}
STATE_OF_KIND = {kind: state for state, kind in KIND_OF_STATE.items()}


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`fleet` of a configuration. `name` separates the messages of fleets that share addresses."""

    name: str = ""
    datagrams_per_s: Annotated[float, msgspec.Meta(ge=5, le=500)] = DATAGRAMS_PER_S


class Send(msgspec.Struct, frozen=True):
    peer: int
    data: bytes


class Heard(msgspec.Struct, frozen=True):
    """A state, event, view or shared register, received from its origin or through another copy.

    `order` is set for shared registers.
    """

    origin: int
    payload: bytes
    kind: Kind = Kind.STATE
    order: tuple[int, int] = (0, 0)


Action = Send | Heard | Changed


class TokenBucket:
    """A token bucket with a capacity of one second of its rate."""

    __slots__ = ("_at_ms", "_tokens", "per_s")

    def __init__(self, per_s: float) -> None:
        self.per_s, self._tokens, self._at_ms = per_s, per_s, -math.inf

    def take(self, now: float) -> bool:
        self._tokens = min(self.per_s, self._tokens + max(0.0, now - self._at_ms) * self.per_s / 1000)
        self._at_ms = max(now, self._at_ms)
        available = self._tokens >= 1
        self._tokens -= available
        return available


class Membership:
    """The protocol state of one copy.

    `life` is the incarnation of this process at its start. The clock makes it higher than that of the
    previous process in most cases; otherwise this copy learns the higher one from the others and exceeds it.
    """

    def __init__(
        self,
        me: int,
        copies: int,
        seed: int,
        life: int,
        fleet: str = "",
        datagrams_per_s: float = DATAGRAMS_PER_S,
    ) -> None:
        if not 0 <= me < copies <= wire.MAX_COPIES:
            raise ValueError(f"copy number {me} is out of range for {copies} copies")
        self.me, self.life, self._copies = me, max(1, life), copies
        self._random = random.Random(seed)
        self._checksum_seed = wire.seed_of(fleet)
        self.members = Members(me, copies, self._random)
        self.updates = UpdateQueue(4 * copies + MAX_EVENTS + MAX_SHARED_KEYS)
        self.counts: Counter[str] = Counter()
        self.states: dict[int, Item] = {}  # the newest of each copy, including this one
        self.shared: dict[bytes, Item] = {}  # the newest of each key
        self._received_views: dict[int, tuple[int, int]] = {}
        # Probes and their answers have a rate limit of their own, so that a flood of updates cannot make
        # living copies look dead.
        self._probe_bucket = TokenBucket(datagrams_per_s * PROBE_SHARE)
        self._gossip_bucket = TokenBucket(datagrams_per_s * (1 - PROBE_SHARE))
        self._peer_limit_per_s = PEER_RATE_FACTOR * datagrams_per_s
        self._min_state_interval_ms = copies * STATE_INTERVAL_PER_COPY_MS
        self._state_queued_ms = -math.inf
        self._receive_buckets: dict[int, TokenBucket] = {}
        self._received_numbers: dict[int, tuple[int, SequenceWindow]] = {}  # by sender, in its incarnation
        self._received_events: dict[int, tuple[int, SequenceWindow]] = {}
        self._number, self._version = 0, 0
        self._probes: dict[int, Probe] = {}
        self._probe_due_ms = self._round_due_ms = -math.inf
        self._synced, self._syncs_sent = False, 0
        self._urgent_pending, self._urgent_due_ms = False, -math.inf
        self._actions: list[Action] = []

    @property
    def due_ms(self) -> float:
        steps_ms = [self._next_step_ms(probe) for probe in self._probes.values()]
        urgent_ms = self._urgent_due_ms if self._urgent_pending else math.inf
        return min([self._probe_due_ms, self._round_due_ms, urgent_ms, *steps_ms])

    def tick(self, now: float) -> list[Action]:
        """Carry out the steps that are due: probes, timeouts and gossip rounds."""
        due_ms = self.due_ms
        if now - due_ms > LATE_TICK_MS and due_ms > -math.inf:
            self.counts["late"] += 1
            self.members.record_pause(now - due_ms)
            self._probes.clear()
        if self._probe_due_ms == -math.inf:  # random phases for copies that start together
            self._probe_due_ms = now + self._random.random() * PROBE_PERIOD_MS
            self._round_due_ms = now + self._random.random() * GOSSIP_ROUND_MS
        for number, probe in list(self._probes.items()):
            if now >= self._next_step_ms(probe):
                self._probe_timed_out(number, probe, now)
        for changed in self.members.resolve_expired_suspicions(now):
            self._report_change(changed)
        if now >= self._probe_due_ms:
            self._probe_due_ms = now + PROBE_PERIOD_MS * self.members.scale()
            self._probe(now)
        if now >= self._round_due_ms:
            self._round_due_ms = now + GOSSIP_ROUND_MS
            self._gossip_round(now)
        self._send_urgent(now)
        return self._take_actions()

    def receive(self, now: float, peer: int, data: bytes) -> list[Action]:
        """Process a datagram from the address of this peer. Never raises, whatever the content."""
        try:
            datagram = wire.read(data, self._checksum_seed)
        except BadMessage as error:
            self.counts[str(error)] += 1
            return []
        if datagram.speaker != peer or peer not in self.members.all:
            self.counts["foreign"] += 1
            return []
        if not self._receive_buckets.setdefault(peer, TokenBucket(self._peer_limit_per_s)).take(now):
            self.counts["flood"] += 1
            return []
        life, window = self._received_numbers.get(peer, (-1, SequenceWindow()))
        if datagram.life > life:
            life, window = datagram.life, SequenceWindow()
            self._received_numbers[peer] = life, window
        if datagram.life < life or not window.accept(datagram.number):
            self.counts["repeated"] += 1
            return []
        self.counts["heard"] += 1
        self._report_if_changed(self.members.record_message(peer, datagram.life, now))
        for item in datagram.items:
            self._apply_item(item, now)
        self._reply(datagram, now)
        self._send_urgent(now)
        return self._take_actions()

    def tell(self, now: float, state: bytes, events: tuple[bytes, ...] = ()) -> list[Action]:
        """Publish the state of this copy in place of the previous one, and events, which are urgent.

        The payloads are opaque. Raises ValueError if one does not fit into a datagram.
        """
        self._version += 1
        item = self._own_item(Kind.STATE, state)
        self.states[self.me] = item
        if now - self._state_queued_ms >= self._min_state_interval_ms:
            self._state_queued_ms = now
            self.updates.put((Kind.STATE, self.me), item, STATE_SENDS)
        for payload in events:
            self._version += 1
            event = self._own_item(Kind.EVENT, payload)
            self._queue_urgent((Kind.EVENT, self.me, event.version), event)
            self._urgent_pending = True
        self._send_urgent(now)
        return self._take_actions()

    def tell_view(self, now: float, payload: bytes) -> list[Action]:
        """Publish the view of this copy in place of the previous one; views are urgent."""
        self._version += 1
        self._queue_urgent((Kind.VIEW, self.me), self._own_item(Kind.VIEW, payload))
        self._urgent_pending = True
        self._send_urgent(now)
        return self._take_actions()

    def tell_shared(self, now: float, order: tuple[int, int], payload: bytes) -> list[Action]:
        """Publish a register shared by all copies: the highest order of each key applies, whoever sent it."""
        if self._store_shared(Item(Kind.SHARED, self.me, *order, payload)):
            self._send_urgent(now)
        return self._take_actions()

    @property
    def synced(self) -> bool:
        """Whether other copies have sent their known state.

        Unrelated updates may arrive first, so at least two requests are sent.
        """
        return self._synced and self._syncs_sent >= MIN_SYNCS

    def _store_shared(self, item: Item) -> bool:
        """Store a shared register; returns whether it is newer than the known one."""
        key = item.payload[:KEY_BYTES]
        known = self.shared.get(key)
        if known is not None and (item.life, item.version) <= (known.life, known.version):
            return False
        if known is None and len(self.shared) >= MAX_SHARED_KEYS:
            self.counts["odd"] += 1
            return False
        self.shared[key] = item
        # Sent before the views, because it is the decision derived from them.
        self.updates.put((Kind.SHARED, key), item, self._urgent_sends(), urgent=True, first=True)
        self._urgent_pending = True
        return True

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _own_item(self, kind: Kind, payload: bytes) -> Item:
        item = Item(kind, self.me, self.life, self._version, payload)
        if item.size > ITEM_SPACE:
            raise ValueError(
                f"payload has {len(payload)} bytes, the maximum is {ITEM_SPACE - item.size + len(payload)}"
            )
        return item

    def _urgent_sends(self) -> int:
        return URGENT_SENDS + math.ceil(math.log2(self._copies + 1))

    def _queue_urgent(self, key: tuple[int, ...], item: Item) -> None:
        self.updates.put(key, item, self._urgent_sends(), urgent=True)

    def _send(
        self, peer: int, purpose: Purpose, now: float, about: int = NO_MEMBER, items: tuple[Item, ...] = ()
    ) -> bool:
        """Send a datagram, filled up with queued items, if the rate limit of this copy allows."""
        bucket = self._gossip_bucket if purpose in (Purpose.NEWS, Purpose.SYNC) else self._probe_bucket
        if not bucket.take(now):
            self.counts["held_back"] += 1
            return False
        self._number += 1
        space = ITEM_SPACE - sum(item.size for item in items)
        datagram = Datagram(
            purpose, self.me, self.life, self._number, about, (*items, *self.updates.take(space))
        )
        data = wire.write(datagram, self._checksum_seed)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._actions.append(Send(peer, data))
        return True

    def _send_urgent(self, now: float) -> None:
        """Send urgent updates without waiting for the next gossip round."""
        if self._urgent_pending and now >= self._urgent_due_ms:
            self._urgent_pending, self._urgent_due_ms = False, now + URGENT_INTERVAL_MS
            for peer in self.members.sample_living(URGENT_FANOUT):
                self._send(peer, Purpose.NEWS, now)

    def _gossip_round(self, now: float) -> None:
        if self._syncs_sent < MIN_SYNCS or (not self._synced and self._syncs_sent < MAX_SYNCS):
            self._syncs_sent += 1
            for peer in self.members.sample_living(SYNC_PEERS):
                self._send(peer, Purpose.SYNC, now)
        elif len(self.updates):
            for peer in self.members.sample_living(FANOUT):
                if len(self.updates):
                    self._send(peer, Purpose.NEWS, now)

    def _next_step_ms(self, probe: Probe) -> float:
        """When the next step of a probe is due."""
        if probe.requested_by >= 0:
            return probe.began_ms + PROBE_TIMEOUT_MS * self.members.scale()
        timeout_ms = (PROBE_PERIOD_MS - 1) if probe.indirect_sent else PROBE_TIMEOUT_MS
        return probe.began_ms + timeout_ms * self.members.scale()

    def _member_item(self, number: int) -> Item:
        """What this copy believes about a member, as an item."""
        member = self.members.all[number]
        return Item(KIND_OF_STATE[member.state], number, member.life, min(member.accusers, default=self.me))

    def _accusation_items(self, target: int) -> tuple[Item, ...]:
        """The suspicion to send along to a suspected member, so that it can refute it at once."""
        return () if self.members.all[target].state is State.ALIVE else (self._member_item(target),)

    def _ping(self, target: int, now: float, requested_by: int = -1) -> None:
        if self._send(target, Purpose.PING, now, target, self._accusation_items(target)):
            self._probes[self._number] = Probe(target, now, requested_by)

    def _probe(self, now: float) -> None:
        target = self.members.next_target()
        if target is not None:
            self._ping(target, now)

    def _probe_timed_out(self, number: int, probe: Probe, now: float) -> None:
        """Handle a probe timeout: request indirect probes first, then suspect the member."""
        member = self.members.all[probe.target]
        if member.heard_ms >= probe.began_ms:  # another message arrived from it
            del self._probes[number]
        elif probe.requested_by >= 0:
            del self._probes[number]
            self._send(probe.requested_by, Purpose.SILENT, now, probe.target)
        elif not probe.indirect_sent:
            probe.indirect_sent = True
            self.members.record_direct_ping(answered=False)
            self._send(probe.target, Purpose.PING, now, probe.target)  # the first ping may have been lost
            for helper in self.members.sample_living(INDIRECT_PROBES, excluded=probe.target):
                self._send(helper, Purpose.ASK, now, probe.target)
        else:
            del self._probes[number]
            # If no helper replied, this copy itself may be partitioned or slow.
            if not probe.negative_replies and len(self.members.all) > INDIRECT_PROBES:
                self.members.raise_health_score()
            if member.state is not State.DEAD and self.members.record_failed_probe(probe.target):
                self._report_if_changed(self.members.suspect(probe.target, member.life, self.me, now))

    def _reply(self, datagram: Datagram, now: float) -> None:
        peer, about = datagram.speaker, datagram.about
        self._finish_probes(peer, now)
        match datagram.purpose:
            case Purpose.PING:
                self._send(peer, Purpose.ANSWER, now, self.me)
            case Purpose.ANSWER if about in self.members.all and about != peer:
                # An answer through a helper counts as heard by this copy, except that it
                # carries no message of the member itself.
                self.members.all[about].heard_ms = now
                self._finish_probes(about, now)
            case Purpose.ASK if about in self.members.all:
                self._ping(about, now, peer)
            case Purpose.SILENT:
                for probe in self._probes.values():
                    probe.negative_replies += probe.target == about and probe.requested_by < 0
            case Purpose.SYNC:
                self._sync(peer, now)
        if datagram.purpose is not Purpose.SYNC and datagram.items:
            self._synced = True

    def _finish_probes(self, target: int, now: float) -> None:
        """End the probes of this member and answer the copies that requested them."""
        for number in [n for n, probe in self._probes.items() if probe.target == target]:
            probe = self._probes.pop(number)
            if probe.requested_by >= 0:
                self._send(probe.requested_by, Purpose.ANSWER, now, target)
            elif not probe.indirect_sent:
                self.members.record_direct_ping(answered=True)
                self.members.lower_health_score()
        self.members.record_answer(target)

    def _sync(self, peer: int, now: float) -> None:
        """Send the known state to a copy that has just started.

        Shared registers go first, then members that are not alive, then states in random order.
        """
        items = [
            self._member_item(n)
            for n, m in self.members.all.items()
            if m.state is not State.ALIVE and n != peer
        ]
        states = [item for about, item in self.states.items() if about != peer]
        self._random.shuffle(states)
        items = [*self.shared.values(), *items, *states]
        for _ in range(SYNC_DATAGRAMS):
            space, batch = ITEM_SPACE, list[Item]()
            while items and items[0].size <= space:
                space -= items[0].size
                batch.append(items.pop(0))
            if not batch or not self._send(peer, Purpose.NEWS, now, items=tuple(batch)):
                return

    def _apply_item(self, item: Item, now: float) -> None:
        if item.kind == Kind.SHARED:
            if self._store_shared(item):
                order = item.life, item.version
                self._actions.append(Heard(item.about, item.payload, Kind.SHARED, order))
        elif item.about == self.me:
            self._apply_item_about_self(item)
        elif item.about not in self.members.all:
            self.counts["foreign"] += 1
        elif item.kind in STATE_OF_KIND:
            state, member = STATE_OF_KIND[Kind(item.kind)], self.members.all[item.about]
            if (
                state is not State.ALIVE
                and item.life < member.life
                and (Kind.ALIVE, item.about) not in self.updates
            ):
                # The accuser receives messages neither from the member nor from copies that reach it, so this
                # copy sends the later incarnation.
                self.updates.put(
                    (Kind.ALIVE, item.about), self._member_item(item.about), STATE_SENDS, urgent=True
                )
            self._report_if_changed(
                self.members.apply_report(item.about, state, item.life, item.version, now)
            )
        elif item.kind == Kind.STATE:
            known = self.states.get(item.about)
            if known is None or (item.life, item.version) > (known.life, known.version):
                self.states[item.about] = item
                self.updates.put((Kind.STATE, item.about), item, STATE_SENDS)
                self._actions.append(Heard(item.about, item.payload))
        elif item.kind == Kind.EVENT:
            life, window = self._received_events.get(item.about, (-1, SequenceWindow()))
            if item.life > life:
                life, window = item.life, SequenceWindow()
                self._received_events[item.about] = life, window
            if item.life == life and window.accept(item.version):
                self._queue_urgent((Kind.EVENT, item.about, item.version), item)
                self._urgent_pending = True
                self._actions.append(Heard(item.about, item.payload, Kind.EVENT))
        elif item.kind == Kind.VIEW and (item.life, item.version) > self._received_views.get(
            item.about, (-1, 0)
        ):
            self._received_views[item.about] = item.life, item.version
            self._queue_urgent((Kind.VIEW, item.about), item)
            self._urgent_pending = True
            self._actions.append(Heard(item.about, item.payload, Kind.VIEW))

    def _apply_item_about_self(self, item: Item) -> None:
        """Refute an accusation of this copy, or exceed a later incarnation that others know of it.

        The incarnation becomes one above the reported one. If the own incarnation is already higher, it is
        announced as it is, because the accuser has not received it.
        """
        accused = item.kind in (Kind.SUSPECT, Kind.DEAD)
        if not accused and item.life <= self.life:
            return
        if item.life >= self.life:
            self.life, self._number = item.life + 1, 0
        if accused:
            self.counts["refuted"] += 1
            self.members.raise_health_score()
        self._queue_urgent((Kind.ALIVE, self.me), Item(Kind.ALIVE, self.me, self.life, self.me))

    def _report_if_changed(self, changed: Changed | None) -> None:
        if changed is not None:
            self._report_change(changed)

    def _report_change(self, changed: Changed) -> None:
        accuser = changed.accusers[-1] if changed.accusers else self.me
        if self.me in changed.accusers:
            accuser = self.me
        item = Item(KIND_OF_STATE[changed.state], changed.member, changed.life, accuser)
        # Further accusers are sent less often than the first: they only shorten a suspicion that is already
        # known everywhere.
        sends = self._urgent_sends() if len(changed.accusers) < 2 else STATE_SENDS
        self.updates.put((Kind.ALIVE, changed.member), item, sends, urgent=True)
        self._actions.append(changed)
