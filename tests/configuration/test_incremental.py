"""Tests that incremental updates of a document give the same result as parsing the complete document."""

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
from tests.configuration.samples import complete_configuration, document, encoded, route, service, tenant

HOSTS = ("one.example", "One.example", "two.example")
UPDATES = 600


class RandomUpdates:
    """Applies random updates both incrementally and by parsing the complete document.

    The updates draw from few names and paths, so that many of them conflict and are invalid.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.accepted = self.rejected = 0

    def run(self) -> None:
        """Raises AssertionError if the two results differ."""
        latest = document()
        for number in range(UPDATES):
            latest = self._apply_random_change(latest, 8 + number)
        _assert_equal(latest, read_document(latest.raw))

    def _apply_random_change(self, before: Document, version: int) -> Document:
        update = self._random_update(version)
        if self._rng.random() < 0.1:
            body = encoded(_expected_document(before, update))
            after, expected = _parse(body, before), _parse_complete(body)
        else:
            after = _apply_update(before, encoded(update))
            expected = _parse_complete(encoded(_expected_document(before, update)))
        if after is None or expected is None:
            assert (after is None) is (expected is None), update
            self.rejected += 1
            return before
        self.accepted += 1
        if self.accepted % 10 == 0:
            _assert_equal(after, expected)
        return after

    def _random_update(self, version: int) -> dict[str, Any]:
        section = self._rng.choice(("routes", "routes", "services", "tenants"))
        upsert = {
            item["name"]: item for item in (self._random_item(section) for _ in range(self._rng.randrange(4)))
        }
        delete = {self._random_item(section)["name"] for _ in range(self._rng.randrange(2))} - upsert.keys()
        return {
            "version": version,
            "upsert": {section: list(upsert.values())},
            "delete": {section: sorted(delete)},
        }

    def _random_item(self, section: str) -> dict[str, Any]:
        rng = self._rng
        if section == "services":
            return service(f"s{rng.randrange(5)}" if rng.random() < 0.7 else rng.choice(("model", "stock")))
        if section == "tenants":
            keys = [f"k{rng.randrange(12)}" for _ in range(rng.randrange(3))]
            return tenant(f"t{rng.randrange(5)}", *keys)
        location = {"host": rng.choice(HOSTS), "path_prefix": f"/{rng.randrange(6)}/"}
        service_names = [
            rng.choice(("model", "stock", *(f"s{number}" for number in range(5)))) for _ in range(2)
        ]
        if rng.random() < 0.5:
            return route(f"r{rng.randrange(8)}", service=service_names[0], **location)
        backends = [{"service": name, "weight": weight} for weight, name in enumerate(service_names)]
        return route(f"r{rng.randrange(8)}", service=None, backends=backends, **location)


def _expected_document(before: Document, update: dict[str, Any]) -> dict[str, Any]:
    """The complete document after an update, computed on plain lists."""
    after: dict[str, Any] = json.loads(before.raw)
    for name, items in update["upsert"].items():
        by_name = {item["name"]: item for item in after[name]} | {item["name"]: item for item in items}
        after[name] = [item for item in by_name.values() if item["name"] not in update["delete"][name]]
    return {**after, "version": update["version"]}


def _apply_update(before: Document, body: bytes) -> Document | None:
    try:
        return before.updated(body)
    except ConfigurationError:
        return None


def _parse(body: bytes, before: Document) -> Document | None:
    try:
        return read_document(body, before)
    except ConfigurationError:
        return None


def _parse_complete(body: bytes) -> Document | None:
    """Parse without a previous document, and validate all sections."""
    try:
        read = read_document(body)
        check_consistency(read.configuration)
    except ConfigurationError:
        return None
    return read


def _assert_equal(document: Document, other: Document) -> None:
    """Check that the typed and raw forms are equal and that look-ups match the typed items."""
    configuration, routing = other.configuration, document.routing
    assert document.configuration == configuration
    assert json.loads(document.raw) == json.loads(other.raw)
    assert routing.has_tenants is bool(configuration.tenants)
    routes_by_location = {(each.host.lower(), each.path_prefix): each for each in configuration.routes}
    for host in HOSTS:
        for number in range(6):
            assert routing.match(host, f"/{number}/x") == routes_by_location.get(
                (host.lower(), f"/{number}/")
            )
    tenants_by_key = {key: each for each in configuration.tenants for key in each.api_keys}
    for number in range(12):
        assert routing.tenant_of(f"k{number}") == tenants_by_key.get(f"k{number}")
    for each in configuration.services:
        assert routing.service(each.name) == each


class IncrementalUpdates(unittest.TestCase):
    def test_random_updates_match_parsing_the_complete_document(self) -> None:
        updates = RandomUpdates(seed=3)
        updates.run()
        self.assertGreater(updates.accepted, UPDATES / 10)
        self.assertGreater(updates.rejected, UPDATES / 10)

    def test_mutants_are_detected(self) -> None:
        for name, mutated in (
            ("_changed_reference_counts", lambda index, routes: {}),
            ("_keys_after", lambda index, tenants: index.tenant_by_key),
            ("_find_route", lambda index, host, prefix: None),
        ):
            mutant: Any = patch.object(ConfigurationIndex, name, mutated)
            with self.subTest(name), mutant, self.assertRaises(AssertionError):
                RandomUpdates(seed=3).run()


class LargeSections(unittest.TestCase):
    def setUp(self) -> None:
        self.names = [f"r{number}" for number in range(5 * ITEMS_PER_CHUNK)]
        self.before = document(routes=[route(name) for name in self.names])

    def update(self, latest: Document, upsert: list[dict[str, Any]], delete: list[str]) -> Document:
        body = {"version": latest.version + 1, "upsert": {"routes": upsert}, "delete": {"routes": delete}}
        return latest.updated(encoded(body))

    def test_update_of_one_route_shares_all_other_chunks(self) -> None:
        after = self.update(self.before, [route("r300", timeout_ms=5)], [])
        pairs = zip(self.chunks(self.before), self.chunks(after), strict=True)
        self.assertEqual(1, sum(old is not new for old, new in pairs))
        self.assertEqual(8_000, self.before.routes[300].timeout_ms)
        self.assertEqual(5, after.routes[300].timeout_ms)

    def test_update_of_one_route_does_not_build_the_complete_document(self) -> None:
        after = self.update(self.before, [route("r300", timeout_ms=5)], ["r301"])
        self.assertNotIn("configuration", vars(after))
        self.assertNotIn("raw", vars(after))
        self.assertNotIn("typed", vars(after.section("routes")))
        self.assertIs(after.tenants, self.before.tenants)

    def test_deletions_and_additions_keep_the_order(self) -> None:
        rng, latest = random.Random(5), self.before
        expected = {name: route(name) for name in self.names}
        for number in range(400):
            deleted = rng.sample(sorted(expected), 5 if len(expected) > 80 else 1)
            latest = self.update(latest, [route(f"new-{number}")], deleted)
            expected = {name: item for name, item in expected.items() if name not in deleted}
            expected[f"new-{number}"] = route(f"new-{number}")
            self.assertNotIn("raw", vars(latest))
            computed_bytes = latest.raw_bytes
            self.assertEqual(computed_bytes, len(latest.raw))
        self.assertEqual(list(expected.values()), json.loads(latest.raw)["routes"])

    def test_sparse_chunks_are_compacted(self) -> None:
        names = self.names[:200]
        latest = document(routes=[route(name) for name in names])
        for number in range(0, 2_000, 10):
            new = [f"new-{index}" for index in range(number, number + 10)]
            latest = self.update(latest, [route(name) for name in new], names[:10])
            names = names[10:] + new
        self.assertEqual(names, [each.name for each in latest.routes])
        self.assertLess(len(self.chunks(latest)), 12)

    def test_missing_compaction_is_detected(self) -> None:
        compaction_test = LargeSections("test_sparse_chunks_are_compacted")
        result = unittest.TestResult()
        with patch.object(Section, "_compact", lambda section: None):
            compaction_test.run(result)
        self.assertTrue(result.failures)

    def test_replacement_shares_identical_items_and_drops_deleted_ones(self) -> None:
        routes = [route(name) for name in self.names[1:]]
        after = read_document(encoded(complete_configuration(8, routes=routes)), self.before)
        self.assertIs(after.routes[0], self.before.routes[1])
        self.assertIsNone(after.routing.match("api.example", "/r0/x"))
        self.assertIsNotNone(self.before.routing.match("api.example", "/r0/x"))

    @staticmethod
    def chunks(document: Document) -> list[Any]:
        section: Section[Any] = document.section("routes")
        return section._chunks


if __name__ == "__main__":
    unittest.main()
