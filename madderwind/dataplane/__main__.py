"""`python -m madderwind.dataplane`: the data plane of a front machine."""

from __future__ import annotations

import asyncio
import gc
import sys

import fire

from madderwind.dataplane.service import serve, settings_path
from madderwind.errors import SettingsError
from madderwind.node_settings import read_settings
from madderwind.structured_log import BatchedOutput, open_log

# A bigger first generation: connections and requests make few cycles, and collections cost time.
COLLECT_AFTER = 20_000


class Commands:
    """A data plane of the system. Without a command, it serves."""

    def serve(self) -> None:
        """Serve by the settings file that MADDERWIND_CONFIG names."""
        try:
            path = settings_path()
            settings = read_settings(str(path))
        except SettingsError as error:
            sys.exit(f"settings: {error}")
        gc.set_threshold(COLLECT_AFTER)
        output = BatchedOutput()
        log = open_log(settings.node, output)
        try:
            asyncio.run(serve(settings, path, lambda event, /, **fields: log.info(event, **fields)))
        finally:
            output.flush()

    def check_settings(self) -> None:
        """Read the settings file and say whether it can be used."""
        try:
            settings = read_settings(str(settings_path()))
        except SettingsError as error:
            sys.exit(f"settings: {error}")
        print(f"settings of {settings.node} can be used")


def main() -> None:
    """Run a command, `serve` where none is named."""
    fire.Fire(Commands, command=sys.argv[1:] or ["serve"])


if __name__ == "__main__":
    main()
