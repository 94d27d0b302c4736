"""The log: JSON lines, a reader that stands still, and a page that knows every line."""

from __future__ import annotations

import json
import os
import re
from pathlib import Path

import pytest

from madderwind.eventlog import Invariants, Sparing
from madderwind.standalone.policy.api import Outcome
from madderwind.standalone.program import log as program_log
from madderwind.standalone.program.log import JsonLog

ROOT = Path(__file__).parents[3]


def read_all(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    raw = b""
    try:
        while part := os.read(descriptor, 65536):
            raw += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in raw.splitlines()]


def test_an_event_is_one_json_line() -> None:
    reads, writes = os.pipe()
    log = JsonLog("n3", writes)
    log("ready", listen=["127.0.0.1", 1], odd={1, 2})
    (line,) = read_all(reads)
    assert (line["balancer"], line["event"], line["listen"]) == ("n3", "ready", ["127.0.0.1", 1])
    assert isinstance(line["at_ms"], float)


@pytest.mark.parametrize("field", ["\udcff", 2**80, {1: 2}, float("nan"), b"bytes"])
def test_fields_that_json_has_not_are_written_all_the_same(field: object) -> None:
    """Guards against a request that fails because its log line cannot be written."""
    reads, writes = os.pipe()
    JsonLog("n3", writes)("answered", field=field)
    (line,) = read_all(reads)
    assert line["event"] == "answered"


def test_a_reader_that_stands_still_holds_nothing_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a full pipe that stops the program, or a log that fills its memory."""
    monkeypatch.setattr(program_log, "MAX_BUFFERED_BYTES", 200_000)
    reads, writes = os.pipe()
    os.set_blocking(writes, False)
    log = JsonLog("n3", writes)
    for number in range(5000):
        log("answered", number=number, text="x" * 100)
    assert log._buffered_bytes <= 201_000
    seen: list[dict[str, object]] = []
    while log._buffered_bytes:
        seen += _whole(reads)
        log.flush()
    log.flush()
    seen += _whole(reads)
    numbers = [line["number"] for line in seen if line["event"] == "answered"]
    assert numbers == list(range(len(numbers)))
    (dropped,) = [line["count"] for line in seen if line["event"] == "log_lines_dropped"]
    assert dropped == 5000 - len(numbers)


_rest = b""


def _whole(descriptor: int) -> list[dict[str, object]]:
    """The lines that are whole by now; a cut one waits for its rest."""
    global _rest
    os.set_blocking(descriptor, False)
    try:
        while part := os.read(descriptor, 65536):
            _rest += part
    except BlockingIOError:
        pass
    *lines, _rest = _rest.split(b"\n")
    return [json.loads(line) for line in lines]


def test_a_closed_log_stops_nothing() -> None:
    reads, writes = os.pipe()
    os.close(reads)
    log = JsonLog("n3", writes)
    log("ready")
    log("ended")


def test_what_must_hold_is_counted_and_logged_and_fails_debug_builds() -> None:
    said: list[tuple[str, dict[str, object]]] = []
    invariants = Invariants(lambda event, /, **fields: said.append((event, fields)))
    assert invariants.must(True, "fine")
    with pytest.raises(AssertionError):
        invariants.must(False, "one_final_answer", trace_id="t")
    assert invariants.broken == {"one_final_answer": 1}
    assert said == [("invariant_broken", {"name": "one_final_answer", "times": 1, "trace_id": "t"})]


def test_what_others_cause_at_will_has_a_line_a_second() -> None:
    """Guards against a caller that fills the log with its bad requests."""
    now_ms, said = [0.0], []
    sparing = Sparing(lambda event, /, **fields: said.append((event, fields)), lambda: now_ms[0])
    for now_ms[0] in (0.0, 1.0, 999.0, 1000.0, 1001.0):
        sparing("bad_request", status=400)
    assert said == [("bad_request", {"status": 400, "unsaid_before": n}) for n in (0, 2)]


def test_the_on_call_page_explains_every_line_and_no_other() -> None:
    # The system's programs have pages of their own, held by tests/{dataplane,controlplane}/test_log_page.py.
    paths = [
        path
        for path in (ROOT / "madderwind").rglob("*.py")
        if path.parent.name != "dataplane" and path.name != "settings_watch.py"
    ]
    code = "".join(path.read_text() for path in paths)
    said = set(re.findall(r"\b_?(?:log|say)(?:_sparingly)?\(\s*\"([a-z_]+)\"", code)) | set(
        re.findall(r"self\(\"([a-z_]+)\"", code)
    )
    explained = set(
        re.findall(r"^\| `([a-z_]+)` \|", (ROOT / "docs" / "on-call.md").read_text(), re.MULTILINE)
    )
    assert said | {outcome.value for outcome in Outcome} == explained
    assert len(said) > 20
