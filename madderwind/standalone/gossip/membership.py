"""One copy among the others: probes, news and bounds tied together. Time is the call's, chance the seed's.

`receive`, `tick` and the `tell` calls return what is to be done, in order: datagrams to send, what was heard,
and who is held to be otherwise. `due_ms` is when the next `tick` is wanted.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Annotated

import msgspec

from madderwind.standalone.gossip import wire
from madderwind.standalone.gossip.members import (
    ANSWER_MS,
    HELPERS,
    LATE_MS,
    PERIOD_MS,
    Changed,
    Members,
    Probe,
    State,
)
from madderwind.standalone.gossip.news import News
from madderwind.standalone.gossip.wire import NOBODY, ROOM, BadMessage, Datagram, Item, Kind, Purpose, Seen

DATAGRAMS_PER_S = 25.0  # of a copy, to all others together
ROUND_MS = 200.0  # news that is not urgent goes out so often
FANOUT, URGENT_FANOUT = 2, 3
HURRY_MS = 60.0  # urgent news that comes sooner after other goes with the next: else a few use up the bound
STATE_SENDS = 3  # of a state by each copy that has it: it comes again, newer
URGENT_SENDS = 4  # of urgent news, and the fleet's logarithm on top
SYNC_FROM, SYNC_DATAGRAMS, SYNC_LEAST, SYNC_TRIES = 2, 6, 2, 5
MOST_EVENTS = 256
MOST_SHARED, KEY_BYTES = 128, 8  # registers that the copies share; the payload's first bytes say which
LOUDEST = 2.0  # what a sender may say to one copy, over what a copy may say to all in a second
PROBING = 0.55  # of a copy's datagrams
# A state is told again no sooner than this times the copies: what each has to hear grows with them, and what
# each may say does not.
STATE_EACH_MS = 40.0
KINDS = {State.ALIVE: Kind.ALIVE, State.SUSPECT: Kind.SUSPECT, State.DEAD: Kind.DEAD}
STATES = {kind: state for state, kind in KINDS.items()}


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`fleet` of a configuration. `name` tells one fleet's messages from another's at the same addresses."""

    name: str = ""
    datagrams_per_s: Annotated[float, msgspec.Meta(ge=5, le=500)] = DATAGRAMS_PER_S


class Send(msgspec.Struct, frozen=True):
    peer: int
    data: bytes


class Heard(msgspec.Struct, frozen=True):
    """A copy's state, event or view, or what is shared, told by itself or passed on. `order` is for what is
    shared."""

    origin: int
    payload: bytes
    kind: Kind = Kind.STATE
    order: tuple[int, int] = (0, 0)


Action = Send | Heard | Changed


class Bucket:
    """So many a second, and as many at once."""

    __slots__ = ("_at_ms", "_left", "per_s")

    def __init__(self, per_s: float) -> None:
        self.per_s, self._left, self._at_ms = per_s, per_s, -math.inf

    def take(self, now: float) -> bool:
        self._left = min(self.per_s, self._left + max(0.0, now - self._at_ms) * self.per_s / 1000)
        self._at_ms = max(now, self._at_ms)
        enough = self._left >= 1
        self._left -= enough
        return enough


class Membership:
    """`life`: this process's incarnation at its start, above that of the process before it as far as a clock
    can tell; where it is not, it learns so from the others and goes above."""

    def __init__(
        self,
        me: int,
        copies: int,
        seed: int,
        life: int,
        fleet: str = "",
        datagrams_per_s: float = DATAGRAMS_PER_S,
    ) -> None:
        if not 0 <= me < copies <= wire.MOST_COPIES:
            raise ValueError(f"copy {me} of {copies}")
        self.me, self.life, self._copies = me, max(1, life), copies
        self._chance = random.Random(seed)
        self._fleet = wire.seed_of(fleet)
        self.members = Members(me, copies, self._chance)
        self.news = News(4 * copies + MOST_EVENTS + MOST_SHARED)
        self.counts: Counter[str] = Counter()
        self.states: dict[int, Item] = {}  # the newest of each copy, this one's own among them
        self.shared: dict[bytes, Item] = {}  # the newest of each key
        self._views: dict[int, tuple[int, int]] = {}
        # Probes and their answers have a part of their own, so that no flood of news makes the living silent.
        self._probing = Bucket(datagrams_per_s * PROBING)
        self._telling = Bucket(datagrams_per_s * (1 - PROBING))
        self._loudest_per_s = LOUDEST * datagrams_per_s
        self._state_least_ms = copies * STATE_EACH_MS
        self._state_put_ms = -math.inf
        self._in: dict[int, Bucket] = {}
        self._numbers: dict[int, tuple[int, Seen]] = {}  # datagrams of each speaker, in its life
        self._events: dict[int, tuple[int, Seen]] = {}
        self._number, self._version = 0, 0
        self._probes: dict[int, Probe] = {}
        self._probe_at_ms = self._round_at_ms = -math.inf
        self._synced, self._syncs = False, 0
        self._pressing, self._hurry_at_ms = False, -math.inf
        self._actions: list[Action] = []

    # --- calls ---

    @property
    def due_ms(self) -> float:
        edges_ms = [self._edge_ms(probe) for probe in self._probes.values()]
        hurry_ms = self._hurry_at_ms if self._pressing else math.inf
        return min([self._probe_at_ms, self._round_at_ms, hurry_ms, *edges_ms])

    def tick(self, now: float) -> list[Action]:
        """What time brings."""
        due_ms = self.due_ms
        if now - due_ms > LATE_MS and due_ms > -math.inf:
            self.counts["late"] += 1
            self.members.was_away(now - due_ms)
            self._probes.clear()
        if self._probe_at_ms == -math.inf:  # spread over the copies that start together
            self._probe_at_ms = now + self._chance.random() * PERIOD_MS
            self._round_at_ms = now + self._chance.random() * ROUND_MS
        for number, probe in list(self._probes.items()):
            if now >= self._edge_ms(probe):
                self._unanswered(number, probe, now)
        for changed in self.members.expired(now):
            self._changed(changed)
        if now >= self._probe_at_ms:
            self._probe_at_ms = now + PERIOD_MS * self.members.scale()
            self._probe(now)
        if now >= self._round_at_ms:
            self._round_at_ms = now + ROUND_MS
            self._round(now)
        self._hurry(now)
        return self._done()

    def receive(self, now: float, peer: int, data: bytes) -> list[Action]:
        """A datagram that came from where this peer listens. Whatever it holds, no error."""
        try:
            datagram = wire.read(data, self._fleet)
        except BadMessage as error:
            self.counts[str(error)] += 1
            return []
        if datagram.speaker != peer or peer not in self.members.all:
            self.counts["foreign"] += 1
            return []
        if not self._in.setdefault(peer, Bucket(self._loudest_per_s)).take(now):
            self.counts["flood"] += 1
            return []
        life, seen = self._numbers.get(peer, (-1, Seen()))
        if datagram.life > life:
            life, seen = datagram.life, Seen()
            self._numbers[peer] = life, seen
        if datagram.life < life or not seen.fresh(datagram.number):
            self.counts["repeated"] += 1
            return []
        self.counts["heard"] += 1
        self._note(self.members.heard(peer, datagram.life, now))
        for item in datagram.items:
            self._learn(item, now)
        self._reply(datagram, now)
        self._hurry(now)
        return self._done()

    def tell(self, now: float, state: bytes, events: tuple[bytes, ...] = ()) -> list[Action]:
        """This copy's state, in place of the one before, and what it saw happen, which is urgent.

        The payloads are the caller's; ValueError where one does not fit into a datagram.
        """
        self._version += 1
        item = self._own(Kind.STATE, state)
        self.states[self.me] = item
        if now - self._state_put_ms >= self._state_least_ms:
            self._state_put_ms = now
            self.news.put((Kind.STATE, self.me), item, STATE_SENDS)
        for payload in events:
            self._version += 1
            event = self._own(Kind.EVENT, payload)
            self._urgent((Kind.EVENT, self.me, event.version), event)
            self._pressing = True
        self._hurry(now)
        return self._done()

    def tell_view(self, now: float, payload: bytes) -> list[Action]:
        """What this copy sees, in place of what it told before, and urgent."""
        self._version += 1
        self._urgent((Kind.VIEW, self.me), self._own(Kind.VIEW, payload))
        self._pressing = True
        self._hurry(now)
        return self._done()

    def tell_shared(self, now: float, order: tuple[int, int], payload: bytes) -> list[Action]:
        """A register that all copies share: of each key, the highest order counts, whoever told it."""
        if self._keep(Item(Kind.SHARED, self.me, *order, payload)):
            self._hurry(now)
        return self._done()

    @property
    def synced(self) -> bool:
        """Whether others have told this one what they know: any news may come first, so it asks twice."""
        return self._synced and self._syncs >= SYNC_LEAST

    # --- within ---

    def _keep(self, item: Item) -> bool:
        """Whether it is newer than what is known of its key, and kept. Bounded in keys."""
        key = item.payload[:KEY_BYTES]
        known = self.shared.get(key)
        if known is not None and (item.life, item.version) <= (known.life, known.version):
            return False
        if known is None and len(self.shared) >= MOST_SHARED:
            self.counts["odd"] += 1
            return False
        self.shared[key] = item
        # Before what copies see: it is what came of that.
        self.news.put((Kind.SHARED, key), item, self._sends(), urgent=True, first=True)
        self._pressing = True
        return True

    def _done(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _own(self, kind: Kind, payload: bytes) -> Item:
        item = Item(kind, self.me, self.life, self._version, payload)
        if item.size > ROOM:
            raise ValueError(f"{len(payload)} bytes of messages, {ROOM - item.size + len(payload)} fit")
        return item

    def _sends(self) -> int:
        return URGENT_SENDS + math.ceil(math.log2(self._copies + 1))

    def _urgent(self, key: tuple[int, ...], item: Item) -> None:
        self.news.put(key, item, self._sends(), urgent=True)

    def _send(
        self, peer: int, purpose: Purpose, now: float, about: int = NOBODY, items: tuple[Item, ...] = ()
    ) -> bool:
        """Within this copy's bound; with such news as fits."""
        bucket = self._telling if purpose in (Purpose.NEWS, Purpose.SYNC) else self._probing
        if not bucket.take(now):
            self.counts["held_back"] += 1
            return False
        self._number += 1
        room = ROOM - sum(item.size for item in items)
        datagram = Datagram(purpose, self.me, self.life, self._number, about, (*items, *self.news.take(room)))
        data = wire.write(datagram, self._fleet)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._actions.append(Send(peer, data))
        return True

    def _hurry(self, now: float) -> None:
        """What a copy saw happen does not wait for a round."""
        if self._pressing and now >= self._hurry_at_ms:
            self._pressing, self._hurry_at_ms = False, now + HURRY_MS
            for peer in self.members.some(URGENT_FANOUT):
                self._send(peer, Purpose.NEWS, now)

    def _round(self, now: float) -> None:
        if self._syncs < SYNC_LEAST or (not self._synced and self._syncs < SYNC_TRIES):
            self._syncs += 1
            for peer in self.members.some(SYNC_FROM):
                self._send(peer, Purpose.SYNC, now)
        elif len(self.news):
            for peer in self.members.some(FANOUT):
                if len(self.news):
                    self._send(peer, Purpose.NEWS, now)

    def _edge_ms(self, probe: Probe) -> float:
        """When a probe's next step is due."""
        if probe.asked_by >= 0:
            return probe.began_ms + ANSWER_MS * self.members.scale()
        last_ms = (PERIOD_MS - 1) if probe.helped else ANSWER_MS
        return probe.began_ms + last_ms * self.members.scale()

    def _held(self, number: int) -> Item:
        """How this copy holds a member to be, as an item."""
        member = self.members.all[number]
        return Item(KINDS[member.state], number, member.life, min(member.accusers, default=self.me))

    def _accusation(self, target: int) -> tuple[Item, ...]:
        """A suspect is told at once what is said of it, so that it can speak for itself."""
        return () if self.members.all[target].state is State.ALIVE else (self._held(target),)

    def _ping(self, target: int, now: float, asked_by: int = -1) -> None:
        if self._send(target, Purpose.PING, now, target, self._accusation(target)):
            self._probes[self._number] = Probe(target, now, asked_by)

    def _probe(self, now: float) -> None:
        target = self.members.next_target()
        if target is not None:
            self._ping(target, now)

    def _unanswered(self, number: int, probe: Probe, now: float) -> None:
        """A probe's time is over: others are asked, then it is a suspicion."""
        member = self.members.all[probe.target]
        if member.heard_ms >= probe.began_ms:  # other messages of it came
            del self._probes[number]
        elif probe.asked_by >= 0:
            del self._probes[number]
            self._send(probe.asked_by, Purpose.SILENT, now, probe.target)
        elif not probe.helped:
            probe.helped = True
            self.members.pinged(answered=False)
            self._send(probe.target, Purpose.PING, now, probe.target)  # the first may be what was lost
            for helper in self.members.some(HELPERS, besides=probe.target):
                self._send(helper, Purpose.ASK, now, probe.target)
        else:
            del self._probes[number]
            if not probe.refused and len(self.members.all) > HELPERS:
                self.members.worse()  # nobody said anything: it may be this copy that is cut off, or slow
            if member.state is not State.DEAD and self.members.silent(probe.target):
                self._note(self.members.suspect(probe.target, member.life, self.me, now))

    def _reply(self, datagram: Datagram, now: float) -> None:
        peer, about = datagram.speaker, datagram.about
        self._answered(peer, now)
        match datagram.purpose:
            case Purpose.PING:
                self._send(peer, Purpose.ANSWER, now, self.me)
            case Purpose.ANSWER if about in self.members.all and about != peer:
                # A helper heard it: as good as heard by this copy, but for messages of its own.
                self.members.all[about].heard_ms = now
                self._answered(about, now)
            case Purpose.ASK if about in self.members.all:
                self._ping(about, now, peer)
            case Purpose.SILENT:
                for probe in self._probes.values():
                    probe.refused += probe.target == about and probe.asked_by < 0
            case Purpose.SYNC:
                self._sync(peer, now)
        if datagram.purpose is not Purpose.SYNC and datagram.items:
            self._synced = True

    def _answered(self, target: int, now: float) -> None:
        """Ends probes of this member; whoever asked for one is told."""
        for number in [n for n, probe in self._probes.items() if probe.target == target]:
            probe = self._probes.pop(number)
            if probe.asked_by >= 0:
                self._send(probe.asked_by, Purpose.ANSWER, now, target)
            elif not probe.helped:
                self.members.pinged(answered=True)
                self.members.better()
        self.members.answers(target)

    def _sync(self, peer: int, now: float) -> None:
        """What this copy knows, to one that has just started: who is not alive, then states by chance."""
        items = [
            self._held(n) for n, m in self.members.all.items() if m.state is not State.ALIVE and n != peer
        ]
        states = [item for about, item in self.states.items() if about != peer]
        self._chance.shuffle(states)
        items = [*self.shared.values(), *items, *states]
        for _ in range(SYNC_DATAGRAMS):
            room, some = ROOM, list[Item]()
            while items and items[0].size <= room:
                room -= items[0].size
                some.append(items.pop(0))
            if not some or not self._send(peer, Purpose.NEWS, now, items=tuple(some)):
                return

    # --- what items say ---

    def _learn(self, item: Item, now: float) -> None:
        if item.kind == Kind.SHARED:
            if self._keep(item):
                order = item.life, item.version
                self._actions.append(Heard(item.about, item.payload, Kind.SHARED, order))
        elif item.about == self.me:
            self._about_me(item)
        elif item.about not in self.members.all:
            self.counts["foreign"] += 1
        elif item.kind in STATES:
            state, member = STATES[Kind(item.kind)], self.members.all[item.about]
            if (
                state is not State.ALIVE
                and item.life < member.life
                and (Kind.ALIVE, item.about) not in self.news
            ):
                # Its accuser does not hear it, nor those who do: it learns from this copy of a later life.
                self.news.put((Kind.ALIVE, item.about), self._held(item.about), STATE_SENDS, urgent=True)
            self._note(self.members.told(item.about, state, item.life, item.version, now))
        elif item.kind == Kind.STATE:
            known = self.states.get(item.about)
            if known is None or (item.life, item.version) > (known.life, known.version):
                self.states[item.about] = item
                self.news.put((Kind.STATE, item.about), item, STATE_SENDS)
                self._actions.append(Heard(item.about, item.payload))
        elif item.kind == Kind.EVENT:
            life, seen = self._events.get(item.about, (-1, Seen()))
            if item.life > life:
                life, seen = item.life, Seen()
                self._events[item.about] = life, seen
            if item.life == life and seen.fresh(item.version):
                self._urgent((Kind.EVENT, item.about, item.version), item)
                self._pressing = True
                self._actions.append(Heard(item.about, item.payload, Kind.EVENT))
        elif item.kind == Kind.VIEW and (item.life, item.version) > self._views.get(item.about, (-1, 0)):
            self._views[item.about] = item.life, item.version
            self._urgent((Kind.VIEW, item.about), item)
            self._pressing = True
            self._actions.append(Heard(item.about, item.payload, Kind.VIEW))

    def _about_me(self, item: Item) -> None:
        """Others hold this copy to be what it is not, or know a later life: it speaks from one above that, or
        from its own, which an accuser that never heard it does not know."""
        accused = item.kind in (Kind.SUSPECT, Kind.DEAD)
        if not accused and item.life <= self.life:
            return
        if item.life >= self.life:
            self.life, self._number = item.life + 1, 0
        if accused:
            self.counts["refuted"] += 1
            self.members.worse()
        self._urgent((Kind.ALIVE, self.me), Item(Kind.ALIVE, self.me, self.life, self.me))

    def _note(self, changed: Changed | None) -> None:
        if changed is not None:
            self._changed(changed)

    def _changed(self, changed: Changed) -> None:
        accuser = changed.accusers[-1] if changed.accusers else self.me
        if self.me in changed.accusers:
            accuser = self.me
        item = Item(KINDS[changed.state], changed.member, changed.life, accuser)
        # One more accuser is told less often than the first: it only shortens what all know by then.
        sends = self._sends() if len(changed.accusers) < 2 else STATE_SENDS
        self.news.put((Kind.ALIVE, changed.member), item, sends, urgent=True)
        self._actions.append(changed)
