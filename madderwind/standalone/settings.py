"""Parses the START object into `Settings`, for both hosts: from path=value lines and from nested JSON.

No other module uses the names of the wire format. `HostSettings` holds what a host needs apart from the
module's settings: the names used on the sockets and the idle time of connections. The module sees no names.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from madderwind.standalone.policy.api import Effect, Group, RequestClass, Settings, Tenant

T = TypeVar("T")

EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
COLUMNS = {
    "active": "in_flight",
    "waiting": "waiting",
    "cpu": "cpu",
    "avg_ms": "response_ms",
    "rps": "served_per_s",
    "err_rps": "errors_per_s",
}


class SettingsError(ValueError):
    """A required setting is missing or cannot be parsed."""


def _parse_bool(text: str) -> bool:
    return {"true": True, "false": False}[text]


def _parse_number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def _parse_count(text: str) -> int:
    """Parse a whole number of at least 1; 3.0 is accepted too."""
    value = _parse_number(text)
    if value < 1 or value != int(value):
        raise ValueError(text)
    return int(value)


def _parse_list(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


# Settings of each class that must be numbers above 0, and settings that give a balancer's place.
POSITIVE_CLASS_SETTINGS = ("DeadlineMs", "GoalTimeMs")
PLACE_SETTINGS = ("tier", "tiers", "me", "zone", "zones")
EMPTY_LIST: tuple[str, ...] = ()
ONE_EMPTY_NAME: tuple[str, ...] = ("",)
# Idle time of connections if the settings give none.
DEFAULT_IDLE_MS = 10_000.0


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The names that a host maps to the module's numbers, and the limits that the host applies itself."""

    settings: Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    report_names: tuple[str, ...]
    idle_ms: float
    # Classes and tenants of earlier configurations that this one lacks; their names keep their numbers.
    retired: frozenset[str] = frozenset()
    retired_tenants: frozenset[str] = frozenset()


def values_of_lines(raw: bytes) -> dict[str, str]:
    """Parse path=value lines into values by path."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError(
            f"START settings are not UTF-8 text: {error.reason} at byte {error.start}"
        ) from None
    values: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line:
            continue
        path, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"START settings line {number} has no '=': {line[:60]!r}")
        values[path] = value
    return values


def values_of_object(tree: object) -> dict[str, str]:
    """Flatten a nested JSON object into the same values by path."""
    if not isinstance(tree, dict):
        raise SettingsError("settings are not a JSON object")
    values: dict[str, str] = {}
    _flatten(tree, "", values)
    return values


def _flatten(tree: dict[str, object], prefix: str, values: dict[str, str]) -> None:
    for name, value in tree.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            _flatten(value, f"{path}.", values)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            values[f"{path}.count"] = str(len(value))
            for number, item in enumerate(value):
                if not isinstance(item, dict):
                    raise SettingsError(f"setting {path} mixes objects and plain values")
                _flatten(item, f"{path}.{number}.", values)
        elif isinstance(value, list):
            values[path] = ",".join(_scalar_text(item).replace(",", "_") for item in value)
        elif value is not None:
            values[path] = _scalar_text(value)


def _scalar_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


class _SettingValues:
    """Typed access to values by path. Unknown paths are ignored."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def get(self, path: str, read: Callable[[str], T], default: T | None = None) -> T:
        if path not in self._values:
            if default is None:
                raise SettingsError(f"START settings lack {path}")
            return default
        try:
            return read(self._values[path])
        except (ValueError, KeyError):
            raise SettingsError(f"START setting {path} cannot be read: {self._values[path][:60]!r}") from None


def _request_class(values: _SettingValues, prefix: str) -> RequestClass:
    effect = values.get(f"{prefix}.Effect", EFFECTS.__getitem__)
    keyed = effect is Effect.KEYED
    return RequestClass(
        effect=effect,
        group=values.get(f"{prefix}.Group", GROUPS.__getitem__, None if keyed else Group.ALL),
        window_ms=values.get(f"{prefix}.WindowMs", _parse_number, None if keyed else 0.0),
        aim_ms=values.get(f"{prefix}.GoalTimeMs", _parse_number),
        deadline_ms=values.get(f"{prefix}.DeadlineMs", _parse_number),
        worth=values.get(f"{prefix}.Importance", _parse_number, 1.0),
        late_worth=values.get(f"{prefix}.LateValue", _parse_number, 0.0),
        streamed=values.get(f"{prefix}.Streamed", _parse_bool, False),
    )


def read_settings(raw: bytes) -> Settings:
    """Parse the settings of one copy from path=value lines. SettingsError names the key at fault."""
    return _build_settings(_SettingValues(values_of_lines(raw)))


def read_host_settings(tree: object) -> HostSettings:
    """Parse the settings of one copy and its host from nested JSON. SettingsError names the key at fault."""
    values = _SettingValues(values_of_object(tree))
    _check_numbers(tree)
    settings = _build_settings(values)
    class_names = tuple(values.get(f"Profiles.{n}.Name", str) for n in range(len(settings.classes)))
    if len(set(class_names)) < len(class_names):
        raise SettingsError("two Profiles have the same Name")
    return HostSettings(
        settings=settings,
        class_names=class_names,
        tenant_names=tuple(values.get(f"Customers.{n}.Name", str) for n in range(len(settings.tenants))),
        zone_names=values.get("Zones", _parse_list, EMPTY_LIST),
        kind_names=values.get("Kinds", _parse_list, EMPTY_LIST),
        report_names=values.get("Reporting.Columns", _parse_list, EMPTY_LIST),
        idle_ms=values.get("Ceilings.ConnIdleMs", _parse_number, DEFAULT_IDLE_MS),
    )


def _check_numbers(tree: Any) -> None:
    """Reject JSON text, booleans and the like, which would pass as numbers once flattened to text."""
    profiles = tree.get("Profiles")
    for number, profile in enumerate(profiles if isinstance(profiles, list) else ()):
        for name in POSITIVE_CLASS_SETTINGS:
            if isinstance(profile, dict) and name in profile:
                _require_positive_number(f"Profiles.{number}.{name}", profile[name])
    ceilings = tree.get("Ceilings")
    if isinstance(ceilings, dict) and "MaxAttempts" in ceilings:
        _require_positive_number("Ceilings.MaxAttempts", ceilings["MaxAttempts"])


def _require_positive_number(path: str, value: object) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < float(str(value)) < float("inf"):
        raise SettingsError(f"setting {path} is not a number above 0: {str(value)[:60]!r}")


def retuned(old: HostSettings, new: HostSettings) -> HostSettings:
    """Merge new settings into old: classes and tenants keep their numbers, and the balancer keeps its place.

    A removed class or tenant keeps its number and settings, for requests that arrived with it.
    """
    class_names, classes = _keep_positions(
        (old.class_names, old.settings.classes), (new.class_names, new.settings.classes)
    )
    tenant_names, tenants = _keep_positions(
        (old.tenant_names, old.settings.tenants), (new.tenant_names, new.settings.tenants)
    )
    kept = {name: getattr(old.settings, name) for name in PLACE_SETTINGS}
    return msgspec.structs.replace(
        new,
        settings=msgspec.structs.replace(new.settings, classes=classes, tenants=tenants, **kept),
        class_names=class_names,
        tenant_names=tenant_names,
        zone_names=old.zone_names,
        kind_names=old.kind_names,
        retired=frozenset(class_names) - frozenset(new.class_names),
        retired_tenants=frozenset(tenant_names) - frozenset(new.tenant_names),
    )


def moved(old: HostSettings, new: HostSettings) -> list[str]:
    """The settings of the balancer's place that differ; a change of these needs a restart."""
    places = [name for name in PLACE_SETTINGS if getattr(old.settings, name) != getattr(new.settings, name)]
    names = ("zone_names", "kind_names")
    return places + [name for name in names if getattr(old, name) != getattr(new, name)]


def _keep_positions(
    old: tuple[tuple[str, ...], tuple[T, ...]], new: tuple[tuple[str, ...], tuple[T, ...]]
) -> tuple[tuple[str, ...], tuple[T, ...]]:
    """Merge names and values: old names keep their positions, and new ones are appended."""
    merged = {**dict(zip(*old, strict=True)), **dict(zip(*new, strict=True))}
    return tuple(merged), tuple(merged.values())


def _build_settings(values: _SettingValues) -> Settings:
    classes = tuple(_request_class(values, f"Profiles.{n}") for n in range(values.get("Profiles.count", int)))
    tenants = tuple(
        Tenant(
            share=values.get(f"Customers.{n}.Fraction", _parse_number),
            quota_per_s=values.get(f"Customers.{n}.QuotaPerS", _parse_number),
        )
        for n in range(values.get("Customers.count", int, 0))
    )
    reporting = values.get(
        "Reporting.How", {"inline": "inline", "on_probe": "on_probe", "off": "off"}.__getitem__, "off"
    )
    weights = values.get(
        "Weights", {choice: choice for choice in ("off", "nominal", "rough", "live")}.__getitem__, "off"
    )
    return Settings(
        classes=classes,
        tenants=tenants,
        tier=values.get("Tier", int, 0),
        tiers=len(values.get("Tiers", _parse_list, ONE_EMPTY_NAME)),
        me=values.get("Me", int, 0),
        copies=values.get("NInstances", int),
        zone=values.get("Zone", int, 0),
        zones=len(values.get("Zones", _parse_list, ONE_EMPTY_NAME)),
        max_attempts=values.get("Ceilings.MaxAttempts", _parse_count),
        max_open=values.get("Ceilings.MaxOpen", int, 0),
        second_copies=values.get("Ceilings.SecondCopies", _parse_bool),
        may_cancel=values.get("Ceilings.Cancel", _parse_bool),
        may_probe=values.get("Ceilings.Probes", _parse_bool),
        may_tell=values.get("Ceilings.MayTell", _parse_bool, False),
        retry_after=values.get("Ceilings.RetryAfter", _parse_bool),
        max_retry_after_ms=values.get("Ceilings.MaxRetryAfterMs", _parse_number, 0.0),
        clients_mark_repeats=values.get("Clients.MarksRetry", _parse_bool, False),
        passes_deadline=values.get("FamilyInfo.PassesDeadline", _parse_bool, True),
        warm_keys=values.get("FamilyInfo.WarmKeys", _parse_bool, False),
        connect_timeout_ms=values.get("Ceilings.ConnectTimeoutMs", _parse_number, 0.0),
        tick_ms=values.get("GranularityMs", _parse_number, 0.0),
        answer_slack_ms=values.get("Obligations.AnswerSlackMs", _parse_number),
        drain_grace_ms=values.get("Obligations.DrainGraceMs", _parse_number),
        start_capacity=values.get("Obligations.StartCapacity", _parse_number),
        warm_after_ms=values.get("Obligations.WarmAfterMs", _parse_number),
        fall_multiple=values.get("Obligations.FallMultiple", _parse_number),
        fall_ms=values.get("Obligations.FallMs", _parse_number),
        must_ask=values.get("Discovery", {"pushed": False, "on_request": True}.__getitem__),
        ask_within_ms=values.get("Obligations.AskWithinMs", _parse_number, 0.0),
        report_columns=tuple(
            COLUMNS.get(name, name) for name in values.get("Reporting.Columns", _parse_list, EMPTY_LIST)
        ),
        reports_on_answers=reporting == "inline",
        ratings_tell_size=weights in ("nominal", "rough"),
        worth_by_work=values.get("WorthBy", {"work": True, "request": False}.__getitem__, False),
        over_share_worth=values.get("OverShareWorth", _parse_number, 1.0),
        waste_price=values.get("Prices.Waste", _parse_number, 0.0),
        probe_price=values.get("Prices.Probe", _parse_number, 0.0),
        cross_zone_price=values.get("Prices.CrossZone", _parse_number, 0.0),
        late_price=values.get("Prices.LateFail", _parse_number, 0.0),
    )
