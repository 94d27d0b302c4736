"""Binary encoding of a balancer's view of the zones and of an evacuation, as sent in datagrams."""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping

import msgspec

from madderwind.standalone.evacuation.areas import zone_mark
from madderwind.standalone.evacuation.observations import ZoneObservation

STEPS = (0.0, 0.25, 0.5, 1.0)  # fractions of an area's usual load
FULL_STEP = len(STEPS) - 1
MAX_LEVEL = 6
MAX_ZONES, MAX_MARKS, MAX_WITNESSES = 5, 6, 8
_VIEW_HEADER = struct.Struct("<IH")  # the balancer's zone, its attempts a second in tenths
_ZONE_HEADER = struct.Struct("<IBBBBB")  # mark, flags, numbers of failing and responding upstreams, two ages
AGE_UNIT_MS, NEVER_AGE = 16.0, 255  # unit of an age; the oldest that can be sent is NEVER_AGE - 1 units
_UINT16 = struct.Struct("<H")
# Area, scope, step, level, flags, part in percent, number of witnesses.
_EVACUATION_HEADER = struct.Struct("<IIBBBBB")
KEY_BYTES = 8  # key of an evacuation: area and scope
COORDINATOR_FLAG, BY_HAND_FLAG = 1, 1  # flags of a zone and of an evacuation
FLEET_SCOPE = 0  # scope of all balancers; any other is the mark of the zone in which the balancers run
# The low part of the order is the number, with the inverted step in its last bits: the smaller step wins.
SEQUENCE_STEP = 8


class MalformedMessage(ValueError):
    """A view or an evacuation that cannot be decoded."""


def short_mark(mark: int) -> int:
    return mark & 0xFFFF


class ZoneReport(msgspec.Struct, frozen=True):
    """A balancer's report on one zone, with upstreams identified by the low halves of their marks.

    The ages, at the time of sending, are those of the latest attempt that failed, from when it was sent, and
    of the latest answer.
    """

    failing: frozenset[int]
    responding: frozenset[int]
    is_coordinator: bool = False
    bad_sent_age_ms: float = math.inf
    last_answer_age_ms: float = math.inf


class View(msgspec.Struct, frozen=True):
    """One balancer's observations, by the marks of the zones. `per_s`: its attempts a second."""

    home_zone: int
    per_s: float
    zones: dict[int, ZoneReport]


def _age(now: float, at_ms: float) -> int:
    age_ms = max(0.0, now - at_ms)
    return NEVER_AGE if math.isinf(age_ms) else min(NEVER_AGE - 1, round(age_ms / AGE_UNIT_MS))


def _read_age(units: int) -> float:
    return math.inf if units == NEVER_AGE else units * AGE_UNIT_MS


def write_view(
    now: float,
    home_zone: str,
    per_s: float,
    observations: Mapping[str, ZoneObservation],
    coordinated: frozenset[str],
) -> bytes:
    """Encode a view, zones with the largest failing fraction first; omits what exceeds the limits."""
    parts = [_VIEW_HEADER.pack(zone_mark(home_zone), min(0xFFFF, round(per_s * 10)))]
    for zone, observation in sorted(observations.items(), key=lambda item: -item[1].share)[:MAX_ZONES]:
        failing = sorted({short_mark(mark) for mark in observation.failing})[:MAX_MARKS]
        responding = sorted({short_mark(mark) for mark in observation.responding})[:MAX_MARKS]
        ages = _age(now, observation.bad_sent_ms), _age(now, observation.last_answer_ms)
        parts.append(
            _ZONE_HEADER.pack(
                zone_mark(zone),
                COORDINATOR_FLAG * (zone in coordinated),
                len(failing),
                len(responding),
                *ages,
            )
        )
        parts += [_UINT16.pack(mark) for mark in (*failing, *responding)]
    return b"".join(parts)


def read_view(data: bytes) -> View:
    """Decode a view; raises MalformedMessage if it is truncated or exceeds the limits."""
    try:
        home_zone, rate_tenths = _VIEW_HEADER.unpack_from(data)
        offset, zones = _VIEW_HEADER.size, dict[int, ZoneReport]()
        while offset < len(data):
            mark, flags, failing_count, responding_count, bad_sent_age, last_answer_age = (
                _ZONE_HEADER.unpack_from(data, offset)
            )
            offset += _ZONE_HEADER.size
            if failing_count > MAX_MARKS or responding_count > MAX_MARKS or len(zones) >= MAX_ZONES:
                raise MalformedMessage("too many zones or upstreams")
            marks = [
                _UINT16.unpack_from(data, offset + _UINT16.size * n)[0]
                for n in range(failing_count + responding_count)
            ]
            offset += _UINT16.size * len(marks)
            zones[mark] = ZoneReport(
                frozenset(marks[:failing_count]),
                frozenset(marks[failing_count:]),
                bool(flags & COORDINATOR_FLAG),
                _read_age(bad_sent_age),
                _read_age(last_answer_age),
            )
    except struct.error:
        raise MalformedMessage("truncated message") from None
    return View(home_zone, rate_tenths / 10, zones)


class Evacuation(msgspec.Struct, frozen=True):
    """The state of an area's evacuation in the whole fleet or among the balancers of one zone.

    It is a last-writer-wins register. Each new evacuation is an episode; within it the number grows with each
    change and renewal. Of two states with the same number the one with the smaller step wins, so that a lost
    message can only reduce the load that is sent to the area.
    """

    area: int
    scope: int
    episode: int
    number: int
    step: int
    level: int = 0  # number of recent repeats; each one doubles the dwell time of the return steps
    by_hand: bool = False
    part: int = 100  # percentage of its upstreams that is withheld
    witnesses: tuple[int, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        return self.episode, self.number * SEQUENCE_STEP + FULL_STEP - self.step


def write_evacuation(evacuation: Evacuation) -> bytes:
    header = _EVACUATION_HEADER.pack(
        evacuation.area,
        evacuation.scope,
        evacuation.step,
        evacuation.level,
        BY_HAND_FLAG * evacuation.by_hand,
        evacuation.part,
        len(evacuation.witnesses),
    )
    return header + b"".join(_UINT16.pack(balancer) for balancer in evacuation.witnesses)


def read_evacuation(order: tuple[int, int], data: bytes) -> Evacuation:
    """Decode an evacuation; raises MalformedMessage if it is truncated or a value is out of range."""
    try:
        area, scope, step, level, flags, part, count = _EVACUATION_HEADER.unpack_from(data)
        witnesses = tuple(
            _UINT16.unpack_from(data, _EVACUATION_HEADER.size + _UINT16.size * n)[0] for n in range(count)
        )
    except struct.error:
        raise MalformedMessage("truncated message") from None
    number, step_offset = divmod(order[1], SEQUENCE_STEP)
    if (
        step > FULL_STEP
        or step_offset != FULL_STEP - step
        or level > MAX_LEVEL
        or part > 100
        or count > MAX_WITNESSES
    ):
        raise MalformedMessage("value out of range")
    return Evacuation(area, scope, order[0], number, step, level, bool(flags & BY_HAND_FLAG), part, witnesses)
