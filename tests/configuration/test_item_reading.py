"""Tests that parsing an item with msgspec and with cattrs gives the same result."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from madderwind.configuration import structuring
from madderwind.configuration.documents import Route, Service, Tenant
from madderwind.configuration.structuring import NamedItem, read_item, structure
from madderwind.errors import ConfigurationError
from tests.configuration.samples import route, service, tenant

SAMPLES: dict[type[Any], dict[str, Any]] = {
    Route: route("a", backends=[{"service": "model", "weight": 90}]),
    Service: service("model", engine={"slots": 8, "kv_tokens": 5, "stride": 3}),
    Tenant: tenant("blue", "key-1", "key-2"),
}
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-3, 9)
    | st.integers()
    | st.just(10**400)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "/", "/a/", "streaming", "requests", "x", "é", "\n"])
    | st.text(max_size=3),
    lambda children: (
        st.lists(children, max_size=2) | st.dictionaries(st.sampled_from(["service", "weight"]), children)
    ),
    max_leaves=4,
)


@st.composite
def items(draw: st.DrawFn) -> tuple[type[Any], dict[str, Any]]:
    """An item type, and an item of it with some fields changed, missing or unknown."""
    item_type = draw(st.sampled_from(list(SAMPLES)))
    item = dict(SAMPLES[item_type])
    for name in draw(st.lists(st.sampled_from([*item, "unknown"]), max_size=3)):
        if draw(st.booleans()) and name in item:
            del item[name]
        else:
            item[name] = draw(VALUES)
    return item_type, item


def outcome(parse: Any) -> object:
    """The repr of the parsed item, which shows all types, or the field of the error."""
    try:
        return repr(parse())
    except ConfigurationError as error:
        return error.field


def assert_same_outcome(item_type: type[NamedItem], item: dict[str, Any]) -> None:
    raw = msgspec.Raw(json.dumps(item).encode())
    by_cattrs = outcome(lambda: structure(json.loads(bytes(raw)), item_type, "here"))
    by_msgspec_and_cattrs = outcome(lambda: read_item(raw, item_type, "here"))
    assert by_msgspec_and_cattrs == by_cattrs, (item, by_msgspec_and_cattrs, by_cattrs)


class MsgspecAndCattrsAgree(unittest.TestCase):
    @settings(max_examples=250, deadline=None, derandomize=True)
    @given(items())
    def test_any_item_has_the_same_outcome_either_way(self, drawn: tuple[type[Any], dict[str, Any]]) -> None:
        assert_same_outcome(*drawn)

    def test_valid_item_is_parsed_without_cattrs(self) -> None:
        with patch.object(structuring, "structure", side_effect=AssertionError):
            for item_type, item in SAMPLES.items():
                self.assertEqual(item["name"], read_item(_raw(item), item_type, "here").name)

    def test_item_that_only_cattrs_accepts_is_parsed(self) -> None:
        item = {**SAMPLES[Route], "max_attempts": 2.0, "gap_aim_ms": None}
        read = read_item(_raw(item), Route, "here")
        self.assertEqual((2, 0.0), (read.max_attempts, read.gap_aim_ms))

    def test_too_lenient_decoder_is_detected(self) -> None:
        item = {**SAMPLES[Route], "timeout_ms": "8000"}
        lenient_decoder = patch.object(
            structuring, "_decoder", return_value=msgspec.json.Decoder(Route, strict=False)
        )
        with lenient_decoder, self.assertRaises(AssertionError):
            assert_same_outcome(Route, item)


def _raw(item: dict[str, Any]) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(item).encode())


if __name__ == "__main__":
    unittest.main()
