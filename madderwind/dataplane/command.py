"""The data plane's command line."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

from madderwind.errors import SettingsError
from madderwind.node_settings import SETTINGS_VARIABLE, NodeSettings, read_settings

# A bigger first generation: connections and requests make few cycles, and collections cost time.
COLLECT_AFTER = 20_000
INFO, DEBUG = LOG_LEVELS = ("info", "debug")
# Where TLS looks for the certificates that it trusts; aiohttp reads them all as it is imported.
TLS_CERTIFICATES = "SSL_CERT_FILE"


class Commands:
    """A data plane of the system. Without a command, it serves."""

    def serve(self, log_level: str = "info") -> None:
        """Serve by the settings file that MADDERWIND_CONFIG names.

        Args:
            log_level: info, or debug for a line about each attempt beside.
        """
        if log_level not in LOG_LEVELS:
            sys.exit(f"log_level: {log_level!r} is none of {', '.join(LOG_LEVELS)}")
        path, settings = _settings()
        gc.set_threshold(COLLECT_AFTER)
        # The system speaks no TLS. Guards against a start that takes a quarter longer: every second of it is
        # one in which a restarted machine serves nothing.
        os.environ.setdefault(TLS_CERTIFICATES, os.devnull)
        _serve(path, settings, log_level)

    def check_settings(self) -> None:
        """Read the settings file and say whether it can be used."""
        _, settings = _settings()
        print(f"settings of {settings.node} can be used")


def _settings() -> tuple[Path, NodeSettings]:
    """The settings file and what it says; ends the process where it can't be used."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return Path(path), read_settings(path)
    except SettingsError as error:
        sys.exit(f"settings: {error}")


def _serve(path: Path, settings: NodeSettings, log_level: str) -> None:
    # Imported late: an unusable settings file is told at once, and TLS's certificates stay unread.
    from madderwind.dataplane.service import serve
    from madderwind.structured_log import BatchedOutput, open_log

    output = BatchedOutput()
    log = open_log(settings.node, output, log_level)
    debug_log = None if log_level != DEBUG else lambda event, /, **fields: log.debug(event, **fields)
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(serve(settings, path, lambda event, /, **fields: log.info(event, **fields), debug_log))
    except SettingsError as error:
        sys.exit(f"settings: {error}")
    finally:
        output.flush()


def main() -> None:
    """Run a command, `serve` where none is named."""
    if len(sys.argv) == 1:
        Commands().serve()
        return
    import fire  # takes time to import, and is needed only here

    fire.Fire(Commands)
