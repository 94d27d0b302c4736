"""What the host is to do for a zone that is left or returned to."""

from __future__ import annotations

from typing import Any

import msgspec

from madderwind.standalone.evacuation.observations import Key


class Withhold(msgspec.Struct, frozen=True):
    """Nothing new to these upstreams."""

    upstreams: frozenset[int]


class Reopen(msgspec.Struct, frozen=True):
    """They take new work again, as started then. `owed`: the next attempt is to go to it."""

    upstreams: frozenset[int]
    started_ms: float
    owed: bool = False


class TakeBack(msgspec.Struct, frozen=True):
    """An attempt that hangs in what was left: to be given up where its request can be sent again."""

    key: Key


class Probe(msgspec.Struct, frozen=True):
    """A probe of an upstream."""

    upstream: int


class TellView(msgspec.Struct, frozen=True):
    """To all balancers: what this one has seen."""

    payload: bytes


class TellEvacuation(msgspec.Struct, frozen=True):
    """To all balancers: what holds of an area, of which the latest by order counts."""

    order: tuple[int, int]
    payload: bytes


class LogEvent(msgspec.Struct, frozen=True):
    """A log event."""

    event: str
    fields: dict[str, Any]


Action = Withhold | Reopen | TakeBack | Probe | TellView | TellEvacuation | LogEvent
