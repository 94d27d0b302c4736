"""The settings file of one process of the system: read once, checked by field, unknown fields passed over.

The file is the one that `MADDERWIND_CONFIG` names; docs/system.md lists what is taken from it.
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
# Offsets into `internal_ports`: two processes of one machine share the range.
CONTROL_PLANE_PORT, DATA_PLANE_PORT = 0, 1


@attrs.frozen
class MachineLimits:
    """What the machine allows: MB of memory and disk, descriptors, Mbit/s of its link."""

    memory_mb: float = 256.0
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@attrs.frozen
class FaultTolerance:
    """What may be lost at the same moment while every promise holds."""

    machines: int = 1


@attrs.frozen
class Bounds:
    """The deployment's bounds, from the settings file; `_ms` and `_s` tell the unit."""

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
    """One process's settings.

    Addresses are `ip:port`. `bind_ip` is where to listen for other processes where that is not `ip`, the one
    they connect to: behind a relay or an address translation.
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
        """Where this machine's process with that offset takes messages of other processes."""
        return f"{self.ip}:{self.internal_ports[0] + offset}"

    def internal_bind_address(self, offset: int) -> str:
        """Where this machine's process with that offset listens for other processes."""
        return f"{self.bind_ip or self.ip}:{self.internal_ports[0] + offset}"

    def seed_addresses(self) -> tuple[str, ...]:
        """The control planes' internal addresses, as far as the seeds tell them."""
        port = self.internal_ports[0] + CONTROL_PLANE_PORT
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(int, _whole_number)
    converter.register_structure_hook(bool, _truth)
    converter.register_structure_hook(str, _text)
    for kind in (MachineLimits, FaultTolerance, Bounds, NodeSettings):
        converter.register_structure_hook(kind, make_dict_structure_fn(kind, converter))
    return converter


def _number(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"a number was expected, not {value!r}")
    return float(value)


def _whole_number(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != int(value):
        raise ValueError(f"a whole number was expected, not {value!r}")
    return int(value)


def _truth(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"true or false was expected, not {value!r}")
    return value


def _text(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"a text was expected, not {value!r}")
    return value


def parse_settings(text: bytes) -> NodeSettings:
    """The settings in a file's bytes; SettingsError names the field at fault."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise SettingsError("(file)", f"no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("(file)", "an object was expected")
    try:
        return _converter().structure(raw, NodeSettings)
    except cattrs.BaseValidationError as error:
        place, _, reason = cattrs.transform_error(error)[0].partition(" @ ")
        raise SettingsError(reason.removeprefix("$.") or "(file)", place) from None


def read_settings(path: str | None = None) -> NodeSettings:
    """The settings of this process; SettingsError where there are none that can be used."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "no settings file is named")
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(path, str(error)) from None
