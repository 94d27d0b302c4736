"""Updates on a document are checked and looked up by the size of the change: the same comes out as of reading
the whole document anew."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any
from unittest.mock import patch

from madderwind.configuration.consistency import check_consistency
from madderwind.configuration.index import ConfigurationIndex
from madderwind.configuration.reading import Document, read_document
from madderwind.configuration.sections import ITEMS_PER_CHUNK, Section
from madderwind.errors import ConfigurationError
from tests.configuration.samples import document, encoded, route, service, tenant, whole

HOSTS = ("one.example", "One.example", "two.example")
UPDATES = 600


class RandomUpdates:
    """Draws updates in a small world, so that many are invalid, and applies them in two ways."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.taken = self.refused = 0

    def run(self) -> None:
        """Raises AssertionError where the two ways differ."""
        latest = document()
        for number in range(UPDATES):
            latest = self._step(latest, 8 + number)
        _assert_same(latest, read_document(latest.raw))

    def _step(self, before: Document, version: int) -> Document:
        update = self._update(version)
        if self._rng.random() < 0.1:
            body = encoded(_changed_by_hand(before, update))
            after, expected = _read(body, before), _read_whole(body)
        else:
            after = _updated(before, encoded(update))
            expected = _read_whole(encoded(_changed_by_hand(before, update)))
        if after is None or expected is None:
            assert (after is None) is (expected is None), update
            self.refused += 1
            return before
        self.taken += 1
        if self.taken % 10 == 0:
            _assert_same(after, expected)
        return after

    def _update(self, version: int) -> dict[str, Any]:
        section = self._rng.choice(("routes", "routes", "services", "tenants"))
        upsert = {item["name"]: item for item in (self._item(section) for _ in range(self._rng.randrange(4)))}
        delete = {self._item(section)["name"] for _ in range(self._rng.randrange(2))} - upsert.keys()
        return {
            "version": version,
            "upsert": {section: list(upsert.values())},
            "delete": {section: sorted(delete)},
        }

    def _item(self, section: str) -> dict[str, Any]:
        rng = self._rng
        if section == "services":
            return service(f"s{rng.randrange(5)}" if rng.random() < 0.7 else rng.choice(("model", "stock")))
        if section == "tenants":
            keys = [f"k{rng.randrange(12)}" for _ in range(rng.randrange(3))]
            return tenant(f"t{rng.randrange(5)}", *keys)
        place = {"host": rng.choice(HOSTS), "path_prefix": f"/{rng.randrange(6)}/"}
        named = [rng.choice(("model", "stock", *(f"s{number}" for number in range(5)))) for _ in range(2)]
        if rng.random() < 0.5:
            return route(f"r{rng.randrange(8)}", service=named[0], **place)
        split = [{"service": name, "weight": weight} for weight, name in enumerate(named)]
        return route(f"r{rng.randrange(8)}", service=None, backends=split, **place)


def _changed_by_hand(before: Document, update: dict[str, Any]) -> dict[str, Any]:
    """The whole document after an update, worked out on plain lists."""
    after: dict[str, Any] = json.loads(before.raw)
    for name, items in update["upsert"].items():
        by_name = {item["name"]: item for item in after[name]} | {item["name"]: item for item in items}
        after[name] = [item for item in by_name.values() if item["name"] not in update["delete"][name]]
    return {**after, "version": update["version"]}


def _updated(before: Document, body: bytes) -> Document | None:
    try:
        return before.updated(body)
    except ConfigurationError:
        return None


def _read(body: bytes, before: Document) -> Document | None:
    try:
        return read_document(body, before)
    except ConfigurationError:
        return None


def _read_whole(body: bytes) -> Document | None:
    """Read without a document before it, and checked whole."""
    try:
        read = read_document(body)
        check_consistency(read.configuration)
    except ConfigurationError:
        return None
    return read


def _assert_same(document: Document, other: Document) -> None:
    """Typed and raw are alike, and the look-ups are what the typed parts say."""
    configuration, routing = other.configuration, document.routing
    assert document.configuration == configuration
    assert json.loads(document.raw) == json.loads(other.raw)
    assert routing.has_tenants is bool(configuration.tenants)
    places = {(each.host.lower(), each.path_prefix): each for each in configuration.routes}
    for host in HOSTS:
        for number in range(6):
            assert routing.match(host, f"/{number}/x") == places.get((host.lower(), f"/{number}/"))
    holders = {key: each for each in configuration.tenants for key in each.api_keys}
    for number in range(12):
        assert routing.tenant_of(f"k{number}") == holders.get(f"k{number}")
    for each in configuration.services:
        assert routing.service(each.name) == each


class IncrementalIsWhole(unittest.TestCase):
    def test_given_random_updates_then_each_ends_as_a_whole_read_does(self) -> None:
        updates = RandomUpdates(seed=3)
        updates.run()
        self.assertGreater(updates.taken, UPDATES / 10)
        self.assertGreater(updates.refused, UPDATES / 10)

    def test_mutants_are_found(self) -> None:
        for name, broken in (
            ("_changed_uses", lambda index, routes: {}),
            ("_keys_after", lambda index, tenants: index.tenant_of_key),
            ("_route_at", lambda index, host, prefix: None),
        ):
            mutant: Any = patch.object(ConfigurationIndex, name, broken)
            with self.subTest(name), mutant, self.assertRaises(AssertionError):
                RandomUpdates(seed=3).run()


class LargeSections(unittest.TestCase):
    def setUp(self) -> None:
        self.names = [f"r{number}" for number in range(5 * ITEMS_PER_CHUNK)]
        self.before = document(routes=[route(name) for name in self.names])

    def update(self, latest: Document, upsert: list[dict[str, Any]], delete: list[str]) -> Document:
        body = {"version": latest.version + 1, "upsert": {"routes": upsert}, "delete": {"routes": delete}}
        return latest.updated(encoded(body))

    def test_given_an_update_of_one_route_then_all_other_chunks_are_shared(self) -> None:
        after = self.update(self.before, [route("r300", timeout_ms=5)], [])
        pairs = zip(self.chunks(self.before), self.chunks(after), strict=True)
        self.assertEqual(1, sum(old is not new for old, new in pairs))
        self.assertEqual(8_000, self.before.routes[300].timeout_ms)
        self.assertEqual(5, after.routes[300].timeout_ms)

    def test_given_an_update_of_one_route_then_nothing_is_read_over_whole(self) -> None:
        after = self.update(self.before, [route("r300", timeout_ms=5)], ["r301"])
        self.assertNotIn("configuration", vars(after))
        self.assertNotIn("raw", vars(after))
        self.assertNotIn("typed", vars(after.section("routes")))
        self.assertIs(after.tenants, self.before.tenants)

    def test_given_deletions_and_additions_then_the_order_is_retained(self) -> None:
        rng, latest = random.Random(5), self.before
        expected = {name: route(name) for name in self.names}
        for number in range(400):
            gone = rng.sample(sorted(expected), 5 if len(expected) > 80 else 1)
            latest = self.update(latest, [route(f"new-{number}")], gone)
            expected = {name: item for name, item in expected.items() if name not in gone}
            expected[f"new-{number}"] = route(f"new-{number}")
        self.assertEqual(list(expected.values()), json.loads(latest.raw)["routes"])
        self.assertLess(abs(latest.raw_bytes - len(latest.raw)), 0.1 * len(latest.raw))

    def test_given_the_oldest_routes_replaced_by_new_ones_for_long_then_gaps_are_closed(self) -> None:
        names = self.names[:200]
        latest = document(routes=[route(name) for name in names])
        for number in range(0, 2_000, 10):
            new = [f"new-{index}" for index in range(number, number + 10)]
            latest = self.update(latest, [route(name) for name in new], names[:10])
            names = names[10:] + new
        self.assertEqual(names, [each.name for each in latest.routes])
        self.assertLess(len(self.chunks(latest)), 12)

    def test_gaps_that_are_not_closed_are_found(self) -> None:
        story = LargeSections(
            "test_given_the_oldest_routes_replaced_by_new_ones_for_long_then_gaps_are_closed"
        )
        result = unittest.TestResult()
        with patch.object(Section, "_close_gaps", lambda section: None):
            story.run(result)
        self.assertTrue(result.failures)

    def test_given_a_replacement_then_what_is_the_same_is_shared_and_what_is_gone_is_not_found(self) -> None:
        routes = [route(name) for name in self.names[1:]]
        after = read_document(encoded(whole(8, routes=routes)), self.before)
        self.assertIs(after.routes[0], self.before.routes[1])
        self.assertIsNone(after.routing.match("api.example", "/r0/x"))
        self.assertIsNotNone(self.before.routing.match("api.example", "/r0/x"))

    @staticmethod
    def chunks(of: Document) -> list[Any]:
        section: Section[Any] = of.section("routes")
        return section._chunks


if __name__ == "__main__":
    unittest.main()
