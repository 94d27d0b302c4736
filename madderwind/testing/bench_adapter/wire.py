"""Frame codec of the simulator's wire: bytes to events and actions to bytes.

Offsets in error messages count from the first byte of the frame's records.
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
SIZE_COUNTS_CLOCK = 8  # the batch's size field covers the clock that follows it
LONGEST_TEXT = 0xFFFF
EVERY_PEER = 0xFFFFFFFF

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
BIT_HINT, BIT_REPEAT, BIT_WRITE = 1, 2, 4

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
FLOATS = tuple(struct.Struct(f"<{n}f") for n in range(256))

OUT_SPEAKING = struct.Struct("<BI")
OUT_SEND = struct.Struct("<BIId")
OUT_CANCEL = struct.Struct("<BIH")
OUT_ID = struct.Struct("<BI")
OUT_REFUSE = struct.Struct("<BId")
OUT_TIMER = struct.Struct("<BdI")
OUT_TEXT = struct.Struct("<BH")
OUT_TELL = struct.Struct("<BIH")


class WireError(ValueError):
    """A frame that the wire's description does not allow."""


@dataclass(frozen=True)
class InstanceStarted:
    """START: a new copy with this seed and these settings."""

    seed: int
    setup: bytes


@dataclass(frozen=True)
class InstanceKilled:
    """CRASH_NOW: the copy and all that it held are gone."""


Item = InstanceStarted | InstanceKilled | Event


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Up to `size` bytes; fewer only where the input ended."""
    parts = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> tuple[int, int, float, bytes] | None:
    """Batch number, record count, clock and records of the next batch; None at a clean end of input."""
    header = read_exactly(stream, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(
            f"input ended inside a batch header, after {len(header)} of {BATCH_HEADER.size} bytes"
        )
    number, count, size, clock_ms = BATCH_HEADER.unpack(header)
    if size < SIZE_COUNTS_CLOCK:
        raise WireError(f"batch {number}: size {size} leaves no room for the clock")
    body = read_exactly(stream, size - SIZE_COUNTS_CLOCK)
    if len(body) < size - SIZE_COUNTS_CLOCK:
        raise WireError(f"batch {number}: input ended after {len(body)} of {size - SIZE_COUNTS_CLOCK} bytes")
    return number, count, clock_ms, body


class BatchReader:
    """Decodes the records of batches. The numbered lists of upstreams live here: they outlive a batch."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[UpstreamEntry, ...]] = {}

    def items(self, number: int, count: int, body: bytes) -> Iterator[tuple[int, Item]]:
        """Each event with the instance it is for, in order."""
        at = 0
        instance: int | None = None
        for index in range(count):
            if at >= len(body):
                raise WireError(f"batch {number}: record {index} of {count} is missing")
            code, start = body[at], at
            try:
                if code == 4:
                    (instance,) = U32.unpack_from(body, at + 1)
                    at += 5
                    continue
                if code == 7:
                    at = self._read_list(body, at)
                    continue
                item, at = self._read_event(code, body, at)
            except struct.error:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) at byte {start} is cut short"
                ) from None
            except WireError as error:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) at byte {start}: {error}"
                ) from None
            if instance is None:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) comes before any TARGET_INSTANCE"
                )
            yield instance, item
        if at != len(body):
            raise WireError(f"batch {number}: {len(body) - at} bytes are left after the last record")

    def _read_list(self, body: bytes, at: int) -> int:
        slot, entries = CENSUS.unpack_from(body, at + 1)
        at += 1 + CENSUS.size
        members = []
        for _ in range(entries):
            upstream, zone, kind, cell, state, rating, started_ms = ENTRY.unpack_from(body, at)
            at += ENTRY.size
            if state >= len(STATES):
                raise WireError(f"unknown state {state} of upstream {upstream}")
            members.append(UpstreamEntry(upstream, zone, kind, cell, STATES[state], rating, started_ms))
        self._lists[slot] = tuple(members)
        return at

    def _read_event(self, code: int, body: bytes, at: int) -> tuple[Item, int]:
        at += 1
        if code == 3:
            request, over, attempt, outcome, upstream, elapsed_ms, n = SETTLED.unpack_from(body, at)
            at += SETTLED.size
            report = FLOATS[n].unpack_from(body, at)
            return (
                AttemptEnded(request, over != 0, attempt, _outcome(outcome), upstream, elapsed_ms, report),
                at + 4 * n,
            )
        if code == 1:
            request, klass, tenant, key, deadline_ms, hint_ms, bits = INCOMING.unpack_from(body, at)
            return (
                RequestArrived(
                    request,
                    klass,
                    tenant,
                    key,
                    deadline_ms,
                    hint_ms if bits & BIT_HINT else None,
                    bool(bits & BIT_REPEAT),
                    bool(bits & BIT_WRITE),
                ),
                at + INCOMING.size,
            )
        if code == 6:
            return TimerFired(*U32.unpack_from(body, at)), at + U32.size
        if code == 11:
            return ClientLeft(*U32.unpack_from(body, at)), at + U32.size
        if code == 12:
            return AnswerBegan(*FIRST_BYTE.unpack_from(body, at)), at + FIRST_BYTE.size
        if code == 2:
            mode, version, slot = TOPOLOGY.unpack_from(body, at)
            at += TOPOLOGY.size
            if mode == LIST_FAILED:
                return ListFailed(), at
            if mode > LIST_FAILED:
                raise WireError(f"unknown list mode {mode}")
            if slot not in self._lists:
                raise WireError(f"list {slot} was never sent")
            return FleetListed(LIST_KINDS[mode], version, self._lists[slot]), at
        if code == 9:
            outcome, elapsed_ms, upstream, n = STATUS_BACK.unpack_from(body, at)
            at += STATUS_BACK.size
            return ProbeEnded(
                _outcome(outcome), elapsed_ms, upstream, FLOATS[n].unpack_from(body, at)
            ), at + 4 * n
        if code == 10:
            peer, n = PEER_DATA.unpack_from(body, at)
            at += PEER_DATA.size
            return PeerSpoke(peer, _bytes(body, at, n)), at + n
        if code == 8:
            seed, n = START.unpack_from(body, at)
            at += START.size
            return InstanceStarted(seed, _bytes(body, at, n)), at + n
        if code == 5:
            return InstanceKilled(), at
        raise WireError("unknown event code")


def _bytes(body: bytes, at: int, size: int) -> bytes:
    if at + size > len(body):
        raise WireError(f"{size} bytes announced, {len(body) - at} are left")
    return body[at : at + size]


def _outcome(code: int) -> Outcome:
    if code >= len(OUTCOMES):
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


class ReplyWriter:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._speaking: int | None = None

    def add(self, instance: int, action: Action) -> None:
        self._speak(instance)
        self._parts.append(encode(action))

    def panic(self, instance: int, text: str) -> None:
        """The decision code of this instance has failed with this text."""
        self._speak(instance)
        self._parts.append(_text(4, text))

    def frame(self, number: int) -> bytes:
        body = b"".join(self._parts)
        return REPLY_HEADER.pack(number, len(self._parts), len(body)) + body

    def _speak(self, instance: int) -> None:
        if instance != self._speaking:
            self._speaking = instance
            self._parts.append(OUT_SPEAKING.pack(13, instance))


def _text(code: int, text: str) -> bytes:
    raw = text.encode("utf-8")[:LONGEST_TEXT]
    return OUT_TEXT.pack(code, len(raw)) + raw


def encode(action: Action) -> bytes:
    """One action record, without the record that names its instance."""
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
            return OUT_TELL.pack(8, EVERY_PEER if peer is None else peer, len(message)) + message
        case Log(text):
            return _text(6, text)
    raise TypeError(f"no wire record for {type(action).__name__}")
