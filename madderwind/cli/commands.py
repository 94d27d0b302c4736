"""The system's commands, run by `fire`. Each command imports its dependencies when it runs."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from madderwind.errors import MadderwindError

INTERRUPTED_EXIT_CODE = 130
DEFAULT_FOLDER = "target/local-fleet"


class LocalCommands:
    """Run a complete fleet on this machine from one YAML file."""

    def up(self, file: str, folder: str = DEFAULT_FOLDER) -> None:
        """Start the fleet in FILE and keep it running until interrupted (Ctrl-C).

        Args:
            file: the processes, operator configuration, traffic and faults; see deploy/local/workshop.yaml.
            folder: holds settings files, logs and records; the other commands find the fleet by this folder.
        """
        from madderwind.cli.local_commands import up

        up(file, folder)

    def demo(self, file: str, folder: str = DEFAULT_FOLDER, baselines: bool = True) -> int:
        """Start the fleet in FILE, send its traffic, inject its faults, check the results and report on them.

        Args:
            file: as for `up`.
            folder: as for `up`; the report and its chart are written there.
            baselines: also simulate the same request mix under other policies.
        """
        from madderwind.cli.local_commands import demo

        return demo(file, folder, baselines)

    def check(self, file: str) -> None:
        """Check that a fleet can be started from FILE."""
        from madderwind.cli.local_commands import check_file

        check_file(file)


class ConfigCommands:
    """Check an operator's configuration, compare two, or send one to a running fleet."""

    def check(self, file: str) -> None:
        """Check the configuration in FILE (JSON or YAML); an error names the field and line."""
        from madderwind.cli.config_commands import check

        check(file)

    def diff(self, old: str, new: str) -> int:
        """Print the changes from the configuration in OLD to that in NEW; exit code 1 if there are any."""
        from madderwind.cli.config_commands import diff

        return diff(old, new)

    def apply(self, file: str, control: str, status: str = "", wait_s: float = 10.0) -> int:
        """Send the configuration in FILE to a running fleet and show which data planes have applied it.

        Its version must be higher than the one in force.

        Args:
            file: the complete configuration.
            control: public address of a control plane, such as 10.1.0.6:8367, or a comma-separated list.
            status: internal address of a control plane, such as 10.1.0.6:7500, which reports the data planes.
            wait_s: how many seconds to wait for the data planes to apply the version.
        """
        from madderwind.cli.config_commands import apply

        return apply(file, _addresses(control), _addresses(status), wait_s)


class Commands:
    """madderwind: a router fleet for language models and other services."""

    def __init__(self) -> None:
        self.local = LocalCommands()
        self.config = ConfigCommands()

    def load(self, folder: str = DEFAULT_FOLDER, baselines: bool = False) -> None:
        """Send the traffic defined in the file of the running fleet in FOLDER, and report on it."""
        from madderwind.cli.local_commands import load

        load(folder, baselines)

    def faults(self, folder: str = DEFAULT_FOLDER) -> int:
        """Inject the faults defined in the file of the running fleet in FOLDER, then check the fleet.

        If `load` runs at the same time, its requests are checked too; it has to end before this command does.
        """
        from madderwind.cli.local_commands import faults

        return faults(folder)

    def status(self, control: str, json: bool = False) -> int:
        """Show nodes, epoch, primary, in-sync set, each data plane's version and lag, and upstreams.

        Args:
            control: internal address of a control plane, such as 10.1.0.6:7500, or a comma-separated list.
            json: print JSON instead of tables.
        """
        from madderwind.cli.status_commands import status

        return status(_addresses(control), json)

    def attempts(self, log: str) -> None:
        """Summarize the attempts at model servers in LOG, which data planes write with --log-level=debug.

        One row per route: attempts, those without an event, late ones by cause (own prefill, the known queue,
        not foreseen), medians in ms (predicted alone, predicted, measured, prediction error, age of peer
        load reports), the share of shared tokens believed cached, and the shares of placement reasons.

        Args:
            log: lines of one or more data planes; any text before a line's JSON is ignored.
        """
        from madderwind.cli.attempt_commands import attempts

        attempts(log)

    def version(self) -> str:
        """Print the version of this program."""
        from madderwind import __version__

        return __version__


def _addresses(text: str | Sequence[str]) -> list[str]:
    """Split a comma-separated list of addresses, which `fire` may already have parsed into a tuple."""
    parts = text.split(",") if isinstance(text, str) else list(text)
    return [part.strip() for part in parts if part.strip()]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command; expected errors are printed as one line and give exit code 1."""
    import fire

    command = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = fire.Fire(Commands, command=command, name="madderwind", serialize=_printed_result)
    except MadderwindError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        sys.exit(1)
    except ModuleNotFoundError as error:
        print(f"madderwind: needs {error.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
    except BrokenPipeError:  # the reader of the output closed the pipe
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 - stays open until the process exits
        sys.exit(0)
    if isinstance(result, int):
        sys.exit(result)


def _printed_result(result: object) -> object:
    """The part of a result that `fire` prints: exit codes are left out."""
    return None if isinstance(result, int) else result
