"""Tests of the programs' log: every event is one line of JSON, whatever text it holds."""

from __future__ import annotations

import os
import tempfile

import msgspec
import pytest

from madderwind.structured_log import BatchedOutput, open_log


def logged_line(**fields: object) -> dict[str, object]:
    with tempfile.TemporaryFile() as file:
        open_log("core-1", BatchedOutput(file.fileno())).info("something", **fields)
        file.seek(0)
        line = os.read(file.fileno(), 4096)
    parsed: dict[str, object] = msgspec.json.decode(line)
    return parsed


@pytest.mark.parametrize(
    ("text", "logged"),
    [("café", "café"), ("\udcff", "\\udcff"), ("a\ud800b", "a\\ud800b"), ("line\r\nend", "line\r\nend")],
)
def test_text_that_is_not_unicode_is_logged_as_escapes(text: str, logged: str) -> None:
    # Guards against a call that is answered with 500 only because its log line could not be written.
    assert logged_line(instance=text)["instance"] == logged


def test_texts_within_lists_and_tuples_are_logged_as_escapes() -> None:
    line = logged_line(seeds=["\udcff", "a"], pair=("\udcfe",), count=3)
    assert (line["seeds"], line["pair"], line["count"]) == (["\\udcff", "a"], ["\\udcfe"], 3)
