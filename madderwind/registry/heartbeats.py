"""Reading of an upstream's heartbeat."""

from __future__ import annotations

import msgspec

from madderwind.errors import InvalidHeartbeat
from madderwind.registry.states import UpstreamState

LONGEST_HEARTBEAT_BYTES = 4 * 1024
LONGEST_INSTANCE_CHARACTERS = 200
HIGHEST_PORT = 65535


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat, as far as the system uses it; further fields are passed over."""

    service: str
    address: str
    state: UpstreamState
    sequence: int
    zone: str = ""
    version: str = ""
    slots: float = 0
    slow_start_remaining_ms: float = msgspec.field(default=0.0, name="cold_remaining_ms")


_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """The heartbeat in a body; InvalidHeartbeat where it is none."""
    if not 0 < len(instance) <= LONGEST_INSTANCE_CHARACTERS:
        raise InvalidHeartbeat("the instance's id is empty or too long")
    if len(body) > LONGEST_HEARTBEAT_BYTES:
        raise InvalidHeartbeat(f"more than {LONGEST_HEARTBEAT_BYTES} bytes")
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidHeartbeat(str(error)) from None
    if not heartbeat.service or not _is_address(heartbeat.address):
        raise InvalidHeartbeat("no service, or an address that is not ip:port")
    return heartbeat


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= HIGHEST_PORT
