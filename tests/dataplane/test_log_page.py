"""The data plane's documentation describes each of its log events and no others."""

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
# Where an event is named: calls of the log, constants of the subscriber's events, recorded request outcomes.
LOG_CALL = re.compile(r"\b(?:_?log|LogEvent|_record)\(\s*(.*?)[,)]", re.DOTALL)
EVENT_NAME = re.compile(r"\"([a-z_]+)\"")


class LogDocumentation(unittest.TestCase):
    def test_describes_each_log_event_and_no_others(self) -> None:
        logged: set[str] = set()
        for path in SOURCES:
            for arguments in LOG_CALL.findall(path.read_text()):
                logged |= set(EVENT_NAME.findall(arguments))
        page = (ROOT / "docs" / "dataplane.md").read_text()
        lines = page.partition("| line | when |")[2].partition("\n\n")[0]
        documented = set(re.findall(r"^\| `([a-z_]+)` \|", lines, re.MULTILINE))
        self.assertEqual(logged, documented)
        self.assertGreater(len(logged), 15)


if __name__ == "__main__":
    unittest.main()
