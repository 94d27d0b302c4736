"""The status of a control plane, which it serves as JSON at GET /status of its internal address."""

from __future__ import annotations

import msgspec


class DataPlaneStatus(msgspec.Struct, frozen=True):
    """A data plane that is subscribed to this control plane.

    `lag`: the number of versions that were committed after the one that it applied; None if the retained
    history does not reach back that far.
    """

    node: str
    address: str
    zone: str
    applied_version: int
    state: str
    lag: int | None = None


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream in this registry.

    `heartbeat_age_ms`: the time since any control plane received its last heartbeat.
    """

    instance: str
    service: str
    address: str
    zone: str
    state: str
    heartbeat_age_ms: float = msgspec.field(name="silent_ms")


class ControlPlaneStatus(msgspec.Struct, frozen=True):
    """The status of one control plane.

    `primary`, `members` and `in_sync` are internal addresses. `fresh_age_ms`: the time since the primary was
    last known to hold its lease; None if unknown.
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
