"""The format of drill files: the processes, the load, the faults, and the bounds to hold."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from madderwind.testing.simulation.experiment import (
    Class,
    Count,
    ExperimentError,
    NotNegative,
    Part,
    Positive,
    Strict,
    Varied,
    read_varied,
)

# The numbers of a copy and of an upstream each take one byte of an address; the highest values are the rig's.
MAX_COPIES, MAX_UPSTREAMS = 240, 230
# Lower and upper bound. In a union with a number, a pair type with bounds breaks the garbage collector in
# msgspec 0.23.0.
Span = Annotated[tuple[NotNegative, ...], msgspec.Meta(min_length=2, max_length=2)]


class Selection(Strict, frozen=True):
    """A selection of copies or upstreams: by zone and numbers, and of those a fraction or a count drawn from
    the seed. Without any field, all."""

    zone: str | None = None
    numbers: tuple[int, ...] | None = None
    part: Part | None = None
    count: Count | None = None


ALL = Selection()


class Fault(Strict, frozen=True, kw_only=True):
    """A fault that begins at `at_s` and lasts for `for_s` (each fixed or drawn from a span). It occurs
    `times` times, with a gap drawn from `every_s` after each end."""

    at_s: NotNegative | Span
    for_s: NotNegative | Span = 0.0
    times: Count = 1
    every_s: Span = (0.0, 0.0)
    name: str = ""


class LinkFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="links"):
    """Connections from some copies to some upstreams, or to discovery.

    `refuse`: connection attempts are refused, open connections reset. `reset`: each connection is reset once
    a request arrives. `silent`: connections are accepted, but nothing is forwarded in either direction.
    `vanish`: connection attempts time out, open connections are silent. `slow`: each direction takes
    `late_ms` more. Bytes buffered while a link was silent are forwarded afterwards, but not to a process that
    started in the meantime, because it doesn't know the connection.
    """

    kind: Literal["refuse", "reset", "silent", "vanish", "slow"]
    copies: Selection = ALL
    upstreams: Selection | None = ALL  # null: none
    discovery: bool = False
    late_ms: NotNegative = 0.0


class MessageFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="words"):
    """Datagrams between some copies are lost, delayed (by a time drawn from a span, so reordered), duplicated
    or corrupted. `both`: also in the other direction. `links`: the fraction of the ordered pairs affected."""

    senders: Selection = ALL
    hearers: Selection = ALL
    both: bool = False
    links: Part = 1.0
    loss: Part = 0.0
    late_ms: Span = (0.0, 0.0)
    twice: Part = 0.0
    damaged: Part = 0.0


class CopyFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="copies"):
    """Faults of the program's processes. `kill` and `term` restart it after `for_s` if that is not 0, under
    the same name and address. `pause` stops and continues it. `upgrade` starts a successor and terminates the
    old process once the successor serves. `reload` rewrites the configuration with `file` merged into it, and
    sends SIGHUP. `call` sends `line` to the admin address. `spread_s`: the copies are hit one after another
    over this time."""

    kind: Literal["kill", "term", "pause", "upgrade", "reload", "call"]
    line: str = "STATUS"
    copies: Selection = ALL
    spread_s: NotNegative = 0.0
    file: dict[str, Any] = {}


class UpstreamFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="upstreams"):
    """Faults of the upstreams. `restart`: down for `for_s`, then up in warm-up; discovery announces the start
    `told_after_s` later. `drain`: announced as Terminating, and as Gone at the end. `slow`: slower by
    `factor`. `err`: fails at `rate`."""

    kind: Literal["restart", "drain", "slow", "err"]
    upstreams: Selection = ALL
    factor: Positive = 10.0
    rate: Part = 1.0
    told_after_s: NotNegative = 0.2


class ListFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="lists"):
    """Faults of the discovery agents of some copies: `silent`, `late` by `late_ms`, or `older`: the agent
    sends only its state at the begin of the fault, also to a new watch."""

    kind: Literal["silent", "late", "older"]
    copies: Selection = ALL
    late_ms: NotNegative = 0.0


class LoadFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="load"):
    """Multiplies the arrival rate by a factor."""

    factor: Positive = 2.0
    copies: Selection = ALL


AnyFault = LinkFault | MessageFault | CopyFault | UpstreamFault | ListFault | LoadFault


class Upstreams(Strict, frozen=True):
    """Stand-in upstreams, `each_zone` in each zone. `work_ms` is the mean time that one core needs for a
    request. A request is rejected if `queue` requests wait before it or all `connections` are in use."""

    each_zone: Count = 2
    cores: Count = 2
    work_ms: Positive = 20.0
    work: Literal["exponential", "fixed"] = "exponential"
    queue: Annotated[int, msgspec.Meta(ge=0)] = 1000
    connections: Count = 10_000


class Load(Strict, frozen=True):
    """Random arrivals for all copies together. `uneven`: the ratio of the highest to the lowest rate of a
    copy."""

    per_s: Positive = 50.0
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1)] = (Class(name="lookup"),)
    uneven: Annotated[float, msgspec.Meta(ge=1)] = 1.0


class Rules(Strict, frozen=True):
    """Rules in the copies' configuration that the checker enforces. `answer_slack_ms` is used by the checker
    alone and allows for the machine's own delays."""

    max_attempts: Count = 4
    second_copies: bool = False
    window_ms: NotNegative = 5000.0
    answer_slack_ms: NotNegative = 250.0
    drain_grace_ms: NotNegative = 2000.0
    start_capacity: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.12
    warm_after_ms: Positive = 24_000.0
    fall_multiple: Positive = 3.0
    fall_ms: Positive = 1500.0
    connect_timeout_ms: Positive = 250.0


FigureName = Literal[
    "served", "in_time", "late", "refused", "failed", "lost", "dark_per_s", "cold_load", "words_per_s",
    "word_bytes_per_s", "cpu_ms_per_s", "memory_mb", "p99_ms", "attempts", "news_ms", "news_missed",
]  # fmt: skip


class Figure(Strict, frozen=True):
    """One figure over a window, with an optional upper (`most`) or lower (`least`) bound.

    The window is from `from_s` to `to_s` after the fault's first `begin` (or its last `end`); without a
    fault, after the drill's begin. Without `to_s` it lasts until the end of the fault, or of the drill.
    """

    name: str
    figure: FigureName
    fault: str = ""
    after: Literal["begin", "end"] = "begin"
    from_s: NotNegative = 0.0
    to_s: Positive | None = None
    most: float | None = None
    least: float | None = None


class Scenario(Varied, frozen=True, kw_only=True):
    name: str
    question: str
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("a", "b")
    copies: Annotated[int, msgspec.Meta(ge=1, le=MAX_COPIES)] = 3
    upstreams: Upstreams = Upstreams()
    load: Load = Load()
    rules: Rules = Rules()
    words: bool = True  # whether copies exchange messages
    file: dict[str, Any] = {}  # configuration paths and values to set for every copy
    faults: tuple[AnyFault, ...] = ()
    figures: tuple[Figure, ...] = ()
    warm_up_s: NotNegative = 1.0  # under load, before anything counts
    for_s: Positive = 10.0


def read_scenario(path: Path) -> Scenario:
    """Read the drill of a file and check every variant. ExperimentError names the file and the field."""
    return read_varied(path, Scenario, _check)


def _check(path: Path, scenario: Scenario) -> None:
    upstreams = scenario.upstreams.each_zone * len(scenario.zones)
    if upstreams > MAX_UPSTREAMS:
        raise ExperimentError(f"{path}: {upstreams} upstreams, at most {MAX_UPSTREAMS} are supported")
    for number, fault in enumerate(scenario.faults):
        for what, most in (
            ("copies", scenario.copies),
            ("senders", scenario.copies),
            ("hearers", scenario.copies),
            ("upstreams", upstreams),
        ):
            _check_selection(
                f"{path}: faults[{number}].{what}", getattr(fault, what, None), most, scenario.zones
            )
    names = {fault.name for fault in scenario.faults} | {""}
    for figure in scenario.figures:
        if figure.fault not in names:
            raise ExperimentError(f"{path}: figure {figure.name!r}: no fault is named {figure.fault!r}")
    if len({figure.name for figure in scenario.figures}) < len(scenario.figures):
        raise ExperimentError(f"{path}: two figures have one name")


def _check_selection(at: str, selection: Selection | None, most: int, zones: tuple[str, ...]) -> None:
    if selection is None:
        return
    if selection.zone is not None and selection.zone not in zones:
        raise ExperimentError(f"{at}: there is no zone {selection.zone!r}")
    for number in selection.numbers or ():
        if not 0 <= number < most:
            raise ExperimentError(f"{at}: there is no number {number}, numbers go from 0 to {most - 1}")
