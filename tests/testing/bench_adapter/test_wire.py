"""The codec against the byte examples of the protocol description, and with malformed frames."""

from __future__ import annotations

import io
import struct

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import ListKind, Outcome, UpstreamState
from madderwind.testing.bench_adapter.wire import (
    BatchReader,
    InstanceKilled,
    InstanceStarted,
    ReplyWriter,
    WireError,
    encode,
    read_batch,
)


def from_hex(text: str) -> bytes:
    return bytes.fromhex(text.replace("\n", ""))


def decode_single_event(text: str) -> object:
    """Decode records that contain a single event."""
    body = from_hex("04 03000000" + text)
    items = list(BatchReader().items(1, 2, body))
    assert len(items) == 1 and items[0][0] == 3
    return items[0][1]


EMPTY = "01000000 00000000 08000000 00000000206ec040"
TWO_INSTANCES = """0c000000 05000000 3f000000 00000000206ec040 04 03000000
01 c4913a5d 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 01
06 4d000000 04 05000000 0b 192b6f0e"""


def test_an_empty_batch_and_its_reply() -> None:
    assert read_batch(io.BytesIO(from_hex(EMPTY))) == (1, 0, 8412.25, b"")
    assert ReplyWriter().frame(1) == from_hex("01000000 00000000 00000000")


def test_a_batch_for_two_instances() -> None:
    batch = read_batch(io.BytesIO(from_hex(TWO_INSTANCES)))
    assert batch is not None
    number, count, clock_ms, body = batch
    assert (number, clock_ms) == (12, 8412.25)
    arrived = api.RequestArrived(0x5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 8412.25 + 240.0, 12.0, False, False)
    assert list(BatchReader().items(number, count, body)) == [
        (3, arrived),
        (3, api.TimerFired(77)),
        (5, api.ClientLeft(0x0E6F2B19)),
    ]


def test_the_reply_for_two_instances() -> None:
    reply = ReplyWriter()
    reply.add(3, api.Send(0x5D3A91C4, 0x03124A07, 8492.25 - 0.0 + 0.0))
    reply.add(3, api.SetTimer(500.0, 77))
    reply.add(5, api.Log("two servers known"))
    assert reply.frame(12) == from_hex(
        """0c000000 05000000 3c000000 0d 03000000
        05 c4913a5d 074a1203 000000002096c040 0b 0000000000407f40 4d000000
        0d 05000000 06 1100 74776f2073657276657273206b6e6f776e""".replace(" ", "")
    )


@pytest.mark.parametrize(
    ("text", "event"),
    [
        ("05", InstanceKilled()),
        ("0c c4913a5d 0000 074a1203 0000000000802240", api.AnswerBegan(0x5D3A91C4, 0, 0x03124A07, 9.25)),
        (
            "03 c4913a5d 01 0000 0100 074a1203 0000000000803240 02 0000003f0000e040",
            api.AttemptEnded(0x5D3A91C4, True, 0, Outcome.OK, 0x03124A07, 18.5, (0.5, 7.0)),
        ),
        ("0b 192b6f0e", api.ClientLeft(0x0E6F2B19)),
        ("06 4d000000", api.TimerFired(77)),
        (
            "09 0100 666666666666f63f f211902c 02 0000003f0000e040",
            api.ProbeEnded(Outcome.OK, 1.4, 0x2C9011F2, (0.5, 7.0)),
        ),
        ("0a 02000000 0400 68692037", api.PeerSpoke(2, b"hi 7")),
        ("08 0700000000000000 03000000 613d62", InstanceStarted(7, b"a=b")),
        ("02 03 2900000000000000 00000000", api.ListFailed()),
    ],
)
def test_events(text: str, event: object) -> None:
    assert decode_single_event(text) == event


def test_a_list_of_upstreams_can_be_replaced_within_a_batch() -> None:
    listed = """07 00000000 02000000
        074a1203 0000 00 0000 01 0000803f 0000000000000000
        f211902c 0000 00 0000 01 0000c03f 0000000000d4b740"""
    topology = "02 02 2900000000000000 00000000"
    changed_list = "07 00000000 01000000 074a1203 0100 02 0300 02 0000803f 0000000000000000"
    body = from_hex("04 03000000" + listed + topology + changed_list + topology)
    (_, first), (_, second) = BatchReader().items(1, 5, body)
    assert first == api.FleetListed(
        ListKind.CACHED,
        41,
        (
            api.UpstreamEntry(0x03124A07, 0, 0, 0, UpstreamState.READY, 1.0, 0.0),
            api.UpstreamEntry(0x2C9011F2, 0, 0, 0, UpstreamState.READY, 1.5, 6100.0),
        ),
    )
    assert isinstance(second, api.FleetListed)
    assert second.entries == (api.UpstreamEntry(0x03124A07, 1, 2, 3, UpstreamState.DRAINING, 1.0, 0.0),)


def test_a_list_is_available_in_later_batches() -> None:
    reader = BatchReader()
    listed = from_hex("07 04000000 01000000 074a1203 0000 00 0000 01 0000803f 0000000000000000")
    assert list(reader.items(1, 1, listed)) == []
    ((_, event),) = reader.items(2, 2, from_hex("04 03000000 02 00 0100000000000000 04000000"))
    assert isinstance(event, api.FleetListed) and event.kind is ListKind.CHANGES and len(event.entries) == 1


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (api.Subscribe(True), "01 01"),
        (api.Subscribe(False), "01 00"),
        (api.FetchList(), "09"),
        (api.Cancel(0x5D3A91C4, 0), "02 c4913a5d 0000"),
        (api.Refuse(0x0E6F2B19, 250.0), "0c 192b6f0e 0000000000406f40"),
        (api.Fail(0x0E6F2B19), "07 192b6f0e"),
        (api.Probe(0x2C9011F2), "03 f211902c"),
        (api.CloseIdle(0x2C9011F2), "0a f211902c"),
        (api.TellPeers(None, b"hi 7"), "08 ffffffff 0400 68692037"),
        (api.Log("two servers known"), "06 1100 74776f2073657276657273206b6e6f776e"),
    ],
)
def test_actions(action: api.Action, text: str) -> None:
    assert encode(action) == from_hex(text)


def test_a_panic_contains_its_message() -> None:
    reply = ReplyWriter()
    reply.panic(3, "index out of range")
    assert reply.frame(1)[17:] == from_hex("04 1200 696e646578206f7574206f662072616e6765")


@pytest.mark.parametrize(
    ("records", "count", "message"),
    [
        ("04 03000000 63", 2, "code 99.*unknown event code"),
        ("04 03000000 06 4d00", 2, "cut short"),
        ("06 4d000000", 1, "before any TARGET_INSTANCE"),
        ("04 03000000", 2, "record 1 of 2 is missing"),
        ("04 03000000 06 4d000000 00", 2, "1 bytes are left"),
        ("04 03000000 02 00 0100000000000000 09000000", 2, "list 9 was never sent"),
        ("04 03000000 02 07 0100000000000000 00000000", 2, "unknown list mode 7"),
        ("04 03000000 03 c4913a5d 01 0000 0900 074a1203 0000000000803240 00", 2, "unknown outcome 9"),
        ("04 03000000 08 0700000000000000 09000000 613d62", 2, "9 bytes announced, 3 are left"),
        ("07 00000000 01000000 074a1203 0000 00 0000 05 0000803f 0000000000000000", 1, "unknown state 5"),
        ("07 00000000 02000000 074a1203 0000 00 0000 01 0000803f 0000000000000000", 1, "cut short"),
    ],
)
def test_malformed_records_are_rejected_with_their_fault(records: str, count: int, message: str) -> None:
    with pytest.raises(WireError, match=message):
        list(BatchReader().items(8, count, from_hex(records)))


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (from_hex(EMPTY)[:9], "inside a batch header"),
        (from_hex(TWO_INSTANCES)[:-1], "input ended after"),
        (struct.pack("<IIId", 3, 0, 4, 0.0), "no room for the clock"),
    ],
)
def test_an_incomplete_frame_is_rejected_with_its_fault(frame: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        read_batch(io.BytesIO(frame))
