"""The START object into `Settings`, once for both hosts: as path=value lines and as nested JSON.

Wire names stop here. What a host needs beside the module's settings (the names that stand on the sockets, and
for how long a connection may idle) is in `HostSettings`; the module never sees a name.
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
    """A needed setting is missing or cannot be read."""


def _flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def _number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def _count(text: str) -> int:
    """A whole number of at least 1, also where it is written as 3.0."""
    value = _number(text)
    if value < 1 or value != int(value):
        raise ValueError(text)
    return int(value)


def _words(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


# What has to be a number above 0 in each class, and what of the settings says where a balancer stands.
ABOVE_ZERO = ("DeadlineMs", "GoalTimeMs")
PLACE = ("tier", "tiers", "me", "zone", "zones")
NO_WORDS: tuple[str, ...] = ()
ONE_WORD: tuple[str, ...] = ("",)
# Where the settings do not say for how long a connection may stand idle.
DEFAULT_IDLE_MS = 10_000.0


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a host on sockets needs to turn names into the module's numbers, and limits it keeps itself."""

    settings: Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    report_names: tuple[str, ...]
    idle_ms: float
    # What an earlier configuration had and this one has not; their names keep their numbers.
    retired: frozenset[str] = frozenset()
    retired_tenants: frozenset[str] = frozenset()


def values_of_lines(raw: bytes) -> dict[str, str]:
    """The values by path, of path=value lines."""
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
    """The same values by path, of the nested JSON object."""
    if not isinstance(tree, dict):
        raise SettingsError("settings are not a JSON object")
    values: dict[str, str] = {}
    _flatten(tree, "", values)
    return values


def _flatten(tree: dict[str, object], at: str, values: dict[str, str]) -> None:
    for name, value in tree.items():
        path = f"{at}{name}"
        if isinstance(value, dict):
            _flatten(value, f"{path}.", values)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            values[f"{path}.count"] = str(len(value))
            for number, item in enumerate(value):
                if not isinstance(item, dict):
                    raise SettingsError(f"setting {path} mixes objects and plain values")
                _flatten(item, f"{path}.{number}.", values)
        elif isinstance(value, list):
            values[path] = ",".join(_plain(item).replace(",", "_") for item in value)
        elif value is not None:
            values[path] = _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


class _Values:
    """The values by path, read with their type; an unknown path is left alone."""

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


def _request_class(values: _Values, at: str) -> RequestClass:
    effect = values.get(f"{at}.Effect", EFFECTS.__getitem__)
    keyed = effect is Effect.KEYED
    return RequestClass(
        effect=effect,
        group=values.get(f"{at}.Group", GROUPS.__getitem__, None if keyed else Group.ALL),
        window_ms=values.get(f"{at}.WindowMs", _number, None if keyed else 0.0),
        aim_ms=values.get(f"{at}.GoalTimeMs", _number),
        deadline_ms=values.get(f"{at}.DeadlineMs", _number),
        worth=values.get(f"{at}.Importance", _number, 1.0),
        late_worth=values.get(f"{at}.LateValue", _number, 0.0),
        streamed=values.get(f"{at}.Streamed", _flag, False),
    )


def read_settings(raw: bytes) -> Settings:
    """The settings of one copy, of path=value lines. SettingsError names the key that cannot be read."""
    return _settings(_Values(values_of_lines(raw)))


def read_host_settings(tree: object) -> HostSettings:
    """The settings of one copy and its host's, of nested JSON. SettingsError names the key at fault."""
    values = _Values(values_of_object(tree))
    _check_numbers(tree)
    settings = _settings(values)
    class_names = tuple(values.get(f"Profiles.{n}.Name", str) for n in range(len(settings.classes)))
    if len(set(class_names)) < len(class_names):
        raise SettingsError("two Profiles have one Name")
    return HostSettings(
        settings=settings,
        class_names=class_names,
        tenant_names=tuple(values.get(f"Customers.{n}.Name", str) for n in range(len(settings.tenants))),
        zone_names=values.get("Zones", _words, NO_WORDS),
        kind_names=values.get("Kinds", _words, NO_WORDS),
        report_names=values.get("Reporting.Columns", _words, NO_WORDS),
        idle_ms=values.get("Ceilings.ConnIdleMs", _number, DEFAULT_IDLE_MS),
    )


def _check_numbers(tree: Any) -> None:
    """Guards against text, booleans and the like where lines would read a number all the same."""
    profiles = tree.get("Profiles")
    for number, profile in enumerate(profiles if isinstance(profiles, list) else ()):
        for name in ABOVE_ZERO:
            if isinstance(profile, dict) and name in profile:
                _must_be_above_zero(f"Profiles.{number}.{name}", profile[name])
    ceilings = tree.get("Ceilings")
    if isinstance(ceilings, dict) and "MaxAttempts" in ceilings:
        _must_be_above_zero("Ceilings.MaxAttempts", ceilings["MaxAttempts"])


def _must_be_above_zero(path: str, value: object) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not 0 < float(str(value)) < float("inf"):
        raise SettingsError(f"setting {path} is no number above 0: {str(value)[:60]!r}")


def retuned(old: HostSettings, new: HostSettings) -> HostSettings:
    """The new settings with the numbers that classes and tenants have in the old, and where it stands kept.

    What a class or tenant was stays under its number when it vanishes, for the requests that came with it.
    """
    class_names, classes = _numbered(
        (old.class_names, old.settings.classes), (new.class_names, new.settings.classes)
    )
    tenant_names, tenants = _numbered(
        (old.tenant_names, old.settings.tenants), (new.tenant_names, new.settings.tenants)
    )
    kept = {name: getattr(old.settings, name) for name in PLACE}
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
    """What of where a balancer stands differs: it needs a restart."""
    places = [name for name in PLACE if getattr(old.settings, name) != getattr(new.settings, name)]
    names = ("zone_names", "kind_names")
    return places + [name for name in names if getattr(old, name) != getattr(new, name)]


def _numbered(
    old: tuple[tuple[str, ...], tuple[T, ...]], new: tuple[tuple[str, ...], tuple[T, ...]]
) -> tuple[tuple[str, ...], tuple[T, ...]]:
    """Names and values, the old ones in their places, those that are new behind."""
    merged = {**dict(zip(*old, strict=True)), **dict(zip(*new, strict=True))}
    return tuple(merged), tuple(merged.values())


def _settings(values: _Values) -> Settings:
    classes = tuple(_request_class(values, f"Profiles.{n}") for n in range(values.get("Profiles.count", int)))
    tenants = tuple(
        Tenant(
            share=values.get(f"Customers.{n}.Fraction", _number),
            quota_per_s=values.get(f"Customers.{n}.QuotaPerS", _number),
        )
        for n in range(values.get("Customers.count", int, 0))
    )
    how = values.get(
        "Reporting.How", {"inline": "inline", "on_probe": "on_probe", "off": "off"}.__getitem__, "off"
    )
    weights = values.get("Weights", {w: w for w in ("off", "nominal", "rough", "live")}.__getitem__, "off")
    return Settings(
        classes=classes,
        tenants=tenants,
        tier=values.get("Tier", int, 0),
        tiers=len(values.get("Tiers", _words, ONE_WORD)),
        me=values.get("Me", int, 0),
        copies=values.get("NInstances", int),
        zone=values.get("Zone", int, 0),
        zones=len(values.get("Zones", _words, ONE_WORD)),
        max_attempts=values.get("Ceilings.MaxAttempts", _count),
        max_open=values.get("Ceilings.MaxOpen", int, 0),
        second_copies=values.get("Ceilings.SecondCopies", _flag),
        may_cancel=values.get("Ceilings.Cancel", _flag),
        may_probe=values.get("Ceilings.Probes", _flag),
        may_tell=values.get("Ceilings.MayTell", _flag, False),
        retry_after=values.get("Ceilings.RetryAfter", _flag),
        max_retry_after_ms=values.get("Ceilings.MaxRetryAfterMs", _number, 0.0),
        clients_mark_repeats=values.get("Clients.MarksRetry", _flag, False),
        passes_deadline=values.get("FamilyInfo.PassesDeadline", _flag, True),
        warm_keys=values.get("FamilyInfo.WarmKeys", _flag, False),
        connect_timeout_ms=values.get("Ceilings.ConnectTimeoutMs", _number, 0.0),
        tick_ms=values.get("GranularityMs", _number, 0.0),
        answer_slack_ms=values.get("Obligations.AnswerSlackMs", _number),
        drain_grace_ms=values.get("Obligations.DrainGraceMs", _number),
        start_capacity=values.get("Obligations.StartCapacity", _number),
        warm_after_ms=values.get("Obligations.WarmAfterMs", _number),
        fall_multiple=values.get("Obligations.FallMultiple", _number),
        fall_ms=values.get("Obligations.FallMs", _number),
        must_ask=values.get("Discovery", {"pushed": False, "on_request": True}.__getitem__),
        ask_within_ms=values.get("Obligations.AskWithinMs", _number, 0.0),
        report_columns=tuple(
            COLUMNS.get(name, name) for name in values.get("Reporting.Columns", _words, NO_WORDS)
        ),
        reports_on_answers=how == "inline",
        ratings_tell_size=weights in ("nominal", "rough"),
        worth_by_work=values.get("WorthBy", {"work": True, "request": False}.__getitem__, False),
        over_share_worth=values.get("OverShareWorth", _number, 1.0),
        waste_price=values.get("Prices.Waste", _number, 0.0),
        probe_price=values.get("Prices.Probe", _number, 0.0),
        cross_zone_price=values.get("Prices.CrossZone", _number, 0.0),
        late_price=values.get("Prices.LateFail", _number, 0.0),
    )
