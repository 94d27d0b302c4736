"""Frame codec of the simulator's protocol: decodes events and encodes actions.

Offsets in error messages are relative to the first byte of the frame's records.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

from madderwind.standalone.policy.api import (
    Action,
    AnswerBegan,
    AttemptEnded,
    Cancel,
    ClientLeft,
    CloseIdle,
    Event,
    Fail,
    FetchList,
    FleetListed,
    ListFailed,
    ListKind,
    Log,
    Outcome,
    PeerSpoke,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Subscribe,
    TellPeers,
    TimerFired,
    UpstreamEntry,
    UpstreamState,
)

BATCH_HEADER = struct.Struct("<IIId")
REPLY_HEADER = struct.Struct("<III")
CLOCK_SIZE = 8  # the clock follows the batch's size field and is included in the size
MAX_TEXT_BYTES = 0xFFFF
ALL_PEERS = 0xFFFFFFFF

OUTCOMES = (
    Outcome.ERROR,
    Outcome.OK,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)
STATES = (UpstreamState.GONE, UpstreamState.READY, UpstreamState.DRAINING)
LIST_KINDS = (ListKind.CHANGES, ListKind.WHOLE, ListKind.CACHED)
LIST_FAILED = 3
FLAG_HINT, FLAG_REPEAT, FLAG_WRITE = 1, 2, 4

U32 = struct.Struct("<I")
START = struct.Struct("<QI")
CENSUS = struct.Struct("<II")
ENTRY = struct.Struct("<IHBHBfd")
TOPOLOGY = struct.Struct("<BQI")
INCOMING = struct.Struct("<IBIQddB")
SETTLED = struct.Struct("<IBHHIdB")
FIRST_BYTE = struct.Struct("<IHId")
STATUS_BACK = struct.Struct("<HdIB")
PEER_DATA = struct.Struct("<IH")
FLOATS = tuple(struct.Struct(f"<{length}f") for length in range(256))

OUT_INSTANCE = struct.Struct("<BI")
OUT_SEND = struct.Struct("<BIId")
OUT_CANCEL = struct.Struct("<BIH")
OUT_ID = struct.Struct("<BI")
OUT_REFUSE = struct.Struct("<BId")
OUT_TIMER = struct.Struct("<BdI")
OUT_TEXT = struct.Struct("<BH")
OUT_PEER_MESSAGE = struct.Struct("<BIH")


class WireError(ValueError):
    """A frame that violates the protocol."""


@dataclass(frozen=True)
class InstanceStarted:
    """START: a new instance with this seed and these settings."""

    seed: int
    setup: bytes


@dataclass(frozen=True)
class InstanceKilled:
    """CRASH_NOW: the instance and its state are discarded."""


Item = InstanceStarted | InstanceKilled | Event


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes; fewer only at the end of the input."""
    parts = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> tuple[int, int, float, bytes] | None:
    """Read the next batch: number, record count, clock and records; None at the end of the input."""
    header = read_exactly(stream, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(
            f"input ended inside a batch header, after {len(header)} of {BATCH_HEADER.size} bytes"
        )
    number, count, size, clock_ms = BATCH_HEADER.unpack(header)
    if size < CLOCK_SIZE:
        raise WireError(f"batch {number}: size {size} leaves no room for the clock")
    body = read_exactly(stream, size - CLOCK_SIZE)
    if len(body) < size - CLOCK_SIZE:
        raise WireError(f"batch {number}: input ended after {len(body)} of {size - CLOCK_SIZE} bytes")
    return number, count, clock_ms, body


class BatchReader:
    """Decodes the records of batches. Keeps the numbered lists of upstreams for later batches."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[UpstreamEntry, ...]] = {}

    def items(self, number: int, count: int, body: bytes) -> Iterator[tuple[int, Item]]:
        """Decode the events of a batch, each with its target instance, in order."""
        offset = 0
        instance: int | None = None
        for index in range(count):
            if offset >= len(body):
                raise WireError(f"batch {number}: record {index} of {count} is missing")
            code, record_offset = body[offset], offset
            try:
                if code == 4:
                    (instance,) = U32.unpack_from(body, offset + 1)
                    offset += 5
                    continue
                if code == 7:
                    offset = self._read_list(body, offset)
                    continue
                item, offset = self._read_event(code, body, offset)
            except struct.error:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) at byte {record_offset} is cut short"
                ) from None
            except WireError as error:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) at byte {record_offset}: {error}"
                ) from None
            if instance is None:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) comes before any TARGET_INSTANCE"
                )
            yield instance, item
        if offset != len(body):
            raise WireError(f"batch {number}: {len(body) - offset} bytes are left after the last record")

    def _read_list(self, body: bytes, offset: int) -> int:
        slot, entries = CENSUS.unpack_from(body, offset + 1)
        offset += 1 + CENSUS.size
        members = []
        for _ in range(entries):
            upstream, zone, kind, cell, state, rating, started_ms = ENTRY.unpack_from(body, offset)
            offset += ENTRY.size
            if state >= len(STATES):
                raise WireError(f"unknown state {state} of upstream {upstream}")
            members.append(UpstreamEntry(upstream, zone, kind, cell, STATES[state], rating, started_ms))
        self._lists[slot] = tuple(members)
        return offset

    def _read_event(self, code: int, body: bytes, offset: int) -> tuple[Item, int]:
        offset += 1
        if code == 3:
            request, is_over, attempt, outcome, upstream, elapsed_ms, length = SETTLED.unpack_from(
                body, offset
            )
            offset += SETTLED.size
            report = FLOATS[length].unpack_from(body, offset)
            return (
                AttemptEnded(request, is_over != 0, attempt, _outcome(outcome), upstream, elapsed_ms, report),
                offset + 4 * length,
            )
        if code == 1:
            request, request_class, tenant, key, deadline_ms, hint_ms, flags = INCOMING.unpack_from(
                body, offset
            )
            return (
                RequestArrived(
                    request,
                    request_class,
                    tenant,
                    key,
                    deadline_ms,
                    hint_ms if flags & FLAG_HINT else None,
                    bool(flags & FLAG_REPEAT),
                    bool(flags & FLAG_WRITE),
                ),
                offset + INCOMING.size,
            )
        if code == 6:
            return TimerFired(*U32.unpack_from(body, offset)), offset + U32.size
        if code == 11:
            return ClientLeft(*U32.unpack_from(body, offset)), offset + U32.size
        if code == 12:
            return AnswerBegan(*FIRST_BYTE.unpack_from(body, offset)), offset + FIRST_BYTE.size
        if code == 2:
            mode, version, slot = TOPOLOGY.unpack_from(body, offset)
            offset += TOPOLOGY.size
            if mode == LIST_FAILED:
                return ListFailed(), offset
            if mode > LIST_FAILED:
                raise WireError(f"unknown list mode {mode}")
            if slot not in self._lists:
                raise WireError(f"list {slot} was never sent")
            return FleetListed(LIST_KINDS[mode], version, self._lists[slot]), offset
        if code == 9:
            outcome, elapsed_ms, upstream, length = STATUS_BACK.unpack_from(body, offset)
            offset += STATUS_BACK.size
            return ProbeEnded(
                _outcome(outcome), elapsed_ms, upstream, FLOATS[length].unpack_from(body, offset)
            ), offset + 4 * length
        if code == 10:
            peer, length = PEER_DATA.unpack_from(body, offset)
            offset += PEER_DATA.size
            return PeerSpoke(peer, _bytes(body, offset, length)), offset + length
        if code == 8:
            seed, length = START.unpack_from(body, offset)
            offset += START.size
            return InstanceStarted(seed, _bytes(body, offset, length)), offset + length
        if code == 5:
            return InstanceKilled(), offset
        raise WireError("unknown event code")


def _bytes(body: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(body):
        raise WireError(f"{size} bytes announced, {len(body) - offset} are left")
    return body[offset : offset + size]


def _outcome(code: int) -> Outcome:
    if code >= len(OUTCOMES):
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


class ReplyWriter:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._instance: int | None = None

    def add(self, instance: int, action: Action) -> None:
        self._set_instance(instance)
        self._parts.append(encode(action))

    def panic(self, instance: int, text: str) -> None:
        """Report that the decision code of this instance failed with this message."""
        self._set_instance(instance)
        self._parts.append(_text(4, text))

    def frame(self, number: int) -> bytes:
        body = b"".join(self._parts)
        return REPLY_HEADER.pack(number, len(self._parts), len(body)) + body

    def _set_instance(self, instance: int) -> None:
        if instance != self._instance:
            self._instance = instance
            self._parts.append(OUT_INSTANCE.pack(13, instance))


def _text(code: int, text: str) -> bytes:
    encoded = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return OUT_TEXT.pack(code, len(encoded)) + encoded


def encode(action: Action) -> bytes:
    """Encode one action record, without the record that sets its instance."""
    match action:
        case Send(request, upstream, not_past_ms):
            return OUT_SEND.pack(5, request, upstream, not_past_ms)
        case SetTimer(after_ms, token):
            return OUT_TIMER.pack(11, after_ms, token)
        case Refuse(request, retry_after_ms):
            return OUT_REFUSE.pack(12, request, retry_after_ms)
        case Fail(request):
            return OUT_ID.pack(7, request)
        case Cancel(request, attempt):
            return OUT_CANCEL.pack(2, request, attempt)
        case Probe(upstream):
            return OUT_ID.pack(3, upstream)
        case Subscribe(on):
            return bytes((1, 1 if on else 0))
        case FetchList():
            return b"\x09"
        case CloseIdle(upstream):
            return OUT_ID.pack(10, upstream)
        case TellPeers(peer, message):
            return OUT_PEER_MESSAGE.pack(8, ALL_PEERS if peer is None else peer, len(message)) + message
        case Log(text):
            return _text(6, text)
    raise TypeError(f"no wire record for {type(action).__name__}")
