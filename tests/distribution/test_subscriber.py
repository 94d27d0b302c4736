"""Tests of the subscriber's state machine, without sockets or clocks."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any

from madderwind.distribution.subscriber import CURRENT_MS, FETCH_TIMEOUT_MS, LINK_TIMEOUT_MS, Subscriber
from madderwind.distribution.subscriber_events import (
    Action,
    ApplyConfiguration,
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
from madderwind.messages.distribution import (
    CommandRecord,
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlPlanes,
    FetchConfiguration,
    Freshness,
    Goodbye,
    RegistrySnapshot,
    Subscribe,
    ToControlPlane,
    ToDataPlane,
)

SEEDS = ("10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500")
FIRST, SECOND, THIRD = SEEDS


def configuration_body(version: int, **fields: Any) -> bytes:
    route = {"name": "r", "host": "h", "path_prefix": "/p/", "timeout_ms": 100, "service": "s"}
    return json.dumps({"version": version, "routes": [route], "services": [{"name": "s"}], **fields}).encode()


def update_body(version: int, **fields: Any) -> bytes:
    return json.dumps({"version": version, **fields}).encode()


class SubscriberTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 1000.0
        self.subscriber = Subscriber(
            self.now_ms, Identity("front-1", "incarnation", "10.0.0.9:7501", "z1"), SEEDS, 3, random.Random(1)
        )
        self.sent: list[tuple[str, ToControlPlane]] = []
        self.applied_versions: list[int] = []

    def handle(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        self.now_ms += after_ms
        actions = self.subscriber.handle(self.now_ms, event)
        self.sent += [(action.address, action.message) for action in actions if isinstance(action, Send)]
        self.applied_versions += [
            action.document.version for action in actions if isinstance(action, ApplyConfiguration)
        ]
        return actions

    def receive(self, address: str, message: ToDataPlane, after_ms: float = 0.0) -> list[Action]:
        return self.handle(MessageReceived(address, message), after_ms)

    def receive_freshness(
        self, address: str, version: int, age_ms: float | None = 0.0, after_ms: float = 0.0
    ) -> None:
        clock_ms = self.now_ms + after_ms
        self.receive(address, Freshness(version, 1, age_ms, address == FIRST, 6, clock_ms), after_ms)

    def connect(self, *addresses: str) -> None:
        for address in addresses:
            self.handle(LinkOpened(address))

    def fetches(self) -> list[tuple[str, int]]:
        return [
            (address, message.base_version)
            for address, message in self.sent
            if isinstance(message, FetchConfiguration)
        ]

    def connect_targets(self, actions: list[Action]) -> set[str]:
        return {action.address for action in actions if isinstance(action, Connect)}


class ConnectionTest(SubscriberTestCase):
    def test_connects_to_all_targets_at_once_and_subscribes(self) -> None:
        self.assertEqual(self.connect_targets(self.handle(TimePassed())), set(SEEDS))
        self.connect(FIRST)
        (address, message) = self.sent[0]
        self.assertEqual(address, FIRST)
        self.assertEqual(message, Subscribe("front-1", "incarnation", "10.0.0.9:7501", "z1", 0))

    def test_backoff_grows_after_failed_connection_attempts(self) -> None:
        self.handle(TimePassed())
        backoffs_ms = []
        for _ in range(6):
            self.handle(LinkClosed(FIRST))
            backoff_ms = 0.0
            while FIRST not in self.connect_targets(self.handle(TimePassed(), 10.0)):
                backoff_ms += 10.0
            backoffs_ms.append(backoff_ms)
        self.assertLessEqual(backoffs_ms[0], 100.0)
        self.assertGreater(backoffs_ms[-1], 400.0)
        self.assertLessEqual(max(backoffs_ms), 1000.0)

    def test_timed_out_link_is_closed_and_reconnected(self) -> None:
        self.handle(TimePassed())
        self.connect(FIRST)
        self.assertNotIn(Disconnect(FIRST), self.handle(TimePassed(), LINK_TIMEOUT_MS))
        self.assertIn(Disconnect(FIRST), self.handle(TimePassed(), 10.0))
        self.assertIn(FIRST, self.connect_targets(self.handle(TimePassed(), 200.0)))

    def test_link_that_opens_after_it_was_closed_is_disconnected(self) -> None:
        self.handle(TimePassed())
        self.handle(LinkClosed(FIRST))
        self.assertIn(Disconnect(FIRST), self.handle(LinkOpened(FIRST)))

    def test_messages_on_closed_link_are_ignored_until_it_reopens(self) -> None:
        registry = RegistrySnapshot(())
        self.handle(TimePassed())
        self.connect(FIRST)
        self.handle(TimePassed(), LINK_TIMEOUT_MS + 10.0)
        while FIRST not in self.connect_targets(self.handle(TimePassed(), 10.0)):
            self.assertEqual(self.receive(FIRST, registry), [])
        self.assertEqual(self.receive(FIRST, registry), [])
        self.connect(FIRST)
        self.assertIn(Deliver(FIRST, registry), self.receive(FIRST, registry))

    def test_published_control_planes_replace_failed_ones(self) -> None:
        self.handle(TimePassed())
        self.connect(SECOND, THIRD)
        published = ControlPlanes((SECOND, THIRD, "10.0.0.4:7500"), THIRD)
        self.assertEqual(self.connect_targets(self.receive(SECOND, published)), set())
        actions = self.handle(LinkClosed(FIRST))
        self.assertEqual(self.connect_targets(actions), {"10.0.0.4:7500"})

    def test_connects_to_primary_beyond_the_target_number_of_links(self) -> None:
        self.handle(TimePassed())
        self.connect(*SEEDS)
        published = ControlPlanes((*SEEDS, "10.0.0.4:7500"), "10.0.0.4:7500")
        self.assertEqual(self.connect_targets(self.receive(SECOND, published)), {"10.0.0.4:7500"})

    def test_connects_to_new_seeds_when_old_ones_fail(self) -> None:
        self.handle(TimePassed())
        for address in SEEDS:
            self.handle(LinkClosed(address))
        self.assertEqual(
            self.connect_targets(self.handle(SeedsChanged(("10.0.0.7:7500",)))), {"10.0.0.7:7500"}
        )

    def test_shutdown_sends_goodbye_to_all_and_stops_connecting(self) -> None:
        self.handle(TimePassed())
        self.connect(FIRST, SECOND)
        actions = self.handle(ShutdownRequested())
        self.assertIn(Send(FIRST, Goodbye()), actions)
        self.assertIn(Send(SECOND, Goodbye()), actions)
        self.handle(LinkClosed(FIRST))
        self.assertEqual(self.connect_targets(self.handle(TimePassed(), 5000.0)), set())

    def test_messages_not_about_the_configuration_are_delivered(self) -> None:
        self.handle(TimePassed())
        self.connect(FIRST)
        registry = RegistrySnapshot(())
        self.assertIn(Deliver(FIRST, registry), self.receive(FIRST, registry))


class ConfigurationTest(SubscriberTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.handle(TimePassed())
        self.connect(*SEEDS)

    def test_fetched_from_first_control_plane_that_offers_it_and_acknowledged_to_all(self) -> None:
        self.receive_freshness(SECOND, 5)
        self.receive_freshness(THIRD, 5)
        self.assertEqual(self.fetches(), [(SECOND, 0)])
        self.receive(SECOND, ConfigurationSnapshot(5, configuration_body(5)))
        self.assertEqual(self.applied_versions, [5])
        acknowledged = [address for address, message in self.sent if message == ConfigurationApplied(5)]
        self.assertEqual(sorted(acknowledged), sorted(SEEDS))
        self.assertEqual(self.fetches(), [(SECOND, 0)])

    def test_fetched_from_another_control_plane_after_a_timeout(self) -> None:
        self.receive_freshness(SECOND, 5)
        self.receive_freshness(THIRD, 5)
        self.handle(TimePassed(), FETCH_TIMEOUT_MS + 1)
        self.assertEqual(self.fetches(), [(SECOND, 0), (THIRD, 0)])

    def test_fetched_from_another_control_plane_at_once_when_the_link_closes(self) -> None:
        self.receive_freshness(SECOND, 5)
        self.receive_freshness(THIRD, 5)
        self.handle(LinkClosed(SECOND))
        self.assertEqual(self.fetches(), [(SECOND, 0), (THIRD, 0)])

    def test_delta_commands_are_applied(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        upsert = update_body(7, upsert={"services": [{"name": "t"}]})
        deletion = update_body(9, delete={"services": ["t"]})
        commands = (CommandRecord(7, 5, "update", upsert), CommandRecord(9, 7, "update", deletion))
        self.receive(FIRST, ConfigurationDelta(5, 9, commands))
        self.assertEqual(self.applied_versions, [5, 9])
        document = self.subscriber.document
        assert document is not None
        self.assertEqual([service.name for service in document.configuration.services], ["s"])

    def test_delta_that_begins_with_a_replacement_is_applied(self) -> None:
        commands = (CommandRecord(5, 0, "replace", configuration_body(5)),)
        self.receive(FIRST, ConfigurationDelta(0, 5, commands))
        self.assertEqual(self.applied_versions, [5])

    def test_version_never_decreases(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(7, configuration_body(7)))
        self.receive(SECOND, ConfigurationSnapshot(5, configuration_body(5)))
        self.receive_freshness(SECOND, 5)
        self.assertEqual(self.applied_versions, [7])
        self.assertEqual(self.fetches(), [])

    def test_fetched_again_when_a_delta_has_another_base_version(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        self.receive_freshness(FIRST, 9)
        self.receive(FIRST, ConfigurationDelta(6, 9, (CommandRecord(9, 6, "update", update_body(9)),)))
        self.assertEqual(self.applied_versions, [5])
        self.assertEqual(self.fetches(), [(FIRST, 5), (FIRST, 5)])

    def test_snapshot_is_fetched_when_a_delta_is_invalid(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        invalid = CommandRecord(9, 5, "update", b'{"version":9,"upsert":{"routes":[{"name":"r"}]}}')
        self.receive(FIRST, ConfigurationDelta(5, 9, (invalid,)))
        self.assertEqual((self.applied_versions, self.fetches()), ([5], [(FIRST, 0)]))
        self.receive(FIRST, ConfigurationSnapshot(9, configuration_body(9)))
        self.assertEqual(self.applied_versions, [5, 9])


class ReadinessTest(SubscriberTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.handle(TimePassed())
        self.connect(*SEEDS)

    def test_ready_once_the_configuration_is_confirmed_as_current(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        self.assertFalse(self.subscriber.is_ready)
        self.receive_freshness(SECOND, 5, age_ms=None)
        self.assertFalse(self.subscriber.is_ready)
        self.receive_freshness(SECOND, 7)
        self.assertFalse(self.subscriber.is_ready)
        self.receive(SECOND, ConfigurationSnapshot(7, configuration_body(7)))
        self.assertTrue(self.subscriber.is_ready)

    def test_stays_ready_without_control_planes(self) -> None:
        self.receive_freshness(FIRST, 5)
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        for address in SEEDS:
            self.handle(LinkClosed(address))
        self.handle(TimePassed(), 60_000.0)
        self.assertTrue(self.subscriber.is_ready)

    def test_current_ends_once_the_lease_is_too_old(self) -> None:
        self.receive_freshness(FIRST, 5, age_ms=100.0)
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        self.assertTrue(self.subscriber.is_current(self.now_ms + CURRENT_MS - 101.0))
        self.assertFalse(self.subscriber.is_current(self.now_ms + CURRENT_MS - 100.0))

    def test_current_requires_an_open_link(self) -> None:
        self.receive_freshness(FIRST, 5)
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))
        self.handle(LinkClosed(FIRST))
        self.assertFalse(self.subscriber.is_current(self.now_ms))

    def test_connected_requires_the_primary(self) -> None:
        self.receive_freshness(SECOND, 5)
        self.assertFalse(self.subscriber.is_connected(self.now_ms))
        self.receive_freshness(FIRST, 5)
        self.assertTrue(self.subscriber.is_connected(self.now_ms))
        self.assertEqual(self.subscriber.data_planes, 6)
        self.assertFalse(self.subscriber.is_connected(self.now_ms + CURRENT_MS))

    def test_isolated_some_time_after_startup_without_control_planes(self) -> None:
        for address in SEEDS:
            self.handle(LinkClosed(address))
        self.assertFalse(self.subscriber.is_isolated(self.now_ms + 1000.0))
        self.assertTrue(self.subscriber.is_isolated(self.now_ms + 4000.0))


if __name__ == "__main__":
    unittest.main()
