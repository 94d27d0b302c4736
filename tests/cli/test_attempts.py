"""Tests of the summary table of attempts in data planes' logs."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from madderwind.cli.attempt_commands import AttemptLogError, attempts
from madderwind.cli.attempt_report import AttemptLine, LateCause, attempt_table, read_attempts
from madderwind.placement.attempt_record import PlacementReason


def attempt_line(
    route: str = "chat",
    first_ms: float | None = 100.0,
    alone_ms: float = 80.0,
    predicted_ms: float = 90.0,
    reason: PlacementReason = PlacementReason.HOME,
) -> AttemptLine:
    return AttemptLine(
        instance="i-1",
        prompt_tokens=1_000,
        shared_tokens=800,
        cached_tokens=400,
        tokens_ahead=50.0,
        peer_load_age_ms=20.0,
        alone_first_ms=alone_ms,
        predicted_first_ms=predicted_ms,
        first_ms=first_ms,
        aim_ms=400.0,
        reason=reason,
        event="attempt",
        route=route,
        result="complete",
    )


@pytest.mark.parametrize(
    ("attempt", "cause"),
    [
        (attempt_line(), None),
        (attempt_line(first_ms=None), None),
        (attempt_line(first_ms=500.0, alone_ms=450.0, predicted_ms=460.0), LateCause.OWN_PREFILL),
        (attempt_line(first_ms=500.0, alone_ms=200.0, predicted_ms=460.0), LateCause.QUEUE),
        (attempt_line(first_ms=500.0, alone_ms=200.0, predicted_ms=300.0), LateCause.NOT_FORESEEN),
    ],
    ids=["in time", "no event", "own prefill", "queue", "not foreseen"],
)
def test_a_late_first_event_has_one_cause(attempt: AttemptLine, cause: LateCause | None) -> None:
    assert attempt.late_cause is cause


def test_text_before_json_is_ignored_and_truncated_lines_are_skipped() -> None:
    encoded = msgspec.json.encode(attempt_line()).decode()
    lines = [f"  12.3 front-1 {encoded}\n", encoded[:-9], '{"event":"counters"}', "", "no object"]
    assert read_attempts(lines) == [attempt_line()]


def test_the_table_has_one_row_per_route_and_one_for_all() -> None:
    table = attempt_table(
        [
            attempt_line("a"),
            attempt_line("b", first_ms=900.0),
            attempt_line("b", reason=PlacementReason.SPILL),
        ]
    )
    rows = [row.split() for row in table.splitlines()[1:]]
    assert [row[:4] for row in rows] == [["a", "1", "0", "0"], ["b", "2", "0", "1"], ["all", "3", "0", "1"]]
    assert rows[1][-3:] == ["0.50", "0.00", "0.50"]


def test_the_command_prints_the_table(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "log"
    log.write_bytes(msgspec.json.encode(attempt_line()) + b"\n")
    attempts(str(log))
    assert capsys.readouterr().out.splitlines()[1].split()[0] == "chat"


@pytest.mark.parametrize("content", [None, "", '{"event":"counters"}\n'], ids=["missing", "empty", "other"])
def test_a_log_without_attempts_raises_attempt_log_error(tmp_path: Path, content: str | None) -> None:
    log = tmp_path / "log"
    if content is not None:
        log.write_text(content)
    with pytest.raises(AttemptLogError, match="log: "):
        attempts(str(log))
