"""Outcomes of upstreams' answers by the protocol's table, load reports and headers of refusals."""

from __future__ import annotations

import pytest

from madderwind.standalone.policy.api import Outcome
from madderwind.standalone.protocol.answers import outcome_of, read_report, refusal_headers

NEVER_RAN = {"X-Never-Ran": "1"}


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, {}, Outcome.OK),
        (500, {}, Outcome.ERROR),
        (500, NEVER_RAN, Outcome.ERROR),
        (503, NEVER_RAN, Outcome.FULL),
        (504, NEVER_RAN, Outcome.FULL),
        (503, {}, Outcome.ERROR),
        (504, {"X-Never-Ran": "0"}, Outcome.ERROR),
        (404, {}, Outcome.ERROR),
        (302, {}, Outcome.ERROR),
        (206, {}, Outcome.ERROR),
    ],
)
def test_outcome_of_status_and_headers(status: int, headers: dict[str, str], outcome: Outcome) -> None:
    """Guards against treating a 503 without `X-Never-Ran` as proof that nothing ran."""
    assert outcome_of(status, headers) is outcome


def test_the_example_load_report_of_the_protocol() -> None:
    assert read_report("TEXT inflight=7, queue=2, util=0.61", ("queue", "inflight")) == (2.0, 7.0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "TEXT",
        "JSON {}",
        "TEXT inflight=many, queue=2",
        "TEXT inflight=7",
        "TEXT inflight=nan, queue=2",
        "TEXT inflight=7, queue=inf",
        "TEXT inflight=-7, queue=2",
        "TEXT inflight",
        "inflight=7, queue=2",
    ],
)
def test_an_invalid_report_is_none(text: str) -> None:
    assert read_report(text, ("inflight", "queue")) is None


def test_retry_after_is_in_seconds_and_omitted_without_a_hint() -> None:
    assert refusal_headers(512.4) == {"Retry-After": "0.512"}
    assert refusal_headers(0.0) == {}
