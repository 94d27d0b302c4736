"""Tests of SIGHUP during the start of a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
WAIT_S = 30.0


class SighupDuringStartTest(unittest.TestCase):
    def assert_survives_sighup(self, program: str, expected_stderr_prefix: str) -> None:
        """Send SIGHUP while the process reads its settings from a pipe, and check that it continues."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", program],
                cwd=ROOT,
                env={**os.environ, "MADDERWIND_CONFIG": str(path), "PYTHONPATH": str(ROOT)},
                stderr=subprocess.PIPE,
                text=True,
            )
            try:
                with path.open("wb") as settings:  # blocks until the process opens the pipe
                    process.send_signal(signal.SIGHUP)
                    settings.write(b"{")
                _, stderr = process.communicate(timeout=WAIT_S)
            finally:
                process.kill()
            self.assertEqual(
                (process.returncode, stderr.startswith(expected_stderr_prefix)), (1, True), stderr
            )

    def test_does_not_end_a_data_plane(self) -> None:
        self.assert_survives_sighup("madderwind.dataplane", "settings: ")

    def test_does_not_end_a_control_plane(self) -> None:
        self.assert_survives_sighup("madderwind.controlplane", "control plane: ")


if __name__ == "__main__":
    unittest.main()
