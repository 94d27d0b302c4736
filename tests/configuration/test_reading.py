"""Tests of parsing, validating and updating configuration documents."""

from __future__ import annotations

import json
import unittest
from typing import Any

from madderwind.configuration.documents import Backend, ClientLimits
from madderwind.configuration.reading import read_document
from madderwind.errors import ConfigurationError
from tests.configuration.samples import complete_configuration, document, encoded, route, service, tenant


class ParsingCompleteDocuments(unittest.TestCase):
    def test_all_parts_are_typed(self) -> None:
        configuration = document().configuration
        self.assertEqual(configuration.version, 7)
        first, split_route, _ = configuration.routes
        self.assertEqual((first.service, first.route_type, first.timeout_ms), ("model", "streaming", 8000.0))
        self.assertEqual(
            (split_route.service, split_route.backends), (None, (Backend("model", 90), Backend("stock", 10)))
        )
        engine = configuration.services[0].engine
        assert engine is not None
        self.assertEqual((engine.slots, engine.kv_tokens, engine.stride), (128, 598962, 3))
        self.assertIsNone(configuration.services[1].engine)
        self.assertEqual(configuration.limits.idle_timeout_ms, 15000)
        self.assertEqual(configuration.tenants[0].api_keys, ("key-1", "key-2"))
        self.assertEqual(configuration.tenants[0].unit, "tokens")

    def test_raw_is_byte_identical_to_the_body(self) -> None:
        body = encoded(
            complete_configuration(
                colour={"deep": [1, 2.50, None]}, routes=[route("a", note="x", big=10**30)]
            )
        )
        self.assertEqual(read_document(body).raw, body)

    def test_absent_and_null_fields_take_defaults(self) -> None:
        minimal_route = {"name": "a", "host": "h", "path_prefix": "/", "timeout_ms": 1, "service": "model"}
        minimal_route |= {"gap_aim_ms": None, "backends": None}
        read = document(
            routes=[minimal_route], limits=None, tenants=None, services=[{"name": "model", "engine": None}]
        )
        configuration = read.configuration
        self.assertEqual(configuration.routes[0].route_type, "unsafe")
        self.assertEqual(configuration.routes[0].max_attempts, 1)
        self.assertEqual(configuration.limits, ClientLimits())
        self.assertEqual(configuration.tenants, ())

    def test_unknown_fields_and_sections_are_accepted(self) -> None:
        read = document(policies=[{"name": "p"}], zoo=5, routes=[route("a", shade="red")])
        self.assertEqual(len(read.configuration.routes), 1)

    def test_one_tenant_may_list_a_key_twice(self) -> None:
        self.assertEqual(len(document(tenants=[tenant("blue", "k", "k")]).configuration.tenants), 1)

    def test_unchanged_items_are_shared_with_the_previous_document(self) -> None:
        before = document()
        after = read_document(encoded(complete_configuration(9, routes=[route("b"), route("a")])), before)
        self.assertIs(after.configuration.routes[1], before.configuration.routes[0])
        self.assertEqual(after.configuration.routes[0].service, "model")


class InvalidDocuments(unittest.TestCase):
    def assert_rejected(self, field: str, **members: Any) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            document(**members)
        self.assertEqual(caught.exception.field, field)

    def test_invalid_json_object(self) -> None:
        body = encoded(complete_configuration())
        for invalid in (body[:-1], body[: len(body) // 2], b"", body + b"}", b"[]", b"null", b"\xff" + body):
            with self.subTest(invalid[-20:]), self.assertRaises(ConfigurationError):
                read_document(invalid)

    def test_truncated_json(self) -> None:
        body = encoded(complete_configuration())
        for length in range(len(body)):
            with self.assertRaises(ConfigurationError):
                read_document(body[:length])

    def test_invalid_utf8_in_an_unknown_member(self) -> None:
        with self.assertRaises(ConfigurationError):
            read_document(encoded(complete_configuration(note="@")).replace(b"@", b"\xff"))

    def test_excessive_nesting(self) -> None:
        with self.assertRaises(ConfigurationError):
            read_document(b'{"version":1,"routes":' + b"[" * 100_000)

    def test_invalid_versions(self) -> None:
        for version in (None, "7", 7.5, True, 0, -3, [7]):
            with self.subTest(version):
                self.assert_rejected("version", version=version)

    def test_missing_required_members(self) -> None:
        for name in ("version", "routes", "services"):
            members = complete_configuration()
            del members[name]
            with self.subTest(name), self.assertRaises(ConfigurationError) as caught:
                read_document(encoded(members))
            self.assertEqual(caught.exception.field, name)

    def test_route_with_an_unknown_service(self) -> None:
        self.assert_rejected("routes[1].service", routes=[route("a"), route("b", service="nobody")])
        backends = [{"service": "model", "weight": 1}, {"service": "nobody", "weight": 0}]
        self.assert_rejected(
            "routes[0].backends[1].service", routes=[route("a", service=None, backends=backends)]
        )

    def test_routes_with_the_same_host_and_prefix(self) -> None:
        conflicting_routes = [route("a"), route("b", path_prefix="/a/")]
        self.assert_rejected("routes[1].path_prefix", routes=conflicting_routes)
        conflicting_routes[1]["host"] = "API.example"
        self.assert_rejected("routes[1].path_prefix", routes=conflicting_routes)

    def test_weights_with_a_sum_of_zero(self) -> None:
        for weights in ([0], [0, 0.0]):
            backends = [{"service": "model", "weight": weight} for weight in weights]
            self.assert_rejected("routes[0].backends", routes=[route("a", service=None, backends=backends)])
        self.assert_rejected("routes[0].service", routes=[route("a", service=None, backends=[])])

    def test_numbers_out_of_range(self) -> None:
        for name, value in (
            ("timeout_ms", 0),
            ("timeout_ms", -1),
            ("timeout_ms", 10**400),
            ("target_latency_ms", -1),
            ("gap_aim_ms", -0.5),
            ("priority", -1),
            ("max_attempts", 0),
        ):
            with self.subTest(name, value=value):
                self.assert_rejected(f"routes[0].{name}", routes=[route("a", **{name: value})])
        for name in ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"):
            with self.subTest(name):
                self.assert_rejected(f"limits.{name}", limits={name: -1})
        for name in ("rate_per_s", "burst", "prompt_tokens"):
            with self.subTest(name):
                self.assert_rejected(f"tenants[0].{name}", tenants=[tenant("blue", **{name: -1})])
        self.assert_rejected("services[0].max_connections", services=[service("model", max_connections=0)])
        self.assert_rejected(
            "services[0].engine.slots", services=[service("model", engine={"slots": 0, "kv_tokens": 1})]
        )

    def test_wrong_types(self) -> None:
        for name, value in (
            ("host", ""),
            ("host", ["x"]),
            ("timeout_ms", "8000"),
            ("timeout_ms", True),
            ("max_attempts", 1.5),
            ("public", 1),
            ("sticky", "yes"),
            ("route_type", "quick"),
            ("backends", {"service": "model", "weight": 1}),
            ("backends", "model"),
        ):
            with self.subTest(name, value=value):
                self.assert_rejected(f"routes[0].{name}", routes=[route("a", **{name: value})])
        self.assert_rejected("routes[0].name", routes=[{**route("a"), "name": 5}])
        self.assert_rejected("services[0].engine", services=[service("model", engine=5)])
        self.assert_rejected("routes[0].backends[0]", routes=[route("a", backends=["model"])])
        self.assert_rejected(
            "routes[0].backends[1].weight", routes=[route("a", backends=[_backend(1), _backend("1")])]
        )
        self.assert_rejected("tenants[0].api_keys[1]", tenants=[tenant("blue", "k", 7)])  # type: ignore[arg-type]
        self.assert_rejected("tenants[0].api_keys[1]", tenants=[tenant("blue", "k", "")])
        self.assert_rejected("tenants[0].unit", tenants=[tenant("blue", unit="bytes")])
        self.assert_rejected("routes", routes={"a": route("a")})
        self.assert_rejected("limits", limits=[])
        self.assert_rejected("routes[0].name", routes=["a"])

    def test_missing_fields(self) -> None:
        for name in ("name", "host", "path_prefix", "timeout_ms"):
            incomplete = route("a")
            del incomplete[name]
            with self.subTest(name):
                self.assert_rejected(f"routes[0].{name}", routes=[incomplete])

    def test_duplicate_names(self) -> None:
        self.assert_rejected("routes[1].name", routes=[route("a"), route("a", path_prefix="/other/")])
        self.assert_rejected("services[1].name", services=[service("model"), service("model")])
        self.assert_rejected("tenants[1].name", tenants=[tenant("blue"), tenant("blue")])

    def test_prefixes_without_enclosing_slashes(self) -> None:
        for prefix in ("", "a/", "/a", "a"):
            with self.subTest(prefix):
                self.assert_rejected("routes[0].path_prefix", routes=[route("a", path_prefix=prefix)])

    def test_tenants_with_the_same_key(self) -> None:
        self.assert_rejected(
            "tenants[1].api_keys[1]", tenants=[tenant("blue", "k1", "k2"), tenant("green", "k3", "k2")]
        )

    def test_reason_names_the_unknown_service(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            document(routes=[route("a", service="nobody")])
        self.assertIn("'nobody'", caught.exception.reason)


class DocumentUpdates(unittest.TestCase):
    def updated(self, version: int = 9, **parts: Any) -> dict[str, Any]:
        updated = document().updated(encoded({"version": version, **parts}))
        self.assertEqual(updated.version, version)
        self.assertEqual(updated.configuration.version, version)
        read: dict[str, Any] = json.loads(updated.raw)
        self.assertEqual(read_document(updated.raw).configuration, updated.configuration)
        return read

    def assert_rejected(self, field: str, version: int = 9, **parts: Any) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            document().updated(encoded({"version": version, **parts}))
        self.assertEqual(caught.exception.field, field)

    def test_items_are_replaced_in_place_appended_and_removed(self) -> None:
        changed, new = route("a", timeout_ms=5, note={"retained": True}), route("d")
        read = self.updated(upsert={"routes": [new, changed]}, delete={"routes": ["b"]})
        self.assertEqual(
            read, complete_configuration(9, routes=[changed, complete_configuration()["routes"][2], new])
        )

    def test_new_route_may_take_the_prefix_of_a_deleted_one(self) -> None:
        read = self.updated(upsert={"routes": [route("d", path_prefix="/a/")]}, delete={"routes": ["a"]})
        self.assertEqual([item["name"] for item in read["routes"]], ["b", "c", "d"])

    def test_two_routes_may_swap_prefixes(self) -> None:
        swapped = [route("a", path_prefix="/c/"), route("c", path_prefix="/a/")]
        self.assertEqual(self.updated(upsert={"routes": swapped})["routes"][0], swapped[0])

    def test_service_and_its_route_are_added_in_one_update(self) -> None:
        read = self.updated(upsert={"routes": [route("d", service="new")], "services": [service("new")]})
        self.assertEqual(read["services"][-1], service("new"))

    def test_keys_are_added_and_removed(self) -> None:
        read = self.updated(upsert={"tenants": [tenant("blue", "key-1")]}, delete={"tenants": ["green"]})
        self.assertEqual(read["tenants"], [tenant("blue", "key-1")])

    def test_key_may_move_to_another_tenant(self) -> None:
        moved = [tenant("blue", "key-1"), tenant("green", "key-2", "key-3")]
        self.assertEqual(self.updated(upsert={"tenants": moved})["tenants"], moved)

    def test_limits_are_set_field_by_field(self) -> None:
        read = self.updated(upsert={"limits": {"idle_timeout_ms": 7}}, delete={"limits": ["max_body_bytes"]})
        self.assertEqual(
            read["limits"], {"max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 7}
        )

    def test_unknown_section_is_updated_like_known_ones(self) -> None:
        before = document(policies=[{"name": "p", "x": 1}, {"name": "q"}])
        body = {"version": 9, "upsert": {"policies": [{"name": "p", "x": 2}]}, "delete": {"policies": ["q"]}}
        after = before.updated(encoded(body))
        self.assertEqual(json.loads(after.raw)["policies"], [{"name": "p", "x": 2}])

    def test_absent_section_is_created(self) -> None:
        before = document(tenants=None)
        after = before.updated(encoded({"version": 9, "upsert": {"tenants": [tenant("blue", "k")]}}))
        self.assertEqual(json.loads(after.raw)["tenants"], [tenant("blue", "k")])
        self.assertEqual(after.configuration.tenants[0].name, "blue")

    def test_deleting_an_absent_name_changes_nothing(self) -> None:
        self.assertEqual(self.updated(delete={"routes": ["r-old"]}), complete_configuration(9))

    def test_previous_document_is_not_modified(self) -> None:
        before = document()
        before.updated(encoded({"version": 9, "delete": {"routes": ["a"]}}))
        self.assertEqual(json.loads(before.raw), complete_configuration())
        self.assertEqual(len(before.configuration.routes), 3)

    def test_untouched_items_are_shared(self) -> None:
        before = document()
        after = before.updated(encoded({"version": 9, "upsert": {"routes": [route("a", timeout_ms=5)]}}))
        self.assertIs(after.configuration.routes[1], before.configuration.routes[1])

    def test_successive_updates_keep_unknown_fields(self) -> None:
        latest = document(flavour={"x": [1.50]})
        for version in range(9, 30):
            latest = latest.updated(
                encoded({"version": version, "upsert": {"routes": [route("a", v=version)]}})
            )
        expected = complete_configuration(29, flavour={"x": [1.5]})
        expected["routes"][0] = route("a", v=29)
        self.assertEqual(json.loads(latest.raw), expected)

    def test_version_that_does_not_increase(self) -> None:
        self.assert_rejected("version", version=7)
        self.assert_rejected("version", version=6)

    def test_deleting_a_service_in_use(self) -> None:
        self.assert_rejected("routes[1].backends[1].service", delete={"services": ["stock"]})

    def test_values_invalid_in_a_complete_document_are_invalid_in_an_update(self) -> None:
        self.assert_rejected("upsert.routes[0].timeout_ms", upsert={"routes": [route("d", timeout_ms=0)]})
        self.assert_rejected("routes[3].service", upsert={"routes": [route("d", service="nobody")]})
        self.assert_rejected("routes[3].path_prefix", upsert={"routes": [route("d", path_prefix="/a/")]})
        self.assert_rejected("tenants[1].api_keys[0]", upsert={"tenants": [tenant("green", "key-1")]})
        self.assert_rejected("limits.idle_timeout_ms", upsert={"limits": {"idle_timeout_ms": 0}})
        self.assert_rejected("upsert.routes[1].name", upsert={"routes": [route("d"), route("d")]})

    def test_members_of_the_wrong_type(self) -> None:
        self.assert_rejected("upsert", upsert=[])
        self.assert_rejected("delete", delete=["a"])
        self.assert_rejected("upsert.routes", upsert={"routes": route("a")})
        self.assert_rejected("delete.routes", delete={"routes": [5]})
        self.assert_rejected("delete.routes", delete={"routes": "a"})
        self.assert_rejected("upsert.routes", upsert={"routes": [route("a")]}, delete={"routes": ["a"]})
        self.assert_rejected("upsert.version", upsert={"version": [{"name": "x"}]})
        self.assert_rejected("routes", routes=[route("d")])

    def test_truncated_update(self) -> None:
        before = document()
        body = encoded({"version": 9, "upsert": {"routes": [route("d")]}, "delete": {"routes": ["a"]}})
        for length in range(len(body)):
            with self.assertRaises(ConfigurationError):
                before.updated(body[:length])


def _backend(weight: Any) -> dict[str, Any]:
    return {"service": "model", "weight": weight}
