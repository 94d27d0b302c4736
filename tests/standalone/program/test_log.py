"""The log: JSON lines, a stalled reader, and a documentation page that covers every event."""

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
    read_end, write_end = os.pipe()
    log = JsonLog("n3", write_end)
    log("ready", listen=["127.0.0.1", 1], odd={1, 2})
    (line,) = read_all(read_end)
    assert (line["balancer"], line["event"], line["listen"]) == ("n3", "ready", ["127.0.0.1", 1])
    assert isinstance(line["at_ms"], float)


@pytest.mark.parametrize("field", ["\udcff", 2**80, {1: 2}, float("nan"), b"bytes"])
def test_fields_that_json_cannot_express_are_still_logged(field: object) -> None:
    """Guards against a request that fails because its log line cannot be encoded."""
    read_end, write_end = os.pipe()
    JsonLog("n3", write_end)("answered", field=field)
    (line,) = read_all(read_end)
    assert line["event"] == "answered"


def test_a_stalled_reader_blocks_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a full pipe that blocks the program, and a log buffer that grows without limit."""
    monkeypatch.setattr(program_log, "MAX_BUFFERED_BYTES", 200_000)
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log = JsonLog("n3", write_end)
    for number in range(5000):
        log("answered", number=number, text="x" * 100)
    assert log._buffered_bytes <= 201_000
    seen: list[dict[str, object]] = []
    while log._buffered_bytes:
        seen += read_complete_lines(read_end)
        log.flush()
    log.flush()
    seen += read_complete_lines(read_end)
    numbers = [line["number"] for line in seen if line["event"] == "answered"]
    assert numbers == list(range(len(numbers)))
    (dropped,) = [line["count"] for line in seen if line["event"] == "log_lines_dropped"]
    assert dropped == 5000 - len(numbers)


_partial_line = b""


def read_complete_lines(descriptor: int) -> list[dict[str, object]]:
    """The lines that are complete; a partial one is kept for the next call."""
    global _partial_line
    os.set_blocking(descriptor, False)
    try:
        while part := os.read(descriptor, 65536):
            _partial_line += part
    except BlockingIOError:
        pass
    *lines, _partial_line = _partial_line.split(b"\n")
    return [json.loads(line) for line in lines]


def test_a_closed_log_raises_no_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    log = JsonLog("n3", write_end)
    log("ready")
    log("ended")


def test_broken_invariants_are_counted_and_logged_and_fail_debug_builds() -> None:
    events: list[tuple[str, dict[str, object]]] = []
    invariants = Invariants(lambda event, /, **fields: events.append((event, fields)))
    assert invariants.must(True, "fine")
    with pytest.raises(AssertionError):
        invariants.must(False, "one_final_answer", trace_id="t")
    assert invariants.broken == {"one_final_answer": 1}
    assert events == [("invariant_broken", {"name": "one_final_answer", "times": 1, "trace_id": "t"})]


def test_events_caused_by_clients_are_limited_to_one_line_a_second() -> None:
    """Guards against a client that floods the log with bad requests."""
    now_ms, events = [0.0], []
    sparing = Sparing(lambda event, /, **fields: events.append((event, fields)), lambda: now_ms[0])
    for now_ms[0] in (0.0, 1.0, 999.0, 1000.0, 1001.0):
        sparing("bad_request", status=400)
    assert events == [("bad_request", {"status": 400, "unsaid_before": n}) for n in (0, 2)]


def test_the_on_call_page_documents_exactly_the_logged_events() -> None:
    # The data plane and the control plane have pages of their own, which are checked by
    # tests/{dataplane,controlplane}/test_log_page.py.
    paths = [
        path
        for path in (ROOT / "madderwind").rglob("*.py")
        if path.parent.name != "dataplane" and path.name != "settings_watch.py"
    ]
    code = "".join(path.read_text() for path in paths)
    events = set(re.findall(r"\b_?(?:log|say)(?:_sparingly)?\(\s*\"([a-z_]+)\"", code)) | set(
        re.findall(r"self\(\"([a-z_]+)\"", code)
    )
    documented = set(
        re.findall(r"^\| `([a-z_]+)` \|", (ROOT / "docs" / "on-call.md").read_text(), re.MULTILINE)
    )
    assert events | {outcome.value for outcome in Outcome} == documented
    assert len(events) > 20
