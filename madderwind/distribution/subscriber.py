"""The data plane's side of distribution as a state machine.

It decides which control planes to connect to, which of them to fetch a configuration from, which
configuration is in force, and whether that is known to be current.

It does no input or output: `handle` takes an event and returns actions, which the host executes in order.
Times are milliseconds of the monotonic clock.
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

# A connection without a message for this long is closed: each control plane sends four messages a second.
LINK_TIMEOUT_MS = 1500.0
# Without a response for this long, the configuration is fetched from another control plane.
FETCH_TIMEOUT_MS = 300.0
# Timeout for parsing a response that has been received.
READING_TIMEOUT_MS = 3000.0
# The backoff before the next connection attempt to an address doubles from the initial to the maximum value,
# less a random part.
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1000.0
MAX_BACKOFF_DOUBLINGS = 8
# A version published as fresh counts as current for this long after the primary last held its lease.
CURRENT_MS = 600.0
# Without a control plane for this long since startup, a configuration from another source would count.
ISOLATED_AFTER_MS = 3000.0


class _Fetch(msgspec.Struct, frozen=True):
    """A requested configuration. `is_answered`: it was received and is being parsed since `since_ms`."""

    address: str
    since_ms: float
    is_answered: bool = False


class Subscriber:
    """Follows the control planes; `document` is the configuration in force, None before the first."""

    def __init__(
        self, now_ms: float, identity: Identity, seeds: Sequence[str], target_links: int, rng: random.Random
    ) -> None:
        """Create a subscriber without a configuration.

        Args:
            now_ms: Time of the monotonic clock, ms.
            identity: The identity of the subscribing process.
            seeds: Internal addresses of control planes.
            target_links: The number of control planes to stay connected to.
            rng: The only source of randomness.
        """
        self._identity, self._target_links, self._rng = identity, target_links, rng
        self._seeds = tuple(seeds)
        self._published_addresses: tuple[str, ...] = ()  # of control planes, as one of them published
        self._links: dict[str, ControlPlaneLink] = {}
        self._started_ms = now_ms
        self._fetch: _Fetch | None = None
        self._avoid_for_fetch = ""  # the address whose fetch timed out last
        self._newest_version = 0  # the newest committed version that any control plane published
        self._primary_epoch = 0  # of the newest control plane that published itself as primary
        self._named_primary = ""  # the primary that another control plane named since then
        self._was_current = False  # whether the version in force was ever confirmed as current
        self._is_stopping = False
        self.document: Document | None = None
        self.primary = ""
        self.data_planes = 1
        for address in self._seeds:
            self._links[address] = ControlPlaneLink(address, now_ms)

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return 0 if self.document is None else self.document.version

    @property
    def is_ready(self) -> bool:
        """Whether a configuration in force was confirmed as current at some time since startup."""
        return self._was_current

    def is_current(self, now_ms: float) -> bool:
        """Whether, as far as is known, no version newer than the one in force is committed."""
        return self._newest_version <= self.version and any(
            self._confirms_current(now_ms, link) for link in self._links.values()
        )

    def is_isolated(self, now_ms: float) -> bool:
        """Whether, some time after startup, there is neither a configuration nor an open connection."""
        return (
            self.document is None
            and now_ms - self._started_ms >= ISOLATED_AFTER_MS
            and not any(link.state is LinkState.OPEN for link in self._links.values())
        )

    def is_connected(self, now_ms: float) -> bool:
        """Whether a connection to the primary is open and the primary recently held its lease."""
        link = self._links.get(self.primary)
        if link is None or link.state is not LinkState.OPEN:
            return False
        if link.freshness is None or not link.freshness.is_primary:
            return False
        age_ms = link.age_ms(now_ms)
        return age_ms is not None and age_ms < CURRENT_MS

    @property
    def open_links(self) -> list[str]:
        """Addresses of the connected control planes."""
        return [link.address for link in self._links.values() if link.state is LinkState.OPEN]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event and return the resulting actions."""
        actions: list[Action] = []
        match event:
            case LinkOpened(address):
                self._handle_link_opened(now_ms, address, actions)
            case LinkClosed(address):
                self._handle_link_closed(now_ms, address, actions)
            case MessageReceived(address):
                self._handle_message(now_ms, address, event, actions)
            case ConfigurationArrived(address):
                self._handle_configuration_arrival(now_ms, address)
            case SeedsChanged(addresses):
                self._seeds = addresses
                self._update_links(now_ms, addresses)
            case ShutdownRequested():
                self._is_stopping = True
                actions += [Send(address, Goodbye()) for address in self.open_links]
            case TimePassed():
                pass
        self._close_timed_out(now_ms, actions)
        self._adopt_named_primary(now_ms)
        self._request_clocks(now_ms, actions)
        self._fetch_if_behind(now_ms, actions)
        self._connect(now_ms, actions)
        return actions

    def _handle_link_opened(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is not LinkState.CONNECTING:
            actions.append(Disconnect(address))
            return
        self._set_link_state(link, LinkState.OPEN, now_ms)
        identity = self._identity
        subscribe = Subscribe(
            identity.node, identity.incarnation, identity.address, identity.zone, self.version
        )
        actions.append(Send(address, subscribe))
        actions.append(CONTROL_PLANE_CONNECTED.line(address=address))

    def _handle_link_closed(self, now_ms: float, address: str, actions: list[Action]) -> None:
        link = self._links.get(address)
        if link is None or link.state is LinkState.WAITING:
            return
        if link.state is LinkState.OPEN:
            actions.append(CONTROL_PLANE_LOST.line(address=address))
        self._set_link_state(link, LinkState.WAITING, now_ms)

    def _handle_configuration_arrival(self, now_ms: float, address: str) -> None:
        """Mark the fetch as answered, so that it is not repeated at another control plane during parsing."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = _Fetch(address, now_ms, is_answered=True)

    def _handle_message(
        self, now_ms: float, address: str, event: MessageReceived, actions: list[Action]
    ) -> None:
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
                self._adopt_named_primary(now_ms)
                self._update_links(now_ms, addresses)
            case ClockReading(requested_ms, clock_ms):
                link.handle_clock_reading(now_ms, requested_ms, clock_ms)
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
            # A control plane that is cut off counts only the data planes in its own network partition.
            self.data_planes = max(self.data_planes, freshness.data_planes)
        self._was_current = self._was_current or self.is_current(now_ms)

    def _adopt_named_primary(self, now_ms: float) -> None:
        """Adopt the primary that another control plane named, only while no primary is connected."""
        if self._named_primary and not self.is_connected(now_ms):
            self.primary, self._named_primary = self._named_primary, ""

    def _confirms_current(self, now_ms: float, link: ControlPlaneLink) -> bool:
        age_ms = link.age_ms(now_ms)
        if age_ms is None or link.state is not LinkState.OPEN or self.document is None:
            return False
        return age_ms < CURRENT_MS and link.published_version() <= self.version

    def _apply_configuration(
        self,
        now_ms: float,
        address: str,
        message: ConfigurationMessage,
        read_ahead: ReadAhead | None,
        actions: list[Action],
    ) -> None:
        """Put a newer configuration in force. The version never decreases during the life of the process."""
        if self._fetch is not None and self._fetch.address == address:
            self._fetch = None
        if message.version <= self.version:
            return
        if isinstance(message, ConfigurationDelta) and message.base_version != self.version:
            return  # another version was applied after the fetch; a new fetch follows
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
        actions += [
            Send(open_address, ConfigurationApplied(document.version)) for open_address in self.open_links
        ]
        self._was_current = self._was_current or self.is_current(now_ms)

    def _fetch_if_behind(self, now_ms: float, actions: list[Action]) -> None:
        """Fetch a newer version from a control plane that offers it; if it fails to respond, from another."""
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

    def _update_links(self, now_ms: float, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self._links:
                self._links[address] = ControlPlaneLink(address, now_ms)
        for address, link in list(self._links.items()):
            is_known = address in self._seeds or address in self._published_addresses
            if link.state is LinkState.WAITING and link.failures and not is_known:
                del self._links[address]

    def _close_timed_out(self, now_ms: float, actions: list[Action]) -> None:
        for link in self._links.values():
            if link.state is LinkState.OPEN and now_ms - link.last_received_ms > LINK_TIMEOUT_MS:
                actions.append(Disconnect(link.address))
                actions.append(CONTROL_PLANE_TIMED_OUT.line(address=link.address))
                self._set_link_state(link, LinkState.WAITING, now_ms)

    def _request_clocks(self, now_ms: float, actions: list[Action]) -> None:
        """Read the control planes' clocks periodically: clocks drift apart."""
        for link in self._links.values():
            if link.is_clock_due(now_ms):
                link.mark_clock_requested(now_ms)
                actions.append(Send(link.address, ClockRequest(now_ms)))

    def _connect(self, now_ms: float, actions: list[Action]) -> None:
        """Connect to the target number of control planes, and to the primary in any case."""
        if self._is_stopping:
            return
        active = sum(link.state is not LinkState.WAITING for link in self._links.values())
        due = [
            link for link in self._links.values() if link.state is LinkState.WAITING and now_ms >= link.due_ms
        ]
        due.sort(key=lambda link: (link.address != self.primary, link.failures, self._rng.random()))
        for link in due:
            if active >= self._target_links and link.address != self.primary:
                continue
            self._set_link_state(link, LinkState.CONNECTING, now_ms)
            actions.append(Connect(link.address))
            active += 1

    def _set_link_state(self, link: ControlPlaneLink, state: LinkState, now_ms: float) -> None:
        """Change the state of a link; all state changes go through here."""
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
