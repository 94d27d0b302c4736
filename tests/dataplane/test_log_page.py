"""The data plane's page explains every line of its log, and no other."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
SOURCES = (
    *(ROOT / "madderwind" / "dataplane").glob("*.py"),
    ROOT / "madderwind" / "log_events" / "data_plane_links.py",
    ROOT / "madderwind" / "settings_watch.py",
)
# What names an event: a call of the log, the constants of the subscriber's events, a request's note.
SAYING = re.compile(r"\b(?:_?log|LogEvent|_note)\(\s*(.*?)[,)]", re.DOTALL)
EVENT = re.compile(r"\"([a-z_]+)\"")


class ThePage(unittest.TestCase):
    def test_explains_every_line_and_no_other(self) -> None:
        said: set[str] = set()
        for path in SOURCES:
            for arguments in SAYING.findall(path.read_text()):
                said |= set(EVENT.findall(arguments))
        page = (ROOT / "docs" / "dataplane.md").read_text()
        lines = page.partition("| line | when |")[2].partition("\n\n")[0]
        explained = set(re.findall(r"^\| `([a-z_]+)` \|", lines, re.MULTILINE))
        self.assertEqual(said, explained)
        self.assertGreater(len(said), 15)


if __name__ == "__main__":
    unittest.main()
