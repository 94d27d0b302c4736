"""Tests of MessagePack with integers beyond 64 bits: round trips, unchanged bytes, and invalid data."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.errors import MessageError
from madderwind.messages.message_pack import (
    INTEGER_EXTENSION,
    MAX_INTEGER_BYTES,
    MAX_INTEGER_DIGITS,
    MessagePack,
)


class Inner(msgspec.Struct, frozen=True, array_like=True, tag="Inner"):
    number: int
    body: bytes


class Outer(msgspec.Struct, frozen=True, array_like=True, tag="Outer"):
    number: int
    numbers: tuple[int, ...]
    pairs: tuple[tuple[int, bytes] | bytes, ...]
    counts: dict[str, int]
    inner: Inner | None
    share: float = 0.5


message_pack: MessagePack[Outer | Inner] = MessagePack(Outer | Inner)

BOUNDARIES = [
    sign * ((1 << bits) + offset) for bits in (31, 53, 63, 64) for offset in (-1, 0, 1) for sign in (1, -1)
]
LARGEST = 10**MAX_INTEGER_DIGITS - 1
integers = st.integers() | st.integers(-LARGEST, LARGEST) | st.sampled_from([*BOUNDARIES, LARGEST, -LARGEST])
inner_messages = st.builds(Inner, integers, st.binary(max_size=9))
outer_messages = st.builds(
    Outer,
    integers,
    st.lists(integers, max_size=3).map(tuple),
    st.lists(st.tuples(integers, st.binary(max_size=9)) | st.binary(max_size=9), max_size=3).map(tuple),
    st.dictionaries(st.text(max_size=3), integers, max_size=2),
    st.none() | inner_messages,
)


@given(inner_messages | outer_messages)
def test_a_message_with_integers_of_any_size_is_decoded_as_it_was(message: Outer | Inner) -> None:
    assert message_pack.decode(message_pack.encode(message)) == message


@given(st.integers(-(1 << 63), (1 << 64) - 1))
def test_integers_of_64_bits_keep_their_bytes(number: int) -> None:
    message = Inner(number, b"body")
    assert message_pack.encode(message) == msgspec.msgpack.encode(message)


@pytest.mark.parametrize(
    "extension",
    [
        msgspec.msgpack.Ext(INTEGER_EXTENSION + 1, b"\x01" * 9),
        msgspec.msgpack.Ext(INTEGER_EXTENSION, b"\x01" * (MAX_INTEGER_BYTES + 1)),
    ],
    ids=["unknown extension", "too long"],
)
def test_other_extensions_raise_message_error(extension: msgspec.msgpack.Ext) -> None:
    with pytest.raises(MessageError, match="extension"):
        message_pack.decode(msgspec.msgpack.encode(["Inner", extension, b""]))


def test_an_extension_in_the_place_of_another_type_raises_message_error() -> None:
    extension = msgspec.msgpack.Ext(INTEGER_EXTENSION, b"\x01" * 9)
    with pytest.raises(MessageError, match="bytes"):
        message_pack.decode(msgspec.msgpack.encode(["Inner", 1, extension]))


def test_an_integer_beyond_the_maximum_raises_message_error() -> None:
    with pytest.raises(MessageError, match="exceeds the maximum"):
        message_pack.encode(Inner(1 << (8 * MAX_INTEGER_BYTES), b""))


def test_text_that_is_not_unicode_raises_message_error() -> None:
    with pytest.raises(MessageError, match="Outer holds text that is not Unicode"):
        message_pack.encode(Outer(1, (), (), {"\udcff": 1}, None))
