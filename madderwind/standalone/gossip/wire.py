"""Wire format of the gossip messages: datagrams of at most 256 bytes with a version and a checksum.

A datagram consists of a header and items. The header holds the sender, its incarnation, the number of the
datagram and its purpose. The checksum at the end of the header covers the rest of the datagram and the name
of the fleet, so that damaged messages and those of another fleet are rejected before their items are parsed.
Items of an unknown kind are skipped by their size, since a later version may add kinds. A datagram with
another header version is rejected.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from enum import IntEnum

import msgspec

MAGIC, VERSION = b"mdwg", 1
MAX_DATAGRAM_BYTES = 256
# Magic, version, purpose, sender, its incarnation, datagram number, the copy it is about, checksum.
_HEADER = struct.Struct("<4sBBHIIHI")
# Kind, payload size, the copy it is about, incarnation of that copy, version.
_ITEM = struct.Struct("<BBHII")
_CHECKSUM = struct.Struct("<I")
ITEM_SPACE = MAX_DATAGRAM_BYTES - _HEADER.size
NO_MEMBER = 0xFFFF
MAX_COPIES = NO_MEMBER


class Purpose(IntEnum):
    """The purpose of a datagram; a datagram of any purpose may carry items."""

    NEWS = 0
    PING = 1
    ANSWER = 2  # the copy that it is about is alive
    ASK = 3  # a request to ping the copy that it is about on behalf of the sender
    SILENT = 4  # the copy that it is about has not answered the pings of the sender
    SYNC = 5  # the sender has just started and requests the known state


class Kind(IntEnum):
    """The kind of an item: the liveness of a copy, its last published state, or an event that it observed."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    STATE = 16
    EVENT = 17
    VIEW = 18  # like a state, but urgent: the newest of each copy applies
    SHARED = 19  # a register without an owner: the newest of each key (the first payload bytes) applies


class Item(msgspec.Struct, frozen=True):
    """One item of a datagram.

    `life` is the incarnation of the copy that the item is about. `version` is the version that the owner
    gave to a state, an event or a view; in a suspicion it is the number of the accuser. In a shared
    register the two together are its order.
    """

    kind: int
    about: int
    life: int
    version: int
    payload: bytes = b""

    @property
    def size(self) -> int:
        return _ITEM.size + len(self.payload)


class Datagram(msgspec.Struct, frozen=True):
    purpose: Purpose
    speaker: int
    life: int
    number: int
    about: int
    items: tuple[Item, ...] = ()


class BadMessage(ValueError):
    """A message that cannot be decoded; the text is one of a few reasons, used as a counter name."""


def seed_of(fleet: str) -> int:
    """The initial checksum value of the messages of a fleet."""
    return zlib.crc32(fleet.encode())


def write(datagram: Datagram, seed: int) -> bytes:
    """Encode a datagram. Raises ValueError if the items do not fit."""
    header = _HEADER.pack(
        MAGIC, VERSION, datagram.purpose, datagram.speaker, datagram.life, datagram.number, datagram.about, 0
    )
    parts = [header[: -_CHECKSUM.size], b""]
    for item in datagram.items:
        parts += (_ITEM.pack(item.kind, len(item.payload), item.about, item.life, item.version), item.payload)
    total = sum(map(len, parts)) + _CHECKSUM.size
    if total > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram has {total} bytes, the maximum is {MAX_DATAGRAM_BYTES}")
    parts[1] = _CHECKSUM.pack(zlib.crc32(b"".join(parts), seed))
    return b"".join(parts)


def read(data: bytes, seed: int) -> Datagram:
    """Decode a datagram. Raises BadMessage with the reason short, long, foreign, version or damaged."""
    if len(data) < _HEADER.size:
        raise BadMessage("short")
    if len(data) > MAX_DATAGRAM_BYTES:
        raise BadMessage("long")
    magic, version, purpose, speaker, life, number, about, checksum = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise BadMessage("foreign")
    if version != VERSION:
        raise BadMessage("version")
    offset = _HEADER.size
    if zlib.crc32(data[: offset - _CHECKSUM.size] + data[offset:], seed) != checksum:
        raise BadMessage("damaged")
    try:
        return Datagram(Purpose(purpose), speaker, life, number, about, tuple(_items(data, offset)))
    except (ValueError, struct.error):
        raise BadMessage("damaged") from None


def _items(data: bytes, offset: int) -> Iterable[Item]:
    known = frozenset(Kind)
    while offset < len(data):
        kind, size, about, life, version = _ITEM.unpack_from(data, offset)
        offset += _ITEM.size
        payload = data[offset : offset + size]
        offset += size
        if len(payload) < size:
            raise ValueError("item payload is truncated")
        if kind in known:
            yield Item(kind, about, life, version, payload)


class SequenceWindow:
    """Detects repeated sequence numbers with a window of the last 64.

    Numbers older than the window count as repeated.
    """

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        self._highest, self._bits = -1, 0

    def accept(self, number: int) -> bool:
        """Whether this number is new; records it as received."""
        ahead = number - self._highest
        if ahead > 0:
            self._bits = (self._bits << min(ahead, 64) | 1) & (1 << 64) - 1
            self._highest = number
            return True
        if ahead <= -64 or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
