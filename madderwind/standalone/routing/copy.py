"""One copy of the balancer: the module, its timers, and who carries out which action."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

import msgspec
from multidict import CIMultiDict

from madderwind.eventlog import EventLog, Invariants, Sparing
from madderwind.standalone.clock import Clock
from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import UpstreamState
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.protocol.answers import read_report
from madderwind.standalone.protocol.listing import Listing
from madderwind.standalone.protocol.requests import RequestReader
from madderwind.standalone.routing.directory import Directory
from madderwind.standalone.routing.gossip_peers import GossipPeers
from madderwind.standalone.routing.peers import Peers
from madderwind.standalone.routing.tally import Tally
from madderwind.standalone.routing.withdrawal import Withdrawal
from madderwind.standalone.settings import HostSettings
from madderwind.transport.budget import Budgets
from madderwind.transport.encoded_request import EncodedRequest
from madderwind.transport.upstreams import Answer, Upstreams

PROBE_TIMEOUT_MS = 300.0


class LastWord(Enum):
    """Why the host ends a request itself, with an answer that promises nothing."""

    DEADLINE = "the module said nothing in time"
    ENDING = "this balancer ends"


class Life(Protocol):
    """An open request, as a copy knows it."""

    inbox: asyncio.Queue[api.Event | LastWord]
    passing: int | None

    @property
    def over(self) -> bool: ...

    def carry_out(self, action: api.Action) -> None: ...

    def take_back(self, attempt: int) -> None: ...


class Copy:
    """Feeds the module its events, one by one on one clock, and hands out its actions. Decides nothing."""

    def __init__(
        self,
        host: HostSettings,
        seed: int,
        clock: Clock,
        upstreams: Upstreams,
        budgets: Budgets,
        log: EventLog,
    ) -> None:
        self.host, self.settings = host, host.settings
        self.clock, self.upstreams, self.budgets, self.log = clock, upstreams, budgets, log
        self.log_sparingly = Sparing(log, clock.now_ms)
        self.invariants = Invariants(log)
        self.reader = RequestReader(host)
        self._served_until_ms: dict[str, float] = {}  # classes that vanished
        self._tenants_until_ms: dict[str, float] = {}  # and tenants
        self.directory = Directory(host.zone_names, host.kind_names)
        self.tally = Tally(host.class_names)
        self.open: dict[int, Life] = {}
        self.open_ids: set[str] = set()
        self.watch_asked_for = asyncio.Event()
        self.peers: Peers | GossipPeers | None = None  # where the configuration names other copies
        self.withdrawal: Withdrawal | None = None  # where its fleet leaves zones together
        self._balancer = Balancer(host.settings, seed)
        self._last_number = 0
        self._last_ms = 0.0
        self._probes: set[asyncio.Task[None]] = set()

    def next_number(self) -> int:
        self._last_number = (self._last_number + 1) % 2**32
        return self._last_number

    def passes_answers(self) -> bool:
        """Whether a long answer is on its way to a caller."""
        return any(exchange.passing is not None for exchange in self.open.values())

    def end_all(self, word: LastWord) -> None:
        """Every open request gets the host's last word."""
        for exchange in self.open.values():
            exchange.inbox.put_nowait(word)

    def listed(self, listing: Listing, cached: bool = False) -> None:
        """What discovery told, in force for the module and for sends on their way from the same moment."""
        for odd in listing.odd:
            self.log("odd_member", member=odd)
        event = self.directory.take(listing, cached)
        for entry in event.entries:
            # Nothing new goes to one that is not ready: its idle connections are of no use.
            if entry.state is not UpstreamState.READY:
                self.upstreams.close_idle(entry.upstream)
        self.happened(event)
        self._places_changed()

    def _places_changed(self) -> None:
        if self.withdrawal is not None:
            self.withdrawal.listed(self.directory.places())

    def leave(self, upstreams: frozenset[int]) -> None:
        """Nothing more to these until they are reopened: their zone is left."""
        self._changed(self.directory.leave(upstreams))

    def reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool) -> None:
        """New work again, as to upstreams that started then. `owed`: as ones called back by hand then, whose
        turn the next request is, also where discovery says that they have started since."""
        event = self.directory.reopen(upstreams, started_ms)
        if owed:
            ready = [entry for entry in event.entries if entry.state is UpstreamState.READY]
            for state in (UpstreamState.SUSPENDED, UpstreamState.READY):
                then = (msgspec.structs.replace(entry, state=state, started_ms=started_ms) for entry in ready)
                self.happened(msgspec.structs.replace(event, entries=tuple(then)))
        self._changed(event)

    def take_back(self, request: int, attempt: int) -> None:
        """An attempt that hangs in what was left; what becomes of its request the module decides."""
        life = self.open.get(request)
        if life is not None and self.settings.may_cancel:
            life.take_back(attempt)

    def began(self, upstream: int, key: tuple[int, int]) -> None:
        """An attempt is on its way."""
        self.directory.began(upstream)
        if self.withdrawal is not None:
            self.withdrawal.began(upstream, key)

    def ended(
        self, upstream: int, key: tuple[int, int], outcome: api.Outcome | None, elapsed_ms: float
    ) -> None:
        """It is over; `outcome` None: nobody knows how."""
        self.directory.ended(upstream)
        if self.withdrawal is not None:
            self.withdrawal.ended(key, outcome, elapsed_ms)

    def retune(self, host: HostSettings) -> None:
        """New settings, in which classes and tenants have the numbers of the old. The module keeps what it
        knows. A class or tenant that vanished is served for one deadline more."""
        now_ms = self.clock.now_ms()
        deadlines_ms = dict(
            zip(host.class_names, (c.deadline_ms for c in host.settings.classes), strict=True)
        )
        self._served_until_ms = {
            name: self._served_until_ms.get(name, now_ms + deadlines_ms[name]) for name in host.retired
        }
        self.host, self.settings = host, host.settings
        longest_ms = max(deadlines_ms.values())
        self._tenants_until_ms = {
            name: self._tenants_until_ms.get(name, now_ms + longest_ms) for name in host.retired_tenants
        }
        self.reader = RequestReader(host, self._served_until_ms, self._tenants_until_ms)
        self.tally.know(host.class_names)
        self.upstreams.retune(host.settings.connect_timeout_ms, host.idle_ms)
        self.happened(api.Retuned(host.settings))

    def hand_over(self) -> tuple[float, float, dict[str, api.Known]]:
        """What the module knows, for a successor: quota, room, and upstreams by discovery's ids."""
        memory = self._balancer.hand_over()
        names = ((self.directory.name(number), known) for number, known in memory.upstreams.items())
        return memory.quota, memory.room, {name: known for name, known in names if name}

    def heard(self, peer: int, words: bytes) -> None:
        """Another copy's words."""
        self.happened(api.PeerSpoke(peer, words))

    def recall(self, quota: float, room: float, upstreams: dict[str, api.Known], same: bool) -> None:
        """What the process before this one knew; after the list that it followed.

        `same`: it stood in a deployment of this shape. If not, what was learned in ratios to the usual there
        starts afresh: the room, and how slow each upstream is. What is plain of an upstream holds: when it
        started, that connects fail, that it is set aside. So does the quota: both spend no more than one.
        """
        if not same:
            room = 0.0
            upstreams = {n: msgspec.structs.replace(k, slowness=0.0) for n, k in upstreams.items()}
        numbers = ((self.directory.number(name), known) for name, known in upstreams.items())
        by_number = {number: known for number, known in numbers if number is not None}
        self.happened(api.Recalled(api.Memory(quota, room, by_number)))

    def suspend(self, name: str, heard: bool = False) -> bool:
        """Nothing more to this upstream from this moment on; whether it was ever listed.

        `heard`: of the other process of an upgrade, which knows it.
        """
        event = self.directory.suspend(name, heard)
        if event is not None:
            self.log("suspended", upstream=name)
            self._suspension_changed(event)
        return event is not None

    def restore(self, name: str) -> bool:
        """This upstream may be used again, as one that has just started; whether it was ever listed."""
        event = self.directory.restore(name, self.clock.now_ms())
        if event is not None:
            self.log("restored", upstream=name)
            self._suspension_changed(event)
        return event is not None

    def _changed(self, event: api.FleetListed) -> None:
        for entry in event.entries:
            self.upstreams.close_idle(entry.upstream)  # nothing new for it, or it has restarted meanwhile
        self.happened(event)

    def _suspension_changed(self, event: api.FleetListed) -> None:
        self._changed(event)
        self._places_changed()

    def skipped(self) -> int:
        """How many listed upstreams the module avoids now."""
        return self._balancer.skipped(self.clock.now_ms())

    def happened(self, event: api.Event) -> None:
        """An event that no request's task waits for."""
        try:
            self.decide(event)
        except Exception as error:
            self.log("decision_broke", on=type(event).__name__, error=repr(error))

    def decide(self, event: api.Event, exchange: Life | None = None) -> None:
        """One point of choice: the event to the module, and its actions carried out in order."""
        now_ms = self.clock.now_ms()
        self.invariants.must(now_ms >= self._last_ms, "clock_only_advances")
        self._last_ms = now_ms
        for action in self._balancer.handle(now_ms, event):
            match action:
                case api.SetTimer(after_ms, token):
                    loop = asyncio.get_running_loop()
                    loop.call_later(after_ms / 1000, self._timer_fired, token, exchange)
                case api.Send() | api.Refuse() | api.Fail() | api.Cancel():
                    asked_for = self.open.get(action.request_id)
                    known = asked_for is not None
                    self.invariants.must(known, "acts_for_open_requests", action=type(action).__name__)
                    if asked_for is not None:
                        asked_for.carry_out(action)
                case api.Subscribe() | api.FetchList():
                    self.watch_asked_for.set()  # it brings the whole list where it has a gap
                case api.Probe(upstream):
                    self.start_probe(upstream)
                case api.CloseIdle(upstream):
                    self.upstreams.close_idle(upstream)
                case api.Log(text):
                    self.log("module_says", text=text)
                case api.TellPeers(peer, message) if self.peers is not None:
                    self.peers.tell(peer, message)
                case _:  # words to peers where none are named
                    self.log("action_not_carried_out", action=type(action).__name__)

    def report(self, upstream: int, text: str | None) -> tuple[float, ...]:
        """A load report's figures for the module; none where none came, is wanted, or can be read."""
        if text is None or not self.settings.report_columns:
            return ()
        report = read_report(text, self.host.report_names)
        if report is None:
            self.log_sparingly("odd_report", upstream=self.directory.name(upstream), report=text[:120])
            return ()
        return report

    def _timer_fired(self, token: int, exchange: Life | None) -> None:
        fired = api.TimerFired(token)
        if exchange is None or exchange.over:
            self.happened(fired)
        else:
            exchange.inbox.put_nowait(fired)

    def start_probe(self, upstream: int) -> None:
        """Ask how it is, beside all requests; the module hears it, and who leaves zones."""
        task = asyncio.get_running_loop().create_task(self._probe(upstream))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, upstream: int) -> None:
        address = self.directory.address(upstream)
        if address is None:
            return
        started_ms = self.clock.now_ms()
        has_reports = bool(self.settings.report_columns)
        encoded = EncodedRequest(
            "GET", "/load" if has_reports else "/healthz", CIMultiDict(), b"", lambda: True
        )
        until_s = self.clock.loop_time_s(started_ms + PROBE_TIMEOUT_MS)
        self.directory.began(upstream)
        try:
            answer = await self.upstreams.ask(upstream, address, encoded, until_s)
        finally:
            self.directory.ended(upstream)
        report: tuple[float, ...] = ()
        if isinstance(answer, Answer):
            outcome = api.Outcome.OK if answer.status == 200 else api.Outcome.ERROR
            report = self.report(upstream, answer.body.decode("latin-1"))
        else:
            outcome = answer
        if self.withdrawal is not None:
            self.withdrawal.probed(upstream, outcome is api.Outcome.OK, started_ms)
        self.happened(api.ProbeEnded(outcome, self.clock.now_ms() - started_ms, upstream, report))
