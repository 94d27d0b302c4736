"""Splitting of a subscription's bytes into lists, in any formatting and chunking."""

from __future__ import annotations

import json
import random
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.protocol.framing import ALIVE, MAX_VALUE_BYTES, ListFraming
from madderwind.standalone.protocol.listing import Listing, ListingError
from tests import examples

LAYOUTS: list[dict[str, Any]] = [
    {},
    {"indent": 2},
    {"indent": 0},
    {"indent": "\t"},
    {"separators": (",", ":")},
]


def list_message(revision: int, members: int = 2) -> dict[str, Any]:
    # The ids contain JSON syntax.
    entries = [examples.member(f's-{n}"{{[\\\n', 1000 + n) for n in range(members)]
    return examples.listing(*entries, revision=revision, complete=False)


def feed_in_chunks(raw: bytes, size: int) -> list[Any]:
    """The outputs for these bytes in chunks of this size; lists are represented by their revisions."""
    framing = ListFraming()
    outputs: list[Any] = []
    for at in range(0, len(raw), size):
        outputs += framing.feed(raw[at : at + size])
    return [output.revision if isinstance(output, Listing) else output for output in outputs]


def revisions(raw: bytes, size: int) -> list[int]:
    return [output for output in feed_in_chunks(raw, size) if isinstance(output, int)]


@pytest.mark.parametrize("size", [1, 7, 1000, 10**9])
@pytest.mark.parametrize("separator", [b"", b"\n", b"\r\n", b"\n\n \t\n"])
@pytest.mark.parametrize("layout", LAYOUTS, ids=range(len(LAYOUTS)))
def test_lists_are_complete_in_any_formatting_and_chunking(
    layout: dict[str, Any], separator: bytes, size: int
) -> None:
    raw = separator.join(json.dumps(list_message(n), **layout).encode() for n in range(1, 5)) + separator
    output = feed_in_chunks(raw, size)
    assert [s for s in output if s is not ALIVE] == [1, 2, 3, 4]


INVALID = [
    b"{nonsense",
    b"what is this",
    b"}}]]",
    b'{"revision": 5, "members": [{"id": "s-',
    b'{"revision": 5, "complete": false, "members": [',
    b'{"revision": 5, "complete": false,',
    b'{"revision": 5, "members": [ }',
    b'{"revision": "five", "complete": false, "members": []}',
    b"[" * 1000,
    b'{"a":' * 1000,
    b"\xff\xfe\x00",
    json.dumps(list_message(5), indent=2).encode()[:-40],
    json.dumps(list_message(5), indent=0).encode()[:-40],
    json.dumps(list_message(5), indent=2).replace('"complete"', "complete").encode(),
]


@pytest.mark.parametrize("size", [1, 50, 10**9])
@pytest.mark.parametrize("layout", LAYOUTS, ids=range(len(LAYOUTS)))
@pytest.mark.parametrize("invalid", INVALID, ids=range(len(INVALID)))
def test_an_invalid_value_is_reported_once_and_other_lists_are_complete(
    invalid: bytes, layout: dict[str, Any], size: int
) -> None:
    """The list after the invalid value is output with its own last byte; it needs no further bytes."""
    raw = (
        b"%b\n%b\n" % (json.dumps(list_message(1)).encode(), invalid)
        + json.dumps(list_message(2), **layout).encode()
    )
    output = [s for s in feed_in_chunks(raw, size) if s is not ALIVE]
    assert [s for s in output if isinstance(s, int)] == [1, 2]
    assert len([s for s in output if isinstance(s, ListingError)]) == 1


def test_only_an_empty_line_between_values_is_a_sign_of_life() -> None:
    assert feed_in_chunks(b"\n\r\n", 1) == [ALIVE, ALIVE]
    assert feed_in_chunks(b"   ", 1) == []
    assert feed_in_chunks(b'{"revision": 5,\n\n\n\n', 1) == []
    assert not [output for output in feed_in_chunks(b"noise\nnoise\n", 1) if output is ALIVE]


@given(
    st.lists(st.binary(max_size=40) | st.sampled_from([b"\n", b"{", b'"', *INVALID]), max_size=12),
    st.integers(1, 60),
)
def test_lists_after_arbitrary_bytes_are_parsed(chunks: list[bytes], size: int) -> None:
    """The second list after arbitrary bytes is always parsed; the first may end an open string."""
    raw = b"".join(chunks) + b"\n" + b"".join(json.dumps(list_message(n)).encode() + b"\n" for n in (1, 2))
    assert revisions(raw, size)[-1:] == [2]


def test_memory_is_bounded_and_cost_is_linear_in_the_input() -> None:
    """Guards against a value that never ends, and against a scan of the whole buffer for each chunk."""
    framing = ListFraming()
    rng = random.Random(1)
    began_s = time.process_time()
    for chunk in (
        b"{\n" * 3_000,
        b'{"a":[\n' * 800,
        b'"' + b"x" * 60_000,
        b"{" + b"x" * 60_000,
        b"{}\n" * 900,
    ):
        for _ in range(20):
            list(framing.feed(chunk[: rng.randrange(len(chunk))]))
            assert len(framing._buffer) <= MAX_VALUE_BYTES + len(chunk)
    long_list = json.dumps(list_message(9, members=5000), indent=0).encode()
    second_framing = ListFraming()
    outputs = [
        output
        for at in range(0, len(long_list), 9000)
        for output in second_framing.feed(long_list[at : at + 9000])
    ]
    assert [output.revision for output in outputs if isinstance(output, Listing)] == [9]
    assert time.process_time() - began_s < 20.0  # it usually takes one second
