"""Faults in and between the processes of a fleet on one machine, and its operator's changes, as written."""

from __future__ import annotations

import attrs

from madderwind.testing.local_fleet.field_checks import between, not_empty, one_of

FAULT_KINDS = ("kill", "term", "pause", "cut", "slow", "wipe", "disk_full")


@attrs.frozen
class Fault:
    """From `at_s` on, for `for_s`, this befalls the nodes.

    kill: SIGKILL, started again after `for_s`. term: SIGTERM, started again `for_s` after the end.
    pause: SIGSTOP, SIGCONT. wipe: as kill, and the disk is empty afterwards. disk_full: every write to a
    file is refused. cut: nothing passes between the nodes and those in `between`, or all others where that
    is empty. slow: what passes there is late by `late_ms`.

    `nodes` are names such as `control-1`, or `primary`, or `control-*`; `count` of them are drawn, 0: all.
    """

    what: str = attrs.field(validator=one_of(FAULT_KINDS))
    nodes: tuple[str, ...] = attrs.field(validator=not_empty)
    at_s: float = attrs.field(validator=between(0))
    for_s: float = attrs.field(default=1.0, validator=between(0))
    between: tuple[str, ...] = ()
    late_ms: float = 0.0
    count: int = 0


@attrs.frozen
class Operator:
    """Changes of the configuration while faults are played: one each `change_every_s`, none for 0."""

    change_every_s: float = 0.0
