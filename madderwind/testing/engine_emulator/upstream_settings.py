"""The JSON settings file of an emulated upstream, written by the process that starts it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from madderwind.testing.engine_emulator.engine import EngineSettings


class PlainWork(msgspec.Struct, frozen=True):
    """A service that is not a model server.

    The work per request is log-normal with this mean; `spread` is the sigma of the logarithm.
    """

    slots: int = 6
    queue: int = 12
    work_ms: float = 40.0
    spread: float = 0.4
    body_bytes: int = 800


class Mishaps(msgspec.Struct, frozen=True):
    """Fractions of requests with an injected fault.

    `break_off`: the stream is aborted inside an event; `error`: the upstream responds with 500; `close`: it
    closes the connection after the response.
    """

    break_off: float = 0.0
    error: float = 0.0
    close: float = 0.0


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one emulated upstream.

    It listens on `listen` and registers `address`, which differs where a relay forwards to it.
    Exactly one of `engine` and `plain` is set.
    """

    service: str
    zone: str
    listen: str
    address: str
    control: tuple[str, ...]
    records: str
    heartbeat_ms: float = 1000.0
    drain_ms: float = 2000.0
    software: str = "v1"
    weights: int = 1
    health_path: str = "/health"
    max_connections: int = 256
    keep_alive_s: int = 15
    cold_ms: float = 0.0
    cold_slowness: float = 1.0
    mishaps: Mishaps = Mishaps()
    engine: EngineSettings | None = None
    plain: PlainWork | None = None

    @property
    def slots(self) -> int:
        """Number of requests it processes concurrently."""
        if self.engine is not None:
            return self.engine.slots
        return self.plain.slots if self.plain is not None else 0


def read_upstream_settings(path: Path) -> UpstreamSettings:
    """Read a settings file; raises msgspec.ValidationError if its content is invalid."""
    return msgspec.json.decode(path.read_bytes(), type=UpstreamSettings)
