"""madderwind, a load balancer for services that call services.

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

`call` asks a balancer at its second address, such as 127.0.0.1:5900: STATUS, METRICS, SUSPEND ID, RESTORE ID,
LEAVE ZONE, RETURN ZONE. Its exit code is 1 where the answer is no.

Options:
  --config=FILE  The balancer's configuration; $PROXY_CONFIG names it where this does not.
  --out=FOLDER   Where the records of an experiment go; beside it by default.
  --seeds=N      How many schedules of faults are played; the file says by default.
  --beside=CHECKOUT  NAME=FOLDER, another version of the program, played in turn with this one.
  --cores=N      How many runs at a time; one a core by default.
  --plot=PICTURE  Also a picture of what was served in time, by second.
  --policy=NAME  The policy whose runs are compared; madderwind by default.
  --against=NAME  The policy to compare with, in the same folder or in OTHER. For check-config, the file in
                  force: what the other would change, tighter or looser, and whether it may follow.
  -h --help      Show this.
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
    why_no_successor,
)
from madderwind.standalone.protocol.listing import read_address


def main(words: list[str] | None = None) -> int:
    said = docopt(__doc__ or "", argv=words)
    if said["version"]:
        print(__version__)
        return 0
    if said["call"]:
        return _call(said["ADDRESS"], " ".join(filter(None, (said["WORD"], said["ID"]))))
    if said["lab"] or said["drill"]:
        return _laboratory(said)
    path = said["--config"] or os.environ.get("PROXY_CONFIG")
    try:
        if not path:
            raise ConfigurationError("no configuration: give --config or set PROXY_CONFIG")
        configuration = read_configuration(path, os.environ.get("PROXY_ADMIN_ADDR", ""))
    except ConfigurationError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    if said["check-config"]:
        print(_summary(configuration))
        return _compared(said["--against"], configuration) if said["--against"] else 0
    return _serve(configuration)


def _call(address: str, line: str) -> int:
    try:
        answer = call(read_address(address, "ADDRESS"), line)
    except (OSError, ValueError) as error:
        print(f"madderwind: {address}: {error}", file=sys.stderr)
        return 1
    print(answer, end="")
    return int(not answer or answer.startswith("NAK"))


def _laboratory(said: dict[str, Any]) -> int:
    try:
        from madderwind.testing.fault_tests.command import drill
        from madderwind.testing.simulation.command import lab
    except ModuleNotFoundError as error:
        print(f"madderwind: needs {error.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        return 1
    return (lab if said["lab"] else drill)(said)


def _summary(configuration: Configuration) -> str:
    settings = configuration.host.settings
    return (
        f"{configuration.name}: tier {settings.tier} of {settings.tiers}, {len(settings.classes)} classes, "
        f"{len(settings.tenants)} tenants, {len(configuration.known.members)} upstreams known"
        + (f", {configuration.stamp}" if configuration.stamp is not None else "")
        + (f", words passed on among {settings.copies} copies" if configuration.fleet is not None else "")
        + (", zones left together" if configuration.fleet is not None and configuration.fleet.leaving else "")
    )


def _compared(path: str, new: Configuration) -> int:
    """What the new file would change; 1 where it may not follow the one in force."""
    try:
        old = read_configuration(path)
    except ConfigurationError as error:
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    for change in changes(old.host, new.host):
        how = {True: "tighter", False: "looser", None: "contradicts nothing"}[change.tighter]
        print(f"  {change.at}: {change.old or 'absent'} -> {change.new or 'absent'}, {how}")
    if why := why_no_successor(old, new):
        print(f"madderwind: {new.path} may not follow {path}: {why}", file=sys.stderr)
        return 1
    return 0


def _serve(configuration: Configuration) -> int:
    # Only here: the other commands need no server, and start in a third of the time without it.
    from madderwind.standalone.program.log import JsonLog
    from madderwind.standalone.program.service import Service

    async def run() -> None:
        await Service(configuration, log, os.environ.get("TMPDIR")).run()

    os.set_blocking(sys.stdout.fileno(), False)
    log = JsonLog(configuration.name)
    try:
        asyncio.run(run())
    except OSError as error:  # the address is taken, or is none of this machine
        log.flush()
        print(f"madderwind: {error}", file=sys.stderr)
        return 1
    finally:
        os.set_blocking(sys.stdout.fileno(), True)  # a terminal outlives the program, and is shared
    return 0
