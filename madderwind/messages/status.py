"""How a control plane stands, as it tells operators at GET /status of its internal address, in JSON."""

from __future__ import annotations

import msgspec


class DataPlaneStatus(msgspec.Struct, frozen=True):
    """A data plane that is subscribed here.

    `lag`: how many versions were committed after the one it has in force, as far as the history here tells;
    None where it does not reach back.
    """

    node: str
    address: str
    zone: str
    applied_version: int
    state: str
    lag: int | None = None


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream as the registry here knows it. `heartbeat_age_ms`: since its last heartbeat anywhere."""

    instance: str
    service: str
    address: str
    zone: str
    state: str
    heartbeat_age_ms: float = msgspec.field(name="silent_ms")


class ControlPlaneStatus(msgspec.Struct, frozen=True):
    """One control plane.

    `primary`, `members` and `in_sync` are internal addresses; `fresh_age_ms`: since the primary was last
    known to hold its lease, None where that is unknown.
    """

    node: str
    address: str
    zone: str
    is_primary: bool
    primary: str
    epoch: int
    committed_version: int
    members: tuple[str, ...]
    in_sync: tuple[str, ...]
    fresh_age_ms: float | None
    data_planes: tuple[DataPlaneStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]
