"""Simulates the same traffic mix in the in-memory fleet under other policies of choosing an upstream.

The resulting figures are simulated, not measured.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import msgspec

from madderwind.testing.engine_emulator.experiment import Experiment
from madderwind.testing.engine_emulator.fleet import Fleet
from madderwind.testing.engine_emulator.report import Figures, figures
from madderwind.testing.local_fleet.fleet_file import FleetFile, UpstreamGroup
from madderwind.testing.local_fleet.load import traffic_of
from madderwind.testing.local_fleet.traffic import workload_kind

# Label of each policy in the report. `idle-first` is this project's own policy without prefix placement.
POLICIES = {
    "placement": "ours",
    "idle-first": "ours without placement",
    "least-loaded": "least-loaded",
    "round-robin": "round-robin",
    "random": "random",
}
MAX_WORKERS = 4


class Baseline(msgspec.Struct, frozen=True):
    """Simulated figures of one policy."""

    name: str
    figures: Figures


def simulate_baselines(fleet: FleetFile) -> list[Baseline]:
    """Simulate the fleet's generation requests under every policy; empty if the file has none."""
    group = _model_group(fleet)
    kinds = [workload_kind(kind) for kind in traffic_of(fleet).kinds if kind.generation is not None]
    if group is None or not kinds:
        return []
    experiment = Experiment(
        name=fleet.name,
        question="",
        data_planes=fleet.data_planes,
        upstreams=group.count,
        kinds=kinds,
        zones=len(fleet.zones),
        slowness=list(group.slowness),
        engine=group.engine or {},
        bursts=[burst for burst in traffic_of(fleet).bursts if burst.kind in {kind.name for kind in kinds}],
        for_s=traffic_of(fleet).for_s,
        again_s=traffic_of(fleet).again_s,
    )
    with ProcessPoolExecutor(MAX_WORKERS) as pool:
        results = pool.map(_simulate, [experiment] * len(POLICIES), POLICIES)
    return [Baseline(POLICIES[result.policy], result) for result in results]


def _model_group(fleet: FleetFile) -> UpstreamGroup | None:
    return next((group for group in fleet.upstreams if group.engine is not None), None)


def _simulate(experiment: Experiment, policy: str) -> Figures:
    return figures(policy, experiment, Fleet(experiment, policy, seed=1).run())
