"""YAML file format of a local fleet: processes, upstreams, configuration, traffic and faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, FileFormatError
from madderwind.testing.engine_emulator.engine import EngineSettings
from madderwind.testing.engine_emulator.upstream_settings import Mishaps, PlainWork
from madderwind.testing.local_fleet.fault_file import Fault, Operator
from madderwind.testing.local_fleet.field_checks import between, not_empty
from madderwind.testing.local_fleet.traffic_file import Traffic
from madderwind.testing.local_fleet.yaml_files import field_name, line_of, read_yaml, steps_of

MAX_PROCESSES_PER_KIND = 90


@attrs.frozen
class UpstreamGroup:
    """The emulated upstreams of one service: `engine` for a model service, `plain` for any other.

    Their fields are those of `engine_emulator.engine.EngineSettings` and
    `engine_emulator.upstream_settings.PlainWork`.
    """

    service: str
    count: int = attrs.field(default=2, validator=between(1, MAX_PROCESSES_PER_KIND))
    engine: dict[str, Any] | None = None
    plain: dict[str, Any] | None = None
    mishaps: dict[str, Any] = attrs.field(factory=dict)
    slowness: tuple[float, ...] = attrs.field(default=(1.0,), validator=not_empty)
    drain_ms: float = 500.0
    cold_ms: float = 0.0
    cold_slowness: float = 1.0
    max_connections: int = 256

    def engine_settings(self) -> EngineSettings | None:
        """The engine settings of a model service; None for a plain service."""
        return None if self.engine is None else msgspec.convert(self.engine, EngineSettings)

    def plain_work(self) -> PlainWork | None:
        """The work settings of a plain service; None for a model service."""
        return None if self.plain is None else msgspec.convert(self.plain, PlainWork)

    def fault_settings(self) -> Mishaps:
        """The errors that these upstreams produce without an injected fault."""
        return msgspec.convert(self.mishaps, Mishaps)


@attrs.frozen
class FleetFile:
    """The content of a fleet file.

    `configuration` is the operator's document as it is sent; `bounds` and `limits` are copied unchanged into
    the settings files of the nodes. With `relays`, the links between the processes can be cut or delayed.
    With `metrics`, the nodes serve Prometheus metrics.
    """

    name: str
    configuration: dict[str, Any]
    upstreams: tuple[UpstreamGroup, ...]
    zones: tuple[str, ...] = attrs.field(default=("zone-a", "zone-b", "zone-c"), validator=not_empty)
    control_planes: int = attrs.field(default=3, validator=between(1, MAX_PROCESSES_PER_KIND))
    data_planes: int = attrs.field(default=3, validator=between(1, MAX_PROCESSES_PER_KIND))
    tolerance: int = 1
    heartbeat_ms: float = 500.0
    relays: bool = True
    metrics: bool = False
    bounds: dict[str, Any] = attrs.field(factory=dict)
    limits: dict[str, Any] = attrs.field(factory=dict)
    traffic: Traffic | None = None
    faults: tuple[Fault, ...] = ()
    operator: Operator = Operator()

    def document(self) -> Document:
        """Validate and return the operator's configuration."""
        return read_document(msgspec.json.encode(self.configuration))


def read_fleet_file(path: Path) -> FleetFile:
    """Read and validate a fleet file. FileFormatError names the invalid field and its line."""
    fleet = read_yaml(path, FleetFile)
    _check_configuration(path, fleet)
    for index, group in enumerate(fleet.upstreams):
        _check_group(path, fleet, index, group)
    return fleet


def _check_configuration(path: Path, fleet: FleetFile) -> None:
    try:
        fleet.document()
    except ConfigurationError as error:
        raise _invalid(path, f"configuration.{error.field}", error.reason) from None


def _check_group(path: Path, fleet: FleetFile, index: int, group: UpstreamGroup) -> None:
    group_field = field_name(["upstreams", index])
    known = {service.name for service in fleet.document().configuration.services}
    if group.service not in known:
        raise _invalid(path, f"{group_field}.service", f"the configuration has no service {group.service!r}")
    if (group.engine is None) == (group.plain is None):
        raise _invalid(path, group_field, "exactly one of engine and plain is needed")
    for name, read in (
        ("engine", group.engine_settings),
        ("plain", group.plain_work),
        ("mishaps", group.fault_settings),
    ):
        try:
            read()
        except msgspec.ValidationError as error:
            raise _invalid(path, f"{group_field}.{name}", str(error)) from None


def _invalid(path: Path, field: str, reason: str) -> FileFormatError:
    return FileFormatError(str(path), line_of(path.read_text(), steps_of(field)), field, reason)
