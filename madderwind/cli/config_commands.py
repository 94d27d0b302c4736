"""Commands on the operator's configurations."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
import yaml

from madderwind.configuration.documents import Configuration
from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, FileFormatError, OperatorCallError
from madderwind.testing.local_fleet.operator_client import Answer, OperatorClient
from madderwind.testing.local_fleet.status_client import NodeStatus, read_status
from madderwind.testing.local_fleet.yaml_files import line_of, steps_of

LOOK_S = 0.2


def check(file: str) -> None:
    """Say that a configuration is valid; FileFormatError names field and line where it is not."""
    configuration = read_configuration_file(Path(file)).configuration
    print(
        f"{file}: version {configuration.version}, {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services, {len(configuration.tenants)} tenants"
    )


def read_configuration_file(path: Path) -> Document:
    """The configuration in a JSON or YAML file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise FileFormatError(str(path), 0, "", str(error)) from None
    try:
        return read_document(_as_json(text, path))
    except ConfigurationError as error:
        line = line_of(text, steps_of(error.field))
        raise FileFormatError(str(path), line, error.field, error.reason) from None


def _as_json(text: str, path: Path) -> bytes:
    """JSON as it is; YAML as JSON."""
    if path.suffix == ".json" or text.lstrip().startswith("{"):
        return text.encode()
    try:
        raw = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise FileFormatError(str(path), line, "", error.problem or "is no YAML") from None
    return msgspec.json.encode(raw)


# --- differences ---


@attrs.frozen
class Change:
    """One thing that differs: absent before, absent afterwards, or another value."""

    field: str
    old: str
    new: str

    def __str__(self) -> str:
        if not self.old:
            return f"+ {self.field}: {self.new}"
        if not self.new:
            return f"- {self.field}: {self.old}"
        return f"~ {self.field}: {self.old} -> {self.new}"


def differences(old: Configuration, new: Configuration) -> list[Change]:
    """What differs, item by item; routes, services and tenants are told apart by name."""
    changes = _fields("limits", attrs.asdict(old.limits), attrs.asdict(new.limits))
    for section in ("routes", "services", "tenants"):
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        for name in sorted(before.keys() | after.keys()):
            place = f"{section}[{name}]"
            if name not in after:
                changes.append(Change(place, "present", ""))
            elif name not in before:
                changes.append(Change(place, "", "present"))
            else:
                changes += _fields(place, attrs.asdict(before[name]), attrs.asdict(after[name]))
    return changes


def _fields(place: str, old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    return [
        Change(f"{place}.{field}", _told(old[field]), _told(new[field]))
        for field in old
        if old[field] != new[field]
    ]


def _told(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def diff(old: str, new: str) -> int:
    """Print the differences; 1 where there are any."""
    changes = differences(
        read_configuration_file(Path(old)).configuration, read_configuration_file(Path(new)).configuration
    )
    for change in changes:
        print(change)
    return int(bool(changes))


# --- sending ---


def apply(file: str, control: Sequence[str], status: Sequence[str], wait_s: float) -> int:
    """Send a configuration and show who has taken it; 1 where some lack it. OperatorCallError: refused."""
    return asyncio.run(_apply(read_configuration_file(Path(file)), control, status, wait_s))


async def _apply(document: Document, control: Sequence[str], status: Sequence[str], wait_s: float) -> int:
    async with OperatorClient(control) as client:
        current = await client.read()
        base = _version_of(current)
        if base:
            for change in differences(read_document(current.body).configuration, document.configuration):
                print(change)
        answer = await client.replace(base, document.raw)
    if not answer.is_taken:
        told = answer.body.decode(errors="replace")
        raise OperatorCallError(f"version {document.version} on top of {base}: {answer.status} {told}")
    print(f"version {document.version} is acknowledged, on top of {base}")
    if not status:
        print("which data planes have taken it is told with --status")
        return 0
    return await _show_who_took(document.version, status, wait_s)


def _version_of(answer: Answer) -> int:
    return read_document(answer.body).version if answer.is_taken else 0


async def _show_who_took(version: int, status: Sequence[str], wait_s: float) -> int:
    """Wait for the data planes that these control planes tell of."""
    give_up_s = asyncio.get_running_loop().time() + wait_s
    while True:
        planes = _applied(await read_status(status))
        lacking = [node for node, applied in planes.items() if applied < version]
        if (planes and not lacking) or asyncio.get_running_loop().time() > give_up_s:
            break
        await asyncio.sleep(LOOK_S)
    if not planes:
        raise OperatorCallError(f"no control plane told of data planes at {', '.join(status)}")
    for node, applied in sorted(planes.items()):
        print(f"  {node:24}{'has taken it' if applied >= version else f'still has {applied}'}")
    return int(bool(lacking))


def _applied(statuses: Sequence[NodeStatus]) -> dict[str, int]:
    applied: dict[str, int] = {}
    for found in statuses:
        for plane in found.status.data_planes if found.status is not None else ():
            applied[plane.node] = max(applied.get(plane.node, 0), plane.applied_version)
    return applied
