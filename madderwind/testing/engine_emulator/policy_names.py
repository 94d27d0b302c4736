"""Maps the policy names used in experiments to constructors."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from madderwind.placement.ablation import Ablation, without
from madderwind.placement.placement import Placement
from madderwind.testing.engine_emulator.policies import (
    IdleFirst,
    LeastLoaded,
    Policy,
    RandomChoice,
    RoundRobin,
)
from madderwind.testing.engine_emulator.whole_knowledge import WholeKnowledge


def _without(mechanism: str, rng: random.Random, zone: str) -> Policy:
    return Placement(rng, zone, ablation=without(mechanism))


PolicyFactory = Callable[[random.Random, str], Policy]

POLICIES: dict[str, PolicyFactory] = {
    "placement": lambda rng, zone: Placement(rng, zone),
    "random": lambda rng, zone: RandomChoice(rng),
    "round-robin": lambda rng, zone: RoundRobin(rng),
    "least-loaded": lambda rng, zone: LeastLoaded(rng),
    "whole-knowledge": lambda rng, zone: WholeKnowledge(),
    **{f"without-{name}": partial(_without, name) for name in Ablation.__struct_fields__},
    "idle-first": lambda rng, zone: IdleFirst(rng),
}
