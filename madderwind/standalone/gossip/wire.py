"""Messages between copies as bytes: a datagram of 256 bytes at most, which tells its version and is checked.

A datagram is a head and items. The head names who speaks, in which life, under which number, and what for;
the sum behind it covers all the rest and the fleet's name, so that damage and another fleet's messages are
told from ours without a look at what they hold. A kind of item that is not known is passed over by its size:
a later version may add some. Another version of the head is not read at all.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from enum import IntEnum

import msgspec

MAGIC, VERSION = b"mdwg", 1
LONGEST = 256
_HEAD = struct.Struct(
    "<4sBBHIIHI"
)  # magic, version, purpose, speaker, its life, number, whom it is about, sum
_ITEM = struct.Struct("<BBHII")  # kind, size of what follows, whom it is about, that one's life, version
_SUM = struct.Struct("<I")
ROOM = LONGEST - _HEAD.size  # for items
NOBODY = 0xFFFF
MOST_COPIES = NOBODY


class Purpose(IntEnum):
    """What a datagram is for; items may ride on any."""

    NEWS = 0
    PING = 1
    ANSWER = 2  # of the copy that it is about: it lives
    ASK = 3  # ping the copy that it is about, for the speaker
    SILENT = 4  # the copy that it is about did not answer so far
    SYNC = 5  # the speaker has just started: tell it what you know


class Kind(IntEnum):
    """What an item says of a copy: how it is, what it last said of itself, or what it saw happen."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    STATE = 16
    EVENT = 17
    VIEW = 18  # as a state, but urgent: the newest of each copy counts
    SHARED = 19  # nobody's own: the newest of each key, its payload's first bytes, counts


class Item(msgspec.Struct, frozen=True):
    """`life` is the copy's incarnation. `version`: of a state, an event or a view, by its teller; of a
    suspicion, the copy that suspects. Of what is shared, both are its order."""

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
    """A message that cannot be read; the text is one of a few reasons, to count by."""


def seed_of(fleet: str) -> int:
    """What the sum of a fleet's messages begins with."""
    return zlib.crc32(fleet.encode())


def write(datagram: Datagram, seed: int) -> bytes:
    """ValueError where the items do not fit."""
    head = _HEAD.pack(
        MAGIC, VERSION, datagram.purpose, datagram.speaker, datagram.life, datagram.number, datagram.about, 0
    )
    parts = [head[: -_SUM.size], b""]
    for item in datagram.items:
        parts += (_ITEM.pack(item.kind, len(item.payload), item.about, item.life, item.version), item.payload)
    whole = sum(map(len, parts)) + _SUM.size
    if whole > LONGEST:
        raise ValueError(f"{whole} bytes of messages, at most {LONGEST} go into a datagram")
    parts[1] = _SUM.pack(zlib.crc32(b"".join(parts), seed))
    return b"".join(parts)


def read(data: bytes, seed: int) -> Datagram:
    """BadMessage: short, long, foreign, version, damaged."""
    if len(data) < _HEAD.size:
        raise BadMessage("short")
    if len(data) > LONGEST:
        raise BadMessage("long")
    magic, version, purpose, speaker, life, number, about, said = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise BadMessage("foreign")
    if version != VERSION:
        raise BadMessage("version")
    at = _HEAD.size
    if zlib.crc32(data[: at - _SUM.size] + data[at:], seed) != said:
        raise BadMessage("damaged")
    try:
        return Datagram(Purpose(purpose), speaker, life, number, about, tuple(_items(data, at)))
    except (ValueError, struct.error):
        raise BadMessage("damaged") from None


def _items(data: bytes, at: int) -> Iterable[Item]:
    known = frozenset(Kind)
    while at < len(data):
        kind, size, about, life, version = _ITEM.unpack_from(data, at)
        at += _ITEM.size
        payload = data[at : at + size]
        at += size
        if len(payload) < size:
            raise ValueError("cut short")
        if kind in known:
            yield Item(kind, about, life, version, payload)


class Seen:
    """Which of ever higher numbers have come, the last 64 to the bit: guards against repeats and against old
    numbers out of order."""

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        self._highest, self._bits = -1, 0

    def fresh(self, number: int) -> bool:
        """Whether this number has not come before; from now on it has."""
        ahead = number - self._highest
        if ahead > 0:
            self._bits = (self._bits << min(ahead, 64) | 1) & (1 << 64) - 1
            self._highest = number
            return True
        if ahead <= -64 or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
