"""The judge's verdict on traces whose notes a busy machine delayed, and on traces that cannot be."""

from __future__ import annotations

from pathlib import Path

import pytest

from madderwind.testing.fault_tests.conduct import make_plan
from madderwind.testing.fault_tests.judge import judge
from madderwind.testing.fault_tests.scenario import read_scenario
from madderwind.testing.fault_tests.traces import AttemptTrace, RequestTrace, Traces, UpstreamTrace

SCENARIO = read_scenario(Path(__file__).parents[3] / "drills" / "short-leave.yaml")
NUMBER, COPY, UPSTREAM = 463, 1, 2
SENT_MS = 1_000.0


def texts(write_began_ms: float, written_ms: float, folder: Path) -> list[str]:
    """The violations found for a request that a copy sent at `SENT_MS` and that was served."""
    request = RequestTrace(
        number=NUMBER,
        copy=COPY,
        class_index=0,
        intended_ms=write_began_ms,
        write_began_ms=write_began_ms,
        written_ms=written_ms,
        deadline_ms=3_500.0,
        ended_ms=written_ms + 20.0,
        how="answered",
        status=200,
        served_by=UPSTREAM,
        told=NUMBER,
    )
    sent = AttemptTrace(COPY, UPSTREAM, NUMBER, SENT_MS, ended_ms=SENT_MS + 10.0)
    ran = UpstreamTrace(UPSTREAM, NUMBER, COPY, SENT_MS + 1.0, "ok")
    traces = Traces(asked=[request], sent=[sent], ran=[ran])
    return [violation.text for violation in judge(make_plan(SCENARIO, 1, 1, folder), traces)]


@pytest.mark.parametrize("delay_ms", [0.0, 49.0, 51.0, 800.0])
def test_a_note_of_a_write_that_comes_late_breaks_no_rule(delay_ms: float, tmp_path: Path) -> None:
    # Guards against a client that lost the processor between its write and its note of it.
    assert texts(SENT_MS - 0.3, SENT_MS + delay_ms, tmp_path) == []


def test_an_attempt_before_its_client_began_to_write_is_a_violation(tmp_path: Path) -> None:
    assert texts(SENT_MS + 60.0, SENT_MS + 60.0, tmp_path) == [
        "sent an attempt before any copy had the request"
    ]


def test_an_attempt_without_a_client_request_is_a_violation(tmp_path: Path) -> None:
    sent = AttemptTrace(COPY, UPSTREAM, NUMBER, SENT_MS)
    (violation,) = judge(make_plan(SCENARIO, 1, 1, tmp_path), Traces(sent=[sent]))
    assert (violation.rule, violation.text) == (1, "sent an attempt without a client request")
