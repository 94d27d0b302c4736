"""Stories of the subscriber's decisions, without sockets or clocks."""

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


def body(version: int, **more: Any) -> bytes:
    route = {"name": "r", "host": "h", "path_prefix": "/p/", "timeout_ms": 100, "service": "s"}
    return json.dumps({"version": version, "routes": [route], "services": [{"name": "s"}], **more}).encode()


def update(version: int, **more: Any) -> bytes:
    return json.dumps({"version": version, **more}).encode()


class Story(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 1000.0
        self.subscriber = Subscriber(
            self.now_ms, Identity("front-1", "incarnation", "10.0.0.9:7501", "z1"), SEEDS, 3, random.Random(1)
        )
        self.sent: list[tuple[str, ToControlPlane]] = []
        self.in_force: list[int] = []

    def happens(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        self.now_ms += after_ms
        actions = self.subscriber.handle(self.now_ms, event)
        self.sent += [(action.address, action.message) for action in actions if isinstance(action, Send)]
        self.in_force += [
            action.document.version for action in actions if isinstance(action, ApplyConfiguration)
        ]
        return actions

    def hears(self, address: str, message: ToDataPlane, after_ms: float = 0.0) -> list[Action]:
        return self.happens(MessageReceived(address, message), after_ms)

    def receives_freshness(
        self, address: str, version: int, age_ms: float | None = 0.0, after_ms: float = 0.0
    ) -> None:
        clock_ms = self.now_ms + after_ms
        self.hears(address, Freshness(version, 1, age_ms, address == FIRST, 6, clock_ms), after_ms)

    def connects(self, *addresses: str) -> None:
        for address in addresses:
            self.happens(LinkOpened(address))

    def fetches(self) -> list[tuple[str, int]]:
        return [(address, m.base_version) for address, m in self.sent if isinstance(m, FetchConfiguration)]

    def dialled(self, actions: list[Action]) -> set[str]:
        return {action.address for action in actions if isinstance(action, Connect)}


class Connections(Story):
    def test_all_wanted_are_dialled_at_once_and_notified_who_subscribes(self) -> None:
        self.assertEqual(self.dialled(self.happens(TimePassed())), set(SEEDS))
        self.connects(FIRST)
        (address, message) = self.sent[0]
        self.assertEqual(address, FIRST)
        self.assertEqual(message, Subscribe("front-1", "incarnation", "10.0.0.9:7501", "z1", 0))

    def test_a_failed_dial_is_repeated_after_a_wait_that_grows(self) -> None:
        self.happens(TimePassed())
        waits = []
        for _ in range(6):
            self.happens(LinkClosed(FIRST))
            waited_ms = 0.0
            while FIRST not in self.dialled(self.happens(TimePassed(), 10.0)):
                waited_ms += 10.0
            waits.append(waited_ms)
        self.assertLessEqual(waits[0], 100.0)
        self.assertGreater(waits[-1], 400.0)
        self.assertLessEqual(max(waits), 1000.0)

    def test_a_timed_out_one_is_closed_and_dialled_again(self) -> None:
        self.happens(TimePassed())
        self.connects(FIRST)
        self.assertNotIn(Disconnect(FIRST), self.happens(TimePassed(), LINK_TIMEOUT_MS))
        self.assertIn(Disconnect(FIRST), self.happens(TimePassed(), 10.0))
        self.assertIn(FIRST, self.dialled(self.happens(TimePassed(), 200.0)))

    def test_one_that_comes_up_after_it_was_given_up_is_closed(self) -> None:
        self.happens(TimePassed())
        self.happens(LinkClosed(FIRST))
        self.assertIn(Disconnect(FIRST), self.happens(LinkOpened(FIRST)))

    def test_what_comes_on_one_that_was_given_up_is_passed_over_until_it_is_up_again(self) -> None:
        registry = RegistrySnapshot(())
        self.happens(TimePassed())
        self.connects(FIRST)
        self.happens(TimePassed(), LINK_TIMEOUT_MS + 10.0)
        while FIRST not in self.dialled(self.happens(TimePassed(), 10.0)):
            self.assertEqual(self.hears(FIRST, registry), [])
        self.assertEqual(self.hears(FIRST, registry), [])
        self.connects(FIRST)
        self.assertIn(Deliver(FIRST, registry), self.hears(FIRST, registry))

    def test_others_that_a_control_plane_names_take_the_place_of_those_that_fail(self) -> None:
        self.happens(TimePassed())
        self.connects(SECOND, THIRD)
        notified = ControlPlanes((SECOND, THIRD, "10.0.0.4:7500"), THIRD)
        self.assertEqual(self.dialled(self.hears(SECOND, notified)), set())
        actions = self.happens(LinkClosed(FIRST))
        self.assertEqual(self.dialled(actions), {"10.0.0.4:7500"})

    def test_the_primary_is_connected_beyond_the_number_wanted(self) -> None:
        self.happens(TimePassed())
        self.connects(*SEEDS)
        notified = ControlPlanes((*SEEDS, "10.0.0.4:7500"), "10.0.0.4:7500")
        self.assertEqual(self.dialled(self.hears(SECOND, notified)), {"10.0.0.4:7500"})

    def test_new_seeds_are_dialled_when_old_ones_fail(self) -> None:
        self.happens(TimePassed())
        for address in SEEDS:
            self.happens(LinkClosed(address))
        self.assertEqual(self.dialled(self.happens(SeedsChanged(("10.0.0.7:7500",)))), {"10.0.0.7:7500"})

    def test_stopping_is_notified_to_all_and_nothing_is_dialled_any_more(self) -> None:
        self.happens(TimePassed())
        self.connects(FIRST, SECOND)
        actions = self.happens(ShutdownRequested())
        self.assertIn(Send(FIRST, Goodbye()), actions)
        self.assertIn(Send(SECOND, Goodbye()), actions)
        self.happens(LinkClosed(FIRST))
        self.assertEqual(self.dialled(self.happens(TimePassed(), 5000.0)), set())

    def test_messages_of_other_concerns_are_handed_on(self) -> None:
        self.happens(TimePassed())
        self.connects(FIRST)
        registry = RegistrySnapshot(())
        self.assertIn(Deliver(FIRST, registry), self.hears(FIRST, registry))


class TheConfiguration(Story):
    def setUp(self) -> None:
        super().setUp()
        self.happens(TimePassed())
        self.connects(*SEEDS)

    def test_is_fetched_from_the_first_that_offers_it_and_acknowledged_to_all(self) -> None:
        self.receives_freshness(SECOND, 5)
        self.receives_freshness(THIRD, 5)
        self.assertEqual(self.fetches(), [(SECOND, 0)])
        self.hears(SECOND, ConfigurationSnapshot(5, body(5)))
        self.assertEqual(self.in_force, [5])
        notified = [address for address, message in self.sent if message == ConfigurationApplied(5)]
        self.assertEqual(sorted(notified), sorted(SEEDS))
        self.assertEqual(self.fetches(), [(SECOND, 0)])

    def test_is_requested_of_another_when_the_answer_does_not_come(self) -> None:
        self.receives_freshness(SECOND, 5)
        self.receives_freshness(THIRD, 5)
        self.happens(TimePassed(), FETCH_TIMEOUT_MS + 1)
        self.assertEqual(self.fetches(), [(SECOND, 0), (THIRD, 0)])

    def test_is_requested_of_another_at_once_when_the_connection_ends(self) -> None:
        self.receives_freshness(SECOND, 5)
        self.receives_freshness(THIRD, 5)
        self.happens(LinkClosed(SECOND))
        self.assertEqual(self.fetches(), [(SECOND, 0), (THIRD, 0)])

    def test_is_changed_by_the_commands_of_a_delta(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        changed = update(7, upsert={"services": [{"name": "t"}]})
        again = update(9, delete={"services": ["t"]})
        commands = (CommandRecord(7, 5, "update", changed), CommandRecord(9, 7, "update", again))
        self.hears(FIRST, ConfigurationDelta(5, 9, commands))
        self.assertEqual(self.in_force, [5, 9])
        document = self.subscriber.document
        assert document is not None
        self.assertEqual([service.name for service in document.configuration.services], ["s"])

    def test_is_changed_by_a_delta_that_begins_with_a_replacement(self) -> None:
        commands = (CommandRecord(5, 0, "replace", body(5)),)
        self.hears(FIRST, ConfigurationDelta(0, 5, commands))
        self.assertEqual(self.in_force, [5])

    def test_never_goes_back(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(7, body(7)))
        self.hears(SECOND, ConfigurationSnapshot(5, body(5)))
        self.receives_freshness(SECOND, 5)
        self.assertEqual(self.in_force, [7])
        self.assertEqual(self.fetches(), [])

    def test_is_fetched_anew_where_a_delta_has_another_base(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        self.receives_freshness(FIRST, 9)
        self.hears(FIRST, ConfigurationDelta(6, 9, (CommandRecord(9, 6, "update", update(9)),)))
        self.assertEqual(self.in_force, [5])
        self.assertEqual(self.fetches(), [(FIRST, 5), (FIRST, 5)])

    def test_is_fetched_whole_where_commands_cannot_be_used(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        broken = CommandRecord(9, 5, "update", b'{"version":9,"upsert":{"routes":[{"name":"r"}]}}')
        self.hears(FIRST, ConfigurationDelta(5, 9, (broken,)))
        self.assertEqual((self.in_force, self.fetches()), ([5], [(FIRST, 0)]))
        self.hears(FIRST, ConfigurationSnapshot(9, body(9)))
        self.assertEqual(self.in_force, [5, 9])


class Readiness(Story):
    def setUp(self) -> None:
        super().setUp()
        self.happens(TimePassed())
        self.connects(*SEEDS)

    def test_needs_a_configuration_that_is_called_fresh(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        self.assertFalse(self.subscriber.is_ready)
        self.receives_freshness(SECOND, 5, age_ms=None)
        self.assertFalse(self.subscriber.is_ready)
        self.receives_freshness(SECOND, 7)
        self.assertFalse(self.subscriber.is_ready)
        self.hears(SECOND, ConfigurationSnapshot(7, body(7)))
        self.assertTrue(self.subscriber.is_ready)

    def test_outlives_the_control_planes(self) -> None:
        self.receives_freshness(FIRST, 5)
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        for address in SEEDS:
            self.happens(LinkClosed(address))
        self.happens(TimePassed(), 60_000.0)
        self.assertTrue(self.subscriber.is_ready)

    def test_being_current_ends_with_the_lease(self) -> None:
        self.receives_freshness(FIRST, 5, age_ms=100.0)
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        self.assertTrue(self.subscriber.is_current(self.now_ms + CURRENT_MS - 101.0))
        self.assertFalse(self.subscriber.is_current(self.now_ms + CURRENT_MS - 100.0))

    def test_being_current_needs_a_link_that_stands(self) -> None:
        self.receives_freshness(FIRST, 5)
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))
        self.happens(LinkClosed(FIRST))
        self.assertFalse(self.subscriber.is_current(self.now_ms))

    def test_being_in_touch_is_about_the_primary(self) -> None:
        self.receives_freshness(SECOND, 5)
        self.assertFalse(self.subscriber.is_connected(self.now_ms))
        self.receives_freshness(FIRST, 5)
        self.assertTrue(self.subscriber.is_connected(self.now_ms))
        self.assertEqual(self.subscriber.data_planes, 6)
        self.assertFalse(self.subscriber.is_connected(self.now_ms + CURRENT_MS))

    def test_being_alone_is_notified_to_the_host(self) -> None:
        for address in SEEDS:
            self.happens(LinkClosed(address))
        self.assertFalse(self.subscriber.is_isolated(self.now_ms + 1000.0))
        self.assertTrue(self.subscriber.is_isolated(self.now_ms + 4000.0))


if __name__ == "__main__":
    unittest.main()
