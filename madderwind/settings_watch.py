"""Reloads the settings file when the platform changes it, with or without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from madderwind.errors import SettingsError
from madderwind.eventlog import EventLog
from madderwind.node_settings import NodeSettings, read_settings

CHECK_INTERVAL_S = 1.0


class SettingsWatch:
    """Reads the settings file again on request, or when the file has changed."""

    def __init__(self, path: Path, apply: Callable[[NodeSettings], None], log: EventLog) -> None:
        self._path, self._apply, self._log = path, apply, log
        self._seen_version = self._file_version()

    async def run(self) -> None:
        """Check the file for changes every `CHECK_INTERVAL_S` seconds.

        The file is read once at the start, as it may have changed while the process started.
        """
        self.read_again()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.read_if_changed()

    def read_if_changed(self) -> None:
        """Read the file again if it has changed since the last check."""
        if (version := self._file_version()) != self._seen_version:
            self._seen_version = version
            self.read_again()

    def read_again(self) -> None:
        """Apply the file's current settings; an invalid or unreadable file changes nothing."""
        try:
            self._apply(read_settings(str(self._path)))
        except SettingsError as error:
            self._log("settings_unusable", error=str(error))

    def _file_version(self) -> tuple[int, int]:
        try:
            stat = self._path.stat()
        except OSError:
            return 0, 0
        return stat.st_mtime_ns, stat.st_size
