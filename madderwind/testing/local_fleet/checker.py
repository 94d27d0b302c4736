"""Checks the evidence of a run against the guarantees of the system. Performs no I/O.

No acknowledged configuration may be lost, no request may run twice, and no stream may have a gap.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

import msgspec

from madderwind.testing.engine_emulator.records import AnyRecord, Ran
from madderwind.testing.local_fleet.outcomes import Outcome

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class Promise(Enum):
    """A guarantee that is checked after a run."""

    CONFIGURATION = "every acknowledged configuration is readable"
    RUN_ONCE = "no request ran twice"
    REFUSAL = "what was refused has not run"
    STREAM = "no stream has a gap, a repeat or another's events"
    ANSWER = "every success is an upstream's"


class Violation(msgspec.Struct, frozen=True):
    """One violated guarantee."""

    promise: Promise
    text: str


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The newest configuration that one control plane returned at the end; `version` is 0 if it had none."""

    node: str
    version: int
    matches_sent: bool = True


class CommandSent(msgspec.Struct, frozen=True):
    """A configuration command sent by the operator, and whether it was acknowledged."""

    version: int
    acknowledged: bool


class Evidence(msgspec.Struct, frozen=True):
    """All evidence collected from a run. Requests of `idempotent_kinds` may run more than once."""

    outcomes: Sequence[Outcome]
    records: Sequence[AnyRecord]
    commands: Sequence[CommandSent]
    reads: Sequence[ConfigurationRead]
    idempotent_kinds: frozenset[str]


def check(evidence: Evidence) -> list[Violation]:
    """Return every violation that the evidence shows."""
    runs = _runs(evidence.records)
    return [
        *_check_configuration(evidence),
        *_check_runs(evidence.outcomes, runs, evidence.idempotent_kinds),
        *_check_refusals(evidence.outcomes, runs, evidence.idempotent_kinds),
        *_check_answers(evidence.outcomes),
    ]


def _runs(records: Iterable[AnyRecord]) -> Mapping[str, list[Ran]]:
    runs: dict[str, list[Ran]] = defaultdict(list)
    for record in records:
        if isinstance(record, Ran):
            runs[record.request].append(record)
    return runs


def _check_configuration(evidence: Evidence) -> Iterable[Violation]:
    newest = max((command.version for command in evidence.commands if command.acknowledged), default=0)
    if not newest:
        return
    if not any(read.version >= newest for read in evidence.reads):
        versions = {read.node: read.version for read in evidence.reads}
        text = (
            f"version {newest} was acknowledged, but the control planes ended with {versions or 'no answer'}"
        )
        yield Violation(Promise.CONFIGURATION, text)
    for returned in evidence.reads:
        if returned.version and (returned.version < newest or not returned.matches_sent):
            text = f"{returned.node} gave version {returned.version} as the newest, {newest} was acknowledged"
            yield Violation(
                Promise.CONFIGURATION, text if returned.matches_sent else f"{text}: other content"
            )


def _check_runs(
    outcomes: Sequence[Outcome], runs: Mapping[str, list[Ran]], idempotent_kinds: frozenset[str]
) -> Iterable[Violation]:
    for outcome in outcomes:
        if outcome.kind in idempotent_kinds:
            continue
        for attempt in outcome.tries:
            ran = runs.get(attempt.request_id, [])
            if len(ran) > 1:
                where = ", ".join(run.instance for run in ran)
                yield Violation(Promise.RUN_ONCE, f"{outcome.kind} {attempt.request_id} ran at {where}")


def _check_refusals(
    outcomes: Sequence[Outcome], runs: Mapping[str, list[Ran]], idempotent_kinds: frozenset[str]
) -> Iterable[Violation]:
    for outcome in outcomes:
        if outcome.kind in idempotent_kinds:
            continue
        for attempt in outcome.tries:
            if (
                attempt.status in NOT_EXECUTED_STATUSES
                and attempt.how == "whole"
                and runs.get(attempt.request_id)
            ):
                text = f"{outcome.kind} {attempt.request_id} got {attempt.status} and ran"
                yield Violation(Promise.REFUSAL, text)


def _check_answers(outcomes: Sequence[Outcome]) -> Iterable[Violation]:
    for outcome in outcomes:
        if outcome.fault:
            yield Violation(Promise.STREAM, f"{outcome.kind} request {outcome.number}: {outcome.fault}")
        for attempt in outcome.tries:
            if attempt.status // 100 == 2 and attempt.how == "whole" and not attempt.signature:
                text = f"{outcome.kind} {attempt.request_id} got {attempt.status} without a signature"
                yield Violation(Promise.ANSWER, text)
