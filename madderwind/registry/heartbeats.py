"""Parsing of upstreams' heartbeats."""

from __future__ import annotations

import msgspec

from madderwind.errors import HeartbeatError
from madderwind.messages.header_text import is_header_text
from madderwind.registry.states import UpstreamState

MAX_HEARTBEAT_BYTES = 4 * 1024
MAX_INSTANCE_CHARACTERS = 200
MAX_PORT = 65535


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat; unknown fields are ignored.

    Attributes:
        service: The service that the instance belongs to.
        address: The address at which it listens, ip:port.
        state: Ready or draining.
        sequence: Increases with each heartbeat, so that a late one is recognized.
        zone: Its zone.
        version: The version of its software.
        slots: The number of requests that it runs concurrently.
        slow_start_remaining_ms: The remaining duration of its slow start.
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


def check_instance(instance: str) -> None:
    """Check an instance's id.

    Raises:
        HeartbeatError: It is empty or too long, or no header can hold it: requests name their instance.
    """
    if not 0 < len(instance) <= MAX_INSTANCE_CHARACTERS:
        raise HeartbeatError("the instance's id is empty or too long")
    if not is_header_text(instance):
        raise HeartbeatError("the instance's id contains control characters")


def read_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Parse the body of a heartbeat.

    Raises:
        HeartbeatError: The id is invalid, or the body is too long, is not valid JSON of this form, or has no
            service or address.
    """
    check_instance(instance)
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
