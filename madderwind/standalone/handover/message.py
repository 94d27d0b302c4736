"""Encoding of the state that a process hands over to its successor. Does no I/O."""

from __future__ import annotations

import msgspec

from madderwind.standalone.policy.api import Known, Settings
from madderwind.standalone.protocol.listing import Listing
from madderwind.standalone.routing.directory import Memory

VERSION = 1
# A list of five thousand upstreams takes about a megabyte.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def deployment_shape(settings: Settings) -> str:
    """The settings that learned ratios depend on: classes, tier, numbers of balancers and zones."""
    relevant = (settings.classes, settings.tier, settings.tiers, settings.copies, settings.zones)
    return msgspec.json.encode(relevant).decode()


class Message(msgspec.Struct, frozen=True):
    """The handed-over state, with upstreams by their discovery ids, as each process numbers them itself."""

    listing: Listing
    directory: Memory
    quota: float
    room: float
    upstreams: dict[str, Known]
    shape: str = ""  # of the deployment in which the state was learned; "" from an older program
    version: int = VERSION


class _Version(msgspec.Struct):
    version: int


class MessageError(ValueError):
    """The message is damaged or of another version; the text says which."""


def write_message(message: Message) -> bytes:
    return msgspec.msgpack.encode(message)


def read_message(raw: bytes) -> Message:
    """Decode a message; raises MessageError. The content of another version is not decoded at all."""
    try:
        version = msgspec.msgpack.decode(raw, type=_Version).version
        if version != VERSION:
            raise MessageError(f"version {version}, not {VERSION}")
        return msgspec.msgpack.decode(raw, type=Message)
    except MessageError:
        raise
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MessageError(f"damaged: {error}") from None
