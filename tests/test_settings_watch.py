"""Tests of reloading the settings file while a process runs."""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from madderwind.node_settings import NodeSettings
from madderwind.settings_watch import SettingsWatch
from tests.test_node_settings import settings_text

SECOND_NS = 1_000_000_000


class SettingsWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.json"
        self.path.write_bytes(settings_text())
        self.applied: list[NodeSettings] = []
        self.logged_events: list[str] = []
        self.watch = SettingsWatch(
            self.path, self.applied.append, lambda event, /, **_: self.logged_events.append(event)
        )

    def change(self, text: bytes) -> None:
        """Write the file and set a modification time that differs from the previous one."""
        changed_ns = self.path.stat().st_mtime_ns + SECOND_NS
        self.path.write_bytes(text)
        os.utime(self.path, ns=(changed_ns, changed_ns))

    def test_an_unchanged_file_is_not_read(self) -> None:
        self.watch.read_if_changed()
        self.assertEqual(self.applied, [])

    def test_a_change_without_a_signal_is_applied_once(self) -> None:
        self.change(settings_text(seeds=["10.9.0.1:8367"]))
        self.watch.read_if_changed()
        self.watch.read_if_changed()
        self.assertEqual([settings.seeds for settings in self.applied], [("10.9.0.1:8367",)])

    def test_the_file_is_read_when_the_watch_starts(self) -> None:
        async def run_one_check() -> None:
            watch_task = asyncio.create_task(self.watch.run())
            await asyncio.sleep(0)
            watch_task.cancel()

        asyncio.run(run_one_check())
        self.assertEqual(len(self.applied), 1)

    def test_read_again_reads_an_unchanged_file(self) -> None:
        self.watch.read_again()
        self.assertEqual(len(self.applied), 1)

    def test_an_invalid_or_missing_file_keeps_the_current_settings(self) -> None:
        self.change(b"{")
        self.watch.read_if_changed()
        self.path.unlink()
        self.watch.read_if_changed()
        self.assertEqual(self.applied, [])
        self.assertEqual(self.logged_events, ["settings_unusable", "settings_unusable"])


if __name__ == "__main__":
    unittest.main()
