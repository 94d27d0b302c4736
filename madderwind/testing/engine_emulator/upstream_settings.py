"""The settings file of one stand-in upstream: JSON, written by who starts it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from madderwind.testing.engine_emulator.engine import EngineSettings


class PlainWork(msgspec.Struct, frozen=True):
    """A service that is no model's. Work is log-normal with this mean and spread."""

    slots: int = 6
    queue: int = 12
    work_ms: float = 40.0
    spread: float = 0.4
    body_bytes: int = 800


class Mishaps(msgspec.Struct, frozen=True):
    """Shares of requests that this upstream spoils.

    Streams broken off within an event, own 500s, and answers after which it closes the connection.
    """

    break_off: float = 0.0
    error: float = 0.0
    close: float = 0.0


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stand-in upstream.

    `listen` is where it listens, `address` what it registers: they differ where a relay stands before it.
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
        """How many requests it works on at once."""
        if self.engine is not None:
            return self.engine.slots
        return self.plain.slots if self.plain is not None else 0


def read_upstream_settings(path: Path) -> UpstreamSettings:
    """The settings in a file; msgspec.ValidationError where it holds none."""
    return msgspec.json.decode(path.read_bytes(), type=UpstreamSettings)
