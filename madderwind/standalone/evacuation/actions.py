"""Actions that the host carries out while a zone is evacuated or returned to service."""

from __future__ import annotations

from typing import Any

import msgspec

from madderwind.standalone.evacuation.observations import Key


class Withhold(msgspec.Struct, frozen=True):
    """Send no new requests to these upstreams."""

    upstreams: frozenset[int]


class Reopen(msgspec.Struct, frozen=True):
    """Send new requests to these upstreams again and treat them as started at `started_ms`.

    `owed`: the next attempt has to go to the upstream.
    """

    upstreams: frozenset[int]
    started_ms: float
    owed: bool = False


class TakeBack(msgspec.Struct, frozen=True):
    """Cancel an attempt that hangs in an evacuated zone if its request can be retried."""

    key: Key


class Probe(msgspec.Struct, frozen=True):
    """Probe an upstream."""

    upstream: int


class TellView(msgspec.Struct, frozen=True):
    """Broadcast this balancer's view of the zones to all balancers."""

    payload: bytes


class TellEvacuation(msgspec.Struct, frozen=True):
    """Broadcast the state of an area's evacuation to all balancers; the highest order wins."""

    order: tuple[int, int]
    payload: bytes


class LogEvent(msgspec.Struct, frozen=True):
    """Write a log event."""

    event: str
    fields: dict[str, Any]


Action = Withhold | Reopen | TakeBack | Probe | TellView | TellEvacuation | LogEvent
