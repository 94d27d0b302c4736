"""The rule checker detects a deliberately broken policy for each rule, with request, copy and time."""

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

EXPERIMENT: dict[str, Any] = {
    "name": "broken",
    "question": "-",
    "copies": 8,
    "tiers": [{"upstreams": 8, "cores": 2, "work_ms": 40, "error_part": 0.05}],
    "load": {"per_s": 120, "classes": [{"name": "read"}, {"name": "charge", "effect": "unsafe"}]},
    "troubles": [{"at_s": 2, "kind": "replace", "part": 0.5, "for_s": 8}],
    "for_s": 8,
}


def broken_rules() -> set[int]:
    world = World(msgspec.convert(EXPERIMENT, Experiment), "madderwind", 1)
    world.run()
    for broken in world.checker.broken:
        assert broken.copy.startswith("0.") and broken.request > 0 and broken.text
        assert 0 < broken.at_ms < 60_000
    return {broken.rule for broken in world.checker.broken}


def test_the_policy_module_violates_no_rule() -> None:
    assert broken_rules() == set()


def test_duplicate_and_missing_answers_violate_rule_1(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Balancer._answer

    def answer_twice(self: Balancer, request: records.Request) -> None:
        original(self, request)
        self._out.append(api.Fail(request.id))

    monkeypatch.setattr(Balancer, "_answer", answer_twice)
    assert broken_rules() == {1}
    monkeypatch.setattr(Balancer, "_answer", lambda self, request: self._requests.pop(request.id))
    assert broken_rules() == {1}


def test_resending_an_unsafe_request_violates_rule_2(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(repetition, "may_be_resent", lambda *_: True)
    assert broken_rules() == {2}


def test_refusing_a_request_that_may_have_run_violates_rule_2(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(repetition, "may_be_refused", lambda *_: True)
    assert broken_rules() == {2}


def test_sending_to_a_draining_upstream_violates_rule_3(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables both checks of upstream readiness: the policy module's and the host's."""
    listed = Fleet.listed

    def list_ready_only(self: Fleet, kind: api.ListKind, entries: Any) -> None:
        listed(self, kind, tuple(e for e in entries if e.state is api.UpstreamState.READY))

    monkeypatch.setattr(Fleet, "listed", list_ready_only)
    monkeypatch.setattr(Copy, "_accepts_new_requests", lambda *_: True)
    assert broken_rules() == {3}


def test_overloading_a_cold_upstream_violates_rule_4(monkeypatch: pytest.MonkeyPatch) -> None:
    def pick_coldest(self: Picker, _: object, now: float) -> Upstream:
        return min(self._fleet.order, key=lambda u: u.warmth(now, self._settings))

    monkeypatch.setattr(Picker, "pick", pick_coldest)
    monkeypatch.setattr(Admission, "admits", lambda *_: True)
    assert broken_rules() == {4}


def test_the_baselines_violate_at_most_rule_4() -> None:
    for policy in POLICIES:
        world = World(msgspec.convert(EXPERIMENT, Experiment), policy, 2)
        world.run()
        assert {broken.rule for broken in world.checker.broken} <= {4}
