"""madderwind, a load balancer for service-to-service requests.

Usage:
  madderwind serve [--config=FILE]
  madderwind check-config [--config=FILE] [--against=FILE]
  madderwind call ADDRESS WORD [ID]
  madderwind lab run FILE [--out=FOLDER] [--cores=N]
  madderwind lab report FOLDER [--plot=PICTURE]
  madderwind lab compare FOLDER [OTHER] [--policy=NAME] [--against=NAME]
  madderwind lab words FILE [--cores=N]
  madderwind lab outages FILE [--cores=N]
  madderwind drill run FILE [--out=FOLDER] [--seeds=N] [--beside=CHECKOUT]...
  madderwind drill report FOLDER [--plot=PICTURE]
  madderwind drill compare A B
  madderwind version
  madderwind (-h | --help)

`call` sends a command to the admin address of a balancer, such as 127.0.0.1:5900: STATUS, METRICS,
SUSPEND ID, RESTORE ID, LEAVE ZONE, RETURN ZONE. Its exit code is 1 if the balancer rejects the command.

Options:
  --config=FILE  The configuration of the balancer; defaults to $PROXY_CONFIG.
  --out=FOLDER   The folder for the records of an experiment; defaults to the folder of its file.
  --seeds=N      The number of fault schedules to run; defaults to the number in the file.
  --beside=CHECKOUT  NAME=FOLDER, another version of the program to run alternately with this one.
  --cores=N      The number of concurrent runs; defaults to the number of cores.
  --plot=PICTURE  Also write a plot of the requests served in time, by second.
  --policy=NAME  The policy whose runs are compared; defaults to madderwind.
  --against=NAME  The policy to compare with, in the same folder or in OTHER. For check-config, the file in
                  force: lists what the new file changes, tighter or looser, and whether it may replace it.
  -h --help      Show this help.
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any

from docopt import docopt

from madderwind import __version__
from madderwind.standalone.admin.calling import call
from madderwind.standalone.agreement.table import changes
from madderwind.standalone.program.configuration import (
    Configuration,
    ConfigurationError,
    read_configuration,
    successor_rejection_reason,
)
from madderwind.standalone.protocol.listing import read_address


def main(arguments: list[str] | None = None) -> int:
    options = docopt(__doc__ or "", argv=arguments)
    if options["version"]:
        print(__version__)
        return 0
    if options["call"]:
        return _call(options["ADDRESS"], " ".join(filter(None, (options["WORD"], options["ID"]))))
    if options["lab"] or options["drill"]:
        return _run_testing_command(options)
    path = options["--config"] or os.environ.get("PROXY_CONFIG")
    try:
        if not path:
            raise ConfigurationError("no configuration: pass --config or set PROXY_CONFIG")
        configuration = read_configuration(path, os.environ.get("PROXY_ADMIN_ADDR", ""))
    except ConfigurationError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    if options["check-config"]:
        print(_summary(configuration))
        return _compare(options["--against"], configuration) if options["--against"] else 0
    return _serve(configuration)


def _call(address: str, line: str) -> int:
    try:
        answer = call(read_address(address, "ADDRESS"), line)
    except (OSError, ValueError) as error:
        print(f"madderwind: {address}: {error}", file=sys.stderr)
        return 1
    print(answer, end="")
    return int(not answer or answer.startswith("NAK"))


def _run_testing_command(options: dict[str, Any]) -> int:
    try:
        from madderwind.testing.fault_tests.command import drill
        from madderwind.testing.simulation.command import lab
    except ModuleNotFoundError as error:
        print(f"madderwind: needs {error.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        return 1
    return (lab if options["lab"] else drill)(options)


def _summary(configuration: Configuration) -> str:
    settings = configuration.host.settings
    return (
        f"{configuration.name}: tier {settings.tier} of {settings.tiers}, {len(settings.classes)} classes, "
        f"{len(settings.tenants)} tenants, {len(configuration.known.members)} upstreams known"
        + (f", {configuration.stamp}" if configuration.stamp is not None else "")
        + (f", gossip among {settings.copies} copies" if configuration.fleet is not None else "")
        + (
            ", coordinated zone evacuation"
            if configuration.fleet is not None and configuration.fleet.leaving
            else ""
        )
    )


def _compare(path: str, new: Configuration) -> int:
    """Print what the new file changes; returns 1 if it may not replace the one in force."""
    try:
        old = read_configuration(path)
    except ConfigurationError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    for change in changes(old.host, new.host):
        direction = {True: "tighter", False: "looser", None: "contradicts nothing"}[change.tighter]
        print(f"  {change.at}: {change.old or 'absent'} -> {change.new or 'absent'}, {direction}")
    if reason := successor_rejection_reason(old, new):
        print(f"madderwind: {new.path} may not follow {path}: {reason}", file=sys.stderr)
        return 1
    return 0


def _serve(configuration: Configuration) -> int:
    # Imported here because the other commands need no server and start in a third of the time without it.
    from madderwind.standalone.program.log import JsonLog
    from madderwind.standalone.program.service import Service

    async def run() -> None:
        await Service(configuration, log, os.environ.get("TMPDIR")).run()

    os.set_blocking(sys.stdout.fileno(), False)
    log = JsonLog(configuration.name)
    try:
        asyncio.run(run())
    except OSError as error:  # the address is in use or does not belong to this machine
        log.flush()
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    finally:
        # A terminal outlives this process and is shared with others.
        os.set_blocking(sys.stdout.fileno(), True)
    return 0
