"""The message by which balancers of a tier report their rate and failed upstreams to one another.

Three bytes hold the rate, in hundredths of a request per second; then follow four bytes for the mark of each
upstream. All numbers are little-endian. This module takes no decisions."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

RATE_BYTES, RATE_UNITS = 3, 100
MARK_BYTES, MAX_MARKS = 4, 60
MAX_RATE_UNITS: int = 2 ** (8 * RATE_BYTES) - 1


class TrafficMessage(msgspec.Struct, frozen=True):
    """A balancer's requests per second, and the marks of upstreams that failed it recently."""

    rate: float
    marks: frozenset[int]


def encode(rate: float, marks: Sequence[int]) -> bytes:
    """The message's bytes; marks beyond `MAX_MARKS` are left out."""
    units = min(MAX_RATE_UNITS, round(rate * RATE_UNITS))
    return units.to_bytes(RATE_BYTES, "little") + b"".join(
        mark.to_bytes(MARK_BYTES, "little") for mark in marks[:MAX_MARKS]
    )


def decode(message: bytes) -> TrafficMessage | None:
    """The message, or None if the length of the bytes is invalid."""
    if len(message) % MARK_BYTES != RATE_BYTES:
        return None
    rate = int.from_bytes(message[:RATE_BYTES], "little") / RATE_UNITS
    offsets = range(RATE_BYTES, len(message), MARK_BYTES)
    return TrafficMessage(
        rate, frozenset(int.from_bytes(message[at : at + MARK_BYTES], "little") for at in offsets)
    )
