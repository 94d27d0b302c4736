"""Items are decoded at once where that is possible, and by cattrs where it isn't: both ways have to agree."""

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
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(st.sampled_from(["service", "weight"]), inner)
    ),
    max_leaves=4,
)


@st.composite
def items(draw: st.DrawFn) -> tuple[type[Any], dict[str, Any]]:
    """A kind, and an item of it in which some fields are changed, missing or unknown."""
    kind = draw(st.sampled_from(list(SAMPLES)))
    item = dict(SAMPLES[kind])
    for name in draw(st.lists(st.sampled_from([*item, "unknown"]), max_size=3)):
        if draw(st.booleans()) and name in item:
            del item[name]
        else:
            item[name] = draw(VALUES)
    return kind, item


def outcome(reading: Any) -> object:
    """What reading gives, with its type throughout; where it refuses, the place."""
    try:
        return repr(reading())
    except ConfigurationError as error:
        return error.field


def assert_agreed(kind: type[NamedItem], item: dict[str, Any]) -> None:
    raw = msgspec.Raw(json.dumps(item).encode())
    by_cattrs = outcome(lambda: structure(json.loads(bytes(raw)), kind, "here"))
    by_both = outcome(lambda: read_item(raw, kind, "here"))
    assert by_both == by_cattrs, (item, by_both, by_cattrs)


class BothWaysAgree(unittest.TestCase):
    @settings(max_examples=250, deadline=None, derandomize=True)
    @given(items())
    def test_given_any_item_then_decoding_and_cattrs_agree(
        self, drawn: tuple[type[Any], dict[str, Any]]
    ) -> None:
        assert_agreed(*drawn)

    def test_given_an_ordinary_item_then_cattrs_is_not_requested(self) -> None:
        with patch.object(structuring, "structure", side_effect=AssertionError):
            for kind, item in SAMPLES.items():
                self.assertEqual(item["name"], read_item(_raw(item), kind, "here").name)

    def test_given_an_item_that_only_cattrs_takes_then_it_is_taken(self) -> None:
        item = {**SAMPLES[Route], "max_attempts": 2.0, "gap_aim_ms": None}
        read = read_item(_raw(item), Route, "here")
        self.assertEqual((2, 0.0), (read.max_attempts, read.gap_aim_ms))

    def test_a_decoder_that_takes_what_cattrs_refuses_is_found(self) -> None:
        item = {**SAMPLES[Route], "timeout_ms": "8000"}
        lax = patch.object(structuring, "_decoder", return_value=msgspec.json.Decoder(Route, strict=False))
        with lax, self.assertRaises(AssertionError):
            assert_agreed(Route, item)


def _raw(item: dict[str, Any]) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(item).encode())


if __name__ == "__main__":
    unittest.main()
