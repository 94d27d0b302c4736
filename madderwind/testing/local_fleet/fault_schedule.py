"""Which nodes a fault of the file befalls, and what is done to them when. No I/O."""

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
    """What the supervisor is asked to do to a node."""

    START = "start"
    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    RESUME = "resume"
    WIPE = "wipe"
    FILL_DISK = "fill_disk"
    FREE_DISK = "free_disk"


# The actions at the begin and the end of each kind of fault that befalls processes.
_ACTIONS = {
    "kill": (Action.KILL, Action.START),
    "term": (Action.TERM, Action.START),
    "pause": (Action.PAUSE, Action.RESUME),
    "wipe": (Action.WIPE, Action.START),
    "disk_full": (Action.FILL_DISK, Action.FREE_DISK),
}


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault with the nodes that it befalls. Exactly one of `actions` and `condition` is set."""

    what: str
    nodes: tuple[str, ...]
    begin_s: float
    end_s: float
    actions: tuple[Action, Action] | None = None
    condition: LinkCondition | None = None


def plan_fault(fault: Fault, known: Sequence[str], primary: str, rng: random.Random) -> PlannedFault:
    """The fault on the nodes that it names now. `primary` is the primary's name, empty where unknown."""
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
                raise LocalFleetError("there is no primary at the moment")
            found = [primary]
        else:
            found = fnmatch.filter(known, pattern)
        if not found:
            raise LocalFleetError(f"no node is called {pattern!r}; there are {', '.join(known)}")
        selected.update(dict.fromkeys(found))
    return tuple(selected)
