"""Resolves a fault of the file to its target nodes, actions and times. Performs no I/O."""

from __future__ import annotations

import fnmatch
import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from madderwind.errors import LocalFleetError
from madderwind.testing.local_fleet.fault_file import Fault
from madderwind.testing.local_fleet.relays import LinkCondition

PRIMARY = "primary"


class Action(Enum):
    """An action on a node that the supervisor can be asked for."""

    START = "start"
    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    RESUME = "resume"
    WIPE = "wipe"
    FILL_DISK = "fill_disk"
    FREE_DISK = "free_disk"


# The actions at the begin and the end of each kind of fault that affects processes.
_ACTIONS = {
    "kill": (Action.KILL, Action.START),
    "term": (Action.TERM, Action.START),
    "pause": (Action.PAUSE, Action.RESUME),
    "wipe": (Action.WIPE, Action.START),
    "disk_full": (Action.FILL_DISK, Action.FREE_DISK),
}


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault with its target nodes. Exactly one of `actions` and `condition` is set."""

    what: str
    nodes: tuple[str, ...]
    begin_s: float
    end_s: float
    actions: tuple[Action, Action] | None = None
    condition: LinkCondition | None = None


def plan_fault(fault: Fault, known: Sequence[str], primary: str, rng: random.Random) -> PlannedFault:
    """Resolve a fault to the nodes that it currently names.

    `primary` is the name of the current primary, empty if unknown.
    """
    nodes = _select(fault.nodes, known, primary)
    if fault.count and fault.count < len(nodes):
        nodes = tuple(sorted(rng.sample(nodes, fault.count)))
    end_s = fault.at_s + fault.for_s
    if fault.what in _ACTIONS:
        return PlannedFault(fault.what, nodes, fault.at_s, end_s, actions=_ACTIONS[fault.what])
    between = _select(fault.between, known, primary)
    condition = LinkCondition(fault.what, nodes, between, fault.late_ms)
    return PlannedFault(fault.what, nodes, fault.at_s, end_s, condition=condition)


def _select(patterns: Sequence[str], known: Sequence[str], primary: str) -> tuple[str, ...]:
    selected: dict[str, None] = {}
    for pattern in patterns:
        if pattern == PRIMARY:
            if not primary:
                raise LocalFleetError("no control plane is primary at present")
            matches = [primary]
        else:
            matches = fnmatch.filter(known, pattern)
        if not matches:
            raise LocalFleetError(f"no node matches {pattern!r}; the nodes are {', '.join(known)}")
        selected.update(dict.fromkeys(matches))
    return tuple(selected)
