"""The data plane's side of distribution as a state machine: which control planes to be connected to, whom to
fetch a configuration from, what is in force and whether that is known to be current.

It does no input or output: `handle` takes an event and gives actions back, carried out in turn by the host.
Times are milliseconds of the steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import msgspec

from madderwind.configuration.reading import Document
from madderwind.distribution.control_plane_link import Link, LinkState
from madderwind.distribution.reading_ahead import ConfigurationMessage, ReadAhead, document_after
from madderwind.errors import InvalidConfiguration
from madderwind.messages.distribution import (
    ClockReading,
    ClockRequest,
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlPlanes,
    FetchConfiguration,
    Freshness,
    Goodbye,
    Subscribe,
    ToControlPlane,
    ToDataPlane,
)

# A connection on which nothing came for so long is closed: each control plane speaks four times a second.
MOST_SILENCE_MS = 1500.0
# How long a fetch may stay unanswered before another control plane is asked.
FETCH_TIMEOUT_MS = 300.0
# And how long an answer that has come may take to be read.
READING_TIMEOUT_MS = 3000.0
# The wait before an address is dialled again doubles from the first to the last; a random part of it is off.
LEAST_REDIAL_MS, MOST_REDIAL_MS = 100.0, 1000.0
# What a control plane called fresh counts as current for so long after its primary held its lease.
CURRENT_MS = 600.0
# Without any control plane for so long since the start, the configuration of another source would count.
ALONE_AFTER_MS = 3000.0


class Identity(msgspec.Struct, frozen=True):
    """Who subscribes; `life` is drawn anew at each start of the process."""

    node: str
    life: str
    address: str
    zone: str


# --- events ---


class LinkOpened(msgspec.Struct, frozen=True):
    """The connection to this control plane is up."""

    address: str


class LinkClosed(msgspec.Struct, frozen=True):
    """It ended, or never came up."""

    address: str


class MessageReceived(msgspec.Struct, frozen=True):
    """A control plane's message. `read_ahead`: a configuration's document, where the host has read it."""

    address: str
    message: ToDataPlane
    read_ahead: ReadAhead | None = None


class ConfigurationArrived(msgspec.Struct, frozen=True):
    """A long configuration has come, and is being read; then MessageReceived."""

    address: str


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings name other seeds."""

    addresses: tuple[str, ...]


class TimePassed(msgspec.Struct, frozen=True):
    """Nothing happened but time; due at least every 50 ms."""


class Leaving(msgspec.Struct, frozen=True):
    """The process ends: it takes no more requests."""


Event = LinkOpened | LinkClosed | MessageReceived | ConfigurationArrived | SeedsChanged | TimePassed | Leaving

# --- actions ---


class Connect(msgspec.Struct, frozen=True):
    """Open a connection; then LinkOpened or LinkClosed."""

    address: str


class Disconnect(msgspec.Struct, frozen=True):
    """Close the connection; LinkClosed need not follow."""

    address: str


class Send(msgspec.Struct, frozen=True):
    """Send on the connection to this control plane."""

    address: str
    message: ToControlPlane


class PutInForce(msgspec.Struct, frozen=True):
    """This configuration is in force from now on."""

    document: Document


class Deliver(msgspec.Struct, frozen=True):
    """A message that is not about the configuration: registry, limits, load, other data planes."""

    address: str
    message: ToDataPlane


class Report(msgspec.Struct, frozen=True):
    """Something for the log."""

    event: str
    fields: dict[str, str | int | float]


Action = Connect | Disconnect | Send | PutInForce | Deliver | Report


class _Fetch(msgspec.Struct, frozen=True):
    """A configuration that is asked for. `is_answered`: it has come and is being read, since `asked_ms`."""

    address: str
    asked_ms: float
    is_answered: bool = False


class Subscriber:
    """See the module."""

    def __init__(
        self, now_ms: float, identity: Identity, seeds: Sequence[str], wanted_links: int, rng: random.Random
    ) -> None:
        """`wanted_links`: to how many control planes to stay connected."""
        self._identity, self._wanted, self._rng = identity, wanted_links, rng
        self._seeds = tuple(seeds)
        self._told: tuple[str, ...] = ()  # addresses of control planes that one of them told
        self._links: dict[str, Link] = {}
        self._started_ms = now_ms
        self._fetch: _Fetch | None = None
        self._avoid_for_fetch = ""  # who left the last fetch unanswered
        self._newest_told = 0  # of the versions that any control plane ever told as committed
        self._primary_epoch = 0  # of the newest primary that spoke for itself
        self._named_primary = ""  # whom another control plane named since
        self._proven = False  # whether a control plane ever called the version in force fresh
        self._leaving = False
        self.document: Document | None = None
        self.primary = ""
        self.data_planes = 1
        for address in self._seeds:
            self._links[address] = Link(address, now_ms)

    # --- what is known ---

    @property
    def version(self) -> int:
        """The version in force; 0 where there is none."""
        return 0 if self.document is None else self.document.version

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration that some control plane called fresh in this life."""
        return self._proven

    def is_current(self, now_ms: float) -> bool:
        """Whether no newer version than the one in force is committed, as far as can be known."""
        return self._newest_told <= self.version and any(
            self._calls_current(now_ms, link) for link in self._links.values()
        )

    def is_alone(self, now_ms: float) -> bool:
        """Whether no control plane was reached for some time since the start."""
        return (
            self.document is None
            and now_ms - self._started_ms >= ALONE_AFTER_MS
            and not any(link.state is LinkState.OPEN for link in self._links.values())
        )

    def is_in_touch(self, now_ms: float) -> bool:
        """Whether a connection to the primary is open, and it held its lease a moment ago."""
        link = self._links.get(self.primary)
        if link is None or link.state is not LinkState.OPEN:
            return False
        if link.freshness is None or not link.freshness.is_primary:
            return False
        age_ms = link.age_ms(now_ms)
        return age_ms is not None and age_ms < CURRENT_MS

    @property
    def open_links(self) -> list[str]:
        """Addresses of the control planes that are connected."""
        return [link.address for link in self._links.values() if link.state is LinkState.OPEN]

    # --- what happens ---

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        actions: list[Action] = []
        match event:
            case LinkOpened(address):
                self._opened(now_ms, address, actions)
            case LinkClosed(address):
                self._closed(now_ms, address, actions)
            case MessageReceived(address):
                self._received(now_ms, address, event, actions)
            case ConfigurationArrived(address):
                self._note_arrival(now_ms, address)
            case SeedsChanged(addresses):
                self._seeds = addresses
                self._learn(now_ms, addresses)
            case Leaving():
                self._leaving = True
                actions += [Send(address, Goodbye()) for address in self.open_links]
            case TimePassed():
                pass
        self._close_silent(now_ms, actions)
        self._follow_named_primary(now_ms)
        self._ask_clocks(now_ms, actions)
        self._fetch_if_behind(now_ms, actions)
        self._dial(now_ms, actions)
        return actions

    def _opened(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is not LinkState.CONNECTING:
            actions.append(Disconnect(address))
            return
        self._change(link, LinkState.OPEN, now_ms)
        who = self._identity
        subscribe = Subscribe(who.node, who.life, who.address, who.zone, self.version)
        actions.append(Send(address, subscribe))
        actions.append(Report("control_plane_connected", {"address": address}))

    def _closed(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is LinkState.WAITING:
            return
        if link.state is LinkState.OPEN:
            actions.append(Report("control_plane_lost", {"address": address}))
        self._change(link, LinkState.WAITING, now_ms)

    def _note_arrival(self, now_ms: float, address: str) -> None:
        """Nobody else is asked for a configuration that is here."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = _Fetch(address, now_ms, is_answered=True)

    def _received(self, now_ms: float, address: str, event: MessageReceived, actions: list[Action]) -> None:
        message = event.message
        link = self._links.get(address)
        if link is None or link.state is not LinkState.OPEN:
            return
        link.heard_ms = now_ms
        match message:
            case Freshness():
                self._hear_freshness(now_ms, link, message)
            case ConfigurationSnapshot() | ConfigurationDelta():
                self._take_configuration(now_ms, address, message, event.read_ahead, actions)
            case ControlPlanes(addresses, primary):
                self._told = addresses
                self._named_primary = primary or self._named_primary
                self._follow_named_primary(now_ms)
                self._learn(now_ms, addresses)
            case ClockReading(asked_ms, clock_ms):
                link.hear_clock(now_ms, asked_ms, clock_ms)
            case _:
                actions.append(Deliver(address, message))

    def _hear_freshness(self, now_ms: float, link: Link, freshness: Freshness) -> None:
        link.hear_freshness(now_ms, freshness)
        self._newest_told = max(self._newest_told, freshness.version)
        if freshness.is_primary and freshness.epoch >= self._primary_epoch:
            self.primary, self._primary_epoch, self._named_primary = link.address, freshness.epoch, ""
        if link.address == self.primary and self.is_in_touch(now_ms):
            self.data_planes = max(1, freshness.data_planes)
        elif not self.is_in_touch(now_ms):
            # One that is cut off knows of those alone that are cut off with it.
            self.data_planes = max(self.data_planes, freshness.data_planes)
        self._proven = self._proven or self.is_current(now_ms)

    def _follow_named_primary(self, now_ms: float) -> None:
        """Whom others name counts only while no primary speaks for itself."""
        if self._named_primary and not self.is_in_touch(now_ms):
            self.primary, self._named_primary = self._named_primary, ""

    def _calls_current(self, now_ms: float, link: Link) -> bool:
        age_ms = link.age_ms(now_ms)
        if age_ms is None or link.state is not LinkState.OPEN or self.document is None:
            return False
        return age_ms < CURRENT_MS and link.told_version() <= self.version

    # --- the configuration ---

    def _take_configuration(
        self,
        now_ms: float,
        address: str,
        message: ConfigurationMessage,
        read_ahead: ReadAhead | None,
        actions: list[Action],
    ) -> None:
        """Put a newer configuration in force. Versions only rise within a life."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = None
        if message.version <= self.version:
            return
        if isinstance(message, ConfigurationDelta) and message.base_version != self.version:
            return  # it was asked for before another one came: it is fetched anew
        try:
            if read_ahead is not None and read_ahead.base is self.document:
                document = read_ahead.document
            else:
                document = document_after(self.document, message)
        except InvalidConfiguration as error:
            actions.append(Report("configuration_unusable", {"address": address, "error": str(error)}))
            actions.append(Send(address, FetchConfiguration(0)))
            self._fetch = _Fetch(address, now_ms)
            return
        self.document = document
        self._avoid_for_fetch = ""
        actions.append(PutInForce(document))
        actions += [Send(each, ConfigurationApplied(document.version)) for each in self.open_links]
        self._proven = self._proven or self.is_current(now_ms)

    def _fetch_if_behind(self, now_ms: float, actions: list[Action]) -> None:
        """Ask the first that offers a newer version; another one where an answer does not come."""
        if self._fetch is not None:
            link = self._links.get(self._fetch.address)
            is_open = link is not None and link.state is LinkState.OPEN
            timeout_ms = READING_TIMEOUT_MS if self._fetch.is_answered else FETCH_TIMEOUT_MS
            if is_open and now_ms - self._fetch.asked_ms < timeout_ms:
                return
            self._avoid_for_fetch = self._fetch.address
            self._fetch = None
        offering = [
            link
            for link in self._links.values()
            if link.state is LinkState.OPEN and link.told_version() > self.version
        ]
        if not offering:
            return
        others = [link for link in offering if link.address != self._avoid_for_fetch]
        chosen = max(others or offering, key=lambda link: (link.told_version(), link.freshness_ms))
        self._fetch = _Fetch(chosen.address, now_ms)
        actions.append(Send(chosen.address, FetchConfiguration(self.version)))

    # --- the connections ---

    def _learn(self, now_ms: float, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self._links:
                self._links[address] = Link(address, now_ms)
        for address, link in list(self._links.items()):
            is_named = address in self._seeds or address in self._told
            if link.state is LinkState.WAITING and link.failures and not is_named:
                del self._links[address]

    def _close_silent(self, now_ms: float, actions: list[Action]) -> None:
        for link in self._links.values():
            if link.state is LinkState.OPEN and now_ms - link.heard_ms > MOST_SILENCE_MS:
                actions.append(Disconnect(link.address))
                actions.append(Report("control_plane_silent", {"address": link.address}))
                self._change(link, LinkState.WAITING, now_ms)

    def _ask_clocks(self, now_ms: float, actions: list[Action]) -> None:
        """Bind the control planes' clocks anew from time to time: no two run alike."""
        for link in self._links.values():
            if link.is_clock_due(now_ms):
                link.ask_clock(now_ms)
                actions.append(Send(link.address, ClockRequest(now_ms)))

    def _dial(self, now_ms: float, actions: list[Action]) -> None:
        """Connect to as many as are wanted, and to the primary in any case."""
        if self._leaving:
            return
        busy = sum(link.state is not LinkState.WAITING for link in self._links.values())
        due = [
            link for link in self._links.values() if link.state is LinkState.WAITING and now_ms >= link.due_ms
        ]
        due.sort(key=lambda link: (link.address != self.primary, link.failures, self._rng.random()))
        for link in due:
            if busy >= self._wanted and link.address != self.primary:
                continue
            self._change(link, LinkState.CONNECTING, now_ms)
            actions.append(Connect(link.address))
            busy += 1

    def _change(self, link: Link, state: LinkState, now_ms: float) -> None:
        """The one place where a connection's state changes."""
        if state is LinkState.OPEN:
            link.failures = 0
            link.opened(now_ms)
        elif state is LinkState.WAITING:
            window_ms = min(MOST_REDIAL_MS, LEAST_REDIAL_MS * 2.0 ** min(link.failures, 8))
            link.due_ms = now_ms + window_ms * self._rng.uniform(0.5, 1.0)
            link.failures += 1
            link.freshness = None
        link.state = state
