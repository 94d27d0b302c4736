"""Each placement mechanism can be disabled on its own, and disabling it changes the outcome."""

from __future__ import annotations

import pytest

from madderwind.placement.ablation import ALL_ENABLED, Ablation, without
from madderwind.testing.engine_emulator.experiment import Experiment, Release
from madderwind.testing.engine_emulator.fleet import Fleet
from madderwind.testing.engine_emulator.workload import Kind, SharedPart, Tokens

EXPERIMENT = Experiment(
    name="short",
    question="Does the mechanism change the outcome?",
    data_planes=8,
    upstreams=12,
    report_ms=100.0,
    dispatch_ms=25.0,
    for_s=8.0,
    releases=[Release(at_s=2.0, gap_s=0.3, count=6)],
    engine={"kv_tokens": 60_000, "step_ms_per_sequence": 0.01, "first_ms": 6.0},
    kinds=[
        Kind(
            name="ask",
            per_s=60.0,
            chain=[SharedPart(Tokens(4_000.0, 0.5), 40, 1.2)],
            prompt=Tokens(2_000.0, 1.0),
            output=Tokens(60.0, 0.5),
            aim_ms=400.0,
            gap_aim_ms=300.0,
            worth=1.0,
            late_worth=0.3,
        )
    ],
)


def outcome(policy: str) -> list[tuple[float | None, int]]:
    """Each request's time to the first event and the number of shared tokens prefilled for it."""
    return [(request.first_ms, request.shared_tokens_read) for request in Fleet(EXPERIMENT, policy, 3).run()]


OUTCOME_WITH_ALL = outcome("placement")


# No request fails in this experiment, so failure_memory is tested in test_placement.
@pytest.mark.parametrize(
    "mechanism", [name for name in Ablation.__struct_fields__ if name != "failure_memory"]
)
def test_disabling_a_mechanism_changes_the_outcome(mechanism: str) -> None:
    assert outcome(f"without-{mechanism}") != OUTCOME_WITH_ALL


def test_runs_with_the_same_seed_are_identical() -> None:
    assert outcome("placement") == OUTCOME_WITH_ALL


def test_an_unknown_mechanism_is_an_error() -> None:
    with pytest.raises(ValueError, match="unknown mechanism 'luck', expected one of prefix_homes"):
        without("luck")


def test_all_mechanisms_are_enabled_by_default() -> None:
    assert all(getattr(ALL_ENABLED, name) for name in Ablation.__struct_fields__)
