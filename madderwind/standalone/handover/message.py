"""What one process tells its successor, as bytes. No input or output."""

from __future__ import annotations

import msgspec

from madderwind.standalone.policy.api import Known, Settings
from madderwind.standalone.protocol.listing import Listing
from madderwind.standalone.routing.directory import Memory

VERSION = 1
# A list of five thousand upstreams takes about a megabyte.
LONGEST_MESSAGE = 8 * 1024 * 1024


def shape_of(settings: Settings) -> str:
    """What the meaning of learned ratios rests on: the classes, the tier, how many copies and places."""
    parts = (settings.classes, settings.tier, settings.tiers, settings.copies, settings.zones)
    return msgspec.json.encode(parts).decode()


class Message(msgspec.Struct, frozen=True):
    """Upstreams go by discovery's ids, since each process numbers them itself."""

    listing: Listing
    directory: Memory
    quota: float
    room: float
    upstreams: dict[str, Known]
    shape: str = ""  # of the deployment in which this was learned; unknown of an older program
    version: int = VERSION


class _Version(msgspec.Struct):
    version: int


class MessageError(ValueError):
    """The message is damaged or of another version; the text says which."""


def write_message(message: Message) -> bytes:
    return msgspec.msgpack.encode(message)


def read_message(raw: bytes) -> Message:
    """The message; of another version not even the rest is looked at."""
    try:
        version = msgspec.msgpack.decode(raw, type=_Version).version
        if version != VERSION:
            raise MessageError(f"version {version}, not {VERSION}")
        return msgspec.msgpack.decode(raw, type=Message)
    except MessageError:
        raise
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MessageError(f"damaged: {error}") from None
