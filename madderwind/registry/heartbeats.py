"""Reading of an upstream's heartbeat."""

from __future__ import annotations

import msgspec

from madderwind.errors import HeartbeatError
from madderwind.registry.states import UpstreamState

MAX_HEARTBEAT_BYTES = 4 * 1024
MAX_INSTANCE_CHARACTERS = 200
MAX_PORT = 65535


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat, as far as the system uses it; further fields are ignored.

    Attributes:
        service: The service that the instance belongs to.
        address: Where it listens, ip:port.
        state: Ready or draining.
        sequence: Rises with each call, so that a late one can be known.
        zone: Its zone.
        version: Of its software.
        slots: How many requests it runs at once.
        slow_start_remaining_ms: How much longer it is slow from its start.
    """

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
    """Read the body of a heartbeat.

    Raises:
        HeartbeatError: It is too long, is no JSON of this form, or names no service or address.
    """
    if not 0 < len(instance) <= MAX_INSTANCE_CHARACTERS:
        raise HeartbeatError("the instance's id is empty or too long")
    if len(body) > MAX_HEARTBEAT_BYTES:
        raise HeartbeatError(f"more than {MAX_HEARTBEAT_BYTES} bytes")
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise HeartbeatError(str(error)) from None
    if not heartbeat.service or not _is_address(heartbeat.address):
        raise HeartbeatError("no service, or an address that is not ip:port")
    return heartbeat


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
