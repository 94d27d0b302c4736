"""The settings file of one process of the system. Each field is validated; unknown fields are ignored.

`MADDERWIND_CONFIG` names the file; docs/system.md lists the fields that are used.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import attrs
import cattrs
import msgspec
from cattrs.gen import make_dict_structure_fn

from madderwind.errors import SettingsError

SETTINGS_VARIABLE = "MADDERWIND_CONFIG"
# Offsets into `internal_ports`: two processes on one machine share the range.
CONTROL_PLANE_PORT, DATA_PLANE_PORT = 0, 1


@attrs.frozen
class MachineLimits:
    """Resource limits of the machine: MB of memory and disk, file descriptors, Mbit/s of its link."""

    memory_mb: float = 256.0
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@attrs.frozen
class FaultTolerance:
    """The simultaneous failures under which every guarantee still holds."""

    machines: int = 1


@attrs.frozen
class Bounds:
    """The deployment's bounds, from the settings file; the suffixes `_ms` and `_s` give the unit."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    downgrade_ms: float = 250.0
    max_skew_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_slack: float = 0.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 10.0


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Addresses are `ip:port`. Other processes connect to `ip`. `bind_ip` is the address to listen on if it
    differs from `ip`, as behind a relay or address translation.
    """

    node: str
    ip: str
    zone: str
    listen: dict[str, str]
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool = False
    region: str = ""
    zones: dict[str, str] = attrs.field(factory=dict)
    data_dir: str | None = None
    bind_ip: str | None = None
    heartbeat_ms: float = 1000.0
    limits: MachineLimits = attrs.field(factory=MachineLimits)
    fault_tolerance: FaultTolerance = attrs.field(factory=FaultTolerance)
    bounds: Bounds = attrs.field(factory=Bounds)

    def internal_address(self, offset: int) -> str:
        """The address at which other processes reach this machine's process with that port offset."""
        return f"{self.ip}:{self.internal_ports[0] + offset}"

    def internal_bind_address(self, offset: int) -> str:
        """The address on which this machine's process with that port offset listens for other processes."""
        return f"{self.bind_ip or self.ip}:{self.internal_ports[0] + offset}"

    def seed_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the control planes that the seeds name."""
        port = self.internal_ports[0] + CONTROL_PLANE_PORT
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(str, _structure_str)
    for settings_type in (MachineLimits, FaultTolerance, Bounds, NodeSettings):
        converter.register_structure_hook(settings_type, make_dict_structure_fn(settings_type, converter))
    return converter


def _structure_float(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)


def _structure_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != int(value):
        raise ValueError(f"expected an integer, got {value!r}")
    return int(value)


def _structure_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return value


def _structure_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {value!r}")
    return value


def parse_settings(text: bytes) -> NodeSettings:
    """Parse the settings in a file's bytes; SettingsError names the invalid field."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise SettingsError("(file)", f"not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("(file)", "expected a JSON object")
    try:
        return _converter().structure(raw, NodeSettings)
    except cattrs.BaseValidationError as error:
        description, _, field_path = cattrs.transform_error(error)[0].partition(" @ ")
        raise SettingsError(field_path.removeprefix("$.") or "(file)", description) from None


def read_settings(path: str | None = None) -> NodeSettings:
    """Read the settings of this process; SettingsError if the file is missing or invalid."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "the variable is not set; it has to name the settings file")
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(path, str(error)) from None
