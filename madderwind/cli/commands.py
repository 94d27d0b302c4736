"""All commands of the system, for `fire`. What a command needs is imported when it runs."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from madderwind.errors import MadderwindError

INTERRUPTED = 130
DEFAULT_FOLDER = "target/local-fleet"


class LocalCommands:
    """A whole fleet on this machine, from one YAML file."""

    def up(self, file: str, folder: str = DEFAULT_FOLDER) -> None:
        """Start the fleet in FILE and keep it running until interrupted (Ctrl-C).

        Args:
            file: what runs, the operator's configuration, traffic and faults; see deploy/local/workshop.yaml.
            folder: settings files, logs and records; the other commands find the fleet by it.
        """
        from madderwind.cli.local_commands import up

        up(file, folder)

    def demo(self, file: str, folder: str = DEFAULT_FOLDER, baselines: bool = True) -> int:
        """Start the fleet in FILE, send its traffic, play its faults, check what came of it, and report.

        Args:
            file: as for `up`.
            folder: as for `up`; the report and its picture are left there.
            baselines: also simulate the same mix under other policies.
        """
        from madderwind.cli.local_commands import demo

        return demo(file, folder, baselines)

    def check(self, file: str) -> None:
        """Read FILE and say whether a fleet can be started from it."""
        from madderwind.cli.local_commands import check_file

        check_file(file)


class ConfigCommands:
    """The operator's configuration: check it, compare it, send it to a running fleet."""

    def check(self, file: str) -> None:
        """Check the configuration in FILE (JSON or YAML); what is wrong is told with field and line."""
        from madderwind.cli.config_commands import check

        check(file)

    def diff(self, old: str, new: str) -> int:
        """Tell what changes from the configuration in OLD to that in NEW; exit code 1 where anything does."""
        from madderwind.cli.config_commands import diff

        return diff(old, new)

    def apply(self, file: str, control: str, status: str = "", wait_s: float = 10.0) -> int:
        """Send the configuration in FILE to a running fleet and show which data planes have taken it.

        Its version must be above the one in force.

        Args:
            file: the whole configuration.
            control: public address of a control plane, such as 10.1.0.6:8367, or several, with commas.
            status: internal address of a control plane, such as 10.1.0.6:7500, to see the data planes.
            wait_s: for how long to wait for the data planes.
        """
        from madderwind.cli.config_commands import apply

        return apply(file, _addresses(control), _addresses(status), wait_s)


class Commands:
    """madderwind: a router fleet for language models and other services."""

    def __init__(self) -> None:
        self.local = LocalCommands()
        self.config = ConfigCommands()

    def load(self, folder: str = DEFAULT_FOLDER, baselines: bool = False) -> None:
        """Send the traffic of the file that the fleet in FOLDER was started from, and report on it."""
        from madderwind.cli.local_commands import load

        load(folder, baselines)

    def faults(self, folder: str = DEFAULT_FOLDER) -> int:
        """Play the faults of the file that the fleet in FOLDER was started from, then check what is left.

        With `load` at work beside it, its requests are checked too: run this command until after its end.
        """
        from madderwind.cli.local_commands import faults

        return faults(folder)

    def status(self, control: str, json: bool = False) -> int:
        """Show nodes, epoch, primary, in-sync set, versions by data plane, lag and upstreams.

        Args:
            control: internal address of a control plane, such as 10.1.0.6:7500, or several, with commas.
            json: print JSON instead of tables.
        """
        from madderwind.cli.status_commands import status

        return status(_addresses(control), json)

    def attempts(self, log: str) -> None:
        """Sum up the attempts at model servers in LOG, which data planes write with --log-level=debug.

        A row a route: attempts, those without an event, late ones by cause (own prefill, the queue that was
        known, not foreseen), medians in ms (predicted alone, predicted, measured, error, age of the others'
        load), the share of shared tokens believed kept, and why upstreams were chosen.

        Args:
            log: lines of one data plane or of many; what stands before a line's JSON is passed over.
        """
        from madderwind.cli.attempt_commands import attempts

        attempts(log)

    def version(self) -> str:
        """Print the version of this program."""
        from madderwind import __version__

        return __version__


def _addresses(text: str | Sequence[str]) -> list[str]:
    """Addresses with commas between them; `fire` may have made a tuple of them."""
    parts = text.split(",") if isinstance(text, str) else list(text)
    return [part.strip() for part in parts if part.strip()]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command; errors that are somebody's to mend are one line and exit code 1."""
    import fire

    command = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = fire.Fire(Commands, command=command, name="madderwind", serialize=_shown)
    except MadderwindError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        sys.exit(1)
    except ModuleNotFoundError as error:
        print(f"madderwind: needs {error.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    except BrokenPipeError:  # who reads the output has enough
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 (until the end)
        sys.exit(0)
    if isinstance(result, int):
        sys.exit(result)


def _shown(result: object) -> object:
    """What `fire` prints of a result: exit codes are none of it."""
    return None if isinstance(result, int) else result
