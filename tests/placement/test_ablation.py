"""Each mechanism of the placement can be turned off alone, and changes something."""

from __future__ import annotations

import pytest

from madderwind.placement.ablation import ALL_WORK, Ablation, without
from madderwind.testing.engine_emulator.experiment import Experiment, Release
from madderwind.testing.engine_emulator.fleet import Fleet
from madderwind.testing.engine_emulator.workload import Kind, SharedPart, Tokens

EXPERIMENT = Experiment(
    name="short",
    question="Does it matter?",
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
    """When each request's first event came, and what was read for it."""
    return [(one.first_ms, one.shared_tokens_read) for one in Fleet(EXPERIMENT, policy, 3).run()]


WITH_ALL = outcome("placement")


# Nothing fails here, so that the memory of failures has a test of its own in test_placement.
@pytest.mark.parametrize(
    "mechanism", [name for name in Ablation.__struct_fields__ if name != "failure_memory"]
)
def test_a_run_without_a_mechanism_is_another(mechanism: str) -> None:
    assert outcome(f"without-{mechanism}") != WITH_ALL


def test_a_run_repeats() -> None:
    assert outcome("placement") == WITH_ALL


def test_an_unknown_mechanism_is_an_error() -> None:
    with pytest.raises(ValueError, match="'luck' is none of prefix_homes"):
        without("luck")


def test_by_default_all_work() -> None:
    assert all(getattr(ALL_WORK, name) for name in Ablation.__struct_fields__)
