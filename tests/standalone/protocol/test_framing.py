"""Lists cut out of a watch's bytes, however these are laid out and cut."""

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


def listed(revision: int, members: int = 2) -> dict[str, Any]:
    told = [examples.member(f's-{n}"{{[\\\n', 1000 + n) for n in range(members)]  # texts that look like more
    return examples.listing(*told, revision=revision, complete=False)


def fed(raw: bytes, size: int) -> list[Any]:
    """What comes out, lists by their revisions."""
    framing = ListFraming()
    out: list[Any] = []
    for at in range(0, len(raw), size):
        out += framing.feed(raw[at : at + size])
    return [said.revision if isinstance(said, Listing) else said for said in out]


def revisions(raw: bytes, size: int) -> list[int]:
    return [said for said in fed(raw, size) if isinstance(said, int)]


@pytest.mark.parametrize("size", [1, 7, 1000, 10**9])
@pytest.mark.parametrize("between", [b"", b"\n", b"\r\n", b"\n\n \t\n"])
@pytest.mark.parametrize("layout", LAYOUTS, ids=range(len(LAYOUTS)))
def test_lists_come_whole_in_any_layout(layout: dict[str, Any], between: bytes, size: int) -> None:
    raw = between.join(json.dumps(listed(n), **layout).encode() for n in range(1, 5)) + between
    said = fed(raw, size)
    assert [s for s in said if s is not ALIVE] == [1, 2, 3, 4]


SPOILT = [
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
    json.dumps(listed(5), indent=2).encode()[:-40],
    json.dumps(listed(5), indent=0).encode()[:-40],
    json.dumps(listed(5), indent=2).replace('"complete"', "complete").encode(),
]


@pytest.mark.parametrize("size", [1, 50, 10**9])
@pytest.mark.parametrize("layout", LAYOUTS, ids=range(len(LAYOUTS)))
@pytest.mark.parametrize("spoilt", SPOILT, ids=range(len(SPOILT)))
def test_a_spoilt_one_takes_no_other_along_and_is_said_once(
    spoilt: bytes, layout: dict[str, Any], size: int
) -> None:
    """Guards too against waiting for another: the list behind it comes out with its own last byte."""
    raw = b"%b\n%b\n" % (json.dumps(listed(1)).encode(), spoilt) + json.dumps(listed(2), **layout).encode()
    said = [s for s in fed(raw, size) if s is not ALIVE]
    assert [s for s in said if isinstance(s, int)] == [1, 2]
    assert len([s for s in said if isinstance(s, ListingError)]) == 1


def test_only_an_empty_line_with_nothing_under_way_says_that_discovery_lives() -> None:
    assert fed(b"\n\r\n", 1) == [ALIVE, ALIVE]
    assert fed(b"   ", 1) == []
    assert fed(b'{"revision": 5,\n\n\n\n', 1) == []
    assert not [said for said in fed(b"noise\nnoise\n", 1) if said is ALIVE]


@given(
    st.lists(st.binary(max_size=40) | st.sampled_from([b"\n", b"{", b'"', *SPOILT]), max_size=12),
    st.integers(1, 60),
)
def test_no_bytes_break_it(pieces: list[bytes], size: int) -> None:
    """Whatever came before, the second list after it is read: the first may end a text that was open."""
    raw = b"".join(pieces) + b"\n" + b"".join(json.dumps(listed(n)).encode() + b"\n" for n in (1, 2))
    assert revisions(raw, size)[-1:] == [2]


def test_it_holds_no_more_than_its_bound_and_costs_in_line_with_what_comes() -> None:
    """Guards against a stream that never ends its value, and against looking through all at every piece."""
    framing = ListFraming()
    chance = random.Random(1)
    began_s = time.process_time()
    for piece in (
        b"{\n" * 3_000,
        b'{"a":[\n' * 800,
        b'"' + b"x" * 60_000,
        b"{" + b"x" * 60_000,
        b"{}\n" * 900,
    ):
        for _ in range(20):
            list(framing.feed(piece[: chance.randrange(len(piece))]))
            assert len(framing._buffer) <= MAX_VALUE_BYTES + len(piece)
    many = json.dumps(listed(9, members=5000), indent=0).encode()
    whole = ListFraming()
    out = [said for at in range(0, len(many), 9000) for said in whole.feed(many[at : at + 9000])]
    assert [said.revision for said in out if isinstance(said, Listing)] == [9]
    assert time.process_time() - began_s < 20.0  # it takes a second
