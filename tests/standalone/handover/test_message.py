"""The encoded handover message, whole and damaged."""

from __future__ import annotations

import contextlib
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.handover.message import VERSION, Message, MessageError, read_message, write_message
from madderwind.standalone.policy.api import Known, UpstreamState
from madderwind.standalone.protocol.listing import read_listing
from madderwind.standalone.routing.directory import Directory, End, Memory
from tests import examples

LISTING = read_listing(json.dumps(examples.listing(examples.member("s-1", 5000))).encode())
MESSAGE = Message(
    LISTING,
    Memory({"s-2": End(7, UpstreamState.GONE, float("inf"))}, ["s-1", "s-2"], ["s-1"], {"s-2": 5.0}),
    quota=12.5,
    room=8.0,
    upstreams={"s-1": Known(0.0, 1.5, 2, 0, 1000.0)},
)
RAW = write_message(MESSAGE)


def test_a_message_round_trips() -> None:
    assert read_message(RAW) == MESSAGE


def test_another_version_is_rejected() -> None:
    raw = msgspec.msgpack.encode(msgspec.structs.replace(MESSAGE, version=VERSION + 1))
    with pytest.raises(MessageError, match="version"):
        read_message(raw)


def test_the_encoded_field_names_of_an_upstream_stay_the_same_between_versions() -> None:
    """Guards against a rename in the code that makes an upgrade lose the learned state."""
    written = msgspec.msgpack.decode(RAW)["upstreams"]["s-1"]
    assert written == {
        "started_ms": 0.0,
        "slowness": 1.5,
        "failures": 2,
        "refused": 0,
        "aside_until_ms": 1000.0,
    }


@given(st.integers(0, len(RAW) - 1), st.binary(max_size=30))
def test_a_damaged_message_is_decoded_or_rejected(at: int, noise: bytes) -> None:
    for raw in (RAW[:at], RAW[:at] + noise + RAW[at + len(noise) :], noise):
        with contextlib.suppress(MessageError):
            assert isinstance(read_message(raw), Message)


def test_a_directory_continues_from_the_memory_of_another() -> None:
    """Bans, ended upstreams, listed ids and an announced drain hold in the next process."""
    old, new = Directory((), ()), Directory((), ())
    members = [examples.member("s-1", 5000), examples.member("s-2", 5001), examples.member("s-3", 5002)]
    old.take(read_listing(json.dumps(examples.listing(*members, revision=41)).encode()))
    change = examples.listing(examples.member("s-2", 5001, "Terminating"), revision=43, complete=False)
    old.take(read_listing(json.dumps(change).encode()))
    old.suspend("s-1")
    new.recall(old.memory())
    event = new.take(old.listing(), cached=True)
    states = {new.name(entry.upstream): entry.state for entry in event.entries}
    assert states == {
        "s-1": UpstreamState.SUSPENDED,
        "s-2": UpstreamState.DRAINING,
        "s-3": UpstreamState.READY,
    }
    outdated = examples.listing(examples.member("s-2", 5001), revision=42, complete=False)
    (entry,) = new.take(read_listing(json.dumps(outdated).encode())).entries
    assert entry.state is UpstreamState.DRAINING
