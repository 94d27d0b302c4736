"""The data plane's command line."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

from madderwind.errors import SettingsError
from madderwind.node_settings import SETTINGS_VARIABLE, NodeSettings, read_settings

# Threshold of the first garbage collection generation, raised from the default: connections and requests
# create few reference cycles, and collections cost time.
GC_THRESHOLD = 20_000
INFO, DEBUG = LOG_LEVELS = ("info", "debug")
# The file of TLS's trusted certificates; aiohttp loads all of them when it is imported.
TLS_CERTIFICATES_VARIABLE = "SSL_CERT_FILE"


class Commands:
    """Commands of a data plane. Serves if no command is given."""

    def serve(self, log_level: str = "info") -> None:
        """Serve with the settings file named by MADDERWIND_CONFIG.

        Args:
            log_level: info, or debug to also log each attempt.
        """
        if log_level not in LOG_LEVELS:
            sys.exit(f"log_level: {log_level!r} is none of {', '.join(LOG_LEVELS)}")
        path, settings = _settings()
        gc.set_threshold(GC_THRESHOLD)
        # The system uses no TLS. Loading the certificates would make the start a quarter longer, and a
        # restarted machine serves nothing until it has started.
        os.environ.setdefault(TLS_CERTIFICATES_VARIABLE, os.devnull)
        _serve(path, settings, log_level)

    def check_settings(self) -> None:
        """Check that the settings file is valid."""
        _, settings = _settings()
        print(f"settings of {settings.node} can be used")


def _settings() -> tuple[Path, NodeSettings]:
    """The settings file's path and contents; exits if it is invalid."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return Path(path), read_settings(path)
    except SettingsError as error:
        sys.exit(f"settings: {error}")


def _serve(path: Path, settings: NodeSettings, log_level: str) -> None:
    # Imported late, so that an invalid settings file is reported at once and no TLS certificates are loaded.
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
    """Run a command; `serve` by default."""
    if len(sys.argv) == 1:
        Commands().serve()
        return
    import fire  # slow to import and needed only here

    fire.Fire(Commands)
