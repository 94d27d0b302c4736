"""Stories of the control plane's side of the stream to data planes."""

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
    deliveries: list[Delivery], kind: type[MessageType], connection: int | None = None
) -> list[MessageType]:
    """Messages of a kind, to one connection or to all where none is given."""
    return [
        delivery.message
        for delivery in deliveries
        if not isinstance(delivery, Close)
        and isinstance(delivery.message, kind)
        and (isinstance(delivery, SendToAll) if connection is None else delivery.connection == connection)  # type: ignore[union-attr]
    ]


class PublisherStory(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()
        self.publisher = Publisher(self.history, random.Random(1))
        self.publisher.update(0.0, PRIMARY, self.history)
        self.publisher.tick(0.0)

    def subscribed(
        self, connection: int, node: str, incarnation: str = "1", now_ms: float = 0.0
    ) -> list[Delivery]:
        message = Subscribe(node, incarnation, f"{node}:7501", "z", 0)
        return self.publisher.subscribe(now_ms, connection, message, (UPSTREAM,))

    def commit(self, now_ms: float, version: int) -> list[Delivery]:
        self.history = self.history.copy()
        self.history.apply(replacement(self.history.version, version, routes=20))
        return self.publisher.update(now_ms, PRIMARY, self.history)


class ADataPlaneSubscribes(PublisherStory):
    def test_it_is_notified_all_there_is(self) -> None:
        notified = self.subscribed(1, "front-1")
        self.assertEqual(
            sent(notified, ControlPlanes, 1),
            [ControlPlanes(("10.0.0.1:7500", "10.0.0.2:7500"), "10.0.0.1:7500")],
        )
        self.assertEqual(sent(notified, RegistrySnapshot, 1), [RegistrySnapshot((UPSTREAM,))])
        self.assertEqual(sent(notified, Freshness, 1), [Freshness(0, 3, 20, True, 1, 0)])
        self.assertEqual(sent(notified, PeerSample, 1), [PeerSample(())])

    def test_it_hears_of_others(self) -> None:
        self.subscribed(1, "front-1")
        notified = self.subscribed(2, "front-2")
        self.assertEqual(sent(notified, PeerSample, 2), [PeerSample(("front-1:7501",))])
        self.assertEqual(sent(notified, Freshness, 2)[0].data_planes, 2)

    def test_its_newer_connection_replaces_the_older(self) -> None:
        self.subscribed(1, "front-1")
        self.assertIn(Close(1), self.subscribed(2, "front-1"))
        self.publisher.disconnect(1.0, 1)
        self.assertEqual(self.publisher.data_plane_count(), 1)

    def test_changed_upstreams_go_to_all_at_once(self) -> None:
        self.assertEqual(self.publisher.publish_upstreams([UPSTREAM]), [])
        self.subscribed(1, "front-1")
        self.assertEqual(
            self.publisher.publish_upstreams([UPSTREAM]), [SendToAll(RegistryDelta((UPSTREAM,)))]
        )

    def test_new_control_planes_are_notified(self) -> None:
        self.subscribed(1, "front-1")
        moved = PublishedStatus(4, None, False, "10.0.0.2:7500", PRIMARY.members)
        notified = sent(self.publisher.update(1.0, moved, self.history), ControlPlanes)
        self.assertEqual([message.primary for message in notified], ["10.0.0.2:7500"])


class VersionsAreTold(PublisherStory):
    def test_a_committed_version_is_notified_at_once_and_again_by_time(self) -> None:
        self.subscribed(1, "front-1")
        self.assertEqual([f.version for f in sent(self.commit(10.0, 5), Freshness)], [5])
        self.assertEqual(self.publisher.tick(11.0), [])
        later = self.publisher.tick(10.0 + FRESHNESS_INTERVAL_MS)
        self.assertEqual([f.version for f in sent(later, Freshness)], [5])

    def test_a_fetch_from_nothing_gets_the_whole_document(self) -> None:
        self.subscribed(1, "front-1")
        self.commit(10.0, 5)
        notified = self.publisher.receive(11.0, 1, FetchConfiguration(0))
        assert self.history.document is not None
        self.assertEqual(notified, [SendTo(1, ConfigurationSnapshot(5, self.history.document.raw))])

    def test_a_fetch_from_the_version_before_gets_the_command(self) -> None:
        self.subscribed(1, "front-1")
        self.commit(10.0, 5)
        self.history = self.history.copy()
        self.history.apply(update(5, 9))
        self.publisher.update(20.0, PRIMARY, self.history)
        notified = self.publisher.receive(21.0, 1, FetchConfiguration(5))
        deltas = sent(notified, ConfigurationDelta, 1)
        self.assertEqual([(delta.base_version, delta.version) for delta in deltas], [(5, 9)])
        self.assertEqual([command.kind for command in deltas[0].commands], ["update"])

    def test_an_unknown_version_gets_the_whole_document(self) -> None:
        self.subscribed(1, "front-1")
        self.commit(10.0, 5)
        self.assertEqual(
            len(sent(self.publisher.receive(11.0, 1, FetchConfiguration(4)), ConfigurationSnapshot, 1)), 1
        )

    def test_a_fetch_repeated_at_once_is_under_way_already(self) -> None:
        self.subscribed(1, "front-1")
        self.commit(10.0, 5)
        self.assertTrue(self.publisher.receive(11.0, 1, FetchConfiguration(0)))
        self.assertEqual(self.publisher.receive(12.0, 1, FetchConfiguration(0)), [])
        self.assertTrue(self.publisher.receive(11.0 + FETCH_REPEAT_MS, 1, FetchConfiguration(0)))

    def test_who_has_it_is_sent_nothing(self) -> None:
        self.subscribed(1, "front-1")
        self.commit(10.0, 5)
        self.assertEqual(self.publisher.receive(11.0, 1, FetchConfiguration(5)), [])


class OrdersWaitForDataPlanes(PublisherStory):
    def test_until_all_have_acknowledged(self) -> None:
        self.subscribed(1, "front-1")
        self.subscribed(2, "front-2")
        self.publisher.receive(1.0, 1, ConfigurationApplied(5))
        self.assertFalse(self.publisher.is_applied_by_all(5))
        self.publisher.receive(2.0, 2, ConfigurationApplied(7))
        self.assertTrue(self.publisher.is_applied_by_all(5))

    def test_but_not_again_for_one_that_lags(self) -> None:
        self.subscribed(1, "front-1")
        self.assertEqual(self.publisher.stop_waiting_for(5), 1)
        self.assertTrue(self.publisher.is_applied_by_all(9))
        self.publisher.receive(1.0, 1, ConfigurationApplied(5))
        self.assertFalse(self.publisher.is_applied_by_all(9))

    def test_nor_for_one_that_leaves_or_is_gone(self) -> None:
        self.subscribed(1, "front-1")
        self.subscribed(2, "front-2")
        self.publisher.receive(1.0, 1, Goodbye())
        self.publisher.disconnect(1.0, 2)
        self.assertTrue(self.publisher.is_applied_by_all(5))


class DataPlanesAreCounted(PublisherStory):
    def test_one_that_is_away_counts_for_a_while(self) -> None:
        self.subscribed(1, "front-1")
        self.publisher.disconnect(100.0, 1)
        self.publisher.tick(200.0)
        self.assertEqual(self.publisher.data_plane_count(), 1)
        self.publisher.tick(101.0 + REMOVE_AFTER_MS)
        self.assertEqual(self.publisher.data_plane_count(), 0)

    def test_a_restarted_one_counts_once_and_one_that_said_goodbye_not(self) -> None:
        self.subscribed(1, "front-1", incarnation="1")
        self.publisher.disconnect(100.0, 1)
        self.subscribed(2, "front-1", incarnation="2", now_ms=200.0)
        self.assertEqual(self.publisher.data_plane_count(), 1)
        self.publisher.receive(300.0, 2, Goodbye())
        self.publisher.disconnect(400.0, 2)
        self.publisher.tick(101.0 + REMOVE_AFTER_MS)
        self.assertEqual(self.publisher.data_plane_count(), 0)


class TheOthersUsageIsPassedOn(PublisherStory):
    def test_by_the_primary_to_each_other_data_plane(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribed(connection, node)
        self.publisher.receive(1.0, 1, UsageReport(1, {"t": 10.0}, {"t": 2.0}))
        self.publisher.receive(1.0, 1, LoadReport({"i-1": (5.0, 1.0, 9.0)}))
        notified = self.publisher.tick(1000.0)
        self.assertEqual(sent(notified, PeerUsage, 2), [PeerUsage({"t": 10.0}, {"t": 2.0})])
        self.assertEqual(sent(notified, PeerLoad, 2), [PeerLoad({"i-1": (5, 1, 9)})])
        self.assertEqual(sent(notified, PeerUsage, 1), [])

    def test_over_a_new_connection_of_the_same_incarnation(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribed(connection, node)
        self.publisher.disconnect(1.0, 2)
        self.publisher.receive(2.0, 1, UsageReport(1, {"t": 10.0}, {}))
        self.publisher.tick(1000.0)
        self.subscribed(3, "front-2", now_ms=1100.0)
        self.assertEqual(sent(self.publisher.tick(2000.0), PeerUsage, 3), [PeerUsage({"t": 10.0}, {})])

    def test_never_by_a_backup_and_from_zero_by_a_new_primary(self) -> None:
        for connection, node in ((1, "front-1"), (2, "front-2")):
            self.subscribed(connection, node)
        self.publisher.receive(1.0, 1, UsageReport(1, {"t": 10.0}, {}))
        self.publisher.update(2.0, BACKUP, self.history)
        self.assertEqual(sent(self.publisher.tick(1000.0), PeerUsage, 2), [])
        self.publisher.update(1001.0, PRIMARY, self.history)
        self.assertEqual(sent(self.publisher.tick(2000.0), PeerUsage, 2), [])
        self.publisher.receive(2001.0, 1, UsageReport(2, {"t": 4.0}, {}))
        self.assertEqual(sent(self.publisher.tick(3000.0), PeerUsage, 2), [PeerUsage({"t": 4.0}, {})])

    def test_a_load_comes_behind_the_dispatches_that_it_includes_and_less_often(self) -> None:
        for connection in range(1, 101):
            self.subscribed(connection, f"front-{connection}")
        kinds: list[list[str]] = []
        for number in range(1, 13):
            self.publisher.receive(float(number), 1, DispatchReport((DispatchedPrompt("i-1", ("x",), (5,)),)))
            self.publisher.receive(float(number), 1, LoadReport({"i-1": (5.0 * number, 1.0, 9.0)}))
            deliveries = self.publisher.tick(25.0 * number)
            to_second = [
                each.message for each in deliveries if isinstance(each, SendTo) and each.connection == 2
            ]
            kinds.append(
                [type(each).__name__ for each in to_second if isinstance(each, PeerDispatches | PeerLoad)]
            )
        both, alone = ["PeerDispatches", "PeerLoad"], ["PeerDispatches"]
        self.assertEqual([kind for kind in kinds if kind not in ([], both, alone)], [])
        self.assertEqual((kinds.count(both), kinds.count(both) + kinds.count(alone)), (4, 8))


if __name__ == "__main__":
    unittest.main()
