"""Operators' calls, as bytes that anybody may send."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.admin.commands import (
    ALONE,
    LONGEST_CALL,
    WITH_ID,
    BadCall,
    Call,
    no,
    read_call,
    yes,
)


@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"STATUS", Call("STATUS")),
        (b"METRICS", Call("METRICS")),
        (b"SUSPEND s-1", Call("SUSPEND", "s-1")),
        ("RESTORE ñandú".encode(), Call("RESTORE", "ñandú")),
    ],
)
def test_calls(line: bytes, call: Call) -> None:
    assert read_call(line) == call


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"status",
        b"STATUS now",
        b"METRICS ",
        b" STATUS",
        b"SUSPEND",
        b"SUSPEND ",
        b"SUSPEND a b",
        b"SUSPEND \x00",
        b"RESTORE \xff",
        b"GET / HTTP/1.1",
        b"SUSPEND " + b"x" * LONGEST_CALL,
    ],
)
def test_what_is_no_call(line: bytes) -> None:
    with pytest.raises(BadCall):
        read_call(line)


@given(st.one_of(st.binary(max_size=2 * LONGEST_CALL), st.binary(max_size=40).map(b"SUSPEND ".__add__)))
def test_any_bytes_are_a_call_or_a_bad_one(line: bytes) -> None:
    try:
        call = read_call(line)
    except BadCall as error:
        assert no(str(error)).startswith(b"NAK ") and no(str(error)).count(b"\n") == 1
        return
    assert (call.word in ALONE) == (call.name == "")
    assert call.word in ALONE | WITH_ID
    # an answer that names the id is still one line
    assert yes(call.name).count(b"\n") == 1
