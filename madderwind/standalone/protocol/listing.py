"""Discovery's JSON: a list, or one line of a watch."""

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
    """Host and port of `host:port`, port 0 among them: a listener may take any. ValueError names `what`."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{what} is no address: {text[:60]!r}")
    return host, int(port)


class Member(msgspec.Struct, frozen=True):
    """One entry, as discovery writes it."""

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
    """Entries in force from this revision on: the whole list, or what changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    odd: tuple[str, ...] = ()


class _Line(msgspec.Struct):
    revision: int
    complete: bool
    members: list[msgspec.Raw]


class ListingError(ValueError):
    """A list or line that cannot be read at all."""


# A decoder gives up on text that nests too deep by a RecursionError.
UNREADABLE = (msgspec.DecodeError, ValueError, RecursionError)

_lines = msgspec.json.Decoder(_Line)
_members = msgspec.json.Decoder(Member)


def read_listing(raw: bytes) -> Listing:
    """An entry that cannot be read is passed over and named in `odd`; the others stand."""
    try:
        line = _lines.decode(raw)
    except UNREADABLE as error:
        raise ListingError(str(error)) from None
    members, odd = [], []
    for entry in line.members:
        try:
            member = _members.decode(entry)
            if not member.id or member.address[1] == 0:
                raise ValueError("no id, or no port")
            members.append(member)
        except UNREADABLE as error:
            odd.append(f"{error}: {bytes(entry)[:80]!r}")
    return Listing(line.revision, line.complete, tuple(members), tuple(odd))
