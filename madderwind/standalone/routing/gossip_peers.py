"""Sends and receives the fleet's gossip as UDP datagrams. They may be lost, so no rule depends on them."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from madderwind.eventlog import EventLog, Sparing
from madderwind.standalone.clock import Clock
from madderwind.standalone.gossip.members import Changed, State
from madderwind.standalone.gossip.membership import Action, FleetSettings, Heard, Membership, Send
from madderwind.standalone.gossip.wire import Kind
from madderwind.standalone.policy.peer_messages import MARK_BYTES, RATE_BYTES, RATE_UNITS

Address = tuple[str, int]
# A member's life number is its process start, in eighths of a second since this epoch. The number fits for 17
# years, and a process that starts after another has the higher number.
EPOCH_MS, LIFE_UNIT_MS = 1_767_225_600_000.0, 125.0
# A copy's reported traffic is kept while the copy is alive, and passed to the module again at this interval.
REPEAT_INTERVAL_MS = 2000.0
MIN_ACTIVE_PER_S = 0.2  # with less traffic a copy has no requests to probe with
MARKS_PER_EVENT = 12


class Listener(Protocol):
    """Receives the zone views and the shared evacuation state of other copies."""

    def on_gossip_received(self) -> None: ...

    def on_view_received(self, origin: int, payload: bytes) -> None: ...

    def on_shared_received(self, order: tuple[int, int], payload: bytes) -> None: ...


class GossipPeers(asyncio.DatagramProtocol):
    """This copy's gossip endpoint among the copies of its tier, a replacement for `Peers` with its interface.

    Like `Peers`, it accepts a datagram only from the configured address of the copy that it names as its
    sender. Others are counted, with rate-limited log lines.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        me: int,
        on_message: Callable[[int, bytes], None],
        log: EventLog,
        log_sparingly: Sparing,
        clock: Clock,
        fleet: FleetSettings,
        seed: int,
    ) -> None:
        self._addresses, self._me, self._on_message = addresses, me, on_message
        self._numbers = {address: number for number, address in enumerate(addresses)}
        self._log, self._log_sparingly, self._clock = log, log_sparingly, clock
        self._dead: set[int] = set()
        life = int((clock.now_ms() - EPOCH_MS) / LIFE_UNIT_MS)
        self._membership = Membership(me, len(addresses), seed, life, fleet.name, fleet.datagrams_per_s)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._repeat_at_ms = clock.now_ms() + REPEAT_INTERVAL_MS
        self.strangers = 0
        self.listener: Listener | None = None
        self.synced = asyncio.Event()

    async def start(self, shared: bool = False) -> None:
        """Listen on this copy's own address. `shared`: together with the other process of an upgrade."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, self._addresses[self._me], reuse_port=shared or None
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._tick()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        peer = self._numbers.get(tuple(addr[:2]))
        if peer is None:
            self.strangers += 1
            self._log_sparingly("odd_words", sender=list(addr[:2]), size=len(data))
            return
        received_before = self._membership.counts["heard"]
        actions = self._membership.receive(self._clock.now_ms(), peer, data)
        if self.listener is not None and self._membership.counts["heard"] > received_before:
            self.listener.on_gossip_received()
        if self._membership.synced:
            self.synced.set()
        self._carry_out(actions)

    def error_received(self, exc: Exception) -> None:
        """Ignored: a copy may be down, and back up for the next message."""

    @property
    def closed(self) -> bool:
        return self._transport is None

    def tell(self, peer: int | None, message: bytes) -> None:
        """Send the module's message to all copies: its rate as this copy's state, its failures as events."""
        if self._transport is None:
            return
        rate, marks = message[:RATE_BYTES], message[RATE_BYTES:]
        size = MARK_BYTES * MARKS_PER_EVENT
        events = tuple(rate + marks[at : at + size] for at in range(0, len(marks), size))
        self._carry_out(self._membership.tell(self._clock.now_ms(), rate, events))

    def tell_view(self, payload: bytes) -> None:
        """Send this copy's view to all copies, replacing its earlier view."""
        if self._transport is not None:
            self._carry_out(self._membership.tell_view(self._clock.now_ms(), payload))

    def tell_shared(self, order: tuple[int, int], payload: bytes) -> None:
        if self._transport is not None:
            self._carry_out(self._membership.tell_shared(self._clock.now_ms(), order, payload))

    def living(self) -> list[int]:
        """The copies that are not considered dead, including this one."""
        return [self._me, *self._membership.members.living()]

    def carrying_traffic(self) -> list[int]:
        """The living copies except those that report almost no traffic; all of them if each reports that."""
        living = self.living()
        return [n for n in living if self._rate(n) >= MIN_ACTIVE_PER_S] or living

    def _rate(self, number: int) -> float:
        """The request rate that a copy reports; infinite if it has reported none."""
        item = self._membership.states.get(number)
        rate = item.payload[:RATE_BYTES] if item is not None else b""
        return int.from_bytes(rate, "little") / RATE_UNITS if rate else math.inf

    def carried_per_s(self) -> float:
        """The sum of the request rates that living copies reported last."""
        return sum(rate for n in self.living() if math.isfinite(rate := self._rate(n)))

    def counts(self) -> Counter[str]:
        """Messages sent, received and ignored, by reason, and the number of members in each state."""
        counts = Counter(self._membership.counts)
        counts["strangers"] = self.strangers
        for member in self._membership.members.all.values():
            counts[f"fellows_{member.state.value}"] += 1
        return counts

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._repeat_at_ms:
            self._repeat_at_ms = now_ms + REPEAT_INTERVAL_MS
            for number, item in list(self._membership.states.items()):
                if number != self._me and self._membership.members.all[number].state is not State.DEAD:
                    self._on_message(number, item.payload)
        self._carry_out(self._membership.tick(now_ms))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(peer, data) if self._transport is not None:
                    self._transport.sendto(data, self._addresses[peer])
                case Heard(origin, payload, Kind.VIEW):
                    if self.listener is not None:
                        self.listener.on_view_received(origin, payload)
                case Heard(_, payload, Kind.SHARED, order):
                    if self.listener is not None:
                        self.listener.on_shared_received(order, payload)
                case Heard(origin, payload):
                    self._on_message(origin, payload)
                case Changed():
                    self._log_state_change(action)
        if self._transport is not None:
            if self._timer is not None:
                self._timer.cancel()
            due_ms = max(min(self._membership.due_ms, self._repeat_at_ms), self._clock.now_ms())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._clock.loop_time_s(due_ms), self._tick)

    def _log_state_change(self, changed: Changed) -> None:
        """Log each death and return. Suspicions are rate-limited: lost datagrams make them frequent."""
        member = changed.member
        if changed.state is State.DEAD:
            self._dead.add(member)
            self._log("fellow_dead", copy=member, life=changed.life)
        elif changed.state is State.SUSPECT:
            accusers = list(changed.accusers)
            self._log_sparingly("fellow_suspect", copy=member, life=changed.life, accusers=accusers)
        elif member in self._dead:
            self._dead.discard(member)
            self._log("fellow_back", copy=member, life=changed.life)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
