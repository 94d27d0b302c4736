"""The judge of the soak finds each kind of broken stream that is put in by hand."""

from __future__ import annotations

import pytest

from tests.stream_soak.runs import Received, RequestKind, Run, RunLog, violations

RESUMABLE = RequestKind("audit", "streaming", "model", 1.0, mean_events=3, is_resumable=True, max_attempts=2)
UNSAFE = RequestKind("order", "unsafe", "plain", 1.0)
REQUEST_ID, TOTAL = "r-1", 3


def two_runs() -> tuple[RunLog, Run, Run]:
    """A stream that ran twice, the second time from its beginning."""
    log = RunLog()
    return log, log.add(REQUEST_ID, "i-1", 0, TOTAL, 2), log.add(REQUEST_ID, "i-2", 0, TOTAL, 2)


def broken_rules(
    body: bytes, log: RunLog, first: Run, kind: RequestKind = RESUMABLE, status: int = 200
) -> list[str]:
    """The rules that a complete response breaks."""
    total = TOTAL if kind.mean_events else 0
    received = Received(kind, REQUEST_ID, "data-1", events_wanted=total, status=status, body=body)
    received.signature, received.is_complete = first.signature, True
    return [text.partition(" ")[0] for text in violations(received, log)]


def test_whole_streams_of_one_run_or_of_one_that_resumed_it_are_accepted() -> None:
    log, first, second = two_runs()
    assert broken_rules(first.body(), log, first) == []
    assert broken_rules(first.event(1) + second.event(2) + second.event(3), log, first) == []


@pytest.mark.parametrize(
    "body_of",
    [
        pytest.param(lambda first, second: first.event(1)[:9] + second.body(), id="joined first event"),
        pytest.param(
            lambda first, second: first.event(1) + first.event(2)[:9] + second.event(2) + second.event(3),
            id="joined later event",
        ),
        pytest.param(lambda first, second: first.event(1) + first.event(2)[:9], id="cut event"),
        pytest.param(lambda first, second: first.body()[:-1], id="no last blank line"),
        pytest.param(lambda first, second: first.event(1) + first.event(3), id="missing event"),
        pytest.param(lambda first, second: first.event(1) + first.body(), id="repeated event"),
        pytest.param(lambda first, second: first.event(1) + first.event(2), id="early end"),
        pytest.param(
            lambda first, second: second.event(1) + first.event(2) + first.event(3), id="back again"
        ),
        pytest.param(
            lambda first, second: first.body().replace(REQUEST_ID.encode(), b"r-2"), id="another request's"
        ),
        pytest.param(lambda first, second: first.body().replace(b"id: 2", b"id: 2\nid: 2"), id="two ids"),
    ],
)
def test_a_stream_with_a_piece_that_no_run_made_is_found(body_of) -> None:  # type: ignore[no-untyped-def]
    log, first, second = two_runs()
    assert broken_rules(body_of(first, second), log, first) == ["ORDER"]


def test_a_success_without_the_signature_of_a_run_is_found() -> None:
    log, first, _ = two_runs()
    other = RunLog().add("r-2", "i-9", 0, TOTAL, 2)
    assert broken_rules(first.body(), log, other) == ["MIXED"]


def test_a_plain_request_that_ran_twice_or_was_refused_and_ran_is_found() -> None:
    log = RunLog()
    first = log.add(REQUEST_ID, "i-1", 0, 0, 2)
    assert broken_rules(first.body(), log, first, UNSAFE) == []
    assert broken_rules(b"", log, first, UNSAFE, status=503) == ["REFUSED"]
    assert broken_rules(first.body()[:-1], log, first, UNSAFE) == ["MIXED"]
    log.add(REQUEST_ID, "i-2", 0, 0, 2)
    assert broken_rules(first.body(), log, first, UNSAFE) == ["TWICE", "BUDGET"]
