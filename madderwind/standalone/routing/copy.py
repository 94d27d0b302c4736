"""One balancer instance: delivers events to the policy module, runs its timers and dispatches its actions."""

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
    """Why the host ends a request itself, with an answer that does not say whether the request ran."""

    DEADLINE = "the module said nothing in time"
    ENDING = "this balancer ends"


class OpenRequest(Protocol):
    """An open request, as `Copy` uses it."""

    inbox: asyncio.Queue[api.Event | LastWord]
    streaming_attempt: int | None

    @property
    def over(self) -> bool: ...

    def carry_out(self, action: api.Action) -> None: ...

    def cancel_repeatable_attempt(self, attempt: int) -> None: ...


class Copy:
    """Passes events to the policy module, one by one and timed by one clock, and dispatches its actions.

    It makes no routing decision of its own.
    """

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
        self._served_until_ms: dict[str, float] = {}  # classes removed from the settings
        self._tenants_until_ms: dict[str, float] = {}  # tenants removed from the settings
        self.directory = Directory(host.zone_names, host.kind_names)
        self.tally = Tally(host.class_names)
        self.open: dict[int, OpenRequest] = {}
        self.open_trace_ids: set[str] = set()
        self.watch_asked_for = asyncio.Event()
        self.peers: Peers | GossipPeers | None = None  # set if the configuration names other copies
        self.withdrawal: Withdrawal | None = None  # set if the fleet evacuates zones together
        self._balancer = Balancer(host.settings, seed)
        self._last_request_number = 0
        self._last_event_ms = 0.0
        self._probes: set[asyncio.Task[None]] = set()

    def next_request_number(self) -> int:
        self._last_request_number = (self._last_request_number + 1) % 2**32
        return self._last_request_number

    def passes_answers(self) -> bool:
        """Whether a long answer is being streamed to a caller."""
        return any(exchange.streaming_attempt is not None for exchange in self.open.values())

    def end_all(self, reason: LastWord) -> None:
        """Tell every open request that the host ends it, and why."""
        for exchange in self.open.values():
            exchange.inbox.put_nowait(reason)

    def listed(self, listing: Listing, cached: bool = False) -> None:
        """Apply a listing from discovery, to the module and to pending sends at the same moment."""
        for unreadable in listing.odd:
            self.log("odd_member", member=unreadable)
        event = self.directory.take(listing, cached)
        for entry in event.entries:
            # An upstream that is not ready gets no new requests, so its idle connections are useless.
            if entry.state is not UpstreamState.READY:
                self.upstreams.close_idle(entry.upstream)
        self.happened(event)
        self._update_evacuation_places()

    def _update_evacuation_places(self) -> None:
        if self.withdrawal is not None:
            self.withdrawal.listed(self.directory.places())

    def leave(self, upstreams: frozenset[int]) -> None:
        """Send nothing new to these upstreams until they are reopened: their zone is evacuated."""
        self._apply_fleet_change(self.directory.leave(upstreams))

    def reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool) -> None:
        """Send new requests to these upstreams again, as if they had started at `started_ms`.

        `owed`: treat them as upstreams that an operator restored at that time, so that the next request goes
        to them even if discovery reports a later start.
        """
        event = self.directory.reopen(upstreams, started_ms)
        if owed:
            ready = [entry for entry in event.entries if entry.state is UpstreamState.READY]
            for state in (UpstreamState.SUSPENDED, UpstreamState.READY):
                changed = (
                    msgspec.structs.replace(entry, state=state, started_ms=started_ms) for entry in ready
                )
                self.happened(msgspec.structs.replace(event, entries=tuple(changed)))
        self._apply_fleet_change(event)

    def cancel_repeatable_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt that hangs in an evacuated zone; the module decides on its request."""
        open_request = self.open.get(request)
        if open_request is not None and self.settings.may_cancel:
            open_request.cancel_repeatable_attempt(attempt)

    def began(self, upstream: int, key: tuple[int, int]) -> None:
        """Record that an attempt at an upstream has begun."""
        self.directory.began(upstream)
        if self.withdrawal is not None:
            self.withdrawal.began(upstream, key)

    def ended(
        self, upstream: int, key: tuple[int, int], outcome: api.Outcome | None, elapsed_ms: float
    ) -> None:
        """Record that an attempt has ended; `outcome` is None if its result is unknown."""
        self.directory.ended(upstream)
        if self.withdrawal is not None:
            self.withdrawal.ended(key, outcome, elapsed_ms)

    def retune(self, host: HostSettings) -> None:
        """Apply new settings in which classes and tenants keep their numbers.

        The module keeps its state. A class or tenant that was removed is still served for one more deadline.
        """
        now_ms = self.clock.now_ms()
        deadlines_ms = dict(
            zip(
                host.class_names,
                (request_class.deadline_ms for request_class in host.settings.classes),
                strict=True,
            )
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
        self.tally.add_classes(host.class_names)
        self.upstreams.retune(host.settings.connect_timeout_ms, host.idle_ms)
        self.happened(api.Retuned(host.settings))

    def hand_over(self) -> tuple[float, float, dict[str, api.Known]]:
        """The module's state for a successor process: quota, room, and upstreams by discovery's ids."""
        memory = self._balancer.hand_over()
        names = ((self.directory.name(number), known) for number, known in memory.upstreams.items())
        return memory.quota, memory.room, {name: known for name, known in names if name}

    def heard(self, peer: int, message: bytes) -> None:
        """Deliver a message from another copy to the module."""
        self.happened(api.PeerSpoke(peer, message))

    def recall(self, quota: float, room: float, upstreams: dict[str, api.Known], same: bool) -> None:
        """Restore the state of the previous process, after the list that it followed was applied.

        `same`: the previous process ran in a deployment of the same shape. Otherwise what it learned as
        ratios to the usual values there is reset: the room, and the slowness of each upstream. Facts about an
        upstream are kept: when it started, that connects fail, that it is ejected. The quota is kept too, so
        that both processes together spend no more than one process may.
        """
        if not same:
            room = 0.0
            upstreams = {
                upstream_id: msgspec.structs.replace(state, slowness=0.0)
                for upstream_id, state in upstreams.items()
            }
        numbers = ((self.directory.number(name), known) for name, known in upstreams.items())
        by_number = {number: known for number, known in numbers if number is not None}
        self.happened(api.Recalled(api.Memory(quota, room, by_number)))

    def suspend(self, name: str, heard: bool = False) -> bool:
        """Send nothing more to this upstream from now on. Returns whether it was ever listed.

        `heard`: the suspension came from the other process of an upgrade, which knows the upstream.
        """
        event = self.directory.suspend(name, heard)
        if event is not None:
            self.log("suspended", upstream=name)
            self._apply_suspension_change(event)
        return event is not None

    def restore(self, name: str) -> bool:
        """Use this upstream again, as one that has just started. Returns whether it was ever listed."""
        event = self.directory.restore(name, self.clock.now_ms())
        if event is not None:
            self.log("restored", upstream=name)
            self._apply_suspension_change(event)
        return event is not None

    def _apply_fleet_change(self, event: api.FleetListed) -> None:
        for entry in event.entries:
            self.upstreams.close_idle(entry.upstream)  # no longer used, or restarted in the meantime
        self.happened(event)

    def _apply_suspension_change(self, event: api.FleetListed) -> None:
        self._apply_fleet_change(event)
        self._update_evacuation_places()

    def skipped(self) -> int:
        """How many listed upstreams the module avoids now."""
        return self._balancer.skipped(self.clock.now_ms())

    def happened(self, event: api.Event) -> None:
        """Deliver an event that belongs to no open request's task; an error is logged."""
        try:
            self.decide(event)
        except Exception as error:
            self.log("decision_broke", on=type(event).__name__, error=repr(error))

    def decide(self, event: api.Event, exchange: OpenRequest | None = None) -> None:
        """Deliver one event to the module and carry out its actions in order."""
        now_ms = self.clock.now_ms()
        self.invariants.must(now_ms >= self._last_event_ms, "clock_only_advances")
        self._last_event_ms = now_ms
        for action in self._balancer.handle(now_ms, event):
            match action:
                case api.SetTimer(after_ms, token):
                    loop = asyncio.get_running_loop()
                    loop.call_later(after_ms / 1000, self._timer_fired, token, exchange)
                case api.Send() | api.Refuse() | api.Fail() | api.Cancel():
                    open_request = self.open.get(action.request_id)
                    known = open_request is not None
                    self.invariants.must(known, "acts_for_open_requests", action=type(action).__name__)
                    if open_request is not None:
                        open_request.carry_out(action)
                case api.Subscribe() | api.FetchList():
                    self.watch_asked_for.set()  # the watch fetches the whole list if it missed changes
                case api.Probe(upstream):
                    self.start_probe(upstream)
                case api.CloseIdle(upstream):
                    self.upstreams.close_idle(upstream)
                case api.Log(text):
                    self.log("module_says", text=text)
                case api.TellPeers(peer, message) if self.peers is not None:
                    self.peers.tell(peer, message)
                case _:  # a message to peers while none are configured
                    self.log("action_not_carried_out", action=type(action).__name__)

    def report(self, upstream: int, text: str | None) -> tuple[float, ...]:
        """The values of a load report; empty if none came, none is configured, or it cannot be parsed."""
        if text is None or not self.settings.report_columns:
            return ()
        report = read_report(text, self.host.report_names)
        if report is None:
            self.log_sparingly("odd_report", upstream=self.directory.name(upstream), report=text[:120])
            return ()
        return report

    def _timer_fired(self, token: int, exchange: OpenRequest | None) -> None:
        fired = api.TimerFired(token)
        if exchange is None or exchange.over:
            self.happened(fired)
        else:
            exchange.inbox.put_nowait(fired)

    def start_probe(self, upstream: int) -> None:
        """Start a health probe independent of any request; its result goes to the module and evacuation."""
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
