"""The operators' page explains every line of a control plane's log, and no other."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGES = ("controlplane", "replication")
# A line of the core, a line of a host, what the replica reports.
SAYING = re.compile(r"(?:\bLogLine|_log(?:\.(?:info|warning|error))?|\breport)\(\s*\"([a-z_ ]+)\"")
EXPLAINED = re.compile(r"`([a-z_ ]+)`")


class ThePage(unittest.TestCase):
    def test_explains_every_line_and_no_other(self) -> None:
        paths = [path for package in PACKAGES for path in (ROOT / "madderwind" / package).glob("*.py")]
        paths.append(ROOT / "madderwind" / "settings_watch.py")
        said = {event for path in paths for event in SAYING.findall(path.read_text())}
        page = (ROOT / "docs" / "operating-system.md").read_text()
        table = page.partition("| event | means | what to do |")[2].partition("\n\n")[0]
        rows = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
        self.assertEqual(said, {event for row in rows for event in EXPLAINED.findall(row)})
        self.assertGreater(len(said), 15)


if __name__ == "__main__":
    unittest.main()
