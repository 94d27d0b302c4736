"""Tests of the control plane's side of the stream to data planes."""

from __future__ import annotations

import random
import unittest
from typing import TypeVar

from madderwind.configuration.history import ConfigurationHistory
from madderwind.distribution.deliveries import Close, Delivery, PublishedStatus, SendTo, SendToAll
from madderwind.distribution.exchange import REMOVE_AFTER_MS
from madderwind.distribution.publisher import FETCH_REPEAT_MS, FRESHNESS_INTERVAL_MS, Publisher
from madderwind.messages.distribution import (
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlPlanes,
    DispatchedPrompt,
    DispatchReport,
    FetchConfiguration,
    Freshness,
    Goodbye,
    LoadReport,
    PeerDispatches,
    PeerLoad,
    PeerSample,
    PeerUsage,
    RegistryDelta,
    RegistrySnapshot,
    Subscribe,
    ToDataPlane,
    UpstreamRecord,
    UsageReport,
)
from tests.controlplane.configurations import replacement, update

UPSTREAM = UpstreamRecord("i-1", "s", "10.0.0.1:80", "z", "v1", 4, "ready", 1, 0.0, 0.0)
PRIMARY = PublishedStatus(3, 20.4, True, "10.0.0.1:7500", ("10.0.0.2:7500", "10.0.0.1:7500"))
BACKUP = PublishedStatus(3, 20.4, False, "10.0.0.1:7500", ("10.0.0.2:7500", "10.0.0.1:7500"))

MessageType = TypeVar("MessageType", bound=ToDataPlane)


def sent(
    deliveries: list[Delivery], message_type: type[MessageType], connection: int | None = None
) -> list[MessageType]:
    """Messages of a type, to one connection, or to all connections if none is given."""
    return [
        delivery.message
        for delivery in deliveries
        if not isinstance(delivery, Close)
        and isinstance(delivery.message, message_type)
        and (isinstance(delivery, SendToAll) if connection is None else delivery.connection == connection)  # type: ignore[union-attr]
    ]


class PublisherTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()
        self.publisher = Publisher(self.history, random.Random(1))
        self.publisher.update(0.0, PRIMARY, self.history)
        self.publisher.tick(0.0)

    def subscribe(
        self, connection: int, node: str, incarnation: str = "1", now_ms: float = 0.0
    ) -> list[Delivery]:
        message = Subscribe(node, incarnation, f"{node}:7501", "z", 0)
        return self.publisher.subscribe(now_ms, connection, message, (UPSTREAM,))

    def commit(self, now_ms: float, version: int) -> list[Delivery]:
        self.history = self.history.copy()
        self.history.apply(replacement(self.history.version, version, routes=20))
        return self.publisher.update(now_ms, PRIMARY, self.history)


class SubscriptionTest(PublisherTestCase):
    def test_new_subscriber_is_sent_control_planes_upstreams_and_freshness(self) -> None:
        deliveries = self.subscribe(1, "front-1")
        self.assertEqual(
            sent(deliveries, ControlPlanes, 1),
            [ControlPlanes(("10.0.0.1:7500", "10.0.0.2:7500"), "10.0.0.1:7500")],
        )
        self.assertEqual(sent(deliveries, RegistrySnapshot, 1), [RegistrySnapshot((UPSTREAM,))])
        self.assertEqual(sent(deliveries, Freshness, 1), [Freshness(0, 3, 20, True, 1, 0)])
        self.assertEqual(sent(deliveries, PeerSample, 1), [PeerSample(())])

    def test_new_subscriber_is_sent_its_peers(self) -> None:
        self.subscribe(1, "front-1")
        deliveries = self.subscribe(2, "front-2")
        self.assertEqual(sent(deliveries, PeerSample, 2), [PeerSample(("front-1:7501",))])
        self.assertEqual(sent(deliveries, Freshness, 2)[0].data_planes, 2)

    def test_newer_connection_replaces_the_older_one(self) -> None:
        self.subscribe(1, "front-1")
        self.assertIn(Close(1), self.subscribe(2, "front-1"))
        self.publisher.disconnect(1.0, 1)
        self.assertEqual(self.publisher.data_plane_count(), 1)

    def test_changed_upstreams_are_sent_to_all_at_once(self) -> None:
        self.assertEqual(self.publisher.publish_upstreams([UPSTREAM]), [])
        self.subscribe(1, "front-1")
        self.assertEqual(
            self.publisher.publish_upstreams([UPSTREAM]), [SendToAll(RegistryDelta((UPSTREAM,)))]
        )

    def test_changed_control_planes_are_sent(self) -> None:
        self.subscribe(1, "front-1")
        status = PublishedStatus(4, None, False, "10.0.0.2:7500", PRIMARY.members)
        messages = sent(self.publisher.update(1.0, status, self.history), ControlPlanes)
        self.assertEqual([message.primary for message in messages], ["10.0.0.2:7500"])


class PublishedVersionTest(PublisherTestCase):
    def test_committed_version_is_published_at_once_and_repeated_periodically(self) -> None:
        self.subscribe(1, "front-1")
        self.assertEqual([message.version for message in sent(self.commit(10.0, 5), Freshness)], [5])
        self.assertEqual(self.publisher.tick(11.0), [])
        later = self.publisher.tick(10.0 + FRESHNESS_INTERVAL_MS)
        self.assertEqual([message.version for message in sent(later, Freshness)], [5])

    def test_fetch_without_a_base_version_returns_a_snapshot(self) -> None:
        self.subscribe(1, "front-1")
        self.commit(10.0, 5)
        deliveries = self.publisher.receive(11.0, 1, FetchConfiguration(0))
        assert self.history.document is not None
        self.assertEqual(deliveries, [SendTo(1, ConfigurationSnapshot(5, self.history.document.raw))])

    def test_fetch_from_the_previous_version_returns_the_command(self) -> None:
        self.subscribe(1, "front-1")
        self.commit(10.0, 5)
        self.history = self.history.copy()
        self.history.apply(update(5, 9))
        self.publisher.update(20.0, PRIMARY, self.history)
        deliveries = self.publisher.receive(21.0, 1, FetchConfiguration(5))
        deltas = sent(deliveries, ConfigurationDelta, 1)
        self.assertEqual([(delta.base_version, delta.version) for delta in deltas], [(5, 9)])
        self.assertEqual([command.kind for command in deltas[0].commands], ["update"])

    def test_fetch_from_an_unknown_version_returns_a_snapshot(self) -> None:
        self.subscribe(1, "front-1")
        self.commit(10.0, 5)
        self.assertEqual(
            len(sent(self.publisher.receive(11.0, 1, FetchConfiguration(4)), ConfigurationSnapshot, 1)), 1
        )

    def test_fetch_repeated_at_once_is_ignored(self) -> None:
        self.subscribe(1, "front-1")
        self.commit(10.0, 5)
        self.assertTrue(self.publisher.receive(11.0, 1, FetchConfiguration(0)))
        self.assertEqual(self.publisher.receive(12.0, 1, FetchConfiguration(0)), [])
        self.assertTrue(self.publisher.receive(11.0 + FETCH_REPEAT_MS, 1, FetchConfiguration(0)))

    def test_fetch_from_the_committed_version_returns_nothing(self) -> None:
        self.subscribe(1, "front-1")
        self.commit(10.0, 5)
        self.assertEqual(self.publisher.receive(11.0, 1, FetchConfiguration(5)), [])


class CommandAcknowledgementTest(PublisherTestCase):
    def test_command_waits_until_all_have_acknowledged(self) -> None:
        self.subscribe(1, "front-1")
        self.subscribe(2, "front-2")
        self.publisher.receive(1.0, 1, ConfigurationApplied(5))
        self.assertFalse(self.publisher.is_applied_by_all(5))
        self.publisher.receive(2.0, 2, ConfigurationApplied(7))
        self.assertTrue(self.publisher.is_applied_by_all(5))

    def test_command_does_not_wait_for_a_lagging_data_plane_until_it_acknowledges(self) -> None:
        self.subscribe(1, "front-1")
        self.assertEqual(self.publisher.stop_waiting_for(5), 1)
        self.assertTrue(self.publisher.is_applied_by_all(9))
        self.publisher.receive(1.0, 1, ConfigurationApplied(5))
        self.assertFalse(self.publisher.is_applied_by_all(9))

    def test_command_does_not_wait_for_a_stopping_or_disconnected_data_plane(self) -> None:
        self.subscribe(1, "front-1")
        self.subscribe(2, "front-2")
        self.publisher.receive(1.0, 1, Goodbye())
        self.publisher.disconnect(1.0, 2)
        self.assertTrue(self.publisher.is_applied_by_all(5))


class DataPlaneCountTest(PublisherTestCase):
    def test_disconnected_data_plane_counts_until_it_is_removed(self) -> None:
        self.subscribe(1, "front-1")
        self.publisher.disconnect(100.0, 1)
        self.publisher.tick(200.0)
        self.assertEqual(self.publisher.data_plane_count(), 1)
        self.publisher.tick(101.0 + REMOVE_AFTER_MS)
        self.assertEqual(self.publisher.data_plane_count(), 0)

    def test_restarted_data_plane_counts_once_and_stopped_one_not(self) -> None:
        self.subscribe(1, "front-1", incarnation="1")
        self.publisher.disconnect(100.0, 1)
        self.subscribe(2, "front-1", incarnation="2", now_ms=200.0)
        self.assertEqual(self.publisher.data_plane_count(), 1)
        self.publisher.receive(300.0, 2, Goodbye())
        self.publisher.disconnect(400.0, 2)
        self.publisher.tick(101.0 + REMOVE_AFTER_MS)
        self.assertEqual(self.publisher.data_plane_count(), 0)


class PeerExchangeTest(PublisherTestCase):
    def test_primary_sends_usage_and_load_to_the_peers(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribe(connection, node)
        self.publisher.receive(1.0, 1, UsageReport(1, {"t": 10.0}, {"t": 2.0}))
        self.publisher.receive(1.0, 1, LoadReport({"i-1": (5.0, 1.0, 9.0)}))
        deliveries = self.publisher.tick(1000.0)
        self.assertEqual(sent(deliveries, PeerUsage, 2), [PeerUsage({"t": 10.0}, {"t": 2.0})])
        self.assertEqual(sent(deliveries, PeerLoad, 2), [PeerLoad({"i-1": (5, 1, 9)})])
        self.assertEqual(sent(deliveries, PeerUsage, 1), [])

    def test_usage_is_sent_on_a_new_connection_of_the_same_incarnation(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribe(connection, node)
        self.publisher.disconnect(1.0, 2)
        self.publisher.receive(2.0, 1, UsageReport(1, {"t": 10.0}, {}))
        self.publisher.tick(1000.0)
        self.subscribe(3, "front-2", now_ms=1100.0)
        self.assertEqual(sent(self.publisher.tick(2000.0), PeerUsage, 3), [PeerUsage({"t": 10.0}, {})])

    def test_backup_sends_no_usage_and_new_primary_starts_from_zero(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribe(connection, node)
        self.publisher.receive(1.0, 1, UsageReport(1, {"t": 10.0}, {}))
        self.publisher.update(2.0, BACKUP, self.history)
        self.assertEqual(sent(self.publisher.tick(1000.0), PeerUsage, 2), [])
        self.publisher.update(1001.0, PRIMARY, self.history)
        self.assertEqual(sent(self.publisher.tick(2000.0), PeerUsage, 2), [])
        self.publisher.receive(2001.0, 1, UsageReport(2, {"t": 4.0}, {}))
        self.assertEqual(sent(self.publisher.tick(3000.0), PeerUsage, 2), [PeerUsage({"t": 4.0}, {})])

    def test_load_follows_the_dispatches_that_it_includes_and_is_sent_less_often(self) -> None:
        for connection in range(1, 101):
            self.subscribe(connection, f"front-{connection}")
        sent_types: list[list[str]] = []
        for step in range(1, 13):
            self.publisher.receive(float(step), 1, DispatchReport((DispatchedPrompt("i-1", ("x",), (5,)),)))
            self.publisher.receive(float(step), 1, LoadReport({"i-1": (5.0 * step, 1.0, 9.0)}))
            deliveries = self.publisher.tick(25.0 * step)
            to_second = [
                delivery.message
                for delivery in deliveries
                if isinstance(delivery, SendTo) and delivery.connection == 2
            ]
            sent_types.append(
                [
                    type(message).__name__
                    for message in to_second
                    if isinstance(message, PeerDispatches | PeerLoad)
                ]
            )
        both, dispatches_only = ["PeerDispatches", "PeerLoad"], ["PeerDispatches"]
        self.assertEqual([types for types in sent_types if types not in ([], both, dispatches_only)], [])
        self.assertEqual(
            (sent_types.count(both), sent_types.count(both) + sent_types.count(dispatches_only)), (4, 8)
        )


if __name__ == "__main__":
    unittest.main()
