"""Of every setting: when two versions of it contradict, which is the stricter, and what both allow.

Two versions contradict where a copy that goes by one may do what the other forbids. What they both allow is
their meet: a copy that goes by it contradicts neither. docs/agreement.md has the table in words; `meet` and
`changes` are derived from the one below, and a test holds that no setting is missing from it.
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


class Way(Enum):
    """Which of two values is the stricter."""

    LESS = "the less"
    MORE = "the more"
    OFF = "off"
    ON = "on"
    FREE = "neither: each copy may go by its own"
    PLACE = "neither: it says where a copy stands, and waits for its restart"
    RESENT = "the one by which fewer requests are sent again"  # effect, group and window together


SETTINGS: dict[str, Way] = {
    "max_attempts": Way.LESS,
    "max_open": Way.LESS,  # 0: no bound
    "second_copies": Way.OFF,
    "may_cancel": Way.OFF,
    "may_probe": Way.OFF,
    "may_tell": Way.OFF,
    "retry_after": Way.OFF,
    "max_retry_after_ms": Way.LESS,
    "answer_slack_ms": Way.LESS,
    "drain_grace_ms": Way.LESS,
    "start_capacity": Way.LESS,
    "warm_after_ms": Way.MORE,
    "fall_multiple": Way.LESS,
    "copies": Way.MORE,  # the more copies, the smaller each one's part
    "must_ask": Way.ON,
    "ask_within_ms": Way.MORE,
    "ratings_tell_size": Way.OFF,  # a cold upstream is sent by its size only where that is known
    "tier": Way.PLACE,
    "tiers": Way.PLACE,
    "me": Way.PLACE,
    "zone": Way.PLACE,
    "zones": Way.PLACE,
    "clients_mark_repeats": Way.FREE,
    "passes_deadline": Way.FREE,
    "connect_timeout_ms": Way.FREE,
    "tick_ms": Way.FREE,
    "fall_ms": Way.FREE,
    "report_columns": Way.FREE,
    "reports_on_answers": Way.FREE,
    "worth_by_work": Way.FREE,
    "warm_keys": Way.FREE,
    "over_share_worth": Way.FREE,
    "waste_price": Way.FREE,
    "probe_price": Way.FREE,
    "cross_zone_price": Way.FREE,
    "late_price": Way.FREE,
}
CLASS: dict[str, Way] = {
    "effect": Way.RESENT,
    "group": Way.RESENT,
    "window_ms": Way.RESENT,
    "deadline_ms": Way.LESS,
    "aim_ms": Way.FREE,
    "worth": Way.FREE,
    "late_worth": Way.FREE,
    "streamed": Way.FREE,
}
TENANT: dict[str, Way] = {"quota_per_s": Way.LESS, "share": Way.FREE}
IN_PARTS = frozenset(("classes", "tenants"))  # of the settings: by names, with the tables above
NO_BOUND = frozenset(("max_open",))  # 0 is more than anything


class Change(msgspec.Struct, frozen=True):
    """One setting that a file would change.

    `tighter` None: neither it nor the old forbids what the other does.
    """

    at: str
    old: str
    new: str
    tighter: bool | None


# --- two values ---


def _strict(way: Way, name: str, a: Any, b: Any) -> Any:
    """The stricter of two values; of a free one the first."""
    match way:
        case Way.LESS:
            return min(a, b, key=lambda value: math.inf if name in NO_BOUND and not value else value)
        case Way.MORE:
            return max(a, b)
        case Way.OFF:
            return a and b
        case Way.ON:
            return a or b
        case _:
            return a


def _resent(a: RequestClass, b: RequestClass) -> tuple[Effect, Group, float]:
    """Effect, group and window of the meet.

    A request that may run twice only within its zone by one and only within its cell by the other may by both
    only where zone and cell are alike: no setting says that, so it is not sent again at all.
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


def _met(table: Mapping[str, Way], a: T, b: T) -> T:
    values = {name: _strict(way, name, getattr(a, name), getattr(b, name)) for name, way in table.items()}
    if isinstance(a, RequestClass) and isinstance(b, RequestClass):
        values |= dict(zip(("effect", "group", "window_ms"), _resent(a, b), strict=True))
    return msgspec.structs.replace(a, **values)  # type: ignore[type-var]


# --- whole versions ---


def meet(a: HostSettings, b: HostSettings) -> HostSettings:
    """What both allow, with the places and the free settings of the first.

    A class that one of them lacks is taken by neither: a copy that lacks it answers its requests as unknown.
    A tenant that one lacks has the quota of the other: without one it has no bound.
    """
    mine, theirs = _classes(a), _classes(b)
    classes = {name: _met(CLASS, klass, theirs[name]) for name, klass in mine.items() if name in theirs}
    ours, others = _tenants(a), _tenants(b)
    tenants = {
        name: _met(TENANT, ours[name], others[name])
        if name in ours and name in others
        else (ours.get(name) or others[name])
        for name in ours | others
    }
    settings = msgspec.structs.replace(
        _met(SETTINGS, a.settings, b.settings),
        classes=tuple(classes.values()),
        tenants=tuple(tenants.values()),
    )
    return msgspec.structs.replace(
        a, settings=settings, class_names=tuple(classes), tenant_names=tuple(tenants)
    )


def rules_of(host: HostSettings) -> dict[str, Any]:
    """What may contradict, by place: alike of two versions that don't."""
    rules = {name: getattr(host.settings, name) for name, way in SETTINGS.items() if _counts(way)}
    for name, klass in _classes(host).items():
        effect, group, window_ms = _resent(klass, klass)
        rules[f"classes.{name}"] = (effect.value, group.value, window_ms, klass.deadline_ms)
    rules |= {f"tenants.{name}": tenant.quota_per_s for name, tenant in _tenants(host).items()}
    return rules


def contradict(a: HostSettings, b: HostSettings) -> bool:
    return rules_of(a) != rules_of(b)


def looser(a: HostSettings, b: HostSettings) -> bool:
    """Whether the first allows anything that the second forbids."""
    return rules_of(meet(a, b)) != rules_of(a)


def changes(old: HostSettings, new: HostSettings) -> list[Change]:
    """What a file would change, in the order of the table; with classes and tenants that come or go."""
    found = list[Change]()
    for name, way in SETTINGS.items():
        _compare(found, name, way, name, getattr(old.settings, name), getattr(new.settings, name))
    _compare_parts(found, "classes", CLASS, _classes(old), _classes(new), more_is_looser=True)
    _compare_parts(found, "tenants", TENANT, _tenants(old), _tenants(new), more_is_looser=False)
    return found


def _counts(way: Way) -> bool:
    return way not in (Way.FREE, Way.PLACE)


def _classes(host: HostSettings) -> dict[str, RequestClass]:
    named = dict(zip(host.class_names, host.settings.classes, strict=True))
    return {name: klass for name, klass in named.items() if name not in host.retired}


def _tenants(host: HostSettings) -> dict[str, Tenant]:
    named = dict(zip(host.tenant_names, host.settings.tenants, strict=True))
    return {name: tenant for name, tenant in named.items() if name not in host.retired_tenants}


def _compare(found: list[Change], at: str, way: Way, name: str, old: Any, new: Any) -> None:
    if old != new:
        tighter = _strict(way, name, old, new) == new if _counts(way) else None
        found.append(Change(at, _plain(old), _plain(new), tighter))


def _compare_parts(
    found: list[Change],
    what: str,
    table: Mapping[str, Way],
    old: dict[str, Any],
    new: dict[str, Any],
    more_is_looser: bool,
) -> None:
    for name in old | new:
        at = f"{what}.{name}"
        if name not in old or name not in new:
            came = name in new
            found.append(
                Change(at, "" if came else "there", "there" if came else "", came is not more_is_looser)
            )
            continue
        before, after = old[name], new[name]
        for field, way in table.items():
            if way is not Way.RESENT:
                _compare(found, f"{at}.{field}", way, field, getattr(before, field), getattr(after, field))
        if isinstance(before, RequestClass) and isinstance(after, RequestClass):
            was, will = _resent(before, before), _resent(after, after)
            if was != will:
                tighter = _resent(before, after) == will
                found.append(Change(f"{at}.sent_again", _in_words(was), _in_words(will), tighter))


def _in_words(resent: tuple[Effect, Group, float]) -> str:
    effect, group, window_ms = resent
    if effect is not Effect.KEYED:
        return {Effect.SAFE: "always", Effect.UNSAFE: "never"}[effect]
    return f"within {window_ms:g} ms, group {group.value}"


def _plain(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    return f"{value:g}" if isinstance(value, float) else str(value).lower()
