"""The policies by the names that experiments give them."""

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
    RandomPick,
    RoundRobin,
)
from madderwind.testing.engine_emulator.whole_knowledge import WholeKnowledge


def _without(mechanism: str, rng: random.Random, zone: str) -> Policy:
    return Placement(rng, zone, ablation=without(mechanism))


PolicyMaker = Callable[[random.Random, str], Policy]

POLICIES: dict[str, PolicyMaker] = {
    "placement": lambda rng, zone: Placement(rng, zone),
    "random": lambda rng, zone: RandomPick(rng),
    "round-robin": lambda rng, zone: RoundRobin(rng),
    "least-loaded": lambda rng, zone: LeastLoaded(rng),
    "whole-knowledge": lambda rng, zone: WholeKnowledge(),
    **{f"without-{name}": partial(_without, name) for name in Ablation.__struct_fields__},
    "idle-first": lambda rng, zone: IdleFirst(rng),
}
