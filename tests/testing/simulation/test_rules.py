"""The checker catches a module broken on purpose, once for each rule, and names request, copy and time."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from madderwind.standalone.policy import api, records, repetition
from madderwind.standalone.policy.admission import Admission
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.policy.fleet import Fleet
from madderwind.standalone.policy.picker import Picker
from madderwind.standalone.policy.upstreams import Upstream
from madderwind.testing.simulation.experiment import Experiment
from madderwind.testing.simulation.policies import POLICIES
from madderwind.testing.simulation.world import Copy, World

TREE: dict[str, Any] = {
    "name": "broken",
    "question": "-",
    "copies": 8,
    "tiers": [{"upstreams": 8, "cores": 2, "work_ms": 40, "error_part": 0.05}],
    "load": {"per_s": 120, "classes": [{"name": "read"}, {"name": "charge", "effect": "unsafe"}]},
    "troubles": [{"at_s": 2, "kind": "replace", "part": 0.5, "for_s": 8}],
    "for_s": 8,
}


def breaks() -> set[int]:
    world = World(msgspec.convert(TREE, Experiment), "madderwind", 1)
    world.run()
    for broken in world.checker.broken:
        assert broken.copy.startswith("0.") and broken.request > 0 and broken.text
        assert 0 < broken.at_ms < 60_000
    return {broken.rule for broken in world.checker.broken}


def test_the_module_breaks_none() -> None:
    assert breaks() == set()


def test_a_second_answer_and_none_at_all(monkeypatch: pytest.MonkeyPatch) -> None:
    real = Balancer._answer

    def twice(self: Balancer, request: records.Request) -> None:
        real(self, request)
        self._out.append(api.Fail(request.id))

    monkeypatch.setattr(Balancer, "_answer", twice)
    assert breaks() == {1}
    monkeypatch.setattr(Balancer, "_answer", lambda self, request: self._requests.pop(request.id))
    assert breaks() == {1}


def test_a_second_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(repetition, "may_be_resent", lambda *_: True)
    assert breaks() == {2}


def test_a_refusal_of_what_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(repetition, "may_be_refused", lambda *_: True)
    assert breaks() == {2}


def test_work_for_what_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module's and the host's gate are both left open."""
    listed = Fleet.listed

    def only_grows(self: Fleet, kind: api.ListKind, entries: Any) -> None:
        listed(self, kind, tuple(e for e in entries if e.state is api.UpstreamState.READY))

    monkeypatch.setattr(Fleet, "listed", only_grows)
    monkeypatch.setattr(Copy, "_takes_new", lambda *_: True)
    assert breaks() == {3}


def test_a_cold_upstream_pushed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    def the_coldest(self: Picker, _: object, now: float) -> Upstream:
        return min(self._fleet.order, key=lambda u: u.warmth(now, self._settings))

    monkeypatch.setattr(Picker, "pick", the_coldest)
    monkeypatch.setattr(Admission, "admits", lambda *_: True)
    assert breaks() == {4}


def test_the_baselines_keep_all_rules_but_the_fourth() -> None:
    for policy in POLICIES:
        world = World(msgspec.convert(TREE, Experiment), policy, 2)
        world.run()
        assert {broken.rule for broken in world.checker.broken} <= {4}
