"""Drills as files: which processes run, what comes, what goes wrong between them, and what must hold."""

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

# The address plan gives a copy one byte of an address, an upstream another, and keeps some for the rig.
MOST_COPIES, MOST_UPSTREAMS = 240, 230
# From and to. Not a pair: beside a number, msgspec 0.23.0 breaks the garbage collector on a pair with bounds.
Span = Annotated[tuple[NotNegative, ...], msgspec.Meta(min_length=2, max_length=2)]


class Which(Strict, frozen=True):
    """Some of the copies, or some of the upstreams: of a zone, by numbers, and of those a part or a count,
    which the seed draws. With nothing said, all."""

    zone: str | None = None
    numbers: tuple[int, ...] | None = None
    part: Part | None = None
    count: Count | None = None


EVERY = Which()


class Fault(Strict, frozen=True, kw_only=True):
    """What goes wrong, from `at_s` on (or drawn from a span) for `for_s`. It comes `times`, with a gap drawn
    from `every_s` after each end."""

    at_s: NotNegative | Span
    for_s: NotNegative | Span = 0.0
    times: Count = 1
    every_s: Span = (0.0, 0.0)
    name: str = ""


class LinkFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="links"):
    """Connections from some copies to some upstreams, or to discovery.

    `refuse`: connects are refused, open ones are reset. `reset`: each is reset once a request has come.
    `silent`: all is taken, nothing passes on and nothing comes back. `vanish`: connects never come up, open
    ones are silent. `slow`: each way takes `late_ms` more. What was held while it was silent passes on
    after, but not to a process that has started meanwhile: that knows no such connection.
    """

    kind: Literal["refuse", "reset", "silent", "vanish", "slow"]
    copies: Which = EVERY
    upstreams: Which | None = EVERY  # null: none
    discovery: bool = False
    late_ms: NotNegative = 0.0


class MessageFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="words"):
    """Datagrams from some copies to some others: lost, late (by a time drawn from a span, so out of order),
    twice, damaged. `both`: the other way as well. `links`: so large a part of the ordered pairs is hit."""

    senders: Which = EVERY
    hearers: Which = EVERY
    both: bool = False
    links: Part = 1.0
    loss: Part = 0.0
    late_ms: Span = (0.0, 0.0)
    twice: Part = 0.0
    damaged: Part = 0.0


class CopyFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="copies"):
    """Processes of the program. `kill` and `term` start it again after `for_s`, where that is not 0, under
    the same name and address. `pause` stops and continues it. `upgrade` starts a successor and ends the old
    one once that serves. `reload` writes its file anew with `file` put into it, and sends SIGHUP.
    `call` says `line` at the second address. `spread_s`: one after the other over so long."""

    kind: Literal["kill", "term", "pause", "upgrade", "reload", "call"]
    line: str = "STATUS"
    copies: Which = EVERY
    spread_s: NotNegative = 0.0
    file: dict[str, Any] = {}


class UpstreamFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="upstreams"):
    """Upstreams themselves. `restart`: down for `for_s`, then back cold; discovery tells of the start
    `told_after_s` later. `drain`: told Terminating, and Gone at the end. `slow` by `factor`; `err` at
    `rate`."""

    kind: Literal["restart", "drain", "slow", "err"]
    upstreams: Which = EVERY
    factor: Positive = 10.0
    rate: Part = 1.0
    told_after_s: NotNegative = 0.2


class ListFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="lists"):
    """Discovery's agents of some copies: `silent`, `late` by `late_ms`, or `older`: what an agent had at the
    fault's begin is all that it tells, also to a new watch."""

    kind: Literal["silent", "late", "older"]
    copies: Which = EVERY
    late_ms: NotNegative = 0.0


class LoadFault(Fault, frozen=True, kw_only=True, tag_field="what", tag="load"):
    """What comes, by a factor."""

    factor: Positive = 2.0
    copies: Which = EVERY


AnyFault = LinkFault | MessageFault | CopyFault | UpstreamFault | ListFault | LoadFault


class Upstreams(Strict, frozen=True):
    """Stand-ins, so many in each zone. `work_ms` is the mean time that one core needs for a request; what
    finds `queue` waiting before it, or every connection slot taken, is turned away."""

    each_zone: Count = 2
    cores: Count = 2
    work_ms: Positive = 20.0
    work: Literal["exponential", "fixed"] = "exponential"
    queue: Annotated[int, msgspec.Meta(ge=0)] = 1000
    connections: Count = 10_000


class Load(Strict, frozen=True):
    """Requests at random, for all copies together. `uneven`: the most that one copy gets over the least."""

    per_s: Positive = 50.0
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1)] = (Class(name="lookup"),)
    uneven: Annotated[float, msgspec.Meta(ge=1)] = 1.0


class Rules(Strict, frozen=True):
    """What the copies are told, and the checker holds them to. `answer_slack_ms` is the checker's alone: the
    machine's own delays are in it."""

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
    """One figure over a window, and where `most` or `least` is given, a bound.

    The window is from `from_s` to `to_s` after the fault's first `begin` (or its last `end`); without a
    fault, after the drill's begin. Without `to_s` it goes on to the fault's end, or to that of the drill.
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
    copies: Annotated[int, msgspec.Meta(ge=1, le=MOST_COPIES)] = 3
    upstreams: Upstreams = Upstreams()
    load: Load = Load()
    rules: Rules = Rules()
    words: bool = True  # whether copies may tell one another anything
    file: dict[str, Any] = {}  # places and values to put into every copy's file
    faults: tuple[AnyFault, ...] = ()
    figures: tuple[Figure, ...] = ()
    warm_up_s: NotNegative = 1.0  # under load, before anything counts
    for_s: Positive = 10.0


def read_scenario(path: Path) -> Scenario:
    """The drill of a file, with every variant checked. ExperimentError names file and place."""
    return read_varied(path, Scenario, _check)


def _check(path: Path, scenario: Scenario) -> None:
    upstreams = scenario.upstreams.each_zone * len(scenario.zones)
    if upstreams > MOST_UPSTREAMS:
        raise ExperimentError(f"{path}: {upstreams} upstreams, at most {MOST_UPSTREAMS} can be played")
    for number, fault in enumerate(scenario.faults):
        for what, most in (
            ("copies", scenario.copies),
            ("senders", scenario.copies),
            ("hearers", scenario.copies),
            ("upstreams", upstreams),
        ):
            _must_be_there(
                f"{path}: faults[{number}].{what}", getattr(fault, what, None), most, scenario.zones
            )
    names = {fault.name for fault in scenario.faults} | {""}
    for figure in scenario.figures:
        if figure.fault not in names:
            raise ExperimentError(f"{path}: figure {figure.name!r}: no fault is named {figure.fault!r}")
    if len({figure.name for figure in scenario.figures}) < len(scenario.figures):
        raise ExperimentError(f"{path}: two figures have one name")


def _must_be_there(at: str, which: Which | None, most: int, zones: tuple[str, ...]) -> None:
    if which is None:
        return
    if which.zone is not None and which.zone not in zones:
        raise ExperimentError(f"{at}: there is no zone {which.zone!r}")
    for number in which.numbers or ():
        if not 0 <= number < most:
            raise ExperimentError(f"{at}: there is no number {number}, they go from 0 to {most - 1}")
