"""The message by which balancers of a tier tell one another their rate and who failed them; no decisions.

Three bytes of rate, in hundredths of a request a second, then four bytes for each upstream's mark, all
little-endian."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

RATE_BYTES, RATE_UNITS = 3, 100
MARK_BYTES, MOST_MARKS = 4, 60
HIGHEST_RATE: int = 2 ** (8 * RATE_BYTES) - 1


class TrafficMessage(msgspec.Struct, frozen=True):
    """A balancer's requests a second, and the marks of upstreams that failed it lately."""

    rate: float
    marks: frozenset[int]


def encode(rate: float, marks: Sequence[int]) -> bytes:
    """The message's bytes; marks beyond the most that one holds are left out."""
    units = min(HIGHEST_RATE, round(rate * RATE_UNITS))
    return units.to_bytes(RATE_BYTES, "little") + b"".join(
        mark.to_bytes(MARK_BYTES, "little") for mark in marks[:MOST_MARKS]
    )


def decode(message: bytes) -> TrafficMessage | None:
    """The message; None where the bytes are none."""
    if len(message) % MARK_BYTES != RATE_BYTES:
        return None
    rate = int.from_bytes(message[:RATE_BYTES], "little") / RATE_UNITS
    marks = range(RATE_BYTES, len(message), MARK_BYTES)
    return TrafficMessage(
        rate, frozenset(int.from_bytes(message[at : at + MARK_BYTES], "little") for at in marks)
    )
