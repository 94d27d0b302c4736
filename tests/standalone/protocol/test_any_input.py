"""Parsing of arbitrary input returns a value or raises the documented error."""

from __future__ import annotations

import contextlib
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.standalone.protocol.answers import read_report
from madderwind.standalone.protocol.listing import ListingError, read_listing
from madderwind.standalone.protocol.requests import BadRequest, RequestReader, read_props
from madderwind.standalone.settings import SettingsError, read_host_settings
from tests import examples

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=20,
)


@given(st.binary(max_size=300))
def test_any_line_of_a_subscription(raw: bytes) -> None:
    with contextlib.suppress(ListingError):
        read_listing(raw)


@pytest.mark.parametrize("prefix", [b'{"revision":1,"complete":true,"members":[', b'{"x":'])
def test_a_line_that_nests_too_deep(prefix: bytes) -> None:
    """Guards against an error of the decoder that differs from its error for other invalid text."""
    with pytest.raises(ListingError):
        read_listing(prefix + b"[" * 200_000)


@given(st.text(max_size=100))
def test_any_properties(text: str) -> None:
    hint_ms, _, _, _ = read_props(text)
    assert hint_ms is None or (hint_ms >= 0 and math.isfinite(hint_ms))


@given(
    st.text(max_size=60) | st.from_regex(r"TEXT( *(inflight|queue)=[0-9.einf-]{0,6},?){0,3}", fullmatch=True)
)
def test_any_report(text: str) -> None:
    report = read_report(text, ("inflight", "queue"))
    assert report is None or len(report) == 2


@given(
    st.sampled_from(["GET", "POST", "PUT", ""]),
    st.text(max_size=20) | st.sampled_from(["/lookup", "/charge", "/checkout?a"]),
    st.dictionaries(
        st.sampled_from(
            ["X-Trace-Id", "X-Customer", "X-Expires-In-Ms", "Idempotency-Key", "X-Second-Try", "X-Props"]
        ),
        st.text(max_size=12) | st.sampled_from(["acme", "100", "1"]),
    ),
)
def test_any_request(method: str, target: str, headers: dict[str, str]) -> None:
    reader = RequestReader(read_host_settings(examples.SETTINGS))
    with contextlib.suppress(BadRequest):
        fields = reader.read(method, target, CIMultiDictProxy(CIMultiDict(headers)))
        assert fields.wait_ms >= 0
        assert 0 <= fields.class_index < 3
        assert 0 <= fields.tenant_index < 2


@given(JSON, st.sampled_from(list(examples.SETTINGS)))
def test_any_settings(value: object, setting_name: str) -> None:
    with contextlib.suppress(SettingsError):
        read_host_settings({**examples.SETTINGS, setting_name: value})
