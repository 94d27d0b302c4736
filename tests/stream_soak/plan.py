"""What is done to a fleet during the soak, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

import msgspec


class What(Enum):
    """An action; `for_s` is the time until the process is started again or continues."""

    UPSTREAM_CRASHES = "an upstream crashes"
    UPSTREAM_LEAVES = "an upstream drains, ends and is replaced"
    DATA_PLANE_TERMINATED = "a data plane gets SIGTERM"
    DATA_PLANE_KILLED = "a data plane gets SIGKILL"
    DATA_PLANE_PAUSED = "a data plane gets SIGSTOP, then SIGCONT"
    CONTROL_PLANE_KILLED = "a control plane gets SIGKILL"
    CONTROL_PLANE_PAUSED = "a control plane gets SIGSTOP, then SIGCONT"
    CONFIGURATION_CHANGED = "the operator changes the configuration"


class Action(msgspec.Struct, frozen=True):
    """One action; `target` selects among the processes that it applies to."""

    at_s: float
    what: What
    target: int
    for_s: float


MAX_SERIES_LENGTH, MAX_SERIES_GAP_S = 4, 1.5
CRASH_DOWN_S, PAUSE_S, RESTART_S = 4.5, 2.0, 1.0
CRASH_INTERVAL_S = 3.0
MEAN_SERIES_GAP_S = 1.5


def crashes(rng: random.Random, for_s: float) -> list[Action]:
    """Upstreams that crash one after the other, as in the record of incident 71; nothing else."""
    count = int(for_s / CRASH_INTERVAL_S)
    return [
        Action(CRASH_INTERVAL_S * (number + 0.5), What.UPSTREAM_CRASHES, rng.randrange(1000), CRASH_DOWN_S)
        for number in range(count)
    ]


def mixed(rng: random.Random, for_s: float) -> list[Action]:
    """Series of each kind of action, which overlap."""
    actions = []
    at_s = 0.5
    while at_s < for_s - 1:
        what = rng.choice(list(What))
        for number in range(rng.randint(1, MAX_SERIES_LENGTH)):
            begins_s = at_s + number * rng.uniform(0.1, MAX_SERIES_GAP_S)
            actions.append(Action(begins_s, what, rng.randrange(1000), _duration_s(what, rng)))
        at_s += rng.expovariate(1 / MEAN_SERIES_GAP_S)
    return sorted((action for action in actions if action.at_s < for_s), key=lambda action: action.at_s)


def _duration_s(what: What, rng: random.Random) -> float:
    if what in (What.DATA_PLANE_PAUSED, What.CONTROL_PLANE_PAUSED):
        return rng.uniform(0.05, PAUSE_S)
    if what in (What.UPSTREAM_CRASHES, What.UPSTREAM_LEAVES):
        return rng.uniform(0.2, CRASH_DOWN_S)
    return rng.uniform(0.1, RESTART_S)


PLANS: dict[str, Callable[[random.Random, float], list[Action]]] = {"crashes": crashes, "mixed": mixed}
