"""The table of contradictions, the meet that is derived from it, and the order of versions."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.agreement import table, versions
from madderwind.standalone.agreement.table import contradict, looser, meet, rules_of
from madderwind.standalone.policy.api import Effect, Group, RequestClass, Settings, Tenant
from madderwind.standalone.settings import HostSettings

NUMBERS = st.sampled_from([0.0, 1.0, 2.5, 900.0])
CLASSES = st.builds(
    RequestClass,
    st.sampled_from(Effect),
    st.sampled_from(Group),
    NUMBERS,
    NUMBERS,
    NUMBERS,
    NUMBERS,
    NUMBERS,
    st.booleans(),
)
BY_TYPE = {"int": st.integers(0, 3), "float": NUMBERS, "bool": st.booleans(), "tuple[str, ...]": st.just(())}


@st.composite
def host_settings(draw: st.DrawFn) -> HostSettings:
    """Arbitrary settings, with few names of classes and tenants so that two versions share some."""
    plain: dict[str, Any] = {
        name: draw(BY_TYPE[str(kind)])
        for name, kind in Settings.__annotations__.items()
        if name not in table.COMPARED_BY_NAME
    }
    classes = draw(st.dictionaries(st.sampled_from("abc"), CLASSES, max_size=3))
    tenants = draw(st.dictionaries(st.sampled_from("xy"), st.builds(Tenant, NUMBERS, NUMBERS), max_size=2))
    return HostSettings(
        settings=Settings(classes=tuple(classes.values()), tenants=tuple(tenants.values()), **plain),
        class_names=tuple(classes),
        tenant_names=tuple(tenants),
        zone_names=(),
        kind_names=(),
        report_names=(),
        idle_ms=1.0,
    )


HOST_SETTINGS = host_settings()


def test_every_setting_is_in_the_table() -> None:
    assert set(table.SETTINGS) | table.COMPARED_BY_NAME == set(Settings.__struct_fields__)
    assert set(table.CLASS) == set(RequestClass.__struct_fields__)
    assert set(table.TENANT) == set(Tenant.__struct_fields__)


@given(HOST_SETTINGS, HOST_SETTINGS, HOST_SETTINGS)
def test_the_meet_is_what_both_versions_allow(a: HostSettings, b: HostSettings, c: HostSettings) -> None:
    common = meet(a, b)
    assert rules_of(common) == rules_of(meet(b, a))
    assert rules_of(meet(common, c)) == rules_of(meet(a, meet(b, c)))
    assert not contradict(meet(a, a), a)
    assert not looser(common, a) and not looser(common, b)
    assert contradict(a, b) == (looser(a, b) or looser(b, a))
    # The list of changes contains a looser one exactly if the new version is looser, and a tighter one only
    # if the old version is looser.
    reported = table.changes(a, b)
    assert looser(b, a) == any(change.tighter is False for change in reported)
    assert looser(a, b) >= any(change.tighter for change in reported)


STAMPS = st.builds(versions.Stamp, st.integers(1, 4), st.sampled_from("pq"))


@given(STAMPS, STAMPS)
def test_only_the_next_version_number_may_follow(in_force: versions.Stamp, offered: versions.Stamp) -> None:
    follows = offered == in_force or offered.number == in_force.number + 1
    assert (versions.why_not(in_force, offered) == "") is follows
    assert versions.why_not(None, offered) == versions.why_not(in_force, None) == ""


def test_the_digest_covers_the_settings_that_balancers_share() -> None:
    file = {"name": "app-0", "version": 1, "settings": {"Me": 0, "Zone": 1, "Ceilings": {"MaxAttempts": 3}}}
    same = {"settings": {"Ceilings": {"MaxAttempts": 3.0}, "Me": 4}, "name": "app-4", "version": 2}
    assert versions.digest_of(file) == versions.digest_of(same)
    other = msgspec.json.decode(msgspec.json.encode(file).replace(b":3", b":4"))
    assert versions.digest_of(file) != versions.digest_of(other)
