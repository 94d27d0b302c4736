"""What a copy says of zones, and what the fleet holds of an area, as bytes in the house's datagrams."""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping

import msgspec

from madderwind.standalone.evacuation.areas import zone_mark
from madderwind.standalone.evacuation.observations import ZoneObservation

STEPS = (0.0, 0.25, 0.5, 1.0)  # parts of an area's usual load
FULL = len(STEPS) - 1
MOST_LEVEL = 6
MOST_ZONES, MOST_MARKS, MOST_WITNESSES = 5, 6, 8
_HEAD = struct.Struct("<IH")  # where the copy stands, its attempts a second in tenths
_ZONE = struct.Struct("<IBBBBB")  # mark, flags, how many bad, how many good, and two ages
AGE_MS, NEVER = 16.0, 255  # an age's unit; the latest that can be said is that of one less
_SHORT = struct.Struct("<H")
_EVACUATION = struct.Struct("<IIBBBBB")  # area, scope, step, level, flags, part in percent, witnesses
KEY_BYTES = 8  # of an evacuation: area and scope
SCOUTS, BY_HAND = 1, 1  # flags, of a zone and of an evacuation
EVERYWHERE = 0  # the scope of all copies; any other is the mark of the zone in which they stand
SEQUENCE_STEP = 8  # the order's low part: the number, and in its last bits the step, so that the smaller wins


class MalformedMessage(ValueError):
    """Words of areas that cannot be read."""


def short(mark: int) -> int:
    return mark & 0xFFFF


class ZoneReport(msgspec.Struct, frozen=True):
    """Of one zone; upstreams by the low halves of their marks. How long ago, when this was said, the latest
    attempt went out that came to nothing, and anything last answered."""

    bads: frozenset[int]
    goods: frozenset[int]
    scouts: bool = False
    bad_sent_age_ms: float = math.inf
    heard_age_ms: float = math.inf


class View(msgspec.Struct, frozen=True):
    """What one copy has seen, by marks of zones."""

    standing: int
    per_s: float
    zones: dict[int, ZoneReport]


def _age(now: float, at_ms: float) -> int:
    age_ms = max(0.0, now - at_ms)
    return NEVER if math.isinf(age_ms) else min(NEVER - 1, round(age_ms / AGE_MS))


def _read_age(units: int) -> float:
    return math.inf if units == NEVER else units * AGE_MS


def write_view(
    now: float,
    standing: str,
    per_s: float,
    observations: Mapping[str, ZoneObservation],
    scouts: frozenset[str],
) -> bytes:
    """The zones of which most is bad come first; what does not fit is left out."""
    out = [_HEAD.pack(zone_mark(standing), min(0xFFFF, round(per_s * 10)))]
    for zone, observation in sorted(observations.items(), key=lambda item: -item[1].share)[:MOST_ZONES]:
        bads = sorted({short(mark) for mark in observation.bads})[:MOST_MARKS]
        goods = sorted({short(mark) for mark in observation.goods})[:MOST_MARKS]
        ages = _age(now, observation.bad_sent_ms), _age(now, observation.heard_ms)
        out.append(_ZONE.pack(zone_mark(zone), SCOUTS * (zone in scouts), len(bads), len(goods), *ages))
        out += [_SHORT.pack(mark) for mark in (*bads, *goods)]
    return b"".join(out)


def read_view(data: bytes) -> View:
    """MalformedMessage: cut short, or more than may be said."""
    try:
        standing, tenths = _HEAD.unpack_from(data)
        at, zones = _HEAD.size, dict[int, ZoneReport]()
        while at < len(data):
            mark, flags, bad, good, sent, heard = _ZONE.unpack_from(data, at)
            at += _ZONE.size
            if bad > MOST_MARKS or good > MOST_MARKS or len(zones) >= MOST_ZONES:
                raise MalformedMessage("more than may be said")
            marks = [_SHORT.unpack_from(data, at + _SHORT.size * n)[0] for n in range(bad + good)]
            at += _SHORT.size * len(marks)
            zones[mark] = ZoneReport(
                frozenset(marks[:bad]),
                frozenset(marks[bad:]),
                bool(flags & SCOUTS),
                _read_age(sent),
                _read_age(heard),
            )
    except struct.error:
        raise MalformedMessage("cut short") from None
    return View(standing, tenths / 10, zones)


class Evacuation(msgspec.Struct, frozen=True):
    """What the fleet, or its copies that stand in one zone, holds of an area: a register of which the latest
    counts. Each leave is an episode; within it the number grows with each change and renewal, and of two of
    one number the smaller step counts: what is lost can only make the sum that is sent smaller."""

    area: int
    scope: int
    episode: int
    number: int
    step: int
    level: int = 0  # how often it was left again of late: each makes the return twice as slow
    by_hand: bool = False
    part: int = 100  # of its upstreams, in percent
    witnesses: tuple[int, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        return self.episode, self.number * SEQUENCE_STEP + FULL - self.step


def write_evacuation(evacuation: Evacuation) -> bytes:
    head = _EVACUATION.pack(
        evacuation.area,
        evacuation.scope,
        evacuation.step,
        evacuation.level,
        BY_HAND * evacuation.by_hand,
        evacuation.part,
        len(evacuation.witnesses),
    )
    return head + b"".join(_SHORT.pack(copy) for copy in evacuation.witnesses)


def read_evacuation(order: tuple[int, int], data: bytes) -> Evacuation:
    """MalformedMessage: cut short, or a step, level or part that there is not."""
    try:
        area, scope, step, level, flags, part, count = _EVACUATION.unpack_from(data)
        witnesses = tuple(
            _SHORT.unpack_from(data, _EVACUATION.size + _SHORT.size * n)[0] for n in range(count)
        )
    except struct.error:
        raise MalformedMessage("cut short") from None
    number, behind = divmod(order[1], SEQUENCE_STEP)
    if step > FULL or behind != FULL - step or level > MOST_LEVEL or part > 100 or count > MOST_WITNESSES:
        raise MalformedMessage("no such evacuation")
    return Evacuation(area, scope, order[0], number, step, level, bool(flags & BY_HAND), part, witnesses)
