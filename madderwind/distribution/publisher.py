"""The control plane's side of the stream to data planes, as a state machine without input or output.

Each call returns the messages to send, in order. Connections are named by numbers that the host draws.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random
from typing import Protocol

import attrs
import msgspec

from madderwind.distribution.exchange import (
    AWAY_COUNTS_MS,
    FORGET_AFTER_MS,
    DispatchExchange,
    LoadExchange,
    UsageExchange,
)
from madderwind.messages.distribution import (
    ClockReading,
    ClockRequest,
    CommandRecord,
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
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
    ToDataPlane,
    UpstreamRecord,
    UsageReport,
)
from madderwind.messages.status import DataPlaneStatus

FRESHNESS_INTERVAL_MS = 250.0
EXCHANGE_INTERVAL_MS = 200.0
# Loads and sends are told this often, and less often the more data planes there are to tell.
LEAST_LOAD_INTERVAL_MS, LOAD_INTERVAL_MS_PER_DATA_PLANE = 25.0, 1.2
SAMPLE_INTERVAL_MS = 10_000.0
PEERS_IN_A_SAMPLE = 8
# A data plane that asks again for what was just sent to it has that under way.
FETCH_REPEAT_MS = 500.0


class PublishedDocument(Protocol):
    """A whole configuration as JSON."""

    @property
    def raw(self) -> bytes:
        """The document's bytes."""

    @property
    def raw_bytes(self) -> int:
        """About how many they are, known without building them."""


class PublishedConfiguration(Protocol):
    """The committed configuration with its history; configuration.history implements it."""

    @property
    def version(self) -> int:
        """The committed version, 0 where there is none."""

    @property
    def document(self) -> PublishedDocument | None:
        """The whole document of that version."""

    def commands_since(self, version: int) -> Sequence[CommandRecord] | None:
        """What leads from a version to the committed one; None where the history does not reach back."""


class PublishedStatus(msgspec.Struct, frozen=True):
    """What the replica of this control plane knows of the others."""

    epoch: int
    fresh_age_ms: float | None
    is_primary: bool
    primary: str
    members: tuple[str, ...]


class SendTo(msgspec.Struct, frozen=True):
    """Send to one connection."""

    connection: int
    message: ToDataPlane


class SendToAll(msgspec.Struct, frozen=True):
    """Send to every subscribed connection: one encoding for all."""

    message: ToDataPlane


class Close(msgspec.Struct, frozen=True):
    """End a connection: its data plane has a newer one."""

    connection: int


Delivery = SendTo | SendToAll | Close


class SubscriberState(Enum):
    """`FOLLOWING`: commands wait for it; `LAGGING`: it kept one waiting too long, and none waits until it has
    acknowledged again; `LEAVING`: it said farewell."""

    FOLLOWING = "following"
    LAGGING = "lagging"
    LEAVING = "leaving"


@attrs.frozen
class Participant:
    """One life of a data plane."""

    node: str
    life: str


@attrs.define
class _Subscriber:
    participant: Participant
    address: str
    zone: str
    applied_version: int
    state: SubscriberState = SubscriberState.FOLLOWING
    answered_version: int = -1
    answered_ms: float = 0.0

    def enter(self, state: SubscriberState) -> None:
        """Change state; who leaves stays leaving."""
        if self.state is not SubscriberState.LEAVING:
            self.state = state


_UNKNOWN_STATUS = PublishedStatus(0, None, False, "", ())


class Publisher:
    """Tells all subscribed data planes of the configuration, the upstreams and each other."""

    def __init__(self, configuration: PublishedConfiguration, rng: Random) -> None:
        self._configuration = configuration
        self._rng = rng
        self._status = _UNKNOWN_STATUS
        self._told_version = configuration.version
        # What leads to the committed version, by the version that a data plane has: one message for all.
        self._answers: dict[int, ConfigurationDelta | ConfigurationSnapshot] = {}
        self._subscribers: dict[int, _Subscriber] = {}
        self._away_since_ms: dict[Participant, float] = {}
        self._usage, self._load, self._sends = UsageExchange(), LoadExchange(), DispatchExchange()
        self._freshness_due_ms = self._exchange_due_ms = self._load_due_ms = self._sample_due_ms = 0.0

    # --- what the control plane itself learns ---

    def update(
        self, now_ms: float, status: PublishedStatus, configuration: PublishedConfiguration
    ) -> list[Delivery]:
        """Take what is committed and how the replica stands; changes are told at once."""
        before, self._status, self._configuration = self._status, status, configuration
        if before.is_primary is not status.is_primary:
            self._restart_exchanges()
        deliveries: list[Delivery] = []
        if (before.members, before.primary) != (status.members, status.primary):
            deliveries.append(SendToAll(self._control_planes()))
        is_new_version = configuration.version != self._told_version
        if is_new_version:
            self._answers.clear()
        if is_new_version or before.is_primary is not status.is_primary:
            deliveries.append(SendToAll(self._freshness(now_ms)))
        return deliveries if self._subscribers else []

    def publish_upstreams(self, records: Sequence[UpstreamRecord]) -> list[Delivery]:
        """Tell all of changed upstreams."""
        if not records or not self._subscribers:
            return []
        return [SendToAll(RegistryDelta(tuple(records)))]

    def tick(self, now_ms: float) -> list[Delivery]:
        """What is due by time."""
        self._forget_those_away(now_ms)
        deliveries: list[Delivery] = []
        if now_ms >= self._freshness_due_ms and self._subscribers:
            deliveries.append(SendToAll(self._freshness(now_ms)))
        if now_ms >= self._exchange_due_ms and self._status.is_primary:
            self._exchange_due_ms = now_ms + EXCHANGE_INTERVAL_MS
            deliveries += self._exchange_usage()
        if now_ms >= self._load_due_ms and self._status.is_primary:
            self._load_due_ms = now_ms + self._load_interval_ms()
            deliveries += self._exchange_load(now_ms)
        if now_ms >= self._sample_due_ms:
            self._sample_due_ms = now_ms + SAMPLE_INTERVAL_MS
            deliveries += [SendTo(connection, self._sample(connection)) for connection in self._subscribers]
        return deliveries

    # --- what data planes say ---

    def subscribe(
        self, now_ms: float, connection: int, message: Subscribe, upstreams: tuple[UpstreamRecord, ...]
    ) -> list[Delivery]:
        """A data plane's connection begins; it is told all there is."""
        participant = Participant(message.node, message.incarnation)
        replaced = [Close(older) for older in self._connections_of(participant) if older != connection]
        for close in replaced:
            del self._subscribers[close.connection]
        self._subscribers[connection] = _Subscriber(
            participant, message.address, message.zone, message.version
        )
        self._away_since_ms.pop(participant, None)
        self._usage.join(participant)
        self._load.join(participant)
        self._sends.join(participant)
        first = (
            self._control_planes(),
            RegistrySnapshot(upstreams),
            self._freshness_message(now_ms),
            self._sample(connection),
        )
        return [*replaced, *(SendTo(connection, part) for part in first)]

    def receive(self, now_ms: float, connection: int, message: ToControlPlane) -> list[Delivery]:
        """A message on a subscribed connection."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return []
        if isinstance(message, FetchConfiguration):
            return self._answer_fetch(now_ms, connection, subscriber, message.base_version)
        if isinstance(message, ConfigurationApplied):
            subscriber.applied_version = max(subscriber.applied_version, message.version)
            subscriber.enter(SubscriberState.FOLLOWING)
        elif isinstance(message, UsageReport):
            self._usage.report(subscriber.participant, message)
        elif isinstance(message, LoadReport):
            self._load.report(subscriber.participant, message)
        elif isinstance(message, DispatchReport):
            self._sends.report(subscriber.participant, message)
        elif isinstance(message, ClockRequest):
            return [SendTo(connection, ClockReading(message.requested_ms, round(now_ms)))]
        elif isinstance(message, Goodbye):
            self._leave(now_ms, subscriber)
        return []

    def disconnect(self, now_ms: float, connection: int) -> None:
        """A connection ended."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is None:
            return
        if subscriber.state is SubscriberState.LEAVING:
            self._usage.forget(subscriber.participant)
            self._load.forget(subscriber.participant)
            self._sends.forget(subscriber.participant)
        else:
            self._away_since_ms[subscriber.participant] = now_ms

    # --- what commands wait for ---

    def is_applied_by_all(self, version: int) -> bool:
        """Whether each data plane that is connected and keeps up has this version or a later one in force."""
        return not any(self._lacks(subscriber, version) for subscriber in self._subscribers.values())

    def stop_waiting_for(self, version: int) -> int:
        """Wait no more for those that lack a version, until they acknowledge again; how many they are."""
        lacking = [other for other in self._subscribers.values() if self._lacks(other, version)]
        for subscriber in lacking:
            subscriber.enter(SubscriberState.LAGGING)
        return len(lacking)

    def data_planes(self) -> int:
        """How many data planes are known."""
        nodes = {
            subscriber.participant.node
            for subscriber in self._subscribers.values()
            if subscriber.state is not SubscriberState.LEAVING
        }
        return len(nodes | {participant.node for participant in self._away_since_ms})

    def overview(self) -> tuple[DataPlaneStatus, ...]:
        """All subscribed data planes, for an operator."""
        subscribers = sorted(self._subscribers.values(), key=lambda each: each.participant.node)
        return tuple(self._status_of(subscriber) for subscriber in subscribers)

    # --- parts ---

    def _status_of(self, subscriber: _Subscriber) -> DataPlaneStatus:
        missing = self._configuration.commands_since(subscriber.applied_version)
        return DataPlaneStatus(
            node=subscriber.participant.node,
            address=subscriber.address,
            zone=subscriber.zone,
            applied_version=subscriber.applied_version,
            state=subscriber.state.value,
            lag=None if missing is None else len(missing),
        )

    def _connections_of(self, participant: Participant) -> list[int]:
        return [
            connection
            for connection, subscriber in self._subscribers.items()
            if subscriber.participant == participant
        ]

    def _lacks(self, subscriber: _Subscriber, version: int) -> bool:
        return subscriber.state is SubscriberState.FOLLOWING and subscriber.applied_version < version

    def _leave(self, now_ms: float, subscriber: _Subscriber) -> None:
        subscriber.enter(SubscriberState.LEAVING)
        self._usage.pause(subscriber.participant)

    def _answer_fetch(
        self, now_ms: float, connection: int, subscriber: _Subscriber, have: int
    ) -> list[Delivery]:
        version = self._configuration.version
        is_repeat = subscriber.answered_version == version
        if version <= have or (is_repeat and now_ms - subscriber.answered_ms < FETCH_REPEAT_MS):
            return []
        subscriber.answered_version, subscriber.answered_ms = version, now_ms
        answer = self._answers.get(have)
        if answer is None:
            answer = self._answers[have] = self._leading_from(have)
        return [SendTo(connection, answer)]

    def _leading_from(self, have: int) -> ConfigurationDelta | ConfigurationSnapshot:
        document = self._configuration.document
        version = self._configuration.version
        if document is None:
            return ConfigurationSnapshot(version, b"")
        commands = self._configuration.commands_since(have) if have else None
        if commands is None or sum(len(command.body) for command in commands) > document.raw_bytes:
            return ConfigurationSnapshot(version, document.raw)
        return ConfigurationDelta(have, version, tuple(commands))

    def _freshness(self, now_ms: float) -> Freshness:
        self._freshness_due_ms = now_ms + FRESHNESS_INTERVAL_MS
        self._told_version = self._configuration.version
        return self._freshness_message(now_ms)

    def _freshness_message(self, now_ms: float) -> Freshness:
        age_ms = self._status.fresh_age_ms
        return Freshness(
            version=self._configuration.version,
            epoch=self._status.epoch,
            age_ms=round(age_ms) if age_ms is not None else None,
            is_primary=self._status.is_primary,
            data_planes=self.data_planes(),
            clock_ms=round(now_ms),
        )

    def _control_planes(self) -> ControlPlanes:
        primary = self._status.primary
        others = [member for member in self._status.members if member != primary]
        return ControlPlanes(tuple([primary, *others] if primary else others), primary)

    def _sample(self, connection: int) -> PeerSample:
        own = self._subscribers[connection].address
        others = {subscriber.address for subscriber in self._subscribers.values()} - {own, ""}
        count = min(PEERS_IN_A_SAMPLE, len(others))
        return PeerSample(tuple(self._rng.sample(sorted(others), count)))

    def _exchange_usage(self) -> list[Delivery]:
        deliveries: list[Delivery] = []
        for connection, subscriber in self._subscribers.items():
            if (usage := self._usage.owed(subscriber.participant)) is not None:
                deliveries.append(SendTo(connection, usage))
        return deliveries

    def _load_interval_ms(self) -> float:
        return max(LEAST_LOAD_INTERVAL_MS, LOAD_INTERVAL_MS_PER_DATA_PLANE * len(self._subscribers))

    def _exchange_load(self, now_ms: float) -> list[Delivery]:
        deliveries: list[Delivery] = []
        for connection, subscriber in self._subscribers.items():
            if (sends := self._sends.owed(now_ms, subscriber.participant)) is not None:
                deliveries.append(SendTo(connection, sends))
            if (load := self._load.owed(subscriber.participant)) is not None:
                deliveries.append(SendTo(connection, load))
        return deliveries

    def _restart_exchanges(self) -> None:
        self._usage, self._load, self._sends = UsageExchange(), LoadExchange(), DispatchExchange()
        for subscriber in self._subscribers.values():
            self._usage.join(subscriber.participant)
            self._load.join(subscriber.participant)
            self._sends.join(subscriber.participant)

    def _forget_those_away(self, now_ms: float) -> None:
        for participant, since_ms in list(self._away_since_ms.items()):
            if now_ms - since_ms > AWAY_COUNTS_MS:
                self._usage.pause(participant)
                self._load.pause(participant)
            if now_ms - since_ms > FORGET_AFTER_MS:
                del self._away_since_ms[participant]
                self._usage.forget(participant)
                self._load.forget(participant)
                self._sends.forget(participant)
