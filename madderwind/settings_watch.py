"""The settings file while the process runs: the platform may change it, with a signal or without."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from madderwind.errors import SettingsError
from madderwind.eventlog import EventLog
from madderwind.node_settings import NodeSettings, read_settings

# How often it is looked whether the file has changed.
WATCH_S = 1.0


class SettingsWatch:
    """Reads the settings file again when it is told to, or when the file has changed."""

    def __init__(self, path: Path, take: Callable[[NodeSettings], None], log: EventLog) -> None:
        self._path, self._take, self._log = path, take, log
        self._seen = self._mark()

    async def run(self) -> None:
        """Look at the file from time to time.

        It is read at once, as it may have changed while the process started.
        """
        self.read_again()
        while True:
            await asyncio.sleep(WATCH_S)
            self.look()

    def look(self) -> None:
        """Read the file again if it has changed since the last look."""
        if (mark := self._mark()) != self._seen:
            self._seen = mark
            self.read_again()

    def read_again(self) -> None:
        """Take what the file says now; one that can't be read changes nothing."""
        try:
            self._take(read_settings(str(self._path)))
        except SettingsError as error:
            self._log("settings_unusable", error=str(error))

    def _mark(self) -> tuple[int, int]:
        try:
            known = self._path.stat()
        except OSError:
            return 0, 0
        return known.st_mtime_ns, known.st_size
