"""Fault schedules as data: kind, time, victim and duration of each fault, drawn from a seed."""

from __future__ import annotations

import math
import random
from enum import Enum

import attrs


class FaultKind(Enum):
    """What a fault does. Those of `DISK_LOSSES` are delayed until the tolerance allows another lost disk."""

    KILL = "kill"
    KILL_ALL = "kill all"
    POWER_LOSS = "power loss"
    POWER_LOSS_OF_ALL = "power loss of all"
    FREEZE = "freeze"
    LEAVE = "leave"
    CUT_PAIR = "cut pair"
    CUT_ONE_WAY = "cut one way"
    CUT_FROM_MACHINES = "cut from other machines"
    CUT_FROM_OTHERS = "cut from data planes and callers"
    ISOLATE = "isolate"
    UNRESPONSIVE = "can't send"
    DEAFEN = "can't receive"
    LOSE_PACKETS = "lose packets"
    SLOW_DISK = "slow disk"
    STALL_DISK = "stall disk"
    FULL_DISK = "full disk"
    FAILED_SYNCS = "failed syncs"
    OTHER_SEEDS = "other seeds"
    RESTART_DATA_PLANE = "restart data plane"
    FREEZE_DATA_PLANE = "freeze data plane"
    CUT_DATA_PLANE = "cut data plane"
    ONE_SOURCE = "data plane reaches one machine alone"
    WIPE = "wipe"
    WIPE_AND_POWER_LOSS = "wipe, the others lose power"
    REPLACE = "replace"
    REPLACE_AS_PLANNED = "replace as planned"
    REPLACE_IN_CUT = "replace in a cut"


DISK_LOSSES = frozenset(
    {
        FaultKind.WIPE,
        FaultKind.WIPE_AND_POWER_LOSS,
        FaultKind.REPLACE,
        FaultKind.REPLACE_AS_PLANNED,
        FaultKind.REPLACE_IN_CUT,
    }
)


class LossCount(Enum):
    """Which machines count as lost, which limits further disk losses in the meantime.

    `LOOSE`: a machine with a disk fault does not count. `PLAIN`: it does. `STRICT`: it does, and a lost disk
    counts until the system had time to catch up with no more machines lost than the tolerance allows.
    """

    LOOSE = "loose"
    PLAIN = "plain"
    STRICT = "strict"


class Victim(Enum):
    """The role of the machine that a fault hits, at the time of the fault."""

    ANY = "any"
    PRIMARY = "primary"
    BACKUP = "backup"
    LEARNER = "learner"


@attrs.frozen
class Fault:
    """`pick` selects among the possible victims and `other` among further parties, both from 0 to 1.

    A disk loss happens `slack_ms` after the tolerance allows it.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float
    victim: Victim = Victim.ANY
    pick: float = 0.0
    other: float = 0.0
    slack_ms: float = 0.0

    def __str__(self) -> str:
        slack = f", {self.slack_ms:.0f} ms after it is tolerable" if self.kind in DISK_LOSSES else ""
        return (
            f"{self.at_ms:8.0f} ms  {self.kind.value} of {self.victim.value} ({self.pick:.2f}, "
            f"{self.other:.2f}) for {self.duration_ms:.0f} ms{slack}"
        )


_WEIGHTS: dict[FaultKind, float] = {
    FaultKind.KILL: 3,
    FaultKind.KILL_ALL: 0.7,
    FaultKind.POWER_LOSS: 2,
    FaultKind.POWER_LOSS_OF_ALL: 0.7,
    FaultKind.FREEZE: 3,
    FaultKind.LEAVE: 1.5,
    FaultKind.CUT_PAIR: 2,
    FaultKind.CUT_ONE_WAY: 2,
    FaultKind.CUT_FROM_MACHINES: 2,
    FaultKind.CUT_FROM_OTHERS: 1,
    FaultKind.ISOLATE: 2,
    FaultKind.UNRESPONSIVE: 1,
    FaultKind.DEAFEN: 1,
    FaultKind.LOSE_PACKETS: 1,
    FaultKind.SLOW_DISK: 1,
    FaultKind.STALL_DISK: 1.5,
    FaultKind.FULL_DISK: 1.5,
    FaultKind.FAILED_SYNCS: 1,
    FaultKind.OTHER_SEEDS: 0.5,
    FaultKind.RESTART_DATA_PLANE: 1,
    FaultKind.FREEZE_DATA_PLANE: 0.7,
    FaultKind.CUT_DATA_PLANE: 1,
    FaultKind.ONE_SOURCE: 1.5,
}
_DISK_LOSS_WEIGHTS: dict[FaultKind, float] = {
    FaultKind.WIPE: 2,
    FaultKind.WIPE_AND_POWER_LOSS: 1.5,
    FaultKind.REPLACE: 2,
    FaultKind.REPLACE_AS_PLANNED: 2,
    FaultKind.REPLACE_IN_CUT: 1,
}
MIN_FAULT_MS, MAX_FAULT_MS = 50.0, 40_000.0
# The other machines have to elect a primary and acknowledge commands before a lone source is behind.
_MIN_DURATION_MS = {FaultKind.ONE_SOURCE: 3_500.0}


_LONG_WEIGHTS: dict[FaultKind, float] = dict.fromkeys(
    (
        FaultKind.POWER_LOSS,
        FaultKind.FREEZE,
        FaultKind.CUT_PAIR,
        FaultKind.CUT_ONE_WAY,
        FaultKind.CUT_FROM_MACHINES,
        FaultKind.CUT_FROM_OTHERS,
        FaultKind.ISOLATE,
        FaultKind.UNRESPONSIVE,
        FaultKind.DEAFEN,
        FaultKind.SLOW_DISK,
        FaultKind.STALL_DISK,
        FaultKind.FULL_DISK,
        FaultKind.FAILED_SYNCS,
    ),
    1.0,
) | {FaultKind.ONE_SOURCE: 4.0}
LONG_FAULT_INTERVAL_MS, MIN_LONG_FAULT_MS, MAX_LONG_FAULT_MS = 25_000.0, 8_000.0, 30_000.0


def draw_long_faults(rng: random.Random, length_ms: float) -> tuple[Fault, ...]:
    """Draw a few long faults, with time for the system to become stable while they last."""
    drawn = _draw(rng, length_ms, LONG_FAULT_INTERVAL_MS, _LONG_WEIGHTS)
    return tuple(
        attrs.evolve(fault, duration_ms=round(rng.uniform(MIN_LONG_FAULT_MS, MAX_LONG_FAULT_MS)))
        for fault in drawn
    )


def draw_faults(rng: random.Random, length_ms: float) -> tuple[Fault, ...]:
    """Draw the faults of a round of the given length."""
    faults: list[Fault] = []
    if rng.random() < 0.85:
        interval_ms = rng.choice((250.0, 500.0, 1_000.0, 2_000.0))
        faults += _draw(rng, length_ms, interval_ms, _WEIGHTS)
    if rng.random() < 0.6 or not faults:
        faults += _draw(rng, length_ms, rng.choice((500.0, 3_000.0)), _DISK_LOSS_WEIGHTS)
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _draw(
    rng: random.Random, length_ms: float, interval_ms: float, weights: dict[FaultKind, float]
) -> list[Fault]:
    faults: list[Fault] = []
    kinds, shares = zip(*weights.items(), strict=True)
    at_ms = rng.uniform(0.0, interval_ms)
    while at_ms < length_ms:
        kind = rng.choices(kinds, shares)[0]
        victims, victim_weights = (Victim.ANY, Victim.PRIMARY, Victim.BACKUP, Victim.LEARNER), (4, 3, 2, 1)
        faults.append(
            Fault(
                at_ms=round(at_ms, 1),
                kind=kind,
                duration_ms=max(round(_draw_duration(rng, length_ms), 1), _MIN_DURATION_MS.get(kind, 0.0)),
                victim=rng.choices(victims, victim_weights)[0],
                pick=round(rng.random(), 3),
                other=round(rng.random(), 3),
                slack_ms=round(rng.choice((0.0, 0.0, rng.uniform(0.0, 2_000.0))), 1),
            )
        )
        at_ms += rng.uniform(0.1, 1.9) * interval_ms
    return faults


def _draw_duration(rng: random.Random, length_ms: float) -> float:
    """Draw a duration of at least 50 ms; most are short."""
    longest_ms = min(MAX_FAULT_MS, length_ms)
    exponent = rng.random() ** 1.3
    return MIN_FAULT_MS * math.pow(longest_ms / MIN_FAULT_MS, exponent)
