"""The data plane's side of distribution as a state machine.

Which control planes to be connected to, which to fetch a configuration from, what is in force and whether
that is known to be current.

It does no input or output: `handle` takes an event and gives actions back, which the host carries out in
turn. Times are milliseconds of the steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import msgspec

from madderwind.configuration.reading import Document
from madderwind.distribution.link import ControlPlaneLink, LinkState
from madderwind.distribution.reading_ahead import ConfigurationMessage, ReadAhead, document_after
from madderwind.distribution.subscriber_events import (
    Action,
    ApplyConfiguration,
    ConfigurationArrived,
    Connect,
    Deliver,
    Disconnect,
    Event,
    Identity,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    SeedsChanged,
    Send,
    ShutdownRequested,
    TimePassed,
)
from madderwind.errors import ConfigurationError
from madderwind.log_events.data_plane_links import (
    CONFIGURATION_UNUSABLE,
    CONTROL_PLANE_CONNECTED,
    CONTROL_PLANE_LOST,
    CONTROL_PLANE_TIMED_OUT,
)
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
)

# A connection on which nothing came for so long is closed: each control plane sends four times a second.
LINK_TIMEOUT_MS = 1500.0
# How long a fetch may stay unanswered before another control plane is asked.
FETCH_TIMEOUT_MS = 300.0
# And how long an answer that has come may take to be read.
READING_TIMEOUT_MS = 3000.0
# The backoff before an address is connected to again doubles from the first to the last; a random part is
# off.
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1000.0
MAX_BACKOFF_DOUBLINGS = 8
# What a control plane called fresh counts as current for so long after its primary held its lease.
CURRENT_MS = 600.0
# Without any control plane for so long since the start, the configuration of another source would count.
ALONE_AFTER_MS = 3000.0


class _Fetch(msgspec.Struct, frozen=True):
    """A configuration that was requested. `is_answered`: it has come and is being read, since `since_ms`."""

    address: str
    since_ms: float
    is_answered: bool = False


class Subscriber:
    """Follows the control planes; `document` is the configuration in force."""

    def __init__(
        self, now_ms: float, identity: Identity, seeds: Sequence[str], wanted_links: int, rng: random.Random
    ) -> None:
        """Begin without a configuration.

        Args:
            now_ms: Steady clock, ms.
            identity: Who subscribes.
            seeds: Internal addresses of control planes.
            wanted_links: To how many control planes to stay connected.
            rng: The only source of chance.
        """
        self._identity, self._wanted, self._rng = identity, wanted_links, rng
        self._seeds = tuple(seeds)
        self._published_addresses: tuple[str, ...] = ()  # of control planes, by one of them
        self._links: dict[str, ControlPlaneLink] = {}
        self._started_ms = now_ms
        self._fetch: _Fetch | None = None
        self._avoid_for_fetch = ""  # the address that left the last fetch unanswered
        self._newest_version = 0  # that any control plane ever published as committed
        self._primary_epoch = 0  # of the newest primary that published its own epoch
        self._named_primary = ""  # by another control plane since
        self._proven = False  # whether a control plane ever called the version in force fresh
        self._is_stopping = False
        self.document: Document | None = None
        self.primary = ""
        self.data_planes = 1
        for address in self._seeds:
            self._links[address] = ControlPlaneLink(address, now_ms)

    # --- what is known ---

    @property
    def version(self) -> int:
        """The version in force; 0 where there is none."""
        return 0 if self.document is None else self.document.version

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration that some control plane called fresh since the start."""
        return self._proven

    def is_current(self, now_ms: float) -> bool:
        """Whether no newer version than the one in force is committed, as far as can be known."""
        return self._newest_version <= self.version and any(
            self._calls_current(now_ms, link) for link in self._links.values()
        )

    def is_isolated(self, now_ms: float) -> bool:
        """Whether no control plane was reached for some time since the start."""
        return (
            self.document is None
            and now_ms - self._started_ms >= ALONE_AFTER_MS
            and not any(link.state is LinkState.OPEN for link in self._links.values())
        )

    def is_connected(self, now_ms: float) -> bool:
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
                self._update_links(now_ms, addresses)
            case ShutdownRequested():
                self._is_stopping = True
                actions += [Send(address, Goodbye()) for address in self.open_links]
            case TimePassed():
                pass
        self._close_timed_out(now_ms, actions)
        self._follow_named_primary(now_ms)
        self._request_clocks(now_ms, actions)
        self._fetch_if_behind(now_ms, actions)
        self._connect(now_ms, actions)
        return actions

    def _opened(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is not LinkState.CONNECTING:
            actions.append(Disconnect(address))
            return
        self._enter(link, LinkState.OPEN, now_ms)
        identity = self._identity
        subscribe = Subscribe(
            identity.node, identity.incarnation, identity.address, identity.zone, self.version
        )
        actions.append(Send(address, subscribe))
        actions.append(CONTROL_PLANE_CONNECTED.line(address=address))

    def _closed(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is LinkState.WAITING:
            return
        if link.state is LinkState.OPEN:
            actions.append(CONTROL_PLANE_LOST.line(address=address))
        self._enter(link, LinkState.WAITING, now_ms)

    def _note_arrival(self, now_ms: float, address: str) -> None:
        """A configuration that is here is requested from nobody else."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = _Fetch(address, now_ms, is_answered=True)

    def _received(self, now_ms: float, address: str, event: MessageReceived, actions: list[Action]) -> None:
        message = event.message
        link = self._links.get(address)
        if link is None or link.state is not LinkState.OPEN:
            return
        link.last_received_ms = now_ms
        match message:
            case Freshness():
                self._handle_freshness(now_ms, link, message)
            case ConfigurationSnapshot() | ConfigurationDelta():
                self._apply_configuration(now_ms, address, message, event.read_ahead, actions)
            case ControlPlanes(addresses, primary):
                self._published_addresses = addresses
                self._named_primary = primary or self._named_primary
                self._follow_named_primary(now_ms)
                self._update_links(now_ms, addresses)
            case ClockReading(asked_ms, clock_ms):
                link.handle_clock_reading(now_ms, asked_ms, clock_ms)
            case _:
                actions.append(Deliver(address, message))

    def _handle_freshness(self, now_ms: float, link: ControlPlaneLink, freshness: Freshness) -> None:
        link.handle_freshness(now_ms, freshness)
        self._newest_version = max(self._newest_version, freshness.version)
        if freshness.is_primary and freshness.epoch >= self._primary_epoch:
            self.primary, self._primary_epoch, self._named_primary = link.address, freshness.epoch, ""
        if link.address == self.primary and self.is_connected(now_ms):
            self.data_planes = max(1, freshness.data_planes)
        elif not self.is_connected(now_ms):
            # One that is partitioned off knows only those in its own partition.
            self.data_planes = max(self.data_planes, freshness.data_planes)
        self._proven = self._proven or self.is_current(now_ms)

    def _follow_named_primary(self, now_ms: float) -> None:
        """The primary that others name counts only while no primary is connected."""
        if self._named_primary and not self.is_connected(now_ms):
            self.primary, self._named_primary = self._named_primary, ""

    def _calls_current(self, now_ms: float, link: ControlPlaneLink) -> bool:
        age_ms = link.age_ms(now_ms)
        if age_ms is None or link.state is not LinkState.OPEN or self.document is None:
            return False
        return age_ms < CURRENT_MS and link.published_version() <= self.version

    # --- the configuration ---

    def _apply_configuration(
        self,
        now_ms: float,
        address: str,
        message: ConfigurationMessage,
        read_ahead: ReadAhead | None,
        actions: list[Action],
    ) -> None:
        """Put a newer configuration in force. Versions only rise from the start on."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = None
        if message.version <= self.version:
            return
        if isinstance(message, ConfigurationDelta) and message.base_version != self.version:
            return  # it was requested before another one came: it is fetched anew
        try:
            if read_ahead is not None and read_ahead.base is self.document:
                document = read_ahead.document
            else:
                document = document_after(self.document, message)
        except ConfigurationError as error:
            actions.append(CONFIGURATION_UNUSABLE.line(address=address, error=str(error)))
            actions.append(Send(address, FetchConfiguration(0)))
            self._fetch = _Fetch(address, now_ms)
            return
        self.document = document
        self._avoid_for_fetch = ""
        actions.append(ApplyConfiguration(document))
        actions += [Send(each, ConfigurationApplied(document.version)) for each in self.open_links]
        self._proven = self._proven or self.is_current(now_ms)

    def _fetch_if_behind(self, now_ms: float, actions: list[Action]) -> None:
        """Fetch from the first that offers a newer version; from another one where no answer comes."""
        if self._fetch is not None:
            link = self._links.get(self._fetch.address)
            is_open = link is not None and link.state is LinkState.OPEN
            timeout_ms = READING_TIMEOUT_MS if self._fetch.is_answered else FETCH_TIMEOUT_MS
            if is_open and now_ms - self._fetch.since_ms < timeout_ms:
                return
            self._avoid_for_fetch = self._fetch.address
            self._fetch = None
        offering = [
            link
            for link in self._links.values()
            if link.state is LinkState.OPEN and link.published_version() > self.version
        ]
        if not offering:
            return
        alternatives = [link for link in offering if link.address != self._avoid_for_fetch]
        source = max(alternatives or offering, key=lambda link: (link.published_version(), link.freshness_ms))
        self._fetch = _Fetch(source.address, now_ms)
        actions.append(Send(source.address, FetchConfiguration(self.version)))

    # --- the connections ---

    def _update_links(self, now_ms: float, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self._links:
                self._links[address] = ControlPlaneLink(address, now_ms)
        for address, link in list(self._links.items()):
            is_named = address in self._seeds or address in self._published_addresses
            if link.state is LinkState.WAITING and link.failures and not is_named:
                del self._links[address]

    def _close_timed_out(self, now_ms: float, actions: list[Action]) -> None:
        for link in self._links.values():
            if link.state is LinkState.OPEN and now_ms - link.last_received_ms > LINK_TIMEOUT_MS:
                actions.append(Disconnect(link.address))
                actions.append(CONTROL_PLANE_TIMED_OUT.line(address=link.address))
                self._enter(link, LinkState.WAITING, now_ms)

    def _request_clocks(self, now_ms: float, actions: list[Action]) -> None:
        """Bind the control planes' clocks anew from time to time: no two run at the same rate."""
        for link in self._links.values():
            if link.is_clock_due(now_ms):
                link.mark_clock_requested(now_ms)
                actions.append(Send(link.address, ClockRequest(now_ms)))

    def _connect(self, now_ms: float, actions: list[Action]) -> None:
        """Connect to as many as are wanted, and to the primary in any case."""
        if self._is_stopping:
            return
        active = sum(link.state is not LinkState.WAITING for link in self._links.values())
        due = [
            link for link in self._links.values() if link.state is LinkState.WAITING and now_ms >= link.due_ms
        ]
        due.sort(key=lambda link: (link.address != self.primary, link.failures, self._rng.random()))
        for link in due:
            if active >= self._wanted and link.address != self.primary:
                continue
            self._enter(link, LinkState.CONNECTING, now_ms)
            actions.append(Connect(link.address))
            active += 1

    def _enter(self, link: ControlPlaneLink, state: LinkState, now_ms: float) -> None:
        """The one place where a connection's state changes."""
        if state is LinkState.OPEN:
            link.failures = 0
            link.handle_opened(now_ms)
        elif state is LinkState.WAITING:
            window_ms = min(
                MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(link.failures, MAX_BACKOFF_DOUBLINGS)
            )
            link.due_ms = now_ms + window_ms * self._rng.uniform(0.5, 1.0)
            link.failures += 1
            link.freshness = None
        link.state = state
