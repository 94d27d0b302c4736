"""File format of the faults in a local fleet and of the operator's configuration changes."""

from __future__ import annotations

import attrs

from madderwind.testing.local_fleet.field_checks import between, not_empty, one_of

FAULT_KINDS = ("kill", "term", "pause", "cut", "slow", "wipe", "disk_full")


@attrs.frozen
class Fault:
    """A fault that affects the nodes from `at_s` on, for `for_s`.

    kill: SIGKILL, restarted after `for_s`. term: SIGTERM at `at_s`; restarted `for_s` later, or once the
    process has exited if that takes longer. pause: SIGSTOP, then SIGCONT. wipe: as kill, and the data
    directory is emptied. disk_full: every write that would extend a file fails. cut: no data passes
    between the nodes and those in `between`, or all other nodes if `between` is empty. slow: data on these
    links is delayed by `late_ms`.

    `nodes` holds names such as `control-1`, the word `primary`, or patterns such as `control-*`. `count`
    of the matching nodes are selected at random; 0 selects all.
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
    """Configuration changes during the faults: one every `change_every_s`, none if it is 0."""

    change_every_s: float = 0.0
