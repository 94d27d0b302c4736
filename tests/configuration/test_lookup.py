"""Tests of the look-ups of routes, tenants and services."""

from __future__ import annotations

import random
import unittest

from madderwind.configuration.documents import Backend, Configuration, Route, Service
from madderwind.configuration.lookup import RoutingTable, choose_backend, without_port
from tests.configuration.samples import document


def simple_route(name: str, host: str, prefix: str) -> Route:
    return Route(name=name, host=host, path_prefix=prefix, timeout_ms=1, service="s")


class RouteMatching(unittest.TestCase):
    def setUp(self) -> None:
        routes = (
            simple_route("root", "One.example", "/"),
            simple_route("deep", "one.example", "/a/b/"),
            simple_route("a", "one.example", "/a/"),
            simple_route("only", "two.example", "/x/"),
        )
        self.table = RoutingTable.of(Configuration(1, routes, (Service(name="s"),)))

    def matched(self, host: str, path: str) -> str | None:
        route = self.table.match(host, path)
        return None if route is None else route.name

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.matched("one.example", "/a/b/c/d"), "deep")
        self.assertEqual(self.matched("one.example", "/a/b/"), "deep")
        self.assertEqual(self.matched("one.example", "/a/bb/c"), "a")
        self.assertEqual(self.matched("one.example", "/b/a/b/"), "root")

    def test_path_without_the_final_slash_of_the_prefix_does_not_match(self) -> None:
        self.assertEqual(self.matched("one.example", "/a/b"), "a")
        self.assertIsNone(self.matched("two.example", "/x"))
        self.assertIsNone(self.matched("two.example", "/"))
        self.assertIsNone(self.matched("two.example", ""))
        self.assertIsNone(self.matched("two.example", "*"))

    def test_host_is_case_insensitive_and_may_have_a_port(self) -> None:
        self.assertEqual(self.matched("ONE.Example:8360", "/a/1"), "a")
        self.assertIsNone(self.matched("three.example", "/a/1"))
        self.assertIsNone(self.matched("", "/a/1"))

    def test_query_string_is_ignored(self) -> None:
        self.assertEqual(self.matched("one.example", "/a/x?next=/b/"), "a")
        self.assertIsNone(self.matched("two.example", "/?to=/x/"))

    def test_paths_are_not_normalized(self) -> None:
        self.assertEqual(self.matched("one.example", "/a/../x/"), "a")
        self.assertIsNone(self.matched("two.example", "/%78/1"))

    def test_port_is_removed_from_the_host(self) -> None:
        self.assertEqual(without_port("[::1]:80"), "[::1]")
        self.assertEqual(without_port("[::1]"), "[::1]")
        self.assertEqual(without_port("h:"), "h")
        self.assertEqual(without_port("h"), "h")


class TenantAndServiceLookups(unittest.TestCase):
    def test_tenant_is_found_by_key(self) -> None:
        table = document().routing
        tenant = table.tenant_of("key-3")
        assert tenant is not None
        self.assertEqual(tenant.name, "green")
        self.assertIsNone(table.tenant_of("key-4"))
        self.assertTrue(table.has_tenants)
        self.assertFalse(document(tenants=[]).routing.has_tenants)

    def test_service_is_found_by_name(self) -> None:
        table = document().routing
        self.assertEqual(table.service("stock").max_connections, 96)


class BackendSelection(unittest.TestCase):
    def test_route_with_a_single_service(self) -> None:
        self.assertEqual(choose_backend(simple_route("a", "h", "/"), 0.99), "s")

    def test_backends_are_chosen_by_weight(self) -> None:
        backends = (Backend("none", 0), Backend("most", 90), Backend("few", 10), Backend("never", 0))
        route = Route(name="a", host="h", path_prefix="/", timeout_ms=1, backends=backends)
        generator = random.Random(4)
        chosen = [choose_backend(route, generator.random()) for _ in range(20_000)]
        self.assertEqual(set(chosen), {"most", "few"})
        self.assertAlmostEqual(chosen.count("few") / len(chosen), 0.1, delta=0.01)
        self.assertEqual(choose_backend(route, 0.0), "most")
        self.assertEqual(choose_backend(route, 1.0), "few")

    def test_weights_whose_sum_is_beyond_the_largest_float_are_valid(self) -> None:
        # Guards against a valid document that ends a control plane's reading with OverflowError.
        backends = (
            Backend("first", 1e308),
            Backend("second", 1e308),
            Backend("none", 0),
            Backend("few", 1.0),
        )
        route = Route(name="a", host="h", path_prefix="/", timeout_ms=1, backends=backends)
        chosen = [choose_backend(route, step / 100) for step in range(100)]
        self.assertEqual(set(chosen), {"first", "second"})
        self.assertEqual(chosen.count("first"), 50)

    def test_the_smallest_weights_are_valid(self) -> None:
        backends = (Backend("first", 5e-324), Backend("second", 5e-324))
        route = Route(name="a", host="h", path_prefix="/", timeout_ms=1, backends=backends)
        self.assertEqual([choose_backend(route, draw) for draw in (0.0, 0.6)], ["first", "second"])
