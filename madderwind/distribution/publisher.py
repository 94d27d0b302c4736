"""The control plane's side of the stream to data planes, as a state machine without input or output.

Each call returns the messages to send, in order. The host assigns a number to each connection.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from madderwind.distribution.configuration_feed import ConfigurationFeed
from madderwind.distribution.deliveries import (
    Close,
    Delivery,
    PublishedConfiguration,
    PublishedStatus,
    SendTo,
    SendToAll,
)
from madderwind.distribution.exchange import REMOVE_AFTER_MS, SUSPEND_AFTER_MS
from madderwind.distribution.peer_exchanges import PeerExchanges
from madderwind.distribution.subscriber_session import Participant, SubscriberSession, SubscriberState
from madderwind.messages.distribution import (
    ClockReading,
    ClockRequest,
    ConfigurationApplied,
    ControlPlanes,
    DispatchReport,
    FetchConfiguration,
    Freshness,
    Goodbye,
    LoadReport,
    PeerSample,
    RegistryDelta,
    RegistrySnapshot,
    Subscribe,
    ToControlPlane,
    UpstreamRecord,
    UsageReport,
)
from madderwind.messages.status import DataPlaneStatus

FRESHNESS_INTERVAL_MS = 250.0
USAGE_INTERVAL_MS = 200.0
# Dispatches and loads are sent at an interval that grows with the number of data planes, from this minimum.
# Each dispatch is sent only once whatever the interval, and accounts for its load until the next
# load message. A load message repeats the complete load.
MIN_EXCHANGE_INTERVAL_MS = 25.0
DISPATCH_INTERVAL_MS_PER_DATA_PLANE, LOAD_INTERVAL_MS_PER_DATA_PLANE = 0.33, 0.66
SAMPLE_INTERVAL_MS = 10_000.0
PEERS_PER_SAMPLE = 8
# A repeated fetch within this time is ignored: the response to the first one is still in flight.
FETCH_REPEAT_MS = 500.0

_UNKNOWN_STATUS = PublishedStatus(0, None, False, "", ())


class Publisher:
    """Sends the configuration, the upstreams and peer information to all subscribed data planes."""

    def __init__(self, configuration: PublishedConfiguration, rng: Random) -> None:
        """Create a publisher without subscribers; `rng` draws the peer samples."""
        self._feed = ConfigurationFeed(configuration)
        self._rng = rng
        self._status = _UNKNOWN_STATUS
        self._published_version = configuration.version
        self._sessions: dict[int, SubscriberSession] = {}
        self._disconnected_since_ms: dict[Participant, float] = {}
        self._exchanges = PeerExchanges()
        self._freshness_due_ms = self._usage_due_ms = self._sample_due_ms = 0.0
        self._dispatches_due_ms = self._load_due_ms = 0.0

    def update(
        self, now_ms: float, status: PublishedStatus, configuration: PublishedConfiguration
    ) -> list[Delivery]:
        """Set the committed configuration and the replica's status; changes are published at once."""
        previous, self._status = self._status, status
        self._feed.update(configuration)
        role_changed = previous.is_primary is not status.is_primary
        if role_changed:
            self._reset_exchanges()
        deliveries: list[Delivery] = []
        if (previous.members, previous.primary) != (status.members, status.primary):
            deliveries.append(SendToAll(self._control_planes()))
        if configuration.version != self._published_version or role_changed:
            deliveries.append(SendToAll(self._freshness(now_ms)))
        return deliveries if self._sessions else []

    def publish_upstreams(self, records: Sequence[UpstreamRecord]) -> list[Delivery]:
        """Publish changed upstreams to all data planes."""
        if not records or not self._sessions:
            return []
        return [SendToAll(RegistryDelta(tuple(records)))]

    def tick(self, now_ms: float) -> list[Delivery]:
        """Return the periodic messages that are due."""
        self._expire_disconnected(now_ms)
        deliveries: list[Delivery] = []
        if now_ms >= self._freshness_due_ms and self._sessions:
            deliveries.append(SendToAll(self._freshness(now_ms)))
        if now_ms >= self._usage_due_ms and self._status.is_primary:
            self._usage_due_ms = now_ms + USAGE_INTERVAL_MS
            deliveries += self._usage_deliveries()
        if self._status.is_primary:
            deliveries += self._exchange_deliveries(now_ms)
        if now_ms >= self._sample_due_ms:
            self._sample_due_ms = now_ms + SAMPLE_INTERVAL_MS
            deliveries += [SendTo(connection, self._peer_sample(connection)) for connection in self._sessions]
        return deliveries

    def subscribe(
        self, now_ms: float, connection: int, message: Subscribe, upstreams: tuple[UpstreamRecord, ...]
    ) -> list[Delivery]:
        """Start a data plane's session; control planes, upstreams, freshness and peers are sent to it."""
        participant = Participant(message.node, message.incarnation)
        replaced = [Close(old) for old in self._connections_of(participant) if old != connection]
        for close in replaced:
            del self._sessions[close.connection]
        self._sessions[connection] = SubscriberSession(
            participant, message.address, message.zone, message.version
        )
        self._disconnected_since_ms.pop(participant, None)
        self._exchanges.join(participant)
        first = (
            self._control_planes(),
            RegistrySnapshot(upstreams),
            self._freshness_message(now_ms),
            self._peer_sample(connection),
        )
        return [*replaced, *(SendTo(connection, message) for message in first)]

    def receive(self, now_ms: float, connection: int, message: ToControlPlane) -> list[Delivery]:
        """Handle a message on a subscribed connection."""
        session = self._sessions.get(connection)
        if session is None:
            return []
        match message:
            case FetchConfiguration(base_version):
                return self._handle_fetch(now_ms, connection, session, base_version)
            case ConfigurationApplied(version):
                session.applied_version = max(session.applied_version, version)
                session.enter(SubscriberState.FOLLOWING)
            case UsageReport() | LoadReport() | DispatchReport():
                self._exchanges.report(session.participant, message)
            case ClockRequest(requested_ms):
                return [SendTo(connection, ClockReading(requested_ms, round(now_ms)))]
            case Goodbye():
                session.enter(SubscriberState.STOPPING)
                self._exchanges.usage.suspend(session.participant)
            case _:
                pass
        return []

    def disconnect(self, now_ms: float, connection: int) -> None:
        """End the session of a closed connection."""
        session = self._sessions.pop(connection, None)
        if session is None:
            return
        if session.state is SubscriberState.STOPPING:
            self._exchanges.remove(session.participant)
        else:
            self._disconnected_since_ms[session.participant] = now_ms

    def is_applied_by_all(self, version: int) -> bool:
        """Whether each connected data plane that is not lagging has applied this version or a later one."""
        return not any(session.is_awaited_for(version) for session in self._sessions.values())

    def stop_waiting_for(self, version: int) -> int:
        """Mark the data planes that have not applied a version as lagging, and return how many they are.

        Commands do not wait for them until their next acknowledgement.
        """
        lagging = [session for session in self._sessions.values() if session.is_awaited_for(version)]
        for session in lagging:
            session.enter(SubscriberState.LAGGING)
        return len(lagging)

    def data_plane_count(self) -> int:
        """Count the data planes that are connected, or disconnected less than REMOVE_AFTER_MS ago."""
        nodes = {
            session.participant.node
            for session in self._sessions.values()
            if session.state is not SubscriberState.STOPPING
        }
        return len(nodes | {participant.node for participant in self._disconnected_since_ms})

    def overview(self) -> tuple[DataPlaneStatus, ...]:
        """The status of all subscribed data planes, for operators."""
        sessions = sorted(self._sessions.values(), key=lambda each: each.participant.node)
        return tuple(self._status_of(session) for session in sessions)

    def _status_of(self, session: SubscriberSession) -> DataPlaneStatus:
        return DataPlaneStatus(
            node=session.participant.node,
            address=session.address,
            zone=session.zone,
            applied_version=session.applied_version,
            state=session.state.value,
            lag=self._feed.versions_behind(session.applied_version),
        )

    def _connections_of(self, participant: Participant) -> list[int]:
        return [
            connection for connection, session in self._sessions.items() if session.participant == participant
        ]

    def _handle_fetch(
        self, now_ms: float, connection: int, session: SubscriberSession, base_version: int
    ) -> list[Delivery]:
        version = self._feed.version
        is_repeat = session.answered_version == version
        if version <= base_version or (is_repeat and now_ms - session.answered_ms < FETCH_REPEAT_MS):
            return []
        session.answered_version, session.answered_ms = version, now_ms
        return [SendTo(connection, self._feed.response_from(base_version))]

    def _freshness(self, now_ms: float) -> Freshness:
        self._freshness_due_ms = now_ms + FRESHNESS_INTERVAL_MS
        self._published_version = self._feed.version
        return self._freshness_message(now_ms)

    def _freshness_message(self, now_ms: float) -> Freshness:
        age_ms = self._status.fresh_age_ms
        return Freshness(
            version=self._feed.version,
            epoch=self._status.epoch,
            age_ms=round(age_ms) if age_ms is not None else None,
            is_primary=self._status.is_primary,
            data_planes=self.data_plane_count(),
            clock_ms=round(now_ms),
        )

    def _control_planes(self) -> ControlPlanes:
        primary = self._status.primary
        backups = [member for member in self._status.members if member != primary]
        return ControlPlanes(tuple([primary, *backups] if primary else backups), primary)

    def _peer_sample(self, connection: int) -> PeerSample:
        own = self._sessions[connection].address
        peers = {session.address for session in self._sessions.values()} - {own, ""}
        count = min(PEERS_PER_SAMPLE, len(peers))
        return PeerSample(tuple(self._rng.sample(sorted(peers), count)))

    def _usage_deliveries(self) -> list[Delivery]:
        deliveries: list[Delivery] = []
        for connection, session in self._sessions.items():
            if (usage := self._exchanges.usage.owed(session.participant)) is not None:
                deliveries.append(SendTo(connection, usage))
        return deliveries

    def _exchange_deliveries(self, now_ms: float) -> list[Delivery]:
        """Return the dispatches and loads that are due; a load follows the dispatches that it includes."""
        load_is_due = now_ms >= self._load_due_ms
        deliveries: list[Delivery] = []
        if load_is_due or now_ms >= self._dispatches_due_ms:
            self._dispatches_due_ms = now_ms + self._interval_ms(DISPATCH_INTERVAL_MS_PER_DATA_PLANE)
            deliveries += self._dispatch_deliveries(now_ms)
        if load_is_due:
            self._load_due_ms = now_ms + self._interval_ms(LOAD_INTERVAL_MS_PER_DATA_PLANE)
            deliveries += self._load_deliveries()
        return deliveries

    def _interval_ms(self, per_data_plane_ms: float) -> float:
        return max(MIN_EXCHANGE_INTERVAL_MS, per_data_plane_ms * len(self._sessions))

    def _dispatch_deliveries(self, now_ms: float) -> list[Delivery]:
        deliveries: list[Delivery] = []
        for connection, session in self._sessions.items():
            dispatches = self._exchanges.dispatches.owed(now_ms, session.participant)
            if dispatches is not None:
                deliveries.append(SendTo(connection, dispatches))
        return deliveries

    def _load_deliveries(self) -> list[Delivery]:
        deliveries: list[Delivery] = []
        for connection, session in self._sessions.items():
            if (load := self._exchanges.load.owed(session.participant)) is not None:
                deliveries.append(SendTo(connection, load))
        return deliveries

    def _reset_exchanges(self) -> None:
        """Discard what was exchanged: a new primary starts with what data planes report from now on."""
        self._exchanges = PeerExchanges()
        for session in self._sessions.values():
            self._exchanges.join(session.participant)

    def _expire_disconnected(self, now_ms: float) -> None:
        for participant, since_ms in list(self._disconnected_since_ms.items()):
            if now_ms - since_ms > SUSPEND_AFTER_MS:
                self._exchanges.suspend(participant)
            if now_ms - since_ms > REMOVE_AFTER_MS:
                del self._disconnected_since_ms[participant]
                self._exchanges.remove(participant)
