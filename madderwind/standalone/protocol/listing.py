"""Parses discovery's JSON: a list of upstreams, or one line of a subscription to changes."""

from __future__ import annotations

from typing import Literal

import msgspec

from madderwind.standalone.policy.api import UpstreamState

STATES = {
    "Ready": UpstreamState.READY,
    "Terminating": UpstreamState.DRAINING,
    "Gone": UpstreamState.GONE,
}


def read_address(text: str, what: str) -> tuple[str, int]:
    """Host and port of `host:port`. Port 0 is valid, as a listener may use any. A ValueError names `what`."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{what} is not a host:port address: {text[:60]!r}")
    return host, int(port)


class Member(msgspec.Struct, frozen=True):
    """One upstream, as discovery writes it."""

    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    phase: Literal["Ready", "Terminating", "Gone"]
    size: float
    up_since_ms: float

    @property
    def address(self) -> tuple[str, int]:
        return read_address(self.host_port, "host_port")


class Listing(msgspec.Struct, frozen=True):
    """Upstreams in force from this revision on: the whole list, or what changed.

    `odd` describes the entries that couldn't be parsed.
    """

    revision: int
    complete: bool
    members: tuple[Member, ...]
    odd: tuple[str, ...] = ()


class _Line(msgspec.Struct):
    revision: int
    complete: bool
    members: list[msgspec.Raw]


class ListingError(ValueError):
    """A list or line that can't be parsed at all."""


# A decoder raises RecursionError for text that nests too deep.
UNREADABLE = (msgspec.DecodeError, ValueError, RecursionError)

_line_decoder = msgspec.json.Decoder(_Line)
_member_decoder = msgspec.json.Decoder(Member)


def read_listing(raw: bytes) -> Listing:
    """Parse a list. An entry that can't be parsed is skipped and described in `odd`; the others are kept."""
    try:
        line = _line_decoder.decode(raw)
    except UNREADABLE as error:
        raise ListingError(str(error)) from None
    members, unreadable = [], []
    for entry in line.members:
        try:
            member = _member_decoder.decode(entry)
            if not member.id or member.address[1] == 0:
                raise ValueError("id is empty or port is 0")
            members.append(member)
        except UNREADABLE as error:
            unreadable.append(f"{error}: {bytes(entry)[:80]!r}")
    return Listing(line.revision, line.complete, tuple(members), tuple(unreadable))
