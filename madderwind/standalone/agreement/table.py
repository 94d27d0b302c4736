"""For every setting: when two versions contradict, which one is stricter, and what both allow.

Two versions contradict if a balancer that follows one may do what the other forbids. Their meet is what both
allow: a balancer that follows it contradicts neither. docs/agreement.md describes the table in words; `meet`
and `changes` are derived from the table below, and a test checks that no setting is missing from it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

import msgspec

from madderwind.standalone.policy.api import Effect, Group, RequestClass, Tenant
from madderwind.standalone.settings import HostSettings

T = TypeVar("T")


class StricterValue(Enum):
    """Which of two values of a setting is the stricter one."""

    LESS = "the less"
    MORE = "the more"
    OFF = "off"
    ON = "on"
    FREE = "neither: each copy may go by its own"
    LOCATION = "neither: it says where a copy stands, and waits for its restart"
    RETRY_RULE = "the one by which fewer requests are sent again"  # effect, group and window together


SETTINGS: dict[str, StricterValue] = {
    "max_attempts": StricterValue.LESS,
    "max_open": StricterValue.LESS,  # 0: unbounded
    "second_copies": StricterValue.OFF,
    "may_cancel": StricterValue.OFF,
    "may_probe": StricterValue.OFF,
    "may_tell": StricterValue.OFF,
    "retry_after": StricterValue.OFF,
    "max_retry_after_ms": StricterValue.LESS,
    "answer_slack_ms": StricterValue.LESS,
    "drain_grace_ms": StricterValue.LESS,
    "start_capacity": StricterValue.LESS,
    "warm_after_ms": StricterValue.MORE,
    "fall_multiple": StricterValue.LESS,
    "copies": StricterValue.MORE,  # the more balancers, the smaller the share of each
    "must_ask": StricterValue.ON,
    "ask_within_ms": StricterValue.MORE,
    # An upstream that warms up gets requests by its size only if that is known.
    "ratings_tell_size": StricterValue.OFF,
    "tier": StricterValue.LOCATION,
    "tiers": StricterValue.LOCATION,
    "me": StricterValue.LOCATION,
    "zone": StricterValue.LOCATION,
    "zones": StricterValue.LOCATION,
    "clients_mark_repeats": StricterValue.FREE,
    "passes_deadline": StricterValue.FREE,
    "connect_timeout_ms": StricterValue.FREE,
    "tick_ms": StricterValue.FREE,
    "fall_ms": StricterValue.FREE,
    "report_columns": StricterValue.FREE,
    "reports_on_answers": StricterValue.FREE,
    "worth_by_work": StricterValue.FREE,
    "warm_keys": StricterValue.FREE,
    "over_share_worth": StricterValue.FREE,
    "waste_price": StricterValue.FREE,
    "probe_price": StricterValue.FREE,
    "cross_zone_price": StricterValue.FREE,
    "late_price": StricterValue.FREE,
}
CLASS: dict[str, StricterValue] = {
    "effect": StricterValue.RETRY_RULE,
    "group": StricterValue.RETRY_RULE,
    "window_ms": StricterValue.RETRY_RULE,
    "deadline_ms": StricterValue.LESS,
    "aim_ms": StricterValue.FREE,
    "worth": StricterValue.FREE,
    "late_worth": StricterValue.FREE,
    "streamed": StricterValue.FREE,
}
TENANT: dict[str, StricterValue] = {"quota_per_s": StricterValue.LESS, "share": StricterValue.FREE}
# Settings whose parts are compared by name, with the tables above.
COMPARED_BY_NAME = frozenset(("classes", "tenants"))
ZERO_IS_UNBOUNDED = frozenset(("max_open",))  # settings of which 0 is greater than any other value


class Change(msgspec.Struct, frozen=True):
    """One setting that a file would change.

    `tighter` is None if neither the old nor the new value forbids what the other allows.
    """

    at: str
    old: str
    new: str
    tighter: bool | None


def _stricter_of(stricter: StricterValue, name: str, a: Any, b: Any) -> Any:
    """The stricter of two values; the first if neither is stricter."""
    match stricter:
        case StricterValue.LESS:
            return min(a, b, key=lambda value: math.inf if name in ZERO_IS_UNBOUNDED and not value else value)
        case StricterValue.MORE:
            return max(a, b)
        case StricterValue.OFF:
            return a and b
        case StricterValue.ON:
            return a or b
        case _:
            return a


def _retry_rule(a: RequestClass, b: RequestClass) -> tuple[Effect, Group, float]:
    """Effect, group and window of the meet.

    If one version allows a retry only within the zone and the other only within the cell, both allow it only
    where zone and cell are the same. No setting expresses that, so such a request is not retried at all.
    """
    if Effect.UNSAFE in (a.effect, b.effect):
        return Effect.UNSAFE, Group.ALL, 0.0
    keyed = [c for c in (a, b) if c.effect is Effect.KEYED]
    if not keyed:
        return Effect.SAFE, Group.ALL, 0.0
    groups = {c.group for c in keyed} - {Group.ALL}
    if len(groups) > 1:
        return Effect.UNSAFE, Group.ALL, 0.0
    return Effect.KEYED, groups.pop() if groups else Group.ALL, min(c.window_ms for c in keyed)


def _meet_table(table: Mapping[str, StricterValue], a: T, b: T) -> T:
    values = {
        name: _stricter_of(stricter, name, getattr(a, name), getattr(b, name))
        for name, stricter in table.items()
    }
    if isinstance(a, RequestClass) and isinstance(b, RequestClass):
        values |= dict(zip(("effect", "group", "window_ms"), _retry_rule(a, b), strict=True))
    return msgspec.structs.replace(a, **values)  # type: ignore[type-var]


def meet(a: HostSettings, b: HostSettings) -> HostSettings:
    """What both versions allow, with the location and the free settings of the first.

    A class that one version lacks is left out: a balancer without it answers its requests as unknown. A
    tenant that one version lacks has the quota of the other: without a quota it is unbounded.
    """
    own_classes, other_classes = _classes(a), _classes(b)
    classes = {
        name: _meet_table(CLASS, request_class, other_classes[name])
        for name, request_class in own_classes.items()
        if name in other_classes
    }
    own_tenants, other_tenants = _tenants(a), _tenants(b)
    tenants = {
        name: _meet_table(TENANT, own_tenants[name], other_tenants[name])
        if name in own_tenants and name in other_tenants
        else (own_tenants.get(name) or other_tenants[name])
        for name in own_tenants | other_tenants
    }
    settings = msgspec.structs.replace(
        _meet_table(SETTINGS, a.settings, b.settings),
        classes=tuple(classes.values()),
        tenants=tuple(tenants.values()),
    )
    return msgspec.structs.replace(
        a, settings=settings, class_names=tuple(classes), tenant_names=tuple(tenants)
    )


def rules_of(host: HostSettings) -> dict[str, Any]:
    """The settings that may contradict, by path; equal for two versions that do not contradict."""
    rules = {
        name: getattr(host.settings, name) for name, stricter in SETTINGS.items() if _is_compared(stricter)
    }
    for name, request_class in _classes(host).items():
        effect, group, window_ms = _retry_rule(request_class, request_class)
        rules[f"classes.{name}"] = (effect.value, group.value, window_ms, request_class.deadline_ms)
    rules |= {f"tenants.{name}": tenant.quota_per_s for name, tenant in _tenants(host).items()}
    return rules


def contradict(a: HostSettings, b: HostSettings) -> bool:
    return rules_of(a) != rules_of(b)


def looser(a: HostSettings, b: HostSettings) -> bool:
    """Whether the first allows anything that the second forbids."""
    return rules_of(meet(a, b)) != rules_of(a)


def changes(old: HostSettings, new: HostSettings) -> list[Change]:
    """The changes that a file would make, in the order of the table, then classes and tenants."""
    found = list[Change]()
    for name, stricter in SETTINGS.items():
        _compare(found, name, stricter, name, getattr(old.settings, name), getattr(new.settings, name))
    _compare_by_name(found, "classes", CLASS, _classes(old), _classes(new), more_is_looser=True)
    _compare_by_name(found, "tenants", TENANT, _tenants(old), _tenants(new), more_is_looser=False)
    return found


def _is_compared(stricter: StricterValue) -> bool:
    return stricter not in (StricterValue.FREE, StricterValue.LOCATION)


def _classes(host: HostSettings) -> dict[str, RequestClass]:
    named = dict(zip(host.class_names, host.settings.classes, strict=True))
    return {name: request_class for name, request_class in named.items() if name not in host.retired}


def _tenants(host: HostSettings) -> dict[str, Tenant]:
    named = dict(zip(host.tenant_names, host.settings.tenants, strict=True))
    return {name: tenant for name, tenant in named.items() if name not in host.retired_tenants}


def _compare(found: list[Change], path: str, stricter: StricterValue, name: str, old: Any, new: Any) -> None:
    if old != new:
        tighter = _stricter_of(stricter, name, old, new) == new if _is_compared(stricter) else None
        found.append(Change(path, _value_text(old), _value_text(new), tighter))


def _compare_by_name(
    found: list[Change],
    kind: str,
    table: Mapping[str, StricterValue],
    old: dict[str, Any],
    new: dict[str, Any],
    more_is_looser: bool,
) -> None:
    for name in old | new:
        path = f"{kind}.{name}"
        if name not in old or name not in new:
            added = name in new
            found.append(
                Change(path, "" if added else "there", "there" if added else "", added is not more_is_looser)
            )
            continue
        old_part, new_part = old[name], new[name]
        for field, stricter in table.items():
            if stricter is not StricterValue.RETRY_RULE:
                _compare(
                    found,
                    f"{path}.{field}",
                    stricter,
                    field,
                    getattr(old_part, field),
                    getattr(new_part, field),
                )
        if isinstance(old_part, RequestClass) and isinstance(new_part, RequestClass):
            old_rule, new_rule = _retry_rule(old_part, old_part), _retry_rule(new_part, new_part)
            if old_rule != new_rule:
                tighter = _retry_rule(old_part, new_part) == new_rule
                found.append(
                    Change(f"{path}.sent_again", _rule_text(old_rule), _rule_text(new_rule), tighter)
                )


def _rule_text(rule: tuple[Effect, Group, float]) -> str:
    effect, group, window_ms = rule
    if effect is not Effect.KEYED:
        return {Effect.SAFE: "always", Effect.UNSAFE: "never"}[effect]
    return f"within {window_ms:g} ms, group {group.value}"


def _value_text(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    return f"{value:g}" if isinstance(value, float) else str(value).lower()
