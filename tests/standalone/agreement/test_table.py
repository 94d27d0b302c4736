"""The table of what contradicts, and the meet that is derived from it; and which file may follow which."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.agreement import table, versions
from madderwind.standalone.agreement.table import contradict, looser, meet, rules_of
from madderwind.standalone.policy.api import Effect, Group, RequestClass, Settings, Tenant
from madderwind.standalone.settings import HostSettings

FEW = st.sampled_from([0.0, 1.0, 2.5, 900.0])
CLASSES = st.builds(
    RequestClass, st.sampled_from(Effect), st.sampled_from(Group), FEW, FEW, FEW, FEW, FEW, st.booleans()
)
BY_TYPE = {"int": st.integers(0, 3), "float": FEW, "bool": st.booleans(), "tuple[str, ...]": st.just(())}


@st.composite
def versions_of(draw: st.DrawFn) -> HostSettings:
    """Any settings; classes and tenants by few names, so that two versions share some."""
    plain: dict[str, Any] = {
        name: draw(BY_TYPE[str(kind)])
        for name, kind in Settings.__annotations__.items()
        if name not in table.IN_PARTS
    }
    classes = draw(st.dictionaries(st.sampled_from("abc"), CLASSES, max_size=3))
    tenants = draw(st.dictionaries(st.sampled_from("xy"), st.builds(Tenant, FEW, FEW), max_size=2))
    return HostSettings(
        settings=Settings(classes=tuple(classes.values()), tenants=tuple(tenants.values()), **plain),
        class_names=tuple(classes),
        tenant_names=tuple(tenants),
        zone_names=(),
        kind_names=(),
        report_names=(),
        idle_ms=1.0,
    )


VERSIONS = versions_of()


def test_every_setting_is_in_the_table() -> None:
    assert set(table.SETTINGS) | table.IN_PARTS == set(Settings.__struct_fields__)
    assert set(table.CLASS) == set(RequestClass.__struct_fields__)
    assert set(table.TENANT) == set(Tenant.__struct_fields__)


@given(VERSIONS, VERSIONS, VERSIONS)
def test_the_meet_is_what_both_allow(a: HostSettings, b: HostSettings, c: HostSettings) -> None:
    met = meet(a, b)
    assert rules_of(met) == rules_of(meet(b, a))
    assert rules_of(meet(met, c)) == rules_of(meet(a, meet(b, c)))
    assert not contradict(meet(a, a), a)
    assert not looser(met, a) and not looser(met, b)
    assert contradict(a, b) == (looser(a, b) or looser(b, a))
    # What a file says of a change: nothing looser where it is not looser, and the other way round.
    said = table.changes(a, b)
    assert looser(b, a) == any(change.tighter is False for change in said)
    assert looser(a, b) >= any(change.tighter for change in said)


STAMPS = st.builds(versions.Stamp, st.integers(1, 4), st.sampled_from("pq"))


@given(STAMPS, STAMPS)
def test_only_the_next_number_follows(in_force: versions.Stamp, offered: versions.Stamp) -> None:
    follows = offered == in_force or offered.number == in_force.number + 1
    assert (versions.why_not(in_force, offered) == "") is follows
    assert versions.why_not(None, offered) == versions.why_not(in_force, None) == ""


def test_the_digest_is_of_what_copies_have_alike() -> None:
    file = {"name": "app-0", "version": 1, "settings": {"Me": 0, "Zone": 1, "Ceilings": {"MaxAttempts": 3}}}
    same = {"settings": {"Ceilings": {"MaxAttempts": 3.0}, "Me": 4}, "name": "app-4", "version": 2}
    assert versions.digest_of(file) == versions.digest_of(same)
    other = msgspec.json.decode(msgspec.json.encode(file).replace(b":3", b":4"))
    assert versions.digest_of(file) != versions.digest_of(other)
